package detect

import (
	"math"
	"time"
)

const (
	// stepLimit bounds the evidence of one answer, in nats: one outlier alone
	// decides nothing.
	stepLimit = 2.0
	// errorStepLimit bounds the evidence of one failed answer, in nats.
	errorStepLimit = 2.7
	// failedRate is the least failure rate of a failing instance.
	failedRate = 0.3
	// calmFactor is how many FlapWindows without relapse reset the hold.
	calmFactor = 2
)

// Detector judges one instance.
type Detector struct {
	params Params
	health Health

	// slow and failing are the two cumulative sums.
	slow, failing sum
	// clear is the evidence for a suspect's return.
	clear float64

	since time.Time
	hold  time.Duration
	back  time.Time
	// at is the evidence when the instance became a suspect.
	at float64
}

// sum is one cumulative sum, in nats. What one second adds to it is bounded
// after each answer, evidence for and against together: a bound on the evidence
// for alone would let an instance that fails every other request look healthy,
// and one at the end of the second would let a short burst outweigh what
// follows it.
type sum struct {
	value  float64
	second time.Time
	base   float64
	net    float64
}

// add takes one answer's evidence.
func (s *sum) add(now time.Time, step float64, p Params) {
	if now.Sub(s.second) >= time.Second {
		s.second, s.base, s.net = now, s.value, 0
	}
	s.net = min(s.net+step, p.MaxPerSecond)
	// The sum stops a little over the threshold, so that it can fall again.
	s.value = min(s.base+s.net, 2*p.Threshold)
	if s.value < 0 {
		s.value, s.base, s.net = 0, 0, 0
	}
}

// NewDetector makes a Detector that trusts its instance.
func NewDetector(p Params) *Detector {
	return &Detector{params: p, hold: p.HoldMin}
}

// SetParams changes the parameters, for a Service record that has changed.
func (d *Detector) SetParams(p Params) {
	d.params = p
	d.hold = min(max(d.hold, p.HoldMin), p.HoldMax)
}

// Health is the present judgement.
func (d *Detector) Health() Health { return d.health }

// Evidence ranks suspects: the strongest case seen, in nats.
func (d *Detector) Evidence() float64 {
	return max(d.slow.value, d.failing.value, d.at)
}

// SuspicionEvidence is the evidence at which the present suspicion began, in nats.
func (d *Detector) SuspicionEvidence() float64 { return d.at }

// SuspectSince is when the present suspicion began.
func (d *Detector) SuspectSince() time.Time { return d.since }

// AddAnswer takes one answer of the instance and reports whether the judgement
// has changed. failed covers errors and broken or mismatched answers.
func (d *Detector) AddAnswer(now time.Time, ref Summary, service time.Duration, failed bool) bool {
	if ref.Count < minReference {
		return false
	}
	if failed {
		d.failing.add(now, errorStep(d.params, ref), d.params)
		d.clear = 0
		return d.decide(now)
	}
	d.failing.add(now, successStep(d.params, ref), d.params)
	step := slowStep(d.params, ref, service)
	d.slow.add(now, step, d.params)
	d.clear = max(0, d.clear-step)
	return d.decide(now)
}

// AddPending takes the age of a request that is still running; the caller reports
// each request again whenever its age has doubled. An age is a lower bound of
// the service time, so that it can only speak against the instance.
func (d *Detector) AddPending(now time.Time, ref Summary, age time.Duration) bool {
	step := slowStep(d.params, ref, age)
	if ref.Count < minReference || step <= 0 {
		return false
	}
	d.slow.add(now, step, d.params)
	d.clear = 0
	return d.decide(now)
}

// decide applies the thresholds.
func (d *Detector) decide(now time.Time) bool {
	if d.health == Healthy {
		return d.convict(now)
	}
	return d.acquit(now)
}

func (d *Detector) convict(now time.Time) bool {
	if max(d.slow.value, d.failing.value) < d.params.Threshold {
		return false
	}
	switch calm := now.Sub(d.back); {
	case d.back.IsZero() || calm > calmFactor*d.params.FlapWindow:
		d.hold = d.params.HoldMin
	case calm < d.params.FlapWindow:
		d.hold = min(2*d.hold, d.params.HoldMax)
	}
	d.health = Suspect
	d.since = now
	d.at = max(d.slow.value, d.failing.value)
	d.clear = 0
	return true
}

func (d *Detector) acquit(now time.Time) bool {
	if now.Sub(d.since) < d.hold || d.clear < d.params.ClearThreshold {
		return false
	}
	d.health = Healthy
	d.back = now
	d.slow, d.failing, d.clear, d.at = sum{}, sum{}, 0, 0
	return true
}

// slowStep is the log likelihood ratio of one service time: slower than peers
// by SlowFactor, against like its peers, both normal on the log scale.
func slowStep(p Params, ref Summary, service time.Duration) float64 {
	z := (logSeconds(service) - ref.Median) / ref.Spread
	shift := math.Log(p.SlowFactor) / ref.Spread
	return clamp(shift*z-shift*shift/2, stepLimit)
}

// normalRate is the failure rate of a healthy instance at present.
func normalRate(p Params, ref Summary) float64 {
	return min(max(ref.Failures, p.ErrorFloor), 0.9)
}

// badRate is the failure rate the test looks for.
func badRate(normal float64) float64 { return min(max(failedRate, 3*normal), 0.95) }

func errorStep(p Params, ref Summary) float64 {
	normal := normalRate(p, ref)
	return clamp(math.Log(badRate(normal)/normal), errorStepLimit)
}

func successStep(p Params, ref Summary) float64 {
	normal := normalRate(p, ref)
	return clamp(math.Log((1-badRate(normal))/(1-normal)), stepLimit)
}

func clamp(v, limit float64) float64 { return min(max(v, -limit), limit) }
