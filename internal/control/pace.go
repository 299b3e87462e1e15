package control

import (
	"math/rand/v2"
	"time"
)

// awayMin is the first pause after a failed call; it doubles.
const awayMin = 250 * time.Millisecond

// pacer gives the pauses between calls to a platform that fails them.
type pacer struct {
	max      time.Duration
	failures int
}

// next is the pause after one more failure, at most max; jitter takes up to half of
// it off, so that watchers that failed together do not ask together.
func (p *pacer) next() time.Duration {
	pause := awayMin
	for i := 0; i < p.failures && pause < p.max; i++ {
		pause *= 2
	}
	pause = min(pause, p.max)
	p.failures++
	return pause/2 + time.Duration(rand.Int64N(int64(pause/2)+1))
}

// reset makes the next pause the first again: each answer does, or one failure long
// after an outage would cost the longest pause.
func (p *pacer) reset() { p.failures = 0 }
