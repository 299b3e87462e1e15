package front

import (
	"context"
	"time"
)

// hedge is a second attempt made while a slow one is still running.
type hedge struct {
	cancel  context.CancelFunc
	done    chan struct{}
	outcome *outcome
}

// runHedge makes a second attempt in parallel to the primary one, and cancels the primary
// one if the hedge responds first.
func (e *execution) runHedge(requestCtx context.Context) {
	e.mu.Lock()
	useful := e.hedgeUseful(requestCtx)
	e.mu.Unlock()
	if !useful {
		return
	}
	sampled := e.sampleCandidates(requestCtx, true)
	e.mu.Lock()
	if !e.hedgeUseful(requestCtx) {
		e.mu.Unlock()
		return
	}
	p, ok := e.nextPick(sampled, true)
	if !ok {
		e.mu.Unlock()
		return
	}
	ctx, cancel := context.WithCancel(requestCtx)
	h := &hedge{cancel: cancel, done: make(chan struct{})}
	e.hedge = h
	e.mu.Unlock()
	o := e.runAttempt(ctx, p, nil)
	o.bindCancel(cancel)
	if o.fail == nil || reachedInstance(o.fail) {
		e.front.counts.hedges.Inc()
	}

	e.mu.Lock()
	defer e.mu.Unlock()
	h.outcome = o
	close(h.done)
	switch {
	case e.done:
		o.discard()
	case o.fail == nil && !retryableStatus(o.response.head.Status):
		e.cancelPrimary()
	}
}

// hedgeUseful reports whether a hedge may be made and its response would still be used. The
// caller must hold e.mu.
func (e *execution) hedgeUseful(requestCtx context.Context) bool {
	return !e.done && e.hedge == nil && e.req.canResend() && requestCtx.Err() == nil
}

// awaitHedge waits for the hedge, if there is one, and returns its outcome. Later calls
// return nil.
func (e *execution) awaitHedge() *outcome {
	e.mu.Lock()
	h := e.hedge
	e.mu.Unlock()
	if h == nil {
		return nil
	}
	<-h.done
	e.mu.Lock()
	defer e.mu.Unlock()
	o := h.outcome
	h.outcome = nil
	return o
}

// finish cancels a hedge that is not used and returns the summary, which later attempts do
// not change.
func (e *execution) finish() attemptSummary {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.done = true
	if e.hedge != nil {
		e.hedge.cancel()
		if o := e.hedge.outcome; o != nil {
			o.discard()
		}
	}
	e.silent.cancel()
	return e.summary
}

// discard closes a response that is not delivered.
func (o *outcome) discard() {
	if o.response != nil {
		o.response.close()
	}
}

func (st *serviceState) hedgeDelay(req *request) time.Duration {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.routeLatency(req.route.Name).hedgeDelay(req.route.Objective())
}
