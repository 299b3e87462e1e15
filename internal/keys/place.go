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
	// minWriteBackoff and maxWriteBackoff limit the backoff, before jitter, after a
	// failed write of a shard map.
	minWriteBackoff = 500 * time.Millisecond
	maxWriteBackoff = 10 * time.Second
)

// placementLoop periodically writes the shard map changes that are up to this host.
func (m *Manager) placementLoop(ctx context.Context) {
	pause := mapCheckInterval
	for ctx.Err() == nil {
		if m.updateMaps(ctx) {
			pause = mapCheckInterval
		} else {
			pause = min(max(2*pause, minWriteBackoff), maxWriteBackoff)
		}
		sleep.For(ctx, pause/2+time.Duration(rand.Int64N(int64(pause))))
	}
}

// proposal is a shard map to write if the stored version is ifVersion.
type proposal struct {
	service   string
	ifVersion int64
	next      *record.ShardMap
}

// updateMaps checks the shard maps that concern this host and writes the changes
// that are up to it. It returns false if a write failed other than by a conflict.
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

func (m *Manager) proposals(now time.Time) []proposal {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.leaving || !m.view.Complete {
		return nil
	}
	var out []proposal
	for _, svc := range m.view.Services {
		if !m.isInvolved(svc) {
			continue
		}
		if p, ok := m.propose(now, svc); ok {
			out = append(out, p)
		}
	}
	return out
}

// isInvolved reports whether this host has targets of the service, is one of its
// guards, or has received a key for it. The caller must hold m.mu.
func (m *Manager) isInvolved(svc *directory.Service) bool {
	if m.needsMap[svc.Name] {
		return true
	}
	if sm, ok := currentMap(m.view, svc.Name); ok && slices.Contains(sm.Guards, m.cfg.Host) {
		return true
	}
	for _, t := range svc.Targets {
		if t.Host.Name == m.cfg.Host {
			return true
		}
	}
	return false
}

func (m *Manager) propose(now time.Time, svc *directory.Service) (proposal, bool) {
	hosts := m.candidates(now, svc)
	current, ok := m.view.Maps[svc.Name]
	if !ok {
		if !m.needsMap[svc.Name] || !m.hostsStable(now, svc.Name, hosts) {
			return proposal{}, false
		}
		first := once.InitialMap(svc.Name, svc.Record.KeyShardCount(), hosts, now)
		return proposal{service: svc.Name, next: first}, first != nil
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

// hostsStable reports whether a service's hosts have not changed for
// stablePeriod. An initial map written too early would have too few guards. The
// caller must hold m.mu.
func (m *Manager) hostsStable(now time.Time, service string, hosts []once.Candidate) bool {
	previous, ok := m.unchanged[service]
	if !ok || !slices.Equal(previous.hosts, hosts) {
		m.unchanged[service] = stableHosts{hosts: hosts, since: now}
		return false
	}
	return now.Sub(previous.since) >= stablePeriod
}

// stableHosts holds the hosts of a service without a shard map, and since when
// they have been unchanged.
type stableHosts struct {
	hosts []once.Candidate
	since time.Time
}

// stablePeriod is how long a service's hosts must remain unchanged before its
// initial shard map is written.
const stablePeriod = 2 * time.Second

// candidates returns the hosts that have targets of the service, and its guards,
// sorted by name.
func (m *Manager) candidates(now time.Time, svc *directory.Service) []once.Candidate {
	names := make(map[string]bool)
	for _, t := range svc.Targets {
		names[t.Host.Name] = true
	}
	if sm, ok := m.view.Maps[svc.Name]; ok {
		for _, g := range sm.Guards {
			names[g] = true
		}
	}
	var out []once.Candidate
	for name := range names {
		h, ok := m.view.Hosts[name]
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
// observed.
func (m *Manager) unusableFor(now time.Time, c once.Candidate) time.Duration {
	if c.Usable {
		delete(m.unusableSince, c.Host)
		return 0
	}
	at, ok := m.unusableSince[c.Host]
	if !ok {
		m.unusableSince[c.Host] = now
		return 0
	}
	return now.Sub(at)
}

// ownedEpochs returns the epochs of a service's shards over which this host has
// authority, and of those that it has handed over. The caller must hold m.mu.
func (m *Manager) ownedEpochs(now time.Time, service string) (held, frozen map[uint32]uint64) {
	held, frozen = make(map[uint32]uint64), make(map[uint32]uint64)
	for _, s := range m.owner.Shards(now) {
		switch {
		case s.Service != service:
		case s.Frozen:
			frozen[s.Shard] = s.Epoch
		case s.Held:
			held[s.Shard] = s.Epoch
		}
	}
	return held, frozen
}

// write stores a map if the stored version is still ifVersion, and distributes it
// at once. If the reply was lost, the nonce tells whether the stored map is the
// one from this write.
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
		// Another host has written the map: apply its version here.
		m.hooks.DistributeMap(conflict.Current)
	}
	return err
}

// HandOver freezes every owned shard and sends its table to the successor. It is
// called before this host announces that it is leaving. A table that cannot be
// handed over is lost with the process, and the successor refuses its keys.
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
// HandOver, so that propose may reclaim the frozen shards that were not taken over:
// they get a new epoch with this host as owner.
func (m *Manager) Resume() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.leaving = false
}

// Limits of one part of a handed-over table.
const (
	// maxPartEntries limits the number of entries.
	maxPartEntries = 500
	// maxPartBytes limits the total size of the response bodies, unless a single
	// entry exceeds it.
	maxPartBytes = 1 << 20
)

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
		if done, ok := reply.(*msg.HandoverReply); err != nil || !ok || !done.Accepted {
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

// successor returns the host that should own a shard after this host leaves, and
// the guards of the service. The caller must hold m.mu.
func (m *Manager) successor(id once.ShardID) (string, []string) {
	svc, ok := m.view.Services[id.Service]
	sm, known := currentMap(m.view, id.Service)
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
