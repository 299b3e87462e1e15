package admit

import (
	"slices"
	"time"

	"github.com/radishhoist/radishhoist/verdict"
)

// fairOrder orders the waiting requests of all ranks by the use of their teams. Higher ranks
// go first. Within a rank, the next request is always that of the team with the lowest order
// value, each request counted with its expected service time as soon as it has its place.
type fairOrder struct {
	teamShares
	// byTime has the waiting requests by rank and then in the order that applies within a
	// team, and places has them in the fair order as of the last arrange. Both are kept
	// between calls, because sorting is fast when few places change.
	byTime, places []*ticket
	nextSequence   uint64
	// newcomer stands for the team of an incoming request that has no record.
	newcomer teamRecord
}

func newFairOrder() *fairOrder {
	return &fairOrder{teamShares: teamShares{teams: make(map[uint32]*teamRecord), scale: 1}}
}

// fairTicket is the part of a ticket that the fair order uses. Times are nanoseconds since
// teamShares.start, because these compare faster than time.Time.
type fairTicket struct {
	record *teamRecord
	// slotSince is when the request got its slot.
	slotSince time.Time
	// sequence is the order of arrival among the waiting requests.
	sequence            uint64
	rank                int
	objective, deadline int64
	// latestStart is the last time to start at which the request meets its objective.
	latestStart int64
	// work is the expected service time in seconds.
	work float64

	// The fields from here on are set by arrange. missed reports that the request is late or
	// can no longer meet its objective, due orders the requests of one team, and place is the
	// order value of the team at the request's turn.
	missed bool
	due    int64
	place  float64
}

// newFairTicket returns a ticket with its part for the fair order, in one allocation.
func newFairTicket(r Request) *ticket {
	both := &struct {
		ticket
		fairTicket
	}{ticket: ticket{Request: r}}
	both.ticket.fair = &both.fairTicket
	return &both.ticket
}

// prepare fills in what does not change while the request waits.
func (o *fairOrder) prepare(t *ticket) {
	o.nextSequence++
	*t.fair = fairTicket{
		record: t.fair.record, sequence: o.nextSequence, rank: t.rank(), work: t.ExpectedServiceTime.Seconds(),
		objective: o.sinceStart(t.Objective), deadline: o.sinceStart(t.Deadline),
	}
	t.fair.latestStart = t.fair.objective - int64(t.ExpectedServiceTime)
}

func (o *fairOrder) sinceStart(at time.Time) int64 { return int64(at.Sub(o.start)) }

func (o *fairOrder) add(t *ticket) {
	o.byTime, o.places = append(o.byTime, t), append(o.places, t)
}

func (o *fairOrder) remove(t *ticket) {
	o.byTime, o.places = without(o.byTime, t), without(o.places, t)
}

func without(list []*ticket, t *ticket) []*ticket {
	i := slices.Index(list, t)
	return slices.Delete(list, i, i+1)
}

// arrange computes the fair order.
func (o *fairOrder) arrange(now time.Time) {
	at := o.sinceStart(now)
	for _, t := range o.byTime {
		f := t.fair
		f.missed, f.due = t.late || at > f.latestStart, f.objective
		if f.missed {
			f.due = f.deadline
		}
		f.record.planned = 0
	}
	sortNearlySorted(o.byTime, dueBefore)
	for _, t := range o.byTime {
		f := t.fair
		f.place = f.record.value() + f.record.planned/f.record.weight
		f.record.planned += f.work * o.scale
	}
	sortNearlySorted(o.places, placedBefore)
}

// sortNearlySorted is an insertion sort. Between two calls few requests change their place,
// so that it takes little more than one pass: half the time of slices.SortFunc.
func sortNearlySorted(list []*ticket, before func(a, b *fairTicket) bool) {
	for i := 1; i < len(list); i++ {
		t := list[i]
		k := i
		for ; k > 0 && before(t.fair, list[k-1].fair); k-- {
			list[k] = list[k-1]
		}
		list[k] = t
	}
}

// dueBefore orders by rank, then as popNext does without fair shares.
func dueBefore(a, b *fairTicket) bool {
	switch {
	case a.rank != b.rank:
		return a.rank > b.rank
	case a.missed != b.missed:
		return b.missed
	case a.due != b.due:
		return a.due < b.due
	default:
		return a.sequence < b.sequence
	}
}

// placedBefore orders by rank, then by the order value that the team will have when the
// request is its next.
func placedBefore(a, b *fairTicket) bool {
	if a.rank == b.rank && a.place != b.place {
		return a.place < b.place
	}
	return dueBefore(a, b)
}

// lookUp returns the team's record. For a team without one it returns the newcomer, which keep
// replaces once the request is admitted: refused requests need no record.
func (o *fairOrder) lookUp(t *ticket) *teamRecord {
	r, ok := o.teams[t.Team]
	if !ok {
		r = &o.newcomer
		*r = teamRecord{team: t.Team}
	}
	o.setWeight(r, t.Weight)
	if r.held == 0 {
		credit := pauseCredit * t.ExpectedServiceTime.Seconds() * o.scale / r.weight
		r.setValue(max(r.value(), o.contendedValue()-credit))
	}
	return r
}

// keep counts an admitted request for its team.
func (o *fairOrder) keep(t *ticket) {
	if t.fair.record == &o.newcomer {
		t.fair.record = o.record(t.Team)
		t.fair.record.weight, t.fair.record.offset, t.fair.record.planned = o.newcomer.weight, o.newcomer.offset, o.newcomer.planned
	}
	o.hold(t.fair.record)
}

// contendedValue returns the order value at which teams wait: the lowest of those that wait,
// or that of the request that last left the queue if it is lower. A team that uses its share
// all the time stays near it.
func (o *fairOrder) contendedValue() float64 {
	lowest := o.lastValue
	for _, t := range o.byTime {
		lowest = min(lowest, t.fair.record.value())
	}
	return lowest
}

// offerFair is Offer with Config.FairShares. Slots that have become free since the last Tick,
// by the use of an expired grant or a new token of the rate limit, first go to waiting
// requests, so that no request is refused while a slot is free.
func (q *Queue) offerFair(now time.Time, t *ticket) []Decision {
	assigned := q.assignFreeSlots(now, nil)
	return append(q.offerBehind(now, t), assigned...)
}

// offerBehind submits a request when all free slots have been assigned to waiting requests.
func (q *Queue) offerBehind(now time.Time, t *ticket) []Decision {
	t.fair.record = q.fair.lookUp(t)
	q.fair.prepare(t)
	if q.queued == 0 && q.mayStart(now) {
		q.fair.keep(t)
		q.tickets[t.ID] = t
		return []Decision{q.assignSlot(now, t)}
	}
	q.fair.add(t)
	wait := q.expectedWaitInFairOrder(now, t)
	if q.refusedForWait(now, t, wait) {
		reason := q.fairWaitReason(now, t, wait)
		q.fair.remove(t)
		return []Decision{{ID: t.ID, Action: Refuse, Reason: reason, RetryAfter: max(wait, minRetryAfter)}}
	}
	return q.enqueueFair(now, t, wait)
}

// expectedWaitInFairOrder is expectedWait for a request that has been added to the fair order.
func (q *Queue) expectedWaitInFairOrder(now time.Time, t *ticket) time.Duration {
	wait := q.waitAtPlace(now, t)
	t.late = now.Add(wait + t.ExpectedServiceTime).After(t.Objective)
	if t.late {
		wait = q.waitAtPlace(now, t)
	}
	return wait
}

// waitAtPlace arranges the fair order and returns the expected wait of one request in it.
func (q *Queue) waitAtPlace(now time.Time, t *ticket) time.Duration {
	q.fair.arrange(now)
	ahead := q.serviceTime
	for i, other := range q.fair.places {
		if other == t {
			return q.waitBehind(now, ahead, i)
		}
		ahead += other.ExpectedServiceTime
	}
	return 0
}

// waitBehind returns the expected wait behind the given work and number of waiting requests.
func (q *Queue) waitBehind(now time.Time, ahead time.Duration, requestsAhead int) time.Duration {
	return max(ahead/time.Duration(max(q.cfg.Slots, 1)), q.rateLimit.expectedWait(now, requestsAhead+1))
}

// fairWaitReason returns the reason to refuse a request because of its expected wait: the
// rate limit, requests of higher ranks, its team's share, or else the full queue.
func (q *Queue) fairWaitReason(now time.Time, t *ticket, wait time.Duration) verdict.Reason {
	higher := q.serviceTime
	for i, other := range q.fair.places {
		if other.fair.rank > t.fair.rank {
			higher += other.ExpectedServiceTime
		}
		if limited := q.rateLimit.expectedWait(now, i+1); other == t && limited > 0 && limited >= wait {
			return verdict.ReasonTargetLimit
		}
	}
	limit := t.Objective
	if t.AllowLate {
		limit = t.Deadline
	}
	if now.Add(higher/time.Duration(max(q.cfg.Slots, 1)) + t.ExpectedServiceTime).After(limit) {
		return verdict.ReasonQueueFull
	}
	return q.shareReason(t)
}

// shareReason returns ReasonTeamShare if the request's team is over its share.
func (q *Queue) shareReason(t *ticket) verdict.Reason {
	if q.fair.overShare(t.fair.record, q.cfg.Slots) {
		return verdict.ReasonTeamShare
	}
	return verdict.ReasonQueueFull
}

// missesLimit reports whether a request that waits that long misses its objective or, if it
// was admitted as late, its deadline.
func (t *ticket) missesLimit(now int64, wait time.Duration) bool {
	limit := t.fair.objective
	if t.late {
		limit = t.fair.deadline
	}
	return now+int64(wait+t.ExpectedServiceTime) > limit
}

// enqueueFair adds a request to the queue, evicts another one if the queue is full, and
// refuses the requests behind it that now start too late.
func (q *Queue) enqueueFair(now time.Time, t *ticket, wait time.Duration) []Decision {
	var evicted *ticket
	if q.queued >= q.cfg.Slots*q.cfg.QueuePerSlot {
		if evicted = q.fairEvictionCandidate(t); evicted == nil {
			q.fair.remove(t)
			return []Decision{{ID: t.ID, Action: Refuse, Reason: q.shareReason(t), RetryAfter: max(wait, minRetryAfter)}}
		}
	}
	out := []Decision{{ID: t.ID, Action: Wait}}
	q.fair.keep(t)
	if evicted != nil {
		retryAfter := max(q.waitAtPlace(now, evicted), minRetryAfter)
		out = append(out, q.refuseForOther(evicted, t, retryAfter))
		q.fair.arrange(now)
	}
	q.tickets[t.ID] = t
	q.ranks[t.rank()].push(t)
	q.queued++
	return q.refuseDisplaced(now, t, out)
}

// refuseForOther refuses a waiting request because another one is admitted.
func (q *Queue) refuseForOther(t, other *ticket, retryAfter time.Duration) Decision {
	reason := verdict.ReasonQueueFull
	if t.fair.rank == other.fair.rank {
		reason = q.shareReason(t)
	}
	q.unqueue(t)
	return q.refuse(t, reason, retryAfter)
}

// fairEvictionCandidate selects the request to evict for an incoming one: the newest of the
// team with the highest order value, its waiting requests counted, in the lowest non-empty
// rank up to that of the incoming request. It returns nil if the incoming request is to be
// refused instead, because its own team has no lower value in its rank.
func (q *Queue) fairEvictionCandidate(incoming *ticket) *ticket {
	var candidate *ticket
	for _, t := range q.fair.places {
		if t != incoming && t.fair.rank <= incoming.fair.rank && (candidate == nil || t.fair.evictedBefore(candidate.fair)) {
			candidate = t
		}
	}
	if candidate == nil || candidate.fair.rank == incoming.fair.rank && incoming.fair.record.plannedValue() >= candidate.fair.record.plannedValue() {
		return nil
	}
	return candidate
}

func (f *fairTicket) evictedBefore(other *fairTicket) bool {
	if f.rank != other.rank {
		return f.rank < other.rank
	}
	if a, b := f.record.plannedValue(), other.record.plannedValue(); a != b {
		return a > b
	}
	return f.sequence > other.sequence
}

// plannedValue returns the order value after all waiting requests of the team, as of the last
// arrange.
func (r *teamRecord) plannedValue() float64 { return r.value() + r.planned/r.weight }

// refuseDisplaced refuses the requests behind an admitted one that are now expected to start
// too late, so that their fronts learn of it while there is time for another instance. It
// appends the decisions to out. The fair order must have been arranged with the admitted one.
func (q *Queue) refuseDisplaced(now time.Time, admitted *ticket, out []Decision) []Decision {
	if q.fair.places[len(q.fair.places)-1] == admitted {
		return out
	}
	at := q.fair.sinceStart(now)
	ahead, requestsAhead, behind := q.serviceTime, 0, false
	for requestsAhead < len(q.fair.places) {
		t := q.fair.places[requestsAhead]
		if behind {
			if wait := q.waitBehind(now, ahead, requestsAhead); t.missesLimit(at, wait) {
				out = append(out, q.refuseForOther(t, admitted, max(wait, minRetryAfter)))
				continue
			}
		}
		behind = behind || t == admitted
		ahead += t.ExpectedServiceTime
		requestsAhead++
	}
	return out
}

// popFair removes and returns the first request in the fair order.
func (q *Queue) popFair(now time.Time) *ticket {
	q.fair.arrange(now)
	t := q.fair.places[0]
	q.fair.lastValue = t.fair.record.value()
	q.unqueue(t)
	return t
}
