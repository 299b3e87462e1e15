package control

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/radishhoist/radishhoist/internal/objects"
	"github.com/radishhoist/radishhoist/record"
)

// join writes the Host record of this host, then reads all records. It returns the revision
// from which to watch the feeds. Because of this order, at least one of two hosts that start
// at the same time sees the record of the other. Because the list is complete, the hosts of
// a new fleet need not wait for each other.
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
	// The shard maps have been applied. The hook calls keys.Manager.MarkSynced, before which
	// this host grants no leases.
	c.hooks.ShardMapsRead()
	return page.Revision, nil
}

// writeOwnRecord writes the Host record of this host. It first tries to create it, which
// usually succeeds and takes one call. Otherwise it replaces the record of an earlier
// process, unless that can be left in place.
func (c *Control) writeOwnRecord(ctx context.Context) error {
	key := record.Key{Kind: record.KindHost, Name: c.cfg.Host}
	value, err := record.Marshal(key, &record.Host{DC: c.cfg.DC, Peer: c.cfg.PeerAddr, Admin: c.cfg.AdminAddr, Incarnation: c.cfg.Incarnation})
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
		// The record was written by an earlier attempt whose response was lost, or by an
		// earlier process at the same address.
		return nil
	}
	_, err = objects.PutConfirmed(ctx, c.store, key, value, conflict.Current.Version, isOwn)
	return err
}

// isCurrentOwnRecord reports whether a stored Host record can be left in place. It must have
// the addresses of this host and be too recent for another host to remove it: a record is
// removed once its host has been unknown for unknownHostRetention, so the process that wrote
// it must have started less than that before this one. The incarnation may be that of an
// earlier process, because hosts exchange the current one directly.
//
// This saves one of four calls when a host restarts soon after it stopped, and one call per
// host when a whole fleet restarts after a power failure.
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
	return h.DC == c.cfg.DC && h.Peer == c.cfg.PeerAddr && h.Admin == c.cfg.AdminAddr && age >= 0 && age < unknownHostRetention
}

// hostListing is a Host record in a response of the platform.
type hostListing struct {
	name    string
	version int64
	*record.Host
}

// hostListings decodes the Host records of a page and skips those that cannot be decoded.
// Each page is decoded only once, because each of 354 hosts that start at the same time
// reads 354 records.
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

// addContacts adds the listed hosts to the contacts. Their addresses become seeds, and hosts
// that are not known yet are called (see package contact). The caller holds the lock.
func (c *Control) addContacts(all []hostListing) {
	for _, l := range all {
		if l.name != c.cfg.Host {
			c.contacts.AddListed(l.name, l.DC, l.Peer, c.isKnown(l.name))
		}
	}
}
