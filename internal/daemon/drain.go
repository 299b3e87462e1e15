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
	// leaveGrace is how long callers' new requests are still taken: callers turn
	// to other hosts after two looks at the readiness, a second apart.
	leaveGrace = 2900 * time.Millisecond
	// takingShare bounds that time as a part of the drain timeout, which ends
	// with the process being killed.
	takingShare = 0.48
	// servingShare is the part of that time in which this host's targets still
	// get new work that is expected to end in time: they go on running, and a
	// fleet whose hosts are stopped one after the other would be short of them.
	servingShare = 0.75
	// endingShare is the part of the drain timeout in which requests may run: with
	// 0.9 work that took 5.5 s of the 6 s of a stop was cut off.
	endingShare = 0.95
	// lastShare bounds the time for the last answers, and closeShare the closing of
	// everything, as parts of the drain timeout: 7 of 91 hosts were killed while they
	// waited 0.4 s and more for either.
	lastShare  = 0.02
	closeShare = 0.01
)

// Shutdown stops gracefully: callers are told to turn elsewhere, targets get
// short work for a while longer, then the fleet is told, new work is refused,
// everything in flight ends, and it closes. It needs no platform. Whoever asks
// for the stop once more, on again, gives it the whole time anew. It reports
// whether all in flight had ended in time.
func (d *Daemon) Shutdown(again <-chan os.Signal) bool {
	d.stopped.Store(true)
	timeout := d.cfg.Load().DrainTimeout
	takingTime := min(leaveGrace, portion(timeout, takingShare))
	taking, stopTaking := context.WithTimeout(context.Background(), takingTime)
	defer stopTaking()
	serving, stopServing := context.WithTimeout(taking, portion(takingTime, servingShare))
	defer stopServing()
	d.front.Drain()
	ctx, cancel := untilQuiet(portion(timeout, endingShare), again, func(end time.Time) {
		d.guard.SetShutdownTime(end)
		event.Log(d.log, event.Draining, slog.String("cause", "asked to stop"), slog.Int64("withinMS", time.Until(end).Milliseconds()))
	})
	defer cancel()
	<-serving.Done()
	// Keys are handed over just before the fleet hears of it: a shard that is
	// frozen and whose owner still counts as there takes no key.
	d.keys.HandOver(taking)
	d.control.SetLeaving(true)
	d.guard.Drain()
	<-taking.Done()
	d.front.RefuseRequests()
	whole := d.callers.Shutdown(ctx) == nil
	whole = d.guard.Wait(ctx.Done()) && whole
	if !whole {
		d.front.CancelRequests()
		d.lastAnswers(portion(timeout, lastShare))
	}
	e := event.Drained
	if !whole {
		e = event.DrainTimeout
	}
	event.Log(d.log, e)
	d.close(portion(timeout, closeShare))
	return whole
}

// untilQuiet gives a context that ends a time after the last stop signal, and
// tells each new end. A host may be stopped for two reasons, one after the other;
// what asked last waits for as long as what asked first did. Ending by the first
// request cut off work of 3 s, 3 s after the second.
func untilQuiet(wait time.Duration, again <-chan os.Signal, tell func(end time.Time)) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(context.Background())
	tell(time.Now().Add(wait))
	go func() {
		defer cancel()
		timer := time.NewTimer(wait)
		defer timer.Stop()
		for {
			select {
			case <-again:
				tell(time.Now().Add(wait))
				timer.Reset(wait)
			case <-timer.C:
				return
			case <-ctx.Done():
				return
			}
		}
	}()
	return ctx, cancel
}

// lastAnswers lets the answers to abandoned requests go out.
func (d *Daemon) lastAnswers(within time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), within)
	defer cancel()
	if err := d.callers.Shutdown(ctx); err != nil {
		event.Log(d.log, event.DrainTimeout, slog.String("cause", "answers were still going out: "+err.Error()))
	}
}

func portion(d time.Duration, share float64) time.Duration {
	return time.Duration(share * float64(d))
}

// close ends everything at once, and waits for it up to a time: what is left then
// ends with the process.
func (d *Daemon) close(within time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), within)
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
		event.Log(d.log, event.DrainTimeout, slog.String("cause", "parts of the process were still ending"))
	}
	d.store.Close()
}

// awaitGroup waits for a group until a context is done, and reports whether all had
// ended.
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
