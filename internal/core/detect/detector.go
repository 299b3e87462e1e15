package detect

import (
	"math"
	"time"
)

const (
	// stepLimit bounds the evidence of one service time or one success, in nats, so
	// that a single outlier is never decisive.
	stepLimit = 2.0
	// errorStepLimit bounds the evidence of one failed answer, in nats.
	errorStepLimit = 2.7
	// minFailingRate is the lowest failure rate the failure test looks for.
	minFailingRate = 0.3
	// holdResetFactor is the number of FlapWindows without a relapse after which
	// the hold time is reset to HoldMin.
	holdResetFactor = 2
)

// Detector decides whether one instance is a suspect.
type Detector struct {
	params Params
	health Health

	// slowSum and failureSum accumulate the evidence against the instance.
	slowSum, failureSum cusum
	// clearEvidence is the evidence for clearing a suspect, in nats.
	clearEvidence float64

	suspectSince time.Time
	// hold is the minimum duration of the current or next suspicion.
	hold time.Duration
	// clearedAt is when the instance was last cleared, zero if it never was a suspect.
	clearedAt time.Time
	// suspicionEvidence is the evidence at which the instance became a suspect.
	suspicionEvidence float64
}

// cusum is a cumulative sum test statistic, in nats. The net increase within one
// second is bounded, and the bound is applied after each answer. Bounding only the
// evidence for a fault would make an instance that fails every other request look
// healthy. Applying the bound at the end of the second would let a short burst
// outweigh the answers that follow it.
type cusum struct {
	value float64
	// windowStart is the start of the current one-second window, windowBase the
	// value at that time, and windowSum the bounded sum since.
	windowStart time.Time
	windowBase  float64
	windowSum   float64
}

// add adds the evidence of one answer.
func (s *cusum) add(now time.Time, step float64, p Params) {
	if now.Sub(s.windowStart) >= time.Second {
		s.windowStart, s.windowBase, s.windowSum = now, s.value, 0
	}
	s.windowSum = min(s.windowSum+step, p.MaxPerSecond)
	// The cap of twice the threshold lets the sum fall again soon.
	s.value = min(s.windowBase+s.windowSum, 2*p.Threshold)
	if s.value < 0 {
		s.value, s.windowBase, s.windowSum = 0, 0, 0
	}
}

// NewDetector returns a Detector for a healthy instance.
func NewDetector(p Params) *Detector {
	return &Detector{params: p, hold: p.HoldMin}
}

// SetParams changes the parameters, after a change of the Service record.
func (d *Detector) SetParams(p Params) {
	d.params = p
	d.hold = min(max(d.hold, p.HoldMin), p.HoldMax)
}

// Health returns the current verdict.
func (d *Detector) Health() Health { return d.health }

// Evidence returns the evidence against the instance, in nats, for ranking
// suspects: the highest of the two current sums and the evidence at which the
// current suspicion began.
func (d *Detector) Evidence() float64 {
	return max(d.slowSum.value, d.failureSum.value, d.suspicionEvidence)
}

// SuspicionEvidence returns the evidence at which the current suspicion began, in nats.
func (d *Detector) SuspicionEvidence() float64 { return d.suspicionEvidence }

// SuspectSince returns when the current suspicion began.
func (d *Detector) SuspectSince() time.Time { return d.suspectSince }

// AddAnswer processes one answer of the instance and reports whether its health has
// changed. failed reports whether the answer counts as a failure; the guard passes only
// complete answers that did not fail.
func (d *Detector) AddAnswer(now time.Time, ref Summary, service time.Duration, failed bool) bool {
	if ref.Count < minSamples {
		return false
	}
	if failed {
		d.failureSum.add(now, errorStep(d.params, ref), d.params)
		d.clearEvidence = 0
		return d.decide(now)
	}
	d.failureSum.add(now, successStep(d.params, ref), d.params)
	step := slowStep(d.params, ref, service)
	d.slowSum.add(now, step, d.params)
	d.clearEvidence = max(0, d.clearEvidence-step)
	return d.decide(now)
}

// AddPending processes the age of a request that is still running and reports whether
// the health has changed. The caller reports each request again whenever its age
// has doubled. An age is a lower bound of the service time, so it can only count
// as evidence against the instance.
func (d *Detector) AddPending(now time.Time, ref Summary, age time.Duration) bool {
	step := slowStep(d.params, ref, age)
	if ref.Count < minSamples || step <= 0 {
		return false
	}
	d.slowSum.add(now, step, d.params)
	d.clearEvidence = 0
	return d.decide(now)
}

// decide compares the evidence with the thresholds and reports whether the health
// has changed.
func (d *Detector) decide(now time.Time) bool {
	if d.health == Healthy {
		return d.checkSuspect(now)
	}
	return d.checkCleared(now)
}

// checkSuspect makes a healthy instance a suspect once a sum reaches the threshold.
func (d *Detector) checkSuspect(now time.Time) bool {
	if max(d.slowSum.value, d.failureSum.value) < d.params.Threshold {
		return false
	}
	switch sinceCleared := now.Sub(d.clearedAt); {
	case d.clearedAt.IsZero() || sinceCleared > holdResetFactor*d.params.FlapWindow:
		d.hold = d.params.HoldMin
	case sinceCleared < d.params.FlapWindow:
		d.hold = min(2*d.hold, d.params.HoldMax)
	}
	d.health = Suspect
	d.suspectSince = now
	d.suspicionEvidence = max(d.slowSum.value, d.failureSum.value)
	d.clearEvidence = 0
	return true
}

// checkCleared makes a suspect healthy again once the hold time is over and the
// evidence suffices.
func (d *Detector) checkCleared(now time.Time) bool {
	if now.Sub(d.suspectSince) < d.hold || d.clearEvidence < d.params.ClearThreshold {
		return false
	}
	d.health = Healthy
	d.clearedAt = now
	d.slowSum, d.failureSum, d.clearEvidence, d.suspicionEvidence = cusum{}, cusum{}, 0, 0
	return true
}

// slowStep returns the log-likelihood ratio of one service time. The hypotheses are
// that the instance is slower than its peers by SlowFactor and that it is like
// them, with log-normal service times under both.
func slowStep(p Params, ref Summary, service time.Duration) float64 {
	z := (logSeconds(service) - ref.Median) / ref.Spread
	shift := math.Log(p.SlowFactor) / ref.Spread
	return clamp(shift*z-shift*shift/2, stepLimit)
}

// normalRate returns the current failure rate of a healthy instance.
func normalRate(p Params, ref Summary) float64 {
	return min(max(ref.Failures, p.ErrorFloor), 0.9)
}

// failingRate returns the failure rate the failure test looks for.
func failingRate(normal float64) float64 { return min(max(minFailingRate, 3*normal), 0.95) }

// errorStep returns the log-likelihood ratio of one failed answer.
func errorStep(p Params, ref Summary) float64 {
	normal := normalRate(p, ref)
	return clamp(math.Log(failingRate(normal)/normal), errorStepLimit)
}

// successStep returns the log-likelihood ratio of one successful answer.
func successStep(p Params, ref Summary) float64 {
	normal := normalRate(p, ref)
	return clamp(math.Log((1-failingRate(normal))/(1-normal)), stepLimit)
}

func clamp(v, limit float64) float64 { return min(max(v, -limit), limit) }
