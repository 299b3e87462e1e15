package control

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/radishhoist/radishhoist/internal/standin/platformd"
)

// A new route was answered with 404 for 2.5 s after its configuration had been
// acknowledged, by hosts that could reach the platform.
//
// The platform had accepted calls without responding for some seconds. The watchers had
// abandoned their watches and each had sent a list, which was never answered. When the
// platform responded again, they waited for the 5 s timeout of the list before they made
// another call, longer than the time in which a change must be applied. With 7 s without
// responses, watchers whose list had started 2.2 s before the end recovered 3.3 s after
// it, and those whose list had just timed out 0.35 s after it.
func TestAChangeAfterASilenceIsInForceInTime(t *testing.T) {
	for silence := time.Second; silence <= 12*time.Second; silence += 500 * time.Millisecond {
		for _, phase := range []time.Duration{0, 300 * time.Millisecond, 700 * time.Millisecond} {
			t.Run(fmt.Sprintf("no response for %s, phase %s", silence, phase), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					w := startWatcherTest(t, testMaxRetryInterval)
					defer w.stop()
					time.Sleep(3 * time.Second)
					w.changeRecord()
					assert.Assert(t, w.waitUntilApplied() < testFleetMargin)
					time.Sleep(phase)
					w.setSilent(true)
					time.Sleep(silence)
					w.setSilent(false)
					w.changeRecord()
					delay := w.waitUntilApplied()
					assert.Assert(t, delay <= testApplyLimit-testFleetMargin, "applied at the watcher %s after the acknowledgement", delay)
				})
			})
		}
	}
}

// When a platform that rejected every call recovers, it is called again within the
// longest pause, and changes are applied with the next response.
func TestAChangeAfterRefusalsIsInForceInTime(t *testing.T) {
	for refused := time.Second; refused <= 20*time.Second; refused += 700 * time.Millisecond {
		synctest.Test(t, func(t *testing.T) {
			w := startWatcherTest(t, testMaxRetryInterval)
			defer w.stop()
			time.Sleep(3 * time.Second)
			w.platform.SetFaults(platformd.Faults{Outage: true})
			time.Sleep(refused)
			w.platform.SetFaults(platformd.Faults{})
			w.changeRecord()
			delay := w.waitUntilApplied()
			assert.Assert(t, delay <= w.control.cfg.MaxRetryInterval+watchPause, "calls rejected for %s: applied %s after", refused, delay)
		})
	}
}

// The backoff was reset only when a host stopped being a watcher. After a long outage
// each later single failure therefore caused the longest pause, until the process ended,
// and a change during it was late by up to 1.5 times the longest pause.
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
		for !w.control.State().PlatformAway {
			time.Sleep(time.Millisecond)
		}
		// One call was rejected; the next succeeds.
		w.platform.SetFaults(platformd.Faults{})
		w.changeRecord()
		delay := w.waitUntilApplied()
		assert.Assert(t, delay <= minBackoff, "applied %s after", delay)
	})
}

// Pauses between failed calls never exceed the maximum.
func TestBackoffStaysWithinMaximum(t *testing.T) {
	p := backoff{max: 600 * time.Millisecond}
	for i := range 100 {
		pause := p.next()
		assert.Assert(t, pause > 0 && pause <= p.max, "%d: %s", i, pause)
	}
	p.reset()
	assert.Assert(t, p.next() <= minBackoff)
}
