package front

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/radishhoist/radishhoist/verdict"
)

// The wait for one instance's rate limit must not keep callers away from the others.
func TestRetryAfterOfRateLimitedInstances(t *testing.T) {
	refusal := func(reason verdict.Reason, ms int64) *verdict.Error {
		e := verdict.New(verdict.NotRun, reason, "")
		e.RetryAfterMS = ms
		return e
	}
	limited := func(ms int64) *verdict.Error { return refusal(verdict.ReasonTargetLimit, ms) }
	for _, c := range []struct {
		failures []*verdict.Error
		want     int64
	}{
		{[]*verdict.Error{limited(9000), limited(400)}, 400},
		{[]*verdict.Error{limited(9000), refusal(verdict.ReasonQueueFull, 200), refusal(verdict.ReasonQueueFull, 300)}, 300},
		{[]*verdict.Error{refusal(verdict.ReasonTargetDown, 0)}, defaultRetryAfter.Milliseconds()},
	} {
		exec := &execution{req: &request{}, failures: c.failures}
		assert.Equal(t, exec.combinedFailure().RetryAfterMS, c.want)
	}
}
