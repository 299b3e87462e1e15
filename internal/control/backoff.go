package control

import (
	"math/rand/v2"
	"time"
)

// minBackoff is the pause after the first failed call, before jitter. The pause doubles with
// each further failure.
const minBackoff = 250 * time.Millisecond

// backoff computes the pauses between failed calls to the platform.
type backoff struct {
	max      time.Duration
	failures int
}

// next returns the pause after another failure, at most max. Jitter shortens the pause by up
// to half, so that watchers whose calls failed at the same time retry at different times.
func (b *backoff) next() time.Duration {
	pause := minBackoff
	for i := 0; i < b.failures && pause < b.max; i++ {
		pause *= 2
	}
	pause = min(pause, b.max)
	b.failures++
	return pause/2 + time.Duration(rand.Int64N(int64(pause/2)+1))
}

// reset makes the next pause the shortest one. It must be called after each successful call.
// Otherwise, a single failure long after an outage would cause the longest pause.
func (b *backoff) reset() { b.failures = 0 }
