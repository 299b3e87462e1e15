package retry

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A route that callers use is known after some requests from idle hosts; one that
// only instances use never is, though some of its requests begin as the run that
// made them has just been broken off.
func TestCallersRoutesAreToldFromCalls(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	o := NewOrigins()
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

// A route that callers no longer use is calls again.
func TestOriginsAreForgotten(t *testing.T) {
	o := NewOrigins()
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
	o := NewOrigins()
	for route := range uint32(3 * maxOrigins) {
		o.Observe(time.Unix(1000, 0), route, true)
	}
	assert.Assert(t, len(o.byRoute) <= maxOrigins)
}
