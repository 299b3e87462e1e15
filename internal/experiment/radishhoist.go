package experiment

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/radishhoist/radishhoist/internal/core/admit"
	"github.com/radishhoist/radishhoist/internal/core/balance"
	"github.com/radishhoist/radishhoist/internal/core/detect"
	"github.com/radishhoist/radishhoist/internal/core/eject"
	"github.com/radishhoist/radishhoist/internal/core/retry"
)

// radishhoistSim simulates the radishhoist policy with the real core packages: guards with
// admission control and failure detection, and fronts with load balancing, ejection limited by the
// floor, hedging and a retry budget.
type radishhoistSim struct {
	*simulation
	guards []*guardSim
	fronts []*frontSim
	nextID admit.ID
}

// guardSim simulates one instance with its guard.
type guardSim struct {
	index     int
	queue     *admit.Queue
	detector  *detect.Detector
	reference detect.Reference
	attempts  map[admit.ID]*guardAttempt
}

// guardAttempt is the state of an attempt at its guard.
type guardAttempt struct {
	attempt *attemptSim
	// started is the start of its execution, 0 before.
	started time.Duration
	// reportedAge is the time since then at the last report to the detector.
	reportedAge time.Duration
}

// frontSim simulates one front.
type frontSim struct {
	index   int
	rng     *rand.Rand
	budget  *retry.Budget
	targets []targetState
	ejected []bool
	// usable are the instances that the front can use, local the indexes in usable of those in its
	// own data centre.
	usable []int
	local  []int
	// samples are the latest outcomes, and recentTimes the latest service times, of any instance.
	samples     []sampleSim
	recentTimes []time.Duration
	// hedgeDelay is the time after which an idempotent request is hedged.
	hedgeDelay time.Duration
}

// targetState is what a front knows of an instance and of the path to it.
type targetState struct {
	// running and queued are the load that the guard reported at loadAt, pending the attempts of
	// this front that have not ended.
	slots, running, queued int
	loadAt                 time.Duration
	pending                int
	serviceTime            time.Duration
	roundTrip              time.Duration
	suspect                bool
	evidence               uint32
	pathDown               bool
	pathRetryAt            time.Duration
	pathBackoff            time.Duration
}

// sampleSim is the outcome of an attempt at an instance, as observed by a front.
type sampleSim struct {
	instance    int
	serviceTime time.Duration
	failed      bool
	used        bool
	at          time.Duration
}

// requestSim is one request of a caller.
type requestSim struct {
	front      *frontSim
	arrived    time.Duration
	idempotent bool
	tried      []int
	running    int
	finished   bool
	hedged     bool
}

// attemptSim is one attempt of a request.
type attemptSim struct {
	req      *requestSim
	instance int
	id       admit.ID
	sent     time.Duration
	finished bool
}

func newRadishhoistSim(sim *simulation) *radishhoistSim {
	s := &radishhoistSim{simulation: sim}
	for i := range sim.site.Instances {
		s.guards = append(s.guards, &guardSim{
			index:    i,
			queue:    admit.NewQueue(admit.Config{Slots: sim.site.Slots, QueuePerSlot: 4, GrantTTL: 250 * time.Millisecond}),
			detector: detect.NewDetector(sim.site.Params),
			attempts: make(map[admit.ID]*guardAttempt),
		})
	}
	for i := range sim.site.Fronts {
		f := &frontSim{index: i, rng: rand.New(rand.NewPCG(sim.rng.Uint64(), uint64(i))), budget: retry.NewBudget(s.virtualTime().Add(-10*time.Second), retry.Limits{Share: 0.1, Reserve: 1, Window: 10 * time.Second}), hedgeDelay: 200 * time.Millisecond}
		for range sim.site.Instances {
			f.targets = append(f.targets, targetState{slots: sim.site.Slots})
		}
		s.fronts = append(s.fronts, f)
		s.updateEjections(f)
	}
	for _, g := range s.guards {
		s.tick(g)
	}
	return s
}

// tick runs the guard's periodic work every 20 ms.
func (s *radishhoistSim) tick(g *guardSim) {
	s.schedule(20*time.Millisecond, func() {
		s.applyDecisions(g, g.queue.Tick(s.virtualTime()))
		ref := g.reference.At(s.virtualTime())
		for _, id := range sortedIDs(g.attempts) {
			c := g.attempts[id]
			age := s.now - c.started
			if c.started == 0 || age < 2*c.reportedAge || age < 20*time.Millisecond {
				continue
			}
			c.reportedAge = age
			if g.detector.AddPending(s.virtualTime(), ref, age) {
				s.publish(g)
			}
		}
		s.tick(g)
	})
}

func sortedIDs(attempts map[admit.ID]*guardAttempt) []admit.ID {
	ids := make([]admit.ID, 0, len(attempts))
	for id := range attempts {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// publish sends the health of a guard's instance to all fronts, each with its own random delay.
func (s *radishhoistSim) publish(g *guardSim) {
	suspect := g.detector.Health() == detect.Suspect
	evidence := uint32(g.detector.SuspicionEvidence() * 100)
	if suspect && (g.index != 0 || !s.faultActive()) {
		s.metrics.falseEjections++
	}
	for _, f := range s.fronts {
		s.schedule(time.Duration(50+f.rng.IntN(350))*time.Millisecond, func() {
			f.targets[g.index].suspect, f.targets[g.index].evidence = suspect, evidence
			s.updateEjections(f)
			s.updateMinMargin()
		})
	}
}

// faultActive reports whether instance 0 has a fault, including the normal phases of Flapping.
func (s *radishhoistSim) faultActive() bool {
	return s.now >= FaultStart && (s.fault.isGray() || s.fault == Flapping || s.fault == SlowPath)
}

// updateEjections selects the instances that a front ejects, within the limit of the floor, and
// those that it can use.
func (s *radishhoistSim) updateEjections(f *frontSim) {
	members := make([]eject.Member, len(f.targets))
	for i := range f.targets {
		t := &f.targets[i]
		members[i] = eject.Member{
			Name: string(rune('a' + i)), Slots: t.slots, Usable: !t.pathDown,
			Suspect: t.suspect, Evidence: t.evidence,
		}
	}
	r := eject.Select(members, s.site.Floor)
	if slices.Contains(r.Ejected, true) && r.HealthySlots < r.RequiredSlots {
		s.metrics.floorViolations++
	}
	f.ejected = r.Ejected
	f.usable, f.local = f.usable[:0], f.local[:0]
	for i := range members {
		if members[i].Usable && !r.Ejected[i] {
			if f.index%s.site.DCs == i%s.site.DCs {
				f.local = append(f.local, len(f.usable))
			}
			f.usable = append(f.usable, i)
		}
	}
}

// updateMinMargin updates the least capacity above the floor. An instance counts as ejected if any
// front ejects it.
func (s *radishhoistSim) updateMinMargin() {
	remainingSlots := 0
	for i := range s.guards {
		ejected := false
		for _, f := range s.fronts {
			ejected = ejected || f.ejected[i]
		}
		if !ejected {
			remainingSlots += s.site.Slots
		}
	}
	required := (s.site.Instances*s.site.Slots*s.site.Floor.Percent + 99) / 100
	s.metrics.minMargin = min(s.metrics.minMargin, remainingSlots-required)
}

// send starts a new request at a random front.
func (s *radishhoistSim) send() {
	f := s.fronts[s.rng.IntN(len(s.fronts))]
	s.metrics.requests++
	f.budget.AddRequest(s.virtualTime(), 0)
	r := &requestSim{front: f, arrived: s.now, idempotent: s.rng.Float64() < idempotentShare}
	s.sendAttempt(r)
	s.schedule(deadline, func() { s.finish(r, false) })
	if r.idempotent {
		s.schedule(f.hedgeDelay, func() {
			if !r.finished && !r.hedged && len(r.tried) < 3 && f.budget.Take(s.virtualTime()) {
				r.hedged = true
				s.sendAttempt(r)
			}
		})
	}
}

// finish ends a request with its first response, or with a failure.
func (s *radishhoistSim) finish(r *requestSim, ok bool) {
	if r.finished {
		return
	}
	r.finished = true
	s.countResponse(r.arrived, ok)
}

// pick selects an instance as the real front does: a path or an ejected instance that is due for a
// trial, or else by load balancing. It returns -1 if no instance is usable.
func (s *radishhoistSim) pick(r *requestSim) int {
	f := r.front
	if r.idempotent && len(r.tried) == 0 {
		if i := s.pathTrial(f); i >= 0 {
			return i
		}
	}
	if share := 0.05 * float64(countTrue(f.ejected)) / float64(len(f.targets)); r.idempotent && len(r.tried) == 0 && share > 0 && f.rng.Float64() < share {
		for i, ejected := range f.ejected {
			if ejected {
				return i
			}
		}
	}
	usable, local := f.usable, f.local
	if len(r.tried) > 0 {
		usable, local = nil, nil
		for _, i := range f.usable {
			if !slices.Contains(r.tried, i) {
				if f.index%s.site.DCs == i%s.site.DCs {
					local = append(local, len(usable))
				}
				usable = append(usable, i)
			}
		}
	}
	k := balance.Pick(f.rng, balance.Sample(f.rng, len(usable), local), func(k int) float64 {
		i := usable[k]
		t := &f.targets[i]
		return balance.Cost(balance.Candidate{
			Typical: balance.TypicalLoad{Running: 0.3},
			Slots:   t.slots, Running: t.running, QueuedWork: time.Duration(t.queued) * t.serviceTime, LoadAge: s.now - t.loadAt, Pending: t.pending,
			Service: t.serviceTime, RoundTrip: t.roundTrip, WarmUpProgress: 1, Local: f.index%s.site.DCs == i%s.site.DCs,
		}, balance.CostWeights{})
	})
	if k < 0 {
		return -1
	}
	return usable[k]
}

func countTrue(list []bool) int {
	n := 0
	for _, b := range list {
		if b {
			n++
		}
	}
	return n
}

// pathTrial returns an instance whose path is down and due for a trial, or -1. It postpones the next
// trial of the path, so that only one idempotent request probes it at a time.
func (s *radishhoistSim) pathTrial(f *frontSim) int {
	for i := range f.targets {
		if t := &f.targets[i]; t.pathDown && s.now >= t.pathRetryAt {
			t.pathRetryAt = s.now + t.pathBackoff
			return i
		}
	}
	return -1
}

func (s *radishhoistSim) sendAttempt(r *requestSim) {
	i := s.pick(r)
	if i < 0 {
		if r.running == 0 {
			s.finish(r, false)
		}
		return
	}
	f := r.front
	r.tried = append(r.tried, i)
	r.running++
	f.targets[i].pending++
	s.nextID++
	t := &attemptSim{req: r, instance: i, id: s.nextID, sent: s.now}
	sample, hasSample := f.takeSample(s.now, i)
	s.schedule(s.pathDelay(f.index, i), func() { s.arrive(t, sample, hasSample) })
	s.schedule(300*time.Millisecond, func() { s.handleSilence(t) })
}

// handleSilence runs 300 ms after an attempt was sent. This corresponds to two frame timeouts of the
// real front, which pings the host after the first one. If the host's outbound messages are lost,
// handleSilence marks the path as down and fails the attempt.
func (s *radishhoistSim) handleSilence(t *attemptSim) {
	if t.finished || !s.outboundCut(t.instance) {
		return
	}
	f := t.req.front
	target := &f.targets[t.instance]
	if !target.pathDown || s.now >= target.pathRetryAt-target.pathBackoff {
		target.pathBackoff = min(max(2*target.pathBackoff, time.Second), 30*time.Second)
		target.pathDown, target.pathRetryAt = true, s.now+target.pathBackoff
		s.updateEjections(f)
	}
	s.failAttempt(t, true)
}

// failAttempt ends an attempt that got no successful response and retries the request if allowed. A
// request that may have run is only retried if it is idempotent and the retry budget allows it.
func (s *radishhoistSim) failAttempt(t *attemptSim, mayHaveRun bool) {
	if t.finished {
		return
	}
	t.finished = true
	r := t.req
	r.running--
	r.front.targets[t.instance].pending--
	if r.finished {
		return
	}
	retryAllowed := !mayHaveRun || (r.idempotent && r.front.budget.Take(s.virtualTime()))
	if retryAllowed && len(r.tried) < 3 {
		s.sendAttempt(r)
	} else if r.running == 0 {
		s.finish(r, false)
	}
}

// arrive handles the arrival of an attempt at its guard.
func (s *radishhoistSim) arrive(t *attemptSim, sample sampleSim, hasSample bool) {
	g := s.guards[t.instance]
	if hasSample {
		g.reference.Add(s.virtualTime(), sample.serviceTime, sample.failed)
	}
	g.attempts[t.id] = &guardAttempt{attempt: t}
	timeLeft := deadline - (s.now - t.req.arrived)
	s.applyDecisions(g, g.queue.Offer(s.virtualTime(), admit.Request{ID: t.id, Deadline: s.virtualTime().Add(timeLeft)}))
}

func (s *radishhoistSim) applyDecisions(g *guardSim, decisions []admit.Decision) {
	for _, d := range decisions {
		c, ok := g.attempts[d.ID]
		if !ok {
			continue
		}
		switch d.Action {
		case admit.Start:
			s.startAttempt(g, d.ID, c)
		case admit.Refuse:
			delete(g.attempts, d.ID)
			s.sendToFront(g, c.attempt, func() { s.failAttempt(c.attempt, false) })
		}
	}
}

// sendToFront runs an action at the front after the path delay, unless the host's outbound messages
// are lost.
func (s *radishhoistSim) sendToFront(g *guardSim, t *attemptSim, action func()) {
	if s.outboundCut(g.index) {
		return
	}
	s.schedule(s.pathDelay(t.req.front.index, g.index), action)
}

func (s *radishhoistSim) startAttempt(g *guardSim, id admit.ID, c *guardAttempt) {
	s.countStart(g.index)
	c.started = s.now
	took := s.serviceTime(g.index)
	timeLeft := max(deadline-(s.now-c.attempt.req.arrived), 0)
	if s.isStuck(g.index) || took > timeLeft {
		// The guard cancels the attempt at the caller's deadline.
		s.schedule(timeLeft, func() { s.endAttempt(g, id, c, timeLeft, false, true) })
		return
	}
	failed := s.fails(g.index)
	s.schedule(took, func() { s.endAttempt(g, id, c, took, failed, false) })
}

func (s *radishhoistSim) endAttempt(g *guardSim, id admit.ID, c *guardAttempt, took time.Duration, failed, cancelled bool) {
	delete(g.attempts, id)
	serviceTime := took
	if failed || cancelled {
		serviceTime = 0
	}
	changed := false
	ref := g.reference.At(s.virtualTime())
	if cancelled {
		changed = g.detector.AddPending(s.virtualTime(), ref, took)
	} else {
		changed = g.detector.AddResponse(s.virtualTime(), ref, took, failed)
	}
	s.applyDecisions(g, g.queue.Done(s.virtualTime(), id, serviceTime))
	if changed {
		s.publish(g)
	}
	running, queued := g.queue.BusySlots(), g.queue.Queued()
	s.sendToFront(g, c.attempt, func() { s.handleResponse(c.attempt, took, failed, cancelled, running, queued) })
}

func (s *radishhoistSim) handleResponse(t *attemptSim, took time.Duration, failed, cancelled bool, running, queued int) {
	f := t.req.front
	target := &f.targets[t.instance]
	target.running, target.queued, target.loadAt = running, queued, s.now
	if target.pathDown {
		target.pathDown, target.pathBackoff = false, 0
		s.updateEjections(f)
	}
	if cancelled {
		s.failAttempt(t, true)
		return
	}
	f.observe(s.now, t.instance, took, failed)
	if target.roundTrip == 0 {
		target.roundTrip = 2 * s.pathDelay(f.index, t.instance)
	}
	target.roundTrip += (2*s.pathDelay(f.index, t.instance) - target.roundTrip) / 10
	if failed {
		s.failAttempt(t, true)
		return
	}
	if t.finished {
		return
	}
	t.finished = true
	t.req.running--
	target.pending--
	s.finish(t.req, true)
}

// observe records the service time and outcome of a response at the front.
func (f *frontSim) observe(now time.Duration, instance int, took time.Duration, failed bool) {
	f.samples = append(f.samples, sampleSim{instance: instance, serviceTime: took, failed: failed, at: now})
	if len(f.samples) > 16 {
		f.samples = f.samples[1:]
	}
	if failed {
		return
	}
	t := &f.targets[instance]
	if t.serviceTime == 0 {
		t.serviceTime = took
	}
	t.serviceTime += (took - t.serviceTime) / 5
	f.recentTimes = append(f.recentTimes, took)
	if len(f.recentTimes) > 64 {
		f.recentTimes = f.recentTimes[1:]
	}
	if len(f.recentTimes)%16 == 0 {
		sorted := slices.Clone(f.recentTimes)
		slices.Sort(sorted)
		f.hedgeDelay = time.Duration(1.5 * float64(sorted[len(sorted)*95/100]))
	}
}

// takeSample returns the latest sample of another instance that was not used before and is at most
// 10 s old. An attempt carries it to its guard as a reference.
func (f *frontSim) takeSample(now time.Duration, exclude int) (sampleSim, bool) {
	for k := len(f.samples) - 1; k >= 0; k-- {
		s := &f.samples[k]
		if !s.used && s.instance != exclude && now-s.at <= 10*time.Second {
			s.used = true
			return *s, true
		}
	}
	return sampleSim{}, false
}
