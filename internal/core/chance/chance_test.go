package chance

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var start = time.Unix(1000, 0)

func TestOneFailureRaisesTheEstimateAndItDecays(t *testing.T) {
	m := Default()
	var e Estimate
	assert.Equal(t, e.Sick(start, m), m.steadyStateSick())
	e.Observe(start, true, m)
	assert.Assert(t, e.Sick(start, m) > 0.8)
	assert.Assert(t, e.Sick(start.Add(15*time.Second), m) < 0.45)
	e.Observe(start, false, m)
	e.Observe(start, false, m)
	assert.Assert(t, e.Sick(start, m) < 0.4)
	e.Observe(start, false, m)
	assert.Assert(t, e.Sick(start, m) < 0.15)
}

func TestEstimateIsAProbability(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m, e, now := Default(), Estimate{}, start
		for range rapid.IntRange(1, 300).Draw(t, "outcomes") {
			now = now.Add(time.Duration(rapid.IntRange(-500, 5000).Draw(t, "gapMS")) * time.Millisecond)
			before := e.Sick(now, m)
			failed := rapid.Bool().Draw(t, "failed")
			e.Observe(now, failed, m)
			after := e.Sick(now, m)
			assert.Assert(t, after >= 0 && after <= 1)
			assert.Assert(t, failed == (after > before) || before == after)
		}
	})
}

// Guards against healthy instances that get no requests for many seconds after a start or
// an idle period. Without outcomes the estimate decays to the steady state. When that
// value was used to select an instance, an instance without outcomes was avoided like one
// that had failed some time ago, and so got no new outcomes. In a fleet of 354 equal
// instances at a tenth of their capacity, an instance got less than half of its share of
// requests in 58 of 2,478 intervals of 5 s.
func TestIdleTimeRaisesSickForSelectionOnlySlightly(t *testing.T) {
	m := Default()
	const rounding = 1e-9
	var unknown Estimate
	assert.Equal(t, unknown.SickForSelection(start, m), maxSickWithoutOutcomes, "an instance that has just started")
	rapid.Check(t, func(t *rapid.T) {
		e := EstimateAt(start, rapid.Float64Range(0, 1).Draw(t, "sick"))
		now := start
		for range rapid.IntRange(0, 20).Draw(t, "outcomes") {
			now = now.Add(time.Duration(rapid.IntRange(0, 5000).Draw(t, "gapMS")) * time.Millisecond)
			e.Observe(now, rapid.Bool().Draw(t, "failed"), m)
		}
		observed := e.SickForSelection(now, m)
		later := now.Add(time.Duration(rapid.IntRange(0, 100000).Draw(t, "silentMS")) * time.Millisecond)
		forSelection := e.SickForSelection(later, m)
		assert.Assert(t, forSelection <= max(observed, maxSickWithoutOutcomes)+rounding, "SickForSelection rose above its limit without new outcomes")
		assert.Assert(t, forSelection <= e.Sick(later, m)+rounding)
		if observed > m.steadyStateSick() {
			assert.Equal(t, forSelection, e.Sick(later, m), "an observed failure must decay like Sick")
		}
	})
}

// Eight instances change between the healthy and the sick state as in the default model.
// Of 50 requests per second, 60% cannot be retried and go to the instance with the lowest
// estimate; the others go to a random one. The former must fail far less often than they
// would at random instances, where about a quarter of all requests fail.
func TestPlacementByEstimateAvoidsSickInstances(t *testing.T) {
	const instances, perSecond, nonRetryable, seconds = 8, 50, 0.6, 600
	m := Default()
	rng := rand.New(rand.NewPCG(1, 2))
	sick := make([]bool, instances)
	estimates := make([]Estimate, instances)
	failedByEstimate, failedAtRandom, sent := 0, 0, 0
	now := start
	for range perSecond * seconds {
		now = now.Add(time.Second / perSecond)
		for i := range sick {
			meanDuration := m.MeanHealthy
			if sick[i] {
				meanDuration = m.MeanSick
			}
			if rng.Float64() < 1/(meanDuration.Seconds()*perSecond) {
				sick[i] = !sick[i]
			}
		}
		fails := func(i int) bool {
			failureRate := m.HealthyFailureRate
			if sick[i] {
				failureRate = m.SickFailureRate
			}
			return rng.Float64() < failureRate
		}
		i := rng.IntN(instances)
		if rng.Float64() < nonRetryable {
			sent++
			if fails(i) {
				failedAtRandom++
			}
			i = leastSick(estimates, now, m, rng)
			if fails(i) {
				failedByEstimate++
			}
		}
		estimates[i].Observe(now, fails(i), m)
	}
	shareByEstimate, shareAtRandom := float64(failedByEstimate)/float64(sent), float64(failedAtRandom)/float64(sent)
	t.Logf("share of failed requests: %.3f by estimate, %.3f at random", shareByEstimate, shareAtRandom)
	assert.Assert(t, shareByEstimate < 0.4*shareAtRandom)
}

func leastSick(estimates []Estimate, now time.Time, m Model, rng *rand.Rand) int {
	best := rng.IntN(len(estimates))
	for i := range estimates {
		if estimates[i].Sick(now, m) < estimates[best].Sick(now, m) {
			best = i
		}
	}
	return best
}
