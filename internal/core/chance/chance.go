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
	// WellFor and SickFor are the mean times that the two states last.
	WellFor, SickFor time.Duration
	// WellFails and SickFails are the shares of requests that fail in them.
	WellFails, SickFails float64
}

// Default suits instances that are sick for several seconds at a time.
func Default() Model {
	return Model{WellFor: 30 * time.Second, SickFor: 12 * time.Second, WellFails: 0.03, SickFails: 0.8}
}

// usual is the share of the time that an instance is sick.
func (m Model) usual() float64 {
	return m.SickFor.Seconds() / (m.SickFor.Seconds() + m.WellFor.Seconds())
}

// rate is how fast an estimate drifts back to the usual share, a second.
func (m Model) rate() float64 { return 1/m.WellFor.Seconds() + 1/m.SickFor.Seconds() }

// Estimate is what is known of one instance at a moment. The zero value knows
// nothing yet.
type Estimate struct {
	sick float64
	at   time.Time
}

// At gives an estimate as it was told by its guard.
func At(now time.Time, sick float64) Estimate {
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

// Doubt is Sick as a choice among instances should take it. An instance of which nothing
// is heard may have turned sick, but to leave it out for that would keep anything from
// being heard of it: silence alone raises the doubt to silentDoubt at most. A failure that
// was seen is forgotten as Sick forgets it.
func (e *Estimate) Doubt(now time.Time, m Model) float64 {
	return min(e.Sick(now, m), max(e.sick, silentDoubt))
}

// Fails is the chance to be reckoned with that the next request fails.
func (e *Estimate) Fails(now time.Time, m Model) float64 {
	sick := e.Doubt(now, m)
	return sick*m.SickFails + (1-sick)*m.WellFails
}

// Saw takes the outcome of one request.
func (e *Estimate) Saw(now time.Time, failed bool, m Model) {
	sick := e.Sick(now, m)
	ifSick, ifWell := 1-m.SickFails, 1-m.WellFails
	if failed {
		ifSick, ifWell = m.SickFails, m.WellFails
	}
	e.sick = sick * ifSick / (sick*ifSick + (1-sick)*ifWell)
	e.at = now
}
