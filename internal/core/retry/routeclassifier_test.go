package retry

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A route used by callers is recognized after some requests from idle hosts. A route used
// only for calls is not taken for one, although some calls begin on an idle host because
// the run that made them has just been aborted.
func TestCallerRoutesAreDistinguishedFromCalls(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	rc := NewRouteClassifier()
	now := time.Unix(1000, 0)
	const callers, calls, unknown = 1, 2, 3
	for range 400 {
		now = now.Add(100 * time.Millisecond)
		rc.Observe(now, callers, rng.Float64() < 0.2)
		rc.Observe(now, calls, rng.Float64() < 0.01)
	}
	assert.Assert(t, rc.IsCallerRoute(callers))
	assert.Assert(t, !rc.IsCallerRoute(calls))
	assert.Assert(t, !rc.IsCallerRoute(unknown))
	assert.Assert(t, rc.IsUnknown(unknown) && !rc.IsUnknown(callers) && !rc.IsUnknown(calls))
}

// A route that callers have stopped using must no longer be reported as used by them.
func TestRouteCountsDecay(t *testing.T) {
	rc := NewRouteClassifier()
	now := time.Unix(1000, 0)
	for range 10 {
		rc.Observe(now, 1, true)
	}
	assert.Assert(t, rc.IsCallerRoute(1))
	for range 600 {
		now = now.Add(time.Second)
		rc.Observe(now, 1, false)
	}
	assert.Assert(t, !rc.IsCallerRoute(1))
}

func TestTrackedRoutesAreBounded(t *testing.T) {
	rc := NewRouteClassifier()
	for route := range uint32(3 * maxRoutes) {
		rc.Observe(time.Unix(1000, 0), route, true)
	}
	assert.Assert(t, len(rc.countsByRoute) <= maxRoutes)
}

// Guards against a route with few requests that stays unknown and so never adds to the allowance.
func TestRouteWithFewRequestsDoesNotStayUnknown(t *testing.T) {
	rc, now := NewRouteClassifier(), time.Unix(1000, 0)
	rc.Observe(now, 1, false)
	assert.Assert(t, rc.IsUnknown(1))
	rc.Observe(now.Add(routeCountsHalfLife), 1, false)
	assert.Assert(t, !rc.IsUnknown(1))
}
