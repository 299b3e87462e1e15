package area

import (
	"math"
	"time"
)

const (
	// waitTimeConstant is the time constant of the smoothed waits. Demand that varies within
	// seconds is followed; the waits of single samples are not.
	waitTimeConstant = 500 * time.Millisecond
	// returnShare is the share of the threshold below which requests return to their area.
	returnShare = 0.5
	// minSpill is the minimum time from a spill to the return.
	minSpill = time.Second
	// spillMaxAge is the age of the last observation from which a spill has ended: a route
	// without requests observes no waits.
	spillMaxAge = 5 * time.Second
)

// Spill decides whether requests of one route may be sent to another area. They may when the
// expected wait in the own area exceeds that in the other by more than a threshold, and no
// more when the difference falls below half of it. The zero value is ready for use.
type Spill struct {
	// excess is the smoothed difference between the expected wait in the own area and that
	// in the other, in seconds.
	excess     float64
	observedAt time.Time
	spilled    bool
	changedAt  time.Time
}

// Observe records the expected waits of a request in the own area and in another one.
// threshold is the round trip to the other area and the price of the transfer. It reports
// whether the decision changed.
func (s *Spill) Observe(now time.Time, own, other, threshold time.Duration) bool {
	before := s.Spilled(now)
	excess, weight := (own - other).Seconds(), 1.0
	if age := now.Sub(s.observedAt); age < spillMaxAge {
		weight = 1 - math.Exp(-float64(age)/float64(waitTimeConstant))
	}
	s.excess += weight * (excess - s.excess)
	s.observedAt, s.spilled = now, before
	switch {
	case !before && s.excess > threshold.Seconds():
		s.spilled, s.changedAt = true, now
	case before && s.excess < returnShare*threshold.Seconds() && now.Sub(s.changedAt) >= minSpill:
		s.spilled, s.changedAt = false, now
	}
	return s.spilled != before
}

// Spilled reports whether requests may be sent to another area.
func (s *Spill) Spilled(now time.Time) bool {
	return s.spilled && now.Sub(s.observedAt) < spillMaxAge
}
