package guard

import "time"

// Drain refuses new requests on every instance, also on those that announce themselves
// later; running requests continue. It cannot be undone, and a second call has no effect.
//
// While requests that began before it still run, so that the process has to wait, the
// instances go on accepting idempotent requests that are expected to end well before the
// shutdown time, if one is set. Without these, an instance with free slots got no request
// for seconds while its service lacked capacity.
func (g *Guard) Drain() {
	_, stopping := g.ShutdownTime()
	g.mu.Lock()
	if g.draining {
		g.mu.Unlock()
		return
	}
	g.draining, g.beforeDrain = true, g.active
	all := g.list()
	acceptShort := stopping && g.beforeDrain > 0
	if acceptShort {
		g.finishing = all
	}
	g.mu.Unlock()
	for _, inst := range all {
		if acceptShort {
			inst.acceptShortOnly()
		} else {
			inst.drain()
		}
	}
	g.onChanged()
}

// finishingMargin is shutdownMargin for a request at a finishing instance. It is larger: if the
// exit cuts the request off, its caller's host may be stopping as well and not send it again.
const finishingMargin = 6

// finishesInTime reports whether a request that arrives at a finishing instance may be admitted.
func (g *Guard) finishesInTime(now time.Time, idempotent bool, expected time.Duration) bool {
	end, stopping := g.ShutdownTime()
	return idempotent && (!stopping || !now.Add(finishingMargin*expected).After(end))
}

// latestEnd returns the time by which a request at a finishing instance must be expected to
// end: its deadline, or earlier, so that it may take finishingMargin times as long as expected.
func (g *Guard) latestEnd(deadline time.Time, expected time.Duration) time.Time {
	end, stopping := g.ShutdownTime()
	end = end.Add(-(finishingMargin - 1) * expected)
	if !stopping || deadline.Before(end) {
		return deadline
	}
	return end
}

// beginRequest counts the start of a request and reports whether it began before Drain.
func (g *Guard) beginRequest() (beforeDrain bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.active++
	return !g.draining
}

// endRequest counts the end of a request. After the last one that began before Drain, no
// instance accepts requests.
func (g *Guard) endRequest(beforeDrain bool) {
	ended := g.countEnd(beforeDrain)
	for _, inst := range ended {
		inst.drain()
	}
	if len(ended) > 0 {
		g.onChanged()
	}
}

// countEnd counts the end of a request and returns the instances that stop accepting requests
// because of it.
func (g *Guard) countEnd(beforeDrain bool) []*instance {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.active--
	if g.active == 0 && g.idle != nil {
		close(g.idle)
		g.idle = nil
	}
	if !beforeDrain || !g.draining {
		return nil
	}
	g.beforeDrain--
	if g.beforeDrain > 0 {
		return nil
	}
	ended := g.finishing
	g.finishing = nil
	return ended
}

// acceptShortOnly refuses the queued requests and from then on accepts only requests that
// exchange.admit permits at a finishing instance.
func (i *instance) acceptShortOnly() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.finishing = true
	i.deliver(i.queue.Drain())
	i.updateQueue()
}

// isFinishing reports whether the instance accepts only short idempotent requests.
func (i *instance) isFinishing() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.finishing
}

// drain refuses queued and new requests for good; running requests continue.
func (i *instance) drain() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.closed = true
	i.updateQueue()
}
