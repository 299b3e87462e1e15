package control

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"slices"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"github.com/radishhoist/radishhoist/internal/event"
	"github.com/radishhoist/radishhoist/internal/msg"
	"github.com/radishhoist/radishhoist/internal/objects"
	"github.com/radishhoist/radishhoist/record"
)

const (
	// watchPause is the least time between two watch calls: it bounds the
	// calls a burst of changes makes.
	watchPause = 200 * time.Millisecond
	// awayMin is the first jittered pause after a failed call; it doubles.
	awayMin = 250 * time.Millisecond
	// rankInterval is how often a host looks whether it is to watch.
	rankInterval = 500 * time.Millisecond
)

// replicated are the kinds that are spread to every host.
var replicated = map[record.Kind]bool{
	record.KindService: true, record.KindRoute: true, record.KindTeam: true,
	record.KindStop: true, record.KindShardMap: true, record.KindConfiguration: true,
}

// watch joins the fleet and then, while this host ranks among its data
// centre's watchers, follows the platform. The platform may be away for hours:
// nothing but this goroutine waits for it.
func (c *Control) watch(ctx context.Context) {
	joined := false
	pause := awayMin
	failures := 0
	for ctx.Err() == nil {
		var err error
		if !joined {
			err = c.join(ctx)
			joined = err == nil
		}
		if err == nil && c.ranksAsWatcher() {
			err = c.follow(ctx)
		}
		var compacted *objects.CompactedError
		if errors.As(err, &compacted) {
			// The platform answers; what was missed is in a new list.
			continue
		}
		if err == nil {
			pause, failures = awayMin, 0
			c.wait(ctx, rankInterval)
			continue
		}
		c.platformAway(err)
		failures++
		length := pause/2 + time.Duration(rand.Int64N(int64(pause)))
		event.Log(c.log, event.PlatformPause, slog.Int("failures", failures), slog.Int64("pauseMS", length.Milliseconds()))
		c.wait(ctx, length)
		pause = min(2*pause, c.cfg.AwayMax)
	}
}

func (c *Control) wait(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// join writes this host's record, then reads what there is: of two hosts that
// start at once, at least one sees the other. What it reads is the whole set,
// so that a fleet that starts anew need not wait for each other.
func (c *Control) join(ctx context.Context) error {
	if err := c.writeSelf(ctx); err != nil {
		return err
	}
	began := time.Now()
	page, err := c.store.List(ctx)
	if err != nil {
		return err
	}
	c.platformBack()
	c.load(page, began)
	c.publish(time.Now())
	// The maps are in force here now; only then may the guard promise.
	c.hooks.Synced()
	return nil
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

// ranksAsWatcher says whether this host is among the first few live hosts of
// its data centre, in an order that all compute alike. Where views differ, a
// few hosts more or less watch, which is harmless.
func (c *Control) ranksAsWatcher() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	watch := c.rank()+c.unmet() < c.cfg.WatchersPerDC
	if watch != c.watching {
		c.watching = watch
		e := event.WatchStopped
		if watch {
			e = event.WatchStarted
		}
		event.Log(c.log, e)
	}
	return watch
}

// backupPatience is how many times as long as the first watcher of a data centre
// the others leave a watch waiting: they hear of a change as soon, and spare calls;
// only where the platform holds a watch beyond its time the first must be sooner.
const backupPatience = 4

// patience is that of this host's watches.
func (c *Control) patience() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.rank() == 0 {
		return 1
	}
	return backupPatience
}

// rank is this host's place among the live hosts of its data centre.
func (c *Control) rank() int {
	near, _ := c.members.Live()
	own := xxhash.Sum64String(c.cfg.Host)
	before := 0
	for _, host := range near {
		if h, ok := c.hosts[host]; ok && h.Leaving {
			continue
		}
		if xxhash.Sum64String(host) < own {
			before++
		}
	}
	return before
}

// unmet counts, while this process is young, the hosts of its data centre that
// rank before it and that only the platform names so far: a fleet that starts as
// one would watch with every host. 24 hosts saved 78 calls of 363 in a minute.
func (c *Control) unmet() int {
	if time.Since(c.started) >= meetingTime {
		return 0
	}
	own := xxhash.Sum64String(c.cfg.Host)
	before := 0
	for host := range c.hostRecords {
		if _, known := c.hosts[host]; !known && xxhash.Sum64String(host) < own {
			before++
		}
	}
	return before
}

// meetingTime is how long hosts that start at once take to hear of each other,
// several times over.
const meetingTime = 2 * time.Second

// follow lists everything and then watches every feed, until a call fails, the
// platform has forgotten too much, or this host ranks as watcher no more.
func (c *Control) follow(ctx context.Context) error {
	began := time.Now()
	page, err := c.store.List(ctx)
	if err != nil {
		return err
	}
	c.platformBack()
	c.load(page, began)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	feeds := c.store.Feeds()
	ends := make(chan error, len(feeds))
	for _, feed := range feeds {
		go func() { ends <- c.followFeed(ctx, feed, page.Revision) }()
	}
	for range feeds {
		end := <-ends
		if ctx.Err() == nil {
			err = end
			cancel()
		}
	}
	return err
}

// followFeed watches one feed from a revision on.
func (c *Control) followFeed(ctx context.Context, feed objects.Feed, revision int64) error {
	for ctx.Err() == nil && c.ranksAsWatcher() {
		began := time.Now()
		page, err := c.store.Watch(ctx, feed, revision, c.patience())
		var compacted *objects.CompactedError
		if errors.As(err, &compacted) {
			return err
		}
		if err != nil {
			return err
		}
		c.takeEvents(feed, page, began)
		revision = max(revision, page.Revision)
		c.wait(ctx, watchPause)
	}
	return nil
}

// tellUnread logs the objects that another writer has left in the platform and
// that cannot be read, up to a rate.
func (c *Control) tellUnread(page objects.Page) {
	for _, err := range page.Unread {
		if leftOut, ok := c.unreadLines.Allow(time.Now()); ok {
			event.Log(c.log, event.RecordRefused, slog.String("cause", err.Error()), slog.Uint64("linesLeftOut", leftOut))
		}
	}
}

// load takes a list whose call began at a time: it has everything acknowledged by then.
func (c *Control) load(page objects.Page, began time.Time) {
	c.tellUnread(page)
	entries := toEntries(page.Objects)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.replica.LoadList(c.peers(), entries, page.Revision)
	c.dirty = true
	c.confirmed.noteAll(began, fromPlatform)
	c.noteHostRecords(page.Objects)
	c.meet(only(page.Objects, record.KindHost))
	c.flush(time.Now())
}

// takeEvents takes the answer of a watch that began at a time.
func (c *Control) takeEvents(feed objects.Feed, page objects.Page, began time.Time) {
	c.tellUnread(page)
	entries := toEntries(page.Objects)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.replica.Local(c.peers(), msg.SetRecords, entries)
	c.confirmed.note(feed, began, fromPlatform)
	c.noteHostRecords(page.Objects)
	c.meet(only(page.Objects, record.KindHost))
	c.flush(time.Now())
}

func only(all []objects.Object, kind record.Kind) []objects.Object {
	var out []objects.Object
	for _, obj := range all {
		if obj.Kind == kind && !obj.Deleted {
			out = append(out, obj)
		}
	}
	return out
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

func (c *Control) platformAway(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.away {
		c.away = true
		event.Log(c.log, event.PlatformAway, slog.String("cause", err.Error()))
	}
}

func (c *Control) platformBack() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.away {
		c.away = false
		event.Log(c.log, event.PlatformBack)
	}
}
