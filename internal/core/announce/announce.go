// Package announce decides which announcements of instances count. One that
// was held up on its way must not bring back an instance that has left, undo
// its newer word, or take the address from the instance that runs there now.
// The package does no I/O.
package announce

import (
	"slices"
	"time"
)

const (
	// memory is how long an instance that has left or was replaced is
	// remembered: longer than an announcement can be held up by a cut.
	memory = 2 * time.Minute
	// silence is how long the holder of an address must not have announced
	// itself for an instance that it had replaced to take the address back:
	// more than two intervals of the slowest usual announcements, 1.5 s. An
	// earlier start of an instance is believed after the same silence.
	silence = 4 * time.Second
	// firstWords is up to which sequence a start that nobody has heard of is taken
	// for a new one though its clock says that it is older: counts start anew with
	// each start, and a late word of an older one has a higher count.
	firstWords = 2
	// maxPast bounds the earlier starts that are remembered of an instance.
	maxPast = 8
	// maxEntries bounds the instances remembered; beyond it the one heard
	// longest ago is forgotten.
	maxEntries = 1024
)

// state is an instance's standing.
type state uint8

const (
	present state = iota
	// replaced: another instance has announced the same address since.
	replaced
	// gone: the instance has taken its leave.
	gone
)

// Stamp is what tells the announcements of an instance apart.
type Stamp struct {
	// StartedMS is when the instance started, in Unix milliseconds of its own clock: an
	// instance that starts again under its name tells another one. 0 where it does
	// not say.
	StartedMS int64
	// Sequence grows with each announcement of one start, 0 where the instance does
	// not count them.
	Sequence uint64
}

// entry is what is known of one instance.
type entry struct {
	address string
	// word is the newest that counted, and past are the earlier starts.
	word  Stamp
	past  []int64
	heard time.Time
	state state
}

// Tracker remembers the instances of one host. It is not safe for concurrent use.
type Tracker struct {
	byName map[string]*entry
	// holders are the instances present, by address.
	holders map[string]string
}

// NewTracker makes an empty Book.
func NewTracker() *Tracker {
	return &Tracker{byName: make(map[string]*entry), holders: make(map[string]string)}
}

// Outcome says what an announcement does.
type Outcome struct {
	// Accepted is false for an announcement that is older than what is known.
	Accepted bool
	// Restarted says that it is the first of a new start of the instance: whatever
	// its last start held is lost.
	Restarted bool
	// Replaces is the instance that had the address before, empty for none.
	Replaces string
}

// Apply takes one announcement.
func (b *Tracker) Apply(now time.Time, name, address string, w Stamp) Outcome {
	b.forget(now)
	e, known := b.byName[name]
	restarted := known && e.newStart(now, w)
	if known && !restarted && (e.state == gone || e.late(w)) {
		return Outcome{}
	}
	holder := b.holders[address]
	if holder == name {
		holder = ""
	}
	if known && !restarted && e.state == replaced && holder != "" && now.Sub(b.byName[holder].heard) < silence {
		e.word.Sequence = max(e.word.Sequence, w.Sequence)
		return Outcome{}
	}
	if !known {
		e = &entry{}
		b.byName[name] = e
	}
	if holder != "" {
		b.byName[holder].state = replaced
	}
	if known && e.address != address && b.holders[e.address] == name {
		delete(b.holders, e.address)
	}
	if restarted {
		e.retire(w.StartedMS)
	}
	e.word = Stamp{StartedMS: w.StartedMS, Sequence: max(e.word.Sequence, w.Sequence)}
	e.address, e.heard, e.state = address, now, present
	b.holders[address] = name
	return Outcome{Accepted: true, Restarted: restarted, Replaces: holder}
}

// newStart says that a word is the first heard of another, newer start. Clocks may
// go back between two starts, so that an earlier time alone does not make it an
// old one.
func (e *entry) newStart(now time.Time, w Stamp) bool {
	switch {
	case w.StartedMS == 0 || w.StartedMS == e.word.StartedMS || slices.Contains(e.past, w.StartedMS):
		return false
	case w.StartedMS > e.word.StartedMS:
		return true
	default:
		return w.Sequence > 0 && w.Sequence <= firstWords || now.Sub(e.heard) > silence
	}
}

// late says that a word that is not of a new start is no newer than the last one,
// or not of the start that runs.
func (e *entry) late(w Stamp) bool {
	return w.StartedMS != e.word.StartedMS || w.Sequence > 0 && w.Sequence <= e.word.Sequence
}

// retire remembers the start known so far as past, and begins another one.
func (e *entry) retire(born int64) {
	if e.word.StartedMS != 0 {
		e.past = append(e.past, e.word.StartedMS)
	}
	if len(e.past) > maxPast {
		e.past = e.past[1:]
	}
	e.word = Stamp{StartedMS: born}
}

// Leave takes an instance's leave: nothing that this start announced before
// counts any more. born is the start that leaves, 0 where it is not told. It
// reports whether the instance is gone with it: an earlier start's leave does not
// take the one that runs out of service.
func (b *Tracker) Leave(now time.Time, name string, born int64) bool {
	e, known := b.byName[name]
	if !known {
		e = &entry{}
		b.byName[name] = e
	}
	switch {
	case !known && born == 0:
		// Whatever started before this leave is gone with it.
		e.word.StartedMS = now.UnixMilli()
	case !known:
		e.word.StartedMS = born
	case born == 0 || born == e.word.StartedMS:
	case e.newStart(now, Stamp{StartedMS: born}):
		e.retire(born)
	default:
		return false
	}
	if b.holders[e.address] == name {
		delete(b.holders, e.address)
	}
	e.state, e.heard = gone, now
	return true
}

// MarkMisdirected says that the address answers for another instance: whoever announces
// it next has it.
func (b *Tracker) MarkMisdirected(name string) {
	if e, known := b.byName[name]; known && b.holders[e.address] == name {
		delete(b.holders, e.address)
		e.state = replaced
	}
}

// forget drops what is too old to matter, and the oldest beyond the bound.
func (b *Tracker) forget(now time.Time) {
	oldest := ""
	for name, e := range b.byName {
		if now.Sub(e.heard) > memory {
			b.drop(name, e)
			continue
		}
		if oldest == "" || e.heard.Before(b.byName[oldest].heard) {
			oldest = name
		}
	}
	if len(b.byName) > maxEntries {
		b.drop(oldest, b.byName[oldest])
	}
}

func (b *Tracker) drop(name string, e *entry) {
	if b.holders[e.address] == name {
		delete(b.holders, e.address)
	}
	delete(b.byName, name)
}
