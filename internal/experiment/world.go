package experiment

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// event is a scheduled action.
type event struct {
	at     time.Duration
	seq    uint64
	action func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].seq < q[j].seq
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

// epoch is the start of virtual time, for the packages under test that take a time.Time.
var epoch = time.Unix(1_000_000, 0)

// simulation is the state of one run in virtual time.
type simulation struct {
	site  Site
	fault Fault
	load  float64
	rng   *rand.Rand
	now   time.Duration
	seq   uint64
	queue eventQueue
	m     metrics
}

func (sim *simulation) virtualTime() time.Time { return epoch.Add(sim.now) }

func (sim *simulation) schedule(d time.Duration, action func()) {
	sim.seq++
	heap.Push(&sim.queue, event{sim.now + d, sim.seq, action})
}

func (sim *simulation) run(until time.Duration) {
	for len(sim.queue) > 0 && sim.queue[0].at <= until {
		e := heap.Pop(&sim.queue).(event)
		sim.now = e.at
		e.action()
	}
}

// arrivals generates Poisson arrivals at the current rate.
func (sim *simulation) arrivals(send func()) {
	rate := sim.fault.rate(sim.load, sim.now) * sim.site.Capacity()
	sim.schedule(time.Duration(sim.rng.ExpFloat64()/rate*float64(time.Second)), func() {
		if sim.now < RunLength {
			send()
			sim.arrivals(send)
		}
	})
}

// serviceTime draws a service time of an instance at the current time.
func (sim *simulation) serviceTime(instance int) time.Duration {
	s := sim.site.MedianService.Seconds() * math.Exp(sim.site.LogStdDev*sim.rng.NormFloat64())
	return time.Duration(s * sim.fault.slowdown(instance, sim.now) * float64(time.Second))
}

// fails draws whether an instance answers a request with an error.
func (sim *simulation) fails(instance int) bool {
	return sim.fault == Errors && instance == 0 && sim.now >= FaultStart && sim.rng.IntN(2) == 0
}

// stuck reports whether an instance accepts requests and never answers.
func (sim *simulation) stuck(instance int) bool {
	return sim.fault == Stuck && instance == 0 && sim.now >= FaultStart
}

// cut reports whether nothing sent by an instance's host reaches other hosts.
func (sim *simulation) cut(instance int) bool {
	return sim.fault == OneWayCut && instance == 0 && sim.now >= FaultStart
}

// path returns the one-way delay between a front and an instance.
func (sim *simulation) path(front, instance int) time.Duration {
	d := sim.site.RemoteDelay
	if front%sim.site.DCs == instance%sim.site.DCs {
		d = sim.site.LocalDelay
	}
	if sim.fault == SlowPath && instance == 0 && sim.now >= FaultStart {
		d += 100 * time.Millisecond
	}
	return d
}

// metrics are the results of one run.
type metrics struct {
	requests, starts, failed, late int
	latency                        *hdrhistogram.Histogram
	// latencyAfterFault has the latencies of requests that arrived after FaultStart.
	latencyAfterFault *hdrhistogram.Histogram
	// grayStarts and allStarts count the executions started at instance 0 and at all
	// instances, by bucketWidth.
	grayStarts, allStarts []int
	// falseEjections counts ejections of healthy instances, once per episode.
	falseEjections int
	// floorViolations counts ejections that reduced capacity below the floor.
	// minMargin is the least capacity above the floor, in slots. In the radishhoist
	// policy an instance counts as ejected as soon as any front ejects it; in a baseline
	// the margin is that of a single front.
	floorViolations int
	minMargin       int
	// tailFailures counts failures in the last ten seconds, long after a spike.
	tailFailures int
}

func newMetrics() metrics {
	return metrics{
		latency:           hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3),
		latencyAfterFault: hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3),
		grayStarts:        make([]int, RunLength/bucketWidth+1), allStarts: make([]int, RunLength/bucketWidth+1),
		minMargin: math.MaxInt,
	}
}

const bucketWidth = 100 * time.Millisecond

// countStart counts a request whose execution an instance started.
func (sim *simulation) countStart(instance int) {
	sim.m.starts++
	if i := int(sim.now / bucketWidth); i < len(sim.m.allStarts) {
		sim.m.allStarts[i]++
		if instance == 0 {
			sim.m.grayStarts[i]++
		}
	}
}

// countAnswer counts an answer or failure returned to a caller.
func (sim *simulation) countAnswer(arrived time.Duration, ok bool) {
	took := sim.now - arrived
	switch {
	case !ok:
		sim.m.failed++
		if sim.now > RunLength-10*time.Second {
			sim.m.tailFailures++
		}
	case took > deadline:
		sim.m.late++
	}
	if !ok {
		return
	}
	_ = sim.m.latency.RecordValue(max(took.Microseconds(), 1))
	if arrived >= FaultStart {
		_ = sim.m.latencyAfterFault.RecordValue(max(took.Microseconds(), 1))
	}
}

// detection returns the time from the start of the fault until the faulty instance gets less
// than a fifth of its fair share of executions in a window of two seconds, or
// RunLength-FaultStart if it never does.
func (sim *simulation) detection() time.Duration {
	const window = 20
	fairShare := 1 / float64(sim.site.Instances)
	first := int(FaultStart / bucketWidth)
	for i := first; i+window < len(sim.m.allStarts); i++ {
		gray, all := 0, 0
		for k := i; k < i+window; k++ {
			gray += sim.m.grayStarts[k]
			all += sim.m.allStarts[k]
		}
		if all > 0 && float64(gray)/float64(all) < 0.2*fairShare {
			return time.Duration(i-first) * bucketWidth
		}
	}
	return RunLength - FaultStart
}
