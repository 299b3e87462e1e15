package control

import (
	"context"
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
	c.hooks.ShardMapsRead()
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
	mine := func(stored []byte) bool { return c.standsFor(key, stored) }
	_, err = c.store.Put(ctx, key, value, 0)
	var conflict *objects.ConflictError
	switch {
	case err == nil:
		return nil
	case !errors.As(err, &conflict):
		return err
	case mine(conflict.Current.Value):
		// An earlier try whose answer was lost, or an earlier life at the same place.
		return nil
	}
	_, err = objects.PutConfirmed(ctx, c.store, key, value, conflict.Current.Version, mine)
	return err
}

// standsFor says that a Host record in the platform does for this host: it tells of
// the same place, and was written so lately that nobody can be about to remove it. The
// start that it tells of may be an earlier one: hosts tell each other of theirs. A host
// that starts again soon so saves one call of four, and a fleet that lost its power as
// many calls as it has hosts.
func (c *Control) standsFor(key record.Key, stored []byte) bool {
	r, err := record.Parse(stored)
	if err != nil || r.Key != key {
		return false
	}
	h, ok := r.Spec.(*record.Host)
	if !ok {
		return false
	}
	age := time.Duration(int64(c.cfg.Incarnation)-int64(h.Incarnation)) * time.Millisecond
	return h.DC == c.cfg.DC && h.Peer == c.cfg.Peer && h.Admin == c.cfg.Admin && age >= 0 && age < janitorPatience
}

// hostListing is one Host record as the platform lists it.
type hostListing struct {
	name    string
	version int64
	*record.Host
}

// hostListings reads the Host records of a page, each once: 354 hosts that start at
// once read as many of them each. One that cannot be read names no host.
func hostListings(all []objects.Object) []hostListing {
	var out []hostListing
	for _, obj := range all {
		if obj.Kind != record.KindHost || obj.Deleted {
			continue
		}
		r, err := record.Parse(obj.Value)
		if err != nil {
			continue
		}
		if h, ok := r.Spec.(*record.Host); ok {
			out = append(out, hostListing{obj.Name, obj.Version, h})
		}
	}
	return out
}

// meet takes Host records: their addresses become seeds, and hosts not known
// yet are called. The caller holds the lock.
func (c *Control) meet(all []hostListing) {
	for _, l := range all {
		if l.name != c.cfg.Host {
			c.contacts.AddListed(l.name, l.DC, l.Peer, c.knows(l.name))
		}
	}
}
