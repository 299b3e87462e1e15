package control

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// What users saw: a route that had been added was answered 404, 2.5 s after its
// configuration had been acknowledged, by hosts that reached the platform.
//
// Order of events: the platform took calls and answered none for some seconds, then
// answered again. The hosts that watch it gave up their watches and each sent a
// list into the silence. The platform came back and an operator changed the
// configuration. The lists, which could not be answered any more, were waited for
// until their own time limit of 5 s was over; nothing else was asked meanwhile.
//
// Cause: the only call under way was one that cannot be answered, and its time
// limit is longer than the time in which a change is to be in force.
//
// Evidence: the watchers' lines "platform away" and "platform back" of a fleet whose
// platform was silent for 7 s: those whose list began 2.2 s before the return were
// back 3.3 s after it, those whose list had just ended 0.35 s after it.
func TestAChangeAfterASilenceIsInForceInTime(t *testing.T) {
	for silence := time.Second; silence <= 12*time.Second; silence += 500 * time.Millisecond {
		for _, phase := range []time.Duration{0, 300 * time.Millisecond, 700 * time.Millisecond} {
			t.Run(fmt.Sprintf("silent for %s from %s on", silence, phase), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					w := startWatched(t, nil)
					defer w.stop()
					time.Sleep(3 * time.Second)
					w.change()
					assert.Assert(t, w.late() < testFleetPart)
					time.Sleep(phase)
					w.silent(true)
					time.Sleep(silence)
					w.silent(false)
					w.change()
					late := w.late()
					assert.Assert(t, late <= testBound-testFleetPart, "in force at the watcher %s after the acknowledgement", late)
				})
			})
		}
	}
}
