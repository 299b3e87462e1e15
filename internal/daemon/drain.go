package daemon

import (
	"context"
	"log/slog"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/radishhoist/radishhoist/internal/event"
)

const (
	// acceptGrace is how long new requests of callers are still accepted: callers
	// switch to another host after two readiness checks, one second apart.
	acceptGrace = 2900 * time.Millisecond
	// acceptShare bounds that time as a fraction of the drain timeout, because the
	// process is killed at the end of the drain timeout.
	acceptShare = 0.48
	// targetShare is the fraction of that time in which the targets of this host still
	// get new work that is expected to finish in time. They keep running, and without
	// them a fleet would lack capacity while its hosts are stopped one after another.
	targetShare = 0.75
	// completionShare is the fraction of the drain timeout in which requests may run.
	// With 0.9, work that took 5.5 s was interrupted in a 6 s stop.
	completionShare = 0.95
	// flushShare bounds the time for writing the last answers, and closeShare the time
	// for closing all parts, as fractions of the drain timeout: 7 of 91 hosts were
	// killed while they spent 0.4 s or more on one of these.
	flushShare = 0.02
	closeShare = 0.01
)

// Shutdown stops the daemon gracefully. It fails the readiness check, lets local
// targets take short work for a while, then notifies the fleet, refuses new work,
// waits for requests in flight and closes all parts. It does not need the platform.
// Each value received from repeated restarts the drain timeout. It reports whether
// all requests in flight finished in time.
func (d *Daemon) Shutdown(repeated <-chan os.Signal) bool {
	d.shuttingDown.Store(true)
	timeout := d.cfg.Load().DrainTimeout
	acceptTime := min(acceptGrace, fractionOf(timeout, acceptShare))
	accepting, stopAccepting := context.WithTimeout(context.Background(), acceptTime)
	defer stopAccepting()
	dispatching, stopDispatching := context.WithTimeout(accepting, fractionOf(acceptTime, targetShare))
	defer stopDispatching()
	d.front.Drain()
	ctx, cancel := drainContext(fractionOf(timeout, completionShare), repeated, func(end time.Time) {
		d.guard.SetShutdownTime(end)
		event.Log(d.log, event.Draining, slog.String("cause", "stop signal received"), slog.Int64("withinMS", time.Until(end).Milliseconds()))
	})
	defer cancel()
	<-dispatching.Done()
	// Idempotency keys are handed over before other hosts learn that this host leaves:
	// otherwise one of them could take over a shard without its key table. Until the
	// takeover, requests with a key of that shard are refused, so the announcement
	// follows at once.
	d.keys.HandOver(accepting)
	d.control.SetLeaving(true)
	d.guard.Drain()
	<-accepting.Done()
	d.front.RefuseRequests()
	completed := d.callers.Shutdown(ctx) == nil
	completed = d.guard.Wait(ctx.Done()) && completed
	if !completed {
		d.front.CancelRequests()
		d.flushAnswers(fractionOf(timeout, flushShare))
	}
	e := event.Drained
	if !completed {
		e = event.DrainTimeout
	}
	event.Log(d.log, e)
	d.close(fractionOf(timeout, closeShare))
	return completed
}

// drainContext returns a context that ends a timeout after the last stop signal, and
// passes each new end time to onEnd. A host may be stopped for two reasons in
// succession, and whoever sends the second signal waits as long as the first did. Ending
// at the deadline of the first signal interrupted work of 3 s, 3 s after the second.
func drainContext(timeout time.Duration, repeated <-chan os.Signal, onEnd func(end time.Time)) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(context.Background())
	onEnd(time.Now().Add(timeout))
	go func() {
		defer cancel()
		timer := time.NewTimer(timeout)
		defer timer.Stop()
		for {
			select {
			case <-repeated:
				onEnd(time.Now().Add(timeout))
				timer.Reset(timeout)
			case <-timer.C:
				return
			case <-ctx.Done():
				return
			}
		}
	}()
	return ctx, cancel
}

// flushAnswers waits until the answers to cancelled requests are written.
func (d *Daemon) flushAnswers(timeout time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	if err := d.callers.Shutdown(ctx); err != nil {
		event.Log(d.log, event.DrainTimeout, slog.String("cause", "answers not written in time: "+err.Error()))
	}
}

func fractionOf(d time.Duration, share float64) time.Duration {
	return time.Duration(share * float64(d))
}

// close stops all parts and waits for them up to the timeout; what is still running
// then ends with the process.
func (d *Daemon) close(timeout time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	if d.callers != nil {
		_ = d.callers.Close()
	}
	for _, s := range []*http.Server{d.announce, d.probes, d.admin} {
		if s != nil {
			_ = s.Shutdown(ctx)
		}
	}
	if d.pool != nil {
		d.pool.Close()
	}
	if d.cancel != nil {
		d.cancel()
	}
	if !awaitGroup(ctx, &d.wg) {
		event.Log(d.log, event.DrainTimeout, slog.String("cause", "background tasks did not end in time"))
	}
	d.store.Close()
}

// awaitGroup waits for the group or the end of the context, and reports whether the
// group was done.
func awaitGroup(ctx context.Context, wg *sync.WaitGroup) bool {
	ended := make(chan struct{})
	go func() {
		wg.Wait()
		close(ended)
	}()
	select {
	case <-ended:
		return true
	case <-ctx.Done():
		return false
	}
}
