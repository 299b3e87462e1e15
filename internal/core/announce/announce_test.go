package announce

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

const address = "10.0.0.1:80"

var start = time.Unix(1000, 0)

func at(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }

// An announcement delayed by a network partition arrives after its sender has crashed and
// another instance has the address.
func TestDelayedAnnouncementDoesNotTakeAddressBack(t *testing.T) {
	tracker := NewTracker()
	assert.Assert(t, tracker.Apply(at(0), "old", address, Stamp{Sequence: 7}).Accepted)
	assert.DeepEqual(t, tracker.Apply(at(2), "new", address, Stamp{Sequence: 1}), Outcome{Accepted: true, Replaces: "old"})
	assert.Assert(t, !tracker.Apply(at(2.5), "old", address, Stamp{Sequence: 8}).Accepted)
	assert.DeepEqual(t, tracker.Apply(at(3.5), "new", address, Stamp{Sequence: 2}), Outcome{Accepted: true})
}

func TestInstanceThatHasLeftIsNotRevived(t *testing.T) {
	tracker := NewTracker()
	assert.Assert(t, tracker.Apply(at(0), "i", address, Stamp{Sequence: 3}).Accepted)
	tracker.Leave(at(1), "i", 0)
	assert.Assert(t, !tracker.Apply(at(2), "i", address, Stamp{Sequence: 4}).Accepted)
	assert.Assert(t, tracker.Apply(at(3), "j", address, Stamp{Sequence: 1}).Accepted)
}

func TestOlderAnnouncementDoesNotOverrideNewerOne(t *testing.T) {
	tracker := NewTracker()
	assert.Assert(t, tracker.Apply(at(0), "i", address, Stamp{Sequence: 5}).Accepted)
	assert.Assert(t, !tracker.Apply(at(1), "i", address, Stamp{Sequence: 4}).Accepted)
	assert.Assert(t, tracker.Apply(at(2), "i", address, Stamp{Sequence: 6}).Accepted)
	assert.Assert(t, tracker.Apply(at(3), "uncounted", "10.0.0.1:81", Stamp{Sequence: 0}).Accepted)
	assert.Assert(t, tracker.Apply(at(4), "uncounted", "10.0.0.1:81", Stamp{Sequence: 0}).Accepted)
}

// A process that has just started may receive a delayed announcement of a crashed instance
// after that of the running one. The running instance must regain the address soon.
func TestRunningInstanceRegainsAddress(t *testing.T) {
	tracker := NewTracker()
	assert.Assert(t, tracker.Apply(at(0), "running", address, Stamp{Sequence: 1}).Accepted)
	assert.Assert(t, tracker.Apply(at(1), "crashed", address, Stamp{Sequence: 9}).Accepted)
	assert.Assert(t, !tracker.Apply(at(1.5), "running", address, Stamp{Sequence: 2}).Accepted)
	tracker.MarkMisdirected("crashed")
	assert.DeepEqual(t, tracker.Apply(at(3), "running", address, Stamp{Sequence: 3}), Outcome{Accepted: true})
	assert.Assert(t, !tracker.Apply(at(4), "crashed", address, Stamp{Sequence: 10}).Accepted)
}

// For any sequence of operations, each holder of an address is present there, and the
// number of entries is bounded.
func TestEachAddressHasOneHolder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tracker := NewTracker()
		now := start
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 20000).Draw(t, "gapMS")) * time.Millisecond)
			name := rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "name")
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0:
				tracker.Leave(now, name, int64(rapid.IntRange(0, 5).Draw(t, "started")))
			case 1:
				tracker.MarkMisdirected(name)
			default:
				addr := rapid.SampledFrom([]string{"x", "y"}).Draw(t, "address")
				tracker.Apply(now, name, addr, Stamp{
					StartedMS: int64(rapid.IntRange(0, 5).Draw(t, "started")), Sequence: uint64(rapid.IntRange(0, 20).Draw(t, "sequence")),
				})
			}
			for addr, holder := range tracker.holders {
				e := tracker.byName[holder]
				assert.Assert(t, e != nil && e.state == present && e.address == addr)
			}
			assert.Assert(t, len(tracker.byName) <= maxEntries)
		}
	})
}

// startMS returns a start time in Unix milliseconds.
func startMS(seconds float64) int64 { return at(seconds).UnixMilli() }

// An instance that restarts under the same name begins a new sequence. Its announcements
// are accepted at once, whatever the previous start has announced, and delayed
// announcements of the previous start are rejected.
func TestNewStartUnderSameNameIsAcceptedAtOnce(t *testing.T) {
	for _, c := range []struct {
		name string
		// before is what happens between the two starts.
		before  func(tracker *Tracker)
		started float64
	}{
		{"while it was present", func(*Tracker) {}, 2},
		{"after its leave", func(tracker *Tracker) { tracker.Leave(at(1.5), "i", startMS(0)) }, 2},
		{"after a leave that names no start", func(tracker *Tracker) { tracker.Leave(at(1.5), "i", 0) }, 2},
		{"with a clock that is behind", func(*Tracker) {}, -7},
		{"after its leave, with a clock that is behind", func(tracker *Tracker) { tracker.Leave(at(1.5), "i", startMS(0)) }, -7},
		{"at the address of another instance", func(tracker *Tracker) {
			tracker.Apply(at(1.5), "other", address, Stamp{StartedMS: startMS(1.4), Sequence: 1})
		}, 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			tracker := NewTracker()
			assert.Assert(t, tracker.Apply(at(1), "i", address, Stamp{StartedMS: startMS(0), Sequence: 40}).Accepted)
			c.before(tracker)
			out := tracker.Apply(at(2.1), "i", address, Stamp{StartedMS: startMS(c.started), Sequence: 1})
			assert.Assert(t, out.Accepted && out.Restarted)
			for _, sequence := range []uint64{41, 60} {
				assert.Assert(t, !tracker.Apply(at(2.2), "i", address, Stamp{StartedMS: startMS(0), Sequence: sequence}).Accepted)
			}
			tracker.Leave(at(2.3), "i", startMS(0))
			out = tracker.Apply(at(3.1), "i", address, Stamp{StartedMS: startMS(c.started), Sequence: 2})
			assert.DeepEqual(t, out, Outcome{Accepted: true})
		})
	}
}

// Of several starts in quick succession, only the last is accepted.
func TestLastOfSeveralStartsIsAccepted(t *testing.T) {
	tracker := NewTracker()
	for i, started := range []float64{0, 1, 1.4, 1.8} {
		out := tracker.Apply(at(2), "i", address, Stamp{StartedMS: startMS(started), Sequence: 1})
		assert.Assert(t, out.Accepted && out.Restarted == (i > 0))
	}
	for _, started := range []float64{0, 1, 1.4} {
		assert.Assert(t, !tracker.Apply(at(2.5), "i", address, Stamp{StartedMS: startMS(started), Sequence: 9}).Accepted)
	}
	assert.Assert(t, tracker.Apply(at(3), "i", address, Stamp{StartedMS: startMS(1.8), Sequence: 2}).Accepted)
}

// An announcement from an unknown start, earlier than the running one and with a sequence
// number above maxFirstSequence, is a delayed one and must be rejected.
func TestDelayedAnnouncementOfUnknownOlderStartIsRejected(t *testing.T) {
	tracker := NewTracker()
	assert.Assert(t, tracker.Apply(at(5), "i", address, Stamp{StartedMS: startMS(4), Sequence: 1}).Accepted)
	assert.Assert(t, !tracker.Apply(at(5.5), "i", address, Stamp{StartedMS: startMS(1), Sequence: 7}).Accepted)
	tracker.Leave(at(6), "i", startMS(4))
	assert.Assert(t, !tracker.Apply(at(6.5), "i", address, Stamp{StartedMS: startMS(1), Sequence: 8}).Accepted)
	// Once the known start has sent no announcement for holderTimeout, the other is accepted.
	assert.Assert(t, tracker.Apply(at(11), "i", address, Stamp{StartedMS: startMS(1), Sequence: 12}).Accepted)
}

// An instance either always or never announces its start time, so announcements without it
// are not from the known start.
func TestAnnouncementWithoutStartTimeIsRejectedAfterOneWith(t *testing.T) {
	tracker := NewTracker()
	assert.Assert(t, tracker.Apply(at(1), "i", address, Stamp{StartedMS: startMS(0), Sequence: 1}).Accepted)
	assert.Assert(t, !tracker.Apply(at(2), "i", address, Stamp{Sequence: 99}).Accepted)
}

// Guards against an announcement of another writer, without a sequence number, that is taken for newer
// than all numbered ones.
func TestUnnumberedAnnouncementIsRefusedAfterNumberedOnes(t *testing.T) {
	tracker := NewTracker()
	assert.Assert(t, tracker.Apply(at(0), "i", address, Stamp{Sequence: 5}).Accepted)
	assert.DeepEqual(t, tracker.Apply(at(1), "i", "10.0.0.9:1", Stamp{}), Outcome{Unnumbered: true})
	assert.DeepEqual(t, tracker.Apply(at(2), "i", address, Stamp{Sequence: 6}), Outcome{Accepted: true})
	tracker.Leave(at(3), "i", 0)
	assert.DeepEqual(t, tracker.Apply(at(4), "i", address, Stamp{}), Outcome{Unnumbered: true})
}

// Guards against delayed first announcements of a crashed start that replace the running one for good:
// its later announcements were taken for those of an earlier start.
func TestRunningStartResumesAfterDelayedFirstAnnouncements(t *testing.T) {
	crashed, running := startMS(0), startMS(5)
	for _, gap := range []float64{0, 0.4, 1.4} {
		tracker := NewTracker()
		assert.Assert(t, tracker.Apply(at(5), "i", address, Stamp{StartedMS: running, Sequence: 1}).Accepted)
		assert.Assert(t, tracker.Apply(at(6.5), "i", address, Stamp{StartedMS: running, Sequence: 2}).Accepted)
		tracker.Apply(at(7), "i", address, Stamp{StartedMS: crashed, Sequence: 1})
		tracker.Apply(at(7+gap), "i", address, Stamp{StartedMS: crashed, Sequence: 2})
		accepted := 0.0
		for n, seconds := uint64(3), 8.5; seconds < 13; n, seconds = n+1, seconds+1.5 {
			out := tracker.Apply(at(seconds), "i", address, Stamp{StartedMS: running, Sequence: n})
			assert.Assert(t, !out.Restarted, "requests that are running must not be aborted")
			assert.Equal(t, out.Contested, !out.Accepted)
			if out.Accepted && accepted == 0 {
				accepted = seconds
			}
		}
		assert.Assert(t, accepted > 0 && accepted <= 7+gap+2*1.5, "accepted at %.1f s", accepted)
		assert.Assert(t, tracker.Leave(at(13), "i", running))
	}
}

// A start with a clock that is behind keeps its place while it announces itself, whatever arrives late
// of the start before.
func TestStartWithClockBehindIsNotReplacedByDelayedAnnouncements(t *testing.T) {
	tracker := NewTracker()
	assert.Assert(t, tracker.Apply(at(1), "i", address, Stamp{StartedMS: startMS(0), Sequence: 40}).Accepted)
	for n := range uint64(8) {
		seconds := 2 + 1.5*float64(n)
		out := tracker.Apply(at(seconds), "i", address, Stamp{StartedMS: startMS(-7), Sequence: n + 1})
		assert.Assert(t, out.Accepted && out.Restarted == (n == 0))
		late := tracker.Apply(at(seconds+0.7), "i", address, Stamp{StartedMS: startMS(0), Sequence: 41 + n})
		assert.DeepEqual(t, late, Outcome{Contested: true})
	}
}

// An announcement from before an acknowledged departure must have no effect after a restart of the
// process, whether it arrives before the departure is restored or after it. Newer announcements and
// newer starts must not be refused for it.
func TestRestoredDepartureRefusesEarlierAnnouncements(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		started := rapid.SampledFrom([]int64{0, startMS(0)}).Draw(t, "start")
		sequence := rapid.Uint64Range(2, 100).Draw(t, "sequence")
		d := Departure{Instance: "i", Stamp: Stamp{StartedMS: started, Sequence: sequence}, Gone: rapid.Bool().Draw(t, "gone"), At: at(0)}
		tracker := NewTracker()
		early := rapid.Bool().Draw(t, "announced before the restore")
		if early {
			assert.Assert(t, tracker.Apply(at(1), "i", address, Stamp{StartedMS: started, Sequence: rapid.Uint64Range(1, sequence-1).Draw(t, "early")}).Accepted)
		}
		assert.Equal(t, tracker.Restore(at(1.5), d), early)
		late := Stamp{StartedMS: started, Sequence: rapid.Uint64Range(1, sequence-1).Draw(t, "late")}
		assert.Assert(t, !tracker.Apply(at(2), "i", address, late).Accepted)
		assert.Assert(t, tracker.Apply(at(2), "other", address, Stamp{Sequence: 1}).Accepted)
		newer := tracker.Apply(at(3), "i", "10.0.0.1:82", Stamp{StartedMS: started, Sequence: sequence + 1})
		assert.Equal(t, newer.Accepted, !d.Gone, "a newer announcement of the same start")
		if started > 0 {
			assert.Assert(t, tracker.Apply(at(4), "i", "10.0.0.1:82", Stamp{StartedMS: startMS(3), Sequence: 1}).Accepted)
		}
	})
}

// A start that is newer than the one that left must not be removed by the restored departure.
func TestRestoredDepartureKeepsNewerStart(t *testing.T) {
	tracker := NewTracker()
	assert.Assert(t, tracker.Apply(at(1), "i", address, Stamp{StartedMS: startMS(0.5), Sequence: 1}).Accepted)
	assert.Assert(t, !tracker.Restore(at(1.5), Departure{Instance: "i", Stamp: Stamp{StartedMS: startMS(0), Sequence: 40}, Gone: true}))
	assert.Assert(t, tracker.Apply(at(2), "i", address, Stamp{StartedMS: startMS(0.5), Sequence: 2}).Accepted)
}
