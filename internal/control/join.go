package control

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/radishhoist/radishhoist/internal/objects"
	"github.com/radishhoist/radishhoist/record"
)

// join writes the Host record of this host, then reads all records, and returns the
// revision from which to watch the feeds. Of two hosts that start at the same time, at
// least one sees the record of the other. Because the list is complete, hosts of a fleet
// that starts from scratch need not wait for each other.
func (c *Control) join(ctx context.Context) (int64, error) {
	if err := c.writeOwnRecord(ctx); err != nil {
		return 0, err
	}
	began := time.Now()
	page, err := c.store.List(ctx)
	if err != nil {
		return 0, err
	}
	c.applyFullList(page, began)
	c.publish(time.Now())
	// The shard maps have been applied. Until this call of keys.Manager.MarkSynced, this
	// host grants no leases.
	c.hooks.ShardMapsRead()
	return page.Revision, nil
}

// writeOwnRecord writes the Host record of this host. It first attempts to create it,
// which usually succeeds and takes one call, and otherwise replaces the record of an
// earlier process.
func (c *Control) writeOwnRecord(ctx context.Context) error {
	key := record.Key{Kind: record.KindHost, Name: c.cfg.Host}
	value, err := record.Marshal(key, &record.Host{DC: c.cfg.DC, Peer: c.cfg.Peer, Admin: c.cfg.Admin, Incarnation: c.cfg.Incarnation})
	if err != nil {
		return err
	}
	isOwn := func(stored []byte) bool { return c.isCurrentOwnRecord(key, stored) }
	_, err = c.store.Put(ctx, key, value, 0)
	var conflict *objects.ConflictError
	switch {
	case err == nil:
		return nil
	case !errors.As(err, &conflict):
		return err
	case isOwn(conflict.Current.Value):
		// Written by an earlier attempt whose response was lost, or by an earlier process
		// at the same address.
		return nil
	}
	_, err = objects.PutConfirmed(ctx, c.store, key, value, conflict.Current.Version, isOwn)
	return err
}

// isCurrentOwnRecord reports whether a stored Host record can be left in place: it has
// the addresses of this host and is too recent for another host to remove it: the process
// that wrote it started less than unknownHostRetention ago, and a record is removed only
// after its host has been unknown for that long. Its incarnation may be that of an earlier
// process, because hosts exchange the current incarnation directly. This saves one of four calls when a host restarts soon, and one
// call per host when a whole fleet restarts after a power failure.
func (c *Control) isCurrentOwnRecord(key record.Key, stored []byte) bool {
	r, err := record.Parse(stored)
	if err != nil || r.Key != key {
		return false
	}
	h, ok := r.Spec.(*record.Host)
	if !ok {
		return false
	}
	age := time.Duration(int64(c.cfg.Incarnation)-int64(h.Incarnation)) * time.Millisecond
	return h.DC == c.cfg.DC && h.Peer == c.cfg.Peer && h.Admin == c.cfg.Admin && age >= 0 && age < unknownHostRetention
}

// hostListing is a Host record listed by the platform.
type hostListing struct {
	name    string
	version int64
	*record.Host
}

// hostListings decodes the Host records of a page, each only once: when 354 hosts start
// at the same time, each of them reads 354 records. Records that cannot be decoded are
// skipped.
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

// addContacts adds the listed hosts to the contacts: their addresses become seeds, and
// hosts that are not known yet are called. The caller holds the lock.
func (c *Control) addContacts(all []hostListing) {
	for _, l := range all {
		if l.name != c.cfg.Host {
			c.contacts.AddListed(l.name, l.DC, l.Peer, c.isKnown(l.name))
		}
	}
}
