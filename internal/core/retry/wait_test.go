package retry

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a wait that is too short where calls of retried runs have overdrawn the
// budget: callers come back before a retry is permitted.
func TestWaitCountsOverdrawnBudget(t *testing.T) {
	now := time.Unix(1000, 0)
	b := NewBudget(time.Unix(0, 0), Limits{Reserve: 4, Window: 10 * time.Second})
	for range 10 {
		b.AddCall(now, 1)
		now = now.Add(500 * time.Millisecond)
	}
	wait, ok := b.Wait(now, 0)
	assert.Assert(t, ok)
	t.Logf("wait %v", wait)
	assert.Assert(t, b.Hold(now.Add(wait), 0), "not permitted after the wait of %v", wait)
}
