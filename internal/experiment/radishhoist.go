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
// admission control and detectors; fronts with load balancing, floor rule, hedging and retry
// budget.
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
	calls     map[admit.ID]*call
}

// call is the state of one attempt at a guard.
type call struct {
	attempt     *attemptSim
	started     time.Duration
	reportedAge time.Duration
}

// frontSim simulates one front.
type frontSim struct {
	index       int
	rng         *rand.Rand
	budget      *retry.Budget
	targets     []targetState
	ejected     []bool
	usable      []int
	local       []int
	samples     []sampleSim
	recentTimes []time.Duration
	hedgeDelay  time.Duration
}

type targetState struct {
	slots, running, queued int
	loadAt                 time.Duration
	pending                int
	service                time.Duration
	path                   time.Duration
	suspect                bool
	evidence               uint32
	pathDown               bool
	pathRetryAt            time.Duration
	pathBackoff            time.Duration
}

type sampleSim struct {
	instance int
	service  time.Duration
	failed   bool
	used     bool
	at       time.Duration
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
	o := &radishhoistSim{simulation: sim}
	for i := range sim.site.Instances {
		o.guards = append(o.guards, &guardSim{
			index:    i,
			queue:    admit.NewQueue(admit.Config{Slots: sim.site.Slots, QueuePerSlot: 4, GrantTTL: 250 * time.Millisecond}),
			detector: detect.NewDetector(sim.site.Params),
			calls:    make(map[admit.ID]*call),
		})
	}
	for i := range sim.site.Fronts {
		f := &frontSim{index: i, rng: rand.New(rand.NewPCG(sim.rng.Uint64(), uint64(i))), budget: retry.NewBudget(o.virtualTime().Add(-10*time.Second), retry.Limits{Share: 0.1, Reserve: 1, Window: 10 * time.Second}), hedgeDelay: 200 * time.Millisecond}
		for range sim.site.Instances {
			f.targets = append(f.targets, targetState{slots: sim.site.Slots})
		}
		o.fronts = append(o.fronts, f)
		o.updateEjections(f)
	}
	for _, g := range o.guards {
		o.tick(g)
	}
	return o
}

// tick runs the guard's periodic work every 20 ms.
func (o *radishhoistSim) tick(g *guardSim) {
	o.schedule(20*time.Millisecond, func() {
		o.applyDecisions(g, g.queue.Tick(o.virtualTime()))
		ref := g.reference.At(o.virtualTime())
		for _, id := range sortedIDs(g.calls) {
			c := g.calls[id]
			age := o.now - c.started
			if c.started == 0 || age < 2*c.reportedAge || age < 20*time.Millisecond {
				continue
			}
			c.reportedAge = age
			if g.detector.AddPending(o.virtualTime(), ref, age) {
				o.publish(g)
			}
		}
		o.tick(g)
	})
}

func sortedIDs(calls map[admit.ID]*call) []admit.ID {
	ids := make([]admit.ID, 0, len(calls))
	for id := range calls {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// publish sends a guard's health state to all fronts, each after its own propagation delay.
func (o *radishhoistSim) publish(g *guardSim) {
	suspect := g.detector.Health() == detect.Suspect
	evidence := uint32(g.detector.SuspicionEvidence() * 100)
	if suspect && (g.index != 0 || !o.faultActive()) {
		o.m.falseEjections++
	}
	for _, f := range o.fronts {
		o.schedule(time.Duration(50+f.rng.IntN(350))*time.Millisecond, func() {
			f.targets[g.index].suspect, f.targets[g.index].evidence = suspect, evidence
			o.updateEjections(f)
			o.measureMargin()
		})
	}
}

// faultActive reports whether instance 0 has a fault, including the normal phases of Flapping.
func (o *radishhoistSim) faultActive() bool {
	return o.now >= FaultStart && (o.fault.isGray() || o.fault == Flapping || o.fault == SlowPath)
}

// updateEjections applies the floor rule for a front.
func (o *radishhoistSim) updateEjections(f *frontSim) {
	members := make([]eject.Member, len(f.targets))
	for i := range f.targets {
		t := &f.targets[i]
		members[i] = eject.Member{
			Name: string(rune('a' + i)), Slots: t.slots, Usable: !t.pathDown,
			Suspect: t.suspect, Evidence: t.evidence,
		}
	}
	r := eject.Select(members, o.site.Floor)
	if slices.Contains(r.Ejected, true) && r.HealthySlots < r.RequiredSlots {
		o.m.floorViolations++
	}
	f.ejected = r.Ejected
	f.usable, f.local = f.usable[:0], f.local[:0]
	for i := range members {
		if members[i].Usable && !r.Ejected[i] {
			if f.index%o.site.DCs == i%o.site.DCs {
				f.local = append(f.local, len(f.usable))
			}
			f.usable = append(f.usable, i)
		}
	}
}

// measureMargin updates the least margin over the floor across all fronts: an instance counts
// as ejected as soon as any front ejects it.
func (o *radishhoistSim) measureMargin() {
	left := 0
	for i := range o.guards {
		out := false
		for _, f := range o.fronts {
			out = out || f.ejected[i]
		}
		if !out {
			left += o.site.Slots
		}
	}
	required := (o.site.Instances*o.site.Slots*o.site.Floor.Percent + 99) / 100
	o.m.minMargin = min(o.m.minMargin, left-required)
}

// send starts a new request at a random front.
func (o *radishhoistSim) send() {
	f := o.fronts[o.rng.IntN(len(o.fronts))]
	o.m.requests++
	f.budget.AddRequest(o.virtualTime(), 0)
	r := &requestSim{front: f, arrived: o.now, idempotent: o.rng.Float64() < idempotentShare}
	o.sendAttempt(r)
	o.schedule(deadline, func() { o.finish(r, false) })
	if r.idempotent {
		o.schedule(f.hedgeDelay, func() {
			if !r.finished && !r.hedged && len(r.tried) < 3 && f.budget.Take(o.virtualTime()) {
				r.hedged = true
				o.sendAttempt(r)
			}
		})
	}
}

func (o *radishhoistSim) finish(r *requestSim, ok bool) {
	if r.finished {
		return
	}
	r.finished = true
	o.countAnswer(r.arrived, ok)
}

// pick selects an instance as the real front does.
func (o *radishhoistSim) pick(r *requestSim) int {
	f := r.front
	if r.idempotent && len(r.tried) == 0 {
		if i := o.pathTrial(f); i >= 0 {
			return i
		}
	}
	if share := 0.05 * float64(countTrue(f.ejected)) / float64(len(f.targets)); r.idempotent && len(r.tried) == 0 && share > 0 && f.rng.Float64() < share {
		for i, out := range f.ejected {
			if out {
				return i
			}
		}
	}
	usable, local := f.usable, f.local
	if len(r.tried) > 0 {
		usable, local = nil, nil
		for _, i := range f.usable {
			if !slices.Contains(r.tried, i) {
				if f.index%o.site.DCs == i%o.site.DCs {
					local = append(local, len(usable))
				}
				usable = append(usable, i)
			}
		}
	}
	k := balance.Pick(f.rng, len(usable), local, func(k int) float64 {
		i := usable[k]
		t := &f.targets[i]
		return balance.Cost(balance.Candidate{
			Typical: balance.TypicalLoad{Running: 0.3},
			Slots:   t.slots, Running: t.running, QueuedWork: time.Duration(t.queued) * t.service, LoadAge: o.now - t.loadAt, Pending: t.pending,
			Service: t.service, RoundTrip: t.path, WarmUpProgress: 1, Local: f.index%o.site.DCs == i%o.site.DCs,
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

// pathTrial returns an instance whose path is down and due for a retry, -1 if there is none,
// and postpones the next retry, so that one idempotent request probes the path.
func (o *radishhoistSim) pathTrial(f *frontSim) int {
	for i := range f.targets {
		if t := &f.targets[i]; t.pathDown && o.now >= t.pathRetryAt {
			t.pathRetryAt = o.now + t.pathBackoff
			return i
		}
	}
	return -1
}

func (o *radishhoistSim) sendAttempt(r *requestSim) {
	i := o.pick(r)
	if i < 0 {
		if r.running == 0 {
			o.finish(r, false)
		}
		return
	}
	f := r.front
	r.tried = append(r.tried, i)
	r.running++
	f.targets[i].pending++
	o.nextID++
	t := &attemptSim{req: r, instance: i, id: o.nextID, sent: o.now}
	sample, has := f.takeSample(o.now, i)
	o.schedule(o.path(f.index, i), func() { o.arrive(t, sample, has) })
	o.schedule(300*time.Millisecond, func() { o.handleSilence(t) })
}

// handleSilence runs 300 ms after an attempt was sent: two frame timeouts of the real front,
// which pings the host after the first. If nothing can arrive because the host is cut off, it
// marks the path as down and fails the attempt.
func (o *radishhoistSim) handleSilence(t *attemptSim) {
	if t.finished || !o.cut(t.instance) {
		return
	}
	f := t.req.front
	target := &f.targets[t.instance]
	if !target.pathDown || o.now >= target.pathRetryAt-target.pathBackoff {
		target.pathBackoff = min(max(2*target.pathBackoff, time.Second), 30*time.Second)
		target.pathDown, target.pathRetryAt = true, o.now+target.pathBackoff
		o.updateEjections(f)
	}
	o.failAttempt(t, true)
}

// failAttempt ends an attempt without a successful answer and retries it if allowed. A request
// that may have run is retried only if it is idempotent and the budget allows it.
func (o *radishhoistSim) failAttempt(t *attemptSim, mayHaveRun bool) {
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
	retryAllowed := !mayHaveRun || (r.idempotent && r.front.budget.Take(o.virtualTime()))
	if retryAllowed && len(r.tried) < 3 {
		o.sendAttempt(r)
	} else if r.running == 0 {
		o.finish(r, false)
	}
}

// arrive handles the arrival of an attempt at its guard.
func (o *radishhoistSim) arrive(t *attemptSim, s sampleSim, has bool) {
	g := o.guards[t.instance]
	if has {
		g.reference.Add(o.virtualTime(), s.service, s.failed)
	}
	g.calls[t.id] = &call{attempt: t}
	left := deadline - (o.now - t.req.arrived)
	o.applyDecisions(g, g.queue.Offer(o.virtualTime(), admit.Request{ID: t.id, Deadline: o.virtualTime().Add(left)}))
}

func (o *radishhoistSim) applyDecisions(g *guardSim, decisions []admit.Decision) {
	for _, d := range decisions {
		c, ok := g.calls[d.ID]
		if !ok {
			continue
		}
		switch d.Action {
		case admit.Start:
			o.startCall(g, d.ID, c)
		case admit.Refuse:
			delete(g.calls, d.ID)
			o.sendToFront(g, c.attempt, func() { o.failAttempt(c.attempt, false) })
		}
	}
}

// sendToFront runs an action at the front after the path delay, unless the path is cut.
func (o *radishhoistSim) sendToFront(g *guardSim, t *attemptSim, action func()) {
	if o.cut(g.index) {
		return
	}
	o.schedule(o.path(t.req.front.index, g.index), action)
}

func (o *radishhoistSim) startCall(g *guardSim, id admit.ID, c *call) {
	o.countStart(g.index)
	c.started = o.now
	took := o.serviceTime(g.index)
	left := max(deadline-(o.now-c.attempt.req.arrived), 0)
	if o.stuck(g.index) || took > left {
		// The guard cancels the call at the caller's deadline.
		o.schedule(left, func() { o.endCall(g, id, c, left, false, true) })
		return
	}
	failed := o.fails(g.index)
	o.schedule(took, func() { o.endCall(g, id, c, took, failed, false) })
}

func (o *radishhoistSim) endCall(g *guardSim, id admit.ID, c *call, took time.Duration, failed, cut bool) {
	delete(g.calls, id)
	service := took
	if failed || cut {
		service = 0
	}
	changed := false
	ref := g.reference.At(o.virtualTime())
	if cut {
		changed = g.detector.AddPending(o.virtualTime(), ref, took)
	} else {
		changed = g.detector.AddResponse(o.virtualTime(), ref, took, failed)
	}
	o.applyDecisions(g, g.queue.Done(o.virtualTime(), id, service))
	if changed {
		o.publish(g)
	}
	running, queued := g.queue.BusySlots(), g.queue.Queued()
	o.sendToFront(g, c.attempt, func() { o.handleAnswer(c.attempt, took, failed, cut, running, queued) })
}

func (o *radishhoistSim) handleAnswer(t *attemptSim, took time.Duration, failed, cut bool, running, queued int) {
	f := t.req.front
	target := &f.targets[t.instance]
	target.running, target.queued, target.loadAt = running, queued, o.now
	if target.pathDown {
		target.pathDown, target.pathBackoff = false, 0
		o.updateEjections(f)
	}
	if cut {
		o.failAttempt(t, true)
		return
	}
	f.observe(o.now, t.instance, took, failed)
	if target.path == 0 {
		target.path = 2 * o.path(f.index, t.instance)
	}
	target.path += (2*o.path(f.index, t.instance) - target.path) / 10
	if failed {
		o.failAttempt(t, true)
		return
	}
	if t.finished {
		return
	}
	t.finished = true
	t.req.running--
	target.pending--
	o.finish(t.req, true)
}

// observe records the service time and outcome of an answer at the front.
func (f *frontSim) observe(now time.Duration, instance int, took time.Duration, failed bool) {
	f.samples = append(f.samples, sampleSim{instance: instance, service: took, failed: failed, at: now})
	if len(f.samples) > 16 {
		f.samples = f.samples[1:]
	}
	if failed {
		return
	}
	t := &f.targets[instance]
	if t.service == 0 {
		t.service = took
	}
	t.service += (took - t.service) / 5
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
