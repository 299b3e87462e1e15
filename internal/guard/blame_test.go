package guard

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// An instance passes the failure of its own call on at once: each such call
// excuses one failure that follows it closely, and no other.
func TestAFailedCallExcusesOneFailure(t *testing.T) {
	var g Guard
	now := time.Unix(100, 0)
	assert.Assert(t, !g.calls.excuse(now))
	g.RecordFailedCall(now)
	assert.Assert(t, g.calls.excuse(now.Add(echo/2)))
	assert.Assert(t, !g.calls.excuse(now.Add(echo/2)))
	g.RecordFailedCall(now)
	assert.Assert(t, !g.calls.excuse(now.Add(2*echo)))
	for range 10 * maxCalls {
		g.RecordFailedCall(now)
	}
	assert.Assert(t, len(g.calls.failed) <= maxCalls)
}

// A process that is about to end takes short work only.
func TestOnlyShortRequestsAreAdmittedBeforeShutdown(t *testing.T) {
	var g Guard
	now := time.Unix(100, 0)
	assert.Assert(t, g.fits(now, time.Hour))
	g.SetShutdownTime(now.Add(3 * time.Second))
	assert.Assert(t, g.fits(now, time.Second))
	assert.Assert(t, !g.fits(now, 1100*time.Millisecond))
	assert.Assert(t, !g.fits(now.Add(2*time.Second), time.Second))
}
