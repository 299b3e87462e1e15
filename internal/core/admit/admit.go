// Package admit decides, in one place and in order, which requests run at one
// instance: it grants slots, queues what can still meet its deadline, refuses
// the rest early, and cancels.
//
// A Queue has no clock and does no I/O: the caller passes the time in, holds
// the lock, and carries out the returned decisions. Because start and cancel
// pass through the same Queue, a request reported as not run can no longer
// start.
package admit

import (
	"cmp"
	"slices"
	"time"

	"github.com/radishhoist/radishhoist/verdict"
)

// ID names one request at the Queue; the caller never reuses one.
type ID uint64

// Request asks for a slot.
type Request struct {
	ID ID
	// Class is the fairness class of the caller's team.
	Class uint32
	// Priority is 0 to 3; higher runs first. SubPriority, 0 to 3 too, orders those of one
	// priority: that of the route where the caller's team has one of its own.
	Priority, SubPriority uint8
	// Deadline is when the caller stops waiting.
	Deadline time.Time
	// Objective is until when the answer is worth its whole value; zero means
	// until the deadline.
	Objective time.Time
	// ExpectedService is how long the request is expected to run; 0 where its front does
	// not know.
	ExpectedService time.Duration
	// AllowLate takes a place in the queue also where the answer would miss the
	// objective: the front has found no better one.
	AllowLate bool
	// Reserve holds the slot for a later Run in place of starting at once.
	Reserve bool
}

// Action is what the caller does with a request now.
type Action uint8

const (
	// Wait leaves the request in the queue.
	Wait Action = iota
	// Start runs the request now.
	Start
	// Grant tells the front that its slot is held.
	Grant
	// Refuse ends the request; it has not run and will not.
	Refuse
)

// Decision is the Queue's answer for one request.
type Decision struct {
	ID         ID
	Action     Action
	Reason     verdict.Reason
	RetryAfter time.Duration
}

// Config bounds a Queue.
type Config struct {
	// Slots is how many requests the instance runs at once.
	Slots int
	// QueuePerSlot bounds the waiting requests per slot.
	QueuePerSlot int
	// GrantLife is how long a granted slot waits for its Run.
	GrantLife time.Duration
}

// state is a request's place in its life.
type state uint8

const (
	waiting state = iota
	granted
	running
)

type ticket struct {
	Request
	state state
	// late says that it was expected to miss its objective when it was offered.
	late bool
	// expires is when a grant lapses.
	expires time.Time
}

// Priorities is the number of priorities, and of the ranks within each.
const Priorities = 4

// levels is the number of ranks in all.
const levels = Priorities * Priorities

// level is the request's rank: the priority, then the rank within it.
func (r *Request) level() int { return int(r.Priority)*Priorities + int(r.SubPriority) }

const (
	// initialService is the service time assumed before any is measured.
	initialService = 20 * time.Millisecond
	// serviceWeight is the weight of a new sample in the moving average.
	serviceWeight = 0.1
	// minRetryAfter is the least Retry-After of a refusal.
	minRetryAfter = 50 * time.Millisecond
)

// Queue is the admission state of one instance.
type Queue struct {
	cfg      Config
	tickets  map[ID]*ticket
	busy     int
	levels   [levels]level
	queued   int
	service  time.Duration
	draining bool
}

// NewQueue makes an empty Queue.
func NewQueue(cfg Config) *Queue {
	return &Queue{cfg: cfg, tickets: make(map[ID]*ticket), service: initialService}
}

// Running counts the requests that run or hold a granted slot.
func (q *Queue) Running() int { return q.busy }

// Queued counts the requests that wait.
func (q *Queue) Queued() int { return q.queued }

// Waiting is the work that waits at each priority, in the time of one slot.
func (q *Queue) Waiting() [Priorities]time.Duration {
	var out [Priorities]time.Duration
	for l := range q.levels {
		out[l/Priorities] += q.levels[l].work
	}
	return out
}

// Service is the moving average of the service time.
func (q *Queue) Service() time.Duration { return q.service }

// Ticket is one request that the Queue holds, for the state dump and tests.
type Ticket struct {
	ID ID
	// State is "waiting", "granted" or "running".
	State string
}

// String names the state.
func (s state) String() string { return [...]string{"waiting", "granted", "running"}[s] }

// Tickets lists the requests that the Queue holds, by ID.
func (q *Queue) Tickets() []Ticket {
	out := make([]Ticket, 0, len(q.tickets))
	for id, t := range q.tickets {
		out = append(out, Ticket{ID: id, State: t.state.String()})
	}
	slices.SortFunc(out, func(a, b Ticket) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// SetSlots changes the number of slots; requests that run are not touched.
func (q *Queue) SetSlots(now time.Time, slots int) []Decision {
	q.cfg.Slots = slots
	return q.fill(now, nil)
}

// Drain refuses all that waits and whatever comes later. Granted and running
// requests go on.
func (q *Queue) Drain() []Decision {
	q.draining = true
	var out []Decision
	for _, t := range q.takeAll() {
		out = append(out, q.refuse(t, verdict.ReasonDraining, 0))
	}
	return out
}

// Revoke takes back every slot that is granted and not used yet; no Run can use
// it any more.
func (q *Queue) Revoke() []Decision {
	var out []Decision
	for _, t := range q.tickets {
		if t.state == granted {
			q.busy--
			out = append(out, q.refuse(t, verdict.ReasonGrantExpired, 0))
		}
	}
	return out
}

// Resume undoes Drain, for a planned stop that was taken back.
func (q *Queue) Resume() { q.draining = false }

// Idle says that nothing runs, waits or holds a grant.
func (q *Queue) Idle() bool { return len(q.tickets) == 0 }

// Offer admits one request. The first decision is the request's own; others
// are for requests that had to give way.
func (q *Queue) Offer(now time.Time, r Request) []Decision {
	if q.draining {
		return []Decision{{ID: r.ID, Action: Refuse, Reason: verdict.ReasonDraining}}
	}
	r.Priority, r.SubPriority = min(r.Priority, Priorities-1), min(r.SubPriority, Priorities-1)
	if r.Objective.IsZero() {
		r.Objective = r.Deadline
	}
	if r.ExpectedService <= 0 {
		r.ExpectedService = q.service
	}
	t := &ticket{Request: r}
	if q.busy < q.cfg.Slots && q.queued == 0 {
		q.tickets[r.ID] = t
		return []Decision{q.seat(now, t)}
	}
	wait := q.expectedWait(now, t)
	end := now.Add(wait + r.ExpectedService)
	hopeless := end.After(r.Deadline)
	// A front that can still choose is sent on at once. Beyond a slot's worth
	// of late work, more of it would only wait for a refusal.
	if hopeless || t.late && (!r.AllowLate || q.countLate(now) >= q.cfg.Slots) {
		return []Decision{{ID: r.ID, Action: Refuse, Reason: verdict.ReasonQueueFull, RetryAfter: max(wait, minRetryAfter)}}
	}
	return q.enqueue(t, wait)
}

// enqueue makes a request wait. In a full queue the newest request of the
// class that waits most gives way, unless that class is the newcomer's own.
func (q *Queue) enqueue(t *ticket, wait time.Duration) []Decision {
	out := []Decision{{ID: t.ID, Action: Wait}}
	if q.queued >= q.cfg.Slots*q.cfg.QueuePerSlot {
		victim := q.longest(t)
		if victim == nil {
			return []Decision{{ID: t.ID, Action: Refuse, Reason: verdict.ReasonQueueFull, RetryAfter: max(wait, minRetryAfter)}}
		}
		q.levels[victim.level()].remove(victim)
		q.queued--
		out = append(out, q.refuse(victim, verdict.ReasonQueueFull, max(wait, minRetryAfter)))
	}
	q.tickets[t.ID] = t
	q.levels[t.level()].push(t)
	q.queued++
	return out
}

// Run uses up a grant. It answers Start, or Refuse where the grant has lapsed
// or never was: the clock is checked here again, because the caller may have
// slept since the grant.
func (q *Queue) Run(now time.Time, id ID) Decision {
	t, ok := q.tickets[id]
	if !ok || t.state != granted {
		return Decision{ID: id, Action: Refuse, Reason: verdict.ReasonGrantExpired}
	}
	if !now.Before(t.expires) {
		q.free(t)
		return Decision{ID: id, Action: Refuse, Reason: verdict.ReasonGrantExpired}
	}
	t.state = running
	return Decision{ID: id, Action: Start}
}

// Cancel gives a request up. It reports NotRun where the request had not
// started and now never will, MayHaveRun where it runs (the caller stops it
// and then calls Done), and the decisions for those that move up.
func (q *Queue) Cancel(now time.Time, id ID) (verdict.Verdict, []Decision) {
	t, ok := q.tickets[id]
	if !ok {
		// Refused or finished before; neither can start any more.
		return verdict.MayHaveRun, nil
	}
	switch t.state {
	case running:
		return verdict.MayHaveRun, nil
	case granted:
		q.free(t)
		return verdict.NotRun, q.fill(now, nil)
	default:
		q.levels[t.level()].remove(t)
		q.queued--
		delete(q.tickets, id)
		return verdict.NotRun, nil
	}
}

// Done frees the slot of a request that ran. service is its service time, 0
// where it says nothing about the instance's speed.
func (q *Queue) Done(now time.Time, id ID, service time.Duration) []Decision {
	t, ok := q.tickets[id]
	if !ok || t.state != running {
		return nil
	}
	if service > 0 {
		q.service += time.Duration(serviceWeight * float64(service-q.service))
	}
	q.free(t)
	return q.fill(now, nil)
}

// Tick lapses grants and drops waiting requests that can no longer meet their
// deadline. The caller ticks every few tens of milliseconds.
func (q *Queue) Tick(now time.Time) []Decision {
	var out []Decision
	for _, t := range q.tickets {
		if t.state == granted && !now.Before(t.expires) {
			q.free(t)
			out = append(out, Decision{ID: t.ID, Action: Refuse, Reason: verdict.ReasonGrantExpired})
		}
	}
	out = q.fill(now, out)
	for i := range q.levels {
		for _, t := range q.levels[i].lost(now) {
			q.levels[i].remove(t)
			q.queued--
			out = append(out, q.refuse(t, verdict.ReasonDeadline, q.service))
		}
	}
	return out
}

// fill seats waiting requests while slots are free.
func (q *Queue) fill(now time.Time, out []Decision) []Decision {
	for q.busy < q.cfg.Slots && q.queued > 0 {
		t := q.next(now)
		if now.Add(t.ExpectedService).After(t.Deadline) {
			out = append(out, q.refuse(t, verdict.ReasonDeadline, q.service))
			continue
		}
		out = append(out, q.seat(now, t))
	}
	return out
}

// seat gives a free slot to a request.
func (q *Queue) seat(now time.Time, t *ticket) Decision {
	q.busy++
	if t.Reserve {
		t.state = granted
		t.expires = now.Add(q.cfg.GrantLife)
		return Decision{ID: t.ID, Action: Grant}
	}
	t.state = running
	return Decision{ID: t.ID, Action: Start}
}

func (q *Queue) free(t *ticket) {
	delete(q.tickets, t.ID)
	q.busy--
}

func (q *Queue) refuse(t *ticket, reason verdict.Reason, retryAfter time.Duration) Decision {
	delete(q.tickets, t.ID)
	return Decision{ID: t.ID, Action: Refuse, Reason: reason, RetryAfter: retryAfter}
}
