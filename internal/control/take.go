package control

import (
	"log/slog"
	"sort"
	"time"

	"github.com/radishhoist/radishhoist/internal/event"
	"github.com/radishhoist/radishhoist/internal/msg"
	"github.com/radishhoist/radishhoist/internal/objects"
	"github.com/radishhoist/radishhoist/record"
)

// tellUnread logs the objects that another writer has left in the platform and
// that cannot be read, up to a rate.
func (c *Control) tellUnread(page objects.Page) {
	for _, err := range page.Undecodable {
		if leftOut, ok := c.unreadLines.Allow(time.Now()); ok {
			event.Log(c.log, event.RecordRefused, slog.String("cause", err.Error()), slog.Uint64("linesLeftOut", leftOut))
		}
	}
}

// takeWhole takes a list of everything whose call began at a time: it has all that
// was acknowledged by then.
func (c *Control) takeWhole(page objects.Page, began time.Time) {
	read := readPage(page)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.replica.LoadList(c.peers(), read.entries, page.Revision, nil)
	c.dirty = true
	c.confirmed.noteAll(began, fromPlatform)
	c.takePage(page, read.hosts)
}

// takeList takes a list of one feed whose call began at a time.
func (c *Control) takeList(feed objects.Feed, page objects.Page, began time.Time) {
	covers := func(kind string) bool { return c.store.FeedOf(record.Kind(kind)) == feed }
	read := readPage(page)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.replica.LoadList(c.peers(), read.entries, page.Revision, covers)
	c.dirty = true
	c.confirmed.note(feed, began, fromPlatform)
	c.takePage(page, read.hosts)
}

// takeEvents takes the answer of a watch that began at a time.
func (c *Control) takeEvents(feed objects.Feed, page objects.Page, began time.Time) {
	read := readPage(page)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.replica.Publish(c.peers(), msg.SetRecords, read.entries)
	c.confirmed.note(feed, began, fromPlatform)
	c.takePage(page, read.hosts)
}

// takePage does what every answer of the platform needs. The caller holds the lock.
func (c *Control) takePage(page objects.Page, hosts []hostListing) {
	c.tellUnread(page)
	c.dropHostRecords(page.Objects)
	c.noteHostRecords(hosts)
	c.meet(hosts)
	c.flush(time.Now())
}

// pageContent is what a page of the platform holds. It is read without the lock, for
// which the messages of other hosts wait, and the requests behind them: parsing and
// packing take the longer the larger the fleet is.
type pageContent struct {
	entries []msg.Entry
	hosts   []hostListing
}

func readPage(page objects.Page) pageContent {
	return pageContent{entries: toEntries(page.Objects), hosts: hostListings(page.Objects)}
}

func toEntries(all []objects.Object) []msg.Entry {
	var out []msg.Entry
	for _, obj := range all {
		if replicated[obj.Kind] {
			out = append(out, msg.Entry{Kind: string(obj.Kind), Name: obj.Name, Version: obj.Version, Deleted: obj.Deleted, Value: pack(obj.Value)})
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Version < out[j].Version })
	return out
}
