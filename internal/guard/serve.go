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

// Serve runs one request stream from a front to its end.
func (g *Guard) Serve(s wire.Stream, first msg.Message) {
	g.enter()
	defer g.leave()
	defer s.Close()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	x := &exchange{guard: g, stream: s, ctx: ctx, arrived: time.Now()}
	defer x.releaseRepeat()
	x.serve(first)
}

// exchange is one request on its way through the guard.
type exchange struct {
	guard *Guard
	// request is the request's id; service and instance are what it asked for.
	request, service, instance string
	stream                     wire.Stream
	ctx                        context.Context
	arrived                    time.Time
	inst                       *instance
	id                         admit.ID
	waiter                     *waiter
	inbox                      chan msg.Message
	lost                       chan struct{}
	// deadline is when the caller stops waiting, on this host's clock.
	deadline time.Time
	// aim is what the front tells of the request; held says that a repeat was set
	// aside for it and is not sent yet.
	aim  msg.AdmissionHints
	held bool
	// print is what the request is known by when it comes again, 0 for nothing.
	print crash.Fingerprint
	// callPart is the chance that the run is a call of a repeated run.
	callPart uint16
}

// errGone says the front gave the request up or was lost.
var errGone = errors.New("the front gave the request up")

func (x *exchange) serve(first msg.Message) {
	switch m := first.(type) {
	case *msg.Run:
		x.request = m.RequestID
		if x.admit(m.Service, m.Instance, m.TimeoutMS, admit.Request{Class: m.Class, Priority: m.Priority, SubPriority: m.SubPriority}, m.Hints, m.Sample) {
			x.runOneStep(m)
		}
	case *msg.Reserve:
		x.request = m.RequestID
		r := admit.Request{Class: m.Class, Priority: m.Priority, SubPriority: m.SubPriority, Reserve: true}
		if x.admit(m.Service, m.Instance, m.TimeoutMS, r, m.Hints, m.Sample) {
			x.reserve()
		}
	default:
		x.fail(refusal(verdict.ReasonBadRequest, "a request stream starts with Reserve or Run"))
	}
}

// admit offers the request to its instance and starts reading the stream.
func (x *exchange) admit(service, name string, timeoutMS uint32, r admit.Request, aim msg.AdmissionHints, sample msg.Sample) bool {
	x.service, x.instance = service, name
	x.deadline = x.arrived.Add(time.Duration(timeoutMS) * time.Millisecond)
	inst, ok := x.guard.find(service, name)
	if !ok {
		x.refuse(refusal(verdict.ReasonUnknownTarget, "no such instance on this host"))
		return false
	}
	x.inst = inst
	r.Deadline = x.deadline
	objective := time.Duration(aim.ObjectiveMS) * time.Millisecond
	if objective > 0 {
		r.Objective = x.arrived.Add(objective - time.Duration(aim.UsedMS)*time.Millisecond)
	}
	if !x.guard.fits(x.arrived, time.Duration(aim.ExpectedMS)*time.Millisecond) {
		x.refuse(refusal(verdict.ReasonDraining, "this host is stopping and the request is expected to take too long"))
		return false
	}
	x.print = crash.Fingerprint(aim.Fingerprint)
	if e := x.stopRefusal(); e != nil {
		x.refuse(e)
		return false
	}
	if !x.holdRepeat(aim) {
		x.refuse(refusal(verdict.ReasonRetryBudget, "this host's part of the retry budget is spent"))
		return false
	}
	r.ExpectedService, r.AllowLate = time.Duration(aim.ExpectedMS)*time.Millisecond, aim.AllowLate
	inst.observe(x.arrived, sample)
	x.waiter = &waiter{print: x.print, patience: patience(aim)}
	x.id = inst.offer(x.arrived, r, x.waiter)
	x.inbox = make(chan msg.Message, 1)
	x.lost = make(chan struct{})
	go x.read()
	return true
}

// Running longer than a request's objective several times over, and than it was
// expected to, is a sign of an instance that hangs. Service times have a long
// tail: at twice the objective one answer in a hundred of a well instance was
// still to come.
const (
	patienceObjectives = 2
	patienceExpected   = 5
)

// patience is how long a request may run before that speaks against its
// instance.
func patience(aim msg.AdmissionHints) time.Duration {
	ms := max(patienceObjectives*aim.ObjectiveMS, patienceExpected*aim.ExpectedMS)
	return time.Duration(ms) * time.Millisecond
}

// read moves the front's messages to the inbox until the front cancels, is
// lost, or the exchange ends.
func (x *exchange) read() {
	defer close(x.lost)
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

// runOneStep waits for a slot and runs.
func (x *exchange) runOneStep(m *msg.Run) {
	select {
	case d := <-x.waiter.decisions:
		if d.Action != admit.Start {
			x.refused(d)
			return
		}
		x.call(m)
	case <-x.lost:
		x.abandon()
	}
}

// reserve waits for a slot, grants it, and waits for Run.
func (x *exchange) reserve() {
	select {
	case d := <-x.waiter.decisions:
		if d.Action != admit.Grant {
			x.refused(d)
			return
		}
	case <-x.lost:
		x.abandon()
		return
	}
	grant := &msg.Grant{LifeMS: uint32(x.guard.cfg.GrantLife.Milliseconds()), Load: x.inst.load()}
	if err := x.stream.Send(x.ctx, grant); err != nil {
		x.abandon()
		return
	}
	select {
	case m := <-x.inbox:
		x.runReserved(m)
	case d := <-x.waiter.decisions:
		x.refused(d)
	case <-x.lost:
		x.abandon()
	}
}

func (x *exchange) runReserved(m msg.Message) {
	run, ok := m.(*msg.Run)
	if !ok || !run.Reserved {
		x.abandon()
		x.fail(refusal(verdict.ReasonBadRequest, "a grant is followed by Run"))
		return
	}
	if run.Epoch > 0 && !x.guard.fence.MayRun(run.Service, run.Shard, run.Epoch) {
		x.abandon()
		x.fail(refusal(verdict.ReasonKeyNoOwner, "the key's claim is of an older epoch"))
		return
	}
	if d := x.inst.run(time.Now(), x.id); d.Action != admit.Start {
		x.refused(d)
		return
	}
	x.call(run)
}

// abandon gives the request up before it has run.
func (x *exchange) abandon() {
	v := x.inst.cancel(time.Now(), x.id)
	if v != verdict.NotRun {
		// The slot was given in the same moment; nothing has used it.
		x.inst.finish(time.Now(), x.id, result{shed: true})
	}
	x.inst.forget(x.id)
	x.logRefusal(refusal(verdict.ReasonCancelled, ""))
}

// refused reports an admission decision that is not to run.
func (x *exchange) refused(d admit.Decision) {
	x.inst.forget(x.id)
	x.inst.mu.Lock()
	x.inst.counts.Refused++
	x.inst.mu.Unlock()
	e := refusal(d.Reason, "")
	e.RetryAfterMS = d.RetryAfter.Milliseconds()
	x.refuse(e)
}

// refuse ends the stream with a refusal, and tells the log and the counters.
func (x *exchange) refuse(e *verdict.Error) {
	x.logRefusal(e)
	x.guard.counts.refused(e.Reason)
	x.fail(e)
}

// holdRepeat sets aside what the request takes of the retry budget; false where
// that is spent. A first send is never refused.
func (x *exchange) holdRepeat(aim msg.AdmissionHints) bool {
	x.aim = aim
	if !aim.Repeat {
		return true
	}
	x.held = x.guard.repeats.hold(x.arrived, x.inst.service, aim)
	return x.held
}

// releaseRepeat gives back what was set aside and not sent.
func (x *exchange) releaseRepeat() {
	if x.held {
		x.guard.repeats.release(x.inst.service)
	}
}

// load is the count that goes with the end of the request.
func (x *exchange) load() msg.Load {
	l := x.inst.load()
	l.RetryBudgetOverdrawn = x.callPart > 0 && l.RetryBudgetLeft == 0
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

// failTimeout bounds the sending of a failure.
const failTimeout = 5 * time.Second
