package admit

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/radishhoist/radishhoist/verdict"
)

// For any sequence of operations, no more requests start in any span than the burst and the
// rate allow. Grants that are not used take nothing from it.
func TestStartsStayWithinRateLimit(t *testing.T) { rapid.Check(t, checkStarts(false)) }

// The same, for an instance that restarts.
func TestStartsStayWithinRateLimitAcrossRestarts(t *testing.T) { rapid.Check(t, checkStarts(true)) }

func checkStarts(restarts bool) func(*rapid.T) {
	lastOp := 4
	if restarts {
		lastOp = 5
	}
	return func(t *rapid.T) {
		q := newTestQueue(rapid.IntRange(1, 8).Draw(t, "slots"))
		limit := RateLimit{PerSecond: rapid.Float64Range(0.2, 20).Draw(t, "rate")}
		limit.Burst = max(limit.PerSecond, 1)
		now, next := base, ID(0)
		q.SetRateLimit(now, limit)
		var starts []time.Time
		record := func(ds []Decision) {
			for _, d := range ds {
				if d.Action == Start {
					starts = append(starts, now)
				}
			}
		}
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond)
			id := ID(rapid.IntRange(1, int(next)+1).Draw(t, "id"))
			switch rapid.IntRange(0, lastOp).Draw(t, "op") {
			case 0, 1:
				next++
				r := request(next, 0)
				r.Reserve = rapid.Bool().Draw(t, "reserve")
				record(q.Offer(now, r))
			case 2:
				record([]Decision{q.Run(now, id)})
			case 3:
				_, ds := q.Cancel(now, id)
				record(ds)
				record(q.Done(now, id, 0))
			case 4:
				record(q.Tick(now))
			case 5:
				q.Revoke()
			}
		}
		for a := range starts {
			for b := a; b < len(starts); b++ {
				span := starts[b].Sub(starts[a])
				assert.Assert(t, float64(b-a+1) <= limit.Burst+limit.PerSecond*span.Seconds()+2*tokenTolerance)
			}
		}
	}
}

// Guards against a grant that is returned after the bucket has filled again and so lifts the
// tokens above the burst, or restores a token that the full bucket would not have held.
func TestReturnedGrantDoesNotExceedBurst(t *testing.T) {
	for _, startsBefore := range []ID{0, 1} {
		q := newTestQueue(4)
		q.SetRateLimit(base, RateLimit{PerSecond: 0.5, Burst: 1})
		now := base.Add(2 * time.Second)
		r := request(1, 0)
		r.Reserve = true
		assert.Equal(t, q.Offer(now, r)[0].Action, Grant)
		now = now.Add(2 * time.Second)
		started := ID(0)
		for id := range startsBefore {
			if q.Offer(now, request(10+id, 0))[0].Action == Start {
				started++
			}
		}
		_, ds := q.Cancel(now, 1)
		for _, d := range ds {
			if d.Action == Start {
				started++
			}
		}
		for id := ID(2); id < 6; id++ {
			if q.Offer(now, request(id, 0))[0].Action == Start {
				started++
			}
		}
		assert.Equal(t, started, ID(1))
	}
}

func TestExpiredGrantReturnsItsStart(t *testing.T) {
	q := newTestQueue(4)
	q.SetRateLimit(base, RateLimit{PerSecond: 0.5, Burst: 1})
	now := base.Add(2 * time.Second)
	r := request(1, 0)
	r.Reserve = true
	assert.Equal(t, q.Offer(now, r)[0].Action, Grant)
	now = now.Add(time.Second)
	q.Tick(now)
	assert.Equal(t, q.Offer(now, request(2, 0))[0].Action, Start)
}

// A request that cannot start in time is refused at once, with the time until its turn.
func TestRateLimitedRequestIsRefusedAtOnce(t *testing.T) {
	q := newTestQueue(4)
	q.SetRateLimit(base, RateLimit{PerSecond: 0.5, Burst: 1})
	r := request(1, 0)
	r.Deadline = base.Add(time.Second)
	d := q.Offer(base, r)[0]
	assert.Equal(t, d.Action, Refuse)
	assert.Equal(t, d.Reason, verdict.ReasonTargetLimit)
	assert.Equal(t, d.RetryAfter, 2*time.Second)
	r = request(2, 0)
	r.Deadline = base.Add(5 * time.Second)
	assert.Equal(t, q.Offer(base, r)[0].Action, Wait)
	assert.Equal(t, q.RateLimitWait(base), 4*time.Second)
	assert.Equal(t, len(q.Tick(base.Add(1900*time.Millisecond))), 0)
	assert.Equal(t, q.Tick(base.Add(2 * time.Second))[0].Action, Start)
}

func TestLiftedRateLimitStartsWaitingRequests(t *testing.T) {
	q := newTestQueue(2)
	q.SetRateLimit(base, RateLimit{PerSecond: 0.5, Burst: 1})
	for id := range ID(2) {
		assert.Equal(t, q.Offer(base, request(id, 0))[0].Action, Wait)
	}
	assert.Equal(t, len(q.SetRateLimit(base, RateLimit{})), 2)
}

// Guards against the refusal of requests that arrive together at an instance of which the next
// response will show that it has no limit.
func TestProvisionalLimitQueuesRequests(t *testing.T) {
	q := NewQueue(Config{Slots: 4, QueuePerSlot: 4, RateLimit: RateLimit{PerSecond: 0.5, Burst: 3, Provisional: true}})
	started := 0
	for id := range ID(12) {
		r := request(id, 0)
		r.Deadline = base.Add(time.Second)
		switch d := q.Offer(base, r)[0]; d.Action {
		case Start:
			started++
		default:
			assert.Equal(t, d.Action, Wait, "request %d", id)
		}
	}
	assert.Equal(t, started, 3)
	assert.Equal(t, q.RateLimitWait(base), time.Duration(0))
	assert.Equal(t, len(q.Done(base, 0, 0)), 0, "a slot alone starts no further request")
	assert.Equal(t, len(q.SetRateLimit(base, RateLimit{})), 2)
}
