package retry

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against retries whose calls overdraw the budget of the called service, against a
// service whose retries are all refused because another's budget is used up, and against
// refusals where nothing is known.
func TestRetriesFollowTheBudgetOfCalledServices(t *testing.T) {
	now := time.Unix(1000, 0)
	const window = 10 * time.Second
	budget := func(service string) (CalledBudget, bool) {
		return CalledBudget{GuardsPerCaller: 2, Minimum: 1, Window: window}, service == "called"
	}
	c := NewCalls()
	call := Call{Service: "called", Route: 1, First: true}
	observe := func(n int, left uint16) {
		for k := range n {
			now = now.Add(100 * time.Millisecond)
			if k%10 == 0 {
				c.Add(now, Call{Service: "other", Route: 2, First: true, OriginIdle: true})
			}
			c.AddRun(now)
			c.AddRun(now)
			call.BudgetLeft = left
			c.Add(now, call)
		}
	}
	observe(minLikelyCallRequests/2, 0)
	assert.Assert(t, c.Permit(now, 100, budget), "too few requests of the route")
	observe(minCallRequests+200, 0)
	for range 2 {
		assert.Assert(t, c.Permit(now, 100, budget), "the minimum allows two retries at half a call for each run")
	}
	assert.Assert(t, !c.Permit(now, 0, budget))
	now = now.Add(2 * reportedLeftMaxAge)
	assert.Assert(t, c.Permit(now, 100, budget), "the last report is too old")
	observe(60, 1)
	assert.Assert(t, c.Permit(now, 2, budget), "two retries left, one and a half calls expected")
	assert.Assert(t, !c.Permit(now, 4, budget), "two and a half calls expected")

}
