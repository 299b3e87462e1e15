package control

import (
	"context"
	"time"

	"github.com/radishhoist/radishhoist/internal/objects"
	"github.com/radishhoist/radishhoist/internal/sleep"
	"github.com/radishhoist/radishhoist/record"
)

const (
	// cleanupInterval is how often the host that removes stale records of a data centre (see
	// Control.removesRecords) looks for them.
	cleanupInterval = 10 * time.Minute
	// unknownHostRetention is how long a host must be unknown before its record is removed.
	// If the host returns, it writes the record again.
	unknownHostRetention = time.Hour
)

// hostRecord is a stored Host record of this data centre.
type hostRecord struct {
	version int64
	// unknownSince is the time at which the host was first found to be unknown.
	unknownSince time.Time
}

// addHostRecords adds those of the given Host records that are of this data centre. The
// caller holds the lock.
func (c *Control) addHostRecords(all []hostListing) {
	for _, l := range all {
		if l.DC == c.cfg.DC {
			c.hostRecords[l.name] = hostRecord{version: l.version}
		}
	}
}

// forgetDeletedHostRecords forgets the Host records that have been deleted from the platform.
// The caller holds the lock.
func (c *Control) forgetDeletedHostRecords(all []objects.Object) {
	for _, obj := range all {
		if obj.Kind == record.KindHost && obj.Deleted {
			delete(c.hostRecords, obj.Name)
		}
	}
}

// staleHostRecords returns the records of hosts that have been unknown for
// unknownHostRetention, with their versions. It returns none unless this host removes records for
// its data centre. The caller holds the lock.
func (c *Control) staleHostRecords(now time.Time) map[string]int64 {
	out := make(map[string]int64)
	if !c.removesRecords() {
		return out
	}
	for name, r := range c.hostRecords {
		_, known := c.hosts[name]
		switch {
		case known:
			r.unknownSince = time.Time{}
		case r.unknownSince.IsZero():
			r.unknownSince = now
		case now.Sub(r.unknownSince) >= unknownHostRetention:
			out[name] = r.version
		}
		c.hostRecords[name] = r
	}
	return out
}

// removeStaleRecords periodically deletes stale Host and Crasher records from the platform.
// A record that has been written in the meantime is kept.
func (c *Control) removeStaleRecords(ctx context.Context) {
	for ctx.Err() == nil {
		sleep.For(ctx, cleanupInterval)
		c.mu.Lock()
		staleHosts := c.staleHostRecords(time.Now())
		staleCrashers := c.staleCrasherRecords(time.Now())
		c.mu.Unlock()
		for key, version := range staleCrashers {
			// A conflict means that the first-ranked host of another data centre has already
			// deleted the record. After any other error, the next run tries again.
			_, _ = c.store.Delete(ctx, key, version)
		}
		for name, version := range staleHosts {
			// A conflict means that the host has returned.
			_, _ = c.store.Delete(ctx, record.Key{Kind: record.KindHost, Name: name}, version)
		}
	}
}
