package experiment

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// event is an action scheduled at a virtual time. seq orders events at the same time.
type event struct {
	at     time.Duration
	seq    uint64
	action func()
}

// eventQueue is a heap of events, the earliest first.
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
	site    Site
	fault   Fault
	load    float64
	rng     *rand.Rand
	now     time.Duration
	seq     uint64
	queue   eventQueue
	metrics metrics
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

// scheduleArrivals generates Poisson arrivals at the current rate.
func (sim *simulation) scheduleArrivals(send func()) {
	rate := sim.fault.rate(sim.load, sim.now) * sim.site.Capacity()
	sim.schedule(time.Duration(sim.rng.ExpFloat64()/rate*float64(time.Second)), func() {
		if sim.now < RunLength {
			send()
			sim.scheduleArrivals(send)
		}
	})
}

// serviceTime generates a service time of an instance at the current time.
func (sim *simulation) serviceTime(instance int) time.Duration {
	s := sim.site.MedianService.Seconds() * math.Exp(sim.site.LogStdDev*sim.rng.NormFloat64())
	return time.Duration(s * sim.fault.slowdown(instance, sim.now) * float64(time.Second))
}

// fails decides at random whether an instance responds to a request with an error.
func (sim *simulation) fails(instance int) bool {
	return sim.fault == Errors && instance == 0 && sim.now >= FaultStart && sim.rng.IntN(2) == 0
}

// isStuck reports whether an instance accepts requests and never responds.
func (sim *simulation) isStuck(instance int) bool {
	return sim.fault == Stuck && instance == 0 && sim.now >= FaultStart
}

// outboundCut reports whether all outbound messages of an instance's host are lost.
func (sim *simulation) outboundCut(instance int) bool {
	return sim.fault == OneWayCut && instance == 0 && sim.now >= FaultStart
}

// pathDelay returns the one-way delay between a front and an instance.
func (sim *simulation) pathDelay(front, instance int) time.Duration {
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
	// latencyAfterFault holds the latencies of requests that arrived after FaultStart.
	latencyAfterFault *hdrhistogram.Histogram
	// faultyInstanceStarts and allStarts count the executions started at instance 0 and at all
	// instances, in buckets of bucketWidth.
	faultyInstanceStarts, allStarts []int
	// falseEjections counts ejections of healthy instances, each once however long it lasts.
	falseEjections int
	// floorViolations counts ejections that reduced the capacity below the floor. minMargin is
	// the least capacity above the floor, in slots. In the radishhoist policy an instance counts
	// as ejected if any front ejects it; a baseline counts the capacity of each front separately.
	floorViolations int
	minMargin       int
	// tailFailures counts the failures in the last ten seconds of the run, long after a load spike.
	tailFailures int
}

func newMetrics() metrics {
	return metrics{
		latency:              hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3),
		latencyAfterFault:    hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3),
		faultyInstanceStarts: make([]int, RunLength/bucketWidth+1), allStarts: make([]int, RunLength/bucketWidth+1),
		minMargin: math.MaxInt,
	}
}

const bucketWidth = 100 * time.Millisecond

// countStart counts a request whose execution an instance started.
func (sim *simulation) countStart(instance int) {
	sim.metrics.starts++
	if i := int(sim.now / bucketWidth); i < len(sim.metrics.allStarts) {
		sim.metrics.allStarts[i]++
		if instance == 0 {
			sim.metrics.faultyInstanceStarts[i]++
		}
	}
}

// countResponse counts a response or failure returned to a caller.
func (sim *simulation) countResponse(arrived time.Duration, ok bool) {
	took := sim.now - arrived
	switch {
	case !ok:
		sim.metrics.failed++
		if sim.now > RunLength-10*time.Second {
			sim.metrics.tailFailures++
		}
	case took > deadline:
		sim.metrics.late++
	}
	if !ok {
		return
	}
	_ = sim.metrics.latency.RecordValue(max(took.Microseconds(), 1))
	if arrived >= FaultStart {
		_ = sim.metrics.latencyAfterFault.RecordValue(max(took.Microseconds(), 1))
	}
}

// detectionTime returns the time from the start of the fault until the faulty instance gets less
// than a fifth of an even share of executions in a window of two seconds, or
// RunLength-FaultStart if it never does.
func (sim *simulation) detectionTime() time.Duration {
	const windowBuckets = 20
	evenShare := 1 / float64(sim.site.Instances)
	first := int(FaultStart / bucketWidth)
	for i := first; i+windowBuckets < len(sim.metrics.allStarts); i++ {
		faulty, all := 0, 0
		for k := i; k < i+windowBuckets; k++ {
			faulty += sim.metrics.faultyInstanceStarts[k]
			all += sim.metrics.allStarts[k]
		}
		if all > 0 && float64(faulty)/float64(all) < 0.2*evenShare {
			return time.Duration(i-first) * bucketWidth
		}
	}
	return RunLength - FaultStart
}
