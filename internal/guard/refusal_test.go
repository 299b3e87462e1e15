package guard

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/radishhoist/radishhoist/internal/core/admit"
	refusals "github.com/radishhoist/radishhoist/internal/core/refusal"
	"github.com/radishhoist/radishhoist/internal/msg"
	"github.com/radishhoist/radishhoist/verdict"
)

// Guards against full instances that look better than free ones: with LearnRefusals, their
// refusals count too. Without it they do not, as before.
func TestRefusalOfFullInstanceCountsWithLearnRefusals(t *testing.T) {
	for _, learn := range []bool{false, true} {
		now := time.Unix(1000, 0)
		g := newTestGuard(t, "127.0.0.1:1")
		g.cfg.LearnRefusals = learn
		i := g.all()[0]
		fillSlots(i, now, 2)
		i.recordOutcome(now, result{shed: true})
		assert.Equal(t, i.shedShare.At(now) > 0, learn)
		assert.Equal(t, g.counts.set.GetOrCreateCounter(`radishhoist_instance_shed_total{slot="none"}`).Get(), uint64(1))
	}
}

// A refused retry comes with the time until there is budget again. While the host grants no
// retries, its load shows no budget, so that fronts do not ask; that is no reason for other
// hosts to pause their own.
func TestBudgetRefusalSaysWhenToAskAgain(t *testing.T) {
	g := newTestGuard(t, startBreakingTarget(t))
	g.cfg.LearnRefusals = true
	g.limits.Store(&Limits{AnnounceExpiry: time.Hour, RetryReserve: 2, RetryWindow: time.Second})
	g.retryBudgets.apply(time.Now().Add(-time.Minute), testDirectory([]bool{true}), *g.limits.Load())
	retryHints := msg.AdmissionHints{UsesRetryBudget: true}
	assert.Equal(t, serveFailing(t, g, retryHints).Reason, verdict.ReasonTargetBroke)
	refused := serveFailing(t, g, retryHints)
	assert.Equal(t, refused.Reason, verdict.ReasonRetryBudget)
	wait := time.Duration(refused.RetryAfterMS) * time.Millisecond
	assert.Assert(t, wait > 900*time.Millisecond && wait <= refusals.MaxWait, "%s", wait)

	now := time.Now()
	g = newTestGuard(t, "127.0.0.1:1")
	g.cfg.LearnRefusals = true
	g.retryBudgets.apply(now.Add(-time.Minute), testDirectory([]bool{true}), retryLimits())
	assert.Assert(t, g.all()[0].load().RetryBudgetLeft > 0)
	g.PauseRetries(now)
	assert.Equal(t, g.all()[0].load().RetryBudgetLeft, uint16(0))
	x := &exchange{guard: g, inst: g.all()[0], service: "s", nestedRetryChance: 1}
	assert.Assert(t, !x.load().RetryBudgetOverdrawn)
}

// Compares the order of package refusal with first come first served at one guard, when its
// service refuses 55 % and some retries come too late: the share served in time must not be
// lower, and urgent requests must be served more often.
func TestScarceBudgetServesMoreInTime(t *testing.T) {
	const perSecond, duration, refuses, seeds, urgentPriority = 12, 60, 0.55, 20, 3
	run := func(ordered bool) (all, urgent float64) {
		sent, inTime := map[uint8]float64{}, map[uint8]float64{}
		for seed := range uint64(seeds) {
			rng := rand.New(rand.NewPCG(seed, 1))
			now := time.Unix(1000, 0)
			r := newRetryBudgets()
			r.apply(now.Add(-time.Minute), testDirectory(make([]bool, 8)), retryLimits())
			for range perSecond * duration {
				now = now.Add(time.Duration(rng.ExpFloat64() * float64(time.Second) / perSecond))
				hints := msg.AdmissionHints{ObjectiveMS: 2500, ExpectedMS: 600, ElapsedMS: uint32(800 * rng.ExpFloat64())}
				request := admit.Request{Priority: 1, Reserve: rng.Float64() < 0.75}
				if rng.Float64() < 0.1 {
					request.Priority = urgentPriority
				}
				served, retryServed := rng.Float64() >= refuses, rng.Float64() >= refuses
				r.end(r.begin(now, "s", false, true, msg.AdmissionHints{}))
				if !served {
					granted := r.reserve
					if ordered {
						granted = func(now time.Time, service string, hints msg.AdmissionHints) bool {
							ok, _ := r.reserveInOrder(now, service, retryOf(hints, request), 0)
							return ok
						}
					}
					if granted(now, "s", hints) {
						r.end(r.begin(now, "s", true, true, hints))
						served = retryServed && hints.ElapsedMS+hints.ExpectedMS <= hints.ObjectiveMS
					}
				}
				sent[request.Priority]++
				if served {
					inTime[request.Priority]++
				}
			}
		}
		return (inTime[1] + inTime[urgentPriority]) / (sent[1] + sent[urgentPriority]), inTime[urgentPriority] / sent[urgentPriority]
	}
	all, urgent := run(false)
	allOrdered, urgentOrdered := run(true)
	t.Logf("served in time: %.4f of all and %.4f of urgent requests first come first served, %.4f and %.4f in order", all, urgent, allOrdered, urgentOrdered)
	assert.Assert(t, allOrdered >= all)
	assert.Assert(t, urgentOrdered >= urgent+0.03)
}
