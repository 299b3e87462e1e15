package once_test

import (
	"fmt"
	"slices"
	"sort"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/radishhoist/radishhoist/internal/core/admit"
	"github.com/radishhoist/radishhoist/internal/core/once"
	"github.com/radishhoist/radishhoist/verdict"
)

// This file is a model checker for one non-idempotent request, one front, and
// two guards that are tried one after the other. Messages may be lost,
// duplicated and reordered. A guard may let its grant expire, may be killed and
// lose its state, or may be paused until after its grant has expired. The front
// may abort at any time. Every interleaving within the limits is explored with
// the production Attempt and Queue.

// The message types of the model.
const (
	reserveMsg = "reserve"
	runMsg     = "run"
	cancelMsg  = "cancel"
	grantMsg   = "grant"
	refuseMsg  = "refuse"
	answerMsg  = "answer"
)

// mutation is a bug injected to verify that the checker detects it.
type mutation struct {
	startAfterCancel bool
	retryMayHaveRun  bool
}

type guardModel struct {
	queue    *admit.Queue
	now      time.Time
	opened   bool
	paused   bool
	running  bool
	ran      int
	finished bool
}

type model struct {
	mutation mutation
	attempts [2]once.Attempt
	started  int
	guards   [2]*guardModel
	toGuard  [2][]string
	toFront  [2][]string
	done     bool
	final    verdict.Verdict
	// The faults that may still occur.
	losses, duplicates, kills int
}

const grantLife = time.Second

func newGuard() *guardModel {
	return &guardModel{
		queue: admit.NewQueue(admit.Config{Slots: 1, QueuePerSlot: 1, GrantLife: grantLife}),
		now:   time.Unix(1000, 0),
	}
}

func newModel(p mutation) *model {
	m := &model{mutation: p, losses: 1, duplicates: 1, kills: 1}
	for i := range m.guards {
		m.guards[i] = newGuard()
	}
	m.send(0, m.attempts[0].Begin(false, false))
	m.started = 1
	return m
}

func (m *model) send(i int, s once.Action) {
	switch s {
	case once.SendReserve:
		m.toGuard[i] = append(m.toGuard[i], reserveMsg)
	case once.SendRun:
		m.toGuard[i] = append(m.toGuard[i], runMsg)
	case once.SendCancel:
		m.toGuard[i] = append(m.toGuard[i], cancelMsg)
	}
}

// settle starts the next attempt, or ends the request, once attempt i is done.
func (m *model) settle(i int) {
	a := &m.attempts[i]
	if a.Phase() != once.Done || m.done || i != m.started-1 {
		return
	}
	retry := a.Verdict() == verdict.NotRun || (m.mutation.retryMayHaveRun && a.Verdict() == verdict.MayHaveRun)
	if retry && !a.ResponseComplete() && m.started < len(m.attempts) {
		m.started++
		m.send(m.started-1, m.attempts[m.started-1].Begin(false, false))
		return
	}
	m.done = true
	m.final = verdict.NotRun
	for k := range m.started {
		if v := m.attempts[k].Verdict(); v != verdict.NotRun {
			m.final = v
		}
	}
}

// step is a possible next event.
type step struct {
	name func() string
	do   func(*model)
}

func (m *model) steps() []step {
	var out []step
	add := func(name func() string, do func(*model)) { out = append(out, step{name, do}) }
	for i := range m.guards {
		for _, k := range unique(m.toGuard[i]) {
			add(func() string { return fmt.Sprintf("guard %d receives %s", i, k) }, func(m *model) { m.deliverToGuard(i, remove(&m.toGuard[i], k)) })
			if m.losses > 0 {
				add(func() string { return fmt.Sprintf("%s to guard %d is lost", k, i) }, func(m *model) { m.losses--; remove(&m.toGuard[i], k) })
			}
			if m.duplicates > 0 {
				add(func() string { return fmt.Sprintf("%s to guard %d is duplicated", k, i) }, func(m *model) { m.duplicates--; m.toGuard[i] = append(m.toGuard[i], k) })
			}
		}
		for _, k := range unique(m.toFront[i]) {
			add(func() string { return fmt.Sprintf("front receives %s from guard %d", k, i) }, func(m *model) { m.deliverToFront(i, remove(&m.toFront[i], k)) })
			if m.losses > 0 {
				add(func() string { return fmt.Sprintf("%s from guard %d is lost", k, i) }, func(m *model) { m.losses--; remove(&m.toFront[i], k) })
			}
		}
		g := m.guards[i]
		if g.running && !g.finished {
			add(func() string { return fmt.Sprintf("guard %d finishes", i) }, func(m *model) { m.finish(i) })
		}
		if len(g.queue.Tickets()) > 0 && !g.running {
			add(func() string { return fmt.Sprintf("guard %d's grant expires", i) }, func(m *model) { m.expireGrant(i, true) })
			if !g.paused {
				add(func() string { return fmt.Sprintf("guard %d is paused until its grant has expired", i) }, func(m *model) { m.expireGrant(i, false) })
			}
		}
		if m.kills > 0 && g.opened {
			add(func() string { return fmt.Sprintf("guard %d is killed", i) }, func(m *model) { m.kill(i) })
		}
	}
	if cur := m.started - 1; m.attempts[cur].Phase() != once.Done {
		add(func() string { return "front aborts" }, func(m *model) { m.send(cur, m.attempts[cur].Abort()); m.settle(cur) })
	}
	return out
}

// unique returns the distinct messages in sorted order, so that replaying a path
// yields the same events.
func unique(list []string) []string {
	out := slices.Clone(list)
	slices.Sort(out)
	return slices.Compact(out)
}

func remove(list *[]string, want string) string {
	for i, s := range *list {
		if s == want {
			*list = append((*list)[:i:i], (*list)[i+1:]...)
			return s
		}
	}
	panic("message is not in transit")
}

// deliverToGuard handles a message at guard i, which serves one request on one stream.
func (m *model) deliverToGuard(i int, message string) {
	g := m.guards[i]
	switch message {
	case reserveMsg:
		if g.opened {
			return // the stream is already open
		}
		g.opened = true
		d := g.queue.Offer(g.now, admit.Request{ID: 1, Reserve: true, Deadline: g.now.Add(time.Hour)})[0]
		if d.Action == admit.Grant {
			m.toFront[i] = append(m.toFront[i], grantMsg)
		} else {
			m.toFront[i] = append(m.toFront[i], refuseMsg)
		}
	case runMsg:
		if !g.opened || g.running {
			return
		}
		d := g.queue.Run(g.now, 1)
		if d.Action != admit.Start && !m.mutation.startAfterCancel {
			m.toFront[i] = append(m.toFront[i], refuseMsg)
			return
		}
		g.running = true
		g.ran++
	case cancelMsg:
		g.queue.Cancel(g.now, 1)
	}
}

func (m *model) finish(i int) {
	g := m.guards[i]
	g.finished = true
	g.queue.Done(g.now, 1, time.Millisecond)
	m.toFront[i] = append(m.toFront[i], answerMsg)
}

func (m *model) expireGrant(i int, tick bool) {
	g := m.guards[i]
	g.now, g.paused = g.now.Add(2*grantLife), true
	if tick && len(g.queue.Tick(g.now)) > 0 {
		m.toFront[i] = append(m.toFront[i], refuseMsg)
	}
}

// kill discards the guard's state and its streams. The front sees a lost
// connection.
func (m *model) kill(i int) {
	m.kills--
	ran := m.guards[i].ran
	m.guards[i] = newGuard()
	m.guards[i].ran = ran
	m.toGuard[i], m.toFront[i] = nil, nil
	if m.attempts[i].Phase() != once.Done && i < m.started {
		m.attempts[i].Abort()
		m.settle(i)
	}
}

func (m *model) deliverToFront(i int, message string) {
	a := &m.attempts[i]
	switch message {
	case grantMsg:
		m.send(i, a.HandleGrant())
	case refuseMsg:
		a.HandleFailure(verdict.NotRun)
	case answerMsg:
		a.HandleResponseStart()
		a.HandleResponseEnd(true)
	}
	m.settle(i)
}

// violation describes the invariant that is violated, "" if all hold.
func (m *model) violation() string {
	ran := m.guards[0].ran + m.guards[1].ran
	switch {
	case ran > 1:
		return "the request ran twice"
	case m.done && m.final == verdict.NotRun && ran > 0:
		return "the caller got the verdict not-run, but the request ran"
	case m.done && m.attempts[m.started-1].ResponseComplete() && ran != 1:
		return "the caller got a response, but the request did not run"
	}
	return ""
}

// key identifies the state, to recognise states that were visited.
func (m *model) key() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%+v %d %v %v %d %d %d", m.attempts, m.started, m.done, m.final, m.losses, m.duplicates, m.kills)
	for i, g := range m.guards {
		sort.Strings(m.toGuard[i])
		sort.Strings(m.toFront[i])
		fmt.Fprintf(&b, "|%v %v %v %d %v %v %v %d", m.toGuard[i], m.toFront[i], g.opened, g.ran, g.running, g.finished, g.queue.Tickets(), g.now.Unix())
	}
	return b.String()
}

// explore visits every interleaving. It returns the number of states and, if an
// invariant is violated, the events that lead to the violation.
func explore(p mutation) (states int, trace []string) {
	seen := map[string]bool{}
	var walk func(path []int) bool
	walk = func(path []int) bool {
		m := newModel(p)
		for _, choice := range path {
			m.steps()[choice].do(m)
		}
		if v := m.violation(); v != "" {
			trace = append(describe(p, path), v)
			return false
		}
		if k := m.key(); seen[k] {
			return true
		} else {
			seen[k] = true
		}
		for choice := range m.steps() {
			if !walk(append(path[:len(path):len(path)], choice)) {
				return false
			}
		}
		return true
	}
	walk(nil)
	return len(seen), trace
}

// describe returns the names of the events on a path.
func describe(p mutation, path []int) []string {
	m := newModel(p)
	var names []string
	for _, choice := range path {
		s := m.steps()[choice]
		names = append(names, s.name())
		s.do(m)
	}
	return names
}

func TestEveryInterleavingRunsAtMostOnce(t *testing.T) {
	states, trace := explore(mutation{})
	assert.Assert(t, trace == nil, "%s", strings.Join(trace, "\n"))
	assert.Assert(t, states > 1000, "only %d states were explored", states)
	t.Logf("%d states", states)
}

func TestModelCheckerDetectsInjectedBugs(t *testing.T) {
	for name, p := range map[string]mutation{
		"guard starts after cancel":                 {startAfterCancel: true},
		"front retries a request that may have run": {retryMayHaveRun: true},
	} {
		t.Run(name, func(t *testing.T) {
			_, trace := explore(p)
			assert.Assert(t, trace != nil, "the injected bug was not detected")
			t.Logf("detected by:\n%s", strings.Join(trace, "\n"))
		})
	}
}
