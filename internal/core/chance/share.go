package chance

import (
	"math"
	"time"
)

const (
	// shareWeight is the weight of a new outcome in a Share, which therefore reflects
	// about the last ten outcomes.
	shareWeight = 0.1
	// shareHalfLife is the half-life of a Share without outcomes. It lets an instance
	// that is avoided because of its Share be tried again after some seconds.
	shareHalfLife = 3 * time.Second
)

// Share is a moving average of the share of outcomes that are of one kind. It decays
// over time. The zero value has no outcomes.
type Share struct {
	value float64
	at    time.Time
}

// ShareAt returns a Share with a value reported by another process.
func ShareAt(now time.Time, value float64) Share {
	return Share{value: min(max(value, 0), 1), at: now}
}

// At returns the value at the given time.
func (s *Share) At(now time.Time) float64 {
	return s.value * math.Exp2(-max(now.Sub(s.at), 0).Seconds()/shareHalfLife.Seconds())
}

// Observe adds one outcome; is reports whether it is of the kind counted.
func (s *Share) Observe(now time.Time, is bool) {
	x := 0.0
	if is {
		x = 1
	}
	s.value = s.At(now)
	s.value += shareWeight * (x - s.value)
	s.at = now
}
