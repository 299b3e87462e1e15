package control

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/radishhoist/radishhoist/internal/standin/platformd"
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
					w := startWatched(t, testAwayMax)
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

// A platform that refuses every call and then serves again is asked anew within the
// longest pause, and what was changed is in force with the next answer.
func TestAChangeAfterRefusalsIsInForceInTime(t *testing.T) {
	for refused := time.Second; refused <= 20*time.Second; refused += 700 * time.Millisecond {
		synctest.Test(t, func(t *testing.T) {
			w := startWatched(t, testAwayMax)
			defer w.stop()
			time.Sleep(3 * time.Second)
			w.platform.SetFaults(platformd.Faults{Outage: true})
			time.Sleep(refused)
			w.platform.SetFaults(platformd.Faults{})
			w.change()
			late := w.late()
			assert.Assert(t, late <= w.control.cfg.MaxRetryInterval+watchPause, "refused for %s: in force %s after", refused, late)
		})
	}
}

// What users saw: nothing yet. After a long outage each later single failure cost a
// watcher the longest pause, because only a watcher that stopped watching began again
// with the shortest: on all watchers that had met the outage, for the rest of their
// lives. A change that came in such a pause was late by up to 1.5 times the longest.
func TestAFailureLongAfterAnOutageCostsTheShortestPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := startWatched(t, 20*time.Second)
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
		// One call was refused; the next is not.
		w.platform.SetFaults(platformd.Faults{})
		w.change()
		late := w.late()
		assert.Assert(t, late <= awayMin, "in force %s after", late)
	})
}

// Calls that fail pause for longer and longer, up to the bound and never beyond it.
func TestPausesStayWithinTheirBound(t *testing.T) {
	p := pacer{max: 600 * time.Millisecond}
	for i := range 100 {
		pause := p.next()
		assert.Assert(t, pause > 0 && pause <= p.max, "%d: %s", i, pause)
	}
	p.reset()
	assert.Assert(t, p.next() <= awayMin)
}
