package admit

import (
	"container/heap"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// moment is one thing that happens in a played load.
type moment struct {
	at time.Time
	do func(now time.Time)
}

type moments []moment

func (m moments) Len() int           { return len(m) }
func (m moments) Less(i, j int) bool { return m[i].at.Before(m[j].at) }
func (m moments) Swap(i, j int)      { m[i], m[j] = m[j], m[i] }
func (m *moments) Push(x any)        { *m = append(*m, x.(moment)) }
func (m *moments) Pop() any {
	old := *m
	last := old[len(old)-1]
	*m = old[:len(old)-1]
	return last
}

// outcome counts what callers got.
type outcome struct{ sent, inTime, late, refusedAtOnce, refusedLater int }

// play offers requests of 400 ms to an instance of 4 slots: 9 a second, which
// it can just serve, and 22 a second from second 5 to 15. Their objective is
// 1.5 s, their deadline 8 s. aimed says that fronts tell the objective.
func play(aimed bool) outcome {
	rng := rand.New(rand.NewPCG(7, 11))
	q := NewQueue(Config{Slots: 4, QueuePerSlot: 8, GrantLife: time.Second})
	var todo moments
	var out outcome
	arrived := map[ID]time.Time{}
	var settle func(now time.Time, decisions []Decision, offered ID)
	settle = func(now time.Time, decisions []Decision, offered ID) {
		for _, d := range decisions {
			id := d.ID
			switch d.Action {
			case Start:
				took := time.Duration((0.2 + 0.4*rng.Float64()) * float64(time.Second))
				heap.Push(&todo, moment{now.Add(took), func(now time.Time) {
					if now.Sub(arrived[id]) <= 1500*time.Millisecond {
						out.inTime++
					} else {
						out.late++
					}
					settle(now, q.Done(now, id, took), 0)
				}})
			case Refuse:
				if id == offered {
					out.refusedAtOnce++
				} else {
					out.refusedLater++
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
		heap.Push(&todo, moment{now, func(now time.Time) {
			out.sent++
			r := Request{ID: ID(out.sent), Deadline: now.Add(8 * time.Second), ExpectedService: 400 * time.Millisecond, AllowLate: true}
			if aimed {
				r.Objective = now.Add(1500 * time.Millisecond)
			}
			arrived[r.ID] = now
			settle(now, q.Offer(now, r), r.ID)
		}})
	}
	for tick := base; tick.Before(now); tick = tick.Add(20 * time.Millisecond) {
		heap.Push(&todo, moment{tick, func(now time.Time) { settle(now, q.Tick(now), 0) }})
	}
	for len(todo) > 0 {
		m := heap.Pop(&todo).(moment)
		m.do(m.at)
	}
	return out
}

// A burst of twice what an instance can serve: a queue that goes by the
// objective serves most of its capacity in time and refuses the rest at once;
// one that only knows the deadline serves nearly as many, but late, and goes on
// being late after the burst.
func TestABurstIsServedInTimeOrRefusedAtOnce(t *testing.T) {
	plain, aimed := play(false), play(true)
	t.Logf("by the deadline %+v, by the objective %+v", plain, aimed)
	assert.Equal(t, plain.sent, aimed.sent)
	assert.Assert(t, aimed.inTime > plain.inTime*3/2)
	assert.Assert(t, aimed.late < plain.late/2)
	assert.Assert(t, aimed.refusedLater < aimed.refusedAtOnce)
}

func TestAFrontThatCanChooseIsSentOnAtOnce(t *testing.T) {
	q := NewQueue(Config{Slots: 1, QueuePerSlot: 4, GrantLife: time.Second})
	r := Request{ID: 1, Deadline: base.Add(10 * time.Second), Objective: base.Add(time.Second), ExpectedService: 900 * time.Millisecond}
	assert.Equal(t, q.Offer(base, r)[0].Action, Start)
	r.ID = 2
	q.service = 900 * time.Millisecond
	d := q.Offer(base, r)[0]
	assert.Equal(t, d.Action, Refuse)
	assert.Assert(t, d.RetryAfter > 0)
	r.ID, r.AllowLate = 3, true
	assert.Equal(t, q.Offer(base, r)[0].Action, Wait)
	r.ID = 4
	assert.Equal(t, q.Offer(base, r)[0].Action, Refuse, "late work beyond a slot's worth only waits for a refusal")
}

func TestFeasibleWorkGoesBeforeLateWorkOfItsPriority(t *testing.T) {
	q := NewQueue(Config{Slots: 1, QueuePerSlot: 4, GrantLife: time.Second})
	offer := func(id ID, priority uint8, objective time.Duration) {
		q.Offer(base, Request{
			ID: id, Priority: priority, AllowLate: true, ExpectedService: 100 * time.Millisecond,
			Deadline: base.Add(20 * time.Second), Objective: base.Add(objective),
		})
	}
	offer(1, 1, time.Minute)
	offer(2, 1, time.Second)
	offer(3, 1, 10*time.Second)
	offer(4, 0, 10*time.Second)
	now := base.Add(1500 * time.Millisecond)
	for _, want := range []ID{3, 2, 4} {
		started := q.Done(now, started(q), 100*time.Millisecond)
		assert.Equal(t, started[0].ID, want)
	}
}

func started(q *Queue) ID {
	for _, t := range q.Tickets() {
		if t.State == "running" {
			return t.ID
		}
	}
	return 0
}

// A short request whose objective is near goes before the longer ones that
// wait, so that it is told that there is a place: an instance's own calls come
// so, and a call that finds no place fails the request that made it.
func TestShortWorkWithANearObjectiveFindsAPlaceInALongQueue(t *testing.T) {
	q := NewQueue(Config{Slots: 4, QueuePerSlot: 8, GrantLife: time.Second})
	q.service = 400 * time.Millisecond
	for id := range ID(12) {
		q.Offer(base, Request{
			ID: id + 1, ExpectedService: 400 * time.Millisecond,
			Deadline: base.Add(8 * time.Second), Objective: base.Add(1500 * time.Millisecond),
		})
	}
	assert.Equal(t, q.Queued(), 8)
	call := Request{ID: 20, ExpectedService: 80 * time.Millisecond, Deadline: base.Add(1200 * time.Millisecond), Objective: base.Add(300 * time.Millisecond)}
	assert.Equal(t, q.Offer(base, call)[0].Action, Wait)
	assert.Equal(t, q.Done(base.Add(100*time.Millisecond), 1, 400*time.Millisecond)[0].ID, call.ID)

	long := Request{ID: 21, ExpectedService: 400 * time.Millisecond, Deadline: base.Add(8 * time.Second), Objective: base.Add(1100 * time.Millisecond)}
	urgent := long
	urgent.ID, urgent.Priority, urgent.Objective = 22, 1, base.Add(1500*time.Millisecond)
	assert.Equal(t, q.Offer(base, long)[0].Action, Wait, "it goes before those that have until 1500 ms")
	for id := range ID(3) {
		more := long
		more.ID, more.Objective = 30+id, base.Add(1400*time.Millisecond)
		q.Offer(base, more)
	}
	assert.Equal(t, q.Offer(base, urgent)[0].Action, Wait, "a higher priority waits for none of these")
}

// Under lasting overload with work that is in time, one that is late is not held
// to be refused in the end: it hears at its objective. Held for as long again, 4.02 s
// were waited for a refusal.
func TestWhoIsLateIsNotHeldForARefusal(t *testing.T) {
	const objective, took, tick = 2 * time.Second, 500 * time.Millisecond, 20 * time.Millisecond
	q := NewQueue(Config{Slots: 2, QueuePerSlot: 8, GrantLife: time.Second})
	arrived := map[ID]time.Time{}
	running := map[ID]time.Time{}
	longest := time.Duration(0)
	take := func(now time.Time, decisions []Decision) {
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
			if now.Sub(since) >= took {
				delete(running, id)
				take(now, q.Done(now, id, took))
			}
		}
		// Six times what the two slots can serve.
		if now.Sub(base)%(2*tick) == 0 {
			next++
			arrived[next] = now
			take(now, q.Offer(now, Request{ID: next, Objective: now.Add(objective), Deadline: now.Add(8 * time.Second), ExpectedService: took, AllowLate: true}))
		}
		take(now, q.Tick(now))
	}
	t.Logf("the longest wait that was refused: %s", longest)
	assert.Assert(t, longest <= objective+2*tick, "%s", longest)
}
