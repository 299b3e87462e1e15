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

// An announcement that was held up by a cut arrives after its sender has
// crashed and a new start of it has the address.
func TestALateAnnouncementDoesNotTakeTheAddressBack(t *testing.T) {
	b := NewTracker()
	assert.Assert(t, b.Apply(at(0), "old", address, Stamp{Sequence: 7}).Accepted)
	assert.DeepEqual(t, b.Apply(at(2), "new", address, Stamp{Sequence: 1}), Outcome{Accepted: true, Replaces: "old"})
	assert.Assert(t, !b.Apply(at(2.5), "old", address, Stamp{Sequence: 8}).Accepted)
	assert.DeepEqual(t, b.Apply(at(3.5), "new", address, Stamp{Sequence: 2}), Outcome{Accepted: true})
}

func TestAnInstanceThatHasLeftIsNotRevived(t *testing.T) {
	b := NewTracker()
	assert.Assert(t, b.Apply(at(0), "i", address, Stamp{Sequence: 3}).Accepted)
	b.Leave(at(1), "i", 0)
	assert.Assert(t, !b.Apply(at(2), "i", address, Stamp{Sequence: 4}).Accepted)
	assert.Assert(t, b.Apply(at(3), "j", address, Stamp{Sequence: 1}).Accepted)
}

func TestAnOlderWordDoesNotUndoANewerOne(t *testing.T) {
	b := NewTracker()
	assert.Assert(t, b.Apply(at(0), "i", address, Stamp{Sequence: 5}).Accepted)
	assert.Assert(t, !b.Apply(at(1), "i", address, Stamp{Sequence: 4}).Accepted)
	assert.Assert(t, b.Apply(at(2), "i", address, Stamp{Sequence: 6}).Accepted)
	assert.Assert(t, b.Apply(at(3), "uncounted", "10.0.0.1:81", Stamp{Sequence: 0}).Accepted)
	assert.Assert(t, b.Apply(at(4), "uncounted", "10.0.0.1:81", Stamp{Sequence: 0}).Accepted)
}

// A process that has just started may hear the late announcement last. The
// instance that runs must have the address again soon.
func TestTheRunningInstanceGetsTheAddressBack(t *testing.T) {
	b := NewTracker()
	assert.Assert(t, b.Apply(at(0), "running", address, Stamp{Sequence: 1}).Accepted)
	assert.Assert(t, b.Apply(at(1), "crashed", address, Stamp{Sequence: 9}).Accepted)
	assert.Assert(t, !b.Apply(at(1.5), "running", address, Stamp{Sequence: 2}).Accepted)
	b.MarkMisdirected("crashed")
	assert.DeepEqual(t, b.Apply(at(3), "running", address, Stamp{Sequence: 3}), Outcome{Accepted: true})
	assert.Assert(t, !b.Apply(at(4), "crashed", address, Stamp{Sequence: 10}).Accepted)
}

// Whatever is announced, each address has one holder that is present, and what
// is remembered stays bounded.
func TestOneHolderForEachAddress(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := NewTracker()
		now := start
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 20000).Draw(t, "gapMS")) * time.Millisecond)
			name := rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "name")
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0:
				b.Leave(now, name, int64(rapid.IntRange(0, 5).Draw(t, "born")))
			case 1:
				b.MarkMisdirected(name)
			default:
				where := rapid.SampledFrom([]string{"x", "y"}).Draw(t, "address")
				b.Apply(now, name, where, Stamp{
					StartedMS: int64(rapid.IntRange(0, 5).Draw(t, "born")), Sequence: uint64(rapid.IntRange(0, 20).Draw(t, "sequence")),
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

// bornAt gives the start of an instance as it tells it, in Unix milliseconds.
func bornAt(seconds float64) int64 { return at(seconds).UnixMilli() }

// An instance that starts again under its id counts anew. It is heard at once,
// whatever its last start had said, and that start's late words count no more.
func TestANewStartUnderTheSameIDIsHeardAtOnce(t *testing.T) {
	for _, c := range []struct {
		name string
		// before is what the first start has said, besides its announcements.
		before func(b *Tracker)
		born   float64
	}{
		{"while it was present", func(*Tracker) {}, 2},
		{"after its leave", func(b *Tracker) { b.Leave(at(1.5), "i", bornAt(0)) }, 2},
		{"after a leave that names no start", func(b *Tracker) { b.Leave(at(1.5), "i", 0) }, 2},
		{"with a clock that is behind", func(*Tracker) {}, -7},
		{"after its leave, with a clock that is behind", func(b *Tracker) { b.Leave(at(1.5), "i", bornAt(0)) }, -7},
		{"at another's address", func(b *Tracker) { b.Apply(at(1.5), "other", address, Stamp{StartedMS: bornAt(1.4), Sequence: 1}) }, 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := NewTracker()
			assert.Assert(t, b.Apply(at(1), "i", address, Stamp{StartedMS: bornAt(0), Sequence: 40}).Accepted)
			c.before(b)
			out := b.Apply(at(2.1), "i", address, Stamp{StartedMS: bornAt(c.born), Sequence: 1})
			assert.Assert(t, out.Accepted && out.Restarted)
			for _, late := range []uint64{41, 60} {
				assert.Assert(t, !b.Apply(at(2.2), "i", address, Stamp{StartedMS: bornAt(0), Sequence: late}).Accepted)
			}
			b.Leave(at(2.3), "i", bornAt(0))
			out = b.Apply(at(3.1), "i", address, Stamp{StartedMS: bornAt(c.born), Sequence: 2})
			assert.DeepEqual(t, out, Outcome{Accepted: true})
		})
	}
}

// Two starts within a second: the last one counts.
func TestOfSeveralStartsTheLastCounts(t *testing.T) {
	b := NewTracker()
	for i, born := range []float64{0, 1, 1.4, 1.8} {
		out := b.Apply(at(2), "i", address, Stamp{StartedMS: bornAt(born), Sequence: 1})
		assert.Assert(t, out.Accepted && out.Restarted == (i > 0))
	}
	for _, born := range []float64{0, 1, 1.4} {
		assert.Assert(t, !b.Apply(at(2.5), "i", address, Stamp{StartedMS: bornAt(born), Sequence: 9}).Accepted)
	}
	assert.Assert(t, b.Apply(at(3), "i", address, Stamp{StartedMS: bornAt(1.8), Sequence: 2}).Accepted)
}

// A start that nobody has heard of, earlier than the one that runs, is a late word
// where it has said more before, and revives nothing.
func TestALateWordOfAnUnknownOlderStartDoesNotCount(t *testing.T) {
	b := NewTracker()
	assert.Assert(t, b.Apply(at(5), "i", address, Stamp{StartedMS: bornAt(4), Sequence: 1}).Accepted)
	assert.Assert(t, !b.Apply(at(5.5), "i", address, Stamp{StartedMS: bornAt(1), Sequence: 7}).Accepted)
	b.Leave(at(6), "i", bornAt(4))
	assert.Assert(t, !b.Apply(at(6.5), "i", address, Stamp{StartedMS: bornAt(1), Sequence: 8}).Accepted)
	// The start that runs is silent: whoever speaks now is there.
	assert.Assert(t, b.Apply(at(11), "i", address, Stamp{StartedMS: bornAt(1), Sequence: 12}).Accepted)
}

// An instance that tells its start always does: words without it are another's.
func TestAWordWithoutAStartIsAnothers(t *testing.T) {
	b := NewTracker()
	assert.Assert(t, b.Apply(at(1), "i", address, Stamp{StartedMS: bornAt(0), Sequence: 1}).Accepted)
	assert.Assert(t, !b.Apply(at(2), "i", address, Stamp{Sequence: 99}).Accepted)
}
