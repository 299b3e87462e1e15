package control

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/radishhoist/radishhoist/internal/objects"
	"github.com/radishhoist/radishhoist/record"
)

// join writes this host's record, then reads what there is: of two hosts that
// start at once, at least one sees the other. What it reads is the whole set,
// so that a fleet that starts anew need not wait for each other. It gives the revision from which the feeds are to be watched.
func (c *Control) join(ctx context.Context) (int64, error) {
	if err := c.writeSelf(ctx); err != nil {
		return 0, err
	}
	began := time.Now()
	page, err := c.store.List(ctx)
	if err != nil {
		return 0, err
	}
	c.takeWhole(page, began)
	c.publish(time.Now())
	// The maps are in force here now; only then may the guard promise.
	c.hooks.Synced()
	return page.Revision, nil
}

// writeSelf writes this host's record: as a new one first, which is the usual
// case and one call, else over what an earlier life has left.
func (c *Control) writeSelf(ctx context.Context) error {
	key := record.Key{Kind: record.KindHost, Name: c.cfg.Host}
	value, err := record.Marshal(key, &record.Host{DC: c.cfg.DC, Peer: c.cfg.Peer, Admin: c.cfg.Admin, Incarnation: c.cfg.Incarnation})
	if err != nil {
		return err
	}
	mine := func(stored []byte) bool { return string(stored) == string(value) }
	_, err = c.store.Put(ctx, key, value, 0)
	var conflict *objects.ConflictError
	switch {
	case err == nil:
		return nil
	case !errors.As(err, &conflict):
		return err
	case mine(conflict.Current.Value):
		// An earlier try whose answer was lost.
		return nil
	}
	_, err = objects.PutSettled(ctx, c.store, key, value, conflict.Current.Version, mine)
	return err
}

// meet takes Host records: their addresses become seeds, and hosts not known
// yet are called.
func (c *Control) meet(all []objects.Object) {
	for _, obj := range all {
		r, err := record.Parse(obj.Value)
		if err != nil || obj.Name == c.cfg.Host {
			continue
		}
		host, ok := r.Spec.(*record.Host)
		if !ok {
			continue
		}
		if !slices.Contains(c.seeds, host.Peer) {
			c.seeds = append(c.seeds, host.Peer)
		}
		if _, known := c.hosts[obj.Name]; !known {
			c.strangers[obj.Name] = stranger{addr: host.Peer}
		}
	}
}
