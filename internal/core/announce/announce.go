// Package announce decides which announcements of instances are accepted. A delayed
// announcement must not bring back an instance that has left, override a newer
// announcement, or take the address from the instance that now runs there. The package
// does no I/O.
package announce

import (
	"slices"
	"time"
)

const (
	// retention is how long an instance that has left or was replaced is remembered:
	// longer than a network partition can delay an announcement.
	retention = 2 * time.Minute
	// holderTimeout is the time without announcements from the holder of an address
	// after which an instance that the holder had replaced may take the address back:
	// more than two intervals of 1.5 s, the longest usual announcement interval. An
	// earlier start of an instance is accepted after the same time.
	holderTimeout = 4 * time.Second
	// maxFirstSequence is the highest sequence number at which an unknown start is
	// accepted as a new one although its start time is earlier. The count restarts with
	// each start, and a delayed announcement of an older start has a higher number.
	maxFirstSequence = 2
	// maxPastStarts is the number of earlier starts remembered per instance.
	maxPastStarts = 8
	// maxEntries is the number of instances remembered. Above it, the instance with the
	// oldest announcement is evicted.
	maxEntries = 1024
)

// state is the state of a known instance.
type state uint8

const (
	present state = iota
	// replaced means that another instance has announced the same address since.
	replaced
	// gone means that the instance has left.
	gone
)

// Word is the part of an announcement that orders the announcements of an instance.
type Word struct {
	// Born is the start time of the instance, in Unix milliseconds by its own clock, or
	// 0 if unknown. It distinguishes successive starts under the same name.
	Born int64
	// Sequence increases with each announcement of one start. It is 0 if the instance
	// does not count its announcements.
	Sequence uint64
}

// entry is the state of one instance.
type entry struct {
	address string
	// latest is the newest accepted Word; pastStarts holds the Born of earlier starts.
	latest     Word
	pastStarts []int64
	lastSeen   time.Time
	state      state
}

// Book tracks the instances of one host. It is not safe for concurrent use.
type Book struct {
	byName map[string]*entry
	// holders maps addresses to the names of the present instances.
	holders map[string]string
}

// NewBook returns an empty Book.
func NewBook() *Book {
	return &Book{byName: make(map[string]*entry), holders: make(map[string]string)}
}

// Outcome is the effect of an announcement.
type Outcome struct {
	// Counts reports whether the announcement is accepted. It is false if a newer one is
	// known.
	Counts bool
	// Restarted reports whether it is the first announcement of a new start of the
	// instance, so that the state of the previous start is lost.
	Restarted bool
	// Replaces is the instance that held the address before, empty if there is none.
	Replaces string
}

// Hear processes one announcement.
func (b *Book) Hear(now time.Time, name, address string, w Word) Outcome {
	b.evict(now)
	e, known := b.byName[name]
	restarted := known && e.isNewStart(now, w)
	if known && !restarted && (e.state == gone || e.outdated(w)) {
		return Outcome{}
	}
	holder := b.holders[address]
	if holder == name {
		holder = ""
	}
	if known && !restarted && e.state == replaced && holder != "" && now.Sub(b.byName[holder].lastSeen) < holderTimeout {
		e.latest.Sequence = max(e.latest.Sequence, w.Sequence)
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
		e.beginStart(w.Born)
	}
	e.latest = Word{Born: w.Born, Sequence: max(e.latest.Sequence, w.Sequence)}
	e.address, e.lastSeen, e.state = address, now, present
	b.holders[address] = name
	return Outcome{Counts: true, Restarted: restarted, Replaces: holder}
}

// isNewStart reports whether w is the first announcement received from another, newer start.
// The clock may have been set back between two starts, so an earlier start time alone does
// not mean an older start.
func (e *entry) isNewStart(now time.Time, w Word) bool {
	switch {
	case w.Born == 0 || w.Born == e.latest.Born || slices.Contains(e.pastStarts, w.Born):
		return false
	case w.Born > e.latest.Born:
		return true
	default:
		return w.Sequence > 0 && w.Sequence <= maxFirstSequence || now.Sub(e.lastSeen) > holderTimeout
	}
}

// outdated reports whether w, which is not from a new start, is from an earlier start or
// not newer than the latest announcement.
func (e *entry) outdated(w Word) bool {
	return w.Born != e.latest.Born || w.Sequence > 0 && w.Sequence <= e.latest.Sequence
}

// beginStart adds the current start to the past ones and begins a new one.
func (e *entry) beginStart(born int64) {
	if e.latest.Born != 0 {
		e.pastStarts = append(e.pastStarts, e.latest.Born)
	}
	if len(e.pastStarts) > maxPastStarts {
		e.pastStarts = e.pastStarts[1:]
	}
	e.latest = Word{Born: born}
}

// Leave records that an instance has left. Announcements of that start are no longer
// accepted. born identifies the start, or is 0 if unknown. Leave reports whether the
// instance is gone: if an earlier start leaves, the running one is not affected.
func (b *Book) Leave(now time.Time, name string, born int64) bool {
	e, known := b.byName[name]
	if !known {
		e = &entry{}
		b.byName[name] = e
	}
	switch {
	case !known && born == 0:
		// All starts before this time are considered gone.
		e.latest.Born = now.UnixMilli()
	case !known:
		e.latest.Born = born
	case born == 0 || born == e.latest.Born:
	case e.isNewStart(now, Word{Born: born}):
		e.beginStart(born)
	default:
		return false
	}
	if b.holders[e.address] == name {
		delete(b.holders, e.address)
	}
	e.state, e.lastSeen = gone, now
	return true
}

// Misled records that another instance answers at the address of the named one. The next
// instance to announce the address gets it.
func (b *Book) Misled(name string) {
	if e, known := b.byName[name]; known && b.holders[e.address] == name {
		delete(b.holders, e.address)
		e.state = replaced
	}
}

// evict removes the entries older than retention, and the oldest one above maxEntries.
func (b *Book) evict(now time.Time) {
	oldest := ""
	for name, e := range b.byName {
		if now.Sub(e.lastSeen) > retention {
			b.remove(name, e)
			continue
		}
		if oldest == "" || e.lastSeen.Before(b.byName[oldest].lastSeen) {
			oldest = name
		}
	}
	if len(b.byName) > maxEntries {
		b.remove(oldest, b.byName[oldest])
	}
}

func (b *Book) remove(name string, e *entry) {
	if b.holders[e.address] == name {
		delete(b.holders, e.address)
	}
	delete(b.byName, name)
}
