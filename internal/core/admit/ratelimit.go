package admit

import (
	"math"
	"time"
)

// RateLimit limits the rate at which requests start. The zero value is no limit.
type RateLimit struct {
	// PerSecond is the number of requests that may start per second, and Burst the number
	// that may start at once after a pause.
	PerSecond, Burst float64
	// Provisional limits are expected to be replaced with the next response. They delay
	// starts, but requests are not refused for the wait that they would cause if they stayed.
	Provisional bool
}

// tokenBucket enforces a RateLimit. Each start takes one token, and each grant reserves one,
// which stays in the bucket until the grant is used: it takes up room there, so that a grant
// that is not used leaves the bucket as if it had not been given.
type tokenBucket struct {
	limit RateLimit
	// tokens are the available tokens, without the reserved ones. It is negative if a lower
	// limit has left room for fewer than are reserved.
	tokens float64
	// reserved is the number of tokens reserved by grants.
	reserved int
	// updatedAt is when tokens was last computed.
	updatedAt time.Time
}

// set replaces the limit. A limit that follows none begins without tokens: more requests may
// have started before than it allows.
func (b *tokenBucket) set(now time.Time, limit RateLimit) {
	b.refill(now)
	if b.unlimited() {
		b.tokens = 0
	}
	b.limit = limit
	b.tokens = min(b.tokens, b.capacity())
}

// capacity is the number of available tokens at which the bucket is full.
func (b *tokenBucket) capacity() float64 { return b.limit.Burst - float64(b.reserved) }

func (b *tokenBucket) unlimited() bool { return b.limit == RateLimit{} }

func (b *tokenBucket) refill(now time.Time) {
	if elapsed := now.Sub(b.updatedAt); elapsed > 0 {
		b.tokens = min(b.tokens+elapsed.Seconds()*b.limit.PerSecond, b.capacity())
		b.updatedAt = now
	}
}

// wait returns how long it takes until n tokens are available.
func (b *tokenBucket) wait(now time.Time, n int) time.Duration {
	if b.unlimited() {
		return 0
	}
	b.refill(now)
	missing := float64(n) - b.tokens
	if missing <= tokenTolerance {
		return 0
	}
	return time.Duration(math.Ceil(missing / b.limit.PerSecond * float64(time.Second)))
}

// expectedWait is wait, but 0 for a provisional limit.
func (b *tokenBucket) expectedWait(now time.Time, n int) time.Duration {
	if b.limit.Provisional {
		return 0
	}
	return b.wait(now, n)
}

// tokenTolerance absorbs rounding errors, so that a token is available when wait has passed.
const tokenTolerance = 1e-6

// take takes one token for a request that starts.
func (b *tokenBucket) take() { b.tokens-- }

// reserve reserves one token for a grant.
func (b *tokenBucket) reserve() {
	b.tokens--
	b.reserved++
}

// useReserved takes the token of a grant whose request starts.
func (b *tokenBucket) useReserved(now time.Time) {
	b.refill(now)
	b.reserved--
}

// release makes the token of a grant available that will not be used.
func (b *tokenBucket) release() {
	b.tokens++
	b.reserved--
}

// SetRateLimit changes the rate limit. Requests that have started or hold a grant are not
// affected.
func (q *Queue) SetRateLimit(now time.Time, limit RateLimit) []Decision {
	q.advance(now)
	q.rateLimit.set(now, limit)
	return q.assignFreeSlots(now, nil)
}

// RateLimitWait returns how long the rate limit delays the next request to be offered, behind
// those that are waiting. A provisional limit does not count.
func (q *Queue) RateLimitWait(now time.Time) time.Duration {
	return q.rateLimit.expectedWait(now, q.queued+1)
}

// mayStart reports whether a slot and the rate limit allow a request to start.
func (q *Queue) mayStart(now time.Time) bool {
	return q.busy < q.cfg.Slots && q.rateLimit.wait(now, 1) == 0
}
