package chance

import (
	"math"
	"time"
)

const (
	// shareWeight is the weight of a new outcome in a Share: about ten outcomes
	// settle it.
	shareWeight = 0.1
	// shareHalf is the time in which half of a Share is forgotten: what is
	// avoided for it is tried again some seconds later.
	shareHalf = 3 * time.Second
)

// Share is the share of recent outcomes that were of one kind, forgotten as time
// goes by. The zero value has seen none.
type Share struct {
	value float64
	at    time.Time
}

// ShareAt gives a share as it was told by another process.
func ShareAt(now time.Time, value float64) Share {
	return Share{value: min(max(value, 0), 1), at: now}
}

// At is the share at a moment.
func (s *Share) At(now time.Time) float64 {
	return s.value * math.Exp2(-max(now.Sub(s.at), 0).Seconds()/shareHalf.Seconds())
}

// Observe takes one outcome.
func (s *Share) Observe(now time.Time, is bool) {
	x := 0.0
	if is {
		x = 1
	}
	s.value = s.At(now)
	s.value += shareWeight * (x - s.value)
	s.at = now
}
