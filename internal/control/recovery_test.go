package control

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/radishhoist/radishhoist/internal/standin/platformd"
)

// Guards against late application of a change after the platform has accepted calls without
// responding for some seconds. The watchers had abandoned their watches and each had sent a
// list that got no response. When the platform responded again, they waited for the 5 s
// timeout of that list before their next call, longer than the time in which a change must
// be applied. Hosts that could reach the platform therefore responded to requests for a new
// route with 404 for 2.5 s after its configuration had been acknowledged.
//
// After 7 s without responses, watchers whose list had started 2.2 s before the end
// recovered 3.3 s after it, and those whose list had just timed out 0.35 s after it.
func TestChangeIsAppliedInTimeAfterPlatformRecovers(t *testing.T) {
	for unresponsiveFor := time.Second; unresponsiveFor <= 12*time.Second; unresponsiveFor += 500 * time.Millisecond {
		for _, phase := range []time.Duration{0, 300 * time.Millisecond, 700 * time.Millisecond} {
			t.Run(fmt.Sprintf("no response for %s, phase %s", unresponsiveFor, phase), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					w := startWatcherTest(t, testMaxRetryInterval)
					defer w.stop()
					time.Sleep(3 * time.Second)
					w.changeRecord()
					assert.Assert(t, w.waitUntilApplied() < testReplicationMargin)
					time.Sleep(phase)
					w.setSilent(true)
					time.Sleep(unresponsiveFor)
					w.setSilent(false)
					w.changeRecord()
					delay := w.waitUntilApplied()
					assert.Assert(t, delay <= testApplyLimit-testReplicationMargin, "applied at the watcher %s after the acknowledgement", delay)
				})
			})
		}
	}
}

// When a platform that refused every call recovers, it must be called again within the
// longest pause, and changes must be applied with the next response.
func TestChangeIsAppliedInTimeAfterRefusedCalls(t *testing.T) {
	for refusedFor := time.Second; refusedFor <= 20*time.Second; refusedFor += 700 * time.Millisecond {
		synctest.Test(t, func(t *testing.T) {
			w := startWatcherTest(t, testMaxRetryInterval)
			defer w.stop()
			time.Sleep(3 * time.Second)
			w.platform.SetFaults(platformd.Faults{Outage: true})
			time.Sleep(refusedFor)
			w.platform.SetFaults(platformd.Faults{})
			w.changeRecord()
			delay := w.waitUntilApplied()
			assert.Assert(t, delay <= w.control.cfg.MaxRetryInterval+watchPause, "calls refused for %s: applied %s after the acknowledgement", refusedFor, delay)
		})
	}
}

// Guards against a backoff that is not reset after a successful call. It was reset only when
// a host stopped being a watcher. After a long outage, each single failure during the rest
// of the process therefore caused the longest pause, and a change during that pause was late
// by up to 1.5 times the longest pause.
func TestFailureLongAfterOutageUsesShortestPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := startWatcherTest(t, 20*time.Second)
		defer w.stop()
		time.Sleep(3 * time.Second)
		w.platform.SetFaults(platformd.Faults{Outage: true})
		time.Sleep(10 * time.Minute)
		w.platform.SetFaults(platformd.Faults{})
		time.Sleep(time.Minute)
		w.platform.SetFaults(platformd.Faults{Outage: true})
		for !w.control.State().PlatformUnavailable {
			time.Sleep(time.Millisecond)
		}
		// One call was refused; the next one succeeds.
		w.platform.SetFaults(platformd.Faults{})
		w.changeRecord()
		delay := w.waitUntilApplied()
		assert.Assert(t, delay <= minBackoff, "applied %s after the acknowledgement", delay)
	})
}

func TestBackoffStaysWithinMaximum(t *testing.T) {
	b := backoff{max: 600 * time.Millisecond}
	for i := range 100 {
		pause := b.next()
		assert.Assert(t, pause > 0 && pause <= b.max, "%d: %s", i, pause)
	}
	b.reset()
	assert.Assert(t, b.next() <= minBackoff)
}
