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

var errUnknownHost = errors.New("no such host is known")

const (
	// placePause and placePauseMax bound the jittered pause after a failed
	// or contested write of a shard map.
	placePause    = 500 * time.Millisecond
	placePauseMax = 10 * time.Second
)

// placeLoop writes the changes of shard maps that fall to this host.
func (m *Manager) placeLoop(ctx context.Context) {
	pause := placeInterval
	for ctx.Err() == nil {
		if m.place(ctx) {
			pause = placeInterval
		} else {
			pause = min(max(2*pause, placePause), placePauseMax)
		}
		sleep.For(ctx, pause/2+time.Duration(rand.Int64N(int64(pause))))
	}
}

// proposal is one shard map to write.
type proposal struct {
	service   string
	ifVersion int64
	next      *record.ShardMap
}

// place looks at the maps of the services on this host and writes what falls
// to it. It reports false where the platform gave no answer.
func (m *Manager) place(ctx context.Context) bool {
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
	if m.stopped || !m.view.Whole {
		return nil
	}
	var out []proposal
	for _, svc := range m.view.Services {
		if !m.concerns(svc) {
			continue
		}
		if p, ok := m.propose(now, svc); ok {
			out = append(out, p)
		}
	}
	return out
}

// concerns says that this host has, or guards, the service, or had a key for it.
func (m *Manager) concerns(svc *directory.Service) bool {
	if m.wanted[svc.Name] {
		return true
	}
	if sm, ok := mapOf(m.view, svc.Name); ok && slices.Contains(sm.Guards, m.cfg.Host) {
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
		if !m.wanted[svc.Name] || !m.steady(now, svc.Name, hosts) {
			return proposal{}, false
		}
		first := once.FirstMap(svc.Name, svc.Record.Shards(), hosts, now)
		return proposal{service: svc.Name, next: first}, first != nil
	}
	held, frozen := m.ownedEpochs(now, svc.Name)
	next := once.Thaw(m.cfg.Host, current.ShardMap, frozen)
	if next == nil {
		next = once.NextMap(svc.Name, m.cfg.Host, current.ShardMap, hosts)
	}
	if next == nil {
		next = once.ConfirmHeld(m.cfg.Host, current.ShardMap, held)
	}
	return proposal{service: svc.Name, ifVersion: current.Version, next: next}, next != nil
}

// steady says that a service's hosts have not changed for a while: a first map
// written too early would have too few guards. The caller holds the lock.
func (m *Manager) steady(now time.Time, service string, hosts []once.Candidate) bool {
	was, ok := m.settling[service]
	if !ok || !slices.Equal(was.hosts, hosts) {
		m.settling[service] = settling{hosts: hosts, since: now}
		return false
	}
	return now.Sub(was.since) >= steadyFor
}

// settling is the hosts of a service that has no shard map yet.
type settling struct {
	hosts []once.Candidate
	since time.Time
}

// steadyFor is how long a service's hosts must stay the same before its first
// shard map is written.
const steadyFor = 2 * time.Second

// candidates lists the hosts that have the service, and its guards.
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
		c := once.Candidate{Host: name, DC: h.DC, Life: h.Incarnation, Usable: h.Alive && !h.Leaving}
		c.Lost = m.lostFor(now, c) > lostAfter
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

// lostFor is how long a host has not been usable.
func (m *Manager) lostFor(now time.Time, c once.Candidate) time.Duration {
	if c.Usable {
		delete(m.lostAt, c.Host)
		return 0
	}
	at, ok := m.lostAt[c.Host]
	if !ok {
		m.lostAt[c.Host] = now
		return 0
	}
	return now.Sub(at)
}

// ownedEpochs gives the epochs of a service's shards that this host holds with
// authority, and of those it has handed over. The caller holds the lock.
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

// write stores a map on condition and spreads it at once. After a lost answer
// it takes the write for its own only by its nonce.
func (m *Manager) write(ctx context.Context, p proposal) error {
	p.next.Nonce = uuid.NewString()
	key := record.Key{Kind: record.KindShardMap, Name: p.service}
	value, err := record.Marshal(key, p.next)
	if err != nil {
		return err
	}
	mine := func(stored []byte) bool {
		r, err := record.Parse(stored)
		if err != nil {
			return false
		}
		sm, ok := r.Spec.(*record.ShardMap)
		return ok && sm.Nonce == p.next.Nonce
	}
	obj, err := objects.PutSettled(ctx, m.store, key, value, p.ifVersion, mine)
	var conflict *objects.ConflictError
	switch {
	case err == nil:
		m.hooks.DistributeMap(obj)
	case errors.As(err, &conflict) && conflict.Current.Version > 0:
		// Somebody else's change: bring it into force here too.
		m.hooks.DistributeMap(conflict.Current)
	}
	return err
}

// HandOver freezes every owned shard and sends its table to the host that
// comes next, before this host tells anybody that it leaves. What could not
// be handed over is lost with the process, and its keys are refused by the
// successor.
func (m *Manager) HandOver(ctx context.Context) {
	m.mu.Lock()
	m.stopped = true
	owned := m.owner.Shards(time.Now())
	m.mu.Unlock()
	for _, s := range owned {
		m.handOverShard(ctx, once.ShardID{Service: s.Service, Shard: s.Shard})
	}
}

// Resume undoes HandOver for a planned stop that was taken back. Shards that
// nobody has taken over get a new epoch with the same owner.
func (m *Manager) Resume() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.stopped = false
}

// handoverPart bounds the entries and bytes of one part of a table.
const (
	handoverPart  = 500
	handoverBytes = 1 << 20
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
		if done, ok := reply.(*msg.HandoverDone); err != nil || !ok || !done.Accepted {
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
		if i == handoverPart || (i > 0 && bytes > handoverBytes) {
			return i
		}
	}
	return len(entries)
}

// successor names who owns a shard once this host leaves, and the guards. The
// caller holds the lock.
func (m *Manager) successor(id once.ShardID) (string, []string) {
	svc, ok := m.view.Services[id.Service]
	sm, known := mapOf(m.view, id.Service)
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
