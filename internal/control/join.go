package control

import (
	"bytes"
	"context"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"github.com/radishhoist/radishhoist/internal/core/announce"
	"github.com/radishhoist/radishhoist/internal/objects"
	"github.com/radishhoist/radishhoist/internal/sleep"
	"github.com/radishhoist/radishhoist/record"
)

// Starting costs the platform little, since thousands of hosts may start at once: a host reads
// the addresses of the others from a list that may be seconds old, writes its own record only
// if there is none, and takes the records from a peer. Only the first hosts of each data
// centre, and hosts that no peer has served in time, read the records from the platform.
//
// A host that has a record has served before, and callers wait for it. It reads the records
// from the platform at once, and no other list: when all hosts restart together, the lists
// of all hosts that they read, each as long as the fleet is large, fill the platform's link.

const (
	// lonelyListings is the number of cached lists without another host after which a host
	// reads the current one. While a fleet is new, the cached list does not show those that
	// have just written their records.
	lonelyListings = 3
	// lonelyListInterval is the mean pause between these lists. It is random, so that hosts
	// that start together do not all read before the others have written.
	lonelyListInterval = 800 * time.Millisecond
	// peerRecordsTimeout is how long a new host waits for the records from its peers.
	peerRecordsTimeout = 2 * time.Second
	// peerRecordsMaxAge is the age up to which a peer's records count as current. The peer
	// reports the time since they were last known to be; it exceeds the longest wait of a
	// watch.
	peerRecordsMaxAge = 20 * time.Second
	// joinPollInterval is the interval at which a host checks whether it has the records.
	joinPollInterval = 20 * time.Millisecond
)

// join finds the other hosts, writes the Host record of this host unless a recent one is
// stored, and waits until this host has all records. It returns the revision from which to
// watch the feeds, 0 if the records came from a peer.
func (c *Control) join(ctx context.Context) (int64, error) {
	restarted, err := c.writeOwnRecord(ctx)
	if err != nil {
		return 0, err
	}
	if restarted {
		return c.readRecords(ctx)
	}
	feed := c.store.FeedOf(record.KindHost)
	page, err := c.store.ListCached(ctx, feed)
	if err != nil {
		return 0, err
	}
	c.addListedHosts(page)
	for n := 1; page.Cached && n < lonelyListings && c.lonely(); n++ {
		sleep.For(ctx, lonelyListInterval/2+time.Duration(rand.Int64N(int64(lonelyListInterval))))
		if page, err = c.store.ListCached(ctx, feed); err != nil {
			return 0, err
		}
		c.addListedHosts(page)
	}
	if !c.lonely() && !c.listedFirst() && c.awaitPeerRecords(ctx) {
		return 0, nil
	}
	return c.readRecords(ctx)
}

// readRecords reads all records from the platform and returns their revision. Because this
// host's own record is written before, at least one of two hosts that start at the same time
// sees the record of the other.
func (c *Control) readRecords(ctx context.Context) (int64, error) {
	began := time.Now()
	page, err := c.store.List(ctx)
	if err != nil {
		return 0, err
	}
	c.applyFullList(page, began)
	c.publish(time.Now())
	return page.Revision, nil
}

// addListedHosts adds the hosts of a list to the contacts.
func (c *Control) addListedHosts(page objects.Page) {
	all := hostListings(page.Objects)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.addHostRecords(all)
	c.addContacts(all)
}

// lonely reports whether no other host of this data centre is known or listed.
func (c *Control) lonely() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if local, _ := c.members.Live(); len(local) > 0 {
		return false
	}
	for host := range c.hostRecords {
		if host != c.cfg.Host {
			return false
		}
	}
	return true
}

// listedFirst reports whether this host is one of the first WatchersPerDC of its data centre
// by the list, in the order of rank. These hosts read the records from the platform, so that
// the others find them at a peer also if all hosts start at once.
func (c *Control) listedFirst() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	own, before := xxhash.Sum64String(c.cfg.Host), 0
	for host := range c.hostRecords {
		if xxhash.Sum64String(host) < own {
			before++
		}
	}
	return before < c.cfg.WatchersPerDC
}

// awaitPeerRecords waits until a peer has sent all records, current ones as far as it knows,
// and reports whether that was so in time. Replication requests them as long as they are
// missing.
func (c *Control) awaitPeerRecords(ctx context.Context) bool {
	// Hosts that start together should not all fall back to the platform together.
	timeout := peerRecordsTimeout + time.Duration(rand.Int64N(int64(peerRecordsTimeout/2)))
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	for !c.hasCurrentRecords() {
		if !sleep.For(ctx, joinPollInterval) {
			return false
		}
	}
	return true
}

// hasCurrentRecords reports whether this host has all records and a peer, or the platform,
// has confirmed them within peerRecordsMaxAge.
func (c *Control) hasCurrentRecords() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.replica.Complete() {
		return false
	}
	now := time.Now()
	for _, at := range c.confirmed.at {
		if at.IsZero() || now.Sub(at) > peerRecordsMaxAge {
			return false
		}
	}
	return true
}

// writeOwnRecord writes the Host record of this host. It first tries to create it, which
// usually succeeds and takes one call. Otherwise it replaces the record of an earlier
// process, unless that can be left in place.
func (c *Control) writeOwnRecord(ctx context.Context) (restarted bool, err error) {
	key, value, written, err := c.marshalOwnRecord()
	if err != nil {
		return false, err
	}
	isOwn := func(stored []byte) bool { return c.isCurrentOwnRecord(key, stored) }
	obj, err := c.store.Put(ctx, key, value, 0)
	var conflict *objects.ConflictError
	switch {
	case err == nil:
		c.ownRecordWritten(obj.Version, written)
		c.restoreDepartures(nil)
		return false, nil
	case !errors.As(err, &conflict):
		return false, err
	}
	c.adoptOwnRecord(conflict.Current)
	if isOwn(conflict.Current.Value) {
		// The record was written by an earlier attempt whose response was lost, or by an
		// earlier process at the same address.
		return true, nil
	}
	if key, value, written, err = c.marshalOwnRecord(); err != nil {
		return true, err
	}
	obj, err = objects.PutConfirmed(ctx, c.store, key, value, conflict.Current.Version, isOwn)
	if err == nil {
		if !bytes.Equal(obj.Value, value) {
			written = nil // the record of an earlier attempt is stored
		}
		c.ownRecordWritten(obj.Version, written)
	}
	return true, err
}

// marshalOwnRecord returns the Host record of this host, with the departures in it.
func (c *Control) marshalOwnRecord() (record.Key, []byte, []announce.Departure, error) {
	c.mu.Lock()
	listed := c.departures.node.All(time.Now())
	c.mu.Unlock()
	host := &record.Host{DC: c.cfg.DC, Peer: c.cfg.PeerAddr, Admin: c.cfg.AdminAddr, Incarnation: c.cfg.Incarnation}
	for _, d := range listed {
		host.Departures = append(host.Departures, toRecord(d))
	}
	key := record.Key{Kind: record.KindHost, Name: c.cfg.Host}
	value, err := record.Marshal(key, host)
	return key, value, listed, err
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
