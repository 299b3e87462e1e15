package experiment

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// event is one thing that happens.
type event struct {
	at  time.Duration
	seq uint64
	do  func()
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

// epoch turns virtual time into the time.Time that the cores take.
var epoch = time.Unix(1_000_000, 0)

// world is one run.
type world struct {
	site  Site
	fault Fault
	load  float64
	rng   *rand.Rand
	now   time.Duration
	seq   uint64
	queue eventQueue
	m     metrics
}

func (w *world) time() time.Time { return epoch.Add(w.now) }

func (w *world) after(d time.Duration, do func()) {
	w.seq++
	heap.Push(&w.queue, event{w.now + d, w.seq, do})
}

func (w *world) run(until time.Duration) {
	for len(w.queue) > 0 && w.queue[0].at <= until {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		e.do()
	}
}

// arrivals makes requests come at random, at the rate of the moment.
func (w *world) arrivals(send func()) {
	rate := w.fault.rate(w.load, w.now) * w.site.Capacity()
	w.after(time.Duration(w.rng.ExpFloat64()/rate*float64(time.Second)), func() {
		if w.now < RunFor {
			send()
			w.arrivals(send)
		}
	})
}

// serviceTime draws the true service time of an instance now.
func (w *world) serviceTime(instance int) time.Duration {
	s := w.site.Service.Seconds() * math.Exp(w.site.Spread*w.rng.NormFloat64())
	return time.Duration(s * w.fault.slowdown(instance, w.now) * float64(time.Second))
}

// fails says that an instance's answer to a request is an error.
func (w *world) fails(instance int) bool {
	return w.fault == Errors && instance == 0 && w.now >= FaultAt && w.rng.IntN(2) == 0
}

// stuck says that an instance takes a request and never answers.
func (w *world) stuck(instance int) bool {
	return w.fault == Stuck && instance == 0 && w.now >= FaultAt
}

// cut says that nothing of an instance's host reaches others.
func (w *world) cut(instance int) bool {
	return w.fault == OneWayCut && instance == 0 && w.now >= FaultAt
}

// path is the one-way delay between a front and an instance.
func (w *world) path(front, instance int) time.Duration {
	d := w.site.OneWay
	if front%w.site.DCs == instance%w.site.DCs {
		d = w.site.Near
	}
	if w.fault == SlowPath && instance == 0 && w.now >= FaultAt {
		d += 100 * time.Millisecond
	}
	return d
}

// metrics are one run's results.
type metrics struct {
	fresh, works, failed, late int
	latency                    *hdrhistogram.Histogram
	// after are the latencies once the fault has begun.
	after *hdrhistogram.Histogram
	// toGray and toAll count the works by tenth of a second.
	toGray, toAll []int
	// falseOut counts healthy instances that were put out, each episode.
	falseOut int
	// floorBreaks counts choices whose ejections went below the floor;
	// unionMargin is the least capacity beyond the floor, in slots, when an
	// instance counts as out as soon as any front leaves it out.
	floorBreaks int
	unionMargin int
	// lateFailed counts failures in the last ten seconds, long after a spike.
	lateFailed int
}

func newMetrics() metrics {
	return metrics{
		latency: hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3),
		after:   hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3),
		toGray:  make([]int, RunFor/tenth+1), toAll: make([]int, RunFor/tenth+1),
		unionMargin: math.MaxInt,
	}
}

const tenth = 100 * time.Millisecond

// worked counts one request that an instance began.
func (w *world) worked(instance int) {
	w.m.works++
	if i := int(w.now / tenth); i < len(w.m.toAll) {
		w.m.toAll[i]++
		if instance == 0 {
			w.m.toGray[i]++
		}
	}
}

// done counts one answer to a caller.
func (w *world) done(arrived time.Duration, ok bool) {
	took := w.now - arrived
	switch {
	case !ok:
		w.m.failed++
		if w.now > RunFor-10*time.Second {
			w.m.lateFailed++
		}
	case took > deadline:
		w.m.late++
	}
	if !ok {
		return
	}
	_ = w.m.latency.RecordValue(max(took.Microseconds(), 1))
	if arrived >= FaultAt {
		_ = w.m.after.RecordValue(max(took.Microseconds(), 1))
	}
}

// detection is how long after the fault the gray instance still got more than
// a fifth of its fair share, over windows of two seconds; RunFor-FaultAt where
// it never stopped.
func (w *world) detection() time.Duration {
	const window = 20
	fair := 1 / float64(w.site.Instances)
	first := int(FaultAt / tenth)
	for i := first; i+window < len(w.m.toAll); i++ {
		gray, all := 0, 0
		for k := i; k < i+window; k++ {
			gray += w.m.toGray[k]
			all += w.m.toAll[k]
		}
		if all > 0 && float64(gray)/float64(all) < 0.2*fair {
			return time.Duration(i-first) * tenth
		}
	}
	return RunFor - FaultAt
}
