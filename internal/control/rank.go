package control

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/radishhoist/radishhoist/internal/event"
)

// ranksAsWatcher says whether this host is among the first few live hosts of
// its data centre, in an order that all compute alike. Where views differ, a
// few hosts more or less watch, which is harmless.
func (c *Control) ranksAsWatcher() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	watch := c.rank()+c.unmet() < c.cfg.WatchersPerDC
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

// backupPatience is how many times as long as the first watcher of a data centre
// the others leave a watch waiting: they hear of a change as soon, and spare calls;
// only where the platform holds a watch beyond its time the first must be sooner.
const backupPatience = 4

// patience is that of this host's watches.
func (c *Control) patience() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.rank() == 0 {
		return 1
	}
	return backupPatience
}

// rank is this host's place among the live hosts of its data centre.
func (c *Control) rank() int {
	near, _ := c.members.Live()
	own := xxhash.Sum64String(c.cfg.Host)
	before := 0
	for _, host := range near {
		if h, ok := c.hosts[host]; ok && h.Leaving {
			continue
		}
		if xxhash.Sum64String(host) < own {
			before++
		}
	}
	return before
}

// unmet counts, while this process is young, the hosts of its data centre that
// rank before it and that only the platform names so far: a fleet that starts as
// one would watch with every host. 24 hosts saved 78 calls of 363 in a minute.
func (c *Control) unmet() int {
	if time.Since(c.started) >= meetingTime {
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

// meetingTime is how long hosts that start at once take to hear of each other,
// several times over.
const meetingTime = 2 * time.Second
