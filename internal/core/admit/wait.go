package admit

import (
	"time"

	"github.com/radishhoist/radishhoist/verdict"
)

// meetsObjective reports whether the request meets its objective if it starts now.
func (t *ticket) meetsObjective(now time.Time) bool {
	return !now.Add(t.ExpectedServiceTime).After(t.Objective)
}

// pastObjective reports whether the request's objective has passed. Such a request is
// refused, because requests that can still meet their objective run before it: under
// overload, most such requests would wait only to be refused later. An early refusal
// with Retry-After allows the caller to retry sooner.
func (t *ticket) pastObjective(now time.Time) bool { return now.After(t.Objective) }

// countLate returns the number of waiting requests that miss their objective or are
// expected to.
func (q *Queue) countLate(now time.Time) int {
	late := 0
	for i := range q.ranks {
		q.ranks[i].each(func(t *ticket) {
			if t.late || !t.meetsObjective(now) {
				late++
			}
		})
	}
	return late
}

// expectedWait estimates how long an incoming request waits for a slot, and sets t.late
// if it is expected to miss its objective.
//
// Only work that runs before the incoming request counts. If all work of its priority
// counted, short requests with a near objective, such as calls that an instance makes while
// it runs a request, would be refused although they would run next.
func (q *Queue) expectedWait(now time.Time, t *ticket) time.Duration {
	wait := q.queueingDelay(now, t)
	t.late = now.Add(wait + t.ExpectedServiceTime).After(t.Objective)
	if t.late {
		wait = q.queueingDelay(now, t)
	}
	return wait
}

// queueingDelay returns the expected wait of an incoming request, given its late flag: for a
// slot or for the rate limit, whichever is longer. The wait for a slot is one mean service
// time, for one to become free, plus the expected service times of the requests that run
// before it, divided by the number of slots.
func (q *Queue) queueingDelay(now time.Time, incoming *ticket) time.Duration {
	ahead, requestsAhead := q.serviceTime, 0
	for rank := incoming.rank(); rank < rankCount; rank++ {
		q.ranks[rank].each(func(t *ticket) {
			if rank > incoming.rank() || t.precedes(now, incoming) {
				ahead += t.ExpectedServiceTime
				requestsAhead++
			}
		})
	}
	return max(ahead/time.Duration(max(q.cfg.Slots, 1)), q.rateLimit.expectedWait(now, requestsAhead+1))
}

// waitReason returns the reason to refuse a request because of its expected wait.
func (q *Queue) waitReason(now time.Time, wait time.Duration) verdict.Reason {
	if limited := q.RateLimitWait(now); limited > 0 && limited >= wait {
		return verdict.ReasonTargetLimit
	}
	return verdict.ReasonQueueFull
}

// precedes reports whether a waiting request runs before an incoming one of the same
// rank. It follows the order of popNext with two exceptions: it ignores the round robin
// of classes, and it also treats a request as late if it was expected to miss its
// objective when offered, whereas popNext checks only whether the objective can be met
// now.
func (t *ticket) precedes(now time.Time, incoming *ticket) bool {
	late := t.late || !t.meetsObjective(now)
	switch {
	case late != incoming.late:
		return incoming.late
	case late:
		return !t.Deadline.After(incoming.Deadline)
	default:
		return !t.Objective.After(incoming.Objective)
	}
}
