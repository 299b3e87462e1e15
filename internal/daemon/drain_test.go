package daemon

import (
	"context"
	"net/http"
	"os"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/radishhoist/radishhoist/internal/core/directory"
	"github.com/radishhoist/radishhoist/internal/settings"
	"github.com/radishhoist/radishhoist/internal/standin/target"
)

// Guards against a second stop signal that moves the end of the shutdown beyond the kill, which
// comes one drain timeout after the first: requests that wait for a slot would end with a closed
// connection, and requests that no longer fit would still be taken.
func TestRepeatedStopSignalsDoNotExtendShutdown(t *testing.T) {
	const timeout, requests = 4 * time.Second, 8
	daemons := startDaemons(t, startPlatform(t), func(cfg *settings.Config) { cfg.DrainTimeout = timeout })
	front, host := daemons[0], daemons[1]
	defer host.Shutdown(nil)
	instance := startCrashingTarget(t, host)
	waitUntilServed(t, front)
	instance.SetBehaviour(target.Behaviour{Mode: target.Stuck})
	responses := make(chan error, requests)
	for range requests {
		go func() {
			resp, err := http.Get("http://" + front.cfg.Load().Callers + "/")
			if err == nil {
				_ = resp.Body.Close()
			}
			responses <- err
		}()
	}
	time.Sleep(200 * time.Millisecond) // let some requests run and others wait for a slot

	began := time.Now()
	repeated, ended := make(chan os.Signal), make(chan struct{})
	go func() {
		front.Shutdown(repeated)
		close(ended)
	}()
	var planned time.Time
	for running := true; running; {
		select {
		case repeated <- syscall.SIGTERM:
			end, _ := front.guard.ShutdownTime()
			assert.Assert(t, planned.IsZero() || end.Equal(planned), "the shutdown time has moved by %s", end.Sub(planned))
			planned = end
			time.Sleep(300 * time.Millisecond)
		case <-ended:
			running = false
		}
		assert.Assert(t, time.Since(began) < timeout, "the process still runs when it is killed")
	}
	assert.Assert(t, !planned.IsZero())
	for range requests {
		assert.NilError(t, <-responses, "a caller got no response")
	}
}

// The phases of a shutdown must leave part of the drain timeout unused, because the
// process is killed at its end.
func TestShutdownPhasesFitDrainTimeout(t *testing.T) {
	const margin = 0.019
	assert.Assert(t, completionFraction+flushFraction+closeFraction <= 1-margin)
	assert.Assert(t, acceptFraction < completionFraction)
}

// Accepted requests may run for nearly all of the drain timeout: with one of 6 s, a request
// that arrived 1.7 s after the stop signal needed until 5.52 s.
func TestRequestsMayUseMostOfDrainTimeout(t *testing.T) {
	const drainTimeout, needed = 6 * time.Second, 5520 * time.Millisecond
	assert.Assert(t, fractionOf(drainTimeout, completionFraction) > needed, "%s", fractionOf(drainTimeout, completionFraction))
}

// A goroutine that does not end must not block the shutdown beyond its context.
func TestAwaitGroupEndsWithContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var wg sync.WaitGroup
		wg.Add(1)
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		begun := time.Now()
		assert.Assert(t, !awaitGroup(ctx, &wg))
		assert.Equal(t, time.Since(begun), time.Second)
		wg.Done()
		assert.Assert(t, awaitGroup(context.Background(), &wg))
	})
}

// A directory that arrives while a host stops must not make its targets accept requests
// again: the process would exit while they run.
func TestStoppingHostStaysDrainedAfterNewDirectory(t *testing.T) {
	daemons := startDaemons(t, startPlatform(t))
	host := daemons[1]
	started := startCrashingTarget(t, host)
	waitUntilServed(t, daemons[0])
	done := make(chan struct{})
	go func() {
		host.Shutdown(nil)
		close(done)
	}()
	for end := time.Now().Add(20 * time.Second); !host.guard.Draining(); time.Sleep(time.Millisecond) {
		assert.Assert(t, time.Now().Before(end), "the host did not drain within 20 s")
	}
	host.setDirectory(host.control.Directory())
	for _, i := range host.guard.Instances() {
		assert.Equal(t, i.State, directory.Leaving, "%s accepts requests", i.Name)
	}
	<-done
	started.Stop()
	daemons[0].Shutdown(nil)
}
