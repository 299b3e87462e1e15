package detect

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// fixture runs a Detector for one instance with a Reference of healthy peers.
type fixture struct {
	rng *rand.Rand
	now time.Time
	ref Reference
	det *Detector
}

func newFixture(p Params) *fixture {
	f := &fixture{rng: rand.New(rand.NewPCG(1, 2)), now: time.Unix(5000, 0), det: NewDetector(p)}
	for range referenceSize {
		f.ref.Add(f.now, f.draw(1), false)
	}
	return f
}

// draw returns a random service time, with a median of 50 ms times the slowdown.
func (f *fixture) draw(slowdown float64) time.Duration {
	return time.Duration(slowdown * 0.05 * math.Exp(0.5*f.rng.NormFloat64()) * float64(time.Second))
}

// runUntilChange adds 20 responses per second until the health changes, and returns the
// time elapsed and whether it changed within the limit. failureRate is the failure rate of
// the instance.
func (f *fixture) runUntilChange(limit time.Duration, peerSlowdown, ownSlowdown float64, failureRate float64) (time.Duration, bool) {
	start := f.now
	for f.now.Sub(start) < limit {
		f.now = f.now.Add(50 * time.Millisecond)
		f.ref.Add(f.now, f.draw(peerSlowdown), false)
		if f.det.AddResponse(f.now, f.ref.At(f.now), f.draw(ownSlowdown), f.rng.Float64() < failureRate) {
			return f.now.Sub(start), true
		}
	}
	return limit, false
}

func TestGrayInstancesAreDetected(t *testing.T) {
	for _, c := range []struct {
		name                  string
		params                Params
		slowdown, failureRate float64
		within                time.Duration
	}{
		{"quick, 5x", Quick(), 5, 0, 3 * time.Second},
		{"quick, 3x", Quick(), 3, 0, 5 * time.Second},
		{"quick, half fail", Quick(), 1, 0.5, 5 * time.Second},
		{"careful, 5x", Careful(), 5, 0, 8 * time.Second},
		{"careful, half fail", Careful(), 1, 0.5, 12 * time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(c.params)
			elapsed, found := f.runUntilChange(time.Minute, 1, c.slowdown, c.failureRate)
			assert.Assert(t, found && elapsed <= c.within, "found %v after %s", found, elapsed)
			assert.Equal(t, f.det.Health(), Suspect)
		})
	}
}

func TestHealthyAndOverloadedInstancesAreNotSuspected(t *testing.T) {
	for _, p := range []Params{Quick(), Careful()} {
		f := newFixture(p)
		_, alarm := f.runUntilChange(10*time.Minute, 1, 1, 0)
		assert.Assert(t, !alarm, "a healthy instance became a suspect")
		// The whole service slows down.
		_, alarm = f.runUntilChange(5*time.Minute, 6, 6, 0)
		assert.Assert(t, !alarm, "an overload of the whole service made one instance a suspect")
	}
}

func TestShortBurstMakesNoSuspect(t *testing.T) {
	f := newFixture(Careful())
	for range 20 {
		_, alarm := f.runUntilChange(2*time.Second, 1, 5, 0)
		assert.Assert(t, !alarm)
		_, alarm = f.runUntilChange(20*time.Second, 1, 1, 0)
		assert.Assert(t, !alarm)
	}
}

func TestHoldGrowsWithEachRelapse(t *testing.T) {
	f := newFixture(Quick())
	var holds []time.Duration
	for range 4 {
		_, found := f.runUntilChange(time.Minute, 1, 5, 0)
		assert.Assert(t, found)
		hold, back := f.runUntilChange(5*time.Minute, 1, 1, 0)
		assert.Assert(t, back, "the instance did not become healthy again")
		holds = append(holds, hold)
	}
	for i := 1; i < len(holds); i++ {
		assert.Assert(t, holds[i] > holds[i-1], "%v", holds)
	}
}

func TestStuckRequestsAreEvidence(t *testing.T) {
	f := newFixture(Quick())
	for age := 50 * time.Millisecond; age < 20*time.Second; age *= 2 {
		f.now = f.now.Add(age)
		f.ref.Add(f.now, f.draw(1), false)
		for range 7 {
			f.det.AddPending(f.now, f.ref.At(f.now), age)
		}
	}
	assert.Equal(t, f.det.Health(), Suspect)
}

func TestTooFewSamplesMakeNoSuspect(t *testing.T) {
	d := NewDetector(Quick())
	var ref Reference
	now := time.Unix(1, 0)
	for range minSamples - 1 {
		ref.Add(now, time.Millisecond, false)
	}
	for range 1000 {
		now = now.Add(10 * time.Millisecond)
		assert.Assert(t, !d.AddResponse(now, ref.At(now), time.Minute, true))
	}
}
