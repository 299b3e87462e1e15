package balance

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// idle returns an idle, warm and local instance with a low failure probability.
func idle() Candidate {
	return Candidate{Slots: 4, Service: 400 * time.Millisecond, RoundTrip: time.Millisecond, WarmUpProgress: 1, Local: true, FailureProbability: 0.03}
}

func nonRetryable() CostWeights {
	return CostWeights{Objective: 1500 * time.Millisecond, TimeLeft: 1500 * time.Millisecond, FailureWeight: 1, RemoteWeight: 0.03}
}

func TestCostOrder(t *testing.T) {
	retryable := nonRetryable()
	retryable.FailureWeight = 0.3
	for _, c := range []struct {
		name          string
		weights       CostWeights
		better, worse func(*Candidate)
	}{
		{"a probable failure", nonRetryable(), func(*Candidate) {}, func(c *Candidate) { c.FailureProbability = 0.5 }},
		{"a probable failure against a queue that still meets the objective", nonRetryable(), func(c *Candidate) { c.Running, c.QueuedWork = 4, 1200*time.Millisecond }, func(c *Candidate) { c.FailureProbability = 0.6 }},
		{"a queue that misses the objective against a moderate failure probability", nonRetryable(), func(c *Candidate) { c.FailureProbability = 0.3 }, func(c *Candidate) { c.Running, c.QueuedWork = 4, 12*time.Second }},
		{"another data centre", nonRetryable(), func(*Candidate) {}, func(c *Candidate) { c.Local, c.RoundTrip = false, 2*time.Millisecond }},
		{"a failure costs more than a remote instance", nonRetryable(), func(c *Candidate) { c.Local = false }, func(c *Candidate) { c.FailureProbability = 0.2 }},
		{"a cold start", nonRetryable(), func(*Candidate) {}, func(c *Candidate) { c.WarmUpProgress = 0.3 }},
		{"a busy instance", retryable, func(*Candidate) {}, func(c *Candidate) { c.Running = 4 }},
	} {
		t.Run(c.name, func(t *testing.T) {
			better, worse := idle(), idle()
			c.better(&better)
			c.worse(&worse)
			assert.Assert(t, Cost(better, c.weights) < Cost(worse, c.weights), "%f, %f", Cost(better, c.weights), Cost(worse, c.weights))
		})
	}
}

func TestPickTakesTheCheapestOfFewAndSamplesMany(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	assert.Equal(t, Pick(rng, Sample(rng, 0, nil), nil), -1)
	for range 100 {
		assert.Equal(t, Pick(rng, Sample(rng, 9, nil), func(i int) float64 { return float64(1 + 10*(i+3)%9) }), 6)
	}
	evaluated := 0
	Pick(rng, Sample(rng, 10000, []int{1, 2, 3}), func(int) float64 { evaluated++; return 1 })
	assert.Equal(t, evaluated, maxSampled)
}

// Fronts with the same information must not all select the same instance.
func TestEqualInstancesAreChosenEvenly(t *testing.T) {
	rng := rand.New(rand.NewPCG(3, 4))
	counts := make([]int, 8)
	for range 8000 {
		counts[Pick(rng, Sample(rng, 8, nil), func(int) float64 { return Cost(idle(), nonRetryable()) })]++
	}
	for _, n := range counts {
		assert.Assert(t, n > 800 && n < 1200, "%v", counts)
	}
}
