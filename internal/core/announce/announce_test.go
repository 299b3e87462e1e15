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
	b := NewBook()
	assert.Assert(t, b.Hear(at(0), "old", address, Word{Sequence: 7}).Counts)
	assert.DeepEqual(t, b.Hear(at(2), "new", address, Word{Sequence: 1}), Outcome{Counts: true, Replaces: "old"})
	assert.Assert(t, !b.Hear(at(2.5), "old", address, Word{Sequence: 8}).Counts)
	assert.DeepEqual(t, b.Hear(at(3.5), "new", address, Word{Sequence: 2}), Outcome{Counts: true})
}

func TestAnInstanceThatHasLeftIsNotRevived(t *testing.T) {
	b := NewBook()
	assert.Assert(t, b.Hear(at(0), "i", address, Word{Sequence: 3}).Counts)
	b.Leave(at(1), "i", 0)
	assert.Assert(t, !b.Hear(at(2), "i", address, Word{Sequence: 4}).Counts)
	assert.Assert(t, b.Hear(at(3), "j", address, Word{Sequence: 1}).Counts)
}

func TestAnOlderWordDoesNotUndoANewerOne(t *testing.T) {
	b := NewBook()
	assert.Assert(t, b.Hear(at(0), "i", address, Word{Sequence: 5}).Counts)
	assert.Assert(t, !b.Hear(at(1), "i", address, Word{Sequence: 4}).Counts)
	assert.Assert(t, b.Hear(at(2), "i", address, Word{Sequence: 6}).Counts)
	assert.Assert(t, b.Hear(at(3), "uncounted", "10.0.0.1:81", Word{Sequence: 0}).Counts)
	assert.Assert(t, b.Hear(at(4), "uncounted", "10.0.0.1:81", Word{Sequence: 0}).Counts)
}

// A process that has just started may hear the late announcement last. The
// instance that runs must have the address again soon.
func TestTheRunningInstanceGetsTheAddressBack(t *testing.T) {
	b := NewBook()
	assert.Assert(t, b.Hear(at(0), "running", address, Word{Sequence: 1}).Counts)
	assert.Assert(t, b.Hear(at(1), "crashed", address, Word{Sequence: 9}).Counts)
	assert.Assert(t, !b.Hear(at(1.5), "running", address, Word{Sequence: 2}).Counts)
	b.Misled("crashed")
	assert.DeepEqual(t, b.Hear(at(3), "running", address, Word{Sequence: 3}), Outcome{Counts: true})
	assert.Assert(t, !b.Hear(at(4), "crashed", address, Word{Sequence: 10}).Counts)
}

// Whatever is announced, each address has one holder that is present, and what
// is remembered stays bounded.
func TestOneHolderForEachAddress(t *testing.T) {
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

// bornAt gives the start of an instance as it tells it, in Unix milliseconds.
func bornAt(seconds float64) int64 { return at(seconds).UnixMilli() }

// An instance that starts again under its id counts anew. It is heard at once,
// whatever its last start had said, and that start's late words count no more.
func TestANewStartUnderTheSameIDIsHeardAtOnce(t *testing.T) {
	for _, c := range []struct {
		name string
		// before is what the first start has said, besides its announcements.
		before func(b *Book)
		born   float64
	}{
		{"while it was present", func(*Book) {}, 2},
		{"after its leave", func(b *Book) { b.Leave(at(1.5), "i", bornAt(0)) }, 2},
		{"after a leave that names no start", func(b *Book) { b.Leave(at(1.5), "i", 0) }, 2},
		{"with a clock that is behind", func(*Book) {}, -7},
		{"after its leave, with a clock that is behind", func(b *Book) { b.Leave(at(1.5), "i", bornAt(0)) }, -7},
		{"at another's address", func(b *Book) { b.Hear(at(1.5), "other", address, Word{Born: bornAt(1.4), Sequence: 1}) }, 2},
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

// Two starts within a second: the last one counts.
func TestOfSeveralStartsTheLastCounts(t *testing.T) {
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

// A start that nobody has heard of, earlier than the one that runs, is a late word
// where it has said more before, and revives nothing.
func TestALateWordOfAnUnknownOlderStartDoesNotCount(t *testing.T) {
	b := NewBook()
	assert.Assert(t, b.Hear(at(5), "i", address, Word{Born: bornAt(4), Sequence: 1}).Counts)
	assert.Assert(t, !b.Hear(at(5.5), "i", address, Word{Born: bornAt(1), Sequence: 7}).Counts)
	b.Leave(at(6), "i", bornAt(4))
	assert.Assert(t, !b.Hear(at(6.5), "i", address, Word{Born: bornAt(1), Sequence: 8}).Counts)
	// The start that runs is silent: whoever speaks now is there.
	assert.Assert(t, b.Hear(at(11), "i", address, Word{Born: bornAt(1), Sequence: 12}).Counts)
}

// An instance that tells its start always does: words without it are another's.
func TestAWordWithoutAStartIsAnothers(t *testing.T) {
	b := NewBook()
	assert.Assert(t, b.Hear(at(1), "i", address, Word{Born: bornAt(0), Sequence: 1}).Counts)
	assert.Assert(t, !b.Hear(at(2), "i", address, Word{Sequence: 99}).Counts)
}
