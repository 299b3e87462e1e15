package control

import (
	"context"
	"log/slog"
	"time"

	"github.com/pkg/errors"

	"github.com/radishhoist/radishhoist/internal/event"
	"github.com/radishhoist/radishhoist/internal/objects"
	"github.com/radishhoist/radishhoist/internal/sleep"
	"github.com/radishhoist/radishhoist/record"
)

const (
	// watchPause is the least time between two watch calls: it bounds the
	// calls a burst of changes makes.
	watchPause = 200 * time.Millisecond
	// rankInterval is how often a host looks whether it is to watch.
	rankInterval = 500 * time.Millisecond
	// joining stands for a feed while the host joins the fleet.
	joining objects.Feed = "join"
)

// replicated are the kinds that are spread to every host.
var replicated = map[record.Kind]bool{
	record.KindService: true, record.KindRoute: true, record.KindTeam: true,
	record.KindStop: true, record.KindShardMap: true, record.KindConfiguration: true,
	record.KindCrasher: true,
}

// watch joins the fleet and then, while this host ranks among its data
// centre's watchers, follows the platform. The platform may be away for hours:
// nothing but this goroutine and those it starts waits for it.
func (c *Control) watch(ctx context.Context) {
	revision, ok := c.joinFleet(ctx)
	if !ok {
		return
	}
	positions := make(map[objects.Feed]*position)
	for _, feed := range c.store.Feeds() {
		positions[feed] = &position{revision: revision, listed: true}
	}
	for ctx.Err() == nil {
		if c.ranksAsWatcher() {
			c.follow(ctx, positions)
		}
		sleep.For(ctx, rankInterval)
	}
}

// joinFleet joins the fleet, however often the platform fails it; false where the context
// ended before.
func (c *Control) joinFleet(ctx context.Context) (int64, bool) {
	pace := pacer{max: c.cfg.MaxRetryInterval}
	for ctx.Err() == nil {
		began := time.Now()
		revision, err := c.join(ctx)
		if err == nil {
			c.platformBack(joining)
			return revision, true
		}
		c.pauseAfter(ctx, joining, &pace, began, err)
	}
	return 0, false
}

// position is how far one feed was followed.
type position struct {
	// revision is that of the last answer.
	revision int64
	// listed is false where the events after revision are no longer kept.
	listed bool
	// fresh says that the last answer was a list.
	fresh bool
}

// follow follows every feed by itself, so that none waits for a call of another,
// until this host ranks as watcher no more.
func (c *Control) follow(ctx context.Context, positions map[objects.Feed]*position) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ends := make(chan struct{}, len(positions))
	for feed, p := range positions {
		go func() {
			c.followFeed(ctx, feed, p)
			ends <- struct{}{}
		}()
	}
	for range positions {
		<-ends
		cancel()
	}
}

// followFeed keeps one feed's records up to date. After a failed call it goes on
// from where it was: what the platform still keeps needs no list.
func (c *Control) followFeed(ctx context.Context, feed objects.Feed, p *position) {
	pace := pacer{max: c.cfg.MaxRetryInterval}
	for ctx.Err() == nil && c.ranksAsWatcher() {
		began := time.Now()
		err := c.advance(ctx, feed, p, began)
		var compacted *objects.CompactedError
		if errors.As(err, &compacted) {
			p.listed = false
			if !p.fresh {
				// The platform answers; what was missed is in a new list.
				continue
			}
		}
		if err != nil {
			c.pauseAfter(ctx, feed, &pace, began, err)
			continue
		}
		pace.reset()
		c.platformBack(feed)
		if !p.fresh {
			sleep.For(ctx, watchPause)
		}
	}
}

// advance makes one call that begins now: a watch, or a list where there is nothing to
// watch from.
func (c *Control) advance(ctx context.Context, feed objects.Feed, p *position, now time.Time) error {
	if !p.listed {
		page, err := c.store.ListFeed(ctx, feed)
		if err != nil {
			return err
		}
		c.takeList(feed, page, now)
		p.revision, p.listed, p.fresh = page.Revision, true, true
		return nil
	}
	page, err := c.store.Watch(ctx, feed, p.revision, c.patience())
	if err != nil {
		return err
	}
	c.takeEvents(feed, page, now)
	p.revision, p.fresh = max(p.revision, page.Revision), false
	return nil
}

// pauseAfter waits after a failed call that began at a time: the pause counts from
// then, so that nothing is added to a call that has waited long by itself.
func (c *Control) pauseAfter(ctx context.Context, feed objects.Feed, pace *pacer, began time.Time, err error) {
	if ctx.Err() != nil {
		return
	}
	c.platformAway(feed, err)
	pause := max(pace.next()-time.Since(began), 0)
	event.Log(c.log, event.PlatformPause, slog.String("feed", string(feed)),
		slog.Int("failures", pace.failures), slog.Int64("pauseMS", pause.Milliseconds()))
	sleep.For(ctx, pause)
}

// platformAway notes that a feed's call failed.
func (c *Control) platformAway(feed objects.Feed, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.away) == 0 {
		event.Log(c.log, event.PlatformAway, slog.String("cause", err.Error()))
	}
	c.away[feed] = true
}

// platformBack notes that a feed's call was answered; the platform is back once all
// that had failed are.
func (c *Control) platformBack(feed objects.Feed) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.away[feed] {
		return
	}
	delete(c.away, feed)
	if len(c.away) == 0 {
		event.Log(c.log, event.PlatformBack)
	}
}
