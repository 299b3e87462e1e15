package front

import (
	"context"
	"time"
)

// hedge is the attempt that runs beside a slow one.
type hedge struct {
	cancel  context.CancelFunc
	done    chan struct{}
	outcome *outcome
}

// runHedge makes an attempt beside the primary one and, where it wins, ends
// that.
func (c *race) runHedge(whole context.Context) {
	c.mu.Lock()
	if c.over || c.hedge != nil || !c.req.repeatable() || whole.Err() != nil {
		c.mu.Unlock()
		return
	}
	p, ok := c.next(true)
	if !ok {
		c.mu.Unlock()
		return
	}
	ctx, cancel := context.WithCancel(whole)
	h := &hedge{cancel: cancel, done: make(chan struct{})}
	c.hedge = h
	c.mu.Unlock()
	o := c.try(ctx, p, nil)
	o.endWith(cancel)
	if o.fail == nil || arrived(o.fail) {
		c.front.counts.hedges.Inc()
	}

	c.mu.Lock()
	defer c.mu.Unlock()
	h.outcome = o
	close(h.done)
	switch {
	case c.over:
		o.discard()
	case o.fail == nil && !retriableStatus(o.answer.head.Status):
		c.cancelPrimary()
	}
}

// awaitHedge waits for the hedge, where one runs, and gives its outcome once.
func (c *race) awaitHedge() *outcome {
	c.mu.Lock()
	h := c.hedge
	c.mu.Unlock()
	if h == nil {
		return nil
	}
	<-h.done
	c.mu.Lock()
	defer c.mu.Unlock()
	o := h.outcome
	h.outcome = nil
	return o
}

// finish ends a hedge that lost and gives the account, which is closed with it.
func (c *race) finish() account {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.over = true
	if c.hedge != nil {
		c.hedge.cancel()
		if o := c.hedge.outcome; o != nil {
			o.discard()
		}
	}
	return c.account
}

// discard lets go of an answer that nobody gets.
func (o *outcome) discard() {
	if o.answer != nil {
		o.answer.close()
	}
}

func (st *serviceState) hedgeDelay(req *request) time.Duration {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.route(req.route.Name).hedgeDelay(req.route.Objective())
}
