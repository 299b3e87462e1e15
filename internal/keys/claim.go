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
	// claimPatience is how long a claim is tried again while its shard has no
	// owner: a planned move takes less, a takeover after a death far more.
	claimPatience = time.Second
	// claimPause is the pause between two tries.
	claimPause = 100 * time.Millisecond
	// donePatience is how long the end of a request is offered to the owner.
	donePatience = 15 * time.Second
	// doneTimeout bounds one offer.
	doneTimeout = 2 * time.Second
)

// shardOf finds the shard of a key and its present owner. The first key of a
// service has this host write the service's shard map.
func (m *Manager) shardOf(service, key string) (shard uint32, owner string, ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	sm, ok := mapOf(m.view, service)
	if !ok {
		m.wanted[service] = true
		return 0, "", false
	}
	shard = uint32(xxhash.Sum64String(key) % uint64(len(sm.Shards)))
	return shard, sm.Shards[shard].Owner, true
}

// Claim implements front.Keys: it asks the owner of the key's shard, and again
// for a short while where there is none with authority.
func (m *Manager) Claim(ctx context.Context, service *directory.Service, k front.KeyRequest) front.ClaimResult {
	end := claimUntil(ctx, time.Now())
	ctx, cancel := context.WithDeadline(ctx, end)
	defer cancel()
	for {
		a := m.claimOnce(ctx, service.Name, k)
		if a.Outcome != once.ClaimRefused || ctx.Err() != nil {
			return a
		}
		select {
		case <-time.After(claimPause):
		case <-ctx.Done():
		}
	}
}

// claimUntil is when to give a claim up: after claimPatience, and early enough
// before the caller's deadline to tell it why.
func claimUntil(ctx context.Context, now time.Time) time.Time {
	patience := claimPatience
	if deadline, ok := ctx.Deadline(); ok {
		patience = min(patience, deadline.Sub(now)*3/4)
	}
	return now.Add(patience)
}

func (m *Manager) claimOnce(ctx context.Context, service string, k front.KeyRequest) front.ClaimResult {
	refused := front.ClaimResult{Outcome: once.ClaimRefused, RetryAfterMS: m.cfg.LeaseDuration.Milliseconds()}
	shard, owner, ok := m.shardOf(service, k.Key)
	if !ok {
		return refused
	}
	reply, err := m.call(ctx, owner, &msg.KeyClaim{
		Service: service, Shard: shard, Key: k.Key, BodyHash: k.BodyHash, RequestID: k.RequestID, CreatedMS: minted(k.Key),
	})
	c, isClaimed := reply.(*msg.KeyClaimed)
	if err != nil || !isClaimed {
		return refused
	}
	return front.ClaimResult{
		Outcome: once.ClaimOutcome(c.Outcome), Shard: shard, Epoch: c.Epoch,
		Status: c.Status, Header: c.Header, Body: c.Body, RetryAfterMS: int64(c.RetryAfterMS),
	}
}

// minted reads a key's own time stamp in Unix milliseconds, 0 where it has
// none. Only UUIDs of version 7 (RFC 9562) are trusted to carry one.
func minted(key string) int64 {
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

// Done implements front.Keys: it tells the key's owner how the request ended,
// again for a while where the shard is just moving. Where nobody can be told,
// the owner's claim turns into may-have-run by itself.
func (m *Manager) Done(service *directory.Service, k front.KeyRequest, end front.RequestResult) {
	until := time.Now().Add(donePatience)
	for time.Now().Before(until) {
		shard, owner, ok := m.shardOf(service.Name, k.Key)
		if !ok {
			return
		}
		ctx, cancel := context.WithTimeout(context.Background(), doneTimeout)
		reply, err := m.call(ctx, owner, &msg.KeyResult{
			Service: service.Name, Shard: shard, Key: k.Key, RequestID: k.RequestID, Verdict: end.Verdict,
			Complete: end.Whole, Stored: end.Kept, Status: end.Status, Header: end.Header, Body: end.Body,
		})
		cancel()
		if d, ok := reply.(*msg.HandoverDone); err == nil && ok && d.Accepted {
			return
		}
		time.Sleep(claimPause)
	}
}
