package detect

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// bench judges one instance against peers that are well.
type bench struct {
	rng *rand.Rand
	now time.Time
	ref Reference
	det *Detector
}

func newBench(p Params) *bench {
	b := &bench{rng: rand.New(rand.NewPCG(1, 2)), now: time.Unix(5000, 0), det: NewDetector(p)}
	for range referenceSize {
		b.ref.Add(b.now, b.draw(1), false)
	}
	return b
}

func (b *bench) draw(slow float64) time.Duration {
	return time.Duration(slow * 0.05 * math.Exp(0.5*b.rng.NormFloat64()) * float64(time.Second))
}

// until feeds answers, 20 a second, until the judgement changes, and gives the
// time it took; false after the limit.
func (b *bench) until(limit time.Duration, peers, own float64, failing float64) (time.Duration, bool) {
	start := b.now
	for b.now.Sub(start) < limit {
		b.now = b.now.Add(50 * time.Millisecond)
		b.ref.Add(b.now, b.draw(peers), false)
		if b.det.AddAnswer(b.now, b.ref.At(b.now), b.draw(own), b.rng.Float64() < failing) {
			return b.now.Sub(start), true
		}
	}
	return limit, false
}

func TestGrayInstancesAreFound(t *testing.T) {
	for _, c := range []struct {
		name          string
		params        Params
		slow, failing float64
		within        time.Duration
	}{
		{"quick, 5x", Quick(), 5, 0, 3 * time.Second},
		{"quick, 3x", Quick(), 3, 0, 5 * time.Second},
		{"quick, half fail", Quick(), 1, 0.5, 5 * time.Second},
		{"careful, 5x", Careful(), 5, 0, 8 * time.Second},
		{"careful, half fail", Careful(), 1, 0.5, 12 * time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newBench(c.params)
			took, found := b.until(time.Minute, 1, c.slow, c.failing)
			assert.Assert(t, found && took <= c.within, "found %v after %s", found, took)
			assert.Equal(t, b.det.Health(), Suspect)
		})
	}
}

func TestHealthyAndOverloadedAreLeftAlone(t *testing.T) {
	for _, p := range []Params{Quick(), Careful()} {
		b := newBench(p)
		_, alarm := b.until(10*time.Minute, 1, 1, 0)
		assert.Assert(t, !alarm, "a healthy instance became a suspect")
		// Everybody slows down together.
		_, alarm = b.until(5*time.Minute, 6, 6, 0)
		assert.Assert(t, !alarm, "overload of the whole service became evidence against one")
	}
}

func TestShortBurstConvictsNobody(t *testing.T) {
	b := newBench(Careful())
	for range 20 {
		_, alarm := b.until(2*time.Second, 1, 5, 0)
		assert.Assert(t, !alarm)
		_, alarm = b.until(20*time.Second, 1, 1, 0)
		assert.Assert(t, !alarm)
	}
}

func TestFlapperWaitsLongerEachTime(t *testing.T) {
	b := newBench(Quick())
	var holds []time.Duration
	for range 4 {
		_, found := b.until(time.Minute, 1, 5, 0)
		assert.Assert(t, found)
		hold, back := b.until(5*time.Minute, 1, 1, 0)
		assert.Assert(t, back, "the instance never came back")
		holds = append(holds, hold)
	}
	for i := 1; i < len(holds); i++ {
		assert.Assert(t, holds[i] > holds[i-1], "%v", holds)
	}
}

func TestStuckRequestsAreEvidence(t *testing.T) {
	b := newBench(Quick())
	for age := 50 * time.Millisecond; age < 20*time.Second; age *= 2 {
		b.now = b.now.Add(age)
		b.ref.Add(b.now, b.draw(1), false)
		for range 7 {
			b.det.AddPending(b.now, b.ref.At(b.now), age)
		}
	}
	assert.Equal(t, b.det.Health(), Suspect)
}

func TestTooFewPeersConvictNobody(t *testing.T) {
	d := NewDetector(Quick())
	var ref Reference
	now := time.Unix(1, 0)
	for range minReference - 1 {
		ref.Add(now, time.Millisecond, false)
	}
	for range 1000 {
		now = now.Add(10 * time.Millisecond)
		assert.Assert(t, !d.AddAnswer(now, ref.At(now), time.Minute, true))
	}
}
