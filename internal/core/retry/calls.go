package retry

import (
	"math"
	"time"
)

const (
	// callRateHalfLife is the half-life of the counts of runs and of calls.
	callRateHalfLife = 10 * time.Second
	// reportedLeftHalfLife is the half-life of the reports of what is left of a budget. A
	// run makes its calls some 100 ms after its retry is granted, and the budget may be
	// used up within a second.
	reportedLeftHalfLife = 500 * time.Millisecond
	// reportedLeftMaxAge is how long the last report is believed.
	reportedLeftMaxAge = time.Second
	// maxCalledServices is the maximum number of called services tracked.
	maxCalledServices = 64
)

// Call describes the response to a request that began on a host.
type Call struct {
	Service string
	Route   uint32
	// First reports that it was the first attempt and reached an instance.
	First bool
	// OriginIdle reports that nothing was running on the host where the request began.
	OriginIdle bool
	// BudgetLeft is the number of retries left in the part of the service's budget that
	// the responding guard keeps.
	BudgetLeft uint16
}

// Calls tracks how many calls the runs on a host make, and how much is left of the retry
// budgets of the called services. A call of a retried run counts in these and cannot be
// refused there, so the retry must be refused instead. Calls is not safe for concurrent use.
type Calls struct {
	routes    *RouteClassifier
	runs      decayingSum
	byService map[string]*calledService
}

// calledService is what is known of one called service.
type calledService struct {
	calls decayingSum
	// left and reports are the sum of the reported budgets and their number.
	left, reports decayingSum
	reportedAt    time.Time
	// minimum permits retries although the service's budget is used up.
	minimum *Budget
}

// NewCalls returns a Calls that knows of no calls.
func NewCalls() *Calls {
	return &Calls{routes: NewRouteClassifier(), byService: make(map[string]*calledService)}
}

// AddRun records that a run begins on the host.
func (c *Calls) AddRun(now time.Time) { c.runs.add(now, callRateHalfLife, 1) }

// Add records the response to a request that began on the host. Requests on routes that
// do not look as if they were used only for calls are ignored. Waiting until that is known
// took over 5 s after a start, in which calls overdrew the budget.
func (c *Calls) Add(now time.Time, call Call) {
	if call.First {
		c.routes.Observe(now, call.Route, call.OriginIdle)
	}
	if !c.routes.IsLikelyCallRoute(call.Route) {
		return
	}
	s, ok := c.byService[call.Service]
	if !ok {
		if len(c.byService) >= maxCalledServices {
			clear(c.byService)
		}
		s = &calledService{minimum: NewBudget(now, Limits{})}
		c.byService[call.Service] = s
	}
	if call.First {
		s.calls.add(now, callRateHalfLife, 1)
	}
	s.left.add(now, reportedLeftHalfLife, float64(call.BudgetLeft))
	s.reports.add(now, reportedLeftHalfLife, 1)
	s.reportedAt = now
}

// CalledBudget describes how the retry budget of a called service is divided.
type CalledBudget struct {
	// GuardsPerCaller is the number of guards of the called service for each host that
	// calls it.
	GuardsPerCaller float64
	// Minimum is the number of calls of retried runs in a window that this host may make
	// although nothing is left.
	Minimum float64
	Window  time.Duration
}

// Permit reports whether the called services have budget left for the calls of one more
// retried run on this host, if the given number of retried runs in progress have yet to make
// theirs here and as many on every other calling host. It reserves the expected calls if only the
// minimum permits them. Services that are not known to be called permit every retry.
func (c *Calls) Permit(now time.Time, retriedRuns float64, budget func(service string) (CalledBudget, bool)) bool {
	runs := c.runs.at(now, callRateHalfLife)
	if runs == 0 {
		return true
	}
	type charge struct {
		minimum *Budget
		calls   float64
	}
	var charges []charge
	for name, s := range c.byService {
		b, ok := budget(name)
		if !ok || now.Sub(s.reportedAt) > reportedLeftMaxAge {
			continue
		}
		perRun := s.calls.at(now, callRateHalfLife) / runs
		left := s.left.at(now, reportedLeftHalfLife) / s.reports.at(now, reportedLeftHalfLife)
		if left*b.GuardsPerCaller >= perRun*(retriedRuns+1) {
			continue
		}
		s.minimum.SetLimits(Limits{Reserve: b.Minimum, Window: b.Window})
		if s.minimum.Available(now) < perRun {
			return false
		}
		charges = append(charges, charge{s.minimum, perRun})
	}
	for _, ch := range charges {
		ch.minimum.AddCall(now, ch.calls)
	}
	return true
}

// decayingSum is an exponentially decaying sum.
type decayingSum struct {
	sum       float64
	updatedAt time.Time
}

func (d *decayingSum) at(now time.Time, halfLife time.Duration) float64 {
	return d.sum * math.Exp2(-max(now.Sub(d.updatedAt), 0).Seconds()/halfLife.Seconds())
}

func (d *decayingSum) add(now time.Time, halfLife time.Duration, x float64) {
	d.sum, d.updatedAt = d.at(now, halfLife)+x, now
}
