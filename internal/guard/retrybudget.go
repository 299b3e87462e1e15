package guard

import (
	"sync"
	"time"

	"github.com/radishhoist/radishhoist/internal/core/directory"
	refusals "github.com/radishhoist/radishhoist/internal/core/refusal"
	"github.com/radishhoist/radishhoist/internal/core/retry"
	"github.com/radishhoist/radishhoist/internal/msg"
)

const (
	// guardBudgetPart is the part of the retry budget that guards grant. The rest
	// covers what guards cannot know of or refuse: calls made by retried runs, which are
	// distributed unevenly over the guards, and the retries of hosts that join.
	guardBudgetPart = 0.8
	// timelyRetryPart is the part of the allowance that is reserved for retries that can
	// still meet the latency objective. Hedges and retries after the objective must leave
	// it unused.
	timelyRetryPart = 0.5
	// minimumCallPart is the part of a service's reserve that calls of retried runs may use
	// although nothing is left of what guards grant, so that the retries of the called
	// service do not keep out those of the calling ones. It is divided among the hosts of the
	// calling service, so that it permits nothing where there are many, and must stay below
	// 1 - guardBudgetPart for all calling services together.
	minimumCallPart = 0.1
	// overdrawnPause is how long a host grants no retries after a call made by one of
	// its runs found the budget empty: about the duration of a run with its calls.
	overdrawnPause = time.Second
	// guardDecreaseWindows is the number of windows for which a service keeps its
	// previous guard count after guards have left: these may have spent their part.
	guardDecreaseWindows = 2
)

// retryBudgets holds this host's part of the services' retry budgets.
//
// The budgets are kept by guards instead of fronts, because a service has few guards
// and a fleet has many fronts: divided among the fronts, each part would be too small
// to use.
type retryBudgets struct {
	mu        sync.Mutex
	byService map[string]*serviceBudget
	// runs counts the runs in progress on this host, retryableRuns those of work
	// that may be retried, and retryFractions the sum of their retry fractions.
	runs           int
	retryableRuns  int
	retryFractions int
	// held is the number of retries that were granted on this host and have not begun.
	held int
	// calls tracks the calls that the runs on this host make.
	calls  *retry.Calls
	limits Limits
	// overdrawnAt is when a call made by one of this host's runs last found the
	// retry budget of the called service empty.
	overdrawnAt time.Time
}

// serviceBudget is the retry budget of one service.
type serviceBudget struct {
	budget *retry.Budget
	// routeClassifier tells routes used by callers from routes used for calls between
	// services.
	routeClassifier *retry.RouteClassifier
	// order keeps scarce budget for the retries that save more, with LearnRefusals.
	order refusals.Order
	// share is the number of retries allowed per request.
	share float64
	// guards is the number of guards among which the reserve is divided.
	// reducedGuards is the lower number observed since reducedSince, if guards have
	// left.
	guards        int
	reducedGuards int
	reducedSince  time.Time
}

func newRetryBudgets() *retryBudgets {
	return &retryBudgets{byService: make(map[string]*serviceBudget), calls: retry.NewCalls()}
}

// apply adapts the budgets to a new directory.
func (r *retryBudgets) apply(now time.Time, d *directory.Directory, l Limits) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.limits = l
	for name := range r.byService {
		if _, ok := d.Services[name]; !ok {
			delete(r.byService, name)
		}
	}
	for name, s := range d.Services {
		b, ok := r.byService[name]
		if !ok {
			b = &serviceBudget{budget: retry.NewBudget(now, retry.Limits{}), routeClassifier: retry.NewRouteClassifier()}
			r.byService[name] = b
		}
		b.share = s.Record.RetryShare()
		b.setGuards(now, s.Hosts, guardDecreaseWindows*l.RetryWindow)
		b.applyLimits(l)
	}
}

// setLimits applies changed limits.
func (r *retryBudgets) setLimits(l Limits) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.limits = l
	for _, b := range r.byService {
		b.applyLimits(l)
	}
}

// setGuards updates the service's number of guards. A decrease takes effect after it
// has persisted for the hold time.
func (b *serviceBudget) setGuards(now time.Time, guards int, hold time.Duration) {
	switch {
	case guards >= b.guards:
		b.guards, b.reducedGuards = guards, guards
	case guards != b.reducedGuards:
		b.reducedGuards, b.reducedSince = guards, now
	case now.Sub(b.reducedSince) > hold:
		b.guards = guards
	}
}

func (b *serviceBudget) applyLimits(l Limits) {
	b.budget.SetLimits(retry.Limits{
		Share:   guardBudgetPart * b.share,
		Reserve: guardBudgetPart * l.RetryReserve / float64(max(b.guards, 1)),
		Window:  l.RetryWindow,
	})
}

// reserve reserves a retry for a request that is about to be admitted and reports whether
// the budget permits it.
func (r *retryBudgets) reserve(now time.Time, service string, hints msg.AdmissionHints) bool {
	keep := 0.0
	if hints.Hedge || hints.ObjectiveMS > 0 && hints.ElapsedMS >= hints.ObjectiveMS {
		keep = timelyRetryPart
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	b, ok := r.byService[service]
	return ok && now.Sub(r.overdrawnAt) > overdrawnPause && r.hold(now, b, keep)
}

// hold reserves a retry if the budgets of its service and of the services that the runs on
// this host call permit it. The caller must hold r.mu.
func (r *retryBudgets) hold(now time.Time, b *serviceBudget, keep float64) bool {
	if !b.budget.CanHold(now, keep) || !r.callsPermitted(now, b) {
		return false
	}
	r.held++
	return b.budget.Hold(now, keep)
}

// callsPermitted reports whether the services that the runs on this host call have budget
// left for the calls of one more retry of the service. The caller must hold r.mu.
func (r *retryBudgets) callsPermitted(now time.Time, b *serviceBudget) bool {
	retriedRuns := float64(r.retryFractions)/msg.Thousandths + float64(r.held)
	return r.calls.Permit(now, retriedRuns, func(service string) (retry.CalledBudget, bool) {
		called, ok := r.byService[service]
		if !ok {
			return retry.CalledBudget{}, false
		}
		callers := float64(max(b.guards, 1))
		return retry.CalledBudget{
			GuardsPerCaller: float64(max(called.guards, 1)) / callers,
			Minimum:         minimumCallPart * r.limits.RetryReserve / callers,
			Window:          r.limits.RetryWindow,
		}, true
	})
}

// ObserveCall records the response to a request that began on this host.
func (g *Guard) ObserveCall(now time.Time, call retry.Call) {
	g.retryBudgets.mu.Lock()
	defer g.retryBudgets.mu.Unlock()
	g.retryBudgets.calls.Add(now, call)
}

// PauseRetries records that a call that may come from a retried run on this host has
// found the retry budget empty. Such calls cannot be refused, so the host grants no
// retries for a while.
func (g *Guard) PauseRetries(now time.Time) {
	g.retryBudgets.mu.Lock()
	defer g.retryBudgets.mu.Unlock()
	g.retryBudgets.overdrawnAt = now
}

// release returns a reserved retry.
func (r *retryBudgets) release(service string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.held = max(r.held-1, 0)
	if b, ok := r.byService[service]; ok {
		b.budget.Release()
	}
}

// activeRun is one run in progress.
type activeRun struct {
	// retryFraction is the fraction of the run that counts as a retry, in thousandths.
	retryFraction uint16
	// retryable reports that the run may be retried or is itself a retry.
	retryable bool
}

// begin records that a request is sent to an instance and uses the reservation if
// there is one. Any other request counts as a first attempt and, on a route that may
// be used for calls between services, in part also as a retry, as given by its front.
func (r *retryBudgets) begin(now time.Time, service string, reserved, idempotent bool, hints msg.AdmissionHints) activeRun {
	r.mu.Lock()
	defer r.mu.Unlock()
	var run activeRun
	r.calls.AddRun(now)
	if reserved {
		r.held = max(r.held-1, 0)
	}
	b, ok := r.byService[service]
	switch {
	case !ok:
	case reserved:
		run.retryFraction = msg.Thousandths
		b.budget.UseHeld(now)
	default:
		run.retryFraction = b.recordFirstAttempt(now, hints)
	}
	run.retryable = idempotent || reserved
	r.countRun(run, 1)
	return run
}

// recordFirstAttempt records a first attempt and returns the fraction that counts as a
// retry, in thousandths.
func (b *serviceBudget) recordFirstAttempt(now time.Time, hints msg.AdmissionHints) uint16 {
	b.routeClassifier.Observe(now, hints.Route, hints.OriginIdle)
	if b.routeClassifier.IsCallerRoute(hints.Route) {
		b.budget.AddRequest(now, 0)
		return 0
	}
	fraction := min(hints.NestedRetryChance, msg.Thousandths)
	// A route that is not known yet adds nothing to the allowance. When it did, the first
	// calls after a start allowed half as many retries again as the budget of their service.
	if b.routeClassifier.IsCallRoute(hints.Route) || b.routeClassifier.IsUnknown(hints.Route) {
		b.budget.AddCall(now, float64(fraction)/msg.Thousandths)
	} else {
		b.budget.AddRequest(now, float64(fraction)/msg.Thousandths)
	}
	return fraction
}

// end removes a finished run from the counts.
func (r *retryBudgets) end(run activeRun) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.countRun(run, -1)
}

// countRun adds n times the run to the counts. The caller must hold r.mu.
func (r *retryBudgets) countRun(run activeRun, n int) {
	r.runs += n
	if run.retryable {
		r.retryableRuns += n
		r.retryFractions += n * int(run.retryFraction)
	}
}

// remaining returns the number of retries left in this host's part of a service's
// budget.
func (r *retryBudgets) remaining(now time.Time, service string) uint16 {
	r.mu.Lock()
	defer r.mu.Unlock()
	b, ok := r.byService[service]
	if !ok {
		return 0
	}
	return uint16(min(b.budget.Available(now), 1<<16-1))
}

// CallOrigin describes a request that originates on this host now. nestedRetryChance is
// the probability, in thousandths, that the request is a call made by a retried run,
// given that it is a call at all. Such calls are retries at the services they go to. A
// call does not name the run that made it, so this is the share of retries among the
// retryable runs now on this host; counting other runs would make it look smaller. idle
// reports that nothing runs here.
func (g *Guard) CallOrigin() (nestedRetryChance uint16, idle bool) {
	r := g.retryBudgets
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.retryableRuns > 0 {
		nestedRetryChance = uint16(r.retryFractions / r.retryableRuns)
	}
	return nestedRetryChance, r.runs == 0
}
