// Package admit implements the admission control of one instance of a service. It
// assigns slots, queues requests that can still meet their deadline, refuses the others
// early, and handles cancellation. A slot is the capacity to run one request. A caller is
// the client that sends a request. A front is a proxy on the caller's side, which selects an
// instance and sends it the request.
//
// A Queue does not read the clock and does no I/O. The calling code passes in the time,
// serializes its calls, and carries out the returned decisions. Because the same
// Queue decides whether a request starts and whether it is cancelled, a request
// reported as not run can no longer start.
package admit

import (
	"cmp"
	"slices"
	"time"

	"github.com/radishhoist/radishhoist/verdict"
)

// ID identifies a request at a Queue. The calling code must not reuse IDs.
type ID uint64

// Request is a request for a slot.
type Request struct {
	ID ID
	// Class is the fairness class of the caller's team. It is not used with
	// Config.FairShares.
	Class uint32
	// Team is the hash of the team's name, the empty name for none, and Weight the weight in the
	// division of slots; 0 stands for 1. They are used with Config.FairShares only.
	Team   uint32
	Weight float64
	// Priority is 0 to 3; higher runs first. SubPriority, also 0 to 3, orders requests
	// of equal Priority. The front sets SubPriority to the priority of the matched route,
	// and Priority to that of the caller's team, or of the route if the team defines none.
	Priority, SubPriority uint8
	// Deadline is the time at which the caller stops waiting.
	Deadline time.Time
	// Objective is the time by which the request must complete to meet its latency
	// objective. Among waiting requests of equal priorities, those that can still meet it
	// run first, and a request that is still waiting when it has passed is refused. The
	// zero value stands for Deadline.
	Objective time.Time
	// ExpectedServiceTime is 0 if the front does not know it; the Queue then assumes its
	// mean service time.
	ExpectedServiceTime time.Duration
	// AllowLate allows the request to be queued even if it is expected to miss its
	// objective. A front sets it when it has no better instance to try.
	AllowLate bool
	// Reserve requests a grant instead of an immediate start. A grant reserves a slot,
	// which a later Run uses.
	Reserve bool
}

// Action is what the calling code must do with a request.
type Action uint8

const (
	// Wait keeps the request queued.
	Wait Action = iota
	// Start runs the request now.
	Start
	// Grant informs the front that a slot is reserved for the request.
	Grant
	// Refuse ends the request, which has not run and will not run.
	Refuse
)

// Decision is the outcome for one request.
type Decision struct {
	ID         ID
	Action     Action
	Reason     verdict.Reason
	RetryAfter time.Duration
}

// Config holds the limits of a Queue.
type Config struct {
	// Slots is the number of requests the instance runs concurrently.
	Slots int
	// QueuePerSlot is the maximum number of waiting requests per slot.
	QueuePerSlot int
	// GrantTTL is how long a grant remains valid if it is not used by a Run.
	GrantTTL time.Duration
	// RateLimit is the initial rate limit, of which the whole burst is available.
	RateLimit RateLimit
	// FairShares divides the slot time within a rank among teams by weight, in place of the
	// round robin of classes.
	FairShares bool
	// KeepLate keeps a waiting request that was expected to miss its objective when offered
	// until its deadline. Without it, Tick refuses it once the objective has passed.
	KeepLate bool
}

// state is the lifecycle state of a queued or admitted request.
type state uint8

const (
	waiting state = iota
	granted
	running
)

// ticket is the Queue's record of one request; TicketInfo is the exported description of it.
type ticket struct {
	Request
	state state
	// late reports that the request was expected to miss its objective when offered.
	late bool
	// expires is the time at which the grant expires.
	expires time.Time

	// fair is nil without Config.FairShares.
	fair *fairTicket
}

// Priorities is the number of values of Request.Priority and of Request.SubPriority.
const Priorities = 4

// rankCount is the number of combinations of Priority and SubPriority.
const rankCount = Priorities * Priorities

// rank orders requests by Priority, then by SubPriority.
func (r *Request) rank() int { return int(r.Priority)*Priorities + int(r.SubPriority) }

const (
	// initialServiceTime is the assumed service time until one has been measured.
	initialServiceTime = 20 * time.Millisecond
	// serviceTimeWeight is the weight of a new sample in the moving average of the
	// service time.
	serviceTimeWeight = 0.1
	// minRetryAfter is the minimum Retry-After of a refusal with ReasonQueueFull.
	minRetryAfter = 50 * time.Millisecond
)

// Queue is the admission state of one instance.
type Queue struct {
	cfg         Config
	tickets     map[ID]*ticket
	busy        int
	ranks       [rankCount]rankQueue
	queued      int
	serviceTime time.Duration
	rateLimit   tokenBucket
	draining    bool
	// fair is nil without Config.FairShares.
	fair *fairOrder
}

// NewQueue returns an empty Queue.
func NewQueue(cfg Config) *Queue {
	q := &Queue{
		cfg: cfg, tickets: make(map[ID]*ticket), serviceTime: initialServiceTime,
		rateLimit: tokenBucket{limit: cfg.RateLimit, tokens: cfg.RateLimit.Burst},
	}
	if cfg.FairShares {
		q.fair = newFairOrder()
	}
	return q
}

// advance sets the current time of the shares of the teams.
func (q *Queue) advance(now time.Time) {
	if q.fair != nil {
		q.fair.advance(now)
	}
}

// BusySlots returns the number of slots in use, by running requests or by grants.
func (q *Queue) BusySlots() int { return q.busy }

// Queued returns the number of waiting requests.
func (q *Queue) Queued() int { return q.queued }

// QueuedWork returns, per priority, the sum of the expected service times of the
// waiting requests.
func (q *Queue) QueuedWork() [Priorities]time.Duration {
	var out [Priorities]time.Duration
	for rank := range q.ranks {
		out[rank/Priorities] += q.ranks[rank].work
	}
	return out
}

// MeanServiceTime returns the moving average of the service time.
func (q *Queue) MeanServiceTime() time.Duration { return q.serviceTime }

// TicketInfo describes a request held by the Queue, for state dumps and tests.
type TicketInfo struct {
	ID ID
	// State is "waiting", "granted" or "running".
	State string
}

func (s state) String() string { return [...]string{"waiting", "granted", "running"}[s] }

// Tickets returns the requests held by the Queue, sorted by ID.
func (q *Queue) Tickets() []TicketInfo {
	out := make([]TicketInfo, 0, len(q.tickets))
	for id, t := range q.tickets {
		out = append(out, TicketInfo{ID: id, State: t.state.String()})
	}
	slices.SortFunc(out, func(a, b TicketInfo) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// SetSlots changes the number of slots. Running requests are not affected.
func (q *Queue) SetSlots(now time.Time, slots int) []Decision {
	q.advance(now)
	q.cfg.Slots = slots
	return q.assignFreeSlots(now, nil)
}

// Drain refuses all waiting and future requests. Granted and running requests
// are not affected.
func (q *Queue) Drain() []Decision {
	q.draining = true
	var out []Decision
	for _, t := range q.popAll() {
		out = append(out, q.refuse(t, verdict.ReasonDraining, 0))
	}
	return out
}

// Revoke cancels all unused grants, after a restart of the instance. A later Run with any of
// them is refused. The released slots are not assigned to waiting requests: the guard, the
// proxy on the instance's side, drains the Queue of a restarted instance first.
func (q *Queue) Revoke() []Decision {
	var out []Decision
	for _, t := range q.tickets {
		if t.state == granted {
			q.releaseSlot(t)
			out = append(out, q.refuse(t, verdict.ReasonGrantExpired, 0))
		}
	}
	return out
}

// Resume accepts requests again after Drain. The guard calls it when no reason to refuse
// requests is left: the instance does not announce that it is leaving, no planned stop is
// recorded for it, and it has not terminated.
func (q *Queue) Resume() { q.draining = false }

// Idle reports whether the Queue holds no running, waiting or granted requests.
func (q *Queue) Idle() bool { return len(q.tickets) == 0 }

// Offer submits a request. The first decision is for the request itself; the others are for
// a request evicted to make room for it and, with Config.FairShares, for requests behind it
// that would now start too late.
func (q *Queue) Offer(now time.Time, r Request) []Decision {
	q.advance(now)
	if q.draining {
		return []Decision{{ID: r.ID, Action: Refuse, Reason: verdict.ReasonDraining}}
	}
	r.Priority, r.SubPriority = min(r.Priority, Priorities-1), min(r.SubPriority, Priorities-1)
	if r.Objective.IsZero() {
		r.Objective = r.Deadline
	}
	if r.ExpectedServiceTime <= 0 {
		r.ExpectedServiceTime = q.serviceTime
	}
	if q.fair != nil {
		return q.offerFair(now, newFairTicket(r))
	}
	t := &ticket{Request: r}
	if q.queued == 0 && q.mayStart(now) {
		q.tickets[r.ID] = t
		return []Decision{q.assignSlot(now, t)}
	}
	wait := q.expectedWait(now, t)
	if q.refusedForWait(now, t, wait) {
		return []Decision{{ID: r.ID, Action: Refuse, Reason: q.waitReason(now, wait), RetryAfter: max(wait, minRetryAfter)}}
	}
	return q.enqueue(t, wait)
}

// refusedForWait reports whether an incoming request with that expected wait is refused.
func (q *Queue) refusedForWait(now time.Time, t *ticket, wait time.Duration) bool {
	missesDeadline := now.Add(wait + t.ExpectedServiceTime).After(t.Deadline)
	// Without AllowLate the front can still try another instance, so a late request is
	// refused at once. With AllowLate, late requests are limited to one per slot, because
	// any others would wait only to be refused later.
	return missesDeadline || t.late && (!t.AllowLate || q.countLate(now) >= q.cfg.Slots)
}

// enqueue adds a request to the queue. If the queue is full, it evicts the request that
// evictionCandidate selects, or refuses the incoming request if there is none.
func (q *Queue) enqueue(t *ticket, wait time.Duration) []Decision {
	out := []Decision{{ID: t.ID, Action: Wait}}
	if q.queued >= q.cfg.Slots*q.cfg.QueuePerSlot {
		evicted := q.evictionCandidate(t)
		if evicted == nil {
			return []Decision{{ID: t.ID, Action: Refuse, Reason: verdict.ReasonQueueFull, RetryAfter: max(wait, minRetryAfter)}}
		}
		q.unqueue(evicted)
		out = append(out, q.refuse(evicted, verdict.ReasonQueueFull, max(wait, minRetryAfter)))
	}
	q.tickets[t.ID] = t
	q.ranks[t.rank()].push(t)
	q.queued++
	return out
}

// Run consumes a grant. It returns Start, or Refuse if the grant has expired or
// does not exist. Expiry is checked here as well as in Tick, because Tick may not have
// run since the grant was given if the process was suspended.
func (q *Queue) Run(now time.Time, id ID) Decision {
	q.advance(now)
	t, ok := q.tickets[id]
	if !ok || t.state != granted {
		return Decision{ID: id, Action: Refuse, Reason: verdict.ReasonGrantExpired}
	}
	if !now.Before(t.expires) {
		q.releaseSlot(t)
		return Decision{ID: id, Action: Refuse, Reason: verdict.ReasonGrantExpired}
	}
	q.rateLimit.useReserved(now)
	t.state = running
	return Decision{ID: id, Action: Start}
}

// Cancel cancels a request. It returns NotRun if the request has not started and can no
// longer start, or MayHaveRun if it is running, in which case the calling code stops it
// and then calls Done. It also returns MayHaveRun for a request that the Queue no longer
// holds. The decisions are for the waiting requests considered for the released slot.
func (q *Queue) Cancel(now time.Time, id ID) (verdict.Verdict, []Decision) {
	q.advance(now)
	t, ok := q.tickets[id]
	if !ok {
		// The request was refused or has finished. It can no longer start, but it may
		// have run.
		return verdict.MayHaveRun, nil
	}
	switch t.state {
	case running:
		return verdict.MayHaveRun, nil
	case granted:
		q.releaseSlot(t)
		return verdict.NotRun, q.assignFreeSlots(now, nil)
	default:
		q.unqueue(t)
		q.forget(t)
		return verdict.NotRun, nil
	}
}

// Done releases the slot of a request that has finished running. A serviceTime of 0 is
// excluded from the moving average; the calling code passes 0 if the service time does
// not indicate the instance's speed.
func (q *Queue) Done(now time.Time, id ID, serviceTime time.Duration) []Decision {
	q.advance(now)
	t, ok := q.tickets[id]
	if !ok || t.state != running {
		return nil
	}
	if serviceTime > 0 {
		q.serviceTime += time.Duration(serviceTimeWeight * float64(serviceTime-q.serviceTime))
	}
	q.releaseSlot(t)
	return q.assignFreeSlots(now, nil)
}

// Tick expires grants and refuses waiting requests that can no longer meet their
// deadline or are past their objective (see Config.KeepLate for late ones). It must be
// called every few tens of milliseconds.
func (q *Queue) Tick(now time.Time) []Decision {
	q.advance(now)
	var out []Decision
	for _, t := range q.tickets {
		if t.state == granted && !now.Before(t.expires) {
			q.releaseSlot(t)
			out = append(out, Decision{ID: t.ID, Action: Refuse, Reason: verdict.ReasonGrantExpired})
		}
	}
	out = q.assignFreeSlots(now, out)
	for i := range q.ranks {
		for _, t := range q.ranks[i].expired(now, q.cfg.KeepLate) {
			q.unqueue(t)
			out = append(out, q.refuse(t, verdict.ReasonDeadline, q.serviceTime))
		}
	}
	return out
}

// assignFreeSlots assigns free slots to waiting requests, and refuses those that come up
// for a slot but can no longer meet their deadline. It appends the decisions to out.
func (q *Queue) assignFreeSlots(now time.Time, out []Decision) []Decision {
	for q.queued > 0 && q.mayStart(now) {
		t := q.popNext(now)
		if now.Add(t.ExpectedServiceTime).After(t.Deadline) {
			out = append(out, q.refuse(t, verdict.ReasonDeadline, q.serviceTime))
			continue
		}
		out = append(out, q.assignSlot(now, t))
	}
	return out
}

// assignSlot assigns a free slot to a request, by a grant if the request asks for one.
func (q *Queue) assignSlot(now time.Time, t *ticket) Decision {
	q.busy++
	if q.fair != nil {
		q.fair.begin(t)
	}
	if t.Reserve {
		q.rateLimit.reserve()
		t.state = granted
		t.expires = now.Add(q.cfg.GrantTTL)
		return Decision{ID: t.ID, Action: Grant}
	}
	q.rateLimit.take()
	t.state = running
	return Decision{ID: t.ID, Action: Start}
}

// releaseSlot removes a granted or running request and releases its slot.
func (q *Queue) releaseSlot(t *ticket) {
	if t.state == granted {
		q.rateLimit.release()
	}
	if q.fair != nil {
		q.fair.end(t)
	}
	q.busy--
	q.forget(t)
}

// unqueue removes a waiting request from the queue.
func (q *Queue) unqueue(t *ticket) {
	q.ranks[t.rank()].remove(t)
	q.queued--
	if q.fair != nil {
		q.fair.remove(t)
	}
}

// forget removes the ticket of a request that neither waits nor holds a slot any more.
func (q *Queue) forget(t *ticket) {
	delete(q.tickets, t.ID)
	if q.fair != nil && t.fair.record != nil {
		q.fair.release(t.fair.record)
		t.fair.record = nil
	}
}

// refuse drops a request's ticket and returns the decision to refuse it. The calling function
// removes the request from its rank queue, or releases its slot if it has one.
func (q *Queue) refuse(t *ticket, reason verdict.Reason, retryAfter time.Duration) Decision {
	q.forget(t)
	return Decision{ID: t.ID, Action: Refuse, Reason: reason, RetryAfter: retryAfter}
}
