package control

import (
	"log/slog"
	"sort"
	"time"

	"github.com/radishhoist/radishhoist/internal/core/config"
	"github.com/radishhoist/radishhoist/internal/event"
	"github.com/radishhoist/radishhoist/internal/msg"
	"github.com/radishhoist/radishhoist/internal/objects"
	"github.com/radishhoist/radishhoist/record"
)

// logUndecodable logs, at a limited rate, the stored objects that cannot be decoded, such
// as those of another writer.
func (c *Control) logUndecodable(page objects.Page) {
	for _, err := range page.Undecodable {
		if suppressed, ok := c.decodeErrorLimiter.Allow(time.Now()); ok {
			event.Log(c.log, event.RecordRefused, slog.String("cause", err.Error()), slog.Uint64("linesLeftOut", suppressed))
		}
	}
}

// applyFullList applies a list of all records. began is the start of the call; the list
// includes all writes acknowledged before it.
func (c *Control) applyFullList(page objects.Page, began time.Time) {
	decoded := decodePage(page)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.replica.LoadList(c.peers(), decoded.list(page), nil)
	c.dirty = true
	c.confirmed.confirmAll(began, platformSource)
	for _, feed := range c.store.Feeds() {
		c.observeList(feed, page)
	}
	c.applyPage(page, decoded.hosts)
}

// applyFeedList applies a list of the records of one feed. began is the start of the
// call.
func (c *Control) applyFeedList(feed objects.Feed, page objects.Page, began time.Time) {
	covers := func(kind string) bool { return c.store.FeedOf(record.Kind(kind)) == feed }
	decoded := decodePage(page)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.replica.LoadList(c.peers(), decoded.list(page), covers)
	c.dirty = true
	c.confirmed.confirm(feed, began, platformSource)
	c.observeList(feed, page)
	c.applyPage(page, decoded.hosts)
}

// applyWatchPage applies the response to a watch. began is the start of the call.
func (c *Control) applyWatchPage(feed objects.Feed, page objects.Page, began time.Time) {
	decoded := decodePage(page)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.replica.Publish(c.peers(), msg.SetRecords, decoded.entries)
	c.confirmed.confirm(feed, began, platformSource)
	c.applyPage(page, decoded.hosts)
}

// applyPage does what is common to all responses of the platform. The caller holds the
// lock.
func (c *Control) applyPage(page objects.Page, hosts []hostListing) {
	c.logUndecodable(page)
	c.observeHistory(page)
	c.forgetDeletedHostRecords(page.Objects)
	c.addHostRecords(hosts)
	c.addContacts(hosts)
	c.flush(time.Now())
}

// platformHistory is what is known of the platform's restorations from earlier states.
type platformHistory struct {
	// known reports that the platform has responded.
	known bool
	// number counts the restorations, and revision is the newest revision read since the last
	// one.
	number, revision int64
	// listed is the history of the last list of each feed.
	listed map[objects.Feed]int64
	// checkLost is set by a list from after a restoration until no lost record is left.
	checkLost bool
}

// observeList records that a feed has been listed. Host records that a list from after a
// restoration does not have are lost. The caller holds the lock.
func (c *Control) observeList(feed objects.Feed, page objects.Page) {
	h := &c.platformHistory
	if page.History > h.listed[feed] {
		h.checkLost = true
		if feed == c.store.FeedOf(record.KindHost) {
			clear(c.hostRecords)
		}
	}
	if h.listed == nil {
		h.listed = make(map[objects.Feed]int64)
	}
	h.listed[feed] = page.History
}

// observeHistory logs that the platform has been restored since its last response. The caller
// holds the lock.
func (c *Control) observeHistory(page objects.Page) {
	h := &c.platformHistory
	switch {
	case !h.known || page.History > h.number:
		if h.known {
			event.Log(c.log, event.PlatformRestored, slog.Int64("history", page.History), slog.Int64("was", h.number),
				slog.Int64("revision", page.Revision), slog.Int64("wasRevision", h.revision))
		}
		h.known, h.number, h.revision = true, page.History, page.Revision
	case page.History == h.number:
		h.revision = max(h.revision, page.Revision)
	}
}

// decodedPage is the decoded content of a page. Pages are decoded without the lock, because
// the time for parsing and compression grows with the fleet. Control messages wait for the
// lock, and requests on the same connection wait for these.
type decodedPage struct {
	entries []msg.Entry
	hosts   []hostListing
}

func decodePage(page objects.Page) decodedPage {
	return decodedPage{entries: toEntries(page.Objects), hosts: hostListings(page.Objects)}
}

// list returns the entries of a page that is a list.
func (d *decodedPage) list(page objects.Page) config.List {
	return config.List{Entries: d.entries, Revision: page.Revision, HistoryStart: objects.VersionAt(page.History, 0)}
}

func toEntries(all []objects.Object) []msg.Entry {
	var out []msg.Entry
	for _, obj := range all {
		if replicatedKinds[obj.Kind] {
			out = append(out, msg.Entry{Kind: string(obj.Kind), Name: obj.Name, Version: obj.Version, Deleted: obj.Deleted, Value: compress(obj.Value)})
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Version < out[j].Version })
	return out
}
