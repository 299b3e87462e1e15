package control

import (
	"context"
	"time"

	"github.com/radishhoist/radishhoist/internal/objects"
	"github.com/radishhoist/radishhoist/internal/sleep"
	"github.com/radishhoist/radishhoist/record"
)

const (
	// janitorInterval is how often the first watcher of a data centre looks
	// for Host records that nobody stands behind.
	janitorInterval = 10 * time.Minute
	// janitorPatience is how long a host must be unknown before its record is
	// removed. A host that comes back writes it anew.
	janitorPatience = time.Hour
)

// hostRecord is a Host record of this data centre.
type hostRecord struct {
	version int64
	// unknownSince is when its host was first found unknown.
	unknownSince time.Time
}

// noteHostRecords keeps the Host records of this data centre. The caller holds
// the lock.
func (c *Control) noteHostRecords(all []hostListing) {
	for _, l := range all {
		if l.DC == c.cfg.DC {
			c.hostRecords[l.name] = hostRecord{version: l.version}
		}
	}
}

// dropHostRecords takes the removal of Host records. The caller holds the lock.
func (c *Control) dropHostRecords(all []objects.Object) {
	for _, obj := range all {
		if obj.Kind == record.KindHost && obj.Deleted {
			delete(c.hostRecords, obj.Name)
		}
	}
}

// goneHosts lists the records to remove: of hosts that have been unknown for
// long, where this host is the first of its data centre. The caller holds the
// lock.
func (c *Control) goneHosts(now time.Time) map[string]int64 {
	out := make(map[string]int64)
	if c.rank() != 0 {
		return out
	}
	for name, r := range c.hostRecords {
		_, known := c.hosts[name]
		switch {
		case known:
			r.unknownSince = time.Time{}
		case r.unknownSince.IsZero():
			r.unknownSince = now
		case now.Sub(r.unknownSince) >= janitorPatience:
			out[name] = r.version
		}
		c.hostRecords[name] = r
	}
	return out
}

// sweepHosts removes the records of hosts that are gone for good and of requests that
// are forgotten, each on the condition that nobody has written it since.
func (c *Control) sweepHosts(ctx context.Context) {
	for ctx.Err() == nil {
		sleep.For(ctx, janitorInterval)
		c.mu.Lock()
		gone := c.goneHosts(time.Now())
		forgotten := c.forgottenCrashers(time.Now())
		c.mu.Unlock()
		for key, version := range forgotten {
			// A conflict means that another data centre's first host was sooner; what else
			// fails is tried in the next sweep.
			_, _ = c.store.Delete(ctx, key, version)
		}
		for name, version := range gone {
			// A conflict means that the host is back.
			_, _ = c.store.Delete(ctx, record.Key{Kind: record.KindHost, Name: name}, version)
		}
	}
}
