package guard

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/radishhoist/radishhoist/internal/core/admit"
	"github.com/radishhoist/radishhoist/internal/core/crash"
	"github.com/radishhoist/radishhoist/internal/msg"
	"github.com/radishhoist/radishhoist/internal/wire"
	"github.com/radishhoist/radishhoist/verdict"
)

// Serve handles one request stream from a front until it ends.
func (g *Guard) Serve(s wire.Stream, first msg.Message) {
	defer g.endRequest(g.beginRequest())
	defer s.Close()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	x := &exchange{guard: g, stream: s, ctx: ctx, arrived: time.Now()}
	x.frontCtx, x.cancelFront = context.WithCancel(context.Background())
	defer x.cancelFront()
	defer x.releaseRetry()
	x.serve(first)
}

// exchange is the state of one request in the guard.
type exchange struct {
	guard *Guard
	// service and instanceName are the service and instance that the front asked for.
	requestID, service, instanceName string

	stream  wire.Stream
	ctx     context.Context
	arrived time.Time
	// inst is the instance named by instanceName, nil if there is none.
	inst *instance
	// queueID identifies the request in the instance's queue.
	queueID admit.ID
	waiter  *waiter
	// inbox receives the front's messages, and frontCtx is cancelled by cancelFront when the
	// front cancels or disconnects.
	inbox       chan msg.Message
	frontCtx    context.Context
	cancelFront context.CancelFunc
	// deadline is when the caller stops waiting, by this host's clock.
	deadline time.Time
	// hints is the front's information on the request; retryReserved reports that a retry
	// is reserved in the budget for it and not yet used.
	hints         msg.AdmissionHints
	retryReserved bool
	// fingerprint is the request's fingerprint, 0 if it has none.
	fingerprint crash.Fingerprint
	// idempotent reports that the request may be sent again after it may have run.
	idempotent bool
	// body reads the request body, nil if there is none.
	body *bodyReader
	// nestedRetryChance is the probability that the run is a call made by a retried
	// run, in thousandths.
	nestedRetryChance uint16
}

// errFrontGone reports that the front cancelled the request or disconnected.
var errFrontGone = errors.New("the front cancelled the request or disconnected")

func (x *exchange) serve(first msg.Message) {
	switch m := first.(type) {
	case *msg.Run:
		x.requestID = m.RequestID
		x.idempotent = m.Idempotent
		if x.admit(m.Service, m.Instance, m.TimeoutMS, x.guard.admissionRequest(m.Class, m.Priority, m.SubPriority), m.Hints, m.Sample) {
			x.serveRun(m)
		}
	case *msg.Reserve:
		x.requestID = m.RequestID
		r := x.guard.admissionRequest(m.Class, m.Priority, m.SubPriority)
		r.Reserve = true
		if x.admit(m.Service, m.Instance, m.TimeoutMS, r, m.Hints, m.Sample) {
			x.serveReserve()
		}
	default:
		x.fail(refusal(verdict.ReasonBadRequest, "a request stream must start with Reserve or Run"))
	}
}

// admit offers the request to its instance and starts reading the stream.
func (x *exchange) admit(service, name string, timeoutMS uint32, r admit.Request, hints msg.AdmissionHints, sample msg.Sample) bool {
	x.service, x.instanceName = service, name
	x.deadline = x.arrived.Add(time.Duration(timeoutMS) * time.Millisecond)
	inst, ok := x.guard.find(service, name)
	if !ok {
		x.refuse(refusal(verdict.ReasonUnknownTarget, "no such instance on this host"))
		return false
	}
	x.inst = inst
	r.Deadline = x.deadline
	objective := time.Duration(hints.ObjectiveMS) * time.Millisecond
	if objective > 0 {
		r.Objective = x.arrived.Add(objective - time.Duration(hints.ElapsedMS)*time.Millisecond)
	}
	expected := time.Duration(hints.ExpectedMS) * time.Millisecond
	if !x.guard.finishesBeforeShutdown(x.arrived, expected) || inst.isFinishing() && !x.guard.finishesInTime(x.arrived, x.idempotent, expected) {
		x.refuse(refusal(verdict.ReasonDraining, "this host is stopping and the request is expected to take too long"))
		return false
	}
	x.fingerprint = crash.Fingerprint(hints.Fingerprint)
	if e := x.checkBlocked(); e != nil {
		x.refuse(e)
		return false
	}
	if granted, wait := x.reserveRetry(hints, r); !granted {
		x.refuse(retryBudgetRefusal(wait))
		return false
	}
	r.ExpectedServiceTime, r.AllowLate = expected, hints.AllowLate
	if inst.isFinishing() {
		r.Deadline = x.guard.latestEnd(r.Deadline, expected)
	}
	inst.observe(x.arrived, sample)
	x.waiter = &waiter{fingerprint: x.fingerprint, overdueAfter: overdueAfter(hints)}
	x.queueID = inst.offer(x.arrived, r, x.waiter)
	x.inbox = make(chan msg.Message, 1)
	go x.read()
	return true
}

// A request that runs longer than both of these multiples, of its objective and of its
// expected duration, indicates a hung instance. Service times have a long tail: at
// twice the objective, a healthy instance still had one response in a hundred outstanding.
const (
	overdueObjectiveFactor = 2
	overdueExpectedFactor  = 5
)

// overdueAfter returns the running time after which a request counts against its
// instance, 0 if the front gave neither an objective nor an expected duration.
func overdueAfter(hints msg.AdmissionHints) time.Duration {
	ms := max(overdueObjectiveFactor*hints.ObjectiveMS, overdueExpectedFactor*hints.ExpectedMS)
	return time.Duration(ms) * time.Millisecond
}

// read moves the front's messages to the inbox until the front cancels or
// disconnects, or the exchange ends.
func (x *exchange) read() {
	defer x.cancelFront()
	for {
		m, err := x.stream.Recv(x.ctx)
		if err != nil {
			return
		}
		if _, ok := m.(*msg.Cancel); ok {
			return
		}
		select {
		case x.inbox <- m:
		case <-x.ctx.Done():
			return
		}
	}
}

// serveRun waits for a slot and runs the request.
func (x *exchange) serveRun(m *msg.Run) {
	select {
	case d := <-x.waiter.decisions:
		if d.Action != admit.Start {
			x.refuseDecision(d)
			return
		}
		x.call(m)
	case <-x.frontCtx.Done():
		x.abandon()
	}
}

// serveReserve waits for a slot, grants it to the front, waits for Run and runs the request.
func (x *exchange) serveReserve() {
	select {
	case d := <-x.waiter.decisions:
		if d.Action != admit.Grant {
			x.refuseDecision(d)
			return
		}
	case <-x.frontCtx.Done():
		x.abandon()
		return
	}
	grant := &msg.Grant{TTLMS: uint32(x.guard.cfg.GrantTTL.Milliseconds()), Load: x.inst.load()}
	if err := x.stream.Send(x.ctx, grant); err != nil {
		x.abandon()
		return
	}
	select {
	case m := <-x.inbox:
		x.runReserved(m)
	case d := <-x.waiter.decisions:
		x.refuseDecision(d)
	case <-x.frontCtx.Done():
		x.abandon()
	}
}

// runReserved handles the front's message after a grant, which must be Run.
func (x *exchange) runReserved(m msg.Message) {
	run, ok := m.(*msg.Run)
	if !ok || !run.Reserved {
		x.abandon()
		x.fail(refusal(verdict.ReasonBadRequest, "a grant must be followed by Run"))
		return
	}
	if run.Epoch > 0 && !x.guard.fence.MayRun(run.Service, run.Shard, run.Epoch) {
		x.abandon()
		x.fail(refusal(verdict.ReasonKeyNoOwner, "the claim on the idempotency key is from an older epoch"))
		return
	}
	if d := x.inst.run(time.Now(), x.queueID); d.Action != admit.Start {
		x.refuseDecision(d)
		return
	}
	x.call(run)
}

// abandon cancels a request that has not been sent to the instance.
func (x *exchange) abandon() {
	v := x.inst.cancel(time.Now(), x.queueID)
	if v != verdict.NotRun {
		// The slot was assigned concurrently and has not been used.
		x.inst.finish(time.Now(), x.queueID, result{shed: true})
	}
	x.inst.forget(x.queueID)
	x.logRefusal(refusal(verdict.ReasonCancelled, ""))
}

// refuseDecision refuses the request for the reason given in the admission decision.
func (x *exchange) refuseDecision(d admit.Decision) {
	x.inst.forget(x.queueID)
	x.inst.mu.Lock()
	x.inst.counts.Refused++
	x.inst.mu.Unlock()
	e := refusal(d.Reason, "")
	e.RetryAfterMS = d.RetryAfter.Milliseconds()
	x.refuse(e)
}

// refuse ends the stream with a refusal, logs it and counts it.
func (x *exchange) refuse(e *verdict.Error) {
	x.logRefusal(e)
	x.guard.counts.refused(e.Reason)
	x.fail(e)
}

// reserveRetry reserves the request's share of the retry budget, and returns false if
// the budget is spent, with the time until budget is expected again, 0 if unknown. A first
// attempt is never refused.
func (x *exchange) reserveRetry(hints msg.AdmissionHints, r admit.Request) (granted bool, wait time.Duration) {
	x.hints = hints
	switch {
	case !hints.UsesRetryBudget:
		return true, 0
	case x.guard.cfg.LearnRefusals:
		x.retryReserved, wait = x.guard.retryBudgets.reserveInOrder(x.arrived, x.inst.service, retryOf(hints, r), hints.Route)
	default:
		x.retryReserved = x.guard.retryBudgets.reserve(x.arrived, x.inst.service, hints)
	}
	return x.retryReserved, wait
}

// releaseRetry returns an unused reservation to the budget.
func (x *exchange) releaseRetry() {
	if x.retryReserved {
		x.guard.retryBudgets.release(x.inst.service)
	}
}

// load returns the load that is sent with the end of the request.
func (x *exchange) load() msg.Load {
	l := x.inst.load()
	l.RetryBudgetOverdrawn = x.nestedRetryChance > 0 && x.budgetOverdrawn(l)
	return l
}

// fail ends the stream with a verdict.
func (x *exchange) fail(e *verdict.Error) {
	f := &msg.Fail{Verdict: e.Verdict, Reason: e.Reason, Detail: e.Detail, RetryAfterMS: uint32(e.RetryAfterMS)}
	if x.inst != nil {
		f.Load = x.load()
	}
	ctx, cancel := context.WithTimeout(x.ctx, failTimeout)
	defer cancel()
	_ = x.stream.Send(ctx, f)
}

// failTimeout limits how long sending a failure to the front may take.
const failTimeout = 5 * time.Second
