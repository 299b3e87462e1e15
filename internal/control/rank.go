package control

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/radishhoist/radishhoist/internal/event"
)

// shouldWatch reports whether this host is one of the first WatchersPerDC live hosts of
// its data centre, in an order that all hosts agree on. While views of the membership
// differ, a few hosts more or fewer watch, which is harmless. It also sets c.watching and
// logs each change of it.
func (c *Control) shouldWatch() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	watch := c.rank()+c.unknownBefore() < c.cfg.WatchersPerDC
	if watch != c.watching {
		c.watching = watch
		e := event.WatchStopped
		if watch {
			e = event.WatchStarted
		}
		event.Log(c.log, e)
	}
	return watch
}

// backupWaitFactor multiplies the wait time of watches on all but the first watcher of a
// data centre. Longer waits save calls. Normally a change ends the watch at once; the
// wait matters if the platform does not end it (see objects.NewTransport). The first
// watcher uses the shorter wait, which detects sooner that the platform holds a watch
// beyond its wait time.
const backupWaitFactor = 4

// waitFactor returns the factor for the wait time of this host's watches.
func (c *Control) waitFactor() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.rank() == 0 {
		return 1
	}
	return backupWaitFactor
}

// rank returns the number of live hosts of the data centre that precede this one in the
// order of the hashes of their names. Hosts that are leaving are not counted. The caller
// holds the lock.
func (c *Control) rank() int {
	local, _ := c.members.Live()
	own := xxhash.Sum64String(c.cfg.Host)
	before := 0
	for _, host := range local {
		if h, ok := c.hosts[host]; ok && h.Leaving {
			continue
		}
		if xxhash.Sum64String(host) < own {
			before++
		}
	}
	return before
}

// unknownBefore counts, during discoveryTime after the start, the hosts of the data
// centre that precede this one and are known only from the platform's records. Otherwise
// every host of a fleet that starts at once would watch. With 24 hosts this saves 78 of
// 363 calls in a minute.
func (c *Control) unknownBefore() int {
	if time.Since(c.started) >= discoveryTime {
		return 0
	}
	own := xxhash.Sum64String(c.cfg.Host)
	before := 0
	for host := range c.hostRecords {
		if _, known := c.hosts[host]; !known && xxhash.Sum64String(host) < own {
			before++
		}
	}
	return before
}

// discoveryTime is several times as long as hosts that start at the same time take to
// discover each other.
const discoveryTime = 2 * time.Second
