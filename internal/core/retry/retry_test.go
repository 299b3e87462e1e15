package retry

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// At every position of the window, the retries do not exceed the share of its requests plus
// the reserve.
func TestBudgetBoundsRetriesInEveryWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		share := float64(rapid.IntRange(1, 50).Draw(t, "percent")) / 100
		reserve := float64(rapid.IntRange(0, 5).Draw(t, "reserve"))
		window := 10 * time.Second
		b := NewBudget(time.Unix(0, 0), Limits{Share: share, Reserve: reserve, Window: window})
		now := time.Unix(1000, 0)
		var requests, retries []time.Time
		for range rapid.IntRange(1, 500).Draw(t, "requests") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "gapMS")) * time.Millisecond)
			b.AddRequest(now, 0)
			requests = append(requests, now)
			for b.Take(now) {
				retries = append(retries, now)
			}
		}
		for _, end := range retries {
			from := end.Add(-window)
			assert.Assert(t, float64(countBetween(retries, from, end)) <= share*float64(countBetween(requests, from, end))+reserve)
		}
	})
}

// Requests that have left the window no longer allow retries, so that a burst of failures
// causes no more retries than the share of the last window.
func TestBudgetForgetsOldRequests(t *testing.T) {
	b := NewBudget(time.Unix(0, 0), Limits{Share: 0.1, Window: 10 * time.Second})
	now := time.Unix(1000, 0)
	for range 1000 {
		b.AddRequest(now, 0)
	}
	now = now.Add(time.Minute)
	assert.Assert(t, !b.Take(now))
}

func countBetween(times []time.Time, from, end time.Time) int {
	n := 0
	for _, at := range times {
		if !at.Before(from) && !at.After(end) {
			n++
		}
	}
	return n
}

// After a restart, earlier retries are unknown, so there is no reserve until all of them
// have left the window.
func TestRestartDoesNotGrantReserveTwice(t *testing.T) {
	now := time.Unix(1000, 0)
	b := NewBudget(now, Limits{Reserve: 10, Window: 10 * time.Second})
	now = now.Add(9 * time.Second)
	assert.Assert(t, !b.Take(now))
	now = now.Add(time.Second)
	for range 10 {
		assert.Assert(t, b.Take(now))
	}
	assert.Assert(t, !b.Take(now))
}

// A retry that waits for a slot is held in the budget, and released if it is not sent.
func TestHeldRetryIsSpentOnce(t *testing.T) {
	now := time.Unix(1000, 0)
	b := NewBudget(now.Add(-time.Minute), Limits{Reserve: 2, Window: 10 * time.Second})
	assert.Assert(t, b.Hold(now, 0))
	assert.Assert(t, b.Hold(now, 0))
	assert.Assert(t, !b.Hold(now, 0))
	b.Release()
	b.UseHeld(now)
	assert.Equal(t, b.Available(now), 1.0)
	assert.Assert(t, !b.Hold(now, 0.5), "half of the allowance must remain for more important retries")
	assert.Assert(t, b.Hold(now, 0))
	b.Release()
	b.Release()
	assert.Equal(t, b.Available(now), 1.0, "releasing a retry held by another Budget must not increase this one")
}

// A request that may be a call made by a retried run counts as a retry and does not add to
// the allowance, in proportion to the probability. Known calls never add to it. When
// requests of the first kind added to the allowance, a service had 217 retries where 199
// were allowed.
func TestCallsOfRetriesCountAsRetries(t *testing.T) {
	now := time.Unix(1000, 0)
	b := NewBudget(now.Add(-time.Minute), Limits{Reserve: 2, Window: 10 * time.Second})
	b.AddRequest(now, 0.75)
	b.AddRequest(now, 0.75)
	assert.Assert(t, !b.Take(now))
	assert.Assert(t, b.Take(now.Add(11*time.Second)))

	b = NewBudget(now, Limits{Share: 0.5, Window: 10 * time.Second})
	for range 10 {
		b.AddRequest(now, 1)
	}
	assert.Equal(t, b.Available(now), 0.0, "calls made by retries must not add to the allowance")
	b = NewBudget(now, Limits{Share: 0.5, Window: 10 * time.Second})
	for range 10 {
		b.AddCall(now, 0)
	}
	assert.Equal(t, b.Available(now), 0.0, "calls of first runs must not add to the allowance either")
}

// The wait ends when enough earlier retries have left the window, not before.
func TestWaitIsUntilRetryIsPermitted(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := NewBudget(time.Unix(0, 0), Limits{Reserve: 4, Window: 10 * time.Second})
		now := time.Unix(1000, 0)
		for range rapid.IntRange(1, 40).Draw(t, "retries") {
			now = now.Add(time.Duration(rapid.IntRange(0, 900).Draw(t, "gapMS")) * time.Millisecond)
			b.Take(now)
		}
		keep := rapid.Float64Range(0, 0.7).Draw(t, "keep")
		wait, ok := b.Wait(now, keep)
		assert.Assert(t, ok, "all retries leave the window")
		before := *b
		assert.Equal(t, before.Hold(now.Add(wait-time.Nanosecond), keep), wait == 0)
		assert.Assert(t, b.Hold(now.Add(wait), keep))
	})
}
