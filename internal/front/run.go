package front

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/radishhoist/radishhoist/internal/core/crash"
	"github.com/radishhoist/radishhoist/internal/core/retry"
	"github.com/radishhoist/radishhoist/internal/guard"
	"github.com/radishhoist/radishhoist/verdict"
)

// maxGuardRefusals bounds how many guards may refuse a request before it has reached an
// instance. Each refusal costs a round trip between hosts.
const maxGuardRefusals = 6

// execution runs the attempts of one request.
type execution struct {
	front *Front
	req   *request

	mu    sync.Mutex
	rng   *rand.Rand
	tried []*target
	hedge *hedge
	// reachedInstance says that an attempt has reached an instance. Any further attempt
	// draws on the retry budget.
	reachedInstance bool
	// done says that the request has its response or its failure.
	done bool
	// summary describes the attempts so far.
	summary attemptSummary
	// guardsAsked is the number of attempts that draw on the retry budget, whether or not the
	// guard granted them, without those that were refused for another reason.
	guardsAsked int
	// retryBudgetWait is the time until retry budget is expected again, 0 if the request did
	// not lack any.
	retryBudgetWait time.Duration
	// cancelPrimary cancels the primary attempt if the hedge or an attempt at a silent host
	// responds first.
	cancelPrimary context.CancelFunc

	// failures are those of the attempts that ended without a response.
	failures []*verdict.Error
	// fallback is a complete response with a retryable status. The caller gets it if no
	// attempt does better.
	fallback *response
	// silent are the attempts that go on at hosts that send no frames.
	silent silentAttempts
}

// attemptSummary describes the attempts of a request. While they run it belongs to the
// execution and is guarded by its lock. The request gets a copy at its end, which later
// attempts do not change.
type attemptSummary struct {
	attempts int
	// entries are the finished attempts, for the log.
	entries []attemptEntry
	// budgetExhausted says that the retry budget did not allow a further attempt.
	budgetExhausted bool
}

// sampleCandidates returns the candidates of the next choice, with current loads.
func (e *execution) sampleCandidates(ctx context.Context, hedge bool) []*target {
	e.mu.Lock()
	tried, usesRetryBudget := slices.Clone(e.tried), e.reachedInstance || hedge
	rng := rand.New(rand.NewPCG(e.rng.Uint64(), e.rng.Uint64()))
	e.mu.Unlock()
	return e.front.sampleCandidates(ctx, e.req, tried, usesRetryBudget, rng)
}

// nextPick chooses the target of the next attempt among the sampled candidates. It returns
// false if no target is left or no attempt is allowed. hedge says that another attempt is
// running. The caller must hold e.mu or have exclusive access.
func (e *execution) nextPick(sampled []*target, hedge bool) (pick, bool) {
	if e.attemptsExhausted() {
		return pick{}, false
	}
	if !e.front.fitsBeforeShutdown(time.Now(), e.req) {
		e.addFailure(retryLater(verdict.ReasonDraining, "this host is shutting down and the request is not expected to finish in time; retry on another host", defaultRetryAfter))
		return pick{}, false
	}
	if hedge && e.suspectedOfCrashing() || len(e.failures) > 0 && e.incidents() >= crash.RetryBelowIncidents {
		// The request is not retried, nor sent to another instance if its designated one
		// has no capacity.
		return pick{}, false
	}
	if e.refusedAsCrashing() {
		return pick{}, false
	}
	if a := e.front.guard.CrashAssessment(e.req.fingerprint); a.BlockedEverywhere(time.Now()) {
		e.addFailure(guard.BlockedRefusal(time.Now(), e.req.fingerprint, &a))
		return pick{}, false
	}
	options := attemptOptions{usesRetryBudget: e.reachedInstance || hedge, hedge: hedge, allowLate: len(e.failures) >= onTimeAttempts}
	sampled = e.askable(sampled, options)
	p, ok := e.front.choose(e.req, sampled, e.tried, options.usesRetryBudget, e.rng)
	if !ok {
		e.noteBudgetExhausted(options.usesRetryBudget)
		return pick{}, false
	}
	if p.entry.Why == whyTrial || p.entry.Why == whyPath {
		e.front.counts.trials.Inc()
	}
	e.tried = append(e.tried, p.target)
	e.summary.attempts++
	if options.usesRetryBudget {
		e.guardsAsked++
	}
	p.options = options
	return p, true
}

// noteBudgetExhausted records that the retry budget did not allow an attempt. The caller
// must hold e.mu or have exclusive access.
func (e *execution) noteBudgetExhausted(usesRetryBudget bool) {
	if !usesRetryBudget || e.summary.budgetExhausted || e.done {
		return
	}
	e.summary.budgetExhausted = true
	e.front.counts.budgetExhausted.Inc()
}

// runAttempt makes one attempt at a chosen target and records its outcome.
func (e *execution) runAttempt(ctx context.Context, p pick, claim *claimTask) *outcome {
	o := e.front.runAttempt(ctx, e.req, p, claim)
	e.recordOutcome(p, o)
	if o.unfinished != nil {
		e.continueSilent(ctx, p, o.unfinished)
	}
	if !p.options.allowLate && o.fail != nil && (o.fail.Reason == verdict.ReasonQueueFull || o.fail.Reason == verdict.ReasonTeamShare) {
		e.clearTried(p.target)
	}
	if o.fail != nil && o.fail.Reason == verdict.ReasonRetryBudget {
		e.mu.Lock()
		e.noteBudgetExhausted(true)
		e.recordBudgetRefusal(p, o.fail)
		e.mu.Unlock()
	}
	return o
}

// recordOutcome passes the outcome of an attempt to all that learn from it.
func (e *execution) recordOutcome(p pick, o *outcome) {
	e.recordAttempt(p.entry, o)
	e.req.state.observe(e.req, p.target, o)
	e.front.recordTransfer(e.req, p.target, o)
	if o.succeeded() {
		e.front.guard.RecordCompletion(e.req.fingerprint, p.target.softwareVersion())
	}
	if o.load.Slots > 0 {
		e.front.guard.ObserveCall(time.Now(), retry.Call{
			Service: p.target.Service, Route: e.req.routeHash(), First: o.targetObserved && !p.options.usesRetryBudget,
			OriginIdle: e.req.originIdle, BudgetLeft: o.load.RetryBudgetLeft,
		})
	}
	if o.load.RetryBudgetOverdrawn {
		e.front.guard.PauseRetries(time.Now())
	}
}

// clearTried makes a target eligible again that could not have responded within the
// objective. A late response from a healthy instance is better than a failure from a
// failing one.
func (e *execution) clearTried(t *target) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.tried = slices.DeleteFunc(e.tried, func(other *target) bool { return other == t })
}

// attemptsExhausted reports whether the request has been sent to as many instances as its
// route allows, or refused by maxGuardRefusals guards. A running attempt counts as sent.
func (e *execution) attemptsExhausted() bool {
	refused := 0
	for _, fail := range e.failures {
		if !reachedInstance(fail) {
			refused++
		}
	}
	return e.summary.attempts-refused >= e.req.route.Attempts() || refused >= maxGuardRefusals || e.askedEnough()
}

// onTimeAttempts is the number of failures before attempts accept a place in the queue that
// will miss the objective. The first refusal reports the actual load of the best target,
// which the next choice takes into account.
const onTimeAttempts = 1

// runIdempotent makes attempts one after the other, with at most one hedge, until one
// returns a complete response. The first attempt runs in the caller's goroutine, because a
// separate goroutine would cost two wake-ups.
func (f *Front) runIdempotent(ctx context.Context, req *request) (*response, *verdict.Error) {
	exec := &execution{front: f, req: req, rng: f.rng()}
	defer func() { req.summary = exec.finish() }()
	for {
		o := exec.primaryAttempt(ctx)
		if o == nil {
			return exec.lastResult(ctx)
		}
		if exec.accept(o) {
			return o.response, nil
		}
		if o := exec.awaitHedge(); o != nil && exec.accept(o) {
			return o.response, nil
		}
		if o := exec.takeSilent(); o != nil && exec.accept(o) {
			return o.response, nil
		}
		if ctx.Err() != nil || !exec.req.canResend() {
			return exec.lastResult(ctx)
		}
		f.counts.retries.Inc()
	}
}

// primaryAttempt makes one attempt, and starts a hedge if it takes too long. It returns nil
// if no target is left, or if an attempt at a silent host has succeeded meanwhile.
func (e *execution) primaryAttempt(requestCtx context.Context) *outcome {
	ctx, cancel := context.WithCancel(requestCtx)
	e.awaitClearance(ctx)
	sampled := e.sampleCandidates(ctx, false)
	e.mu.Lock()
	e.cancelPrimary = cancel
	if e.silent.succeeded {
		e.mu.Unlock()
		cancel()
		return nil
	}
	chosen, ok := e.nextPick(sampled, false)
	e.mu.Unlock()
	if !ok {
		cancel()
		return nil
	}
	timer := time.AfterFunc(e.req.state.hedgeDelay(e.req), func() { e.runHedge(requestCtx) })
	defer timer.Stop()
	o := e.runAttempt(ctx, chosen, nil)
	o.bindCancel(cancel)
	return o
}

// bindCancel cancels the attempt's context, or leaves that to the close of a streamed
// response or to the request's end if the attempt goes on.
func (o *outcome) bindCancel(cancel context.CancelFunc) {
	switch {
	case o.unfinished != nil:
	case o.fail == nil && o.response.streaming:
		o.response.cancel = cancel
	default:
		cancel()
	}
}

// runNonIdempotent makes attempts one after the other. A further attempt is made only if the
// previous one is known not to have run.
func (f *Front) runNonIdempotent(ctx context.Context, req *request, claim *claimTask) (*response, *verdict.Error) {
	exec := &execution{front: f, req: req, rng: f.rng()}
	defer func() { req.summary = exec.finish() }()
	for {
		exec.awaitClearance(ctx)
		p, ok := exec.nextPick(exec.sampleCandidates(ctx, false), false)
		if !ok {
			break
		}
		o := exec.runAttempt(ctx, p, claim)
		if o.fail == nil {
			return o.response, nil
		}
		exec.addFailure(o.fail)
		if o.fail.Verdict != verdict.NotRun || ctx.Err() != nil || !req.canResend() || isIdempotencyKeyReason(o.fail.Reason) {
			break
		}
		if claim.pending() {
			// The slot's reservation expired before the key's owner had replied. This does
			// not count as an attempt at the target.
			claim.wait(ctx)
			exec.clearTried(p.target)
			exec.failures = exec.failures[:len(exec.failures)-1]
		}
		f.counts.retries.Inc()
	}
	return nil, exec.combinedFailure()
}

// pending reports whether the claim is still in progress; false for nil.
func (t *claimTask) pending() bool {
	if t == nil {
		return false
	}
	select {
	case <-t.done:
		return false
	default:
		return true
	}
}

func (t *claimTask) wait(ctx context.Context) {
	select {
	case <-t.done:
	case <-ctx.Done():
	}
}
