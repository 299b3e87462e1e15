package keys

import (
	"context"
	"time"

	"github.com/google/uuid"

	"github.com/radishhoist/radishhoist/internal/core/directory"
	"github.com/radishhoist/radishhoist/internal/core/once"
	"github.com/radishhoist/radishhoist/internal/front"
	"github.com/radishhoist/radishhoist/internal/msg"
)

const (
	// claimRetryTimeout is how long a refused claim is retried: long enough for the
	// shard to be handed over, but not for a new owner to start after a host failure.
	claimRetryTimeout = time.Second
	// retryInterval is the delay before a claim or a result is sent again.
	retryInterval = 100 * time.Millisecond
	// resultRetryTimeout is how long sending a request's result is retried.
	resultRetryTimeout = 15 * time.Second
	// resultCallTimeout limits one attempt to send a result.
	resultCallTimeout = 2 * time.Second
)

// shardOf returns the shard of a key and its current owner. If the service has no shard
// map yet, shardOf returns false and has placementLoop write one.
func (m *Manager) shardOf(service, key string) (shard uint32, owner string, ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	sm, ok := currentMap(m.dir, service)
	if !ok {
		m.needsShardMap[service] = true
		return 0, "", false
	}
	shard = once.ShardOf(key, len(sm.Shards))
	return shard, sm.Shards[shard].Owner, true
}

// Claim implements front.IdempotencyKeys. It sends the claim to the owner of the key's
// shard. It retries a refused claim for up to claimRetryTimeout, since no owner has
// authority while the shard is changing owner.
func (m *Manager) Claim(ctx context.Context, service *directory.Service, k front.KeyRequest) front.ClaimResult {
	until := claimUntil(ctx, time.Now())
	ctx, cancel := context.WithDeadline(ctx, until)
	defer cancel()
	for {
		result := m.claimOnce(ctx, service.Name, k)
		if result.Outcome != once.ClaimRefused || ctx.Err() != nil {
			return result
		}
		select {
		case <-time.After(retryInterval):
		case <-ctx.Done():
		}
	}
}

// claimUntil returns when to stop retrying a claim: after claimRetryTimeout, or earlier so
// that the reason can be reported before the caller's deadline.
func claimUntil(ctx context.Context, now time.Time) time.Time {
	timeout := claimRetryTimeout
	if deadline, ok := ctx.Deadline(); ok {
		timeout = min(timeout, deadline.Sub(now)*3/4)
	}
	return now.Add(timeout)
}

// claimOnce sends a claim to the current owner of the key's shard.
func (m *Manager) claimOnce(ctx context.Context, service string, k front.KeyRequest) front.ClaimResult {
	refused := front.ClaimResult{Outcome: once.ClaimRefused, RetryAfterMS: m.cfg.LeaseDuration.Milliseconds()}
	shard, owner, ok := m.shardOf(service, k.Key)
	if !ok {
		return refused
	}
	reply, err := m.call(ctx, owner, &msg.KeyClaim{
		Service: service, Shard: shard, Key: k.Key, BodyHash: k.BodyHash, RequestID: k.RequestID, CreatedMS: keyTimestamp(k.Key),
	})
	c, isClaimReply := reply.(*msg.ClaimReply)
	if err != nil || !isClaimReply {
		return refused
	}
	return front.ClaimResult{
		Outcome: once.ClaimOutcome(c.Outcome), Shard: shard, Epoch: c.Epoch,
		Status: c.Status, Header: c.Header, Body: c.Body, RetryAfterMS: int64(c.RetryAfterMS),
	}
}

// keyTimestamp returns the timestamp of a key in Unix milliseconds, 0 if the key is opaque.
// Only UUIDs of version 7 (RFC 9562) have a timestamp; all other keys are opaque.
func keyTimestamp(key string) int64 {
	id, err := uuid.Parse(key)
	if err != nil || id.Version() != 7 {
		return 0
	}
	var ms int64
	for _, b := range id[:6] {
		ms = ms<<8 | int64(b)
	}
	return ms
}

// ReportResult implements front.IdempotencyKeys. It sends the result of a request to the
// owner of the key's shard. It retries for up to resultRetryTimeout, since the shard may be
// changing owner. If no owner accepts the result, the claim expires at the owner and the
// request counts as may-have-run.
func (m *Manager) ReportResult(service *directory.Service, k front.KeyRequest, result front.RequestResult) {
	until := time.Now().Add(resultRetryTimeout)
	for time.Now().Before(until) {
		shard, owner, ok := m.shardOf(service.Name, k.Key)
		if !ok {
			return
		}
		ctx, cancel := context.WithTimeout(context.Background(), resultCallTimeout)
		reply, err := m.call(ctx, owner, &msg.KeyResult{
			Service: service.Name, Shard: shard, Key: k.Key, RequestID: k.RequestID, Verdict: result.Verdict,
			Complete: result.Complete, StoreResponse: result.StoreResponse, Status: result.Status, Header: result.Header, Body: result.Body,
		})
		cancel()
		if r, ok := reply.(*msg.HandoverReply); err == nil && ok && r.Accepted {
			return
		}
		time.Sleep(retryInterval)
	}
}
