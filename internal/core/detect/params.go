// Package detect detects gray failures of an instance by a sequential test with an
// explicit false-alarm rate.
//
// A guard compares each response of its instance with a Reference built from the
// responses of the service's other instances. Two cumulative sum (CUSUM) tests run
// in parallel, one on the logarithm of the service time and one on failures.
// Because of the comparison with peers, an overload that slows down the whole
// service is not evidence against any one instance.
//
// The guard uses only the test on service times. In place of a service time it passes
// the latency ratio, which is the service time divided by the one expected for the
// request. It passes no failures; package chance uses them to estimate the failure
// probability.
package detect

import (
	"math"
	"time"

	"github.com/radishhoist/radishhoist/record"
)

// Params are the parameters of a Detector. The presets are Quick and Careful.
type Params struct {
	// SlowFactor is the slowdown relative to the peers that the test is designed to
	// detect, as a ratio. A lower value detects smaller slowdowns but needs more
	// samples.
	SlowFactor float64
	// Threshold is the evidence, in nats, at which an instance becomes a suspect. It is
	// -ln of the false-alarm probability at each restart of the test. A higher value
	// delays detection and gives fewer false alarms.
	Threshold float64
	// MaxPerSecond bounds the evidence accumulated in one second, in nats, so that
	// a burst of noise shorter than Threshold/MaxPerSecond seconds cannot make an
	// instance a suspect, however many requests it affects.
	MaxPerSecond float64
	// MinHealthyFailureRate is the minimum failure rate assumed for a healthy instance.
	// Without it, an instance would be ejected at its first failure if its peers had
	// none.
	MinHealthyFailureRate float64
	// ClearThreshold is the evidence of normal service, in nats, at which a suspect
	// becomes healthy again.
	ClearThreshold float64
	// HoldMin is the minimum duration of a first suspicion. The minimum doubles with each
	// relapse within FlapWindow, up to HoldMax.
	HoldMin, HoldMax time.Duration
	// FlapWindow is the time after a suspect has become healthy within which a new
	// suspicion counts as a relapse.
	FlapWindow time.Duration
}

// Quick favours fast detection, for services whose users wait for the responses.
func Quick() Params {
	return Params{
		SlowFactor:            2.5,
		Threshold:             16,
		MaxPerSecond:          11,
		MinHealthyFailureRate: 0.02,
		ClearThreshold:        5,
		HoldMin:               3 * time.Second,
		HoldMax:               2 * time.Minute,
		FlapWindow:            time.Minute,
	}
}

// Careful favours few false ejections, for services whose instances have few slots, so
// that the ejection of a healthy instance leaves callers without capacity.
func Careful() Params {
	return Params{
		SlowFactor:            3,
		Threshold:             17.4,
		MaxPerSecond:          3.5,
		MinHealthyFailureRate: 0.03,
		ClearThreshold:        4,
		HoldMin:               3 * time.Second,
		HoldMax:               2 * time.Minute,
		FlapWindow:            time.Minute,
	}
}

// ForPreset returns the parameters for the preset of a Service record.
func ForPreset(preset string) Params {
	if preset == record.PresetQuick {
		return Quick()
	}
	return Careful()
}

// Health is the health of an instance as determined by its guard.
type Health uint8

const (
	// Healthy means that there is not enough evidence against the instance.
	Healthy Health = iota
	// Suspect means that fronts should eject the instance.
	Suspect
)

func (h Health) String() string {
	if h == Suspect {
		return "suspect"
	}
	return "healthy"
}

// logSeconds returns the natural logarithm of a duration in seconds, the scale of the
// service-time test.
func logSeconds(d time.Duration) float64 {
	return math.Log(max(d, time.Microsecond).Seconds())
}
