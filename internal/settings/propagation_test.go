package settings

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Derived timings must add up to no more than apply_within.
func TestDerivedTimingsMeetApplyWithin(t *testing.T) {
	for bound := 750 * time.Millisecond; bound <= time.Minute; bound += 250 * time.Millisecond {
		c, err := Parse("f.ini", []byte(validSettings+fmt.Sprintf("[control]\napply_within = %s\n", bound)))
		assert.NilError(t, err)
		d := c.PropagationDelay()
		assert.Equal(t, d.Total(), d.Detection+d.Distribution+d.Repair)
		assert.Assert(t, d.Total() <= bound, "%s: %+v", bound, d)
		assert.Assert(t, c.WatchWait >= minDerived && c.MaxRetryInterval >= minDerived && c.RepairInterval >= minDerived)
		assert.Equal(t, len(c.Warnings), 0)
	}
	// At 2 s each derived timing is 0.3 of apply_within, as in the design note.
	c, err := Parse("f.ini", []byte(validSettings+"[control]\napply_within = 2s\n"))
	assert.NilError(t, err)
	assert.Equal(t, c.WatchWait, 600*time.Millisecond)
	assert.Assert(t, Default().PropagationDelay().Total() <= Default().ApplyWithin)
}

// An apply_within that no timings can meet must give a warning, not an error.
func TestUnattainableApplyWithinIsAWarning(t *testing.T) {
	c, err := Parse("f.ini", []byte(validSettings+"[control]\napply_within = 500ms\n"))
	assert.NilError(t, err)
	assert.Equal(t, len(c.Warnings), 1)
	assert.Assert(t, strings.Contains(c.Warnings[0], "apply_within"))
}

// A configured timing overrides the derived one. If it makes a change take too long, the
// error must name the keys involved.
func TestTooLongTimingsAreRejected(t *testing.T) {
	c, err := Parse("f.ini", []byte(validSettings+"[control]\napply_within = 17s\nwatch_wait = 8s\nrepair_interval = 5s\n"))
	assert.NilError(t, err)
	assert.Equal(t, c.WatchWait, 8*time.Second)
	for _, text := range []string{"watch_wait = 25s", "away_max = 20s", "repair_interval = 30s", "apply_within = 2s\nwatch_wait = 1s"} {
		_, err := Parse("f.ini", []byte(validSettings+"[control]\n"+text+"\n"))
		assert.ErrorContains(t, err, "f.ini: [control] apply_within", text)
		for _, key := range []string{"watch_wait", "away_max", "repair_interval"} {
			assert.ErrorContains(t, err, key)
		}
	}
}
