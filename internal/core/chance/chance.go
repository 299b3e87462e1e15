// Package chance estimates the probability that an instance fails the next request,
// from the outcomes observed by its guard.
//
// Gray failures are intermittent: for some seconds most requests to an instance fail,
// then it works normally again. At a few requests per second and instance, a failure
// count reacts too slowly. The package therefore uses a hidden Markov model with two
// states, healthy and sick, whose durations are exponentially distributed. The estimate
// is the probability of the sick state given all outcomes so far, computed by forward
// filtering. Each outcome updates it, and without outcomes it decays towards the
// steady state. The package does no I/O.
package chance

import (
	"math"
	"time"
)

// Model holds the assumed parameters of an instance. The estimate is not sensitive to
// an error by a factor of two in any of them, because a single failure remains strong
// evidence.
type Model struct {
	// MeanHealthy and MeanSick are the mean durations of the two states.
	MeanHealthy, MeanSick time.Duration
	// HealthyFailureRate and SickFailureRate are the failure probabilities in the two states.
	HealthyFailureRate, SickFailureRate float64
}

// Default returns a Model for instances that are sick for several seconds at a time.
func Default() Model {
	return Model{MeanHealthy: 30 * time.Second, MeanSick: 12 * time.Second, HealthyFailureRate: 0.03, SickFailureRate: 0.8}
}

// steadyStateSick returns the long-run share of time in which an instance is sick.
func (m Model) steadyStateSick() float64 {
	return m.MeanSick.Seconds() / (m.MeanSick.Seconds() + m.MeanHealthy.Seconds())
}

// decayRate returns the rate, per second, at which an estimate decays towards the
// steady state.
func (m Model) decayRate() float64 { return 1/m.MeanHealthy.Seconds() + 1/m.MeanSick.Seconds() }

// Estimate is the probability that one instance is sick, as of its last outcome. The
// zero value has no outcomes.
type Estimate struct {
	sick float64
	at   time.Time
}

// EstimateAt returns an Estimate with a value reported by the instance's guard, limited
// to the range from 0 to 1.
func EstimateAt(now time.Time, sick float64) Estimate {
	return Estimate{sick: min(max(sick, 0), 1), at: now}
}

// Sick returns the probability that the instance is in the sick state at the given time.
func (e *Estimate) Sick(now time.Time, m Model) float64 {
	if e.at.IsZero() {
		return m.steadyStateSick()
	}
	decay := math.Exp(-m.decayRate() * max(now.Sub(e.at).Seconds(), 0))
	return m.steadyStateSick() + (e.sick-m.steadyStateSick())*decay
}

// maxSickWithoutOutcomes is the maximum to which SickForSelection rises without new
// outcomes.
const maxSickWithoutOutcomes = 0.05

// SickForSelection returns the probability of the sick state for use in selecting an
// instance. An instance without recent outcomes may have become sick, but if it were
// avoided for that reason, it would never have new outcomes. Without new outcomes,
// SickForSelection therefore rises to maxSickWithoutOutcomes at most. After an observed
// failure, it decays like Sick.
func (e *Estimate) SickForSelection(now time.Time, m Model) float64 {
	return min(e.Sick(now, m), max(e.sick, maxSickWithoutOutcomes))
}

// FailureProbability returns the probability that the next request fails, based on
// SickForSelection.
func (e *Estimate) FailureProbability(now time.Time, m Model) float64 {
	sick := e.SickForSelection(now, m)
	return sick*m.SickFailureRate + (1-sick)*m.HealthyFailureRate
}

// Observe updates the estimate with the outcome of one request.
func (e *Estimate) Observe(now time.Time, failed bool, m Model) {
	sick := e.Sick(now, m)
	ifSick, ifHealthy := 1-m.SickFailureRate, 1-m.HealthyFailureRate
	if failed {
		ifSick, ifHealthy = m.SickFailureRate, m.HealthyFailureRate
	}
	e.sick = sick * ifSick / (sick*ifSick + (1-sick)*ifHealthy)
	e.at = now
}
