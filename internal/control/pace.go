package control

import (
	"math/rand/v2"
	"time"
)

// minBackoff is the pause after the first failed call. It doubles with each failure.
const minBackoff = 250 * time.Millisecond

// backoff computes the pauses between failed calls to the platform.
type backoff struct {
	max      time.Duration
	failures int
}

// next returns the pause after another failure, at most max. Jitter shortens it by up to
// half, so that watchers that failed at the same time do not retry at the same time.
func (p *backoff) next() time.Duration {
	pause := minBackoff
	for i := 0; i < p.failures && pause < p.max; i++ {
		pause *= 2
	}
	pause = min(pause, p.max)
	p.failures++
	return pause/2 + time.Duration(rand.Int64N(int64(pause/2)+1))
}

// reset restarts with the shortest pause. It is called after each successful call;
// otherwise a single failure long after an outage would cause the longest pause.
func (p *backoff) reset() { p.failures = 0 }
