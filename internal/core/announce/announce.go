// Package announce decides which announcements of instances are accepted. A delayed
// announcement must not bring back an instance that has left, override a newer
// announcement, or take the address from the instance that now runs there. The package
// performs no I/O.
package announce

import (
	"slices"
	"time"
)

const (
	// retention is how long an instance is remembered after its last accepted
	// announcement or its leave: longer than a network partition can delay an
	// announcement.
	retention = 2 * time.Minute
	// holderTimeout is the time without announcements from the holder of an address
	// after which an instance that the holder had replaced may take the address back:
	// more than two intervals of 1.5 s, the longest usual announcement interval. After
	// the same time without announcements of an instance, a start with an earlier start
	// time is accepted.
	holderTimeout = 4 * time.Second
	// maxFirstSequence is the highest sequence number at which an unknown start is
	// accepted as a new one although its start time is earlier. Sequence numbers begin
	// again with each start, and a delayed announcement of an older start usually has a
	// higher one.
	maxFirstSequence = 2
	// resumeTime is the time over which an earlier start must announce itself, without an
	// announcement of the one that replaced it, to be taken for the running one again.
	// Announcements that a partition has delayed usually arrive together.
	resumeTime = time.Second
	// maxPastStarts is the number of earlier starts remembered per instance.
	maxPastStarts = 8
	// maxEntries is the number of instances remembered. Above it, the instance whose last
	// accepted announcement or leave is the oldest is evicted.
	maxEntries = 1024
)

// state is the state of a known instance.
type state uint8

const (
	// present means that the instance holds its address.
	present state = iota
	// replaced means that another instance has announced the same address since.
	replaced
	// gone means that the instance has left.
	gone
)

// Stamp is the part of an announcement that orders the announcements of an instance.
type Stamp struct {
	// StartedMS is the start time of the instance, in Unix milliseconds by its own
	// clock, or 0 if unknown. It distinguishes successive starts under the same name.
	StartedMS int64
	// Sequence increases with each announcement of one start. It is 0 if the instance
	// does not number its announcements.
	Sequence uint64
}

// IsFirst reports whether the announcement is one of the first of its start. The very first
// may have been lost.
func (s Stamp) IsFirst() bool { return s.Sequence > 0 && s.Sequence <= maxFirstSequence }

// Departure states that an instance has left or is leaving.
type Departure struct {
	Instance string
	// Stamp orders the announcement of the departure. If Gone is not set, a newer announcement
	// of the same start may revoke the departure.
	Stamp
	// Gone reports that this start of the instance, and those before it, have left for good.
	Gone bool
	// At is the time of the departure.
	At time.Time
}

// Covers reports whether d makes the later departure other of the same instance needless, unless
// the instance has announced between them that it is ready again.
func (d Departure) Covers(other Departure) bool {
	switch {
	case d.StartedMS != other.StartedMS:
		return false
	case other.Gone && !d.Gone:
		// An instance that numbers its announcements has sent none that is ready after d.
		return d.Sequence > 0
	default:
		return true
	}
}

// Merge returns the departure that makes outdated what d or other makes outdated. Of two starts,
// it is that of the later one.
func (d Departure) Merge(other Departure) Departure {
	switch {
	case d.StartedMS > other.StartedMS:
		return d
	case d.StartedMS < other.StartedMS:
		return other
	}
	d.Sequence, d.Gone = max(d.Sequence, other.Sequence), d.Gone || other.Gone
	if other.At.After(d.At) {
		d.At = other.At
	}
	return d
}

// pastStart is an earlier start of an instance.
type pastStart struct {
	// latest is the newest Stamp.
	latest Stamp
	// resumedAt is the time of the first announcement since the last one of the current start,
	// zero if there is none.
	resumedAt time.Time
}

// entry is what is known about one instance.
type entry struct {
	address string
	// latest is the newest accepted Stamp.
	latest     Stamp
	pastStarts []pastStart
	lastSeen   time.Time
	state      state
}

// Tracker tracks the instances of one host. It is not safe for concurrent use.
type Tracker struct {
	byName map[string]*entry
	// holders maps addresses to the names of the present instances.
	holders map[string]string
}

// NewTracker returns an empty Tracker.
func NewTracker() *Tracker {
	return &Tracker{byName: make(map[string]*entry), holders: make(map[string]string)}
}

// Outcome is the effect of an announcement.
type Outcome struct {
	// Accepted reports whether the announcement is accepted. An announcement is refused
	// if a newer one is known, if the instance has left, or if another instance now holds
	// the address.
	Accepted bool
	// Restarted reports whether it is the first announcement of a new start of the
	// instance, so that the state of the previous start is lost.
	Restarted bool
	// Replaces is the instance that held the address before, empty if there is none.
	Replaces string
	// Contested reports that the announcement is refused because another start has replaced
	// this one, although that one was begun earlier by its clock: either may be running.
	Contested bool
	// Unnumbered reports that the announcement is refused because it has no sequence number
	// although the instance numbers its announcements: it is from another writer.
	Unnumbered bool
}

// Apply processes one announcement.
func (t *Tracker) Apply(now time.Time, name, address string, stamp Stamp) Outcome {
	t.evict(now)
	e, known := t.byName[name]
	restarted := known && e.isNewStart(now, stamp)
	resumed, contested := false, false
	if known && !restarted && e.state != gone {
		resumed, contested = e.observePastStart(now, stamp)
	}
	if known && !restarted && !resumed && (e.state == gone || e.isOutdated(stamp)) {
		return Outcome{Unnumbered: e.lacksNumber(stamp), Contested: contested}
	}
	holder := t.holders[address]
	if holder == name {
		holder = ""
	}
	if known && !restarted && e.state == replaced && holder != "" && now.Sub(t.byName[holder].lastSeen) < holderTimeout {
		e.latest.Sequence = max(e.latest.Sequence, stamp.Sequence)
		return Outcome{}
	}
	if !known {
		e = &entry{}
		t.byName[name] = e
	}
	if holder != "" {
		t.byName[holder].state = replaced
	}
	if known && e.address != address && t.holders[e.address] == name {
		delete(t.holders, e.address)
	}
	if restarted {
		e.beginStart(stamp.StartedMS)
	}
	e.latest = Stamp{StartedMS: stamp.StartedMS, Sequence: max(e.latest.Sequence, stamp.Sequence)}
	for i := range e.pastStarts {
		e.pastStarts[i].resumedAt = time.Time{}
	}
	e.address, e.lastSeen, e.state = address, now, present
	t.holders[address] = name
	return Outcome{Accepted: true, Restarted: restarted, Replaces: holder}
}

// IsCurrentStart reports whether an announcement with the given start time is of the start of a
// present instance that has announced itself within holderTimeout.
func (t *Tracker) IsCurrentStart(now time.Time, name string, startedMS int64) bool {
	e, known := t.byName[name]
	return known && e.state == present && e.latest.StartedMS == startedMS && now.Sub(e.lastSeen) < holderTimeout
}

// isNewStart reports whether stamp is the first announcement received from another, newer
// start. The clock may have been set back between two starts, so an earlier start time
// alone does not mean an older start.
func (e *entry) isNewStart(now time.Time, stamp Stamp) bool {
	switch {
	case stamp.StartedMS == 0 || stamp.StartedMS == e.latest.StartedMS || e.pastIndex(stamp.StartedMS) >= 0:
		return false
	case stamp.StartedMS > e.latest.StartedMS:
		return true
	default:
		return stamp.IsFirst() || now.Sub(e.lastSeen) > holderTimeout
	}
}

// isOutdated reports whether stamp, which is not from a new start, is from an earlier start
// or not newer than the latest announcement.
func (e *entry) isOutdated(stamp Stamp) bool {
	return stamp.StartedMS != e.latest.StartedMS || e.lacksNumber(stamp) || stamp.Sequence > 0 && stamp.Sequence <= e.latest.Sequence
}

// lacksNumber reports whether stamp has no sequence number although the current start numbers its
// announcements. An instance numbers all of them or none.
func (e *entry) lacksNumber(stamp Stamp) bool {
	return stamp.Sequence == 0 && e.latest.Sequence > 0
}

// pastIndex returns the index of an earlier start, -1 if it is not one.
func (e *entry) pastIndex(startedMS int64) int {
	return slices.IndexFunc(e.pastStarts, func(p pastStart) bool { return p.latest.StartedMS == startedMS })
}

// contests reports whether an earlier start began after the current one by their clocks. The
// current one was accepted because the clock may have been set back, or because its delayed first
// announcement looked like that.
func (e *entry) contests(startedMS int64) bool {
	return startedMS > e.latest.StartedMS && e.pastIndex(startedMS) >= 0
}

// observePastStart records a newer announcement of an earlier start that contests the current one.
// If it has announced itself for resumeTime, and the current one has not meanwhile, it becomes the
// current one again.
func (e *entry) observePastStart(now time.Time, stamp Stamp) (resumed, contested bool) {
	if !e.contests(stamp.StartedMS) {
		return false, false
	}
	i := e.pastIndex(stamp.StartedMS)
	p := &e.pastStarts[i]
	if stamp.Sequence <= p.latest.Sequence {
		return false, false
	}
	p.latest.Sequence = stamp.Sequence
	if p.resumedAt.IsZero() {
		p.resumedAt = now
	}
	if now.Sub(p.resumedAt) < resumeTime {
		return false, true
	}
	e.pastStarts = append(slices.Delete(e.pastStarts, i, i+1), pastStart{latest: e.latest})
	e.latest = stamp
	return true, false
}

// beginStart adds the current start to the past ones and begins a new one.
func (e *entry) beginStart(startedMS int64) {
	if e.latest.StartedMS != 0 {
		e.pastStarts = append(e.pastStarts, pastStart{latest: e.latest})
	}
	if len(e.pastStarts) > maxPastStarts {
		e.pastStarts = e.pastStarts[1:]
	}
	e.latest = Stamp{StartedMS: startedMS}
}

// Contests reports whether an earlier start of the instance may be the one that is running.
func (t *Tracker) Contests(name string, startedMS int64) bool {
	e, known := t.byName[name]
	return known && e.state == present && e.contests(startedMS)
}

// Leave records that an instance has left. Announcements of that start are no longer
// accepted. startedMS identifies the start, or is 0 if unknown. Leave reports whether the
// instance is gone: if an earlier start leaves, the running one is not affected.
func (t *Tracker) Leave(now time.Time, name string, startedMS int64) bool {
	e, known := t.byName[name]
	if !known {
		e = &entry{}
		t.byName[name] = e
	}
	switch {
	case !known && startedMS == 0:
		// All starts before this time are considered gone.
		e.latest.StartedMS = now.UnixMilli()
	case !known:
		e.latest.StartedMS = startedMS
	case startedMS == 0 || startedMS == e.latest.StartedMS:
	case e.isNewStart(now, Stamp{StartedMS: startedMS}):
		e.beginStart(startedMS)
	default:
		return false
	}
	if t.holders[e.address] == name {
		delete(t.holders, e.address)
	}
	e.state, e.lastSeen = gone, now
	return true
}

// Restore applies a departure that an earlier process of this host has acknowledged. It reports
// whether the instance is known only by announcements that the departure makes outdated, and is
// not present any more.
func (t *Tracker) Restore(now time.Time, d Departure) (outdated bool) {
	e, known := t.byName[d.Instance]
	if known && (e.state == gone || e.latest.StartedMS > d.StartedMS) {
		return false
	}
	if known && !d.Gone && (e.latest.StartedMS != d.StartedMS || e.latest.Sequence > d.Sequence) {
		return false
	}
	if !known {
		e = &entry{}
		t.byName[d.Instance] = e
	}
	if t.holders[e.address] == d.Instance {
		delete(t.holders, e.address)
	}
	outdated = known && e.state == present
	e.latest = Stamp{StartedMS: d.StartedMS, Sequence: max(e.latest.Sequence, d.Sequence)}
	e.lastSeen, e.state = now, replaced
	if d.Gone {
		e.state = gone
	}
	return outdated
}

// Latest returns the newest accepted Stamp of an instance, the zero Stamp if it is unknown.
func (t *Tracker) Latest(name string) Stamp {
	if e, known := t.byName[name]; known {
		return e.latest
	}
	return Stamp{}
}

// MarkMisdirected records that another instance responds at the address of the named one.
// The address has no holder until an instance announces it.
func (t *Tracker) MarkMisdirected(name string) {
	if e, known := t.byName[name]; known && t.holders[e.address] == name {
		delete(t.holders, e.address)
		e.state = replaced
	}
}

// evict removes the entries older than retention, and the oldest one above maxEntries.
func (t *Tracker) evict(now time.Time) {
	oldest := ""
	for name, e := range t.byName {
		if now.Sub(e.lastSeen) > retention {
			t.remove(name, e)
			continue
		}
		if oldest == "" || e.lastSeen.Before(t.byName[oldest].lastSeen) {
			oldest = name
		}
	}
	if len(t.byName) > maxEntries {
		t.remove(oldest, t.byName[oldest])
	}
}

func (t *Tracker) remove(name string, e *entry) {
	if t.holders[e.address] == name {
		delete(t.holders, e.address)
	}
	delete(t.byName, name)
}
