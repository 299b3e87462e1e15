package area

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var twoAreas = map[string]string{"n1": "north", "n2": "north", "s1": "south"}

// A data centre whose area is unknown must not count as near, and distances must stay off
// where the configuration does not give several areas or this one's.
func TestDistances(t *testing.T) {
	m := NewMap(twoAreas, "n1")
	for dc, want := range map[string]Distance{"n1": SameDC, "n2": SameArea, "s1": Remote, "unlisted": Remote} {
		assert.Equal(t, m.Distance(dc), want, dc)
	}
	for _, off := range []*Map{NewMap(nil, "n1"), NewMap(map[string]string{"n1": "north", "n2": "north"}, "n1"), NewMap(twoAreas, "unlisted")} {
		assert.Assert(t, off == nil)
	}
}

const threshold = 100 * time.Millisecond

// observe records the same waits at intervals and returns how often the decision changed.
func observe(s *Spill, now *time.Time, n int, own time.Duration) (changes int) {
	for range n {
		*now = now.Add(100 * time.Millisecond)
		if s.Observe(*now, own, 0, threshold) {
			changes++
		}
	}
	return changes
}

// Requests must not leave their area for a wait below the threshold, nor return at once when
// the wait falls just below it: both would make fronts change back and forth together.
func TestSpillHasHysteresis(t *testing.T) {
	var s Spill
	now := time.Unix(1000, 0)
	assert.Equal(t, observe(&s, &now, 50, threshold), 0)
	assert.Equal(t, observe(&s, &now, 50, 2*threshold), 1)
	assert.Assert(t, s.Spilled(now))
	assert.Equal(t, observe(&s, &now, 50, threshold*6/10), 0)
	assert.Equal(t, observe(&s, &now, 50, threshold*4/10), 1)
	assert.Assert(t, !s.Spilled(now))
}

// One long wait must not make requests leave, and a spill must last minSpill and end when
// nothing is observed.
func TestSpillIgnoresSingleWaits(t *testing.T) {
	var s Spill
	now := time.Unix(1000, 0)
	observe(&s, &now, 5, 0)
	assert.Equal(t, observe(&s, &now, 1, 4*threshold), 0)
	assert.Equal(t, observe(&s, &now, 20, 0), 0)
	for !s.Spilled(now) {
		observe(&s, &now, 1, 40*threshold)
	}
	spilledAt := now
	for s.Spilled(now) {
		observe(&s, &now, 1, -40*threshold)
	}
	assert.Equal(t, now.Sub(spilledAt), minSpill)
	observe(&s, &now, 9, 40*threshold)
	assert.Assert(t, s.Spilled(now) && !s.Spilled(now.Add(spillMaxAge)))
}
