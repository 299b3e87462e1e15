package guard

import (
	"bufio"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sort"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/radishhoist/radishhoist/internal/core/directory"
	"github.com/radishhoist/radishhoist/internal/msg"
	"github.com/radishhoist/radishhoist/internal/wire"
	"github.com/radishhoist/radishhoist/record"
	"github.com/radishhoist/radishhoist/verdict"
)

const (
	testReserve = 40.0
	testWindow  = 10 * time.Second
	testPercent = 20
)

func repeatLimits() Limits { return Limits{RetryReserve: testReserve, RetryWindow: testWindow} }

// seenBy is the directory of a host that holds the given hosts for alive.
func seenBy(alive []bool) *directory.Directory {
	svc := &record.Record{Key: record.Key{Kind: record.KindService, Name: "s"}, Spec: &record.Service{RetryPercent: testPercent}}
	var hosts []*directory.Host
	for i, up := range alive {
		name := fmt.Sprintf("h%d", i)
		hosts = append(hosts, &directory.Host{Name: name, Alive: up, Instances: []directory.Instance{{Name: name, Service: "s"}}})
	}
	return directory.Build(directory.Compile([]*record.Record{svc}, true), hosts)
}

// Over all guards of a service together, with hosts that stop, start again and
// leave the view, the repeats of every window stay within the allowance: a fifth
// of the requests and the reserve.
func TestGuardsTogetherStayWithinRetryBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		guards := rapid.IntRange(2, 9).Draw(t, "guards")
		now := time.Unix(1000, 0)
		all := make([]*repeats, guards)
		alive := make([]bool, guards)
		for i := range all {
			all[i], alive[i] = newRepeats(), true
			all[i].apply(now, seenBy(make([]bool, guards)), repeatLimits())
		}
		for i := range all {
			all[i].apply(now, seenBy(alive), repeatLimits())
		}
		now = now.Add(testWindow)
		var fresh, sent []time.Time
		for range rapid.IntRange(100, 3000).Draw(t, "steps") {
			now = now.Add(time.Duration(rng.IntN(40)) * time.Millisecond)
			i := rng.IntN(guards)
			if rng.IntN(400) == 0 {
				alive[i] = !alive[i]
				if alive[i] {
					all[i] = newRepeats()
				}
				for k := range all {
					all[k].apply(now, seenBy(alive), repeatLimits())
				}
			}
			if i = firstAlive(alive, i); i < 0 {
				continue
			}
			all[i].end(all[i].begin(now, "s", false, true, msg.AdmissionHints{}))
			fresh = append(fresh, now)
			for all[i].hold(now, "s", msg.AdmissionHints{}) {
				all[i].end(all[i].begin(now, "s", true, true, msg.AdmissionHints{}))
				sent = append(sent, now)
			}
		}
		checkWindows(t, fresh, sent)
	})
}

// firstAlive is the guard that takes what would have gone to one, -1 for none.
func firstAlive(alive []bool, from int) int {
	for k := range alive {
		if i := (from + k) % len(alive); alive[i] {
			return i
		}
	}
	return -1
}

// checkWindows holds every window that ends with a repeat to the allowance. Where
// load falls, its requests are those of the window before it or of the one that
// began half a window earlier: a repeat is earned by what came before it.
func checkWindows(t *rapid.T, fresh, sent []time.Time) {
	first := 0
	for i, end := range sent {
		from := end.Add(-testWindow)
		for sent[first].Before(from) {
			first++
		}
		requests := 0
		for _, back := range []time.Duration{0, testWindow / 2, testWindow} {
			requests = max(requests, within(fresh, from.Add(-back), end.Add(-back)))
		}
		bound := testPercent/100.0*float64(requests) + testReserve
		assert.Assert(t, float64(i+1-first) <= bound, "%d repeats where %.1f are allowed", i+1-first, bound)
	}
}

// within counts the times of a window, both ends counted.
func within(times []time.Time, from, end time.Time) int {
	first := sort.Search(len(times), func(i int) bool { return !times[i].Before(from) })
	after := sort.Search(len(times), func(i int) bool { return times[i].After(end) })
	return after - first
}

// Nearly all of the fleet's allowance can be spent wherever repeats are needed:
// divided among the fronts, each had too little to spend any.
func TestFewGuardsCanSpendNearlyTheWholeBudget(t *testing.T) {
	const guards, perSecond = 8, 60
	now := time.Unix(1000, 0)
	all := make([]*repeats, guards)
	up := make([]bool, guards)
	for i := range up {
		up[i] = true
	}
	for i := range all {
		all[i] = newRepeats()
		all[i].apply(now, seenBy(up), repeatLimits())
	}
	spent := 0
	for k := range perSecond * 30 {
		now = now.Add(time.Second / perSecond)
		r := all[k%guards]
		r.begin(now, "s", false, true, msg.AdmissionHints{OriginIdle: true})
		if k >= perSecond*20 && r.hold(now, "s", msg.AdmissionHints{}) {
			r.begin(now, "s", true, true, msg.AdmissionHints{})
			spent++
		}
	}
	allowed := testPercent*perSecond*10/100 + testReserve
	assert.Assert(t, float64(spent) > 0.85*budgetPart*allowed, "%d of %.0f", spent, allowed)
}

func TestHedgesAndLateRepeatsLeaveHalfToTheOthers(t *testing.T) {
	now := time.Unix(1000, 0)
	r := newRepeats()
	r.apply(now, seenBy([]bool{true}), repeatLimits())
	now = now.Add(testWindow)
	hedges := 0
	for r.hold(now, "s", msg.AdmissionHints{Hedge: true}) {
		hedges++
	}
	half := int(keepForFirst * budgetPart * testReserve)
	assert.Assert(t, hedges == half || hedges == half-1, "%d", hedges)
	assert.Assert(t, !r.hold(now, "s", msg.AdmissionHints{ObjectiveMS: 500, UsedMS: 600}))
	assert.Assert(t, r.hold(now, "s", msg.AdmissionHints{ObjectiveMS: 500, UsedMS: 100}))
}

// What begins on a host that runs repeats may be their calls, unless callers use
// the route.
func TestCallsOfRetriedRunsAreEstimated(t *testing.T) {
	now := time.Now()
	g := newTestGuard(t, "127.0.0.1:1")
	g.repeats.apply(now.Add(-time.Minute), seenBy([]bool{true}), repeatLimits())
	callPart, idle := g.CallOrigin()
	assert.Assert(t, idle)
	assert.Equal(t, callPart, uint16(0))
	assert.Equal(t, g.repeats.begin(now, "s", false, true, msg.AdmissionHints{Route: 1, OriginIdle: true}).part, uint16(0))
	g.repeats.begin(now, "s", false, false, msg.AdmissionHints{Route: 1, OriginIdle: true})
	assert.Assert(t, g.repeats.hold(now, "s", msg.AdmissionHints{}))
	repeat := g.repeats.begin(now, "s", true, true, msg.AdmissionHints{Repeat: true, Route: 1})
	callPart, idle = g.CallOrigin()
	assert.Equal(t, callPart, uint16(msg.Thousandths/2), "work that cannot be repeated says nothing of the calls of repeats")
	assert.Assert(t, !idle)

	before := g.repeats.left(now, "s")
	assert.Equal(t, g.repeats.begin(now, "s", false, true, msg.AdmissionHints{Route: 2, NestedRetryChance: msg.Thousandths}).part, uint16(msg.Thousandths))
	assert.Equal(t, g.repeats.left(now, "s"), before-1)
	g.repeats.begin(now, "s", false, true, msg.AdmissionHints{Route: 1, OriginIdle: true})
	assert.Equal(t, g.repeats.begin(now, "s", false, true, msg.AdmissionHints{Route: 1, NestedRetryChance: msg.Thousandths}).part, uint16(0), "callers use route 1")
	g.repeats.end(repeat)
}

// A repeat beyond the budget is refused before it reaches the instance; a first
// send never is, and what a refused or abandoned repeat had set aside is free
// again.
func TestARepeatBeyondTheBudgetIsRefusedAsNotRun(t *testing.T) {
	g := newTestGuard(t, breaking(t))
	up := []bool{true}
	g.limits.Store(&Limits{AnnounceExpiry: time.Hour, RetryReserve: 2, RetryWindow: testWindow})
	g.repeats.apply(time.Now().Add(-time.Minute), seenBy(up), *g.limits.Load())
	// Two tenths short of two: room for one.
	assert.Equal(t, g.repeats.left(time.Now(), "s"), uint16(1))
	repeat := msg.AdmissionHints{Repeat: true}
	assert.Equal(t, serveOne(t, g, repeat).Reason, verdict.ReasonTargetBroke, "it was sent on")
	refused := serveOne(t, g, repeat)
	assert.Equal(t, refused.Reason, verdict.ReasonRetryBudget)
	assert.Equal(t, refused.Verdict, verdict.NotRun)
	assert.Equal(t, serveOne(t, g, msg.AdmissionHints{NestedRetryChance: msg.Thousandths}).Reason, verdict.ReasonTargetBroke)
}

// Calls of repeated runs cannot be refused. Where one finds no repeat left, the
// host that it came from is told, and makes none itself for a while.
func TestHostWithOverdrawnCallsPausesRetries(t *testing.T) {
	called := newTestGuard(t, breaking(t))
	called.limits.Store(&Limits{AnnounceExpiry: time.Hour, RetryReserve: 2, RetryWindow: testWindow})
	called.repeats.apply(time.Now().Add(-time.Minute), seenBy([]bool{true}), *called.limits.Load())
	call := msg.AdmissionHints{NestedRetryChance: msg.Thousandths, Route: 7}
	assert.Assert(t, !serveOne(t, called, msg.AdmissionHints{Route: 7}).Load.RetryBudgetOverdrawn, "no call of a repeat")
	assert.Assert(t, serveOne(t, called, call).Load.RetryBudgetOverdrawn)

	now := time.Now()
	caller := newTestGuard(t, "127.0.0.1:1")
	caller.repeats.apply(now.Add(-time.Minute), seenBy([]bool{true}), repeatLimits())
	assert.Assert(t, caller.repeats.hold(now, "s", msg.AdmissionHints{}))
	caller.PauseRetries(now)
	assert.Assert(t, !caller.repeats.hold(now, "s", msg.AdmissionHints{}))
	assert.Assert(t, caller.repeats.hold(now.Add(2*overdrawnFor), "s", msg.AdmissionHints{}))
}

// A repeat that is given up in the queue gives back what it held.
func TestAnAbandonedRepeatIsNotSpent(t *testing.T) {
	g := newTestGuard(t, "127.0.0.1:1")
	g.limits.Store(&Limits{AnnounceExpiry: time.Hour, RetryReserve: 2, RetryWindow: testWindow})
	g.repeats.apply(time.Now().Add(-time.Minute), seenBy([]bool{true}), *g.limits.Load())
	near, far := wire.Pipe()
	done := make(chan struct{})
	go func() {
		defer close(done)
		g.Serve(far, &msg.Reserve{RequestID: "r", Service: "s", Instance: "i", TimeoutMS: 20000, Hints: msg.AdmissionHints{Repeat: true}})
	}()
	_, err := near.Recv(context.Background())
	assert.NilError(t, err)
	assert.Equal(t, g.repeats.left(time.Now(), "s"), uint16(0))
	near.Close()
	<-done
	assert.Equal(t, g.repeats.left(time.Now(), "s"), uint16(1))
}

// breaking starts a target that takes every request and breaks it off, and gives its
// address.
func breaking(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			_, _ = http.ReadRequest(bufio.NewReader(c))
			_ = c.Close()
		}
	}()
	return l.Addr().String()
}

// serveOne sends a repeatable request and gives its failure.
func serveOne(t *testing.T, g *Guard, aim msg.AdmissionHints) *msg.Fail {
	t.Helper()
	near, far := wire.Pipe()
	defer near.Close()
	go g.Serve(far, &msg.Run{RequestID: "r", Service: "s", Instance: "i", TimeoutMS: 20000, Idempotent: true, Method: "GET", URI: "/", Host: "a", Hints: aim})
	m, err := near.Recv(context.Background())
	assert.NilError(t, err)
	fail, ok := m.(*msg.Fail)
	assert.Assert(t, ok, "%T", m)
	return fail
}
