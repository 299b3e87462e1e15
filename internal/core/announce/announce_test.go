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
	b := NewBook()
	assert.Assert(t, b.Hear(at(0), "old", address, Word{Sequence: 7}).Counts)
	assert.DeepEqual(t, b.Hear(at(2), "new", address, Word{Sequence: 1}), Outcome{Counts: true, Replaces: "old"})
	assert.Assert(t, !b.Hear(at(2.5), "old", address, Word{Sequence: 8}).Counts)
	assert.DeepEqual(t, b.Hear(at(3.5), "new", address, Word{Sequence: 2}), Outcome{Counts: true})
}

func TestInstanceThatHasLeftIsNotRevived(t *testing.T) {
	b := NewBook()
	assert.Assert(t, b.Hear(at(0), "i", address, Word{Sequence: 3}).Counts)
	b.Leave(at(1), "i", 0)
	assert.Assert(t, !b.Hear(at(2), "i", address, Word{Sequence: 4}).Counts)
	assert.Assert(t, b.Hear(at(3), "j", address, Word{Sequence: 1}).Counts)
}

func TestOlderAnnouncementDoesNotOverrideNewerOne(t *testing.T) {
	b := NewBook()
	assert.Assert(t, b.Hear(at(0), "i", address, Word{Sequence: 5}).Counts)
	assert.Assert(t, !b.Hear(at(1), "i", address, Word{Sequence: 4}).Counts)
	assert.Assert(t, b.Hear(at(2), "i", address, Word{Sequence: 6}).Counts)
	assert.Assert(t, b.Hear(at(3), "uncounted", "10.0.0.1:81", Word{Sequence: 0}).Counts)
	assert.Assert(t, b.Hear(at(4), "uncounted", "10.0.0.1:81", Word{Sequence: 0}).Counts)
}

// A process that has just started may receive a delayed announcement of a crashed instance
// after that of the running one. The running instance must regain the address soon.
func TestRunningInstanceRegainsAddress(t *testing.T) {
	b := NewBook()
	assert.Assert(t, b.Hear(at(0), "running", address, Word{Sequence: 1}).Counts)
	assert.Assert(t, b.Hear(at(1), "crashed", address, Word{Sequence: 9}).Counts)
	assert.Assert(t, !b.Hear(at(1.5), "running", address, Word{Sequence: 2}).Counts)
	b.Misled("crashed")
	assert.DeepEqual(t, b.Hear(at(3), "running", address, Word{Sequence: 3}), Outcome{Counts: true})
	assert.Assert(t, !b.Hear(at(4), "crashed", address, Word{Sequence: 10}).Counts)
}

// For any sequence of operations, each holder of an address is present there, and the number
// of entries is bounded.
func TestEachAddressHasOneHolder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := NewBook()
		now := start
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 20000).Draw(t, "gapMS")) * time.Millisecond)
			name := rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "name")
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0:
				b.Leave(now, name, int64(rapid.IntRange(0, 5).Draw(t, "born")))
			case 1:
				b.Misled(name)
			default:
				where := rapid.SampledFrom([]string{"x", "y"}).Draw(t, "address")
				b.Hear(now, name, where, Word{
					Born: int64(rapid.IntRange(0, 5).Draw(t, "born")), Sequence: uint64(rapid.IntRange(0, 20).Draw(t, "sequence")),
				})
			}
			for where, holder := range b.holders {
				e := b.byName[holder]
				assert.Assert(t, e != nil && e.state == present && e.address == where)
			}
			assert.Assert(t, len(b.byName) <= maxEntries)
		}
	})
}

// bornAt returns a start time in Unix milliseconds.
func bornAt(seconds float64) int64 { return at(seconds).UnixMilli() }

// An instance that restarts under the same name begins a new sequence. Its announcements
// are accepted at once, whatever the previous start has announced, and delayed
// announcements of the previous start are rejected.
func TestNewStartUnderSameNameIsAcceptedAtOnce(t *testing.T) {
	for _, c := range []struct {
		name string
		// before is what happens between the two starts.
		before func(b *Book)
		born   float64
	}{
		{"while it was present", func(*Book) {}, 2},
		{"after its leave", func(b *Book) { b.Leave(at(1.5), "i", bornAt(0)) }, 2},
		{"after a leave that names no start", func(b *Book) { b.Leave(at(1.5), "i", 0) }, 2},
		{"with a clock that is behind", func(*Book) {}, -7},
		{"after its leave, with a clock that is behind", func(b *Book) { b.Leave(at(1.5), "i", bornAt(0)) }, -7},
		{"at the address of another instance", func(b *Book) { b.Hear(at(1.5), "other", address, Word{Born: bornAt(1.4), Sequence: 1}) }, 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := NewBook()
			assert.Assert(t, b.Hear(at(1), "i", address, Word{Born: bornAt(0), Sequence: 40}).Counts)
			c.before(b)
			out := b.Hear(at(2.1), "i", address, Word{Born: bornAt(c.born), Sequence: 1})
			assert.Assert(t, out.Counts && out.Restarted)
			for _, late := range []uint64{41, 60} {
				assert.Assert(t, !b.Hear(at(2.2), "i", address, Word{Born: bornAt(0), Sequence: late}).Counts)
			}
			b.Leave(at(2.3), "i", bornAt(0))
			out = b.Hear(at(3.1), "i", address, Word{Born: bornAt(c.born), Sequence: 2})
			assert.DeepEqual(t, out, Outcome{Counts: true})
		})
	}
}

// Of several starts in quick succession, only the last is accepted.
func TestLastOfSeveralStartsIsAccepted(t *testing.T) {
	b := NewBook()
	for i, born := range []float64{0, 1, 1.4, 1.8} {
		out := b.Hear(at(2), "i", address, Word{Born: bornAt(born), Sequence: 1})
		assert.Assert(t, out.Counts && out.Restarted == (i > 0))
	}
	for _, born := range []float64{0, 1, 1.4} {
		assert.Assert(t, !b.Hear(at(2.5), "i", address, Word{Born: bornAt(born), Sequence: 9}).Counts)
	}
	assert.Assert(t, b.Hear(at(3), "i", address, Word{Born: bornAt(1.8), Sequence: 2}).Counts)
}

// An announcement from an unknown start, earlier than the running one and with a sequence
// number above maxFirstSequence, is a delayed one and must be rejected.
func TestDelayedAnnouncementOfUnknownOlderStartIsRejected(t *testing.T) {
	b := NewBook()
	assert.Assert(t, b.Hear(at(5), "i", address, Word{Born: bornAt(4), Sequence: 1}).Counts)
	assert.Assert(t, !b.Hear(at(5.5), "i", address, Word{Born: bornAt(1), Sequence: 7}).Counts)
	b.Leave(at(6), "i", bornAt(4))
	assert.Assert(t, !b.Hear(at(6.5), "i", address, Word{Born: bornAt(1), Sequence: 8}).Counts)
	// Without recent announcements of the known start, the other one is accepted.
	assert.Assert(t, b.Hear(at(11), "i", address, Word{Born: bornAt(1), Sequence: 12}).Counts)
}

// An instance either always or never announces its start time, so announcements without it
// are not from the known start.
func TestAnnouncementWithoutStartTimeIsRejectedAfterOneWith(t *testing.T) {
	b := NewBook()
	assert.Assert(t, b.Hear(at(1), "i", address, Word{Born: bornAt(0), Sequence: 1}).Counts)
	assert.Assert(t, !b.Hear(at(2), "i", address, Word{Sequence: 99}).Counts)
}
