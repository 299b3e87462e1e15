// Package retry limits the additional work caused by retries and hedged requests,
// both called repeats here.
package retry

import "time"

// Limits are the limits of a Budget. Share and Window are the same for all Budgets of a
// service; Reserve is the Budget's part of the service's reserve.
type Limits struct {
	// Share is the number of repeats allowed per request, such as 0.1.
	Share float64
	// Reserve is the number of repeats allowed per window in addition to Share. A
	// service with few requests could not repeat any without it.
	Reserve float64
	// Window is the length of the sliding window in which repeats and requests are
	// counted. In a longer window, requests from a period without failures allow
	// more repeats in a later period with failures.
	Window time.Duration
}

// Budget counts the requests and repeats of one service over a sliding window and
// permits repeats within the limits. Summed over all Budgets of the service, the
// repeats in any window stay within Share of its requests plus the sum of the
// reserves. A Budget is not safe for concurrent use.
type Budget struct {
	limits  Limits
	buckets [bucketCount]bucket
	// created is when the Budget was created. Parts of the window are counted from
	// it, so that a change of the wall clock neither skips nor repeats any.
	created time.Time
	// newest is the number of the newest part, counted from created.
	newest int64
	// held is the number of repeats that were permitted but not sent yet.
	held int
}

// bucket holds the counts of one part of the window.
type bucket struct {
	requests float64
	repeats  float64
}

const (
	// windowParts is the number of parts of a window. A repeat is counted for one part
	// longer than the window and a request for one part less, so that the limit holds
	// for every position of the window. With 20 parts this costs a tenth of the budget.
	windowParts = 20
	// bucketCount covers the window and the current, incomplete part.
	bucketCount = windowParts + 1
)

// NewBudget returns a Budget without history. It has no reserve during its first window,
// because it does not know which repeats were sent earlier, before a restart or by
// other hosts that held this part of the reserve.
func NewBudget(now time.Time, l Limits) *Budget { return &Budget{limits: l, created: now} }

// SetLimits replaces the limits.
func (b *Budget) SetLimits(l Limits) { b.limits = l }

// AddRequest records the first attempt of a request that may be a caller's own, which
// adds to the allowance. callOfRepeat is the probability that it is instead a call made
// by a run that was itself a repeat. That fraction counts as a repeat made without
// asking the Budget; only the remainder adds to the allowance.
func (b *Budget) AddRequest(now time.Time, callOfRepeat float64) {
	c := b.current(now)
	c.requests += 1 - callOfRepeat
	c.repeats += callOfRepeat
}

// AddCall records the first attempt of a call made by a run. It does not add to the
// allowance: the request that was run does, at its own service. ofRepeat is the
// probability that the run was itself a repeat.
func (b *Budget) AddCall(now time.Time, ofRepeat float64) { b.current(now).repeats += ofRepeat }

// Take records one repeat that is sent at once, if the budget permits it, and reports
// whether it does.
func (b *Budget) Take(now time.Time) bool {
	if !b.Hold(now, 0) {
		return false
	}
	b.UseHeld(now)
	return true
}

// Hold reserves one repeat that may be sent later, if the budget permits it, and reports
// whether it does. keep is the share of the allowance, 0 to 1, that must remain for more
// important repeats.
func (b *Budget) Hold(now time.Time, keep float64) bool {
	if b.Available(now)-keep*b.allowance(now) < 1 {
		return false
	}
	b.held++
	return true
}

// UseHeld records that a held repeat is sent now.
func (b *Budget) UseHeld(now time.Time) {
	b.Release()
	b.current(now).repeats++
}

// Release returns a held repeat that is not sent. It has no effect if none is held: the
// repeat may have been held by an earlier Budget of a service that was removed and added
// again.
func (b *Budget) Release() { b.held = max(b.held-1, 0) }

// Available returns the number of repeats the budget permits now.
func (b *Budget) Available(now time.Time) float64 {
	left := b.allowance(now) - float64(b.held)
	for i := range b.buckets {
		left -= b.buckets[i].repeats
	}
	return max(left, 0)
}

// allowance returns the number of repeats allowed in the window. It ignores the requests
// of the oldest part, which the window covers only partly.
func (b *Budget) allowance(now time.Time) float64 {
	b.current(now)
	requests := 0.0
	oldest := (b.newest + 1) % bucketCount
	for i := range b.buckets {
		if int64(i) != oldest {
			requests += b.buckets[i].requests
		}
	}
	allowed := b.limits.Share * requests
	if now.Sub(b.created) >= b.limits.Window {
		allowed += b.limits.Reserve
	}
	return allowed
}

// current advances the window to now and returns the bucket of its newest part.
func (b *Budget) current(now time.Time) *bucket {
	n := int64(now.Sub(b.created) / max(b.limits.Window/windowParts, time.Millisecond))
	if n-b.newest > bucketCount {
		b.buckets, b.newest = [bucketCount]bucket{}, n
	}
	for b.newest < n {
		b.newest++
		b.buckets[b.newest%bucketCount] = bucket{}
	}
	return &b.buckets[b.newest%bucketCount]
}
