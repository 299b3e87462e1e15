package experiment

import (
	"time"
)

// Baseline is a simple policy for comparison. Fronts send requests directly to instances, whose
// queues are unbounded.
type Baseline struct {
	Name string
	// ConsecutiveFailures is the number of consecutive failures after which an instance is
	// ejected, 0 for never.
	ConsecutiveFailures int
	// SlowFactor ejects an instance whose mean service time exceeds the mean of the other
	// instances by this factor, 0 for never.
	SlowFactor float64
	// MaxEjectedShare limits the share of instances ejected at once, 0 for no limit.
	MaxEjectedShare float64
}

// Baselines are the policies compared with radishhoist.
var Baselines = []Baseline{
	{Name: "round robin"},
	{Name: "5 errors in a row", ConsecutiveFailures: 5},
	{Name: "5 errors, cap 10%", ConsecutiveFailures: 5, MaxEjectedShare: 0.1},
	{Name: "latency over 3x", SlowFactor: 3},
	{Name: "latency 3x, cap 10%", SlowFactor: 3, MaxEjectedShare: 0.1},
}

// ejectionTime is the time for which a baseline ejects an instance.
const ejectionTime = 30 * time.Second

// baselineSim simulates a baseline policy.
type baselineSim struct {
	*simulation
	policy    Baseline
	instances []*baselineInstance
	fronts    []*baselineFront
}

// baselineInstance simulates one instance, with busy slots and an unbounded queue.
type baselineInstance struct {
	busy  int
	queue []*baselineAttempt
}

type baselineFront struct {
	index int
	// next is the instance that gets the next request.
	next  int
	stats []targetStats
}

// targetStats are a front's statistics of one instance.
type targetStats struct {
	consecutiveFailures int
	meanServiceTime     time.Duration
	ejectedUntil        time.Duration
}

// baselineAttempt is one attempt of a request. arrived is the arrival time of the request.
type baselineAttempt struct {
	front      *baselineFront
	instance   int
	arrived    time.Duration
	retry      bool
	idempotent bool
	finished   bool
}

func newBaselineSim(sim *simulation, p Baseline) *baselineSim {
	b := &baselineSim{simulation: sim, policy: p}
	for range sim.site.Instances {
		b.instances = append(b.instances, &baselineInstance{})
	}
	for i := range sim.site.Fronts {
		b.fronts = append(b.fronts, &baselineFront{index: i, next: sim.rng.IntN(sim.site.Instances), stats: make([]targetStats, sim.site.Instances)})
	}
	return b
}

func (b *baselineSim) send() {
	b.metrics.requests++
	f := b.fronts[b.rng.IntN(len(b.fronts))]
	b.sendAttempt(&baselineAttempt{front: f, arrived: b.now, idempotent: b.rng.Float64() < idempotentShare})
}

// sendAttempt sends to the next instance, round robin, that is not ejected. If all are ejected, it
// sends to one of them.
func (b *baselineSim) sendAttempt(t *baselineAttempt) {
	f := t.front
	t.instance = f.next
	for range b.instances {
		t.instance = f.next
		f.next = (f.next + 1) % len(b.instances)
		if b.now >= f.stats[t.instance].ejectedUntil {
			break
		}
	}
	b.schedule(b.pathDelay(f.index, t.instance), func() { b.arrive(t) })
	b.schedule(max(deadline-(b.now-t.arrived), 0), func() { b.finish(t, false, deadline) })
}

func (b *baselineSim) arrive(t *baselineAttempt) {
	inst := b.instances[t.instance]
	inst.queue = append(inst.queue, t)
	b.startQueued(t.instance)
}

func (b *baselineSim) startQueued(i int) {
	inst := b.instances[i]
	for inst.busy < b.site.Slots && len(inst.queue) > 0 {
		t := inst.queue[0]
		inst.queue = inst.queue[1:]
		inst.busy++
		b.countStart(i)
		took := b.serviceTime(i)
		if b.isStuck(i) {
			took = time.Hour
		}
		failed := b.fails(i)
		b.schedule(took, func() {
			inst.busy--
			if !b.outboundCut(i) {
				b.schedule(b.pathDelay(t.front.index, i), func() { b.finish(t, !failed, took) })
			}
			b.startQueued(i)
		})
	}
}

// finish handles a response, a failure or the deadline at the front.
func (b *baselineSim) finish(t *baselineAttempt, ok bool, took time.Duration) {
	if t.finished {
		return
	}
	t.finished = true
	b.recordOutcome(t.front, t.instance, ok, took)
	if !ok && t.idempotent && !t.retry && b.now-t.arrived < deadline {
		b.sendAttempt(&baselineAttempt{front: t.front, arrived: t.arrived, retry: true, idempotent: true})
		return
	}
	b.countResponse(t.arrived, ok)
}

// recordOutcome adds an outcome to a front's statistics of an instance and ejects the instance if the
// policy says so.
func (b *baselineSim) recordOutcome(f *baselineFront, i int, ok bool, took time.Duration) {
	s := &f.stats[i]
	if ok {
		s.consecutiveFailures = 0
	} else {
		s.consecutiveFailures++
	}
	if s.meanServiceTime == 0 {
		s.meanServiceTime = took
	}
	s.meanServiceTime += (took - s.meanServiceTime) / 5
	shouldEject := b.policy.ConsecutiveFailures > 0 && s.consecutiveFailures >= b.policy.ConsecutiveFailures
	if b.policy.SlowFactor > 0 {
		var sum time.Duration
		n := 0
		for k := range f.stats {
			if k != i && f.stats[k].meanServiceTime > 0 {
				sum += f.stats[k].meanServiceTime
				n++
			}
		}
		shouldEject = shouldEject || n > 0 && float64(s.meanServiceTime) > b.policy.SlowFactor*float64(sum)/float64(n)
	}
	if !shouldEject || b.now < s.ejectedUntil || b.exceedsCap(f) {
		return
	}
	s.ejectedUntil, s.consecutiveFailures, s.meanServiceTime = b.now+ejectionTime, 0, 0
	if i != 0 || b.now < FaultStart || !b.fault.isGray() && b.fault != Flapping && b.fault != SlowPath {
		b.metrics.falseEjections++
	}
	b.updateMinMargin(f)
}

// exceedsCap reports whether one more ejection by a front would exceed MaxEjectedShare. A single
// ejection is always allowed.
func (b *baselineSim) exceedsCap(f *baselineFront) bool {
	if b.policy.MaxEjectedShare == 0 {
		return false
	}
	ejected := 1
	for k := range f.stats {
		if b.now < f.stats[k].ejectedUntil {
			ejected++
		}
	}
	return float64(ejected) > max(b.policy.MaxEjectedShare*float64(len(f.stats)), 1)
}

// updateMinMargin updates the least capacity above the floor and counts ejections that reduce the
// capacity available to a front below the floor.
func (b *baselineSim) updateMinMargin(f *baselineFront) {
	remainingSlots := 0
	for k := range f.stats {
		if b.now >= f.stats[k].ejectedUntil {
			remainingSlots += b.site.Slots
		}
	}
	required := (b.site.Instances*b.site.Slots*b.site.Floor.Percent + 99) / 100
	if remainingSlots < required {
		b.metrics.floorViolations++
	}
	b.metrics.minMargin = min(b.metrics.minMargin, remainingSlots-required)
}
