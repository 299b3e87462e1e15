package control

import (
	"context"
	"log/slog"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/radishhoist/radishhoist/internal/event"
	"github.com/radishhoist/radishhoist/internal/objects"
	"github.com/radishhoist/radishhoist/internal/sleep"
	"github.com/radishhoist/radishhoist/record"
)

const (
	// watchPause is the pause after a watch call. It limits the number of calls during a
	// burst of changes.
	watchPause = 200 * time.Millisecond
	// hostsWatchPause is the pause after a watch that returned only Host records. Hosts
	// that start write many of them in a row and make themselves known to the others.
	hostsWatchPause = 800 * time.Millisecond
	// rankCheckInterval is how often a host checks whether it should watch the platform.
	rankCheckInterval = 500 * time.Millisecond
	// joinFeed is used in logs and in failedFeeds while the host joins the fleet, which
	// makes calls for no particular feed.
	joinFeed objects.Feed = "join"
)

// replicatedKinds are the record kinds that are replicated to every host.
var replicatedKinds = map[record.Kind]bool{
	record.KindService: true, record.KindRoute: true, record.KindTeam: true,
	record.KindStop: true, record.KindShardMap: true, record.KindConfiguration: true,
	record.KindCrasher: true,
}

// watch joins the fleet, then follows the platform's feeds while this host is one of the
// watchers of its data centre. The platform may be unavailable for hours, so only this
// goroutine and those that it starts wait for it.
func (c *Control) watch(ctx context.Context) {
	revision, ok := c.joinWithRetry(ctx)
	if !ok {
		return
	}
	if revision == 0 {
		// While few hosts are known, this host would seem to be one of the first.
		sleep.For(ctx, discoveryTime-time.Since(c.started))
	}
	positions := make(map[objects.Feed]*feedPosition)
	for _, feed := range c.store.Feeds() {
		positions[feed] = &feedPosition{revision: revision, canWatch: revision > 0}
	}
	for ctx.Err() == nil {
		if c.shouldWatch() {
			c.followFeeds(ctx, positions)
		}
		c.awaitDuty(ctx)
	}
}

// awaitDuty waits for rankCheckInterval, or until this host is asked to watch in place of another.
func (c *Control) awaitDuty(ctx context.Context) {
	timer := time.NewTimer(rankCheckInterval)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-c.standbyChanged:
	case <-ctx.Done():
	}
}

// joinWithRetry calls join until it succeeds. It returns false if the context ends first.
func (c *Control) joinWithRetry(ctx context.Context) (int64, bool) {
	retry := backoff{max: c.cfg.MaxRetryInterval}
	for ctx.Err() == nil {
		began := time.Now()
		revision, err := c.join(ctx)
		if err == nil {
			c.markSucceeded(joinFeed)
			return revision, true
		}
		c.pauseAfterFailure(ctx, joinFeed, &retry, began, err)
	}
	return 0, false
}

// feedPosition is the position reached in a feed.
type feedPosition struct {
	// revision is the revision up to which the feed has been read.
	revision int64
	// canWatch is false if nothing has been read yet, or if the platform no longer has the
	// events after revision.
	canWatch bool
	// fromList is true if the last response was a list, and onlyHosts if it contained Host
	// records and nothing else.
	fromList, onlyHosts bool
	// resume is true if the last call failed, or if this host has not watched since. The
	// platform may have been restored since from an earlier state in which the feed has reached
	// the same revision again. A watch from there would only return with the next change, or at
	// the end of its wait.
	resume bool
}

// followFeeds follows all feeds until this host is no longer a watcher. Each feed has its own
// goroutine, so that a slow call for one does not delay the others.
func (c *Control) followFeeds(ctx context.Context, positions map[objects.Feed]*feedPosition) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ended := make(chan struct{}, len(positions))
	for feed, p := range positions {
		p.resume = true
		go func() {
			c.followFeed(ctx, feed, p)
			ended <- struct{}{}
		}()
	}
	for range positions {
		<-ended
		cancel()
	}
}

// followFeed keeps the records of one feed up to date. After a failed call it resumes at its
// position. A list is needed only if the platform has discarded the events after that.
func (c *Control) followFeed(ctx context.Context, feed objects.Feed, p *feedPosition) {
	retry := backoff{max: c.cfg.MaxRetryInterval}
	for ctx.Err() == nil && c.shouldWatch() {
		began := time.Now()
		err := c.fetch(ctx, feed, p, began)
		var compacted *objects.CompactedError
		if errors.As(err, &compacted) {
			p.canWatch = false
			if !p.fromList {
				// The platform is available, so list at once to get the missed changes.
				continue
			}
			// The events after the list just read have already been discarded. This counts as
			// a failure, because lists and watches could otherwise alternate without a pause.
		}
		p.resume = err != nil
		if err != nil {
			c.pauseAfterFailure(ctx, feed, &retry, began, err)
			continue
		}
		retry.reset()
		c.markSucceeded(feed)
		switch {
		case p.onlyHosts:
			sleep.For(ctx, hostsWatchPause)
		case !p.fromList:
			sleep.For(ctx, watchPause)
		}
	}
}

// fetch makes one call, started at now: a watch, or a list if the feed cannot be watched
// from its position.
func (c *Control) fetch(ctx context.Context, feed objects.Feed, p *feedPosition, now time.Time) error {
	if !p.canWatch {
		page, err := c.store.ListFeed(ctx, feed)
		if err != nil {
			return err
		}
		c.applyFeedList(feed, page, now)
		p.revision, p.canWatch, p.fromList, p.onlyHosts = page.Revision, true, true, false
		return nil
	}
	waitFactor := c.waitFactor()
	if p.resume {
		waitFactor = objects.NoWait
	}
	page, err := c.store.Watch(ctx, feed, p.revision, waitFactor)
	if err != nil {
		return err
	}
	c.applyWatchPage(feed, page, now)
	isOther := func(o objects.Object) bool { return o.Kind != record.KindHost }
	p.revision, p.fromList = max(p.revision, page.Revision), false
	p.onlyHosts = len(page.Objects) > 0 && !slices.ContainsFunc(page.Objects, isOther)
	return nil
}

// pauseAfterFailure waits after a failed call. The pause is measured from the start of the
// call, so that it is shorter or absent after a call that timed out.
func (c *Control) pauseAfterFailure(ctx context.Context, feed objects.Feed, retry *backoff, began time.Time, err error) {
	if ctx.Err() != nil {
		return
	}
	c.markFailed(feed, err)
	pause := max(retry.next()-time.Since(began), 0)
	event.Log(c.log, event.PlatformPause, slog.String("feed", string(feed)),
		slog.Int("failures", retry.failures), slog.Int64("pauseMS", pause.Milliseconds()))
	sleep.For(ctx, pause)
}

// markFailed records that a call for a feed failed.
func (c *Control) markFailed(feed objects.Feed, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.failedFeeds) == 0 {
		event.Log(c.log, event.PlatformUnavailable, slog.String("cause", err.Error()))
	}
	c.failedFeeds[feed] = true
	if feed != joinFeed {
		c.standby.Failed(time.Now())
		c.sendStandby()
	}
}

// markSucceeded records that a call for a feed succeeded. Once no feed is marked as failed,
// the platform is considered available again.
func (c *Control) markSucceeded(feed objects.Feed) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.failedFeeds[feed] {
		delete(c.failedFeeds, feed)
		if len(c.failedFeeds) == 0 {
			event.Log(c.log, event.PlatformAvailable)
		}
	}
	if feed == joinFeed {
		return
	}
	c.servedFeeds[feed] = true
	if len(c.failedFeeds) == 0 && len(c.servedFeeds) == len(c.store.Feeds()) {
		c.standby.Served()
		c.sendStandby()
	}
}
