package admit

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/radishhoist/radishhoist/verdict"
)

var base = time.Unix(1000, 0)

func newTestQueue(slots int) *Queue {
	return NewQueue(Config{Slots: slots, QueuePerSlot: 2, GrantTTL: time.Second})
}

func request(id ID, class uint32) Request {
	return Request{ID: id, Class: class, Deadline: base.Add(time.Hour)}
}

// For any sequence of operations, the slots are never exceeded, each request starts
// at most once, and a request that was refused or cancelled as not run never starts.
func TestQueueProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := newTestQueue(rapid.IntRange(1, 4).Draw(t, "slots"))
		now, next := base, ID(0)
		started, ended := map[ID]bool{}, map[ID]bool{}
		running := map[ID]bool{}
		record := func(ds []Decision) {
			for _, d := range ds {
				assert.Assert(t, !ended[d.ID], "decision for a request that has already ended")
				switch d.Action {
				case Start:
					assert.Assert(t, !started[d.ID])
					started[d.ID], running[d.ID] = true, true
				case Refuse:
					assert.Assert(t, !started[d.ID])
					ended[d.ID] = true
				}
			}
		}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 700).Draw(t, "ms")) * time.Millisecond)
			id := ID(rapid.IntRange(1, int(next)+1).Draw(t, "id"))
			switch rapid.IntRange(0, 4).Draw(t, "op") {
			case 0:
				next++
				r := request(next, uint32(rapid.IntRange(0, 3).Draw(t, "class")))
				r.Reserve = rapid.Bool().Draw(t, "reserve")
				r.Deadline = now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(t, "deadline")) * time.Millisecond)
				record(q.Offer(now, r))
			case 1:
				if d := q.Run(now, id); d.Action == Start {
					record([]Decision{d})
				}
			case 2:
				v, ds := q.Cancel(now, id)
				if v == verdict.NotRun {
					assert.Assert(t, !started[id])
					ended[id] = true
				}
				record(ds)
			case 3:
				if running[id] {
					delete(running, id)
					ended[id] = true
					record(q.Done(now, id, 10*time.Millisecond))
				}
			default:
				record(q.Tick(now))
			}
			assert.Assert(t, q.BusySlots() <= q.cfg.Slots && len(running) <= q.cfg.Slots)
			assert.Assert(t, q.Queued() <= q.cfg.Slots*q.cfg.QueuePerSlot)
			for p, work := range q.QueuedWork() {
				var sum time.Duration
				q.ranks[p].each(func(t *ticket) { sum += t.ExpectedServiceTime })
				assert.Equal(t, work, sum)
			}
		}
	})
}

func TestExpiredGrantCannotRun(t *testing.T) {
	q := newTestQueue(1)
	r := request(1, 0)
	r.Reserve = true
	assert.Equal(t, q.Offer(base, r)[0].Action, Grant)
	// No Tick has expired the grant, as after a suspension of the process.
	d := q.Run(base.Add(2*time.Second), 1)
	assert.Equal(t, d.Action, Refuse)
	assert.Equal(t, q.BusySlots(), 0)
}

func TestFloodOfOneTeamDoesNotStarveOthers(t *testing.T) {
	q := newTestQueue(2)
	id := ID(0)
	for range 50 {
		id++
		q.Offer(base, request(id, 1))
	}
	id++
	other := id
	ds := q.Offer(base, request(other, 2))
	assert.Equal(t, ds[0].Action, Wait, "a team without waiting requests was refused because another team filled the queue")
	assert.Equal(t, ds[1].Action, Refuse)
	q.Done(base, 1, time.Millisecond)
	started := q.Done(base, 2, time.Millisecond)
	ids := map[ID]bool{}
	for _, tk := range q.Tickets() {
		ids[tk.ID] = tk.State == "running"
	}
	assert.Assert(t, ids[other] || len(started) == 1 && started[0].ID == other, "the other team's request was not among the next two to start")
}

func TestRequestThatCannotMeetDeadlineIsRefusedOnArrival(t *testing.T) {
	q := newTestQueue(1)
	q.serviceTime = time.Second
	q.Offer(base, request(1, 0))
	late := request(2, 0)
	late.Deadline = base.Add(1500 * time.Millisecond)
	d := q.Offer(base, late)[0]
	assert.Equal(t, d.Action, Refuse)
	assert.Assert(t, d.RetryAfter >= time.Second)
}

func TestDrainRefusesNewAndKeepsRunning(t *testing.T) {
	q := newTestQueue(1)
	q.Offer(base, request(1, 0))
	q.Offer(base, request(2, 0))
	assert.Equal(t, q.Drain()[0].ID, ID(2))
	assert.Equal(t, q.Offer(base, request(3, 0))[0].Reason, verdict.ReasonDraining)
	assert.Assert(t, !q.Idle())
	q.Done(base, 1, time.Millisecond)
	assert.Assert(t, q.Idle())
}

// Revoke cancels unused grants and does not affect running and waiting requests.
func TestRevokedGrantsCannotRun(t *testing.T) {
	now := time.Unix(1000, 0)
	q := NewQueue(Config{Slots: 2, QueuePerSlot: 2, GrantTTL: time.Minute})
	deadline := now.Add(time.Hour)
	assert.Equal(t, q.Offer(now, Request{ID: 1, Deadline: deadline})[0].Action, Start)
	assert.Equal(t, q.Offer(now, Request{ID: 2, Deadline: deadline, Reserve: true})[0].Action, Grant)
	assert.Equal(t, q.Offer(now, Request{ID: 3, Deadline: deadline})[0].Action, Wait)
	revoked := q.Revoke()
	assert.Equal(t, len(revoked), 1)
	assert.Equal(t, revoked[0].ID, ID(2))
	assert.Equal(t, revoked[0].Action, Refuse)
	assert.Equal(t, q.Run(now, 2).Action, Refuse)
	assert.Equal(t, q.BusySlots(), 1)
	assert.Equal(t, q.Queued(), 1)
}

// Requests are ordered by team priority, and by route priority among equal team
// priorities. Without the second rule, high-priority routes queued behind low-priority
// ones as soon as all teams had the same priority.
func TestTeamPriorityOutranksRoutePriority(t *testing.T) {
	now := time.Unix(0, 0)
	q := NewQueue(Config{Slots: 1, QueuePerSlot: 8, GrantTTL: time.Second})
	offer := func(id ID, priority, subPriority uint8) {
		q.Offer(now, Request{ID: id, Priority: priority, SubPriority: subPriority, Deadline: now.Add(time.Minute), ExpectedServiceTime: time.Millisecond})
	}
	offer(1, 0, 0)
	offer(2, 2, 1)
	offer(3, 2, 3)
	offer(4, 1, 3)
	offer(5, 3, 0)
	offer(6, 2, 3)
	var order []ID
	for running := ID(1); ; running = order[len(order)-1] {
		started := q.Done(now, running, time.Millisecond)
		if len(started) == 0 {
			break
		}
		order = append(order, started[0].ID)
	}
	assert.DeepEqual(t, order, []ID{5, 3, 6, 2, 4})
}
