package guard

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Each failed outgoing call of an instance excuses one failure that follows within
// excuseWindow, and no other. The number of remembered calls is limited.
func TestAFailedCallExcusesOneFailure(t *testing.T) {
	var g Guard
	now := time.Unix(100, 0)
	assert.Assert(t, !g.failedCalls.excuse(now))
	g.RecordFailedCall(now)
	assert.Assert(t, g.failedCalls.excuse(now.Add(excuseWindow/2)))
	assert.Assert(t, !g.failedCalls.excuse(now.Add(excuseWindow/2)))
	g.RecordFailedCall(now)
	assert.Assert(t, !g.failedCalls.excuse(now.Add(2*excuseWindow)))
	for range 10 * maxFailedCalls {
		g.RecordFailedCall(now)
	}
	assert.Assert(t, len(g.failedCalls.times) <= maxFailedCalls)
}

// A process that is shutting down admits only requests that are expected to finish in
// time.
func TestOnlyShortRequestsAreAdmittedBeforeShutdown(t *testing.T) {
	var g Guard
	now := time.Unix(100, 0)
	assert.Assert(t, g.finishesBeforeShutdown(now, time.Hour))
	g.SetShutdownTime(now.Add(3 * time.Second))
	assert.Assert(t, g.finishesBeforeShutdown(now, time.Second))
	assert.Assert(t, !g.finishesBeforeShutdown(now, 1100*time.Millisecond))
	assert.Assert(t, !g.finishesBeforeShutdown(now.Add(2*time.Second), time.Second))
}
