package front

import (
	"net/http"
	"slices"
	"time"

	"github.com/radishhoist/radishhoist/verdict"
)

// arrived says that an attempt may have reached its instance, which the budget
// counts, also where the instance refused it.
func arrived(fail *verdict.Error) bool {
	return fail.Verdict != verdict.NotRun || fail.Reason == verdict.ReasonTargetShed
}

// take accepts an outcome that the caller should get.
func (c *race) take(o *outcome) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if o.fail != nil {
		c.failed(o.fail)
		return false
	}
	c.sent = true
	if !retriableStatus(o.answer.head.Status) || o.answer.open {
		return true
	}
	c.spare = o.answer
	return false
}

// failed takes an attempt that ended without an answer. The caller holds the
// lock, or is alone.
func (c *race) failed(fail *verdict.Error) {
	c.failures = append(c.failures, fail)
	c.sent = c.sent || arrived(fail)
}

// retriableStatus says that a status tells of the target's trouble rather
// than of the request.
func retriableStatus(status uint16) bool {
	switch int(status) {
	case http.StatusInternalServerError, http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return true
	default:
		return false
	}
}

// settle gives the best that is left once no attempt can follow: no hedge begins any
// more, so that the failures stay as they are.
func (c *race) settle() (*answer, *verdict.Error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.over = true
	if c.spare != nil {
		return c.spare, nil
	}
	return nil, c.verdict()
}

// verdict joins the attempts' verdicts: the request did not run only if no
// attempt did.
func (c *race) verdict() *verdict.Error {
	if len(c.failures) == 0 {
		return c.noTarget()
	}
	last := *c.telling()
	for _, fail := range c.failures {
		if fail.Verdict != verdict.NotRun && last.Verdict != verdict.Ran {
			last.Verdict = fail.Verdict
		}
		last.RetryAfterMS = max(last.RetryAfterMS, fail.RetryAfterMS)
	}
	if last.RetryAfterMS == 0 && last.Reason != verdict.ReasonCancelled {
		last.RetryAfterMS = defaultRetryAfter.Milliseconds()
	}
	return &last
}

// telling is the failure that the caller is told of: the last one, but for
// refusals of a repeat, which say nothing of why it was needed.
func (c *race) telling() *verdict.Error {
	for _, fail := range slices.Backward(c.failures) {
		if fail.Reason != verdict.ReasonRetryBudget {
			return fail
		}
	}
	return c.failures[len(c.failures)-1]
}

// defaultRetryAfter is told to callers where nothing better is known: by then
// a failed target is left out.
const defaultRetryAfter = time.Second

func (c *race) noTarget() *verdict.Error {
	return retryLater(verdict.ReasonNoTarget, "service "+c.req.service.Name+" has no target that takes work", defaultRetryAfter)
}
