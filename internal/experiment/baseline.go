package experiment

import (
	"time"
)

// Baseline is one of the simple policies to compare with. Fronts call
// instances directly; an instance queues without bound.
type Baseline struct {
	Name string
	// Consecutive ejects after that many failures in a row, 0 for never.
	Consecutive int
	// SlowFactor ejects where a target's mean exceeds that factor times the
	// mean of all, 0 for never.
	SlowFactor float64
	// Cap bounds the share of instances that may be out, 0 for no bound.
	Cap float64
}

// Baselines are the policies measured beside ours.
var Baselines = []Baseline{
	{Name: "round robin"},
	{Name: "5 errors in a row", Consecutive: 5},
	{Name: "5 errors, cap 10%", Consecutive: 5, Cap: 0.1},
	{Name: "latency over 3x", SlowFactor: 3},
	{Name: "latency 3x, cap 10%", SlowFactor: 3, Cap: 0.1},
}

// ejectFor is how long a baseline leaves an instance out.
const ejectFor = 30 * time.Second

type baseline struct {
	*world
	policy Baseline
	insts  []*plainInstance
	fronts []*plainFront
}

type plainInstance struct {
	busy  int
	queue []*plainTry
}

type plainFront struct {
	index int
	next  int
	stats []plainStat
}

type plainStat struct {
	failures int
	mean     time.Duration
	outUntil time.Duration
}

type plainTry struct {
	front    *plainFront
	instance int
	arrived  time.Duration
	retry    bool
	idem     bool
	over     bool
}

func newBaseline(w *world, p Baseline) *baseline {
	b := &baseline{world: w, policy: p}
	for range w.site.Instances {
		b.insts = append(b.insts, &plainInstance{})
	}
	for i := range w.site.Fronts {
		b.fronts = append(b.fronts, &plainFront{index: i, next: w.rng.IntN(w.site.Instances), stats: make([]plainStat, w.site.Instances)})
	}
	return b
}

func (b *baseline) send() {
	b.m.fresh++
	f := b.fronts[b.rng.IntN(len(b.fronts))]
	b.try(&plainTry{front: f, arrived: b.now, idem: b.rng.Float64() < idempotentShare})
}

// try sends to the next target in turn that is not out.
func (b *baseline) try(t *plainTry) {
	f := t.front
	t.instance = f.next
	for range b.insts {
		t.instance = f.next
		f.next = (f.next + 1) % len(b.insts)
		if b.now >= f.stats[t.instance].outUntil {
			break
		}
	}
	b.after(b.path(f.index, t.instance), func() { b.arrive(t) })
	b.after(max(deadline-(b.now-t.arrived), 0), func() { b.end(t, false, deadline) })
}

func (b *baseline) arrive(t *plainTry) {
	inst := b.insts[t.instance]
	inst.queue = append(inst.queue, t)
	b.fill(t.instance)
}

func (b *baseline) fill(i int) {
	inst := b.insts[i]
	for inst.busy < b.site.Slots && len(inst.queue) > 0 {
		t := inst.queue[0]
		inst.queue = inst.queue[1:]
		inst.busy++
		b.worked(i)
		took := b.serviceTime(i)
		if b.stuck(i) {
			took = time.Hour
		}
		failed := b.fails(i)
		b.after(took, func() {
			inst.busy--
			if !b.cut(i) {
				b.after(b.path(t.front.index, i), func() { b.end(t, !failed, took) })
			}
			b.fill(i)
		})
	}
}

// end is an answer, a failure or the deadline at the front.
func (b *baseline) end(t *plainTry, ok bool, took time.Duration) {
	if t.over {
		return
	}
	t.over = true
	b.judge(t.front, t.instance, ok, took)
	if !ok && t.idem && !t.retry && b.now-t.arrived < deadline {
		b.try(&plainTry{front: t.front, arrived: t.arrived, retry: true, idem: true})
		return
	}
	b.done(t.arrived, ok)
}

func (b *baseline) judge(f *plainFront, i int, ok bool, took time.Duration) {
	s := &f.stats[i]
	if ok {
		s.failures = 0
	} else {
		s.failures++
	}
	if s.mean == 0 {
		s.mean = took
	}
	s.mean += (took - s.mean) / 5
	bad := b.policy.Consecutive > 0 && s.failures >= b.policy.Consecutive
	if b.policy.SlowFactor > 0 {
		var sum time.Duration
		n := 0
		for k := range f.stats {
			if k != i && f.stats[k].mean > 0 {
				sum += f.stats[k].mean
				n++
			}
		}
		bad = bad || n > 0 && float64(s.mean) > b.policy.SlowFactor*float64(sum)/float64(n)
	}
	if !bad || b.now < s.outUntil || b.overCap(f) {
		return
	}
	s.outUntil, s.failures, s.mean = b.now+ejectFor, 0, 0
	if i != 0 || b.now < FaultAt || !b.fault.gray() && b.fault != Flapping && b.fault != SlowPath {
		b.m.falseOut++
	}
	b.measure(f)
}

func (b *baseline) overCap(f *plainFront) bool {
	if b.policy.Cap == 0 {
		return false
	}
	out := 1
	for k := range f.stats {
		if b.now < f.stats[k].outUntil {
			out++
		}
	}
	return float64(out) > max(b.policy.Cap*float64(len(f.stats)), 1)
}

// measure counts ejections that take a front below the floor.
func (b *baseline) measure(f *plainFront) {
	left := 0
	for k := range f.stats {
		if b.now >= f.stats[k].outUntil {
			left += b.site.Slots
		}
	}
	required := (b.site.Instances*b.site.Slots*b.site.Floor.Percent + 99) / 100
	if left < required {
		b.m.floorBreaks++
	}
	b.m.unionMargin = min(b.m.unionMargin, left-required)
}
