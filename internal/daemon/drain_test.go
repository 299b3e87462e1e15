package daemon

import (
	"os"
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
