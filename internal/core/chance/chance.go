// Package chance estimates how likely an instance is to fail the next request,
// from every outcome that its guard sees.
//
// Instances that fail gray do so by turns: for some seconds most of their
// answers are failures, and then they are well again. With a few requests a
// second at each instance a count of failures is too slow. The model has two
// states, well and sick, that last for times without memory, and the estimate
// is the probability of the sick one given all outcomes (a hidden Markov model
// filtered forward). It moves with each outcome, and drifts back to what is
// usual while nothing is heard. The package does no I/O.
package chance

import (
	"math"
	"time"
)

// Model says what is assumed of instances. Being wrong by a factor of two in
// any of it moves the estimate little: one failure is strong evidence under
// all of them.
type Model struct {
	// MeanWell and MeanSick are the mean times that the two states last.
	MeanWell, MeanSick time.Duration
	// WellFailureRate and SickFailureRate are the shares of requests that fail in them.
	WellFailureRate, SickFailureRate float64
}

// Default suits instances that are sick for several seconds at a time.
func Default() Model {
	return Model{MeanWell: 30 * time.Second, MeanSick: 12 * time.Second, WellFailureRate: 0.03, SickFailureRate: 0.8}
}

// usual is the share of the time that an instance is sick.
func (m Model) usual() float64 {
	return m.MeanSick.Seconds() / (m.MeanSick.Seconds() + m.MeanWell.Seconds())
}

// rate is how fast an estimate drifts back to the usual share, a second.
func (m Model) rate() float64 { return 1/m.MeanWell.Seconds() + 1/m.MeanSick.Seconds() }

// Estimate is what is known of one instance at a moment. The zero value knows
// nothing yet.
type Estimate struct {
	sick float64
	at   time.Time
}

// EstimateAt gives an estimate as it was told by its guard.
func EstimateAt(now time.Time, sick float64) Estimate {
	return Estimate{sick: min(max(sick, 0), 1), at: now}
}

// Sick is the probability that the instance is in its sick state.
func (e *Estimate) Sick(now time.Time, m Model) float64 {
	if e.at.IsZero() {
		return m.usual()
	}
	fade := math.Exp(-m.rate() * max(now.Sub(e.at).Seconds(), 0))
	return m.usual() + (e.sick-m.usual())*fade
}

// silentDoubt is how much an estimate may rise by silence alone.
const silentDoubt = 0.05

// SickForSelection is Sick as a choice among instances should take it. An instance of which nothing
// is heard may have turned sick, but to leave it out for that would keep anything from
// being heard of it: silence alone raises the doubt to silentDoubt at most. A failure that
// was seen is forgotten as Sick forgets it.
func (e *Estimate) SickForSelection(now time.Time, m Model) float64 {
	return min(e.Sick(now, m), max(e.sick, silentDoubt))
}

// FailureProbability is the chance to be reckoned with that the next request fails.
func (e *Estimate) FailureProbability(now time.Time, m Model) float64 {
	sick := e.SickForSelection(now, m)
	return sick*m.SickFailureRate + (1-sick)*m.WellFailureRate
}

// Observe takes the outcome of one request.
func (e *Estimate) Observe(now time.Time, failed bool, m Model) {
	sick := e.Sick(now, m)
	ifSick, ifWell := 1-m.SickFailureRate, 1-m.WellFailureRate
	if failed {
		ifSick, ifWell = m.SickFailureRate, m.WellFailureRate
	}
	e.sick = sick * ifSick / (sick*ifSick + (1-sick)*ifWell)
	e.at = now
}
