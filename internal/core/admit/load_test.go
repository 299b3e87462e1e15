package admit

import (
	"container/heap"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// event is a scheduled callback of the simulation.
type event struct {
	at time.Time
	do func(now time.Time)
}

type eventHeap []event

func (h eventHeap) Len() int           { return len(h) }
func (h eventHeap) Less(i, j int) bool { return h[i].at.Before(h[j].at) }
func (h eventHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)        { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// outcome counts the requests by result.
type outcome struct{ sent, inTime, late, refusedOnArrival, refusedInQueue int }

// simulate offers requests with a mean service time of 400 ms to an instance with 4
// slots, at 9/s, which is just within its capacity, and at 22/s between seconds 5 and
// 15. The objective is 1.5 s and the deadline 8 s. Requests have an objective only if
// byObjective is true.
func simulate(byObjective bool) outcome {
	rng := rand.New(rand.NewPCG(7, 11))
	q := NewQueue(Config{Slots: 4, QueuePerSlot: 8, GrantTTL: time.Second})
	var events eventHeap
	var out outcome
	arrived := map[ID]time.Time{}
	var apply func(now time.Time, decisions []Decision, offered ID)
	apply = func(now time.Time, decisions []Decision, offered ID) {
		for _, d := range decisions {
			id := d.ID
			switch d.Action {
			case Start:
				service := time.Duration((0.2 + 0.4*rng.Float64()) * float64(time.Second))
				heap.Push(&events, event{now.Add(service), func(now time.Time) {
					if now.Sub(arrived[id]) <= 1500*time.Millisecond {
						out.inTime++
					} else {
						out.late++
					}
					apply(now, q.Done(now, id, service), 0)
				}})
			case Refuse:
				if id == offered {
					out.refusedOnArrival++
				} else {
					out.refusedInQueue++
				}
			}
		}
	}
	now := base
	for end := base.Add(25 * time.Second); now.Before(end); {
		rate := 9.0
		if s := now.Sub(base); s > 5*time.Second && s < 15*time.Second {
			rate = 22
		}
		now = now.Add(time.Duration(rng.ExpFloat64() / rate * float64(time.Second)))
		heap.Push(&events, event{now, func(now time.Time) {
			out.sent++
			r := Request{ID: ID(out.sent), Deadline: now.Add(8 * time.Second), ExpectedServiceTime: 400 * time.Millisecond, AllowLate: true}
			if byObjective {
				r.Objective = now.Add(1500 * time.Millisecond)
			}
			arrived[r.ID] = now
			apply(now, q.Offer(now, r), r.ID)
		}})
	}
	for tick := base; tick.Before(now); tick = tick.Add(20 * time.Millisecond) {
		heap.Push(&events, event{tick, func(now time.Time) { apply(now, q.Tick(now), 0) }})
	}
	for len(events) > 0 {
		e := heap.Pop(&events).(event)
		e.do(e.at)
	}
	return out
}

// In a burst of twice the capacity, a queue with objectives uses most of the capacity
// for requests that complete in time, and refuses the rest on arrival. A queue with
// deadlines only serves nearly as many requests, but late, and remains late after the
// burst.
func TestBurstIsServedWithinObjectiveOrRefusedOnArrival(t *testing.T) {
	byDeadline, byObjective := simulate(false), simulate(true)
	t.Logf("deadlines only: %+v; with objectives: %+v", byDeadline, byObjective)
	assert.Equal(t, byDeadline.sent, byObjective.sent)
	assert.Assert(t, byObjective.inTime > byDeadline.inTime*3/2)
	assert.Assert(t, byObjective.late < byDeadline.late/2)
	assert.Assert(t, byObjective.refusedInQueue < byObjective.refusedOnArrival)
}

func TestLateRequestIsRefusedUnlessAllowLate(t *testing.T) {
	q := NewQueue(Config{Slots: 1, QueuePerSlot: 4, GrantTTL: time.Second})
	r := Request{ID: 1, Deadline: base.Add(10 * time.Second), Objective: base.Add(time.Second), ExpectedServiceTime: 900 * time.Millisecond}
	assert.Equal(t, q.Offer(base, r)[0].Action, Start)
	r.ID = 2
	q.serviceTime = 900 * time.Millisecond
	d := q.Offer(base, r)[0]
	assert.Equal(t, d.Action, Refuse)
	assert.Assert(t, d.RetryAfter > 0)
	r.ID, r.AllowLate = 3, true
	assert.Equal(t, q.Offer(base, r)[0].Action, Wait)
	r.ID = 4
	assert.Equal(t, q.Offer(base, r)[0].Action, Refuse, "late requests beyond one per slot must be refused on arrival")
}

func TestRequestsWithinObjectiveRunBeforeLateOnesOfSamePriority(t *testing.T) {
	q := NewQueue(Config{Slots: 1, QueuePerSlot: 4, GrantTTL: time.Second})
	offer := func(id ID, priority uint8, objective time.Duration) {
		q.Offer(base, Request{
			ID: id, Priority: priority, AllowLate: true, ExpectedServiceTime: 100 * time.Millisecond,
			Deadline: base.Add(20 * time.Second), Objective: base.Add(objective),
		})
	}
	offer(1, 1, time.Minute)
	offer(2, 1, time.Second)
	offer(3, 1, 10*time.Second)
	offer(4, 0, 10*time.Second)
	now := base.Add(1500 * time.Millisecond)
	for _, want := range []ID{3, 2, 4} {
		started := q.Done(now, runningID(q), 100*time.Millisecond)
		assert.Equal(t, started[0].ID, want)
	}
}

func runningID(q *Queue) ID {
	for _, t := range q.Tickets() {
		if t.State == "running" {
			return t.ID
		}
	}
	return 0
}

// A short request with a near objective runs before longer requests that are waiting, so
// it must be queued and not refused. Calls made by an instance while it runs a request
// are of this kind, and a refused call makes that request fail.
func TestShortRequestWithNearObjectiveIsQueuedAheadOfLongOnes(t *testing.T) {
	q := NewQueue(Config{Slots: 4, QueuePerSlot: 8, GrantTTL: time.Second})
	q.serviceTime = 400 * time.Millisecond
	for id := range ID(12) {
		q.Offer(base, Request{
			ID: id + 1, ExpectedServiceTime: 400 * time.Millisecond,
			Deadline: base.Add(8 * time.Second), Objective: base.Add(1500 * time.Millisecond),
		})
	}
	assert.Equal(t, q.Queued(), 8)
	call := Request{ID: 20, ExpectedServiceTime: 80 * time.Millisecond, Deadline: base.Add(1200 * time.Millisecond), Objective: base.Add(300 * time.Millisecond)}
	assert.Equal(t, q.Offer(base, call)[0].Action, Wait)
	assert.Equal(t, q.Done(base.Add(100*time.Millisecond), 1, 400*time.Millisecond)[0].ID, call.ID)

	long := Request{ID: 21, ExpectedServiceTime: 400 * time.Millisecond, Deadline: base.Add(8 * time.Second), Objective: base.Add(1100 * time.Millisecond)}
	urgent := long
	urgent.ID, urgent.Priority, urgent.Objective = 22, 1, base.Add(1500*time.Millisecond)
	assert.Equal(t, q.Offer(base, long)[0].Action, Wait, "it runs before the requests with an objective of 1500 ms")
	for id := range ID(3) {
		more := long
		more.ID, more.Objective = 30+id, base.Add(1400*time.Millisecond)
		q.Offer(base, more)
	}
	assert.Equal(t, q.Offer(base, urgent)[0].Action, Wait, "a higher priority does not wait for lower ones")
}

// Under sustained overload, a waiting request is refused when its objective passes.
// Requests that can meet their objective run before it, so keeping it longer only delays
// the refusal: when late requests were kept for twice the objective of 2 s, refusals came
// after up to 4.02 s.
func TestLateRequestIsRefusedAtItsObjective(t *testing.T) {
	const objective, service, tick = 2 * time.Second, 500 * time.Millisecond, 20 * time.Millisecond
	q := NewQueue(Config{Slots: 2, QueuePerSlot: 8, GrantTTL: time.Second})
	arrived := map[ID]time.Time{}
	running := map[ID]time.Time{}
	longest := time.Duration(0)
	record := func(now time.Time, decisions []Decision) {
		for _, d := range decisions {
			switch d.Action {
			case Start:
				running[d.ID] = now
			case Refuse:
				longest = max(longest, now.Sub(arrived[d.ID]))
			}
		}
	}
	next := ID(0)
	for now := base; now.Before(base.Add(20 * time.Second)); now = now.Add(tick) {
		for id, since := range running {
			if now.Sub(since) >= service {
				delete(running, id)
				record(now, q.Done(now, id, service))
			}
		}
		// 25 requests per second, six times the capacity of the two slots.
		if now.Sub(base)%(2*tick) == 0 {
			next++
			arrived[next] = now
			record(now, q.Offer(now, Request{ID: next, Objective: now.Add(objective), Deadline: now.Add(8 * time.Second), ExpectedServiceTime: service, AllowLate: true}))
		}
		record(now, q.Tick(now))
	}
	t.Logf("longest wait before a refusal: %s", longest)
	assert.Assert(t, longest <= objective+2*tick, "%s", longest)
}
