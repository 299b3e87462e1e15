package once_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/anishathalye/porcupine"

	"github.com/radishhoist/radishhoist/internal/core/once"
	"github.com/radishhoist/radishhoist/internal/msg"
	"github.com/radishhoist/radishhoist/record"
	"github.com/radishhoist/radishhoist/verdict"
)

// The simulation: hosts with the real Owner, Promiser and placement over a
// small in-memory message fake in virtual time, a platform with conditional
// update that can be away or lose answers, and callers that repeat keyed
// requests through any host. Hosts are killed, frozen and cut off one way.

const (
	simLife    = time.Second
	simHosts   = 5
	simShards  = 2
	simService = "coach"
	simEnd     = 60 * time.Second
)

var simStart = time.Unix(100000, 0)

// simFault is one fault of a run.
type simFault uint8

const (
	faultKill simFault = iota
	faultFreeze
	faultCut
	faultOutage
	faultLostAnswer
	faultDrain
	faults
)

// simPlant is a fault put into the code on purpose.
type simPlant struct {
	// staleLease makes owners trust a lease that they once held.
	staleLease bool
	// forget makes successors trust that they know every key.
	forget bool
	// sharedPromise makes guards promise two epochs at once.
	sharedPromise bool
}

type event struct {
	at   time.Time
	seq  int
	host int // -1: not bound to a host's life
	life int
	do   func()
}

type eventHeap []*event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	if !h[i].at.Equal(h[j].at) {
		return h[i].at.Before(h[j].at)
	}
	return h[i].seq < h[j].seq
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(*event)) }
func (h *eventHeap) Pop() any {
	old := *h
	x := old[len(old)-1]
	*h = old[:len(old)-1]
	return x
}

type simHost struct {
	id       int
	name     string
	life     int // counts restarts; events of an earlier life are dropped
	up       bool
	leaving  bool
	frozen   time.Time // runs nothing before this time
	deaf     time.Time // learns of no map before this time
	heldAt   time.Time // when it last held a shard
	owner    *once.Owner
	promiser *once.Promiser
	view     *record.ShardMap
	version  int64
}

type sim struct {
	rng    *rand.Rand
	plant  simPlant
	now    time.Time
	seq    int
	queue  eventHeap
	hosts  []*simHost
	cut    map[[2]int]time.Time // one way, until
	away   time.Time
	lose   int
	stored *record.ShardMap
	rev    int64

	executed map[string]int
	ops      []porcupine.Operation
	counts   map[once.ClaimOutcome]int
}

func (s *sim) at(d time.Duration, host int, do func()) {
	life := 0
	if host >= 0 {
		life = s.hosts[host].life
	}
	s.seq++
	heap.Push(&s.queue, &event{at: s.now.Add(d), seq: s.seq, host: host, life: life, do: do})
}

func (s *sim) run() {
	for len(s.queue) > 0 {
		e := heap.Pop(&s.queue).(*event)
		s.now = e.at
		if e.host >= 0 {
			h := s.hosts[e.host]
			if !h.up || h.life != e.life {
				continue
			}
			if e.at.Before(h.frozen) {
				// A frozen host does its work when it wakes.
				e.at = h.frozen
				heap.Push(&s.queue, e)
				continue
			}
		}
		e.do()
	}
}

func (s *sim) delay() time.Duration { return time.Duration(1+s.rng.IntN(20)) * time.Millisecond }

// message delivers to a host after a delay, unless the way is cut or it is
// lost on the way.
func (s *sim) message(from, to int, do func()) {
	if s.now.Before(s.cut[[2]int{from, to}]) || s.rng.IntN(50) == 0 {
		return
	}
	s.at(s.delay(), to, do)
}

func (s *sim) start(h *simHost) {
	h.life++
	h.up, h.leaving = true, false
	h.promiser = once.NewPromiser(s.now, simLife)
	h.owner = once.NewOwner(h.name, uint64(h.life), simLife, func(string) once.TableConfig {
		cfg := once.DefaultTableConfig()
		cfg.Window, cfg.ClaimLife, cfg.Skew = 30*time.Second, 20*time.Second, 2*time.Second
		return cfg
	})
	h.view, h.version = nil, 0
	s.at(s.delay(), h.id, func() { s.sync(h) })
	s.at(s.delay(), h.id, func() { s.tick(h) })
	s.at(s.delay(), h.id, func() { s.place(h) })
}

// sync reads the map from the platform, as a host does when it starts.
func (s *sim) sync(h *simHost) {
	if s.now.Before(s.away) {
		s.at(200*time.Millisecond, h.id, func() { s.sync(h) })
		return
	}
	stored, rev := s.stored, s.rev
	s.at(s.delay(), h.id, func() {
		s.learn(h, stored, rev)
		h.promiser.Synced()
	})
}

func (s *sim) learn(h *simHost, m *record.ShardMap, rev int64) {
	if m == nil || rev <= h.version {
		return
	}
	h.view, h.version = m, rev
	for i, sh := range m.Shards {
		if !s.plant.sharedPromise {
			h.promiser.LearnEpoch(once.ShardID{Service: simService, Shard: uint32(i)}, sh.Epoch)
		}
	}
	h.owner.SetMap(s.now, simService, m)
}

func (s *sim) tick(h *simHost) {
	for _, o := range h.owner.Shards(s.now) {
		if o.Held {
			h.heldAt = s.now
		}
	}
	asks, _, _ := h.owner.Tick(s.now, s.now.UnixMilli())
	for _, a := range asks {
		asked, to := s.now, s.index(a.Guard)
		s.message(h.id, to, func() {
			g := s.hosts[to]
			r := g.promiser.Ask(s.now, a.Shard, a.Epoch, h.name)
			if s.plant.sharedPromise && !r.Granted {
				r = once.PromiseReply{Granted: true, Epoch: a.Epoch, Life: simLife}
			}
			s.message(to, h.id, func() { h.owner.Promised(a, asked, r) })
		})
	}
	s.at(50*time.Millisecond, h.id, func() { s.tick(h) })
}

func (s *sim) index(name string) int {
	return slices.IndexFunc(s.hosts, func(h *simHost) bool { return h.name == name })
}

// candidates is membership's view: a host that is down, frozen or cut off is
// seen as gone, at times wrongly.
func (s *sim) candidates(viewer int) []once.Candidate {
	var out []once.Candidate
	for _, h := range s.hosts {
		reachable := h.up && !s.now.Before(h.frozen) && !s.now.Before(s.cut[[2]int{h.id, viewer}])
		out = append(out, once.Candidate{
			Host: h.name, DC: fmt.Sprint(h.id % 3), Life: uint64(h.life),
			Usable: reachable && !h.leaving, Lost: !reachable && s.rng.IntN(4) == 0,
		})
	}
	return out
}

func (s *sim) place(h *simHost) {
	defer s.at(time.Duration(100+s.rng.IntN(200))*time.Millisecond, h.id, func() { s.place(h) })
	var next *record.ShardMap
	hosts := s.candidates(h.id)
	if h.view == nil {
		next = once.FirstMap(simService, simShards, hosts, s.now)
	} else {
		held, frozen := map[uint32]uint64{}, map[uint32]uint64{}
		for _, o := range h.owner.Shards(s.now) {
			if o.Frozen && !h.leaving {
				frozen[o.Shard] = o.Epoch
			} else if o.Held {
				held[o.Shard] = o.Epoch
			}
		}
		if next = once.Thaw(h.name, h.view, frozen); next == nil {
			next = once.NextMap(simService, h.name, h.view, hosts)
		}
		if next == nil {
			next = once.ConfirmHeld(h.name, h.view, held)
		}
	}
	if next != nil {
		s.put(h, next, h.version)
	}
}

// put writes the map on condition; its answer may be lost after it took
// effect, and the host then reads back.
func (s *sim) put(h *simHost, next *record.ShardMap, ifVersion int64) {
	s.at(s.delay(), -1, func() {
		if s.now.Before(s.away) {
			return
		}
		if s.rev == ifVersion {
			s.rev++
			s.stored = next
			s.spread()
		}
		stored, rev := s.stored, s.rev
		if s.lose > 0 {
			s.lose--
			return
		}
		s.at(s.delay(), h.id, func() { s.learn(h, stored, rev) })
	})
}

// spread brings a map to the hosts, each after its own time, some late.
func (s *sim) spread() {
	stored, rev := s.stored, s.rev
	for _, h := range s.hosts {
		late := time.Duration(s.rng.IntN(300)) * time.Millisecond
		if s.rng.IntN(8) == 0 {
			late += 3 * time.Second
		}
		late = max(late, h.deaf.Sub(s.now))
		s.at(late, h.id, func() { s.learn(h, stored, rev) })
	}
}

// keyInput and keyOutput are one caller's operation in the history.
type keyInput struct{ key string }

type keyOutput struct {
	outcome once.ClaimOutcome
	answer  string
	// ran says the caller itself got its answer; lost that its run may have
	// happened without an answer.
	ran, lost bool
}

// request is one caller's keyed request through a host.
func (s *sim) request(client int, key string, minted int64, front int) {
	call := s.now
	id := fmt.Sprintf("%s/%d/%d", key, client, s.seq)
	finish := func(o keyOutput) {
		s.counts[o.outcome]++
		s.ops = append(s.ops, porcupine.Operation{
			ClientId: client, Input: keyInput{key}, Output: o,
			Call: call.UnixNano(), Return: s.now.UnixNano(),
		})
	}
	f := s.hosts[front]
	if !f.up || f.view == nil {
		return
	}
	shard := uint32(len(key)+int(key[len(key)-1])) % simShards
	done := false
	settle := func(o keyOutput) {
		if !done {
			done = true
			finish(o)
		}
	}
	owner := s.index(f.view.Shards[shard].Owner)
	claim := &msg.KeyClaim{Service: simService, Shard: shard, Key: key, RequestID: id, CreatedMS: minted}
	s.message(front, owner, func() {
		o := s.hosts[owner]
		now := s.now
		if s.plant.staleLease && !o.heldAt.IsZero() {
			now = o.heldAt
		}
		r := o.owner.Claim(now, s.now.UnixMilli(), claim)
		if s.plant.forget && once.ClaimOutcome(r.Outcome) == once.ClaimUnknown {
			r.Outcome = uint8(once.ClaimRun)
		}
		s.message(owner, front, func() { s.claimed(f, claim, r, settle) })
	})
	// The caller gives up; a run may still come, so the outcome is open.
	s.at(8*time.Second, -1, func() { settle(keyOutput{outcome: once.ClaimMayHaveRun, lost: true}) })
}

func (s *sim) claimed(f *simHost, c *msg.KeyClaim, r *msg.KeyClaimed, settle func(keyOutput)) {
	outcome := once.ClaimOutcome(r.Outcome)
	if outcome != once.ClaimRun {
		settle(keyOutput{outcome: outcome, answer: string(r.Body)})
		return
	}
	// The run itself: somewhere, after some time, even with the front paused.
	s.at(time.Duration(s.rng.IntN(1500))*time.Millisecond, -1, func() {
		if s.rng.IntN(10) == 0 {
			settle(keyOutput{outcome: once.ClaimRefused})
			s.done(f, c, &msg.KeyResult{Verdict: verdict.NotRun})
			return
		}
		s.executed[c.Key]++
		answer := fmt.Sprintf("%s#%d", c.Key, s.executed[c.Key])
		if s.rng.IntN(10) == 0 {
			s.done(f, c, &msg.KeyResult{Verdict: verdict.MayHaveRun})
			return
		}
		settle(keyOutput{outcome: once.ClaimRun, answer: answer, ran: true})
		s.done(f, c, &msg.KeyResult{Verdict: verdict.Ran, Complete: true, Stored: true, Body: []byte(answer)})
	})
}

func (s *sim) done(f *simHost, c *msg.KeyClaim, d *msg.KeyResult) {
	d.Service, d.Shard, d.Key, d.RequestID = c.Service, c.Shard, c.Key, c.RequestID
	if !f.up || f.view == nil {
		return
	}
	owner := s.index(f.view.Shards[c.Shard].Owner)
	s.message(f.id, owner, func() { s.hosts[owner].owner.Done(s.now, d) })
}

// break1 starts one fault on a random host.
func (s *sim) break1(f simFault) {
	h := s.hosts[s.rng.IntN(simHosts)]
	span := time.Duration(500+s.rng.IntN(5000)) * time.Millisecond
	switch f {
	case faultKill:
		h.up = false
		s.at(span, -1, func() { s.start(h) })
	case faultFreeze:
		h.frozen = s.now.Add(span)
	case faultCut:
		h.deaf = s.now.Add(span)
		for i := range s.hosts {
			way := [2]int{h.id, i}
			if s.rng.IntN(2) == 0 {
				way = [2]int{i, h.id}
			}
			if i != h.id {
				s.cut[way] = s.now.Add(span)
			}
		}
	case faultOutage:
		s.away = s.now.Add(span)
	case faultLostAnswer:
		s.lose += 2
	case faultDrain:
		if h.up && h.view != nil {
			s.drain(h, span)
		}
	}
}

// drain hands every shard over and stops the host, then starts it anew.
func (s *sim) drain(h *simHost, span time.Duration) {
	hosts := s.candidates(h.id)
	hosts[h.id].Usable = false
	for _, o := range h.owner.Shards(s.now) {
		id := once.ShardID{Service: o.Service, Shard: o.Shard}
		entries, since, opaque, epoch, ok := h.owner.Freeze(s.now, id)
		if to := s.index(once.Successor(simService, o.Shard, h.view, hosts)); ok && to >= 0 {
			part := &msg.Handover{Service: o.Service, Shard: o.Shard, Epoch: epoch + 1, Since: since, OpaqueMS: opaque, Entries: entries, Last: true}
			s.message(h.id, to, func() {
				if s.hosts[to].owner.Accept(s.now, part) {
					for _, g := range s.hosts {
						s.message(h.id, g.id, func() { g.promiser.Release(s.now, id, epoch, h.name) })
					}
				}
			})
		}
	}
	s.at(30*time.Millisecond, h.id, func() { h.leaving = true })
	s.at(500*time.Millisecond+span, h.id, func() { s.start(h) })
}

// simulate runs one seed with two kinds of fault and returns what went wrong.
func simulate(seed uint64, a, b simFault, p simPlant) (*sim, string) {
	s := &sim{
		rng: rand.New(rand.NewPCG(seed, 7)), plant: p, now: simStart,
		cut: make(map[[2]int]time.Time), executed: make(map[string]int), counts: make(map[once.ClaimOutcome]int),
	}
	for i := range simHosts {
		s.hosts = append(s.hosts, &simHost{id: i, name: fmt.Sprintf("h%d", i)})
	}
	for _, h := range s.hosts {
		s.start(h)
	}
	for at := 4 * time.Second; at < simEnd-10*time.Second; at += time.Duration(1000+s.rng.IntN(3000)) * time.Millisecond {
		f := a
		if s.rng.IntN(2) == 0 {
			f = b
		}
		s.at(at, -1, func() { s.break1(f) })
	}
	for n := range 300 {
		// Each key is sent several times, over a few seconds, anywhere.
		key := fmt.Sprintf("k%d-%d", n, seed)
		first := 2*time.Second + time.Duration(n)*150*time.Millisecond
		minted := simStart.Add(first).UnixMilli() + int64(s.rng.IntN(2000)) - 1000
		if n%4 == 0 {
			minted = 0
		}
		for repeat := range 4 {
			wait := time.Duration(s.rng.IntN(1+repeat*2500)) * time.Millisecond
			s.at(first+wait, -1, func() { s.request(n*4+repeat, key, minted, s.rng.IntN(simHosts)) })
		}
	}
	s.at(simEnd, -1, func() { s.queue = nil })
	s.run()
	for key, n := range s.executed {
		if n > 1 {
			return s, fmt.Sprintf("seed %d: key %s ran %d times", seed, key, n)
		}
	}
	if !porcupine.CheckOperations(keyModel.ToModel(), s.ops) {
		return s, fmt.Sprintf("seed %d: the history is not one of a key that runs once", seed)
	}
	return s, ""
}
