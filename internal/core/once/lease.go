package once

import (
	"slices"
	"time"
)

// ShardID identifies a shard of a service's idempotency keys.
type ShardID struct {
	Service string
	Shard   uint32
}

// LeaseGranter is a guard's side of shard ownership. Acquire and Release serve as one of
// the guards in the shard map, MayRun as the guard that runs a request. The granter gives the
// lease of each shard to one epoch at a time. A lease is timed by the guard's own
// monotonic clock, and a greater epoch is refused until it has expired. Two owners would
// need majorities of the same guards, and the guard common to both majorities grants the
// lease to only one of them.
//
// A process that has just started may have granted leases before its restart. It
// therefore grants none until those have expired and it has read the shard maps from the
// platform, the store of the records: a map received from a peer may be older than the
// epochs granted before the restart.
type LeaseGranter struct {
	duration time.Duration
	started  time.Time
	synced   bool
	shards   map[ShardID]lease
	// minEpoch is the epoch in the newest shard map. Older epochs get no lease
	// and may not start requests.
	minEpoch map[ShardID]uint64
}

type lease struct {
	epoch uint64
	owner string
	until time.Time
}

// LeaseReply is a guard's reply to a lease request.
type LeaseReply struct {
	Granted bool
	// Epoch is the greatest epoch the guard knows for the shard.
	Epoch uint64
	// TTL is the duration of the lease.
	TTL time.Duration
	// RetryAfter is the time after which a retry may succeed, 0 if none can.
	RetryAfter time.Duration
}

// NewLeaseGranter creates a LeaseGranter for a process that starts now.
func NewLeaseGranter(now time.Time, duration time.Duration) *LeaseGranter {
	return &LeaseGranter{duration: duration, started: now, shards: make(map[ShardID]lease), minEpoch: make(map[ShardID]uint64)}
}

// MarkSynced records that the shard maps were read from the platform since the
// process started.
func (g *LeaseGranter) MarkSynced() { g.synced = true }

// ObserveEpoch records a shard's epoch in the shard map. Older epochs are refused
// from then on.
func (g *LeaseGranter) ObserveEpoch(id ShardID, epoch uint64) {
	g.minEpoch[id] = max(g.minEpoch[id], epoch)
}

// epoch returns the greatest known epoch of a shard.
func (g *LeaseGranter) epoch(id ShardID) uint64 { return max(g.shards[id].epoch, g.minEpoch[id]) }

// Acquire requests or renews the lease of a shard at an epoch for an owner.
func (g *LeaseGranter) Acquire(now time.Time, id ShardID, epoch uint64, owner string) LeaseReply {
	if holdOff := g.started.Add(g.duration).Sub(now); holdOff > 0 || !g.synced {
		return LeaseReply{Epoch: g.epoch(id), RetryAfter: max(holdOff, g.duration/4)}
	}
	held := g.shards[id]
	switch {
	case epoch < g.epoch(id):
		return LeaseReply{Epoch: g.epoch(id)}
	case epoch == held.epoch && held.owner != "" && owner != held.owner:
		return LeaseReply{Epoch: held.epoch}
	case epoch > held.epoch && now.Before(held.until):
		return LeaseReply{Epoch: held.epoch, RetryAfter: held.until.Sub(now)}
	}
	g.shards[id] = lease{epoch: epoch, owner: owner, until: now.Add(g.duration)}
	return LeaseReply{Granted: true, Epoch: epoch, TTL: g.duration}
}

// Release ends a lease before it expires. Requests by anyone but its owner are
// ignored.
func (g *LeaseGranter) Release(now time.Time, id ShardID, epoch uint64, owner string) {
	held := g.shards[id]
	if held.epoch == epoch && held.owner == owner && now.Before(held.until) {
		held.until = now
		g.shards[id] = held
	}
}

// MayRun reports whether a request claimed at an epoch may still start. The
// epoch is a fencing token: it is rejected if a greater one is known.
func (g *LeaseGranter) MayRun(id ShardID, epoch uint64) bool {
	return epoch >= g.epoch(id)
}

// Authority is the owner's side of shard ownership. The owner has authority
// while a majority of the guards has granted it the lease of the epoch. Each
// lease counts from when it was requested, so that it expires at the owner
// before it expires at the guard.
type Authority struct {
	epoch  uint64
	guards []string
	prev   []string
	until  map[string]time.Time
}

// NewAuthority creates the Authority for an epoch, without leases. prev are the
// guards before the last guard change, or nil: until every owner has held
// authority under both sets, a majority of each is required.
func NewAuthority(epoch uint64, guards, prev []string) *Authority {
	return &Authority{epoch: epoch, guards: guards, prev: prev, until: make(map[string]time.Time)}
}

func (a *Authority) Epoch() uint64 { return a.epoch }

// Guards returns the guards to request leases from.
func (a *Authority) Guards() []string {
	out := append([]string{}, a.guards...)
	for _, g := range a.prev {
		if !slices.Contains(out, g) {
			out = append(out, g)
		}
	}
	return out
}

// AddLease records a lease that was requested from a guard at requested.
func (a *Authority) AddLease(guard string, requested time.Time, duration time.Duration) {
	if until := requested.Add(duration); until.After(a.until[guard]) {
		a.until[guard] = until
	}
}

// Held reports whether the owner has authority at now. It must be checked again
// after every blocking operation, since the process may have been paused.
func (a *Authority) Held(now time.Time) bool {
	return a.majority(now, a.guards) && (len(a.prev) == 0 || a.majority(now, a.prev))
}

func (a *Authority) majority(now time.Time, guards []string) bool {
	n := 0
	for _, g := range guards {
		if now.Before(a.until[g]) {
			n++
		}
	}
	return n > len(guards)/2
}
