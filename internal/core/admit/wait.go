package admit

import "time"

// meetsObjective reports whether the request meets its objective if it starts now.
func (t *ticket) meetsObjective(now time.Time) bool {
	return !now.Add(t.ExpectedServiceTime).After(t.Objective)
}

// pastObjective reports whether the request's objective has passed. Such a request
// is refused: requests that can still meet their objective run before it, so under
// overload it would mostly wait only to be refused later. An early refusal with
// Retry-After serves its caller better.
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

// expectedWait estimates how long a newcomer waits, and sets t.late if it is
// expected to miss its objective.
//
// Only work that runs before the newcomer counts. Counting all work of its priority
// would refuse short requests with a near objective, such as calls made by targets,
// although they would be next.
func (q *Queue) expectedWait(now time.Time, t *ticket) time.Duration {
	wait := q.waitBehind(now, t)
	t.late = now.Add(wait + t.ExpectedServiceTime).After(t.Objective)
	if t.late {
		wait = q.waitBehind(now, t)
	}
	return wait
}

// waitBehind returns the expected wait of a newcomer. It adds one service time, for a
// slot to become free, to the expected service times of the requests that run before the
// newcomer, and divides the sum by the number of slots.
func (q *Queue) waitBehind(now time.Time, newcomer *ticket) time.Duration {
	ahead := q.serviceTime
	for rank := newcomer.rank(); rank < rankCount; rank++ {
		q.ranks[rank].each(func(t *ticket) {
			if rank > newcomer.rank() || t.precedes(now, newcomer) {
				ahead += t.ExpectedServiceTime
			}
		})
	}
	return ahead / time.Duration(max(q.cfg.Slots, 1))
}

// precedes reports whether a waiting request runs before a newcomer of the same rank.
// It follows the order of popNext with two exceptions. It ignores the round robin of
// classes. It also treats a request as late that was expected to miss its objective when
// offered, although popNext asks only whether the objective can be met now.
func (t *ticket) precedes(now time.Time, newcomer *ticket) bool {
	late := t.late || !t.meetsObjective(now)
	switch {
	case late != newcomer.late:
		return newcomer.late
	case late:
		return !t.Deadline.After(newcomer.Deadline)
	default:
		return !t.Objective.After(newcomer.Objective)
	}
}
