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
	o := NewRouteClassifier()
	now := time.Unix(1000, 0)
	const callers, calls, unknown = 1, 2, 3
	for range 400 {
		now = now.Add(100 * time.Millisecond)
		o.Observe(now, callers, rng.Float64() < 0.2)
		o.Observe(now, calls, rng.Float64() < 0.01)
	}
	assert.Assert(t, o.IsCallerRoute(callers))
	assert.Assert(t, !o.IsCallerRoute(calls))
	assert.Assert(t, !o.IsCallerRoute(unknown))
}

// A route that callers have stopped using must no longer be reported as used by them.
func TestOriginsDecay(t *testing.T) {
	o := NewRouteClassifier()
	now := time.Unix(1000, 0)
	for range 10 {
		o.Observe(now, 1, true)
	}
	assert.Assert(t, o.IsCallerRoute(1))
	for range 600 {
		now = now.Add(time.Second)
		o.Observe(now, 1, false)
	}
	assert.Assert(t, !o.IsCallerRoute(1))
}

func TestOriginsAreBounded(t *testing.T) {
	o := NewRouteClassifier()
	for route := range uint32(3 * maxOrigins) {
		o.Observe(time.Unix(1000, 0), route, true)
	}
	assert.Assert(t, len(o.countsByRoute) <= maxOrigins)
}
