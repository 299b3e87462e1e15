package daemon

import (
	"context"
	"os"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/radishhoist/radishhoist/internal/core/directory"
)

// A second stop signal restarts the drain timeout. A host gets two if, for example, it is
// stopped first because its instance has left, and then because the host itself is stopped.
func TestSecondStopSignalRestartsDrainTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const timeout = 5 * time.Second
		start := time.Now()
		repeated := make(chan os.Signal, 1)
		var ends []time.Duration
		ctx, cancel := drainContext(timeout, repeated, func(end time.Time) { ends = append(ends, end.Sub(start)) })
		defer cancel()
		time.Sleep(3 * time.Second)
		repeated <- syscall.SIGTERM
		time.Sleep(4 * time.Second)
		synctest.Wait()
		assert.NilError(t, ctx.Err())
		<-ctx.Done()
		assert.Equal(t, time.Since(start), 8*time.Second)
		assert.DeepEqual(t, ends, []time.Duration{timeout, 8 * time.Second})
	})
}

func TestDrainContextCancelEndsItsGoroutine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := drainContext(time.Hour, nil, func(time.Time) {})
		cancel()
		<-ctx.Done()
		synctest.Wait()
	})
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
