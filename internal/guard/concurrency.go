package guard

import (
	"log/slog"
	"time"

	"github.com/radishhoist/radishhoist/internal/core/admit"
	"github.com/radishhoist/radishhoist/internal/core/concurrency"
	"github.com/radishhoist/radishhoist/internal/event"
)

// concurrencyLimit is the learned limit of an instance's running requests. limiter is nil without
// Config.LearnConcurrency.
type concurrencyLimit struct {
	limiter *concurrency.Limiter
	// learned is the limit that was logged last, and slots the number of slots that the queue uses.
	learned, slots int
}

func newConcurrencyLimit(enabled bool, slots int) concurrencyLimit {
	c := concurrencyLimit{learned: slots, slots: slots}
	if enabled {
		c.limiter = concurrency.New(slots)
	}
	return c
}

// resetConcurrency forgets the limit and sets the slots of the queue, after the number of slots has
// changed. The caller must hold i.mu.
func (i *instance) resetConcurrency(now time.Time) {
	i.concurrency.learned, i.concurrency.slots = i.slots, i.slots
	if i.concurrency.limiter != nil {
		i.concurrency.limiter.Reset(i.slots)
	}
	i.deliver(i.queue.SetSlots(now, i.slots))
}

// applyConcurrency sets the slots of the queue to the limit in force. An instance that warms up is
// not limited: it becomes faster by itself. The caller must hold i.mu.
func (i *instance) applyConcurrency(now time.Time) {
	c := &i.concurrency
	if c.limiter == nil {
		return
	}
	slots := c.limiter.Limit(now, i.queue.Queued() > 0 && !now.Before(i.warmUpEnd))
	if learned := c.limiter.Learned(); learned != c.learned {
		event.Log(i.guard.log, event.ConcurrencyLimitLearned, slog.String("instance", i.name), slog.String("service", i.service),
			slog.Int("limit", learned), slog.Int("was", c.learned), slog.Int("slots", i.slots))
		c.learned = learned
	}
	if slots != c.slots {
		c.slots = slots
		i.deliver(i.queue.SetSlots(now, slots))
	}
}

// endConcurrency records the end of a request that was sent to the instance. Requests that were
// aborted, or whose failure a call explains, say nothing about the instance's goodput. The caller
// must hold i.mu.
func (i *instance) endConcurrency(now time.Time, w *waiter, r result) {
	if i.concurrency.limiter == nil || w == nil || w.started.IsZero() {
		return
	}
	expected := w.expected
	if r.aborted || r.excused {
		expected = 0
	}
	i.concurrency.limiter.End(now, expected, r.serviceTime, !r.failed && !r.shed && !r.aborted && !r.excused)
}

// withheld returns the slots that the limit in force leaves free.
func (c *concurrencyLimit) withheld(slots int) int { return slots - c.slots }

// scaleLoad expresses the load in terms of the limit in force, for fronts of all builds, which know
// the instance's slots only. It returns the running requests with the slots that are not used, and
// lengthens waitingMS as much as the limit does.
func (c *concurrencyLimit) scaleLoad(slots, running int, waitingMS *[admit.Priorities]uint32) uint32 {
	if c.slots == slots {
		return uint32(running)
	}
	for p := range waitingMS {
		waitingMS[p] = uint32(uint64(waitingMS[p]) * uint64(slots) / uint64(max(c.slots, 1)))
	}
	return uint32(running + c.withheld(slots))
}
