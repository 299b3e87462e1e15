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

// This file simulates hosts that run the production Owner, LeaseGranter and placement code
// in virtual time over a simulated network. The platform supports conditional updates; it
// may be unavailable, and its replies may be lost. Callers retry keyed requests through
// any host. Hosts are killed, paused and drained. In a partition, messages between one host
// and each of the others are lost in one direction.

const (
	leaseDuration = time.Second
	simHosts      = 5
	simShards     = 2
	simService    = "coach"
	simEnd        = 60 * time.Second
)

var simStart = time.Unix(100000, 0)

// simFault is a kind of fault.
type simFault uint8

const (
	faultKill simFault = iota
	faultPause
	faultPartition
	faultOutage    // the platform is unavailable
	faultLostReply // replies of the platform are lost
	faultDrain
	numFaults
)

// simMutation selects a bug to inject, to verify that the history check detects it.
type simMutation struct {
	// staleLease makes owners rely on leases that may have expired.
	staleLease bool
	// claimUnknownKeys makes owners accept claims of unknown keys.
	claimUnknownKeys bool
	// conflictingLeases makes guards grant the leases of several epochs at the same time.
	conflictingLeases bool
}

type event struct {
	at          time.Time
	seq         int
	host        int // -1 if the event does not depend on a host
	incarnation int
	do          func()
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
	id               int
	name             string
	incarnation      int // counts restarts; events of earlier incarnations are dropped
	up               bool
	leaving          bool
	pausedUntil      time.Time // executes no events before this time
	mapsDelayedUntil time.Time // receives no maps before this time
	heldAt           time.Time // when it last had authority over a shard
	owner            *once.Owner
	granter          *once.LeaseGranter
	view             *record.ShardMap // the newest map that it has received, with version
	version          int64
}

type sim struct {
	rng              *rand.Rand
	mutation         simMutation
	now              time.Time
	seq              int
	queue            eventHeap
	hosts            []*simHost
	partitionedUntil map[[2]int]time.Time // end of the partition from one host to another
	unavailableUntil time.Time            // end of the platform's outage
	repliesToLose    int                  // number of the platform's next replies that are lost
	stored           *record.ShardMap     // at the platform, with version
	version          int64

	runs     map[string]int // number of runs of each key
	ops      []porcupine.Operation
	outcomes map[once.ClaimOutcome]int
}

func (s *sim) schedule(d time.Duration, host int, do func()) {
	incarnation := 0
	if host >= 0 {
		incarnation = s.hosts[host].incarnation
	}
	s.seq++
	heap.Push(&s.queue, &event{at: s.now.Add(d), seq: s.seq, host: host, incarnation: incarnation, do: do})
}

func (s *sim) run() {
	for len(s.queue) > 0 {
		e := heap.Pop(&s.queue).(*event)
		s.now = e.at
		if e.host >= 0 {
			h := s.hosts[e.host]
			if !h.up || h.incarnation != e.incarnation {
				continue
			}
			if e.at.Before(h.pausedUntil) {
				// The event runs when the paused host resumes.
				e.at = h.pausedUntil
				heap.Push(&s.queue, e)
				continue
			}
		}
		e.do()
	}
}

func (s *sim) delay() time.Duration { return time.Duration(1+s.rng.IntN(20)) * time.Millisecond }

// send delivers a message to a host after a delay, unless the two hosts are partitioned
// or the message is lost.
func (s *sim) send(from, to int, do func()) {
	if s.now.Before(s.partitionedUntil[[2]int{from, to}]) || s.rng.IntN(50) == 0 {
		return
	}
	s.schedule(s.delay(), to, do)
}

// start starts a host's process, without state of an earlier incarnation.
func (s *sim) start(h *simHost) {
	h.incarnation++
	h.up, h.leaving = true, false
	h.granter = once.NewLeaseGranter(s.now, leaseDuration)
	h.owner = once.NewOwner(h.name, uint64(h.incarnation), leaseDuration, func(string) once.TableConfig {
		cfg := once.DefaultTableConfig()
		cfg.Window, cfg.ClaimTimeout, cfg.MaxSkew = 30*time.Second, 20*time.Second, 2*time.Second
		return cfg
	})
	h.view, h.version = nil, 0
	s.schedule(s.delay(), h.id, func() { s.sync(h) })
	s.schedule(s.delay(), h.id, func() { s.tick(h) })
	s.schedule(s.delay(), h.id, func() { s.updateMap(h) })
}

// sync reads the map from the platform, as a host does at startup.
func (s *sim) sync(h *simHost) {
	if s.now.Before(s.unavailableUntil) {
		s.schedule(200*time.Millisecond, h.id, func() { s.sync(h) })
		return
	}
	stored, version := s.stored, s.version
	s.schedule(s.delay(), h.id, func() {
		s.receiveMap(h, stored, version)
		h.granter.MarkSynced()
	})
}

// receiveMap applies a map at a host unless it has this version or a newer one.
func (s *sim) receiveMap(h *simHost, m *record.ShardMap, version int64) {
	if m == nil || version <= h.version {
		return
	}
	h.view, h.version = m, version
	for i, sh := range m.Shards {
		if !s.mutation.conflictingLeases {
			h.granter.ObserveEpoch(once.ShardID{Service: simService, Shard: uint32(i)}, sh.Epoch)
		}
	}
	h.owner.SetMap(s.now, simService, m)
}

// tick sends the lease requests of a host that are due, and schedules the next tick.
func (s *sim) tick(h *simHost) {
	for _, o := range h.owner.Shards(s.now) {
		if o.HasAuthority {
			h.heldAt = s.now
		}
	}
	requests, _, _ := h.owner.Tick(s.now, s.now.UnixMilli())
	for _, req := range requests {
		requested, to := s.now, s.index(req.Guard)
		s.send(h.id, to, func() {
			g := s.hosts[to]
			r := g.granter.Acquire(s.now, req.Shard, req.Epoch, h.name)
			if s.mutation.conflictingLeases && !r.Granted {
				r = once.LeaseReply{Granted: true, Epoch: req.Epoch, TTL: leaseDuration}
			}
			s.send(to, h.id, func() { h.owner.HandleLeaseReply(req, requested, r) })
		})
	}
	s.schedule(50*time.Millisecond, h.id, func() { s.tick(h) })
}

func (s *sim) index(name string) int {
	return slices.IndexFunc(s.hosts, func(h *simHost) bool { return h.name == name })
}

// candidates returns the hosts as the viewer sees them. A host that is down, paused or
// partitioned from the viewer is unusable, and at random also lost.
func (s *sim) candidates(viewer int) []once.Candidate {
	var out []once.Candidate
	for _, h := range s.hosts {
		reachable := h.up && !s.now.Before(h.pausedUntil) && !s.now.Before(s.partitionedUntil[[2]int{h.id, viewer}])
		out = append(out, once.Candidate{
			Host: h.name, DC: fmt.Sprint(h.id % 3), Incarnation: uint64(h.incarnation),
			Usable: reachable && !h.leaving, Lost: !reachable && s.rng.IntN(4) == 0,
		})
	}
	return out
}

// updateMap writes the change of the map that is due at a host, if any, and schedules the
// next check.
func (s *sim) updateMap(h *simHost) {
	defer s.schedule(time.Duration(100+s.rng.IntN(200))*time.Millisecond, h.id, func() { s.updateMap(h) })
	var next *record.ShardMap
	hosts := s.candidates(h.id)
	if h.view == nil {
		next = once.InitialMap(simService, simShards, hosts, s.now)
	} else {
		held, frozen := map[uint32]uint64{}, map[uint32]uint64{}
		for _, o := range h.owner.Shards(s.now) {
			if o.Frozen && !h.leaving {
				frozen[o.Shard] = o.Epoch
			} else if o.HasAuthority {
				held[o.Shard] = o.Epoch
			}
		}
		if next = once.ReclaimFrozen(h.name, h.view, frozen); next == nil {
			next = once.NextMap(simService, h.name, h.view, hosts)
		}
		if next == nil {
			next = once.ConfirmHeld(h.name, h.view, held)
		}
	}
	if next != nil {
		s.writeMap(h, next, h.version)
	}
}

// writeMap writes the map if the stored version is ifVersion. The reply contains the
// stored map, and may be lost after the write took effect.
func (s *sim) writeMap(h *simHost, next *record.ShardMap, ifVersion int64) {
	s.schedule(s.delay(), -1, func() {
		if s.now.Before(s.unavailableUntil) {
			return
		}
		if s.version == ifVersion {
			s.version++
			s.stored = next
			s.distribute()
		}
		stored, version := s.stored, s.version
		if s.repliesToLose > 0 {
			s.repliesToLose--
			return
		}
		s.schedule(s.delay(), h.id, func() { s.receiveMap(h, stored, version) })
	})
}

// distribute sends the stored map to the hosts with random delays, some of them long.
func (s *sim) distribute() {
	stored, version := s.stored, s.version
	for _, h := range s.hosts {
		delay := time.Duration(s.rng.IntN(300)) * time.Millisecond
		if s.rng.IntN(8) == 0 {
			delay += 3 * time.Second
		}
		delay = max(delay, h.mapsDelayedUntil.Sub(s.now))
		s.schedule(delay, h.id, func() { s.receiveMap(h, stored, version) })
	}
}

// keyInput and keyOutput are the input and the output of an operation in the history: one
// request of a caller.
type keyInput struct{ key string }

type keyOutput struct {
	outcome  once.ClaimOutcome
	response string
	// ran is set if this request ran and the caller got its response, lost if it may have
	// run without the caller getting a response.
	ran, lost bool
}

// request sends a caller's keyed request through the front of a host.
func (s *sim) request(client int, key string, created int64, front int) {
	call := s.now
	id := fmt.Sprintf("%s/%d/%d", key, client, s.seq)
	finish := func(o keyOutput) {
		s.outcomes[o.outcome]++
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
	claim := &msg.KeyClaim{Service: simService, Shard: shard, Key: key, RequestID: id, CreatedMS: created}
	s.send(front, owner, func() {
		o := s.hosts[owner]
		now := s.now
		if s.mutation.staleLease && !o.heldAt.IsZero() {
			now = o.heldAt
		}
		r := o.owner.Claim(now, s.now.UnixMilli(), claim)
		if s.mutation.claimUnknownKeys && once.ClaimOutcome(r.Outcome) == once.ClaimUnknown {
			r.Outcome = uint8(once.ClaimRun)
		}
		s.send(owner, front, func() { s.claimed(f, claim, r, settle) })
	})
	// The caller times out. The request may still run later, so the outcome is
	// unknown.
	s.schedule(8*time.Second, -1, func() { settle(keyOutput{outcome: once.ClaimMayHaveRun, lost: true}) })
}

// claimed handles the owner's reply to a claim at the front.
func (s *sim) claimed(f *simHost, c *msg.KeyClaim, r *msg.ClaimReply, settle func(keyOutput)) {
	outcome := once.ClaimOutcome(r.Outcome)
	if outcome != once.ClaimRun {
		settle(keyOutput{outcome: outcome, response: string(r.Body)})
		return
	}
	// The request runs after a random time, even while the front is paused.
	s.schedule(time.Duration(s.rng.IntN(1500))*time.Millisecond, -1, func() {
		if s.rng.IntN(10) == 0 {
			settle(keyOutput{outcome: once.ClaimRefused})
			s.recordResult(f, c, &msg.KeyResult{Verdict: verdict.NotRun})
			return
		}
		s.runs[c.Key]++
		response := fmt.Sprintf("%s#%d", c.Key, s.runs[c.Key])
		if s.rng.IntN(10) == 0 {
			s.recordResult(f, c, &msg.KeyResult{Verdict: verdict.MayHaveRun})
			return
		}
		settle(keyOutput{outcome: once.ClaimRun, response: response, ran: true})
		s.recordResult(f, c, &msg.KeyResult{Verdict: verdict.Ran, Complete: true, StoreResponse: true, Body: []byte(response)})
	})
}

// recordResult sends the result of a claimed request to the owner.
func (s *sim) recordResult(f *simHost, c *msg.KeyClaim, result *msg.KeyResult) {
	result.Service, result.Shard, result.Key, result.RequestID = c.Service, c.Shard, c.Key, c.RequestID
	if !f.up || f.view == nil {
		return
	}
	owner := s.index(f.view.Shards[c.Shard].Owner)
	s.send(f.id, owner, func() { s.hosts[owner].owner.RecordResult(s.now, result) })
}

// injectFault starts a fault, on a random host where the fault concerns one.
func (s *sim) injectFault(fault simFault) {
	h := s.hosts[s.rng.IntN(simHosts)]
	duration := time.Duration(500+s.rng.IntN(5000)) * time.Millisecond
	switch fault {
	case faultKill:
		h.up = false
		s.schedule(duration, -1, func() { s.start(h) })
	case faultPause:
		h.pausedUntil = s.now.Add(duration)
	case faultPartition:
		h.mapsDelayedUntil = s.now.Add(duration)
		for i := range s.hosts {
			direction := [2]int{h.id, i}
			if s.rng.IntN(2) == 0 {
				direction = [2]int{i, h.id}
			}
			if i != h.id {
				s.partitionedUntil[direction] = s.now.Add(duration)
			}
		}
	case faultOutage:
		s.unavailableUntil = s.now.Add(duration)
	case faultLostReply:
		s.repliesToLose += 2
	case faultDrain:
		if h.up && h.view != nil {
			s.drain(h, duration)
		}
	}
}

// drain hands over every shard of a host, marks the host as leaving, and restarts it.
func (s *sim) drain(h *simHost, downtime time.Duration) {
	hosts := s.candidates(h.id)
	hosts[h.id].Usable = false
	for _, o := range h.owner.Shards(s.now) {
		id := once.ShardID{Service: o.Service, Shard: o.Shard}
		entries, since, opaque, epoch, ok := h.owner.Freeze(s.now, id)
		if to := s.index(once.Successor(simService, o.Shard, h.view, hosts)); ok && to >= 0 {
			part := &msg.Handover{Service: o.Service, Shard: o.Shard, Epoch: epoch + 1, Since: since, OpaqueMS: opaque, Entries: entries, Last: true}
			s.send(h.id, to, func() {
				if s.hosts[to].owner.AcceptHandover(s.now, part) {
					for _, g := range s.hosts {
						s.send(h.id, g.id, func() { g.granter.Release(s.now, id, epoch, h.name) })
					}
				}
			})
		}
	}
	s.schedule(30*time.Millisecond, h.id, func() { h.leaving = true })
	s.schedule(500*time.Millisecond+downtime, h.id, func() { s.start(h) })
}

// simulate runs the simulation of a seed with faults of two kinds. It returns a description
// of the violation, "" if there is none.
func simulate(seed uint64, a, b simFault, injected simMutation) (*sim, string) {
	s := &sim{
		rng: rand.New(rand.NewPCG(seed, 7)), mutation: injected, now: simStart,
		partitionedUntil: make(map[[2]int]time.Time), runs: make(map[string]int), outcomes: make(map[once.ClaimOutcome]int),
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
		s.schedule(at, -1, func() { s.injectFault(f) })
	}
	for n := range 300 {
		// Each key is sent several times within a few seconds, through random
		// hosts.
		key := fmt.Sprintf("k%d-%d", n, seed)
		first := 2*time.Second + time.Duration(n)*150*time.Millisecond
		created := simStart.Add(first).UnixMilli() + int64(s.rng.IntN(2000)) - 1000
		if n%4 == 0 {
			created = 0
		}
		for repeat := range 4 {
			wait := time.Duration(s.rng.IntN(1+repeat*2500)) * time.Millisecond
			s.schedule(first+wait, -1, func() { s.request(n*4+repeat, key, created, s.rng.IntN(simHosts)) })
		}
	}
	s.schedule(simEnd, -1, func() { s.queue = nil })
	s.run()
	for key, n := range s.runs {
		if n > 1 {
			return s, fmt.Sprintf("seed %d: key %s ran %d times", seed, key, n)
		}
	}
	if !porcupine.CheckOperations(keyModel.ToModel(), s.ops) {
		return s, fmt.Sprintf("seed %d: the history violates at-most-once execution", seed)
	}
	return s, ""
}
