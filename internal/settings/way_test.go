package settings

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// The times of the steps follow from the bound, and together keep it.
func TestTheStepsKeepTheBound(t *testing.T) {
	for bound := 750 * time.Millisecond; bound <= time.Minute; bound += 250 * time.Millisecond {
		c, err := Parse("f.ini", []byte(good+fmt.Sprintf("[control]\napply_within = %s\n", bound)))
		assert.NilError(t, err)
		w := c.Way()
		assert.Equal(t, w.Total(), w.Notice+w.Tell+w.Repair)
		assert.Assert(t, w.Total() <= bound, "%s: %+v", bound, w)
		assert.Assert(t, c.WatchWait >= stepLeast && c.AwayMax >= stepLeast && c.RepairInterval >= stepLeast)
		assert.Equal(t, len(c.Warnings), 0)
	}
	// At 2 s each step has what the design note says.
	c, err := Parse("f.ini", []byte(good+"[control]\napply_within = 2s\n"))
	assert.NilError(t, err)
	assert.Equal(t, c.WatchWait, 600*time.Millisecond)
	assert.Assert(t, Default().Way().Total() <= Default().ApplyWithin)
}

// A platform may ask for more than can be kept: the host serves, and says so.
func TestABoundThatNothingKeepsIsWarnedOf(t *testing.T) {
	c, err := Parse("f.ini", []byte(good+"[control]\napply_within = 500ms\n"))
	assert.NilError(t, err)
	assert.Equal(t, len(c.Warnings), 1)
	assert.Assert(t, strings.Contains(c.Warnings[0], "apply_within"))
}

// A time that is written goes before the derived one, and is refused with its keys
// where a change would take too long.
func TestStepsThatTakeTooLongAreRefused(t *testing.T) {
	c, err := Parse("f.ini", []byte(good+"[control]\napply_within = 17s\nwatch_wait = 8s\nrepair_interval = 5s\n"))
	assert.NilError(t, err)
	assert.Equal(t, c.WatchWait, 8*time.Second)
	for _, text := range []string{"watch_wait = 25s", "away_max = 20s", "repair_interval = 30s", "apply_within = 2s\nwatch_wait = 1s"} {
		_, err := Parse("f.ini", []byte(good+"[control]\n"+text+"\n"))
		assert.ErrorContains(t, err, "f.ini: [control] apply_within", text)
		for _, key := range []string{"watch_wait", "away_max", "repair_interval"} {
			assert.ErrorContains(t, err, key)
		}
	}
}
