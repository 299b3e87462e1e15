// Package retry limits the additional work caused by retries and hedged requests. Here,
// retries include hedged requests.
package retry

import "time"

// Limits are the limits of a Budget. Share and Window are the same for all Budgets of a
// service; Reserve is the Budget's part of the service's reserve.
type Limits struct {
	// Share is the number of retries allowed per request, such as 0.1.
	Share float64
	// Reserve is the number of retries allowed per window in addition to Share. Without
	// it, a service with few requests could not retry any of them.
	Reserve float64
	// Window is the length of the sliding window in which retries and requests are
	// counted. In a longer window, requests from a period without failures allow more
	// retries in a later period with failures.
	Window time.Duration
}

// Budget counts the requests and retries of one service over a sliding window and
// permits retries within the limits. Summed over all Budgets of the service, the
// retries in any window do not exceed Share of its requests plus the sum of the
// reserves. A Budget is not safe for concurrent use.
type Budget struct {
	limits  Limits
	buckets [bucketCount]bucket
	// created is when the Budget was created. Buckets are numbered from that time, so
	// that a change of the wall clock neither skips nor repeats any.
	created time.Time
	// newestBucket is the number of the newest bucket.
	newestBucket int64
	// held is the number of retries that were permitted but not sent yet.
	held int
}

// bucket holds the counts of one interval of the window.
type bucket struct {
	requests float64
	retries  float64
}

const (
	// bucketsPerWindow is the number of buckets in a window. A retry is counted for up to
	// one bucket longer than the window, and a request for up to one bucket less, so that
	// the limit holds at every position of the window. With 20 buckets this costs a tenth
	// of the budget.
	bucketsPerWindow = 20
	// bucketCount covers the window and the current, incomplete bucket.
	bucketCount = bucketsPerWindow + 1
)

// NewBudget returns an empty Budget. It has no reserve during its first window, because it
// does not know which retries were sent earlier, before a restart or by other hosts that
// held this part of the reserve.
func NewBudget(now time.Time, l Limits) *Budget { return &Budget{limits: l, created: now} }

// SetLimits replaces the limits.
func (b *Budget) SetLimits(l Limits) { b.limits = l }

// AddRequest records the first attempt of a request that may come from a caller, in which
// case it adds to the allowance. nestedRetryProbability is the probability that it is
// instead a call made by a run that was itself a retry. That fraction counts as a retry
// that the Budget was not asked for; only the remainder adds to the allowance.
func (b *Budget) AddRequest(now time.Time, nestedRetryProbability float64) {
	c := b.current(now)
	c.requests += 1 - nestedRetryProbability
	c.retries += nestedRetryProbability
}

// AddCall records the first attempt of a call made by a run. It does not add to the
// allowance: the request that was run does, at its own service. nestedRetryProbability is
// the probability that the run was itself a retry; the call counts as that fraction of a
// retry.
func (b *Budget) AddCall(now time.Time, nestedRetryProbability float64) {
	b.current(now).retries += nestedRetryProbability
}

// Take records one retry that is sent at once, if the budget permits it, and reports
// whether it does.
func (b *Budget) Take(now time.Time) bool {
	if !b.Hold(now, 0) {
		return false
	}
	b.UseHeld(now)
	return true
}

// Hold reserves one retry that may be sent later, if the budget permits it, and reports
// whether it does. minRemaining is the share of the allowance, 0 to 1, that must remain
// for more important retries.
func (b *Budget) Hold(now time.Time, minRemaining float64) bool {
	if !b.CanHold(now, minRemaining) {
		return false
	}
	b.held++
	return true
}

// CanHold reports whether Hold would permit a retry.
func (b *Budget) CanHold(now time.Time, minRemaining float64) bool {
	return b.Available(now)-minRemaining*b.allowance(now) >= 1
}

// UseHeld records that a held retry is sent now.
func (b *Budget) UseHeld(now time.Time) {
	b.Release()
	b.current(now).retries++
}

// Release returns a held retry that will not be sent. It has no effect if none is held,
// because the retry may have been held by an earlier Budget of a service that was removed
// and added again.
func (b *Budget) Release() { b.held = max(b.held-1, 0) }

// Available returns the number of retries that the budget permits now.
func (b *Budget) Available(now time.Time) float64 { return max(b.left(now), 0) }

// left is Available, but negative where calls of retried runs have overdrawn the budget.
func (b *Budget) left(now time.Time) float64 {
	left := b.allowance(now) - float64(b.held)
	for i := range b.buckets {
		left -= b.buckets[i].retries
	}
	return left
}

// Wait returns the time until Hold is expected to permit a retry, because earlier ones have
// left the window, and false if that is not expected. It assumes that requests keep
// arriving as in the current window.
func (b *Budget) Wait(now time.Time, minRemaining float64) (time.Duration, bool) {
	// Compared as in CanHold, since another order of the same numbers rounds differently.
	left, kept := b.left(now), minRemaining*b.allowance(now)
	interval := max(b.limits.Window/bucketsPerWindow, time.Millisecond)
	untilNext := interval - now.Sub(b.created)%interval
	for k := range bucketCount + 1 {
		if left-kept >= 1 {
			return max(untilNext+time.Duration(k-1)*interval, 0), true
		}
		left += b.buckets[(b.newestBucket+1+int64(k))%bucketCount].retries
	}
	return 0, false
}

// allowance returns the number of retries allowed in the window. It ignores the requests
// of the oldest bucket, which the window covers only partly.
func (b *Budget) allowance(now time.Time) float64 {
	b.current(now)
	requests := 0.0
	oldest := (b.newestBucket + 1) % bucketCount
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

// current advances the window to now and returns its newest bucket.
func (b *Budget) current(now time.Time) *bucket {
	n := int64(now.Sub(b.created) / max(b.limits.Window/bucketsPerWindow, time.Millisecond))
	if n-b.newestBucket > bucketCount {
		b.buckets, b.newestBucket = [bucketCount]bucket{}, n
	}
	for b.newestBucket < n {
		b.newestBucket++
		b.buckets[b.newestBucket%bucketCount] = bucket{}
	}
	return &b.buckets[b.newestBucket%bucketCount]
}
