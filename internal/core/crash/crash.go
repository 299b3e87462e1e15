// Package crash detects requests that crash the instances that run them.
//
// When an instance crashes, every request it was running becomes a suspect.
// A request that crashes every instance is involved in one crash after another, while
// the requests that ran concurrently with it complete elsewhere. A Tracker records the
// crashes in the whole fleet and decides which requests must not reach another instance,
// and for how long. Hosts that know the same crashes block the same requests, whatever
// the order in which they received them. Each host counts the duration of a block from
// when it learned of the request's latest crash, so the blocks end at different times, by
// the difference in the delays of that report. The package does no I/O.
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
	// MaxFingerprints limits the suspects of one crash. The most recently started
	// requests are kept: a request that crashes its instance does so soon after it
	// starts, but not within IncidentWindow.
	MaxFingerprints = 32
	// maxCrashes limits the recorded crashes; the oldest are evicted first.
	maxCrashes = 256
	// RetentionPeriod is how long a crash is recorded. It exceeds the longest time
	// for which a request is blocked.
	RetentionPeriod = 2 * time.Hour
)

// Tracker records the crashes in the fleet. It is not safe for concurrent use.
type Tracker struct {
	crashes map[string]*entry
	// cleared holds the requests cleared of a crash, with the time they
	// were cleared. The crash itself may not be known yet.
	cleared map[clearance]time.Time
}

// entry is a crash with the time at which this host learned of it.
type entry struct {
	Crash
	receivedAt time.Time
}

// clearance identifies a request that did not cause a crash.
type clearance struct {
	crash       string
	fingerprint Fingerprint
}

// NewTracker creates an empty Tracker.
func NewTracker() *Tracker {
	return &Tracker{crashes: make(map[string]*entry), cleared: make(map[clearance]time.Time)}
}

// Add records a crash, or further requests that the instance was running, and reports
// whether that added any request. The stored record of a blocked request lists its
// crashes with that request alone, so a crash may arrive in parts.
func (t *Tracker) Add(now time.Time, e Crash) bool {
	if len(e.Fingerprints) == 0 {
		return false
	}
	e.DetectedAt = e.DetectedAt.Truncate(time.Millisecond)
	known, ok := t.crashes[e.ID]
	if !ok {
		known = &entry{Crash: e, receivedAt: now}
		known.Fingerprints = nil
		t.crashes[e.ID] = known
		t.prune(now)
	}
	before := len(known.Fingerprints)
	known.Fingerprints = distinct(slices.Concat(known.Fingerprints, e.Fingerprints))
	known.Fingerprints = known.Fingerprints[:min(len(known.Fingerprints), MaxFingerprints)]
	return len(known.Fingerprints) > before
}

// distinct removes duplicate fingerprints, keeping the first. A crash counts
// once against a request that the instance was running several times.
func distinct(fingerprints []Fingerprint) []Fingerprint {
	seen := make(map[Fingerprint]bool, len(fingerprints))
	return slices.DeleteFunc(fingerprints, func(p Fingerprint) bool {
		duplicate := seen[p]
		seen[p] = true
		return duplicate
	})
}

// Clear records that a request did not cause a crash, because it has
// completed on the same software. It reports whether this was new.
func (t *Tracker) Clear(now time.Time, crash string, p Fingerprint) bool {
	c := clearance{crash, p}
	if _, known := t.cleared[c]; known {
		return false
	}
	t.cleared[c] = now
	t.prune(now)
	return true
}

// CrashesOf returns the crashes that a request is suspected of, sorted by ID.
func (t *Tracker) CrashesOf(p Fingerprint) []Crash {
	var out []Crash
	for _, e := range t.crashes {
		if t.suspects(e, p) {
			out = append(out, e.Crash)
		}
	}
	slices.SortFunc(out, func(x, y Crash) int { return cmp.Compare(x.ID, y.ID) })
	return out
}

// suspects reports whether request p is suspected of crash e.
func (t *Tracker) suspects(e *entry, p Fingerprint) bool {
	if !slices.Contains(e.Fingerprints, p) {
		return false
	}
	_, cleared := t.cleared[clearance{e.ID, p}]
	return !cleared
}

// prune removes crashes and clearances older than RetentionPeriod, and the oldest
// crashes in excess of maxCrashes.
func (t *Tracker) prune(now time.Time) {
	for id, e := range t.crashes {
		if now.Sub(e.receivedAt) > RetentionPeriod {
			delete(t.crashes, id)
		}
	}
	for c, at := range t.cleared {
		if now.Sub(at) > RetentionPeriod {
			delete(t.cleared, c)
		}
	}
	for len(t.crashes) > maxCrashes {
		delete(t.crashes, t.oldest())
	}
	for len(t.cleared) > maxCrashes*MaxFingerprints {
		clear(t.cleared)
	}
}

func (t *Tracker) oldest() string {
	var first *entry
	for _, e := range t.crashes {
		if first == nil || e.receivedAt.Before(first.receivedAt) || e.receivedAt.Equal(first.receivedAt) && e.ID < first.ID {
			first = e
		}
	}
	return first.ID
}
