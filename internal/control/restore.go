package control

import (
	"context"
	"log/slog"
	"time"

	"github.com/pkg/errors"

	"github.com/radishhoist/radishhoist/internal/core/config"
	"github.com/radishhoist/radishhoist/internal/event"
	"github.com/radishhoist/radishhoist/internal/msg"
	"github.com/radishhoist/radishhoist/internal/objects"
	"github.com/radishhoist/radishhoist/internal/sleep"
	"github.com/radishhoist/radishhoist/record"
)

// A platform that is restored from an earlier state has lost the records that were written
// last. The hosts still have them, and the watchers write them again: all but those that only
// others may write, and those that are stored in another state, unless that is certain to be
// an older one (see record.Supersedes).

const (
	// restoreInterval is how often a watcher looks for lost records.
	restoreInterval = time.Second
	// maxRestoredPerInterval limits the writes of one watcher.
	maxRestoredPerInterval = 20
)

// lostRecord is a record to write if the platform stores it in version ifVersion; 0 means that
// the platform does not have it.
type lostRecord struct {
	key       record.Key
	spec      record.Spec
	writer    string
	ifVersion int64
}

// restoreLost writes records again that the platform has lost, while this host is a watcher.
func (c *Control) restoreLost(ctx context.Context) {
	for sleep.For(ctx, restoreInterval) {
		for n, lost := range c.lostRecords() {
			if n == maxRestoredPerInterval || !c.restore(ctx, lost) {
				break
			}
		}
	}
}

// lostRecords returns the records that the platform has lost.
func (c *Control) lostRecords() []lostRecord {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.watching || !c.platformHistory.checkLost {
		return nil
	}
	lost := append(c.lostReplicated(), c.lostHostRecords()...)
	c.platformHistory.checkLost = len(lost) > 0
	return lost
}

// lostReplicated returns the lost records of replicated kinds: those in force from before the
// last restoration, although a list from after it has been read. The caller holds the lock.
func (c *Control) lostReplicated() []lostRecord {
	var out []lostRecord
	for key, r := range c.records.active {
		if objects.HistoryOf(r.Version) >= c.listedHistory(key.Kind) {
			continue
		}
		lost := lostRecord{key: key, spec: r.Spec, writer: r.Writer}
		e, ok := c.replica.Set(msg.SetRecords).Get(config.Key{Kind: string(key.Kind), Name: key.Name})
		if ok && e.Version != r.Version {
			lost.ifVersion = e.Version
		}
		out = append(out, lost)
	}
	return out
}

// lostHostRecords returns the records of live hosts of this data centre that are missing in the
// list read after the last restoration. The caller holds the lock.
func (c *Control) lostHostRecords() []lostRecord {
	if c.listedHistory(record.KindHost) == 0 {
		return nil
	}
	var out []lostRecord
	local, _ := c.members.Live()
	for _, name := range append(local, c.cfg.Host) {
		h, known := c.hosts[name]
		if _, stored := c.hostRecords[name]; stored || !known || h.Leaving {
			continue
		}
		out = append(out, lostRecord{
			key:  record.Key{Kind: record.KindHost, Name: name},
			spec: &record.Host{DC: h.DC, Peer: h.PeerAddr, Admin: h.AdminAddr, Incarnation: h.Incarnation},
		})
	}
	return out
}

// listedHistory returns the history of the last list of the feed that covers a kind. The caller
// holds the lock.
func (c *Control) listedHistory(kind record.Kind) int64 {
	return c.platformHistory.listed[c.store.FeedOf(kind)]
}

// restore writes a lost record and applies what is then stored. It returns false if the
// platform is not available.
func (c *Control) restore(ctx context.Context, lost lostRecord) bool {
	value, err := record.MarshalWithWriter(lost.key, lost.spec, lost.writer)
	if err != nil {
		return true
	}
	obj, err := c.store.Put(ctx, lost.key, value, lost.ifVersion)
	var conflict *objects.ConflictError
	switch {
	case err == nil:
		event.Log(c.log, event.RecordRestored, slog.String("record", lost.key.String()), slog.Int64("version", obj.Version))
		c.applyStored(obj)
	case errors.As(err, &conflict):
		if conflict.Current.Version != 0 {
			c.applyStored(conflict.Current)
		}
	case !errors.Is(err, objects.ErrReadOnly):
		return false
	}
	return true
}

// applyStored applies a stored object of any kind.
func (c *Control) applyStored(obj objects.Object) {
	if replicatedKinds[obj.Kind] {
		c.ApplyObject(obj)
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.addHostRecords(hostListings([]objects.Object{obj}))
}
