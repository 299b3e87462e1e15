package refusal

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/radishhoist/radishhoist/internal/core/chance"
)

var start = time.Unix(1000, 0)

// observedShare returns the share that a guard reports after 6 s with five requests a second.
func observedShare(rng *rand.Rand, refuses float64) float64 {
	var s chance.DecayingShare
	now := start
	for end := start.Add(6 * time.Second); now.Before(end); now = now.Add(time.Duration(rng.ExpFloat64() * float64(time.Second) / 5)) {
		s.Observe(now, rng.Float64() < refuses)
	}
	return s.At(now)
}

// Guards against requests that all go to the few instances that happened to refuse less when
// all of a service refuse, and against requests to instances that alone refuse.
func TestOnlyDifferencesBeyondChanceCount(t *testing.T) {
	const n, rounds, refuses = 12, 400, 0.55
	rng := rand.New(rand.NewPCG(1, 2))
	for _, refusing := range []int{n, n / 2, 1} {
		spread, observedSpread := 0.0, 0.0
		for range rounds {
			var s ServiceShare
			observed, estimates := make([]float64, n), make([]float64, n)
			for k := range refusing {
				observed[k] = observedShare(rng, refuses)
			}
			s.Update(start, observed)
			for k, own := range observed {
				estimates[k] = s.Estimate(own, 0)
			}
			spread += slices.Max(estimates) - slices.Min(estimates)
			observedSpread += slices.Max(observed) - slices.Min(observed)
		}
		t.Logf("%d of %d refuse: estimates differ by %.3f, observed shares by %.3f", refusing, n, spread/rounds, observedSpread/rounds)
		if refusing == n {
			assert.Assert(t, spread < 0.1*observedSpread)
		} else {
			assert.Assert(t, spread > 0.9*observedSpread)
		}
	}
}

// Without reports to compare with, an instance is judged by its own share, and an old report
// counts less.
func TestInstanceWithoutComparisonIsJudgedByItself(t *testing.T) {
	var s, all ServiceShare
	s.Update(start, []float64{0.8})
	assert.Equal(t, s.Estimate(0.8, 0), 0.8)
	assert.Equal(t, s.Estimate(0.8, reportHalfLife), 0.4)
	all.Update(start, []float64{0.5, 0.5, 0.5, 0.5})
	assert.Equal(t, all.Estimate(0, start.Sub(time.Time{})), 0.5, "an instance without a report must not look better than the others")
}

// Guards against questions to guards that have just said that they have no budget left, and
// against giving up while a guard may have some.
func TestGuardsAreNotAskedInVain(t *testing.T) {
	report := func(left int, age time.Duration) *GuardBudget {
		b := &GuardBudget{}
		b.Report(start.Add(-age), left)
		return b
	}
	refused := report(4, 0)
	refused.Refuse(start.Add(-100*time.Millisecond), 40)
	none, old, some, nothing := report(0, 500*time.Millisecond), report(0, reportMaxAge+1), report(2, 500*time.Millisecond), &GuardBudget{}
	for _, c := range []struct {
		name   string
		level  Level
		guards []*GuardBudget
		want   []bool
	}{
		{"one has some", 0, []*GuardBudget{none, some, old}, []bool{false, true, true}},
		{"one has none", 0, []*GuardBudget{none, old, nothing}, []bool{false, true, true}},
		{"three have none", 0, []*GuardBudget{none, old, none, nothing, none}, []bool{false, false, false, false, false}},
		{"all have none", 0, []*GuardBudget{none, none}, []bool{false, false}},
		{"nothing current is known", 0, []*GuardBudget{old, nothing}, []bool{true, true}},
		{"refused a more important one", 41, []*GuardBudget{refused, some}, []bool{false, true}},
		{"refused a less important one", 39, []*GuardBudget{refused, none}, []bool{true, false}},
		{"no guards", 0, nil, []bool{}},
	} {
		ask := make([]bool, len(c.guards))
		assert.Equal(t, Askable(start, c.level, c.guards, ask), slices.Contains(c.want, true), c.name)
		assert.DeepEqual(t, ask, c.want)
	}
}

// The earliest expected time counts, is bounded and expires.
func TestWaitForBudget(t *testing.T) {
	var w Wait
	assert.Equal(t, w.Left(start), MaxWait)
	w.Expect(start, 400*time.Millisecond)
	w.Expect(start, 700*time.Millisecond)
	assert.Equal(t, w.Left(start.Add(100*time.Millisecond)), 300*time.Millisecond)
	w.Expect(start.Add(500*time.Millisecond), time.Minute)
	assert.Equal(t, w.Left(start.Add(500*time.Millisecond)), MaxWait)
}

// Retries that save more come first. If all are alike, nothing is kept from them: otherwise a
// fifth of the budget would remain unused.
func TestScarceBudgetIsKeptForRetriesThatSaveMore(t *testing.T) {
	best := Retry{NotRun: true, Objective: time.Second, Expected: 300 * time.Millisecond, Priority: 2, Call: true}
	inOrder := []func(*Retry){
		func(*Retry) {},
		func(r *Retry) { r.Call = false },
		func(r *Retry) { r.Priority = 1 },
		func(r *Retry) { r.NotRun = false },
		func(r *Retry) { r.Elapsed = 800 * time.Millisecond },
		func(r *Retry) { r.Elapsed = time.Second },
	}
	var o Order
	keep := make([]float64, len(inOrder))
	for range 10 {
		for k := range inOrder {
			r := best
			inOrder[k](&r)
			keep[k] = o.Keep(start, r)
		}
	}
	assert.Equal(t, keep[0], 0.0)
	for k := 1; k < len(keep); k++ {
		assert.Assert(t, keep[k] > keep[k-1], "%v", keep)
	}
	assert.Assert(t, keep[4] <= scarcePart && keep[5] == missedPart)

	o = Order{}
	for range 100 {
		assert.Equal(t, o.Keep(start, Retry{}), 0.0)
	}
}

// BenchmarkOrder measures the order of one retry at a guard.
func BenchmarkOrder(b *testing.B) {
	var o Order
	b.ReportAllocs()
	for now := start; b.Loop(); now = now.Add(10 * time.Millisecond) {
		o.Keep(now, Retry{Priority: uint8(now.Nanosecond() / 1e7 % 4)})
	}
}
