package keys

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"github.com/radishhoist/radishhoist/internal/core/directory"
	"github.com/radishhoist/radishhoist/internal/core/once"
	"github.com/radishhoist/radishhoist/internal/msg"
	"github.com/radishhoist/radishhoist/internal/objects"
	"github.com/radishhoist/radishhoist/internal/sleep"
	"github.com/radishhoist/radishhoist/record"
)

var errUnknownHost = errors.New("host is not in the directory")

const (
	// minWriteBackoff and maxWriteBackoff limit the backoff, before jitter, after a shard
	// map could not be written.
	minWriteBackoff = 500 * time.Millisecond
	maxWriteBackoff = 10 * time.Second
)

// placementLoop periodically writes the changes of shard maps that this host has to make.
func (m *Manager) placementLoop(ctx context.Context) {
	interval := mapCheckInterval
	for ctx.Err() == nil {
		if m.updateMaps(ctx) {
			interval = mapCheckInterval
		} else {
			interval = min(max(2*interval, minWriteBackoff), maxWriteBackoff)
		}
		sleep.For(ctx, interval/2+time.Duration(rand.Int64N(int64(interval))))
	}
}

// proposal is a shard map to write if the stored version is ifVersion.
type proposal struct {
	service   string
	ifVersion int64
	next      *record.ShardMap
}

// updateMaps checks the shard maps that this host maintains and writes the changes that it
// has to make. It returns false if a write failed for another reason than a conflict.
func (m *Manager) updateMaps(ctx context.Context) bool {
	for _, p := range m.proposals(time.Now()) {
		if err := m.write(ctx, p); err != nil {
			var conflict *objects.ConflictError
			if !errors.As(err, &conflict) {
				return false
			}
		}
	}
	return true
}

// proposals returns the shard maps that this host has to write. There are none while it is
// leaving or its directory is incomplete.
func (m *Manager) proposals(now time.Time) []proposal {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.leaving || !m.dir.Complete {
		return nil
	}
	var out []proposal
	for _, svc := range m.dir.Services {
		if !m.maintainsMap(svc) {
			continue
		}
		if p, ok := m.propose(now, svc); ok {
			out = append(out, p)
		}
	}
	return out
}

// maintainsMap reports whether this host maintains the shard map of a service: it has
// targets of the service, is one of its guards, or has received a key for it before there
// was a map. The caller must hold m.mu.
func (m *Manager) maintainsMap(svc *directory.Service) bool {
	if m.needsShardMap[svc.Name] {
		return true
	}
	if sm, ok := currentMap(m.dir, svc.Name); ok && slices.Contains(sm.Guards, m.cfg.Host) {
		return true
	}
	for _, t := range svc.Targets {
		if t.Host.Name == m.cfg.Host {
			return true
		}
	}
	return false
}

// propose returns the shard map of a service that this host has to write, false if there
// is nothing to change. The caller must hold m.mu.
func (m *Manager) propose(now time.Time, svc *directory.Service) (proposal, bool) {
	hosts := m.candidates(now, svc)
	current, ok := m.dir.ShardMaps[svc.Name]
	if !ok {
		if !m.needsShardMap[svc.Name] || !m.candidatesStable(now, svc.Name, hosts) {
			return proposal{}, false
		}
		initial := once.InitialMap(svc.Name, svc.Record.KeyShardCount(), hosts, now)
		return proposal{service: svc.Name, next: initial}, initial != nil
	}
	held, frozen := m.ownedEpochs(now, svc.Name)
	next := once.ReclaimFrozen(m.cfg.Host, current.ShardMap, frozen)
	if next == nil {
		next = once.NextMap(svc.Name, m.cfg.Host, current.ShardMap, hosts)
	}
	if next == nil {
		next = once.ConfirmHeld(m.cfg.Host, current.ShardMap, held)
	}
	return proposal{service: svc.Name, ifVersion: current.Version, next: next}, next != nil
}

// candidatesStable reports whether a service's candidate hosts have not changed for
// stabilityPeriod. An initial map written too early would have too few guards. The caller
// must hold m.mu.
func (m *Manager) candidatesStable(now time.Time, service string, hosts []once.Candidate) bool {
	previous, ok := m.lastCandidates[service]
	if !ok || !slices.Equal(previous.hosts, hosts) {
		m.lastCandidates[service] = candidateSet{hosts: hosts, since: now}
		return false
	}
	return now.Sub(previous.since) >= stabilityPeriod
}

// candidateSet holds the candidate hosts of a service, and since when they have been
// unchanged.
type candidateSet struct {
	hosts []once.Candidate
	since time.Time
}

// stabilityPeriod is how long the candidate hosts of a service must remain unchanged before
// its initial shard map is written.
const stabilityPeriod = 2 * time.Second

// candidates returns the hosts that have targets of a service and the service's guards,
// sorted by name. The caller must hold m.mu.
func (m *Manager) candidates(now time.Time, svc *directory.Service) []once.Candidate {
	names := make(map[string]bool)
	for _, t := range svc.Targets {
		names[t.Host.Name] = true
	}
	if sm, ok := m.dir.ShardMaps[svc.Name]; ok {
		for _, g := range sm.Guards {
			names[g] = true
		}
	}
	var out []once.Candidate
	for name := range names {
		h, ok := m.dir.Hosts[name]
		if !ok {
			continue
		}
		c := once.Candidate{Host: name, DC: h.DC, Incarnation: h.Incarnation, Usable: h.Alive && !h.Leaving}
		c.Lost = m.unusableFor(now, c) > guardLostAfter
		out = append(out, c)
	}
	slices.SortFunc(out, func(a, b once.Candidate) int {
		if a.Host < b.Host {
			return -1
		}
		return 1
	})
	return out
}

// unusableFor returns how long a host has been unusable, and records when that was first
// observed. The caller must hold m.mu.
func (m *Manager) unusableFor(now time.Time, c once.Candidate) time.Duration {
	if c.Usable {
		delete(m.unusableSince, c.Host)
		return 0
	}
	since, ok := m.unusableSince[c.Host]
	if !ok {
		m.unusableSince[c.Host] = now
		return 0
	}
	return now.Sub(since)
}

// ownedEpochs returns the epochs of a service's shards over which this host has authority,
// and of those that it has frozen. The caller must hold m.mu.
func (m *Manager) ownedEpochs(now time.Time, service string) (held, frozen map[uint32]uint64) {
	held, frozen = make(map[uint32]uint64), make(map[uint32]uint64)
	for _, s := range m.owner.Shards(now) {
		switch {
		case s.Service != service:
		case s.Frozen:
			frozen[s.Shard] = s.Epoch
		case s.HasAuthority:
			held[s.Shard] = s.Epoch
		}
	}
	return held, frozen
}

// write stores a map if the stored version is still ifVersion, and distributes it at
// once. If the platform's reply is lost, the nonce shows whether the stored map is from
// this write.
func (m *Manager) write(ctx context.Context, p proposal) error {
	p.next.Nonce = uuid.NewString()
	key := record.Key{Kind: record.KindShardMap, Name: p.service}
	value, err := record.Marshal(key, p.next)
	if err != nil {
		return err
	}
	isOwnWrite := func(stored []byte) bool {
		r, err := record.Parse(stored)
		if err != nil {
			return false
		}
		sm, ok := r.Spec.(*record.ShardMap)
		return ok && sm.Nonce == p.next.Nonce
	}
	obj, err := objects.PutConfirmed(ctx, m.store, key, value, p.ifVersion, isOwnWrite)
	var conflict *objects.ConflictError
	switch {
	case err == nil:
		m.hooks.DistributeMap(obj)
	case errors.As(err, &conflict) && conflict.Current.Version > 0:
		// Another host has written the map: use the stored one.
		m.hooks.DistributeMap(conflict.Current)
	}
	return err
}

// HandOver freezes every owned shard and sends its table to the shard's next owner. It is
// called before this host announces that it is leaving. A table that cannot be handed over
// is lost with the process, and the next owner refuses its keys as unknown.
func (m *Manager) HandOver(ctx context.Context) {
	m.mu.Lock()
	m.leaving = true
	owned := m.owner.Shards(time.Now())
	m.mu.Unlock()
	for _, s := range owned {
		m.handOverShard(ctx, once.ShardID{Service: s.Service, Shard: s.Shard})
	}
}

// Resume is called after a planned stop was cancelled. It only clears the flag set by
// HandOver. propose then reclaims the frozen shards that this host still owns, by giving
// them a new epoch.
func (m *Manager) Resume() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.leaving = false
}

// The limits of a msg.Handover, which carries one part of a table.
const (
	// maxPartEntries limits the number of entries.
	maxPartEntries = 500
	// maxPartBytes limits the total size of the response bodies. A part with a single
	// entry may exceed it.
	maxPartBytes = 1 << 20
)

// handOverShard freezes a shard, sends its table to the next owner in parts, and releases
// the leases once all parts were accepted.
func (m *Manager) handOverShard(ctx context.Context, id once.ShardID) {
	m.mu.Lock()
	to, guards := m.successor(id)
	entries, since, opaqueMS, epoch, ok := m.owner.Freeze(time.Now(), id)
	m.mu.Unlock()
	if !ok || to == "" {
		return
	}
	h := &msg.Handover{Service: id.Service, Shard: id.Shard, Epoch: epoch + 1, Since: since, OpaqueMS: opaqueMS}
	for part, rest := uint32(0), entries; ; part++ {
		n := partSize(rest)
		h.Part, h.Entries, h.Last = part, rest[:n], n == len(rest)
		rest = rest[n:]
		reply, err := m.call(ctx, to, h)
		if r, ok := reply.(*msg.HandoverReply); err != nil || !ok || !r.Accepted {
			return
		}
		if h.Last {
			break
		}
	}
	for _, g := range guards {
		release := &msg.LeaseRequest{Service: id.Service, Shard: id.Shard, Epoch: epoch, Owner: m.cfg.Host, Release: true}
		_, _ = m.call(ctx, g, release)
	}
}

// partSize returns how many of the entries fit into one part of a handover.
func partSize(entries []msg.KeyEntry) int {
	bytes := 0
	for i, e := range entries {
		bytes += len(e.Body)
		if i == maxPartEntries || (i > 0 && bytes > maxPartBytes) {
			return i
		}
	}
	return len(entries)
}

// successor returns the host that should own a shard after this host leaves, "" if there
// is none, and the guards of the service. The caller must hold m.mu.
func (m *Manager) successor(id once.ShardID) (string, []string) {
	svc, ok := m.dir.Services[id.Service]
	sm, known := currentMap(m.dir, id.Service)
	if !ok || !known {
		return "", nil
	}
	hosts := m.candidates(time.Now(), svc)
	for i := range hosts {
		if hosts[i].Host == m.cfg.Host {
			hosts[i].Usable = false
		}
	}
	return once.Successor(id.Service, id.Shard, sm, hosts), sm.Guards
}
