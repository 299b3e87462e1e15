package front

import (
	"context"
	"time"

	"github.com/radishhoist/radishhoist/verdict"
)

// An idempotent attempt whose host sends no frames is made again elsewhere, but goes on: the
// host may only be slow or paused, and the retry may be refused or fail. Without this, such
// requests failed although their instance was about to respond.

// silentAttempts are the attempts of one request that go on at hosts that send no frames.
type silentAttempts struct {
	started []*silentAttempt
	running int
	// responses receives the outcome of each attempt that ends with a response. succeeded
	// reports that one of them is no failure of the instance.
	responses chan *outcome
	succeeded bool
	// changed has an entry once an attempt has ended.
	changed chan struct{}
}

// silentAttempt is one attempt that goes on at a host that sends no frames.
type silentAttempt struct {
	attempt *attempt
	cancel  context.CancelFunc
	ended   bool
}

// continueSilent lets an unfinished attempt go on in the background until it ends or the
// request does.
func (e *execution) continueSilent(ctx context.Context, p pick, a *attempt) {
	// The context of the attempt may be cancelled when another attempt has a response.
	ctx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	a.resumed = true
	s := &silentAttempt{attempt: a, cancel: cancel}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.done {
		cancel()
	}
	if e.silent.changed == nil {
		e.silent.responses = make(chan *outcome, maxGuardRefusals+e.req.route.Attempts()+1)
		e.silent.changed = make(chan struct{}, 1)
	}
	e.silent.started = append(e.silent.started, s)
	e.silent.running++
	go func() {
		o := a.receive(ctx)
		o.target, o.resumed = p.target, true
		o.bindCancel(cancel)
		e.recordOutcome(p, o)
		e.endSilent(s, o)
	}()
}

// endSilent records the outcome of a silent attempt. A successful response cancels the
// attempts that are running beside it. A failure is ignored: the one recorded when the
// attempt became unfinished stands.
func (e *execution) endSilent(s *silentAttempt, o *outcome) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s.ended = true
	e.silent.running--
	switch {
	case e.done:
		o.discard()
	case o.fail == nil:
		e.silent.responses <- o
		if !retryableStatus(o.response.head.Status) {
			e.silent.succeeded = true
			e.cancelPrimary()
			if e.hedge != nil {
				e.hedge.cancel()
			}
		}
	}
	select {
	case e.silent.changed <- struct{}{}:
	default:
	}
}

// takeSilent returns the response of a silent attempt that has ended, or nil.
func (e *execution) takeSilent() *outcome {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.silent.take()
}

func (s *silentAttempts) take() *outcome {
	select {
	case o := <-s.responses:
		return o
	default:
		return nil
	}
}

// cancel ends the attempts that are still running and discards unused responses.
func (s *silentAttempts) cancel() {
	for _, a := range s.started {
		if !a.ended {
			a.cancel()
		}
	}
	for o := s.take(); o != nil; o = s.take() {
		o.discard()
	}
}

// lastResult returns the result once no attempt can follow. Without a response it waits for
// the attempts at silent hosts: to the request's objective for a host that has sent no frame
// since the attempt began, which is probably lost, and to the deadline for others.
func (e *execution) lastResult(ctx context.Context) (*response, *verdict.Error) {
	objective := time.NewTimer(time.Until(e.req.arrived.Add(e.req.route.Objective())))
	defer objective.Stop()
	for {
		for o := e.takeSilent(); o != nil; o = e.takeSilent() {
			if e.accept(o) {
				return o.response, nil
			}
		}
		changed := e.awaitableSilent()
		if changed == nil {
			return e.finalResult()
		}
		select {
		case <-changed:
		case <-objective.C:
			e.cancelUnreachable()
		case <-ctx.Done():
			return e.finalResult()
		}
	}
}

// awaitableSilent returns a channel that receives when a silent attempt has ended, or nil if
// none can improve the result.
func (e *execution) awaitableSilent() <-chan struct{} {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.fallback != nil || e.silent.running == 0 {
		return nil
	}
	return e.silent.changed
}

// cancelUnreachable ends the attempts whose hosts have sent no frame since they began.
func (e *execution) cancelUnreachable() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, s := range e.silent.started {
		if !s.ended && !s.attempt.frameReceived() {
			s.cancel()
		}
	}
}
