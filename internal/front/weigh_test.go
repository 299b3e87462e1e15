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

func weighed(priority int, objective time.Duration, now time.Time) *request {
	r := &route.Route{Route: record.Route{Priority: priority, ObjectiveMS: int(objective.Milliseconds())}}
	return &request{route: r, arrived: now}
}

// A request waits for what is served before it and for nothing else: at a well
// instance with a long queue of lower priority it is seated next, and a sick one
// is no match for that.
func TestOnlyWhatGoesFirstIsWaitedFor(t *testing.T) {
	now := time.Unix(1000, 0)
	load := msg.Load{Slots: 4, Running: 4, Queued: 9, WaitingMS: [4]uint32{3000, 5000, 2000, 400}}
	second := 1000 * time.Millisecond
	assert.Equal(t, weighed(3, time.Minute, now).behind(now, load), 400*time.Millisecond)
	assert.Equal(t, weighed(1, time.Minute, now).behind(now, load), 7400*time.Millisecond)
	assert.Equal(t, weighed(1, second, now).behind(now, load), 2400*time.Millisecond+2*second, "half a second at four slots")
	assert.Equal(t, weighed(1, second, now).behind(now.Add(2*second), load), 2400*time.Millisecond, "nothing of its own priority is due before")

	urgent := weighed(3, 800*time.Millisecond, now)
	cost := func(l msg.Load, fails float64) float64 {
		return balance.Cost(balance.Candidate{
			Slots: 4, Running: int(l.Running), QueuedWork: urgent.behind(now, l), Service: 240 * time.Millisecond,
			RoundTrip: time.Millisecond, Warmth: 1, Local: true, FailureProbability: fails,
		}, urgent.stakes(now, 0))
	}
	assert.Assert(t, cost(load, 0.03) < cost(msg.Load{Slots: 4}, 0.7))
}

// heard makes a service state whose targets' guards have told of repeats left.
func heard(now time.Time, age time.Duration, repeats ...uint16) *serviceState {
	st := &serviceState{}
	for i, left := range repeats {
		seen := &observed{}
		seen.hear(now.Add(-age), msg.Load{Slots: 4, RetryBudgetLeft: left})
		st.targets = append(st.targets, &target{seen: seen})
		st.choice.usable = append(st.choice.usable, i)
	}
	return st
}

// A failure of work that can be repeated weighs the more the fewer guards have a
// repeat left, and whole where none has.
func TestAFailureWeighsByTheChanceOfARepeat(t *testing.T) {
	now := time.Unix(1000, 0)
	req := weighed(1, time.Second, now)
	last := 0.0
	for _, st := range []*serviceState{heard(now, 0, 3, 1, 2, 9), heard(now, 0, 3, 0, 2, 9), heard(now, 0, 0, 0, 2, 0), heard(now, 0, 0, 0, 0, 0)} {
		weight := req.stakes(now, st.repeatChance(now)).FailureWeight
		assert.Assert(t, weight > last, "%f after %f", weight, last)
		last = weight
	}
	assert.Equal(t, last, 1.0)
	assert.Equal(t, heard(now, 0, 1, 1).repeatChance(now), 1.0)
	// What was told long ago says nothing.
	assert.Equal(t, heard(now, time.Minute, 0, 0).repeatChance(now), 1.0)
	mixed := heard(now, 0, 0, 4)
	mixed.targets[1].seen.loadAt = now.Add(-time.Minute)
	assert.Equal(t, mixed.repeatChance(now), 0.0)
}

// A trial goes to the target that is likeliest well. Work that cannot be repeated
// is not risked at one in doubt, and elsewhere only where nothing else came.
func TestWhoIsTried(t *testing.T) {
	now := time.Unix(1000, 0)
	ask := func(sick uint16, since time.Duration) *observed {
		o := &observed{}
		o.hear(now.Add(-since), msg.Load{Slots: 4, WantsTrial: true, FailureEstimate: sick})
		return o
	}
	doubtful, well, asksLong := ask(700, 0), ask(10, 0), ask(10, wantsLong)
	for _, c := range []struct {
		name             string
		o                *observed
		idempotent, paid bool
		want             bool
	}{
		{"a repeat is left", doubtful, true, true, true},
		{"no repeat is left, in doubt", doubtful, true, false, false},
		{"no repeat is left, well", well, true, false, true},
		{"not idempotent, in doubt", doubtful, false, false, false},
		{"not idempotent, well, has just asked", well, false, false, false},
		{"not idempotent, well, has asked for long", asksLong, false, false, true},
	} {
		t.Run(c.name, func(t *testing.T) { assert.Equal(t, c.o.mayTry(now, c.idempotent, c.paid), c.want) })
	}
}

// An instance that asked for work a while ago may have got it.
func TestAWishIsForgotten(t *testing.T) {
	now := time.Unix(1000, 0)
	o := &observed{}
	o.hear(now, msg.Load{Slots: 4, WantsTrial: true})
	assert.Assert(t, o.wishes(now.Add(wishLife)))
	assert.Assert(t, !o.wishes(now.Add(wishLife+1)))
	later := now.Add(2 * wishLife)
	o.hear(later, msg.Load{Slots: 4, WantsTrial: true})
	assert.Assert(t, !o.mayTry(later, false, false), "it has just asked anew")
	o.hear(later, msg.Load{Slots: 4})
	assert.Assert(t, !o.wishes(later))
}
