package guard

import (
	"time"

	"github.com/radishhoist/radishhoist/internal/core/admit"
	refusals "github.com/radishhoist/radishhoist/internal/core/refusal"
	"github.com/radishhoist/radishhoist/internal/msg"
	"github.com/radishhoist/radishhoist/verdict"
)

// countsAsShed reports whether a request that the instance refused counts in its shed
// share. With LearnRefusals all do, because fronts compare the share with that of the
// service. If only those with a free slot counted, the share of a full instance would
// decay, and fronts would prefer it. The caller must hold i.mu.
func (i *instance) countsAsShed(now time.Time) bool {
	free := i.hadFreeSlot(now)
	i.guard.counts.shed(free)
	return free || i.guard.cfg.LearnRefusals
}

// retryOf describes a request that uses the retry budget. A request that is not idempotent
// is retried only if it has not run; of any other it is not known.
func retryOf(hints msg.AdmissionHints, r admit.Request) refusals.Retry {
	ms := func(n uint32) time.Duration { return time.Duration(n) * time.Millisecond }
	return refusals.Retry{
		NotRun: r.Reserve, Hedge: hints.Hedge,
		Objective: ms(hints.ObjectiveMS), Elapsed: ms(hints.ElapsedMS), Expected: ms(hints.ExpectedMS),
		Priority: r.Priority, SubPriority: r.SubPriority,
	}
}

// reserveInOrder is reserve with the order of package refusal: while little budget is left,
// it is kept for the retries that save more. A refusal comes with the time until budget is
// expected again, at most refusals.MaxWait.
func (r *retryBudgets) reserveInOrder(now time.Time, service string, retry refusals.Retry, route uint32) (granted bool, wait time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	b, ok := r.byService[service]
	if !ok {
		return false, refusals.MaxWait
	}
	retry.Call = b.routeClassifier.IsCallRoute(route)
	keep := b.order.Keep(now, retry)
	if paused := overdrawnPause - now.Sub(r.overdrawnAt); paused >= 0 {
		return false, max(paused, time.Millisecond)
	}
	if r.hold(now, b, keep) {
		return true, 0
	}
	if b.budget.CanHold(now, keep) {
		// A called service has no budget left, and when it will is not known here.
		return false, refusals.MaxWait
	}
	wait, ok = b.budget.Wait(now, keep)
	if !ok {
		return false, refusals.MaxWait
	}
	return false, min(max(wait, time.Millisecond), refusals.MaxWait)
}

// grantable is remaining, but 0 while this host grants no retries.
func (r *retryBudgets) grantable(now time.Time, service string) uint16 {
	r.mu.Lock()
	paused := now.Sub(r.overdrawnAt) <= overdrawnPause
	r.mu.Unlock()
	if paused {
		return 0
	}
	return r.remaining(now, service)
}

// reportedBudget returns the retry budget that is reported to fronts.
func (i *instance) reportedBudget(now time.Time) uint16 {
	if i.guard.cfg.LearnRefusals {
		return i.guard.retryBudgets.grantable(now, i.service)
	}
	return i.guard.retryBudgets.remaining(now, i.service)
}

// budgetOverdrawn reports whether the budget is used up, given the load that is sent. A pause
// of this host's retries, for which the load shows no budget, does not count.
func (x *exchange) budgetOverdrawn(l msg.Load) bool {
	return l.RetryBudgetLeft == 0 && (!x.guard.cfg.LearnRefusals || x.guard.retryBudgets.remaining(time.Now(), x.inst.service) == 0)
}

// retryBudgetRefusal refuses a request for lack of retry budget.
func retryBudgetRefusal(wait time.Duration) *verdict.Error {
	e := refusal(verdict.ReasonRetryBudget, "this host's part of the retry budget is spent")
	e.RetryAfterMS = wait.Milliseconds()
	return e
}
