package front

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/radishhoist/radishhoist/internal/core/crash"
	"github.com/radishhoist/radishhoist/internal/guard"
	"github.com/radishhoist/radishhoist/verdict"
)

// maxRefusals bounds the guards that one request is offered to without having
// been sent to an instance: each costs a round trip between hosts.
const maxRefusals = 6

// race is the attempts of one request.
type race struct {
	front *Front
	req   *request

	mu    sync.Mutex
	rng   *rand.Rand
	tried []*target
	hedge *hedge
	// sent says that an attempt has arrived at an instance: whatever follows is
	// a repeat.
	sent bool
	// over says that the request has its answer or its failure.
	over bool
	// account is what came of the attempts so far.
	account account
	// cancelPrimary ends the attempt that the hedge runs beside.
	cancelPrimary context.CancelFunc

	// failures are the attempts that ended without an answer.
	failures []*verdict.Error
	// spare is a whole answer that tells of a failing target, given to the
	// caller where no attempt does better.
	spare *answer
}

// account is what came of a request's attempts. While they run it belongs to the
// race, under its lock; the request's end gets a copy that no later attempt changes.
type account struct {
	attempts int
	// trail are the attempts that have ended, for the log.
	trail []step
	// unpaid says that the budget had no token for a repeat.
	unpaid bool
}

// next chooses the target of another attempt; false where none is left or all
// attempts are made. hedge says that another attempt is under way. The caller
// holds the lock, or is alone.
func (c *race) next(hedge bool) (pick, bool) {
	if c.spent() {
		return pick{}, false
	}
	if !c.front.fits(time.Now(), c.req) {
		c.failed(retryLater(verdict.ReasonDraining, "this host is stopping and the request is expected to take too long; another takes it", defaultRetryAfter))
		return pick{}, false
	}
	if hedge && c.suspected() || len(c.failures) > 0 && c.ends() >= crash.RetryBelowIncidents {
		// Neither sent again nor, where its one place has no room, to another.
		return pick{}, false
	}
	if c.heldBack() {
		return pick{}, false
	}
	if v := c.front.guard.CrashAssessment(c.req.print); v.BlockedEverywhere(time.Now()) {
		c.failed(guard.BlockedRefusal(time.Now(), c.req.print, &v))
		return pick{}, false
	}
	as := sending{repeat: c.sent || hedge, hedge: hedge, insist: len(c.failures) >= politeTries}
	p, ok := c.front.choose(c.req, c.tried, as.repeat, c.rng)
	if !ok {
		c.unpaid(as.repeat)
		return pick{}, false
	}
	if p.step.Why == whyTrial || p.step.Why == whyPath {
		c.front.counts.trials.Inc()
	}
	c.tried = append(c.tried, p.target)
	c.account.attempts++
	p.as = as
	return p, true
}

// unpaid notes that a repeat was not made because no guard would pay for it. The
// caller holds the lock, or is alone.
func (c *race) unpaid(repeat bool) {
	if !repeat || c.account.unpaid || c.over {
		return
	}
	c.account.unpaid = true
	c.front.counts.unpaid.Inc()
}

// try makes one attempt at a chosen target.
func (c *race) try(ctx context.Context, p pick, claim *claimTask) *outcome {
	o := c.front.attempt(ctx, c.req, p, claim)
	c.note(p.step, o)
	c.req.state.observe(c.req, p.target, o)
	if o.succeeded() {
		c.front.guard.RecordCompletion(c.req.print, p.target.software())
	}
	if o.load.RetryBudgetOverdrawn {
		c.front.guard.PauseRetries(time.Now())
	}
	if !p.as.insist && o.fail != nil && o.fail.Reason == verdict.ReasonQueueFull {
		c.reconsider(p.target)
	}
	if o.fail != nil && o.fail.Reason == verdict.ReasonRetryBudget {
		c.mu.Lock()
		c.unpaid(true)
		c.mu.Unlock()
	}
	return o
}

// reconsider lets a target be chosen again that had no place within the
// objective: a late answer of a well instance beats a failure of a sick one.
func (c *race) reconsider(t *target) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tried = slices.DeleteFunc(c.tried, func(other *target) bool { return other == t })
}

// spent says that the request was sent to as many instances as its route
// allows, or offered to as many guards as is of use. An attempt under way
// counts as sent.
func (c *race) spent() bool {
	refused := 0
	for _, fail := range c.failures {
		if !arrived(fail) {
			refused++
		}
	}
	return c.account.attempts-refused >= c.req.route.Attempts() || refused >= maxRefusals
}

// politeTries is how many guards are asked for a place within the objective
// before a late one is taken. The first refusal tells how full the best choice
// really is, and the next choice knows.
const politeTries = 1

// runIdempotent makes attempts one after the other, and at most one beside a
// slow one, until one has a whole answer. The first attempt runs in the
// caller's goroutine: a goroutine of its own would cost two wake-ups.
func (f *Front) runIdempotent(ctx context.Context, req *request) (*answer, *verdict.Error) {
	c := &race{front: f, req: req, rng: f.rng()}
	defer func() { req.account = c.finish() }()
	for {
		o := c.primary(ctx)
		if o == nil {
			return c.settle()
		}
		if c.take(o) {
			return o.answer, nil
		}
		if o := c.awaitHedge(); o != nil && c.take(o) {
			return o.answer, nil
		}
		if ctx.Err() != nil || !c.req.repeatable() {
			return c.settle()
		}
		f.counts.retries.Inc()
	}
}

// primary makes one attempt, with a hedge once it takes long. nil means that
// no target was left.
func (c *race) primary(whole context.Context) *outcome {
	ctx, cancel := context.WithCancel(whole)
	c.awaitNews(ctx)
	c.mu.Lock()
	p, ok := c.next(false)
	c.cancelPrimary = cancel
	c.mu.Unlock()
	if !ok {
		cancel()
		return nil
	}
	timer := time.AfterFunc(c.req.state.hedgeDelay(c.req), func() { c.runHedge(whole) })
	defer timer.Stop()
	o := c.try(ctx, p, nil)
	o.endWith(cancel)
	return o
}

// endWith ends the attempt's context, for an open answer once it is done.
func (o *outcome) endWith(cancel context.CancelFunc) {
	if o.fail == nil && o.answer.open {
		o.answer.cancel = cancel
		return
	}
	cancel()
}

// runOnce makes attempts strictly one after the other, and another only where
// the one before is proved not to have run.
func (f *Front) runOnce(ctx context.Context, req *request, claim *claimTask) (*answer, *verdict.Error) {
	c := &race{front: f, req: req, rng: f.rng()}
	defer func() { req.account = c.finish() }()
	for {
		c.awaitNews(ctx)
		p, ok := c.next(false)
		if !ok {
			break
		}
		o := c.try(ctx, p, claim)
		if o.fail == nil {
			return o.answer, nil
		}
		c.failed(o.fail)
		if o.fail.Verdict != verdict.NotRun || ctx.Err() != nil || !req.repeatable() || isKeyReason(o.fail.Reason) {
			break
		}
		if claim.pending() {
			// The slot lapsed while the key's owner was being found: that is
			// no try of the target.
			claim.wait(ctx)
			c.reconsider(p.target)
			c.failures = c.failures[:len(c.failures)-1]
		}
		f.counts.retries.Inc()
	}
	return nil, c.verdict()
}

// pending says that the claim has no answer yet; no claim is never pending.
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
