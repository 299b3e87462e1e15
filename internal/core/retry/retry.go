// Package retry bounds the work that retries and hedges add.
package retry

import "time"

// Limits are the bounds of a Budget. They are the fleet's; each keeper of a
// Budget gets its share of the reserve.
type Limits struct {
	// Share is how many repeats each request earns, such as 0.1.
	Share float64
	// Reserve is how many repeats a window may have beyond the share. It lets a
	// service with few requests repeat at all.
	Reserve float64
	// Window is the span in which repeats and requests are counted. Longer lets
	// a calm time pay for a worse one behind it.
	Window time.Duration
}

// Budget counts the requests and the repeats of one service over a sliding
// window and lets repeats through while they stay within the limits. Summed
// over its keepers, the repeats of any window stay within Share of its requests
// plus the sum of the reserves. It is not safe for concurrent use.
type Budget struct {
	limits  Limits
	buckets [buckets]bucket
	// start is when the Budget was made: parts are counted from it, so that a
	// jump of the time of day neither forgets nor repeats any.
	start time.Time
	// at is the number of the newest bucket since start.
	at int64
	// held counts the repeats that were let through and have not been sent yet.
	held int
}

// bucket is what came in one part of the window.
type bucket struct {
	requests float64
	repeats  float64
}

const (
	// parts divides a window. A repeat counts for one part longer than the
	// window and a request for one part less, so that the bound holds for every
	// position of the window: with 20 parts at a cost of a tenth of the budget.
	parts = 20
	// buckets holds the window and the part under way.
	buckets = parts + 1
)

// NewBudget makes a Budget without history. What was spent before it was made,
// by a keeper that has restarted or by those that had its part of the reserve, is
// not known: it has no reserve in its first window.
func NewBudget(now time.Time, l Limits) *Budget { return &Budget{limits: l, start: now} }

// SetLimits changes the limits.
func (b *Budget) SetLimits(l Limits) { b.limits = l }

// AddRequest records the first send of a request that may be a caller's. It earns a part of a
// repeat. callOfRepeat is the chance, 0 to 1, that it is a call of a run that was itself a
// repeat: so much of it counts as a repeat that nobody asked the budget for, and only the
// rest earns any.
func (b *Budget) AddRequest(now time.Time, callOfRepeat float64) {
	c := b.current(now)
	c.requests += 1 - callOfRepeat
	c.repeats += callOfRepeat
}

// AddCall records the first send of a call that a run makes. It earns nothing: its caller's
// request does so where that was sent to. ofRepeat is the chance that the run was itself a
// repeat.
func (b *Budget) AddCall(now time.Time, ofRepeat float64) { b.current(now).repeats += ofRepeat }

// Take pays for one repeat that is sent at once and reports whether the budget
// had it.
func (b *Budget) Take(now time.Time) bool {
	if !b.Hold(now, 0) {
		return false
	}
	b.UseHeld(now)
	return true
}

// Hold sets one repeat aside that may be sent later, and reports whether the
// budget had it. keep is the part of the whole allowance, 0 to 1, that must be
// left for repeats that matter more.
func (b *Budget) Hold(now time.Time, keep float64) bool {
	if b.Available(now)-keep*b.allowance(now) < 1 {
		return false
	}
	b.held++
	return true
}

// UseHeld records that a repeat that was held is sent now.
func (b *Budget) UseHeld(now time.Time) {
	b.Release()
	b.current(now).repeats++
}

// Release gives back a repeat that was held and is not sent. One that another
// Budget held, before its service was gone for a while, changes nothing.
func (b *Budget) Release() { b.held = max(b.held-1, 0) }

// Available is how many repeats the budget has now.
func (b *Budget) Available(now time.Time) float64 {
	left := b.allowance(now) - float64(b.held)
	for i := range b.buckets {
		left -= b.buckets[i].repeats
	}
	return max(left, 0)
}

// allowance is how many repeats the window may have. Its requests leave out the
// oldest part, which the window has partly left.
func (b *Budget) allowance(now time.Time) float64 {
	b.current(now)
	requests := 0.0
	oldest := (b.at + 1) % buckets
	for i := range b.buckets {
		if int64(i) != oldest {
			requests += b.buckets[i].requests
		}
	}
	allowed := b.limits.Share * requests
	if now.Sub(b.start) >= b.limits.Window {
		allowed += b.limits.Reserve
	}
	return allowed
}

// current moves the window to now and gives its newest part.
func (b *Budget) current(now time.Time) *bucket {
	n := int64(now.Sub(b.start) / max(b.limits.Window/parts, time.Millisecond))
	if n-b.at > buckets {
		b.buckets, b.at = [buckets]bucket{}, n
	}
	for b.at < n {
		b.at++
		b.buckets[b.at%buckets] = bucket{}
	}
	return &b.buckets[b.at%buckets]
}
