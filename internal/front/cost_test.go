package front

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/radishhoist/radishhoist/internal/core/balance"
	"github.com/radishhoist/radishhoist/internal/core/route"
	"github.com/radishhoist/radishhoist/internal/msg"
	"github.com/radishhoist/radishhoist/record"
)

func newRequest(priority int, objective time.Duration, now time.Time) *request {
	r := &route.Route{Route: record.Route{Priority: priority, ObjectiveMS: int(objective.Milliseconds())}}
	return &request{route: r, arrived: now}
}

// Only work that will run before a request counts as queued ahead of it. A healthy
// instance with a long queue of lower priority must cost less than an idle one that is
// likely to fail.
func TestQueuedAheadCountsOnlyEarlierWork(t *testing.T) {
	now := time.Unix(1000, 0)
	load := msg.Load{Slots: 4, Running: 4, Queued: 9, WaitingMS: [4]uint32{3000, 5000, 2000, 400}}
	second := 1000 * time.Millisecond
	assert.Equal(t, newRequest(3, time.Minute, now).queuedAhead(now, load), 400*time.Millisecond)
	assert.Equal(t, newRequest(1, time.Minute, now).queuedAhead(now, load), 7400*time.Millisecond)
	assert.Equal(t, newRequest(1, second, now).queuedAhead(now, load), 2400*time.Millisecond+2*second, "half a second on four slots")
	assert.Equal(t, newRequest(1, second, now).queuedAhead(now.Add(2*second), load), 2400*time.Millisecond, "no work of its own priority is due earlier")

	urgent := newRequest(3, 800*time.Millisecond, now)
	cost := func(l msg.Load, fails float64) float64 {
		return balance.Cost(balance.Candidate{
			Slots: 4, Running: int(l.Running), QueuedWork: urgent.queuedAhead(now, l), Service: 240 * time.Millisecond,
			RoundTrip: time.Millisecond, WarmUpProgress: 1, Local: true, FailureProbability: fails,
		}, urgent.costWeights(now, 0))
	}
	assert.Assert(t, cost(load, 0.03) < cost(msg.Load{Slots: 4}, 0.7))
}

// serviceWithRetryBudgets returns a service with one target per value in budgets, whose
// guard reported that much retry budget age ago.
func serviceWithRetryBudgets(now time.Time, age time.Duration, budgets ...uint16) *serviceState {
	st := &serviceState{}
	for i, left := range budgets {
		observed := &observations{}
		observed.updateLoad(now.Add(-age), msg.Load{Slots: 4, RetryBudgetLeft: left})
		st.targets = append(st.targets, &target{observed: observed})
		st.candidates.eligible = append(st.candidates.eligible, i)
	}
	return st
}

// The weight of a failure of retryable work grows as fewer guards have retry budget left,
// up to 1 if none has.
func TestFailureWeightFollowsRetryBudget(t *testing.T) {
	now := time.Unix(1000, 0)
	req := newRequest(1, time.Second, now)
	last := 0.0
	for _, st := range []*serviceState{serviceWithRetryBudgets(now, 0, 3, 1, 2, 9), serviceWithRetryBudgets(now, 0, 3, 0, 2, 9), serviceWithRetryBudgets(now, 0, 0, 0, 2, 0), serviceWithRetryBudgets(now, 0, 0, 0, 0, 0)} {
		weight := req.costWeights(now, st.retryBudgetChance(now)).FailureWeight
		assert.Assert(t, weight > last, "%f after %f", weight, last)
		last = weight
	}
	assert.Equal(t, last, 1.0)
	assert.Equal(t, serviceWithRetryBudgets(now, 0, 1, 1).retryBudgetChance(now), 1.0)
	// Old reports are ignored.
	assert.Equal(t, serviceWithRetryBudgets(now, time.Minute, 0, 0).retryBudgetChance(now), 1.0)
	mixed := serviceWithRetryBudgets(now, 0, 0, 4)
	mixed.targets[1].observed.loadAt = now.Add(-time.Minute)
	assert.Equal(t, mixed.retryBudgetChance(now), 0.0)
}

// Retryable requests may go to any trial target. Others may go only to targets unlikely to
// fail, and non-idempotent ones only after the guard has asked for some time.
func TestTrialEligibility(t *testing.T) {
	now := time.Unix(1000, 0)
	trialWanted := func(estimate uint16, since time.Duration) *observations {
		o := &observations{}
		o.updateLoad(now.Add(-since), msg.Load{Slots: 4, WantsTrial: true, FailureEstimate: estimate})
		return o
	}
	failing, healthy, waiting := trialWanted(700, 0), trialWanted(10, 0), trialWanted(10, trialWaitNonIdempotent)
	for _, c := range []struct {
		name                  string
		o                     *observations
		idempotent, retryable bool
		want                  bool
	}{
		{"retry budget left", failing, true, true, true},
		{"no retry budget, likely to fail", failing, true, false, false},
		{"no retry budget, unlikely to fail", healthy, true, false, true},
		{"not idempotent, likely to fail", failing, false, false, false},
		{"not idempotent, unlikely to fail, has just asked", healthy, false, false, false},
		{"not idempotent, unlikely to fail, has waited long enough", waiting, false, false, true},
	} {
		t.Run(c.name, func(t *testing.T) { assert.Equal(t, c.o.eligibleForTrial(now, c.idempotent, c.retryable), c.want) })
	}
}

// A guard's request for a trial expires, because another front may have sent one since.
func TestWantsTrialExpires(t *testing.T) {
	now := time.Unix(1000, 0)
	o := &observations{}
	o.updateLoad(now, msg.Load{Slots: 4, WantsTrial: true})
	assert.Assert(t, o.wantsTrial(now.Add(wantsTrialMaxAge)))
	assert.Assert(t, !o.wantsTrial(now.Add(wantsTrialMaxAge+1)))
	later := now.Add(2 * wantsTrialMaxAge)
	o.updateLoad(later, msg.Load{Slots: 4, WantsTrial: true})
	assert.Assert(t, !o.eligibleForTrial(later, false, false), "it has only just asked again")
	o.updateLoad(later, msg.Load{Slots: 4})
	assert.Assert(t, !o.wantsTrial(later))
}
