// Package crash detects requests that crash the instances that run them.
//
// When an instance crashes, every request that it was running is suspected of having
// caused the crash. A request that crashes every instance accumulates crashes, while the
// requests that ran concurrently with it complete elsewhere. A Tracker records the
// crashes in the whole fleet, and from them computes which requests are blocked, meaning
// that they must not reach another instance, and for how long. A request is cleared of a
// crash once it has completed on the same software.
//
// Hosts that know the same crashes block the same requests, regardless of the order in
// which they received them. Each host counts the duration of a block from when it learned
// of the request's latest crash. Blocks of the same request therefore end at slightly
// different times on different hosts, according to how long the report took to reach
// them. The package does no I/O.
package crash

import (
	"cmp"
	"slices"
	"time"
)

// Software identifies what an instance runs. A request that crashes one version
// may be harmless to another.
type Software struct {
	Service, Version string
}

// Crash is an unannounced termination of an instance.
type Crash struct {
	// ID identifies the start of the instance within the fleet.
	ID       string
	Software Software
	// Host is the host that detected the crash.
	Host string
	// DetectedAt is the time of detection by the clock of Host, in whole milliseconds.
	DetectedAt time.Time
	// Fingerprints are the fingerprints of the requests that the instance was running,
	// most recently started first, without duplicates.
	Fingerprints []Fingerprint
}

const (
	// MaxFingerprints limits the requests recorded for one crash. The most recently
	// started ones are kept, since a request that crashes its instance does so soon
	// after it starts, though not within IncidentWindow.
	MaxFingerprints = 32
	// maxCrashes limits the number of recorded crashes. The oldest are evicted first.
	maxCrashes = 256
	// RetentionPeriod is how long a crash is recorded. It exceeds the longest time
	// for which a request is blocked.
	RetentionPeriod = 2 * time.Hour
)

// Tracker records the crashes in the fleet. It is not safe for concurrent use.
type Tracker struct {
	crashes map[string]*entry
	// clearances maps each clearance to the time at which this host recorded it. The crash
	// itself may not be known yet.
	clearances map[clearance]time.Time
}

// entry is a crash with the time at which this host learned of it.
type entry struct {
	Crash
	receivedAt time.Time
}

// clearance identifies a crash and a request that did not cause it.
type clearance struct {
	crashID     string
	fingerprint Fingerprint
}

// NewTracker creates an empty Tracker.
func NewTracker() *Tracker {
	return &Tracker{crashes: make(map[string]*entry), clearances: make(map[clearance]time.Time)}
}

// Add records a crash, or adds requests to a crash that is already known. It reports
// whether any request was added. A crash may arrive in parts, since the stored record of
// a blocked request lists that request alone for each of its crashes.
func (t *Tracker) Add(now time.Time, c Crash) bool {
	if len(c.Fingerprints) == 0 {
		return false
	}
	c.DetectedAt = c.DetectedAt.Truncate(time.Millisecond)
	known, ok := t.crashes[c.ID]
	if !ok {
		known = &entry{Crash: c, receivedAt: now}
		known.Fingerprints = nil
		t.crashes[c.ID] = known
		t.prune(now)
	}
	before := len(known.Fingerprints)
	known.Fingerprints = distinct(slices.Concat(known.Fingerprints, c.Fingerprints))
	known.Fingerprints = known.Fingerprints[:min(len(known.Fingerprints), MaxFingerprints)]
	return len(known.Fingerprints) > before
}

// distinct removes duplicate fingerprints, keeping the first of each. A crash counts
// only once for a request that the instance was running several times.
func distinct(fingerprints []Fingerprint) []Fingerprint {
	seen := make(map[Fingerprint]bool, len(fingerprints))
	return slices.DeleteFunc(fingerprints, func(fp Fingerprint) bool {
		duplicate := seen[fp]
		seen[fp] = true
		return duplicate
	})
}

// AddClearance records that a request did not cause a crash, because it has completed on
// the same software. It reports whether the clearance is new.
func (t *Tracker) AddClearance(now time.Time, crashID string, fp Fingerprint) bool {
	c := clearance{crashID, fp}
	if _, known := t.clearances[c]; known {
		return false
	}
	t.clearances[c] = now
	t.prune(now)
	return true
}

// CrashesOf returns the crashes that a request is suspected of, sorted by ID.
func (t *Tracker) CrashesOf(fp Fingerprint) []Crash {
	var out []Crash
	for _, e := range t.crashes {
		if t.isSuspected(e, fp) {
			out = append(out, e.Crash)
		}
	}
	slices.SortFunc(out, func(x, y Crash) int { return cmp.Compare(x.ID, y.ID) })
	return out
}

// isSuspected reports whether request fp is suspected of crash e: the instance was running
// it, and it has not been cleared.
func (t *Tracker) isSuspected(e *entry, fp Fingerprint) bool {
	if !slices.Contains(e.Fingerprints, fp) {
		return false
	}
	_, cleared := t.clearances[clearance{e.ID, fp}]
	return !cleared
}

// prune removes crashes and clearances older than RetentionPeriod. It also removes the
// oldest crashes in excess of maxCrashes, and all clearances if there are too many.
func (t *Tracker) prune(now time.Time) {
	for id, e := range t.crashes {
		if now.Sub(e.receivedAt) > RetentionPeriod {
			delete(t.crashes, id)
		}
	}
	for c, at := range t.clearances {
		if now.Sub(at) > RetentionPeriod {
			delete(t.clearances, c)
		}
	}
	for len(t.crashes) > maxCrashes {
		delete(t.crashes, t.oldest())
	}
	for len(t.clearances) > maxCrashes*MaxFingerprints {
		clear(t.clearances)
	}
}

// oldest returns the ID of the crash that was received first.
func (t *Tracker) oldest() string {
	var first *entry
	for _, e := range t.crashes {
		if first == nil || e.receivedAt.Before(first.receivedAt) || e.receivedAt.Equal(first.receivedAt) && e.ID < first.ID {
			first = e
		}
	}
	return first.ID
}
