// Package crash finds requests that end the instances that run them.
//
// When an instance ends, each request that it ran is suspected. A request that
// ends every instance stands out: it has part in one end after another, while
// those that ran beside it complete elsewhere. A Book keeps the ends of the
// whole fleet and says which requests must not reach another instance, and for
// how long. It is the same on all hosts that know the same ends, whatever the
// order in which they came. The package does no I/O.
package crash

import (
	"cmp"
	"slices"
	"time"
)

// Software is what an instance runs. A request that ends one may do no harm to
// another.
type Software struct {
	Service, Version string
}

// Crash is the end of one start of an instance.
type Crash struct {
	// ID names the start in the fleet.
	ID       string
	Software Software
	// Host is the host that noticed it.
	Host string
	// DetectedAt is when it was noticed, by the clock of that host, in whole milliseconds.
	DetectedAt time.Time
	// Fingerprints are the requests that it ran, those that had begun last first, each once.
	Fingerprints []Fingerprint
}

// The bounds of what is remembered.
const (
	// MaxFingerprints bounds the suspects of one end. A request that crashes its
	// instance does so soon after it began.
	MaxFingerprints = 32
	// maxEnds bounds the ends that are remembered; the oldest go first.
	maxEnds = 256
	// RetentionPeriod is how long an end is remembered, longer than any pause.
	RetentionPeriod = 2 * time.Hour
)

// Tracker holds the ends of the fleet. It is not safe for concurrent use.
type Tracker struct {
	ends map[string]*entry
	// cleared are the suspects that an end's requests have been cleared of, also
	// where the end is not known yet.
	cleared map[clearing]time.Time
}

// entry is one end, with when it was heard of on this host's clock.
type entry struct {
	Crash
	heard time.Time
}

// clearing says that a request had no part in an end.
type clearing struct {
	end   string
	print Fingerprint
}

// NewTracker makes an empty Book.
func NewTracker() *Tracker {
	return &Tracker{ends: make(map[string]*entry), cleared: make(map[clearing]time.Time)}
}

// Add takes an end, or more of what ran there, and reports whether it was news. What is
// kept of a stopped request names it alone.
func (b *Tracker) Add(now time.Time, e Crash) bool {
	if len(e.Fingerprints) == 0 {
		return false
	}
	e.DetectedAt = e.DetectedAt.Truncate(time.Millisecond)
	known, ok := b.ends[e.ID]
	if !ok {
		known = &entry{Crash: e, heard: now}
		known.Fingerprints = nil
		b.ends[e.ID] = known
		b.forget(now)
	}
	before := len(known.Fingerprints)
	known.Fingerprints = distinct(slices.Concat(known.Fingerprints, e.Fingerprints))
	known.Fingerprints = known.Fingerprints[:min(len(known.Fingerprints), MaxFingerprints)]
	return len(known.Fingerprints) > before
}

// distinct leaves the first of equal prints: an instance that runs a request several times
// ends once under it.
func distinct(prints []Fingerprint) []Fingerprint {
	seen := make(map[Fingerprint]bool, len(prints))
	return slices.DeleteFunc(prints, func(p Fingerprint) bool {
		again := seen[p]
		seen[p] = true
		return again
	})
}

// Clear takes the word that a request had no part in an end, because it has
// completed at the same software, and reports whether it was news.
func (b *Tracker) Clear(now time.Time, end string, p Fingerprint) bool {
	c := clearing{end, p}
	if _, known := b.cleared[c]; known {
		return false
	}
	b.cleared[c] = now
	b.forget(now)
	return true
}

// CrashesOf lists the ends that a request is suspected of, in order of their names.
func (b *Tracker) CrashesOf(p Fingerprint) []Crash {
	var out []Crash
	for _, e := range b.ends {
		if b.blames(e, p) {
			out = append(out, e.Crash)
		}
	}
	slices.SortFunc(out, func(x, y Crash) int { return cmp.Compare(x.ID, y.ID) })
	return out
}

func (b *Tracker) blames(e *entry, p Fingerprint) bool {
	if !slices.Contains(e.Fingerprints, p) {
		return false
	}
	_, cleared := b.cleared[clearing{e.ID, p}]
	return !cleared
}

// forget drops what is older than Keep, and the oldest ends beyond the bound.
func (b *Tracker) forget(now time.Time) {
	for id, e := range b.ends {
		if now.Sub(e.heard) > RetentionPeriod {
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
		if first == nil || e.heard.Before(first.heard) || e.heard.Equal(first.heard) && e.ID < first.ID {
			first = e
		}
	}
	return first.ID
}
