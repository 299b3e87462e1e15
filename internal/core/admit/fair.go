package admit

import "time"

// Classes is the number of fairness classes. Teams are hashed into classes to bound
// the number of queues for any number of teams. Teams that hash to the same class
// share its turn in the round robin.
const Classes = 64

// rankQueue holds the waiting requests of one rank, in a list per fairness class in
// order of arrival. The classes are served round robin.
type rankQueue struct {
	classes   [Classes][]*ticket
	count     int
	nextClass int
	// work is the sum of the expected service times of the waiting requests.
	work time.Duration
}

func (rq *rankQueue) push(t *ticket) {
	c := t.Class % Classes
	rq.classes[c] = append(rq.classes[c], t)
	rq.count++
	rq.work += t.ExpectedServiceTime
}

// pop removes and returns an eligible request from the next class in round-robin
// order that has one. Within the class, it selects the request with the earliest key,
// and the oldest of those with equal keys. It returns nil if no request is eligible.
func (rq *rankQueue) pop(eligible func(*ticket) bool, key func(*ticket) time.Time) *ticket {
	if rq.count == 0 {
		return nil
	}
	for i := range Classes {
		c := (rq.nextClass + i) % Classes
		first := -1
		for k, t := range rq.classes[c] {
			if eligible(t) && (first < 0 || key(t).Before(key(rq.classes[c][first]))) {
				first = k
			}
		}
		if first < 0 {
			continue
		}
		t := rq.classes[c][first]
		rq.classes[c] = append(rq.classes[c][:first:first], rq.classes[c][first+1:]...)
		rq.count--
		rq.work -= t.ExpectedServiceTime
		rq.nextClass = c + 1
		return t
	}
	return nil
}

// each calls f for every waiting request.
func (rq *rankQueue) each(f func(*ticket)) {
	if rq.count == 0 {
		return
	}
	for _, queue := range rq.classes {
		for _, t := range queue {
			f(t)
		}
	}
}

func (rq *rankQueue) remove(t *ticket) {
	c := t.Class % Classes
	for i, other := range rq.classes[c] {
		if other == t {
			rq.classes[c] = append(rq.classes[c][:i:i], rq.classes[c][i+1:]...)
			rq.count--
			rq.work -= t.ExpectedServiceTime
			return
		}
	}
}

// expired returns the requests that can no longer meet their deadline or are past
// their objective. With keepLate, the objective does not apply to requests that were
// admitted as late.
func (rq *rankQueue) expired(now time.Time, keepLate bool) []*ticket {
	var out []*ticket
	rq.each(func(t *ticket) {
		if now.Add(t.ExpectedServiceTime).After(t.Deadline) || t.pastObjective(now) && !(keepLate && t.late) {
			out = append(out, t)
		}
	})
	return out
}

// popNext removes and returns the request to run next. Higher ranks go first.
// Within a rank, requests that can still meet their objective, ordered by
// objective, go before late ones, ordered by deadline; fairness classes take turns.
// Running late requests first would make the requests queued behind them late as well.
// Ordering by objective lets short requests, whose objectives are near, overtake long
// ones. With Config.FairShares, the order is that of fairOrder instead.
func (q *Queue) popNext(now time.Time) *ticket {
	if q.fair != nil {
		return q.popFair(now)
	}
	inTime := func(t *ticket) bool { return t.meetsObjective(now) }
	anyTicket := func(*ticket) bool { return true }
	for rank := rankCount - 1; rank >= 0; rank-- {
		t := q.ranks[rank].pop(inTime, func(t *ticket) time.Time { return t.Objective })
		if t == nil {
			t = q.ranks[rank].pop(anyTicket, func(t *ticket) time.Time { return t.Deadline })
		}
		if t != nil {
			q.queued--
			return t
		}
	}
	return nil
}

// evictionCandidate selects the request to evict for an incoming one when the queue is
// full: the newest of the class with the most waiting requests, in the lowest
// non-empty rank up to that of the incoming request. It returns nil if the incoming
// request is to be refused instead. This is the case if no lower rank has waiting
// requests, and either its own rank has none, or after an eviction its class would have
// more of them than the class of the evicted request.
func (q *Queue) evictionCandidate(incoming *ticket) *ticket {
	for rank := range incoming.rank() + 1 {
		rq := &q.ranks[rank]
		if rq.count == 0 {
			continue
		}
		most, class := 0, -1
		for c := range rq.classes {
			if len(rq.classes[c]) > most {
				most, class = len(rq.classes[c]), c
			}
		}
		own := len(rq.classes[incoming.Class%Classes])
		if rank == incoming.rank() && own+1 > most-1 {
			return nil
		}
		return rq.classes[class][most-1]
	}
	return nil
}

// popAll removes and returns all waiting requests.
func (q *Queue) popAll() []*ticket {
	var out []*ticket
	for q.queued > 0 {
		out = append(out, q.popNext(time.Time{}))
	}
	return out
}
