package guard

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/radishhoist/radishhoist/internal/core/admit"
	"github.com/radishhoist/radishhoist/internal/core/header"
)

// newLimitedInstance returns an instance of a guard whose dialect has a rate limit.
func newLimitedInstance(t *testing.T, now time.Time) *instance {
	t.Helper()
	g := newTestGuard(t, "127.0.0.1:1")
	g.cfg.Dialect = header.Default()
	return newInstance(g, "n", Announcement{Service: "s", Address: "127.0.0.1:1", Slots: 8}, now)
}

// requestOf returns a request with the next ID and a distant deadline.
func requestOf(now time.Time, id *admit.ID) admit.Request {
	*id++
	return admit.Request{ID: *id, Deadline: now.Add(time.Hour)}
}

func limitHeader(value string) http.Header {
	h := http.Header{}
	if value != "" {
		h.Set(header.Default().RateLimit, value)
	}
	return h
}

func TestRateLimitAppliesUntilResponseWithoutIt(t *testing.T) {
	now := time.Now()
	i := newLimitedInstance(t, now)
	assert.Assert(t, !i.rateLimitKnown)
	i.observeRateLimit(now, now, limitHeader(""))
	assert.Equal(t, i.queue.RateLimitWait(now), time.Duration(0))
	i.observeRateLimit(now.Add(time.Second), now, limitHeader("2.5"))
	assert.Equal(t, i.queue.RateLimitWait(now.Add(time.Second)), 400*time.Millisecond)
	for _, invalid := range []string{"many", "-1", "NaN", "Inf"} {
		i.observeRateLimit(now.Add(time.Second), now, limitHeader(invalid))
		assert.Equal(t, i.rateLimit, 2.5)
	}
	i.observeRateLimit(now.Add(2*time.Second), now.Add(1500*time.Millisecond), limitHeader(""))
	assert.Equal(t, i.rateLimit, 0.0)
	assert.Equal(t, i.queue.RateLimitWait(now.Add(2*time.Second)), time.Duration(0))
}

func TestOvertakenResponseDoesNotLiftRateLimit(t *testing.T) {
	now := time.Now()
	i := newLimitedInstance(t, now)
	i.observeRateLimit(now.Add(time.Second), now, limitHeader("1"))
	i.observeRateLimit(now.Add(2*time.Second), now.Add(500*time.Millisecond), limitHeader(""))
	assert.Equal(t, i.rateLimit, 1.0)
}

func TestRateLimitOfZeroLetsSomeRequestsThrough(t *testing.T) {
	now := time.Now()
	i := newLimitedInstance(t, now)
	i.observeRateLimit(now, now, limitHeader("0"))
	i.queue.Offer(now, requestOf(now, &i.nextID))
	assert.Equal(t, i.queue.BusySlots(), 1)
	assert.Equal(t, i.queue.RateLimitWait(now), 10*time.Second)
}

// A process that has just started must not send many requests to an instance that stated a
// limit to the process before.
func TestFewRequestsBeforeFirstResponse(t *testing.T) {
	now := time.Now()
	i := newLimitedInstance(t, now)
	load := i.loadAt(now)
	assert.Equal(t, load.WaitingMS[3], uint32(0))
	for range 3 {
		i.queue.Offer(now, requestOf(now, &i.nextID))
	}
	assert.Equal(t, i.queue.BusySlots(), 3)
	i.queue.Offer(now, requestOf(now, &i.nextID))
	assert.Equal(t, i.queue.BusySlots(), 3)
	assert.Assert(t, i.loadAt(now).WaitingMS[0] > 0, "fronts must see the queued work")
	i.observeRateLimit(now, now, limitHeader(""))
	assert.Equal(t, i.queue.BusySlots(), 4)
}

// An instance that has just started has stated nothing to an earlier process.
func TestStartedInstanceGetsRequestsInAllSlots(t *testing.T) {
	now := time.Now()
	g := newTestGuard(t, "127.0.0.1:1")
	g.cfg.Dialect = header.Default()
	for sequence, known := range map[uint64]bool{0: false, 1: true, 2: true, 3: false} {
		i := newInstance(g, "n", Announcement{Service: "s", Address: "127.0.0.1:1", Slots: 8, Sequence: sequence}, now)
		assert.Equal(t, i.rateLimitKnown, known, "sequence %d", sequence)
		for range 8 {
			i.queue.Offer(now, requestOf(now, &i.nextID))
		}
		want := 3
		if known {
			want = 8
		}
		assert.Equal(t, i.queue.BusySlots(), want, "sequence %d", sequence)
	}
}
