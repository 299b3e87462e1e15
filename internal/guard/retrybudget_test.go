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
	refusals "github.com/radishhoist/radishhoist/internal/core/refusal"
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

func retryLimits() Limits { return Limits{RetryReserve: testReserve, RetryWindow: testWindow} }

// testDirectory returns the directory of a host that knows the given hosts, each with one
// instance of service s. alive reports for each whether it is considered alive.
func testDirectory(alive []bool) *directory.Directory {
	svc := &record.Record{Key: record.Key{Kind: record.KindService, Name: "s"}, Spec: &record.Service{RetryPercent: testPercent}}
	var hosts []*directory.Host
	for i, up := range alive {
		name := fmt.Sprintf("h%d", i)
		hosts = append(hosts, &directory.Host{Name: name, Alive: up, Instances: []directory.Instance{{Name: name, Service: "s"}}})
	}
	return directory.Build(directory.Compile([]*record.Record{svc}, true), hosts)
}

// Over all guards of a service together, with hosts that stop, restart and leave the
// directory, the retries of every window must stay within the allowance: a fifth of
// the requests plus the reserve, in whatever order they are granted.
func TestGuardsTogetherStayWithinRetryBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		guards := rapid.IntRange(2, 9).Draw(t, "guards")
		inOrder := rapid.Bool().Draw(t, "in order")
		reserve := func(r *retryBudgets, now time.Time) bool {
			if !inOrder {
				return r.reserve(now, "s", msg.AdmissionHints{})
			}
			granted, _ := r.reserveInOrder(now, "s", refusals.Retry{NotRun: rng.IntN(2) == 0, Priority: uint8(rng.IntN(4))}, 0)
			return granted
		}
		now := time.Unix(1000, 0)
		all := make([]*retryBudgets, guards)
		alive := make([]bool, guards)
		for i := range all {
			all[i], alive[i] = newRetryBudgets(), true
			all[i].apply(now, testDirectory(make([]bool, guards)), retryLimits())
		}
		for i := range all {
			all[i].apply(now, testDirectory(alive), retryLimits())
		}
		now = now.Add(testWindow)
		var firstAttempts, retries []time.Time
		for range rapid.IntRange(100, 3000).Draw(t, "steps") {
			now = now.Add(time.Duration(rng.IntN(40)) * time.Millisecond)
			i := rng.IntN(guards)
			if rng.IntN(400) == 0 {
				alive[i] = !alive[i]
				if alive[i] {
					all[i] = newRetryBudgets()
				}
				for k := range all {
					all[k].apply(now, testDirectory(alive), retryLimits())
				}
			}
			if i = firstAlive(alive, i); i < 0 {
				continue
			}
			all[i].end(all[i].begin(now, "s", false, true, msg.AdmissionHints{}))
			firstAttempts = append(firstAttempts, now)
			for reserve(all[i], now) {
				all[i].end(all[i].begin(now, "s", true, true, msg.AdmissionHints{}))
				retries = append(retries, now)
			}
		}
		checkWindows(t, firstAttempts, retries)
	})
}

// firstAlive returns the first host alive from the given index on, -1 if there is
// none.
func firstAlive(alive []bool, from int) int {
	for k := range alive {
		if i := (from + k) % len(alive); alive[i] {
			return i
		}
	}
	return -1
}

// checkWindows checks every window that ends with a retry against the allowance. If
// load drops, the number of requests is that of the preceding window or of the one
// half a window earlier: the requests before a retry add to its allowance.
func checkWindows(t *rapid.T, firstAttempts, retries []time.Time) {
	oldest := 0
	for i, end := range retries {
		from := end.Add(-testWindow)
		for retries[oldest].Before(from) {
			oldest++
		}
		requests := 0
		for _, back := range []time.Duration{0, testWindow / 2, testWindow} {
			requests = max(requests, countWithin(firstAttempts, from.Add(-back), end.Add(-back)))
		}
		bound := testPercent/100.0*float64(requests) + testReserve
		assert.Assert(t, float64(i+1-oldest) <= bound, "%d retries, at most %.1f allowed", i+1-oldest, bound)
	}
}

// countWithin counts the times within a window, including both ends.
func countWithin(times []time.Time, from, end time.Time) int {
	first := sort.Search(len(times), func(i int) bool { return !times[i].Before(from) })
	after := sort.Search(len(times), func(i int) bool { return times[i].After(end) })
	return after - first
}

// Regression test for an allowance that could not be spent where retries were needed: it
// was divided among the fronts, and each part was too small to use. Guards must be able to
// spend nearly all of it.
func TestFewGuardsCanSpendNearlyTheWholeBudget(t *testing.T) {
	const guards, perSecond = 8, 60
	now := time.Unix(1000, 0)
	all := make([]*retryBudgets, guards)
	up := make([]bool, guards)
	for i := range up {
		up[i] = true
	}
	for i := range all {
		all[i] = newRetryBudgets()
		all[i].apply(now, testDirectory(up), retryLimits())
	}
	spent := 0
	for k := range perSecond * 30 {
		now = now.Add(time.Second / perSecond)
		r := all[k%guards]
		r.begin(now, "s", false, true, msg.AdmissionHints{OriginIdle: true})
		if k >= perSecond*20 && r.reserve(now, "s", msg.AdmissionHints{}) {
			r.begin(now, "s", true, true, msg.AdmissionHints{})
			spent++
		}
	}
	allowed := testPercent*perSecond*10/100 + testReserve
	assert.Assert(t, float64(spent) > 0.85*guardBudgetPart*allowed, "%d of %.0f", spent, allowed)
}

// Hedges and retries after the objective leave half of the budget to retries that can
// still meet it.
func TestHedgesAndLateRetriesLeaveHalfOfTheBudget(t *testing.T) {
	now := time.Unix(1000, 0)
	r := newRetryBudgets()
	r.apply(now, testDirectory([]bool{true}), retryLimits())
	now = now.Add(testWindow)
	hedges := 0
	for r.reserve(now, "s", msg.AdmissionHints{Hedge: true}) {
		hedges++
	}
	half := int(timelyRetryPart * guardBudgetPart * testReserve)
	assert.Assert(t, hedges == half || hedges == half-1, "%d", hedges)
	assert.Assert(t, !r.reserve(now, "s", msg.AdmissionHints{ObjectiveMS: 500, ElapsedMS: 600}))
	assert.Assert(t, r.reserve(now, "s", msg.AdmissionHints{ObjectiveMS: 500, ElapsedMS: 100}))
}

// Requests that originate on a host running retries may be calls made by these, and then
// count in part as retries, unless callers use the route.
func TestCallsOfRetriedRunsAreEstimated(t *testing.T) {
	now := time.Now()
	g := newTestGuard(t, "127.0.0.1:1")
	g.retryBudgets.apply(now.Add(-time.Minute), testDirectory([]bool{true}), retryLimits())
	nestedRetryChance, idle := g.CallOrigin()
	assert.Assert(t, idle)
	assert.Equal(t, nestedRetryChance, uint16(0))
	assert.Equal(t, g.retryBudgets.begin(now, "s", false, true, msg.AdmissionHints{Route: 1, OriginIdle: true}).retryFraction, uint16(0))
	g.retryBudgets.begin(now, "s", false, false, msg.AdmissionHints{Route: 1, OriginIdle: true})
	assert.Assert(t, g.retryBudgets.reserve(now, "s", msg.AdmissionHints{}))
	retried := g.retryBudgets.begin(now, "s", true, true, msg.AdmissionHints{UsesRetryBudget: true, Route: 1})
	nestedRetryChance, idle = g.CallOrigin()
	assert.Equal(t, nestedRetryChance, uint16(msg.Thousandths/2), "work that cannot be retried does not count")
	assert.Assert(t, !idle)

	before := g.retryBudgets.remaining(now, "s")
	assert.Equal(t, g.retryBudgets.begin(now, "s", false, true, msg.AdmissionHints{Route: 2, NestedRetryChance: msg.Thousandths}).retryFraction, uint16(msg.Thousandths))
	assert.Equal(t, g.retryBudgets.remaining(now, "s"), before-1)
	g.retryBudgets.begin(now, "s", false, true, msg.AdmissionHints{Route: 1, OriginIdle: true})
	assert.Equal(t, g.retryBudgets.begin(now, "s", false, true, msg.AdmissionHints{Route: 1, NestedRetryChance: msg.Thousandths}).retryFraction, uint16(0), "callers use route 1")
	g.retryBudgets.end(retried)
}

// Guards against the first calls after a start being counted as callers' requests, which
// allowed retries beyond the bound until their route was known.
func TestRequestsOfUnknownRoutesAddNothingToBudget(t *testing.T) {
	now := time.Unix(1000, 0)
	r := newRetryBudgets()
	r.apply(now, testDirectory([]bool{true}), retryLimits())
	for range 30 {
		r.begin(now, "s", false, true, msg.AdmissionHints{Route: 1})
	}
	assert.Equal(t, r.remaining(now, "s"), uint16(0), "route not known yet")
	for range 30 {
		r.begin(now, "s", false, true, msg.AdmissionHints{Route: 2, OriginIdle: true})
	}
	assert.Equal(t, r.remaining(now, "s"), uint16(4), "callers use route 2; its first request came too early")
}

// A retry beyond the budget is refused before it reaches the instance, while a first
// attempt never is. The reservation of a refused or abandoned retry is returned.
func TestRetryBeyondBudgetIsRefusedAsNotRun(t *testing.T) {
	g := newTestGuard(t, startBreakingTarget(t))
	up := []bool{true}
	g.limits.Store(&Limits{AnnounceExpiry: time.Hour, RetryReserve: 2, RetryWindow: testWindow})
	g.retryBudgets.apply(time.Now().Add(-time.Minute), testDirectory(up), *g.limits.Load())
	// A reserve of 2 times guardBudgetPart leaves room for one retry.
	assert.Equal(t, g.retryBudgets.remaining(time.Now(), "s"), uint16(1))
	retryHints := msg.AdmissionHints{UsesRetryBudget: true}
	assert.Equal(t, serveFailing(t, g, retryHints).Reason, verdict.ReasonTargetBroke, "the retry was forwarded")
	refused := serveFailing(t, g, retryHints)
	assert.Equal(t, refused.Reason, verdict.ReasonRetryBudget)
	assert.Equal(t, refused.Verdict, verdict.NotRun)
	assert.Equal(t, serveFailing(t, g, msg.AdmissionHints{NestedRetryChance: msg.Thousandths}).Reason, verdict.ReasonTargetBroke)
}

// Calls made by retried runs cannot be refused. If such a call finds the budget
// empty, the host it came from is notified and makes no retries for a while.
func TestHostWithOverdrawnCallsPausesRetries(t *testing.T) {
	called := newTestGuard(t, startBreakingTarget(t))
	called.limits.Store(&Limits{AnnounceExpiry: time.Hour, RetryReserve: 2, RetryWindow: testWindow})
	called.retryBudgets.apply(time.Now().Add(-time.Minute), testDirectory([]bool{true}), *called.limits.Load())
	call := msg.AdmissionHints{NestedRetryChance: msg.Thousandths, Route: 7}
	assert.Assert(t, !serveFailing(t, called, msg.AdmissionHints{Route: 7}).Load.RetryBudgetOverdrawn, "not a call made by a retry")
	assert.Assert(t, serveFailing(t, called, call).Load.RetryBudgetOverdrawn)

	now := time.Now()
	caller := newTestGuard(t, "127.0.0.1:1")
	caller.retryBudgets.apply(now.Add(-time.Minute), testDirectory([]bool{true}), retryLimits())
	assert.Assert(t, caller.retryBudgets.reserve(now, "s", msg.AdmissionHints{}))
	caller.PauseRetries(now)
	assert.Assert(t, !caller.retryBudgets.reserve(now, "s", msg.AdmissionHints{}))
	assert.Assert(t, caller.retryBudgets.reserve(now.Add(2*overdrawnPause), "s", msg.AdmissionHints{}))
}

// A retry that is abandoned in the queue returns its reservation.
func TestAbandonedRetryIsReturnedToBudget(t *testing.T) {
	g := newTestGuard(t, "127.0.0.1:1")
	g.limits.Store(&Limits{AnnounceExpiry: time.Hour, RetryReserve: 2, RetryWindow: testWindow})
	g.retryBudgets.apply(time.Now().Add(-time.Minute), testDirectory([]bool{true}), *g.limits.Load())
	near, far := wire.Pipe()
	done := make(chan struct{})
	go func() {
		defer close(done)
		g.Serve(far, &msg.Reserve{RequestID: "r", Service: "s", Instance: "i", TimeoutMS: 20000, Hints: msg.AdmissionHints{UsesRetryBudget: true}})
	}()
	_, err := near.Recv(context.Background())
	assert.NilError(t, err)
	assert.Equal(t, g.retryBudgets.remaining(time.Now(), "s"), uint16(0))
	near.Close()
	<-done
	assert.Equal(t, g.retryBudgets.remaining(time.Now(), "s"), uint16(1))
}

// startBreakingTarget starts a target that reads every request and then closes the
// connection, and returns its address.
func startBreakingTarget(t *testing.T) string {
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

// serveFailing sends a retryable request and returns its failure.
func serveFailing(t *testing.T, g *Guard, hints msg.AdmissionHints) *msg.Fail {
	t.Helper()
	near, far := wire.Pipe()
	defer near.Close()
	go g.Serve(far, &msg.Run{RequestID: "r", Service: "s", Instance: "i", TimeoutMS: 20000, Idempotent: true, Method: "GET", URI: "/", Host: "a", Hints: hints})
	m, err := near.Recv(context.Background())
	assert.NilError(t, err)
	fail, ok := m.(*msg.Fail)
	assert.Assert(t, ok, "%T", m)
	return fail
}
