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

// LeaseGranter is a guard's side of shard ownership. It grants the lease of a shard to one
// epoch at a time: until the owner has released the lease or it has expired by the guard's
// own monotonic clock, a greater epoch is refused. Two owners cannot have authority at the
// same time, since any two majorities of the same guards have a guard in common, and that
// guard grants the lease to only one of them. Acquire and Release are used on the guards in
// the shard map, and MayRun on any guard that runs a request.
//
// A process that has just started may have granted leases before its restart. It
// therefore grants none until those have expired and it has read the shard maps from the
// platform, which stores them. A map received from another host is not sufficient,
// as it may be older than the epochs granted before the restart.
type LeaseGranter struct {
	leaseDuration time.Duration
	startedAt     time.Time
	synced        bool
	leases        map[ShardID]lease
	// mapEpoch is the greatest epoch of each shard in any shard map received. Older
	// epochs get no lease and may not start requests.
	mapEpoch map[ShardID]uint64
}

type lease struct {
	epoch     uint64
	owner     string
	expiresAt time.Time
}

// LeaseReply is a guard's reply to a lease request.
type LeaseReply struct {
	Granted bool
	// Epoch is the greatest epoch the guard knows for the shard. If the request was refused
	// because the lease of an earlier epoch has not expired, it is that epoch.
	Epoch uint64
	// TTL is the duration of the lease.
	TTL time.Duration
	// RetryAfter is the time after which a retry may succeed, 0 if none can.
	RetryAfter time.Duration
}

// NewLeaseGranter creates a LeaseGranter for a process that starts at now.
func NewLeaseGranter(now time.Time, leaseDuration time.Duration) *LeaseGranter {
	return &LeaseGranter{leaseDuration: leaseDuration, startedAt: now, leases: make(map[ShardID]lease), mapEpoch: make(map[ShardID]uint64)}
}

// MarkSynced records that the shard maps were read from the platform since the
// process started.
func (g *LeaseGranter) MarkSynced() { g.synced = true }

// Synced reports whether MarkSynced was called.
func (g *LeaseGranter) Synced() bool { return g.synced }

// ObserveEpoch records the epoch of a shard in a shard map. Older epochs are refused from
// then on.
func (g *LeaseGranter) ObserveEpoch(id ShardID, epoch uint64) {
	g.mapEpoch[id] = max(g.mapEpoch[id], epoch)
}

// epoch returns the greatest known epoch of a shard.
func (g *LeaseGranter) epoch(id ShardID) uint64 { return max(g.leases[id].epoch, g.mapEpoch[id]) }

// Acquire grants or renews the lease of a shard to the owner of an epoch. It refuses if
// a greater epoch is known, if this epoch was granted to another owner, if the lease of an
// earlier epoch has not expired, or if the process may not grant leases yet.
func (g *LeaseGranter) Acquire(now time.Time, id ShardID, epoch uint64, owner string) LeaseReply {
	if holdOff := g.startedAt.Add(g.leaseDuration).Sub(now); holdOff > 0 || !g.synced {
		return LeaseReply{Epoch: g.epoch(id), RetryAfter: max(holdOff, g.leaseDuration/4)}
	}
	current := g.leases[id]
	switch {
	case epoch < g.epoch(id):
		return LeaseReply{Epoch: g.epoch(id)}
	case epoch == current.epoch && current.owner != "" && owner != current.owner:
		return LeaseReply{Epoch: current.epoch}
	case epoch > current.epoch && now.Before(current.expiresAt):
		return LeaseReply{Epoch: current.epoch, RetryAfter: current.expiresAt.Sub(now)}
	}
	g.leases[id] = lease{epoch: epoch, owner: owner, expiresAt: now.Add(g.leaseDuration)}
	return LeaseReply{Granted: true, Epoch: epoch, TTL: g.leaseDuration}
}

// Release ends a lease before it expires. It has no effect unless owner holds the lease of
// this epoch.
func (g *LeaseGranter) Release(now time.Time, id ShardID, epoch uint64, owner string) {
	current := g.leases[id]
	if current.epoch == epoch && current.owner == owner && now.Before(current.expiresAt) {
		current.expiresAt = now
		g.leases[id] = current
	}
}

// MayRun reports whether a request claimed at an epoch may still start. The
// epoch is a fencing token: it is rejected if a greater one is known.
func (g *LeaseGranter) MayRun(id ShardID, epoch uint64) bool {
	return epoch >= g.epoch(id)
}

// Authority is the owner's side of shard ownership at one epoch. The owner has authority
// while it holds leases of the epoch from a majority of the guards. The owner counts the
// duration of a lease from when it sent the request, so that the lease expires at the
// owner before it expires at the guard.
type Authority struct {
	epoch      uint64
	guards     []string
	prevGuards []string
	expiresAt  map[string]time.Time
}

// NewAuthority creates an Authority without leases. prevGuards are the guards before the
// last guard change, or nil. Until the owner of every shard has had authority under both
// sets, a majority of each is required.
func NewAuthority(epoch uint64, guards, prevGuards []string) *Authority {
	return &Authority{epoch: epoch, guards: guards, prevGuards: prevGuards, expiresAt: make(map[string]time.Time)}
}

// Epoch returns the epoch that the leases are for.
func (a *Authority) Epoch() uint64 { return a.epoch }

// Guards returns the guards to request leases from.
func (a *Authority) Guards() []string {
	out := append([]string{}, a.guards...)
	for _, g := range a.prevGuards {
		if !slices.Contains(out, g) {
			out = append(out, g)
		}
	}
	return out
}

// AddLease records a lease granted by a guard, which was requested at requestedAt.
func (a *Authority) AddLease(guard string, requestedAt time.Time, duration time.Duration) {
	if expiresAt := requestedAt.Add(duration); expiresAt.After(a.expiresAt[guard]) {
		a.expiresAt[guard] = expiresAt
	}
}

// Held reports whether the owner has authority at now. It must be called again after every
// blocking operation, since the process may have been paused and the leases have expired.
func (a *Authority) Held(now time.Time) bool {
	return a.hasMajority(now, a.guards) && (len(a.prevGuards) == 0 || a.hasMajority(now, a.prevGuards))
}

// hasMajority reports whether the owner holds valid leases from a majority of the guards.
func (a *Authority) hasMajority(now time.Time, guards []string) bool {
	n := 0
	for _, g := range guards {
		if now.Before(a.expiresAt[g]) {
			n++
		}
	}
	return n > len(guards)/2
}
