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
)

// A host that is asked to stop a second time, as when its instance has gone and
// then its own turn comes, has the whole time from then on.
func TestASecondStopSignalGivesTheWholeTimeAnew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const wait = 5 * time.Second
		start := time.Now()
		again := make(chan os.Signal, 1)
		var ends []time.Duration
		ctx, cancel := untilQuiet(wait, again, func(end time.Time) { ends = append(ends, end.Sub(start)) })
		defer cancel()
		time.Sleep(3 * time.Second)
		again <- syscall.SIGTERM
		time.Sleep(4 * time.Second)
		synctest.Wait()
		assert.NilError(t, ctx.Err())
		<-ctx.Done()
		assert.Equal(t, time.Since(start), 8*time.Second)
		assert.DeepEqual(t, ends, []time.Duration{wait, 8 * time.Second})
	})
}

func TestAStopThatIsOverWaitsForNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := untilQuiet(time.Hour, nil, func(time.Time) {})
		cancel()
		<-ctx.Done()
		synctest.Wait()
	})
}

// All that a stop may wait for leaves a part of the drain timeout, at whose end the
// process is killed.
func TestAStopEndsBeforeTheKill(t *testing.T) {
	const left = 0.019
	assert.Assert(t, endingShare+lastShare+closeShare <= 1-left)
	assert.Assert(t, takingShare < endingShare)
}

// Work that was taken in good time has nearly all of the time to the kill: a request
// that came 1.7 s after the stop ran until 5.52 s after it.
func TestWorkHasNearlyAllTheTimeOfAStop(t *testing.T) {
	const grace, needed = 6 * time.Second, 5520 * time.Millisecond
	assert.Assert(t, portion(grace, endingShare) > needed, "%s", portion(grace, endingShare))
}

// Parts that do not end in time do not hold the process.
func TestClosingWaitsForNoPartForLong(t *testing.T) {
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
