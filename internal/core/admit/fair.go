package admit

import "time"

// Classes is the number of fairness classes. Teams are hashed into them: a
// bounded number of queues stands for any number of teams, and two teams that
// share a class share its turn.
const Classes = 64

// level holds the waiting requests of one priority, a first-in-first-out
// queue a class, served in turn.
type level struct {
	classes [Classes][]*ticket
	count   int
	turn    int
}

func (l *level) push(t *ticket) {
	c := t.Class % Classes
	l.classes[c] = append(l.classes[c], t)
	l.count++
}

// pop takes the oldest request of the next class in turn.
func (l *level) pop() *ticket {
	for i := range Classes {
		c := (l.turn + i) % Classes
		if len(l.classes[c]) == 0 {
			continue
		}
		t := l.classes[c][0]
		l.classes[c] = l.classes[c][1:]
		l.count--
		l.turn = c + 1
		return t
	}
	return nil
}

func (l *level) remove(t *ticket) {
	c := t.Class % Classes
	for i, other := range l.classes[c] {
		if other == t {
			l.classes[c] = append(l.classes[c][:i:i], l.classes[c][i+1:]...)
			l.count--
			return
		}
	}
}

// late lists the requests whose deadline is before a time.
func (l *level) late(limit time.Time) []*ticket {
	if l.count == 0 {
		return nil
	}
	var out []*ticket
	for _, queue := range l.classes {
		for _, t := range queue {
			if t.Deadline.Before(limit) {
				out = append(out, t)
			}
		}
	}
	return out
}

// next takes the request that runs next: highest priority first, classes in
// turn within it.
func (q *Queue) next() *ticket {
	for p := priorities - 1; p >= 0; p-- {
		if t := q.levels[p].pop(); t != nil {
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
	for p := range int(newcomer.Priority) + 1 {
		l := &q.levels[p]
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
		if p == int(newcomer.Priority) && own+1 > most-1 {
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
		out = append(out, q.next())
	}
	return out
}
