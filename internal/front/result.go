package front

import (
	"net/http"
	"slices"
	"time"

	"github.com/radishhoist/radishhoist/verdict"
)

// reachedInstance reports whether the failed attempt may have reached its instance. It then
// counts as one of the route's attempts, and further ones draw on the retry budget, even if
// the instance refused the request.
func reachedInstance(fail *verdict.Error) bool {
	return fail.Verdict != verdict.NotRun || fail.Reason == verdict.ReasonTargetShed
}

// accept records an outcome and reports whether its response goes to the caller.
func (e *execution) accept(o *outcome) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if o.fail != nil {
		e.addFailure(o.fail)
		return false
	}
	e.reachedInstance = true
	if !retryableStatus(o.response.head.Status) || o.response.streaming {
		return true
	}
	e.fallback = o.response
	return false
}

// addFailure records an attempt that ended without a response. The caller must hold e.mu or
// have exclusive access.
func (e *execution) addFailure(fail *verdict.Error) {
	e.failures = append(e.failures, fail)
	if e.guardsAsked > 0 && !reachedInstance(fail) && fail.Reason != verdict.ReasonRetryBudget {
		// The guard had budget but no room, so that it does not count as asked for budget.
		e.guardsAsked--
	}
	e.reachedInstance = e.reachedInstance || reachedInstance(fail)
}

// retryableStatus reports whether a status indicates a failure of the target and not a
// fault in the request.
func retryableStatus(status uint16) bool {
	switch int(status) {
	case http.StatusInternalServerError, http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return true
	default:
		return false
	}
}

// finalResult returns the best result once no attempt can follow. It prevents a hedge from
// starting, so that the failures no longer change.
func (e *execution) finalResult() (*response, *verdict.Error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.done = true
	if e.fallback != nil {
		return e.fallback, nil
	}
	return nil, e.combinedFailure()
}

// combinedFailure combines the attempts' failures. The request did not run only if no
// attempt did.
func (e *execution) combinedFailure() *verdict.Error {
	if len(e.failures) == 0 {
		return e.noTarget()
	}
	combined := *e.reportedFailure()
	for _, fail := range e.failures {
		if fail.Verdict != verdict.NotRun && combined.Verdict != verdict.Ran {
			combined.Verdict = fail.Verdict
		}
	}
	combined.RetryAfterMS = e.retryAfterMS()
	e.addRetryBudgetWait(&combined)
	if combined.RetryAfterMS == 0 && combined.Reason != verdict.ReasonCancelled {
		combined.RetryAfterMS = defaultRetryAfter.Milliseconds()
	}
	return &combined
}

// retryAfterMS is the longest time given by a refusal. The wait for the rate limit of an instance
// counts only where all refusals name one, and then the shortest: the service may have
// another instance without a limit.
func (e *execution) retryAfterMS() int64 {
	longest, shortestLimit := int64(0), int64(0)
	for _, fail := range e.failures {
		switch {
		case fail.Reason == verdict.ReasonRetryBudget:
			// See addRetryBudgetWait.
		case fail.Reason != verdict.ReasonTargetLimit:
			longest = max(longest, fail.RetryAfterMS)
		case shortestLimit == 0 || fail.RetryAfterMS < shortestLimit:
			shortestLimit = fail.RetryAfterMS
		}
	}
	if longest == 0 {
		return shortestLimit
	}
	return longest
}

// reportedFailure is the failure reported to the caller: the last one that is not a refusal
// by the retry budget, since such a refusal does not say why a retry was needed.
func (e *execution) reportedFailure() *verdict.Error {
	for _, fail := range slices.Backward(e.failures) {
		if fail.Reason != verdict.ReasonRetryBudget {
			return fail
		}
	}
	return e.failures[len(e.failures)-1]
}

// defaultRetryAfter is the Retry-After when no better value is known. A retry after this
// time may find another target.
const defaultRetryAfter = time.Second

func (e *execution) noTarget() *verdict.Error {
	return retryLater(verdict.ReasonNoTarget, "service "+e.req.service.Name+" has no available target", defaultRetryAfter)
}
