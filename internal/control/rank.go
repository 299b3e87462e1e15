package control

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/radishhoist/radishhoist/internal/event"
)

// shouldWatch reports whether this host is one of the first WatchersPerDC live hosts of its
// data centre in the order of rank, or watches in place of one that the platform does not
// serve. While the hosts' views of the membership differ, a few more or fewer hosts watch, which
// is harmless. shouldWatch also sets c.watching and logs each change of it.
func (c *Control) shouldWatch() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	standsIn, _ := c.standby.Watching()
	watch := standsIn || c.rank()+c.unknownBefore() < c.cfg.WatchersPerDC
	if watch != c.watching {
		c.watching = watch
		// What is known of the feeds is that of the last time that this host watched.
		clear(c.failedFeeds)
		clear(c.servedFeeds)
		e := event.WatchStopped
		if watch {
			e = event.WatchStarted
		}
		event.Log(c.log, e)
	}
	return watch
}

// backupWaitFactor multiplies the wait time of the watches of all watchers of a data centre
// but the first. Longer waits save calls and normally delay nothing, because a change ends
// the watch at once. The wait matters if the platform does not end the watch (see
// objects.NewTransport). The shorter wait of the first watcher detects sooner that the
// platform holds a watch beyond its wait time.
const backupWaitFactor = 4

// waitFactor returns the factor for the wait time of this host's watches.
func (c *Control) waitFactor() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, shortWait := c.standby.Watching(); shortWait || c.rank() == 0 {
		return 1
	}
	return backupWaitFactor
}

// rank returns the number of live hosts of this data centre that precede this one in the
// order of the hashes of their names, which is the same on all hosts. Hosts that are leaving
// are not counted. The caller holds the lock.
func (c *Control) rank() int {
	own := xxhash.Sum64String(c.cfg.Host)
	before := 0
	local, _ := c.members.Live()
	for _, host := range local {
		if !c.isLeaving(host) && xxhash.Sum64String(host) < own {
			before++
		}
	}
	return before
}

// ranked returns the other live hosts of this data centre that are not leaving, in no particular
// order. The caller holds the lock.
func (c *Control) ranked() []string {
	local, _ := c.members.Live()
	return slices.DeleteFunc(slices.Clone(local), c.isLeaving)
}

// isLeaving reports whether a host has stopped accepting new work. The caller holds the lock.
func (c *Control) isLeaving(host string) bool {
	h, ok := c.hosts[host]
	return ok && h.Leaving
}

// removesRecords reports whether this host removes stale records for its data centre: it ranks
// first, or watches in place of the host that does. The caller holds the lock.
func (c *Control) removesRecords() bool {
	_, forFirst := c.standby.Watching()
	return forFirst || c.rank() == 0
}

// unknownBefore returns the number of hosts of this data centre that precede this one and are
// known only from their Host records. It returns 0 once discoveryTime has passed since the
// start. Without it, all hosts of a fleet would watch while they start together. With 24
// hosts, it saves 78 of 363 calls in a minute. The caller holds the lock.
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

// discoveryTime is several times the time in which hosts that start together discover each
// other.
const discoveryTime = 2 * time.Second
