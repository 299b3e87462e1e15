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

// This file is a model checker for one non-idempotent request that a front sends to up to
// two guards, one after the other. Messages may be lost, duplicated and reordered. A
// guard's grant may expire, and the guard may be killed and lose its state, or be paused
// until after its grant has expired. The front may abort at any time. The checker explores
// every interleaving, with a limited number of faults, of the production once.Attempt and
// admit.Queue.

// The types of message.
const (
	reserveMsg  = "reserve"
	runMsg      = "run"
	cancelMsg   = "cancel"
	grantMsg    = "grant"
	refuseMsg   = "refuse"
	responseMsg = "response"
)

// mutation selects a bug to inject, to verify that the checker detects it.
type mutation struct {
	// startAfterCancel makes a guard run a request whose reservation has ended.
	startAfterCancel bool
	// retryMayHaveRun makes the front retry a request that may have run.
	retryMayHaveRun bool
}

type guardModel struct {
	queue *admit.Queue
	now   time.Time
	// opened is set once the stream is open, and clockAdvanced once the clock was advanced
	// beyond the end of the grant.
	opened        bool
	clockAdvanced bool
	running       bool
	ran           int
	finished      bool
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
	// losses, duplicates and kills are the numbers of faults that may still occur.
	losses, duplicates, kills int
}

const grantTTL = time.Second

func newGuard() *guardModel {
	return &guardModel{
		queue: admit.NewQueue(admit.Config{Slots: 1, QueuePerSlot: 1, GrantTTL: grantTTL}),
		now:   time.Unix(1000, 0),
	}
}

func newModel(injected mutation) *model {
	m := &model{mutation: injected, losses: 1, duplicates: 1, kills: 1}
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

// advance starts the next attempt, or ends the request, once attempt i is done.
func (m *model) advance(i int) {
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

// step is an event that can occur next.
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
			if !g.clockAdvanced {
				add(func() string { return fmt.Sprintf("guard %d is paused until its grant has expired", i) }, func(m *model) { m.expireGrant(i, false) })
			}
		}
		if m.kills > 0 && g.opened {
			add(func() string { return fmt.Sprintf("guard %d is killed", i) }, func(m *model) { m.kill(i) })
		}
	}
	if cur := m.started - 1; m.attempts[cur].Phase() != once.Done {
		add(func() string { return "front aborts" }, func(m *model) { m.send(cur, m.attempts[cur].Abort()); m.advance(cur) })
	}
	return out
}

// unique returns the distinct messages in sorted order, so that replaying a path yields the
// same steps.
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

// deliverToGuard delivers a message to guard i, which serves one request on one stream.
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
	m.toFront[i] = append(m.toFront[i], responseMsg)
}

// expireGrant advances guard i's clock beyond the end of its grant. Without tick, the guard
// does not notice, as after a pause.
func (m *model) expireGrant(i int, tick bool) {
	g := m.guards[i]
	g.now, g.clockAdvanced = g.now.Add(2*grantTTL), true
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
		m.advance(i)
	}
}

// deliverToFront delivers a message from guard i to the front.
func (m *model) deliverToFront(i int, message string) {
	a := &m.attempts[i]
	switch message {
	case grantMsg:
		m.send(i, a.HandleGrant())
	case refuseMsg:
		a.HandleFailure(verdict.NotRun)
	case responseMsg:
		a.HandleResponseStart()
		a.HandleResponseEnd(true)
	}
	m.advance(i)
}

// violation describes a violated invariant, "" if all hold.
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

// key encodes the state, to recognise visited states.
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

// explore visits every interleaving. It returns the number of states and, if an invariant
// is violated, the steps that lead to the violation.
func explore(injected mutation) (states int, trace []string) {
	seen := map[string]bool{}
	var walk func(path []int) bool
	walk = func(path []int) bool {
		m := newModel(injected)
		for _, choice := range path {
			m.steps()[choice].do(m)
		}
		if v := m.violation(); v != "" {
			trace = append(describe(injected, path), v)
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

// describe returns the names of the steps on a path.
func describe(injected mutation, path []int) []string {
	m := newModel(injected)
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
