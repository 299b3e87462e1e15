package guard

import (
	"sync"
	"time"
)

const (
	// echo is how soon after one of its own calls has failed an instance passes
	// that on as a failure of its own: it does so at once, on the same host.
	// Longer excuses more failures that have another cause.
	echo = 20 * time.Millisecond
	// maxCalls bounds the failed calls remembered.
	maxCalls = 64
)

// calls remembers requests that began on this host and failed. Its instances
// make calls of their own; a failure that follows such a one is not theirs.
type calls struct {
	mu     sync.Mutex
	failed []time.Time
}

// RecordFailedCall notes that a request that began on this host has failed.
func (g *Guard) RecordFailedCall(now time.Time) {
	c := &g.calls
	c.mu.Lock()
	defer c.mu.Unlock()
	c.failed = append(c.failed, now)
	if len(c.failed) > maxCalls {
		c.failed = c.failed[1:]
	}
}

// excuse uses up a call that has failed within echo before now; each excuses
// one failure.
func (c *calls) excuse(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.failed) > 0 {
		at := c.failed[0]
		c.failed = c.failed[1:]
		if now.Sub(at) <= echo {
			return true
		}
	}
	return false
}
