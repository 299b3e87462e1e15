package guard

import (
	"sync"
	"time"
)

const (
	// excuseWindow is the longest delay between the failure of an instance's own
	// outgoing call and a failure of the instance that is attributed to it. An instance
	// passes such a failure on at once, to the guard on the same host; a longer window
	// would excuse failures with other causes.
	excuseWindow = 20 * time.Millisecond
	// maxFailedCalls limits the number of remembered failed calls.
	maxFailedCalls = 64
)

// failedCalls remembers when requests that originated on this host failed. The instances
// on the host make nested requests, here called calls, and a failure of an instance that
// follows a failed call does not count in its failure estimate.
type failedCalls struct {
	mu sync.Mutex
	// times holds the times of the failures, oldest first.
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

// excuse reports whether a call failed within excuseWindow before now, and removes that
// call, since each excuses one failure only.
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
