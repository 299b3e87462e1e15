package front

import (
	"slices"
	"time"

	"github.com/radishhoist/radishhoist/internal/core/directory"
	"github.com/radishhoist/radishhoist/internal/core/refusal"
	"github.com/radishhoist/radishhoist/internal/msg"
	"github.com/radishhoist/radishhoist/verdict"
)

// serviceRefusals is what a front with Config.LearnRefusals knows of the refusals and the
// retry budget of one service. It is guarded by the service's lock.
type serviceRefusals struct {
	share   refusal.ServiceShare
	shareAt time.Time
	// reported is reused by refreshShare.
	reported []float64
	// budgetWait is the time at which a guard expects to have retry budget again.
	budgetWait refusal.Wait
}

// shareInterval is the interval at which a service's share of refused requests is computed,
// so that the work for a request does not grow with the number of instances.
const shareInterval = 50 * time.Millisecond

// refreshShare computes the service's share of refused requests from recent reports if the
// last result is too old. The caller must hold st.mu.
func (st *serviceState) refreshShare(now time.Time) {
	r := st.refusals
	if r == nil || now.Sub(r.shareAt) < shareInterval {
		return
	}
	r.reported = r.reported[:0]
	for _, i := range st.candidates.eligible {
		if o := st.targets[i].observed; now.Sub(o.loadAt) <= loadMaxAge {
			r.reported = append(r.reported, o.reportedShedShare())
		}
	}
	r.share.Update(now, r.reported)
	r.shareAt = now
}

func (o *observations) reportedShedShare() float64 {
	return float64(o.load.ShedShare) / msg.Thousandths
}

// refusalChance is the probability that the instance refuses a request, that of the service
// for an instance without a report. The caller must hold the service's lock.
func (o *observations) refusalChance(now time.Time) float64 {
	if o.refusals == nil {
		return o.shedShare.At(now)
	}
	return o.refusals.share.Estimate(o.reportedShedShare(), now.Sub(o.loadAt))
}

// mayGrantRetry reports whether the guard is worth considering for a retry. With
// LearnRefusals those whose reports are older are included, because their load is queried
// before they are asked, see askable. The caller must hold the service's lock.
func (o *observations) mayGrantRetry(now time.Time) bool {
	if o.refusals == nil {
		return o.retryBudgetLeft(now)
	}
	return !o.budget.JustSpent(now)
}

// queryBeforeRetry reports whether the guard's load must be queried before a retry although
// it counts as current otherwise. The caller must hold the service's lock.
func (o *observations) queryBeforeRetry(now time.Time) bool {
	return o.refusals != nil && o.budget.Spent(now, 0) && !o.budget.JustSpent(now)
}

// learnsRefusals reports whether Config.LearnRefusals applies to the request.
func (e *execution) learnsRefusals() bool {
	return e.front != nil && e.front.cfg.LearnRefusals && e.req.state.refusals != nil
}

// retryLevel is the order in which guards grant the request a retry. Guards also distinguish
// calls, which a front cannot distinguish from requests of callers.
func (e *execution) retryLevel(now time.Time, hedge bool) refusal.Level {
	return refusal.Retry{
		NotRun: !e.req.idempotent, Hedge: hedge,
		Objective: e.req.route.Objective(), Elapsed: now.Sub(e.req.arrived), Expected: e.req.state.expectedServiceTime(e.req),
		Priority: uint8(e.req.priority()), SubPriority: uint8(e.req.route.Priority),
	}.Level()
}

// askable returns the sampled targets whose guards may be asked for a retry. If there is
// none because guards are known to have no retry budget left, the retry is counted as not
// asked for. Without LearnRefusals it returns all.
func (e *execution) askable(sampled []*target, options attemptOptions) []*target {
	if !options.usesRetryBudget || !e.learnsRefusals() {
		return sampled
	}
	now := time.Now()
	level := e.retryLevel(now, options.hedge)
	st := e.req.state
	st.mu.Lock()
	defer st.mu.Unlock()
	guards, ask := make([]*refusal.GuardBudget, len(sampled)), make([]bool, len(sampled))
	for k, t := range sampled {
		guards[k] = &t.observed.budget
	}
	if !refusal.Askable(now, level, guards, ask) {
		if st.untriedGuardSpent(now, level, e.tried) {
			e.front.counts.retriesNotAsked.Inc()
			e.setRetryBudgetWait(now, options)
		}
		return nil
	}
	k := -1
	return slices.DeleteFunc(slices.Clone(sampled), func(*target) bool { k++; return !ask[k] })
}

// untriedGuardSpent reports whether a guard that the request has not tried is known to have
// no retry budget left. The caller must hold st.mu.
func (st *serviceState) untriedGuardSpent(now time.Time, l refusal.Level, tried []*target) bool {
	return slices.ContainsFunc(st.candidates.eligible, func(i int) bool {
		t := st.targets[i]
		return t.observed.budget.Spent(now, l) && !wasTried(tried, t)
	})
}

// recordBudgetRefusal records that a guard has refused a retry for lack of budget. The caller
// must hold e.mu.
func (e *execution) recordBudgetRefusal(p pick, fail *verdict.Error) {
	if !e.learnsRefusals() {
		return
	}
	now := time.Now()
	level := e.retryLevel(now, p.options.hedge)
	st := e.req.state
	st.mu.Lock()
	defer st.mu.Unlock()
	p.target.observed.budget.Refuse(now, level)
	st.refusals.budgetWait.Expect(now, time.Duration(fail.RetryAfterMS)*time.Millisecond)
	e.setRetryBudgetWait(now, p.options)
}

// setRetryBudgetWait records for a retry that was not granted when budget is expected again.
// A request that gets no hedge still awaits its response. The caller must hold e.mu and the
// service's lock.
func (e *execution) setRetryBudgetWait(now time.Time, options attemptOptions) {
	if !options.hedge {
		e.retryBudgetWait = e.req.state.refusals.budgetWait.Left(now)
	}
}

// askedEnough reports whether the request has asked as many guards for a retry as it may.
// The caller must hold e.mu or have exclusive access.
func (e *execution) askedEnough() bool {
	return e.learnsRefusals() && e.guardsAsked >= max(refusal.MaxGuardsAsked, e.req.route.Attempts()-1)
}

// addRetryBudgetWait raises the Retry-After of a request that did not run and was not retried
// for lack of retry budget to the time until budget is expected again.
func (e *execution) addRetryBudgetWait(combined *verdict.Error) {
	if combined.Verdict == verdict.NotRun {
		combined.RetryAfterMS = max(combined.RetryAfterMS, e.retryBudgetWait.Milliseconds())
	}
}

// registerShedShares adds the gauges of the services' shares of refused requests and removes
// those of services that no longer exist.
func (f *Front) registerShedShares(d *directory.Directory) {
	if !f.cfg.LearnRefusals {
		return
	}
	for _, name := range f.counts.shedShareServices() {
		if _, ok := d.Services[name]; !ok {
			f.counts.removeShedShare(name)
		}
	}
	for name := range d.Services {
		f.counts.addShedShare(name, func() float64 { return f.shedShare(name) })
	}
}

// shedShare returns the share of requests that the instances of a service refuse.
func (f *Front) shedShare(service string) float64 {
	st := f.services.get(service)
	if st == nil {
		return 0
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	st.refreshShare(time.Now())
	return st.refusals.share.Mean()
}
