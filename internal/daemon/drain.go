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
	// acceptGrace is how long new requests are still accepted after the readiness check
	// starts to fail: callers switch to another host after two failed checks, one second
	// apart.
	acceptGrace = 2900 * time.Millisecond
	// acceptFraction bounds acceptGrace as a fraction of the drain timeout, at the end of
	// which the process is killed.
	acceptFraction = 0.48
	// dispatchFraction is the fraction of the accept time in which the targets of this
	// host, which keep running, still receive new requests that are expected to finish
	// in time. Without them the fleet would lack capacity while its hosts are stopped
	// one after another.
	dispatchFraction = 0.75
	// completionFraction is the fraction of the drain timeout in which requests may run.
	// At 0.9, requests that needed 5.5 s of a 6 s drain timeout were interrupted.
	completionFraction = 0.95
	// flushFraction bounds the time for writing the last responses, and closeFraction the
	// time for closing all components, as fractions of the drain timeout: 7 of 91 hosts
	// were killed while they spent 0.4 s or more on one of these.
	flushFraction = 0.02
	closeFraction = 0.01
)

// Shutdown stops the daemon gracefully. It fails the readiness check and lets local
// targets take short requests for a while. Then it notifies the fleet, refuses new
// requests, waits for those in flight and closes all components. It does not need the
// platform. It reports whether all requests in flight finished in time.
//
// A signal received from repeated is logged and changes nothing: the platform kills the
// process one drain timeout after the first one.
func (d *Daemon) Shutdown(repeated <-chan os.Signal) bool {
	d.shuttingDown.Store(true)
	timeout := d.cfg.Load().DrainTimeout
	acceptTime := min(acceptGrace, fractionOf(timeout, acceptFraction))
	accepting, stopAccepting := context.WithTimeout(context.Background(), acceptTime)
	defer stopAccepting()
	dispatching, stopDispatching := context.WithTimeout(accepting, fractionOf(acceptTime, dispatchFraction))
	defer stopDispatching()
	d.front.Drain()
	ctx, cancel := context.WithTimeout(context.Background(), fractionOf(timeout, completionFraction))
	defer cancel()
	end, _ := ctx.Deadline()
	d.guard.SetShutdownTime(end)
	d.logDraining("stop signal received", end)
	go d.logRepeatedStops(ctx, repeated, end)
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
		d.flushResponses(fractionOf(timeout, flushFraction))
	}
	e := event.Drained
	if !completed {
		e = event.DrainTimeout
	}
	event.Log(d.log, e)
	d.close(fractionOf(timeout, closeFraction))
	return completed
}

// logDraining logs that all requests in progress end by the given time.
func (d *Daemon) logDraining(cause string, end time.Time) {
	event.Log(d.log, event.Draining, slog.String("cause", cause), slog.Int64("withinMS", time.Until(end).Milliseconds()))
}

// logRepeatedStops logs each further stop signal until the context ends.
func (d *Daemon) logRepeatedStops(ctx context.Context, repeated <-chan os.Signal, end time.Time) {
	for {
		select {
		case <-repeated:
			d.logDraining("stop signal received again; the time left stays as it is", end)
		case <-ctx.Done():
			return
		}
	}
}

// flushResponses waits until the responses to cancelled requests are written.
func (d *Daemon) flushResponses(timeout time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	if err := d.callers.Shutdown(ctx); err != nil {
		event.Log(d.log, event.DrainTimeout, slog.String("cause", "responses not written in time: "+err.Error()))
	}
}

func fractionOf(d time.Duration, fraction float64) time.Duration {
	return time.Duration(fraction * float64(d))
}

// close stops all components and waits for them up to the timeout. What is still running
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

// awaitGroup waits until the group is done or the context ends, and reports whether the
// group is done.
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
