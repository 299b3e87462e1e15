// Package detect judges whether one instance is failing gray, by sequential
// evidence with an explicit error rate.
//
// A guard compares each answer of its instance with a Reference built from
// the service times of the service's other instances. Two cumulative sum
// tests run side by side, one on the logarithm of the service time and one on
// failures. Comparing with peers means that an overload of the whole service,
// where all slow down together, is no evidence against any of them.
package detect

import (
	"math"
	"time"

	"github.com/radishhoist/radishhoist/record"
)

// Params are the parameters of a Detector. The presets are Quick and Careful.
type Params struct {
	// SlowFactor is the slowdown against peers that the test is tuned to
	// find, as a ratio. Lower finds milder slowdowns and needs more samples.
	SlowFactor float64
	// Threshold is the evidence, in nats, at which an instance becomes a
	// suspect: -ln of the wanted chance of a false alarm at each restart of
	// the test. Higher is slower and wrong less often.
	Threshold float64
	// MaxPerSecond bounds the evidence gathered in one second, in nats, so
	// that a burst of noise shorter than Threshold/MaxPerSecond seconds
	// cannot make a suspect however many requests it touches.
	MaxPerSecond float64
	// ErrorFloor is the least failure rate that counts as normal; it keeps a
	// service without failures from ejecting for the first one.
	ErrorFloor float64
	// ClearThreshold is the evidence of normal answers, in nats, that a
	// suspect needs to be trusted again.
	ClearThreshold float64
	// HoldMin is the least time a suspect stays one. It doubles with each
	// relapse inside FlapWindow, up to HoldMax.
	HoldMin, HoldMax time.Duration
	// FlapWindow is how long after its return a suspect counts as relapsed.
	FlapWindow time.Duration
}

// Quick weighs detection time: families wait at a counter.
func Quick() Params {
	return Params{
		SlowFactor:     2.5,
		Threshold:      16,
		MaxPerSecond:   11,
		ErrorFloor:     0.02,
		ClearThreshold: 5,
		HoldMin:        3 * time.Second,
		HoldMax:        2 * time.Minute,
		FlapWindow:     time.Minute,
	}
}

// Careful weighs false ejections: each instance has few slots, so that losing
// a healthy one starves callers.
func Careful() Params {
	return Params{
		SlowFactor:     3,
		Threshold:      17.4,
		MaxPerSecond:   3.5,
		ErrorFloor:     0.03,
		ClearThreshold: 4,
		HoldMin:        3 * time.Second,
		HoldMax:        2 * time.Minute,
		FlapWindow:     time.Minute,
	}
}

// ForPreset gives the parameters of a Service record's preset.
func ForPreset(preset string) Params {
	if preset == record.PresetQuick {
		return Quick()
	}
	return Careful()
}

// Health is a guard's judgement of an instance.
type Health uint8

const (
	// Healthy means there is no case against the instance.
	Healthy Health = iota
	// Suspect asks the choosers to leave the instance out.
	Suspect
)

// String names the judgement.
func (h Health) String() string {
	if h == Suspect {
		return "suspect"
	}
	return "healthy"
}

// logSeconds is the scale the slow test works on.
func logSeconds(d time.Duration) float64 {
	return math.Log(max(d, time.Microsecond).Seconds())
}
