package guard

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/radishhoist/radishhoist/internal/core/admit"
)

// saturate keeps ten requests waiting for 20 s at an instance of 8 slots that is four times as slow
// with more than 6 running requests, and returns it with the time at the end.
func saturate(t *testing.T, enabled bool) (*instance, time.Time) {
	g := newTestGuard(t, "127.0.0.1:1")
	g.cfg.LearnConcurrency, g.cfg.QueuePerSlot = enabled, 4
	now := time.Unix(1000, 0)
	i := newInstance(g, "n", Announcement{Service: "s", Address: "127.0.0.1:1", Slots: 8}, now)
	i.warmUpEnd = now
	const expected, step = 100 * time.Millisecond, 5 * time.Millisecond
	type request struct {
		id     admit.ID
		waiter *waiter
		ends   time.Time
	}
	var requests []*request
	for end := now.Add(20 * time.Second); now.Before(end); now = now.Add(step) {
		for len(requests) < 18 {
			r := &request{waiter: &waiter{}}
			r.id = i.offer(now, admit.Request{Deadline: now.Add(time.Hour), ExpectedServiceTime: expected}, r.waiter)
			requests = append(requests, r)
		}
		left := requests[:0]
		for n, r := range requests {
			select {
			case <-r.waiter.decisions:
				i.start(now, r.waiter, nil, nil)
				service := expected + time.Duration(n)*step
				if i.queue.BusySlots() > 6 {
					service *= 4
				}
				r.ends = now.Add(service)
			default:
			}
			if !r.ends.IsZero() && !now.Before(r.ends) {
				i.finish(now, r.id, result{serviceTime: now.Sub(r.waiter.started)})
				continue
			}
			left = append(left, r)
		}
		requests = left
		i.tick(now)
	}
	return i, now
}

// Guards against fronts that see free slots at an instance whose limit is reached, against a limit
// that outlives a change of the slots, and against any effect without the setting.
func TestLearnedLimitIsInForceAndInLoad(t *testing.T) {
	i, now := saturate(t, true)
	assert.Assert(t, i.concurrency.learned < 8 && i.state().SlotsWithheld > 0)
	assert.Assert(t, i.queue.BusySlots() < 8)
	load := i.loadAt(now)
	assert.Equal(t, load.Slots, uint32(8))
	assert.Equal(t, load.Running, uint32(i.queue.BusySlots()+i.state().SlotsWithheld))
	waiting := uint32(i.queue.QueuedWork()[0].Milliseconds())
	assert.Assert(t, waiting > 0 && load.WaitingMS[0] > waiting)
	i.refresh(now, Announcement{Slots: 4})
	assert.Equal(t, i.state().SlotsWithheld, 0)

	i, now = saturate(t, false)
	assert.Equal(t, i.state().SlotsWithheld, 0)
	assert.Equal(t, i.loadAt(now).Running, uint32(8))
}
