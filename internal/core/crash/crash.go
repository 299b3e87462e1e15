// Package crash detects requests that terminate the instances that run them.
//
// When an instance terminates, every request it was running becomes a suspect.
// A request that crashes every instance is involved in one termination after
// another, while the requests that ran concurrently with it complete elsewhere.
// A Book records the terminations in the whole fleet and decides which requests
// must not reach another instance, and for how long. Hosts that know the same
// terminations reach the same decisions, whatever the order in which they
// received them. The package does no I/O.
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

// Crash is the termination of an instance.
type Crash struct {
	// ID identifies the start of the instance within the fleet.
	ID       string
	Software Software
	// Host is the host that detected the termination.
	Host string
	// DetectedAt is the time of detection by the clock of Host, in whole milliseconds.
	DetectedAt time.Time
	// Fingerprints are the fingerprints of the requests that the instance was running,
	// most recently started first, without duplicates.
	Fingerprints []Fingerprint
}

const (
	// MaxFingerprints limits the suspects of one termination. A request that crashes
	// its instance does so soon after it starts.
	MaxFingerprints = 32
	// maxEnds limits the recorded terminations; the oldest are evicted first.
	maxEnds = 256
	// RetentionPeriod is how long a termination is recorded. It exceeds the longest time
	// for which a request is stopped.
	RetentionPeriod = 2 * time.Hour
)

// Tracker records the terminations in the fleet. It is not safe for concurrent use.
type Tracker struct {
	ends map[string]*entry
	// cleared holds the requests cleared of a termination, with the time they
	// were cleared. The termination itself may not be known yet.
	cleared map[clearance]time.Time
}

// entry is a termination with the time at which this host learned of it.
type entry struct {
	Crash
	receivedAt time.Time
}

// clearance identifies a request that did not cause a termination.
type clearance struct {
	end   string
	print Fingerprint
}

// NewTracker creates an empty Book.
func NewTracker() *Tracker {
	return &Tracker{ends: make(map[string]*entry), cleared: make(map[clearance]time.Time)}
}

// Add records a termination, or further requests that the instance was running,
// and reports whether that added any request. A stored record of a stopped
// request lists terminations with that request alone, so a termination may
// arrive in parts.
func (b *Tracker) Add(now time.Time, e Crash) bool {
	if len(e.Fingerprints) == 0 {
		return false
	}
	e.DetectedAt = e.DetectedAt.Truncate(time.Millisecond)
	known, ok := b.ends[e.ID]
	if !ok {
		known = &entry{Crash: e, receivedAt: now}
		known.Fingerprints = nil
		b.ends[e.ID] = known
		b.prune(now)
	}
	before := len(known.Fingerprints)
	known.Fingerprints = distinct(slices.Concat(known.Fingerprints, e.Fingerprints))
	known.Fingerprints = known.Fingerprints[:min(len(known.Fingerprints), MaxFingerprints)]
	return len(known.Fingerprints) > before
}

// distinct removes duplicate fingerprints, keeping the first. A termination counts
// once against a request that the instance was running several times.
func distinct(prints []Fingerprint) []Fingerprint {
	seen := make(map[Fingerprint]bool, len(prints))
	return slices.DeleteFunc(prints, func(p Fingerprint) bool {
		duplicate := seen[p]
		seen[p] = true
		return duplicate
	})
}

// Clear records that a request did not cause a termination, because it has
// completed on the same software. It reports whether this was new.
func (b *Tracker) Clear(now time.Time, end string, p Fingerprint) bool {
	c := clearance{end, p}
	if _, known := b.cleared[c]; known {
		return false
	}
	b.cleared[c] = now
	b.prune(now)
	return true
}

// CrashesOf returns the terminations that a request is suspected of, sorted by ID.
func (b *Tracker) CrashesOf(p Fingerprint) []Crash {
	var out []Crash
	for _, e := range b.ends {
		if b.suspects(e, p) {
			out = append(out, e.Crash)
		}
	}
	slices.SortFunc(out, func(x, y Crash) int { return cmp.Compare(x.ID, y.ID) })
	return out
}

// suspects reports whether request p is suspected of termination e.
func (b *Tracker) suspects(e *entry, p Fingerprint) bool {
	if !slices.Contains(e.Fingerprints, p) {
		return false
	}
	_, cleared := b.cleared[clearance{e.ID, p}]
	return !cleared
}

// prune removes terminations and clearances older than Keep, and the oldest
// terminations in excess of maxEnds.
func (b *Tracker) prune(now time.Time) {
	for id, e := range b.ends {
		if now.Sub(e.receivedAt) > RetentionPeriod {
			delete(b.ends, id)
		}
	}
	for c, at := range b.cleared {
		if now.Sub(at) > RetentionPeriod {
			delete(b.cleared, c)
		}
	}
	for len(b.ends) > maxEnds {
		delete(b.ends, b.oldest())
	}
	for len(b.cleared) > maxEnds*MaxFingerprints {
		clear(b.cleared)
	}
}

func (b *Tracker) oldest() string {
	var first *entry
	for _, e := range b.ends {
		if first == nil || e.receivedAt.Before(first.receivedAt) || e.receivedAt.Equal(first.receivedAt) && e.ID < first.ID {
			first = e
		}
	}
	return first.ID
}
