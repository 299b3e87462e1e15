package guard

import (
	"sync"
	"time"
)

const (
	// excuseWindow is the longest delay between the failure of an instance's own
	// outgoing call and a failure of the instance that is attributed to it. Instances
	// pass such failures on at once, on the same host; a longer window would excuse
	// failures with other causes.
	excuseWindow = 20 * time.Millisecond
	// maxFailedCalls limits the number of remembered failed calls.
	maxFailedCalls = 64
)

// failedCalls remembers failed requests that originated on this host. The instances
// there make nested requests of their own, here called calls, and a failure that follows
// a failed call does not count in the instance's failure estimate.
type failedCalls struct {
	mu    sync.Mutex
	times []time.Time
}

// RecordFailedCall records that a request that originated on this host has failed.
func (g *Guard) RecordFailedCall(now time.Time) {
	c := &g.failedCalls
	c.mu.Lock()
	defer c.mu.Unlock()
	c.times = append(c.times, now)
	if len(c.times) > maxFailedCalls {
		c.times = c.times[1:]
	}
}

// excuse consumes a call that failed within excuseWindow before now; each call
// excuses one failure.
func (c *failedCalls) excuse(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.times) > 0 {
		at := c.times[0]
		c.times = c.times[1:]
		if now.Sub(at) <= excuseWindow {
			return true
		}
	}
	return false
}
