package admit

import (
	"time"
)

// feasible says that a waiting request that starts now meets its objective.
func (t *ticket) feasible(now time.Time) bool { return !now.Add(t.ExpectedService).After(t.Objective) }

// givenUp says that a request has waited until its objective and is given back:
// others that are still in time go before it, so that under overload it would mostly
// wait to be refused in the end, and its caller does better to hear when to come
// back.
func (t *ticket) givenUp(now time.Time) bool { return now.After(t.Objective) }

// countLate counts the waiting requests that miss their objective or are
// expected to.
func (q *Queue) countLate(now time.Time) int {
	late := 0
	for i := range q.levels {
		q.levels[i].each(func(t *ticket) {
			if t.late || !t.feasible(now) {
				late++
			}
		})
	}
	return late
}

// expectedWait estimates how long a newcomer waits: until a slot is free, and
// the work that will go ahead of it, spread over the slots. It also settles
// whether the newcomer is expected to miss its objective.
//
// Counting all work of its priority told short requests with a near objective,
// such as a target's calls, that there was no place for them, though they would
// have been next.
func (q *Queue) expectedWait(now time.Time, t *ticket) time.Duration {
	wait := q.waitBehind(now, t)
	t.late = now.Add(wait + t.ExpectedService).After(t.Objective)
	if t.late {
		wait = q.waitBehind(now, t)
	}
	return wait
}

// waitBehind is the wait behind all that goes before the newcomer.
func (q *Queue) waitBehind(now time.Time, newcomer *ticket) time.Duration {
	ahead := q.service
	for l := newcomer.level(); l < levels; l++ {
		q.levels[l].each(func(t *ticket) {
			if l > newcomer.level() || t.goesBefore(now, newcomer) {
				ahead += t.ExpectedService
			}
		})
	}
	return ahead / time.Duration(max(q.cfg.Slots, 1))
}

// goesBefore says that a waiting request runs before a newcomer of its
// priority, whichever class has its turn: the order of next.
func (t *ticket) goesBefore(now time.Time, newcomer *ticket) bool {
	late := t.late || !t.feasible(now)
	switch {
	case late != newcomer.late:
		return newcomer.late
	case late:
		return !t.Deadline.After(newcomer.Deadline)
	default:
		return !t.Objective.After(newcomer.Objective)
	}
}
