package crash

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// BlockAfterIncidents is the number of incidents after which a request is blocked. A
	// lower number would block a request that happened to run on two instances that
	// crashed for another reason.
	BlockAfterIncidents = 3
	// RetryBelowIncidents is the number of incidents from which a suspected request is
	// no longer retried: the second may be a coincidence, but a third instance
	// is not put at risk.
	RetryBelowIncidents = 2
	// IncidentWindow is the period within which crashes are counted as one incident.
	// They then have a common cause, such as a power failure in a rack: a request that
	// crashes its instances runs for longer than that before each crash, though still so
	// briefly that it is among the last that the instance started (MaxFingerprints).
	IncidentWindow = 10 * time.Millisecond
	// ClearanceWait is how long after its last crash a request waits before it is
	// refused or aborted. By then a host that has seen the request complete has nearly
	// always cleared it.
	ClearanceWait = 250 * time.Millisecond
)

const (
	// otherSoftwareBlock is how long after its last crash a request is blocked from
	// software that it has not crashed.
	otherSoftwareBlock = time.Minute
	// initialBlock is how long a request is blocked from software that it has crashed.
	// Each further incident doubles it, up to maxBlock.
	initialBlock = 5 * time.Minute
	maxBlock     = 40 * time.Minute
)

// Assessment is the assessment of one request. The zero value is that of a request
// that is not suspected.
type Assessment struct {
	// Crashes is the number of crashes that the request was involved in and that no
	// other request explains, or the number of all its crashes if the request is
	// blocked. Incidents is the number of incidents they form, see IncidentWindow.
	Crashes, Incidents int
	// LastReceived is when this host learned of the latest of these crashes.
	LastReceived time.Time
	// BlockedUntil is when the request may again reach software that it has crashed, and
	// OtherSoftwareUntil when it may reach other software. Both are zero if it is not
	// blocked.
	BlockedUntil, OtherSoftwareUntil time.Time
	// CrashedSoftware is the software that the request has crashed.
	CrashedSoftware []Software
}

// Blocked reports whether the request must not reach instances of software s.
func (v *Assessment) Blocked(now time.Time, s Software) bool {
	if slices.Contains(v.CrashedSoftware, s) {
		return now.Before(v.BlockedUntil)
	}
	return now.Before(v.OtherSoftwareUntil)
}

// ClearanceTimeLeft returns how much longer a request waits to be cleared before it is
// refused or aborted. It is zero or negative if there is no need to wait.
func (v *Assessment) ClearanceTimeLeft(now time.Time) time.Duration {
	if v.Incidents < RetryBelowIncidents {
		return 0
	}
	return v.LastReceived.Add(ClearanceWait).Sub(now)
}

// BlockedEverywhere reports whether the request must not reach any instance.
func (v *Assessment) BlockedEverywhere(now time.Time) bool { return now.Before(v.OtherSoftwareUntil) }

// Assessments holds the assessment of each suspected request. It is immutable once
// returned by Tracker.Assess.
type Assessments map[Fingerprint]Assessment

// Assess assesses each suspected request. Among the requests involved in at least
// BlockAfterIncidents incidents, it blocks the one that explains the most crashes, which
// are then no longer attributed to the requests that ran concurrently. It continues with
// the one that explains the most of the remaining crashes, and so on. A single
// unexplained crash is sufficient here, since several such requests at the same time run
// concurrently with each other. A request with crashes that remain is suspected but not
// blocked.
func (t *Tracker) Assess(now time.Time) Assessments {
	t.prune(now)
	remaining := t.byFingerprint()
	eligible := maps.Clone(remaining)
	maps.DeleteFunc(eligible, func(_ Fingerprint, crashes []*entry) bool { return countIncidents(crashes) < BlockAfterIncidents })
	out := make(Assessments)
	for {
		worst, found := mostCrashes(eligible, remaining)
		if !found {
			break
		}
		out[worst] = newBlock(eligible[worst])
		removeExplained(remaining, eligible[worst])
	}
	for p, crashes := range remaining {
		out[p] = Assessment{Crashes: len(crashes), Incidents: countIncidents(crashes), LastReceived: lastReceived(crashes)}
	}
	return out
}

// byFingerprint returns the crashes that each request is suspected of.
func (t *Tracker) byFingerprint() map[Fingerprint][]*entry {
	out := make(map[Fingerprint][]*entry)
	for _, e := range t.crashes {
		for _, p := range e.Fingerprints {
			if t.suspects(e, p) {
				out[p] = append(out[p], e)
			}
		}
	}
	return out
}

// mostCrashes returns the request among the eligible ones that explains the
// most of the remaining crashes. Ties are resolved by the smallest
// fingerprint, so that all hosts choose the same request.
func mostCrashes(eligible, remaining map[Fingerprint][]*entry) (worst Fingerprint, found bool) {
	for p := range eligible {
		crashes, unexplained := remaining[p]
		if !unexplained {
			continue
		}
		if !found || len(crashes) > len(remaining[worst]) || len(crashes) == len(remaining[worst]) && p < worst {
			worst, found = p, true
		}
	}
	return worst, found
}

// removeExplained removes the given crashes from all suspected requests.
func removeExplained(remaining map[Fingerprint][]*entry, crashes []*entry) {
	explained := make(map[string]bool, len(crashes))
	for _, e := range crashes {
		explained[e.ID] = true
	}
	for p, list := range remaining {
		rest := slices.DeleteFunc(slices.Clone(list), func(e *entry) bool { return explained[e.ID] })
		if len(rest) == 0 {
			delete(remaining, p)
		} else {
			remaining[p] = rest
		}
	}
}

// newBlock returns the assessment that blocks a request because of the given crashes.
func newBlock(crashes []*entry) Assessment {
	v := Assessment{Crashes: len(crashes), Incidents: countIncidents(crashes), LastReceived: lastReceived(crashes)}
	v.OtherSoftwareUntil = v.LastReceived.Add(otherSoftwareBlock)
	v.BlockedUntil = v.LastReceived.Add(blockDuration(v.Incidents))
	for _, e := range crashes {
		if !slices.Contains(v.CrashedSoftware, e.Software) {
			v.CrashedSoftware = append(v.CrashedSoftware, e.Software)
		}
	}
	slices.SortFunc(v.CrashedSoftware, func(x, y Software) int {
		return cmp.Or(cmp.Compare(x.Service, y.Service), cmp.Compare(x.Version, y.Version))
	})
	return v
}

// countIncidents returns the number of incidents that the crashes form. An
// incident spans IncidentWindow from its first crash.
func countIncidents(crashes []*entry) int {
	times := make([]time.Time, 0, len(crashes))
	for _, e := range crashes {
		times = append(times, e.DetectedAt)
	}
	slices.SortFunc(times, time.Time.Compare)
	n := 0
	var first time.Time
	for _, at := range times {
		if n == 0 || at.Sub(first) > IncidentWindow {
			n++
			first = at
		}
	}
	return n
}

// lastReceived returns when this host learned of the latest of the crashes.
func lastReceived(crashes []*entry) time.Time {
	return slices.MaxFunc(crashes, func(x, y *entry) int { return x.receivedAt.Compare(y.receivedAt) }).receivedAt
}

// blockDuration returns how long a request is blocked from software that it has crashed
// in a number of incidents.
func blockDuration(incidents int) time.Duration {
	p := initialBlock
	for range incidents - BlockAfterIncidents {
		p = min(2*p, maxBlock)
	}
	return p
}
