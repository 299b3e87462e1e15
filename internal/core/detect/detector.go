package detect

import (
	"math"
	"time"
)

const (
	// maxStep bounds the evidence of one service time or one success, in nats, so
	// that a single outlier is never decisive.
	maxStep = 2.0
	// maxFailureStep bounds the evidence of one failed response, in nats.
	maxFailureStep = 2.7
	// minFaultyFailureRate is the minimum failure rate that the failure test assumes for a
	// faulty instance.
	minFaultyFailureRate = 0.3
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
	// clearEvidence is the evidence of normal service, in nats, for clearing a suspect.
	clearEvidence float64

	suspectSince time.Time
	// hold is the minimum duration of the current or next suspicion.
	hold time.Duration
	// clearedAt is when a suspicion of the instance last ended, zero if none has.
	clearedAt time.Time
	// suspicionEvidence is the evidence at which the instance became a suspect.
	suspicionEvidence float64
}

// cusum is a cumulative sum test statistic, in nats. The net increase within one
// second is bounded, and the bound is applied after each response. If only the evidence
// for a fault were bounded, an instance that fails every other request would appear
// healthy. If the bound were applied at the end of the second, a short burst could
// outweigh the responses that follow it.
type cusum struct {
	value float64
	// windowStart is the start of the current one-second window, windowBase the
	// value at that time, and windowSum the bounded sum since.
	windowStart time.Time
	windowBase  float64
	windowSum   float64
}

// add adds the evidence of one response or pending request.
func (s *cusum) add(now time.Time, step float64, p Params) {
	if now.Sub(s.windowStart) >= time.Second {
		s.windowStart, s.windowBase, s.windowSum = now, s.value, 0
	}
	s.windowSum = min(s.windowSum+step, p.MaxPerSecond)
	// The limit of twice the threshold allows the sum to decrease soon after recovery.
	s.value = min(s.windowBase+s.windowSum, 2*p.Threshold)
	if s.value < 0 {
		s.value, s.windowBase, s.windowSum = 0, 0, 0
	}
}

// NewDetector returns a Detector for a healthy instance.
func NewDetector(p Params) *Detector {
	return &Detector{params: p, hold: p.HoldMin}
}

// SetParams replaces the parameters after a change of the Service record.
func (d *Detector) SetParams(p Params) {
	d.params = p
	d.hold = min(max(d.hold, p.HoldMin), p.HoldMax)
}

// Health returns the current health of the instance.
func (d *Detector) Health() Health { return d.health }

// Evidence returns the evidence against the instance, in nats, for ranking
// suspects. It is the highest of the two current sums and the evidence at which the
// current suspicion began.
func (d *Detector) Evidence() float64 {
	return max(d.slowSum.value, d.failureSum.value, d.suspicionEvidence)
}

// SuspicionEvidence returns the evidence at which the current suspicion began, in nats.
func (d *Detector) SuspicionEvidence() float64 { return d.suspicionEvidence }

// SuspectSince returns when the current suspicion began.
func (d *Detector) SuspectSince() time.Time { return d.suspectSince }

// AddResponse processes one response of the instance and reports whether its health has
// changed. failed states whether the response counts as a failure; the guard passes only
// complete responses that did not fail.
func (d *Detector) AddResponse(now time.Time, ref Summary, service time.Duration, failed bool) bool {
	if ref.Count < minSamples {
		return false
	}
	if failed {
		d.failureSum.add(now, failureStep(d.params, ref), d.params)
		d.clearEvidence = 0
		return d.updateHealth(now)
	}
	d.failureSum.add(now, successStep(d.params, ref), d.params)
	step := slowStep(d.params, ref, service)
	d.slowSum.add(now, step, d.params)
	d.clearEvidence = max(0, d.clearEvidence-step)
	return d.updateHealth(now)
}

// AddPending processes the age of a request that is still running and reports whether
// the health has changed. The caller reports each request again whenever its age
// has doubled. The age is a lower bound of the service time, so it can only be
// evidence against the instance.
func (d *Detector) AddPending(now time.Time, ref Summary, age time.Duration) bool {
	step := slowStep(d.params, ref, age)
	if ref.Count < minSamples || step <= 0 {
		return false
	}
	d.slowSum.add(now, step, d.params)
	d.clearEvidence = 0
	return d.updateHealth(now)
}

// updateHealth compares the evidence with the thresholds and reports whether the health
// has changed.
func (d *Detector) updateHealth(now time.Time) bool {
	if d.health == Healthy {
		return d.checkForSuspicion(now)
	}
	return d.checkForClearing(now)
}

// checkForSuspicion makes a healthy instance a suspect if a sum has reached the
// threshold, and reports whether it did.
func (d *Detector) checkForSuspicion(now time.Time) bool {
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

// checkForClearing makes a suspect healthy again if the hold time is over and the evidence
// of normal service has reached the threshold, and reports whether it did.
func (d *Detector) checkForClearing(now time.Time) bool {
	if now.Sub(d.suspectSince) < d.hold || d.clearEvidence < d.params.ClearThreshold {
		return false
	}
	d.health = Healthy
	d.clearedAt = now
	d.slowSum, d.failureSum, d.clearEvidence, d.suspicionEvidence = cusum{}, cusum{}, 0, 0
	return true
}

// slowStep returns the log-likelihood ratio of one service time, bounded to maxStep. The
// hypotheses are that the instance is slower than its peers by SlowFactor and that it is
// as fast as they are, with log-normal service times under both.
func slowStep(p Params, ref Summary, service time.Duration) float64 {
	z := (logSeconds(service) - ref.Median) / ref.Spread
	shift := math.Log(p.SlowFactor) / ref.Spread
	return clamp(shift*z-shift*shift/2, maxStep)
}

// healthyFailureRate returns the current failure rate of a healthy instance.
func healthyFailureRate(p Params, ref Summary) float64 {
	return min(max(ref.Failures, p.MinHealthyFailureRate), 0.9)
}

// faultyFailureRate returns the failure rate that the failure test assumes for a faulty
// instance, given that of a healthy one.
func faultyFailureRate(healthy float64) float64 {
	return min(max(minFaultyFailureRate, 3*healthy), 0.95)
}

// failureStep returns the bounded log-likelihood ratio of one failed response.
func failureStep(p Params, ref Summary) float64 {
	healthy := healthyFailureRate(p, ref)
	return clamp(math.Log(faultyFailureRate(healthy)/healthy), maxFailureStep)
}

// successStep returns the bounded log-likelihood ratio of one successful response.
func successStep(p Params, ref Summary) float64 {
	healthy := healthyFailureRate(p, ref)
	return clamp(math.Log((1-faultyFailureRate(healthy))/(1-healthy)), maxStep)
}

func clamp(v, limit float64) float64 { return min(max(v, -limit), limit) }
