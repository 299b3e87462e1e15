package chance

import (
	"math"
	"time"
)

const (
	// decayingShareWeight is the weight of a new outcome in a DecayingShare, which
	// therefore reflects about the last ten outcomes.
	decayingShareWeight = 0.1
	// decayingShareHalfLife is the half-life of a DecayingShare without new outcomes. The
	// decay allows an instance that is avoided because of its DecayingShare to be tried
	// again after some seconds.
	decayingShareHalfLife = 3 * time.Second
)

// DecayingShare is an exponentially weighted moving average of the share of outcomes that
// are of one kind. It also decays towards 0 over time. The zero value has no outcomes.
type DecayingShare struct {
	value float64
	at    time.Time
}

// DecayingShareAt returns a DecayingShare with a value reported by another process, limited
// to the range from 0 to 1.
func DecayingShareAt(now time.Time, value float64) DecayingShare {
	return DecayingShare{value: min(max(value, 0), 1), at: now}
}

// At returns the share at the given time.
func (s *DecayingShare) At(now time.Time) float64 {
	return s.value * math.Exp2(-max(now.Sub(s.at), 0).Seconds()/decayingShareHalfLife.Seconds())
}

// Observe adds one outcome; counted states whether it is of the kind that is counted.
func (s *DecayingShare) Observe(now time.Time, counted bool) {
	outcome := 0.0
	if counted {
		outcome = 1
	}
	s.value = s.At(now)
	s.value += decayingShareWeight * (outcome - s.value)
	s.at = now
}
