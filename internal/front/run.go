package front

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/radishhoist/radishhoist/verdict"
)

// maxAttempts bounds the attempts of one request.
const maxAttempts = 3

// race is the attempts of one request.
type race struct {
	front *Front
	req   *request
	rng   *rand.Rand
	tried []*target
	// worst is the weakest verdict of the attempts that ended without answer.
	failures []*verdict.Error
	// spare is a whole answer that tells of a failing target, given to the
	// caller where no attempt does better.
	spare *answer
}

// runIdempotent makes attempts one after the other, and one more beside a slow
// one, until one has a whole answer.
func (f *Front) runIdempotent(ctx context.Context, req *request) (*answer, *verdict.Error) {
	c := &race{front: f, req: req, rng: f.rng()}
	ctx, cancel := context.WithCancel(ctx)
	results := make(chan *outcome, maxAttempts)
	running := 0
	launch := func() bool {
		t, sample := f.choose(req, c.tried, c.rng)
		if t == nil || len(c.tried) >= maxAttempts {
			if t != nil {
				req.state.release(t)
			}
			return false
		}
		c.tried = append(c.tried, t)
		req.attempts++
		running++
		go func() { results <- f.attempt(ctx, req, t, sample, nil) }()
		return true
	}
	defer func() {
		// Attempts that lost are cancelled; an answer that came all the same
		// is still evidence about its target.
		if running > 0 {
			go c.reap(results, running, cancel)
		}
	}()
	if !launch() {
		cancel()
		return nil, c.noTarget()
	}
	hedge := time.NewTimer(req.state.hedgeDelay())
	defer hedge.Stop()
	for {
		select {
		case o := <-results:
			running--
			req.state.observe(o.target, o)
			if c.take(o) {
				if running == 0 && !o.answer.open {
					cancel()
				}
				return o.answer, nil
			}
			if c.mayRetry(ctx, o) && launch() {
				f.counts.retries.Inc()
				continue
			}
			if running == 0 {
				cancel()
				return c.settle()
			}
		case <-hedge.C:
			if req.repeatable() && len(c.tried) < maxAttempts && req.state.payRetry() && launch() {
				f.counts.hedges.Inc()
			}
		}
	}
}

// reap waits for the attempts that lost.
func (c *race) reap(results <-chan *outcome, running int, cancel context.CancelFunc) {
	cancel()
	for range running {
		o := <-results
		c.req.state.observe(o.target, o)
		if o.answer != nil {
			o.answer.close()
		}
	}
}

// take accepts an outcome that the caller should get.
func (c *race) take(o *outcome) bool {
	if o.fail != nil {
		c.failures = append(c.failures, o.fail)
		return false
	}
	if !retriableStatus(o.answer.head.Status) || o.answer.open {
		return true
	}
	c.spare = o.answer
	return false
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

// mayRetry decides about another attempt. Work that did not run costs
// nothing; any other repeat is paid from the service's budget.
func (c *race) mayRetry(ctx context.Context, o *outcome) bool {
	if ctx.Err() != nil || !c.req.repeatable() || len(c.tried) >= maxAttempts {
		return false
	}
	if o.fail != nil && o.fail.Verdict == verdict.NotRun {
		return true
	}
	return c.req.state.payRetry()
}

// settle gives the best that is left once no attempt can follow.
func (c *race) settle() (*answer, *verdict.Error) {
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
	last := *c.failures[len(c.failures)-1]
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

// defaultRetryAfter is told to callers where nothing better is known: by then
// a failed target is left out.
const defaultRetryAfter = time.Second

func (c *race) noTarget() *verdict.Error {
	return retryLater(verdict.ReasonNoTarget, "service "+c.req.service.Name+" has no target that takes work", defaultRetryAfter)
}

// runOnce makes attempts strictly one after the other, and another only where
// the one before is proved not to have run.
func (f *Front) runOnce(ctx context.Context, req *request, claim func() *claimTask) (*answer, *verdict.Error) {
	c := &race{front: f, req: req, rng: f.rng()}
	for len(c.tried) < maxAttempts {
		t, sample := f.choose(req, c.tried, c.rng)
		if t == nil {
			break
		}
		c.tried = append(c.tried, t)
		req.attempts++
		o := f.attempt(ctx, req, t, sample, claim())
		req.state.observe(t, o)
		if o.fail == nil {
			return o.answer, nil
		}
		c.failures = append(c.failures, o.fail)
		if o.fail.Verdict != verdict.NotRun || ctx.Err() != nil || !req.repeatable() || isKeyReason(o.fail.Reason) {
			break
		}
		f.counts.retries.Inc()
	}
	return nil, c.verdict()
}

func (st *serviceState) hedgeDelay() time.Duration {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.latency.hedgeDelay()
}
