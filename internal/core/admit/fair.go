package admit

import "time"

// Classes is the number of fairness classes. Teams are hashed into them: a
// bounded number of queues stands for any number of teams, and two teams that
// share a class share its turn.
const Classes = 64

// level holds the waiting requests of one rank, a first-in-first-out
// queue a class, served in turn.
type level struct {
	classes [Classes][]*ticket
	count   int
	turn    int
	// work is what its requests are expected to take together.
	work time.Duration
}

func (l *level) push(t *ticket) {
	c := t.Class % Classes
	l.classes[c] = append(l.classes[c], t)
	l.count++
	l.work += t.ExpectedService
}

// pop takes, of the next class in turn that has any, the request that suits and
// comes first by its due time; the oldest where due times are equal.
func (l *level) pop(suits func(*ticket) bool, due func(*ticket) time.Time) *ticket {
	if l.count == 0 {
		return nil
	}
	for i := range Classes {
		c := (l.turn + i) % Classes
		first := -1
		for k, t := range l.classes[c] {
			if suits(t) && (first < 0 || due(t).Before(due(l.classes[c][first]))) {
				first = k
			}
		}
		if first < 0 {
			continue
		}
		t := l.classes[c][first]
		l.classes[c] = append(l.classes[c][:first:first], l.classes[c][first+1:]...)
		l.count--
		l.work -= t.ExpectedService
		l.turn = c + 1
		return t
	}
	return nil
}

// each calls f for every waiting request.
func (l *level) each(f func(*ticket)) {
	if l.count == 0 {
		return
	}
	for _, queue := range l.classes {
		for _, t := range queue {
			f(t)
		}
	}
}

func (l *level) remove(t *ticket) {
	c := t.Class % Classes
	for i, other := range l.classes[c] {
		if other == t {
			l.classes[c] = append(l.classes[c][:i:i], l.classes[c][i+1:]...)
			l.count--
			l.work -= t.ExpectedService
			return
		}
	}
}

// lost lists the requests that cannot meet their deadline any more, or have waited
// past their objective.
func (l *level) lost(now time.Time) []*ticket {
	var out []*ticket
	l.each(func(t *ticket) {
		if now.Add(t.ExpectedService).After(t.Deadline) || t.givenUp(now) {
			out = append(out, t)
		}
	})
	return out
}

// next takes the request that runs next: highest priority first; within it
// those that still meet their objective, by the objective, before those that do
// not, by the deadline; classes in turn. Serving the late ones first would make
// every one behind them late too. Short work, which has near objectives, goes
// ahead of long work that can wait.
func (q *Queue) next(now time.Time) *ticket {
	feasible := func(t *ticket) bool { return t.feasible(now) }
	any := func(*ticket) bool { return true }
	for l := levels - 1; l >= 0; l-- {
		t := q.levels[l].pop(feasible, func(t *ticket) time.Time { return t.Objective })
		if t == nil {
			t = q.levels[l].pop(any, func(t *ticket) time.Time { return t.Deadline })
		}
		if t != nil {
			q.queued--
			return t
		}
	}
	return nil
}

// longest picks who gives way to a newcomer in a full queue: the newest of
// the class that waits most, at the newcomer's priority or below. nil means
// the newcomer itself is of the class that waits most.
func (q *Queue) longest(newcomer *ticket) *ticket {
	for rank := range newcomer.level() + 1 {
		l := &q.levels[rank]
		if l.count == 0 {
			continue
		}
		most, class := 0, -1
		for c := range l.classes {
			if len(l.classes[c]) > most {
				most, class = len(l.classes[c]), c
			}
		}
		own := len(l.classes[newcomer.Class%Classes])
		if rank == newcomer.level() && own+1 > most-1 {
			return nil
		}
		return l.classes[class][most-1]
	}
	return nil
}

// takeAll empties the queue.
func (q *Queue) takeAll() []*ticket {
	var out []*ticket
	for q.queued > 0 {
		out = append(out, q.next(time.Time{}))
	}
	return out
}
