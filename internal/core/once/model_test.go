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

// The model: one request that is not idempotent, one front, two guards tried
// one after the other. Messages may be lost, repeated and reordered; a guard
// may lapse its grant, be killed with all its memory, or be frozen past the
// grant's life; the front may give up at any moment. Every interleaving within
// the bounds is explored over the real Attempt and the real Queue.

// wire messages of the model.
const (
	reserveMsg = "reserve"
	runMsg     = "run"
	cancelMsg  = "cancel"
	grantMsg   = "grant"
	refuseMsg  = "refuse"
	answerMsg  = "answer"
)

// plant is a fault put into the code on purpose, to see the checker catch it.
type plant struct {
	startAfterCancel bool
	retryMayHaveRun  bool
}

type guardModel struct {
	queue    *admit.Queue
	now      time.Time
	opened   bool
	frozen   bool
	running  bool
	ran      int
	finished bool
}

type model struct {
	plant    plant
	attempts [2]once.Attempt
	begun    int
	guards   [2]*guardModel
	toGuard  [2][]string
	toFront  [2][]string
	over     bool
	final    verdict.Verdict
	// what is left of the bounds
	losses, repeats, kills int
}

const grantLife = time.Second

func newGuard() *guardModel {
	return &guardModel{
		queue: admit.NewQueue(admit.Config{Slots: 1, QueuePerSlot: 1, GrantLife: grantLife}),
		now:   time.Unix(1000, 0),
	}
}

func newModel(p plant) *model {
	m := &model{plant: p, losses: 1, repeats: 1, kills: 1}
	for i := range m.guards {
		m.guards[i] = newGuard()
	}
	m.send(0, m.attempts[0].Begin(false, false))
	m.begun = 1
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

// settle lets the front go on once an attempt is over.
func (m *model) settle(i int) {
	a := &m.attempts[i]
	if a.Phase() != once.Done || m.over || i != m.begun-1 {
		return
	}
	again := a.Verdict() == verdict.NotRun || (m.plant.retryMayHaveRun && a.Verdict() == verdict.MayHaveRun)
	if again && !a.ResponseComplete() && m.begun < len(m.attempts) {
		m.begun++
		m.send(m.begun-1, m.attempts[m.begun-1].Begin(false, false))
		return
	}
	m.over = true
	m.final = verdict.NotRun
	for k := range m.begun {
		if v := m.attempts[k].Verdict(); v != verdict.NotRun {
			m.final = v
		}
	}
}

// step is one possible next event.
type step struct {
	name func() string
	do   func(*model)
}

func (m *model) steps() []step {
	var out []step
	add := func(name func() string, do func(*model)) { out = append(out, step{name, do}) }
	for i := range m.guards {
		for _, k := range unique(m.toGuard[i]) {
			add(func() string { return fmt.Sprintf("guard %d takes %s", i, k) }, func(m *model) { m.deliver(i, take(&m.toGuard[i], k)) })
			if m.losses > 0 {
				add(func() string { return fmt.Sprintf("%s to guard %d is lost", k, i) }, func(m *model) { m.losses--; take(&m.toGuard[i], k) })
			}
			if m.repeats > 0 {
				add(func() string { return fmt.Sprintf("%s to guard %d is repeated", k, i) }, func(m *model) { m.repeats--; m.toGuard[i] = append(m.toGuard[i], k) })
			}
		}
		for _, k := range unique(m.toFront[i]) {
			add(func() string { return fmt.Sprintf("front takes %s of %d", k, i) }, func(m *model) { m.front(i, take(&m.toFront[i], k)) })
			if m.losses > 0 {
				add(func() string { return fmt.Sprintf("%s of guard %d is lost", k, i) }, func(m *model) { m.losses--; take(&m.toFront[i], k) })
			}
		}
		g := m.guards[i]
		if g.running && !g.finished {
			add(func() string { return fmt.Sprintf("guard %d finishes", i) }, func(m *model) { m.finish(i) })
		}
		if len(g.queue.Tickets()) > 0 && !g.running {
			add(func() string { return fmt.Sprintf("guard %d's grant lapses", i) }, func(m *model) { m.lapse(i, true) })
			if !g.frozen {
				add(func() string { return fmt.Sprintf("guard %d is frozen past the grant", i) }, func(m *model) { m.lapse(i, false) })
			}
		}
		if m.kills > 0 && g.opened {
			add(func() string { return fmt.Sprintf("guard %d is killed", i) }, func(m *model) { m.kill(i) })
		}
	}
	if cur := m.begun - 1; m.attempts[cur].Phase() != once.Done {
		add(func() string { return "front gives up" }, func(m *model) { m.send(cur, m.attempts[cur].Abort()); m.settle(cur) })
	}
	return out
}

// unique lists the different messages in order, so that a path means the same
// each time it is walked.
func unique(list []string) []string {
	out := slices.Clone(list)
	slices.Sort(out)
	return slices.Compact(out)
}

func take(list *[]string, want string) string {
	for i, s := range *list {
		if s == want {
			*list = append((*list)[:i:i], (*list)[i+1:]...)
			return s
		}
	}
	panic("the model took a message that is not there")
}

// deliver is the guard's exchange: one stream, one request.
func (m *model) deliver(i int, message string) {
	g := m.guards[i]
	switch message {
	case reserveMsg:
		if g.opened {
			return // the stream number was seen before
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
		if d.Action != admit.Start && !m.plant.startAfterCancel {
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

func (m *model) lapse(i int, tick bool) {
	g := m.guards[i]
	g.now, g.frozen = g.now.Add(2*grantLife), true
	if tick && len(g.queue.Tick(g.now)) > 0 {
		m.toFront[i] = append(m.toFront[i], refuseMsg)
	}
}

// kill loses the guard's memory and its streams: the front sees the link lost.
func (m *model) kill(i int) {
	m.kills--
	ran := m.guards[i].ran
	m.guards[i] = newGuard()
	m.guards[i].ran = ran
	m.toGuard[i], m.toFront[i] = nil, nil
	if m.attempts[i].Phase() != once.Done && i < m.begun {
		m.attempts[i].Abort()
		m.settle(i)
	}
}

func (m *model) front(i int, message string) {
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

// violation names a broken promise, "" where all hold.
func (m *model) violation() string {
	ran := m.guards[0].ran + m.guards[1].ran
	switch {
	case ran > 1:
		return "the request ran twice"
	case m.over && m.final == verdict.NotRun && ran > 0:
		return "the caller was told not-run, and the request ran"
	case m.over && m.attempts[m.begun-1].ResponseComplete() && ran != 1:
		return "the caller got an answer, and the request did not run"
	}
	return ""
}

// key is the state, for telling states that were seen.
func (m *model) key() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%+v %d %v %v %d %d %d", m.attempts, m.begun, m.over, m.final, m.losses, m.repeats, m.kills)
	for i, g := range m.guards {
		sort.Strings(m.toGuard[i])
		sort.Strings(m.toFront[i])
		fmt.Fprintf(&b, "|%v %v %v %d %v %v %v %d", m.toGuard[i], m.toFront[i], g.opened, g.ran, g.running, g.finished, g.queue.Tickets(), g.now.Unix())
	}
	return b.String()
}

// explore walks every interleaving and returns the number of states, or the
// events that lead to a broken promise.
func explore(p plant) (states int, broken []string) {
	seen := map[string]bool{}
	var walk func(path []int) bool
	walk = func(path []int) bool {
		m := newModel(p)
		for _, choice := range path {
			m.steps()[choice].do(m)
		}
		if v := m.violation(); v != "" {
			broken = append(tell(p, path), v)
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
	return len(seen), broken
}

// tell names the events of a path.
func tell(p plant, path []int) []string {
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
	states, broken := explore(plant{})
	assert.Assert(t, broken == nil, "%s", strings.Join(broken, "\n"))
	assert.Assert(t, states > 1000, "only %d states were explored", states)
	t.Logf("%d states", states)
}

func TestModelCheckerDetectsInjectedBugs(t *testing.T) {
	for name, p := range map[string]plant{
		"guard starts after cancel":       {startAfterCancel: true},
		"front repeats what may have run": {retryMayHaveRun: true},
	} {
		t.Run(name, func(t *testing.T) {
			_, broken := explore(p)
			assert.Assert(t, broken != nil, "the planted fault was not caught")
			t.Logf("caught by:\n%s", strings.Join(broken, "\n"))
		})
	}
}
