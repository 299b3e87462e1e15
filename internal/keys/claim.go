package keys

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"

	"github.com/radishhoist/radishhoist/internal/core/directory"
	"github.com/radishhoist/radishhoist/internal/core/once"
	"github.com/radishhoist/radishhoist/internal/front"
	"github.com/radishhoist/radishhoist/internal/msg"
)

const (
	// claimRetryTimeout is how long a refused claim is retried: long enough for a
	// planned handover of the shard, not for a takeover after a host failure.
	claimRetryTimeout = time.Second
	// retryInterval is the delay between two tries of a claim or a result.
	retryInterval = 100 * time.Millisecond
	// doneRetryTimeout is how long sending a request's result is retried.
	doneRetryTimeout = 15 * time.Second
	// doneCallTimeout limits one try.
	doneCallTimeout = 2 * time.Second
)

// shardOf returns the shard of a key and its current owner. If the service has
// no shard map yet, it requests that one be written and returns false.
func (m *Manager) shardOf(service, key string) (shard uint32, owner string, ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	sm, ok := currentMap(m.view, service)
	if !ok {
		m.needsMap[service] = true
		return 0, "", false
	}
	shard = uint32(xxhash.Sum64String(key) % uint64(len(sm.Shards)))
	return shard, sm.Shards[shard].Owner, true
}

// Claim implements front.Keys. It sends the claim to the owner of the key's
// shard and retries for a short time while the claim is refused, in particular
// while no owner has authority.
func (m *Manager) Claim(ctx context.Context, service *directory.Service, k front.KeyRequest) front.ClaimResult {
	until := claimUntil(ctx, time.Now())
	ctx, cancel := context.WithDeadline(ctx, until)
	defer cancel()
	for {
		a := m.claimOnce(ctx, service.Name, k)
		if a.Outcome != once.ClaimRefused || ctx.Err() != nil {
			return a
		}
		select {
		case <-time.After(retryInterval):
		case <-ctx.Done():
		}
	}
}

// claimUntil returns when to stop retrying a claim: after claimRetryTimeout, and
// early enough before the caller's deadline to report the reason.
func claimUntil(ctx context.Context, now time.Time) time.Time {
	timeout := claimRetryTimeout
	if deadline, ok := ctx.Deadline(); ok {
		timeout = min(timeout, deadline.Sub(now)*3/4)
	}
	return now.Add(timeout)
}

func (m *Manager) claimOnce(ctx context.Context, service string, k front.KeyRequest) front.ClaimResult {
	refused := front.ClaimResult{Outcome: once.ClaimRefused, RetryAfterMS: m.cfg.LeaseDuration.Milliseconds()}
	shard, owner, ok := m.shardOf(service, k.Key)
	if !ok {
		return refused
	}
	reply, err := m.call(ctx, owner, &msg.KeyClaim{
		Service: service, Shard: shard, Key: k.Key, BodyHash: k.BodyHash, RequestID: k.RequestID, CreatedMS: keyTimestamp(k.Key),
	})
	c, isClaimed := reply.(*msg.ClaimReply)
	if err != nil || !isClaimed {
		return refused
	}
	return front.ClaimResult{
		Outcome: once.ClaimOutcome(c.Outcome), Shard: shard, Epoch: c.Epoch,
		Status: c.Status, Header: c.Header, Body: c.Body, RetryAfterMS: int64(c.RetryAfterMS),
	}
}

// keyTimestamp returns the timestamp in a key in Unix milliseconds, 0 if it has
// none. Only version 7 UUIDs (RFC 9562) are considered to have one.
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

// Done implements front.Keys. It reports the result of a request to the key's
// owner and retries for a while in case the shard is changing owner. If no owner
// accepts the result, the claim times out at the owner and counts as
// may-have-run.
func (m *Manager) Done(service *directory.Service, k front.KeyRequest, result front.RequestResult) {
	until := time.Now().Add(doneRetryTimeout)
	for time.Now().Before(until) {
		shard, owner, ok := m.shardOf(service.Name, k.Key)
		if !ok {
			return
		}
		ctx, cancel := context.WithTimeout(context.Background(), doneCallTimeout)
		reply, err := m.call(ctx, owner, &msg.KeyResult{
			Service: service.Name, Shard: shard, Key: k.Key, RequestID: k.RequestID, Verdict: result.Verdict,
			Complete: result.Complete, Stored: result.Stored, Status: result.Status, Header: result.Header, Body: result.Body,
		})
		cancel()
		if d, ok := reply.(*msg.HandoverReply); err == nil && ok && d.Accepted {
			return
		}
		time.Sleep(retryInterval)
	}
}
