// Package concurrency learns how many requests an instance should run at once. Some instances slow
// down when they are nearly full, so that their last slots reduce goodput, the work of successful
// requests completed per second. A Limiter compares the goodput at different limits while requests
// wait, and limits an instance to the best one.
//
// A Limiter does not read the clock and does no I/O. The calling code serializes its calls.
package concurrency

import (
	"math"
	"time"
)

const (
	// evidenceHalfLife is the half-life of past requests.
	evidenceHalfLife = 40 * time.Second
	// maxRequests bounds the decayed number of requests at a limit, so that those compared with a
	// probe are from the seconds before it: an instance may be slower at other times for other
	// reasons.
	maxRequests = 60
	// minRequests is the decayed number of requests from which the goodput at a limit is known.
	minRequests = 10
	// confidence is the number of standard errors by which a lower limit must have more goodput than
	// all slots. It is high because it is tested every learnInterval of a probe. Beside a learned
	// limit, localConfidence is enough to lower it by one.
	confidence      = 3
	localConfidence = 1.5
	// minGain is the smallest gain in goodput for which a limit is set, as a logarithm.
	minGain = 0.1
	// minServiceTime and minServedShare bound the logarithms of the goodput.
	minServiceTime = time.Millisecond
	minServedShare = 0.01
	// learnInterval is the minimum time between two decisions.
	learnInterval = 500 * time.Millisecond
	// probeInterval is the time between two probes beside a learned limit.
	probeInterval = 10 * time.Second
	// searchInterval is the time between two probes of an instance without a limit, for which it
	// runs fewer requests than its slots; they take about 1 % of its time. With signs of a slowdown
	// it is hintedSearchInterval.
	searchInterval       = 150 * time.Second
	hintedSearchInterval = 15 * time.Second
	// searchDelay is how long requests must have waited, and searchRequests the decayed number of
	// requests with all slots in use, before such a probe.
	searchDelay    = time.Second
	searchRequests = 30
	// probeLength is the time for which a probe lasts once its limit has settled, and maxProbeLength
	// that of one that may have found a slowdown or has had less than minRequests.
	probeLength    = 2 * time.Second
	maxProbeLength = 6 * time.Second
	// settleServiceTimes is the number of mean service times after which a changed limit has settled:
	// the requests that end have run mostly under that limit. It is at most maxSettle.
	settleServiceTimes = 1.5
	maxSettle          = 3 * time.Second
	// serviceTimeWeight is the weight of a new request in the mean service time.
	serviceTimeWeight = 0.05
	// holdTime is how long the limit stays in force after the last request has waited. If it were
	// lifted as soon as the queue is empty, the next requests would fill the last slots.
	holdTime = 2 * time.Second
)

// evidence holds decayed sums over the requests that ended at one limit. ratio is the logarithm of
// the service time of a successful request over the expected one: its spread does not grow with the
// slowdown, and a long tail counts little. lost is the slot time of requests that failed, and
// slotTime that of all; requests that fail at once add next to nothing to both.
type evidence struct {
	updated                                  time.Time
	requests, ratio, ratioSq, lost, slotTime float64
}

func (e *evidence) scale(f float64) {
	e.requests, e.ratio, e.ratioSq, e.lost, e.slotTime = e.requests*f, e.ratio*f, e.ratioSq*f, e.lost*f, e.slotTime*f
}

func (e *evidence) decay(now time.Time) {
	if elapsed := now.Sub(e.updated); elapsed > 0 {
		e.scale(math.Exp2(-elapsed.Seconds() / evidenceHalfLife.Seconds()))
		e.updated = now
	}
}

func (e *evidence) add(now time.Time, expected, service time.Duration, served bool) {
	e.decay(now)
	e.slotTime += service.Seconds()
	if !served {
		e.lost += service.Seconds()
		return
	}
	ratio := math.Log(max(service, minServiceTime).Seconds() / expected.Seconds())
	e.requests, e.ratio, e.ratioSq = e.requests+1, e.ratio+ratio, e.ratioSq+ratio*ratio
	if e.requests > maxRequests {
		e.scale(maxRequests / e.requests)
	}
}

// logGoodput returns the logarithm of the goodput with the given number of running requests, up to a
// constant, with its variance: by Little's law, goodput is running requests over service time. ok is
// false if there are too few requests.
func (e *evidence) logGoodput(now time.Time, running int) (value, variance float64, ok bool) {
	e.decay(now)
	if e.requests < minRequests {
		return 0, 0, false
	}
	mean := e.ratio / e.requests
	served := 1.0
	if e.slotTime > 0 {
		served = max(1-e.lost/e.slotTime, minServedShare)
	}
	return math.Log(float64(running)*served) - mean, max(e.ratioSq/e.requests-mean*mean, 0) / e.requests, true
}

// Limiter learns the limit of one instance.
type Limiter struct {
	slots, running int
	// evidence has an element for each limit up to slots.
	evidence []evidence
	// learned is the limit with the best goodput, slots if no lower one is known to be better.
	learned int
	// limit is the limit returned last, and limitSince when it was first returned.
	limit      int
	limitSince time.Time
	// learnedAt is when probes were last judged, waitedAt when a request last waited, and
	// waitingSince the start of the time since when the limit is in force.
	learnedAt, waitedAt, waitingSince time.Time
	// probed is the limit that is probed, 0 if none, and probeAt when the last probe began, or when
	// a limit was set. probes counts the probes beside a limit. confirming reports that the learned
	// limit is new and that the probe is that of all slots.
	probed, probes int
	probeAt        time.Time
	confirming     bool
	serviceTime    time.Duration
}

// New returns a Limiter that knows nothing of its instance.
func New(slots int) *Limiter {
	return &Limiter{slots: slots, learned: slots, limit: slots, evidence: make([]evidence, slots+1)}
}

// Reset forgets everything learned and sets the number of slots. Requests that are running still end
// with End.
func (l *Limiter) Reset(slots int) {
	running := l.running
	*l = *New(slots)
	l.running = running
}

// Learned returns the learned limit, whether or not it is in force; the number of slots if there is
// none.
func (l *Limiter) Learned() int { return l.learned }

// Begin records that a request starts to run.
func (l *Limiter) Begin() { l.running++ }

// End records that a request has ended. expected is its expected service time, 0 if not known, which
// excludes the request from the evidence.
func (l *Limiter) End(now time.Time, expected, service time.Duration, served bool) {
	saturated := l.running == l.limit && now.Sub(l.waitedAt) < holdTime
	settled := min(now.Sub(l.limitSince), now.Sub(l.waitingSince)) >= l.settle()
	l.running--
	if served {
		l.serviceTime += time.Duration(serviceTimeWeight * float64(service-l.serviceTime))
	}
	if expected <= 0 || !saturated || !settled {
		return
	}
	l.evidence[l.limit].add(now, expected, service, served)
}

func (l *Limiter) settle() time.Duration {
	return min(time.Duration(settleServiceTimes*float64(l.serviceTime)), maxSettle)
}

// Limit returns the number of slots to use. waiting reports whether requests wait.
func (l *Limiter) Limit(now time.Time, waiting bool) int {
	inForce := now.Sub(l.waitedAt) < holdTime
	if waiting {
		if !inForce {
			l.waitingSince = now
		}
		l.waitedAt, inForce = now, true
	}
	limit := l.slots
	if inForce {
		l.probe(now)
		limit = l.learned
		if l.probed > 0 {
			limit = l.probed
		}
	} else {
		l.endProbe()
	}
	if limit != l.limit {
		l.limit, l.limitSince = limit, now
	}
	return limit
}

// floor is the lowest limit.
func (l *Limiter) floor() int { return (l.slots + 1) / 2 }

// better reports whether limit a has more goodput than limit b, by the given number of standard
// errors and by gain.
func (l *Limiter) better(now time.Time, a, b int, standardErrors, gain float64) bool {
	valueA, varianceA, okA := l.evidence[a].logGoodput(now, a)
	valueB, varianceB, okB := l.evidence[b].logGoodput(now, b)
	return okA && okB && valueA-valueB > gain+standardErrors*math.Sqrt(varianceA+varianceB)
}

// probe starts and ends probes. Beside a learned limit they try one more slot and one less in turn.
// Without one they try three quarters of the slots.
func (l *Limiter) probe(now time.Time) {
	since := now.Sub(l.probeAt)
	middle := (l.floor() + l.slots) / 2
	switch {
	case l.probed > 0:
		if now.Sub(l.learnedAt) >= learnInterval {
			l.learnedAt = now
			l.judge(now, since-l.settle())
		}
	case l.learned < l.slots && since >= probeInterval:
		l.probes++
		if l.probes%2 == 0 && l.learned > l.floor() {
			l.startProbe(now, l.learned-1)
		} else {
			l.startProbe(now, l.learned+1)
		}
	case l.learned < l.slots || middle == l.slots || now.Sub(l.waitingSince) < searchDelay || l.evidence[l.slots].requests < searchRequests:
	case since >= searchInterval || since >= hintedSearchInterval && l.better(now, middle, l.slots, 1, minGain):
		l.startProbe(now, middle)
	}
}

func (l *Limiter) startProbe(now time.Time, limit int) {
	l.probeAt, l.probed = now, limit
	// Evidence of an earlier probe that was too short for a result is kept.
	if e := &l.evidence[limit]; e.requests >= minRequests {
		*e = evidence{updated: now}
	}
}

// endProbe ends a probe without a change, but drops a limit that it has not confirmed.
func (l *Limiter) endProbe() {
	if l.confirming {
		l.learned, l.confirming = l.slots, false
	}
	l.probed = 0
}

// judge makes the probed limit the learned one if it has more goodput, and ends the probe if that is
// so, if it has less, or after probeLength, or maxProbeLength if it may have found a slowdown. Only
// evidence of probes can lower the limit: requests with fewer others beside them at other times may
// have been faster for another reason, such as less demand at the services that the instance calls.
// For the same reason a first limit is confirmed by a probe of all slots after it: an instance that
// gets faster by itself, after a cold start, shows more goodput then.
func (l *Limiter) judge(now time.Time, settled time.Duration) {
	down, first, standardErrors, gain := l.probed < l.learned, l.learned == l.slots, float64(confidence), minGain
	if !first {
		standardErrors, gain = localConfidence, 0
	}
	more := l.better(now, l.probed, l.learned, 0, 0)
	known := l.evidence[l.probed].requests
	switch {
	case down && l.better(now, l.probed, l.learned, standardErrors, gain):
		l.learned, l.probeAt, l.probed = l.probed, now, 0
		if first {
			l.startProbe(now, l.slots)
			l.confirming = true
		}
	case !down && more && settled >= probeLength:
		l.learned, l.probeAt, l.probed, l.confirming = l.probed, now, 0, false
	case known >= minRequests && !more, known >= 2*minRequests && down && !l.better(now, l.probed, l.learned, 0, gain):
		l.probed, l.confirming = 0, false
	case settled >= maxProbeLength, settled >= probeLength && known >= minRequests && (!down || !l.better(now, l.probed, l.learned, 1, gain)):
		l.endProbe()
	}
}
