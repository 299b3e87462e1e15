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

// ours is the product's policy: guards with admission and detectors, fronts
// with choice, floor rule, hedges and budget, all from the cores.
type ours struct {
	*world
	guards []*guardSim
	fronts []*frontSim
	nextID admit.ID
}

// guardSim is one instance with its guard.
type guardSim struct {
	index     int
	queue     *admit.Queue
	detector  *detect.Detector
	reference detect.Reference
	calls     map[admit.ID]*call
}

// call is one attempt at a guard.
type call struct {
	try     *trySim
	started time.Duration
	aged    time.Duration
}

// frontSim is one front.
type frontSim struct {
	index   int
	rng     *rand.Rand
	budget  *retry.Budget
	targets []frontTarget
	out     []bool
	usable  []int
	local   []int
	samples []sampleSim
	recent  []time.Duration
	hedge   time.Duration
}

type frontTarget struct {
	slots, running, queued int
	loadAt                 time.Duration
	pending                int
	service                time.Duration
	path                   time.Duration
	suspect                bool
	evidence               uint32
	pathOut                bool
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

// requestSim is one caller's request.
type requestSim struct {
	front      *frontSim
	arrived    time.Duration
	idempotent bool
	tried      []int
	running    int
	over       bool
	hedged     bool
}

// trySim is one attempt.
type trySim struct {
	req      *requestSim
	instance int
	id       admit.ID
	sent     time.Duration
	over     bool
}

func newOurs(w *world) *ours {
	o := &ours{world: w}
	for i := range w.site.Instances {
		o.guards = append(o.guards, &guardSim{
			index:    i,
			queue:    admit.NewQueue(admit.Config{Slots: w.site.Slots, QueuePerSlot: 4, GrantLife: 250 * time.Millisecond}),
			detector: detect.NewDetector(w.site.Params),
			calls:    make(map[admit.ID]*call),
		})
	}
	for i := range w.site.Fronts {
		f := &frontSim{index: i, rng: rand.New(rand.NewPCG(w.rng.Uint64(), uint64(i))), budget: retry.NewBudget(o.time().Add(-10*time.Second), retry.Limits{Share: 0.1, Reserve: 1, Window: 10 * time.Second}), hedge: 200 * time.Millisecond}
		for range w.site.Instances {
			f.targets = append(f.targets, frontTarget{slots: w.site.Slots})
		}
		o.fronts = append(o.fronts, f)
		o.choose(f)
	}
	for _, g := range o.guards {
		o.tick(g)
	}
	return o
}

// tick is the guard's timer.
func (o *ours) tick(g *guardSim) {
	o.after(20*time.Millisecond, func() {
		o.deliver(g, g.queue.Tick(o.time()))
		ref := g.reference.At(o.time())
		for _, id := range sortedIDs(g.calls) {
			c := g.calls[id]
			age := o.now - c.started
			if c.started == 0 || age < 2*c.aged || age < 20*time.Millisecond {
				continue
			}
			c.aged = age
			if g.detector.AddPending(o.time(), ref, age) {
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

// publish spreads a guard's judgement: each front hears it after its own time.
func (o *ours) publish(g *guardSim) {
	suspect := g.detector.Health() == detect.Suspect
	evidence := uint32(g.detector.SuspicionEvidence() * 100)
	if suspect && (g.index != 0 || !o.grayNow()) {
		o.m.falseOut++
	}
	for _, f := range o.fronts {
		o.after(time.Duration(50+f.rng.IntN(350))*time.Millisecond, func() {
			f.targets[g.index].suspect, f.targets[g.index].evidence = suspect, evidence
			o.choose(f)
			o.measureUnion()
		})
	}
}

// grayNow says that instance 0 is at fault, or was a moment ago.
func (o *ours) grayNow() bool {
	return o.now >= FaultAt && (o.fault.gray() || o.fault == Flapping || o.fault == SlowPath)
}

// choose runs the floor rule for a front.
func (o *ours) choose(f *frontSim) {
	members := make([]eject.Member, len(f.targets))
	for i := range f.targets {
		t := &f.targets[i]
		members[i] = eject.Member{
			Name: string(rune('a' + i)), Slots: t.slots, Usable: !t.pathOut,
			Suspect: t.suspect, Evidence: t.evidence,
		}
	}
	r := eject.Apply(members, o.site.Floor)
	if slices.Contains(r.Ejected, true) && r.Healthy < r.Required {
		o.m.floorBreaks++
	}
	f.out = r.Ejected
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

// measureUnion looks at all fronts at once: what is left if an instance counts
// as out as soon as any front leaves it out.
func (o *ours) measureUnion() {
	left := 0
	for i := range o.guards {
		out := false
		for _, f := range o.fronts {
			out = out || f.out[i]
		}
		if !out {
			left += o.site.Slots
		}
	}
	required := (o.site.Instances*o.site.Slots*o.site.Floor.Percent + 99) / 100
	o.m.unionMargin = min(o.m.unionMargin, left-required)
}

// send is a fresh request at a random front.
func (o *ours) send() {
	f := o.fronts[o.rng.IntN(len(o.fronts))]
	o.m.fresh++
	f.budget.AddRequest(o.time(), 0)
	r := &requestSim{front: f, arrived: o.now, idempotent: o.rng.Float64() < idempotentShare}
	o.attempt(r)
	o.after(deadline, func() { o.finish(r, false) })
	if r.idempotent {
		o.after(f.hedge, func() {
			if !r.over && !r.hedged && len(r.tried) < 3 && f.budget.Take(o.time()) {
				r.hedged = true
				o.attempt(r)
			}
		})
	}
}

func (o *ours) finish(r *requestSim, ok bool) {
	if r.over {
		return
	}
	r.over = true
	o.done(r.arrived, ok)
}

// pick chooses as the front does.
func (o *ours) pick(r *requestSim) int {
	f := r.front
	if r.idempotent && len(r.tried) == 0 {
		if i := o.pathTrial(f); i >= 0 {
			return i
		}
	}
	if share := 0.05 * float64(count(f.out)) / float64(len(f.targets)); r.idempotent && len(r.tried) == 0 && share > 0 && f.rng.Float64() < share {
		for i, out := range f.out {
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
			Service: t.service, RoundTrip: t.path, Warmth: 1, Local: f.index%o.site.DCs == i%o.site.DCs,
		}, balance.CostWeights{})
	})
	if k < 0 {
		return -1
	}
	return usable[k]
}

func count(list []bool) int {
	n := 0
	for _, b := range list {
		if b {
			n++
		}
	}
	return n
}

// pathTrial sends one idempotent request over a path whose time has come.
func (o *ours) pathTrial(f *frontSim) int {
	for i := range f.targets {
		if t := &f.targets[i]; t.pathOut && o.now >= t.pathRetryAt {
			t.pathRetryAt = o.now + t.pathBackoff
			return i
		}
	}
	return -1
}

func (o *ours) attempt(r *requestSim) {
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
	t := &trySim{req: r, instance: i, id: o.nextID, sent: o.now}
	sample, has := f.takeSample(o.now, i)
	o.after(o.path(f.index, i), func() { o.arrive(t, sample, has) })
	o.after(300*time.Millisecond, func() { o.silent(t) })
}

// silent is the second quiet time of an attempt: nothing of the host came.
func (o *ours) silent(t *trySim) {
	if t.over || !o.cut(t.instance) {
		return
	}
	f := t.req.front
	target := &f.targets[t.instance]
	if !target.pathOut || o.now >= target.pathRetryAt-target.pathBackoff {
		target.pathBackoff = min(max(2*target.pathBackoff, time.Second), 30*time.Second)
		target.pathOut, target.pathRetryAt = true, o.now+target.pathBackoff
		o.choose(f)
	}
	o.failTry(t, true)
}

// failTry ends an attempt without an answer. work says that it may have run.
func (o *ours) failTry(t *trySim, work bool) {
	if t.over {
		return
	}
	t.over = true
	r := t.req
	r.running--
	r.front.targets[t.instance].pending--
	if r.over {
		return
	}
	again := !work || (r.idempotent && r.front.budget.Take(o.time()))
	if again && len(r.tried) < 3 {
		o.attempt(r)
	} else if r.running == 0 {
		o.finish(r, false)
	}
}

// arrive is the attempt at its guard.
func (o *ours) arrive(t *trySim, s sampleSim, has bool) {
	g := o.guards[t.instance]
	if has {
		g.reference.Add(o.time(), s.service, s.failed)
	}
	g.calls[t.id] = &call{try: t}
	left := deadline - (o.now - t.req.arrived)
	o.deliver(g, g.queue.Offer(o.time(), admit.Request{ID: t.id, Deadline: o.time().Add(left)}))
}

func (o *ours) deliver(g *guardSim, decisions []admit.Decision) {
	for _, d := range decisions {
		c, ok := g.calls[d.ID]
		if !ok {
			continue
		}
		switch d.Action {
		case admit.Start:
			o.start(g, d.ID, c)
		case admit.Refuse:
			delete(g.calls, d.ID)
			o.reply(g, c.try, func() { o.failTry(c.try, false) })
		}
	}
}

// reply brings something back to the front, unless the way is cut.
func (o *ours) reply(g *guardSim, t *trySim, do func()) {
	if o.cut(g.index) {
		return
	}
	o.after(o.path(t.req.front.index, g.index), do)
}

func (o *ours) start(g *guardSim, id admit.ID, c *call) {
	o.worked(g.index)
	c.started = o.now
	took := o.serviceTime(g.index)
	left := max(deadline-(o.now-c.try.req.arrived), 0)
	if o.stuck(g.index) || took > left {
		// The guard stops the call at the caller's deadline.
		o.after(left, func() { o.end(g, id, c, left, false, true) })
		return
	}
	failed := o.fails(g.index)
	o.after(took, func() { o.end(g, id, c, took, failed, false) })
}

func (o *ours) end(g *guardSim, id admit.ID, c *call, took time.Duration, failed, cut bool) {
	delete(g.calls, id)
	service := took
	if failed || cut {
		service = 0
	}
	changed := false
	ref := g.reference.At(o.time())
	if cut {
		changed = g.detector.AddPending(o.time(), ref, took)
	} else {
		changed = g.detector.AddAnswer(o.time(), ref, took, failed)
	}
	o.deliver(g, g.queue.Done(o.time(), id, service))
	if changed {
		o.publish(g)
	}
	running, queued := g.queue.BusySlots(), g.queue.Queued()
	o.reply(g, c.try, func() { o.answered(c.try, took, failed, cut, running, queued) })
}

func (o *ours) answered(t *trySim, took time.Duration, failed, cut bool, running, queued int) {
	f := t.req.front
	target := &f.targets[t.instance]
	target.running, target.queued, target.loadAt = running, queued, o.now
	if target.pathOut {
		target.pathOut, target.pathBackoff = false, 0
		o.choose(f)
	}
	if cut {
		o.failTry(t, true)
		return
	}
	f.observe(o.now, t.instance, took, failed)
	if target.path == 0 {
		target.path = 2 * o.path(f.index, t.instance)
	}
	target.path += (2*o.path(f.index, t.instance) - target.path) / 10
	if failed {
		o.failTry(t, true)
		return
	}
	if t.over {
		return
	}
	t.over = true
	t.req.running--
	target.pending--
	o.finish(t.req, true)
}

// observe keeps what the front learns from an answer.
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
	f.recent = append(f.recent, took)
	if len(f.recent) > 64 {
		f.recent = f.recent[1:]
	}
	if len(f.recent)%16 == 0 {
		sorted := slices.Clone(f.recent)
		slices.Sort(sorted)
		f.hedge = time.Duration(1.5 * float64(sorted[len(sorted)*95/100]))
	}
}

func (f *frontSim) takeSample(now time.Duration, not int) (sampleSim, bool) {
	for k := len(f.samples) - 1; k >= 0; k-- {
		s := &f.samples[k]
		if !s.used && s.instance != not && now-s.at <= 10*time.Second {
			s.used = true
			return *s, true
		}
	}
	return sampleSim{}, false
}
