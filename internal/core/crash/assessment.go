package crash

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// BlockAfterIncidents is the number of incidents at which a request is blocked. With
	// a lower number, a request would be blocked if it happened to run on two instances
	// that crashed for another reason.
	BlockAfterIncidents = 3
	// RetryBelowIncidents is the number of incidents at which a suspected request is no
	// longer retried. Two incidents may be a coincidence, which does not justify blocking
	// the request, but a retry could crash a third instance.
	RetryBelowIncidents = 2
	// IncidentWindow is the period within which crashes count as one incident. Crashes
	// that close together are assumed to have a common cause, such as a power failure in a
	// rack. A request that crashes its instances is assumed to run longer than that before
	// each crash, but still briefly enough to be among the MaxFingerprints requests that
	// the instance started last.
	IncidentWindow = 10 * time.Millisecond
	// ClearanceWait is the minimum time between the report of a request's latest crash
	// and refusing or aborting the request. If any host has seen the request complete, its
	// clearance nearly always arrives within that time.
	ClearanceWait = 250 * time.Millisecond
)

const (
	// otherSoftwareBlockDuration is how long after its latest crash a request is blocked
	// from software that it has not crashed. It is the shortest block, since another
	// version may handle the request.
	otherSoftwareBlockDuration = time.Minute
	// initialBlockDuration is how long after its latest crash a request is blocked from
	// software that it has crashed. Each incident beyond BlockAfterIncidents doubles the
	// duration, up to maxBlockDuration.
	initialBlockDuration = 5 * time.Minute
	maxBlockDuration     = 40 * time.Minute
)

// Assessment states whether a request is suspected of crashing its instances, and whether
// it is blocked. The zero value is the assessment of a request that is not suspected.
type Assessment struct {
	// Crashes is the number of crashes that the request is suspected of. For a request
	// that is not blocked, it excludes crashes that are attributed to blocked requests.
	// Incidents is the number of incidents that these crashes form, see IncidentWindow.
	Crashes, Incidents int
	// LastReceived is when this host learned of the latest of these crashes.
	LastReceived time.Time
	// BlockedUntil is when the block from software that the request has crashed ends, and
	// OtherSoftwareUntil when the block from other software ends. Both are zero if the
	// request is not blocked.
	BlockedUntil, OtherSoftwareUntil time.Time
	// CrashedSoftware is the software that the request has crashed.
	CrashedSoftware []Software
}

// Blocked reports whether the request must not reach instances of software s.
func (a *Assessment) Blocked(now time.Time, s Software) bool {
	if slices.Contains(a.CrashedSoftware, s) {
		return now.Before(a.BlockedUntil)
	}
	return now.Before(a.OtherSoftwareUntil)
}

// ClearanceTimeLeft returns how much longer a request waits to be cleared before it is
// refused or aborted. It is zero or negative if there is no need to wait.
func (a *Assessment) ClearanceTimeLeft(now time.Time) time.Duration {
	if a.Incidents < RetryBelowIncidents {
		return 0
	}
	return a.LastReceived.Add(ClearanceWait).Sub(now)
}

// BlockedEverywhere reports whether the request must not reach any instance.
func (a *Assessment) BlockedEverywhere(now time.Time) bool { return now.Before(a.OtherSoftwareUntil) }

// Assessments holds the assessment of each suspected request. It is immutable once
// returned by Tracker.Assess.
type Assessments map[Fingerprint]Assessment

// Assess returns the assessment of each suspected request. It is a greedy set cover:
// among the requests suspected of at least BlockAfterIncidents incidents, Assess blocks
// the one suspected of the most crashes and attributes these crashes to it. They no longer
// count for the requests that ran concurrently. Assess then repeats this with the crashes
// that are left, until none of these requests is suspected of any. From the second
// request on, one crash that is not yet attributed is enough, since several crashing
// requests that are sent at the same time share most of their crashes. Requests that still
// have crashes at the end are suspected but not blocked.
func (t *Tracker) Assess(now time.Time) Assessments {
	t.prune(now)
	remaining := t.byFingerprint()
	eligible := maps.Clone(remaining)
	maps.DeleteFunc(eligible, func(_ Fingerprint, crashes []*entry) bool { return countIncidents(crashes) < BlockAfterIncidents })
	out := make(Assessments)
	for {
		next, found := mostCrashes(eligible, remaining)
		if !found {
			break
		}
		out[next] = blockedAssessment(eligible[next])
		removeAttributed(remaining, eligible[next])
	}
	for fp, crashes := range remaining {
		out[fp] = Assessment{Crashes: len(crashes), Incidents: countIncidents(crashes), LastReceived: lastReceived(crashes)}
	}
	return out
}

// byFingerprint returns, for each suspected request, the crashes that it is suspected of.
func (t *Tracker) byFingerprint() map[Fingerprint][]*entry {
	out := make(map[Fingerprint][]*entry)
	for _, e := range t.crashes {
		for _, fp := range e.Fingerprints {
			if t.isSuspected(e, fp) {
				out[fp] = append(out[fp], e)
			}
		}
	}
	return out
}

// mostCrashes returns the eligible request with the most remaining crashes, false if none
// has any. Of requests with equally many crashes, it returns the one with the smallest
// fingerprint, so that all hosts choose the same request.
func mostCrashes(eligible, remaining map[Fingerprint][]*entry) (best Fingerprint, found bool) {
	for fp := range eligible {
		crashes, ok := remaining[fp]
		if !ok {
			continue
		}
		if !found || len(crashes) > len(remaining[best]) || len(crashes) == len(remaining[best]) && fp < best {
			best, found = fp, true
		}
	}
	return best, found
}

// removeAttributed removes the crashes that were attributed to a blocked request from the
// remaining crashes of all requests.
func removeAttributed(remaining map[Fingerprint][]*entry, crashes []*entry) {
	attributed := make(map[string]bool, len(crashes))
	for _, e := range crashes {
		attributed[e.ID] = true
	}
	for fp, list := range remaining {
		rest := slices.DeleteFunc(slices.Clone(list), func(e *entry) bool { return attributed[e.ID] })
		if len(rest) == 0 {
			delete(remaining, fp)
		} else {
			remaining[fp] = rest
		}
	}
}

// blockedAssessment returns the assessment of a request that is blocked because of the
// given crashes.
func blockedAssessment(crashes []*entry) Assessment {
	a := Assessment{Crashes: len(crashes), Incidents: countIncidents(crashes), LastReceived: lastReceived(crashes)}
	a.OtherSoftwareUntil = a.LastReceived.Add(otherSoftwareBlockDuration)
	a.BlockedUntil = a.LastReceived.Add(blockDuration(a.Incidents))
	for _, e := range crashes {
		if !slices.Contains(a.CrashedSoftware, e.Software) {
			a.CrashedSoftware = append(a.CrashedSoftware, e.Software)
		}
	}
	slices.SortFunc(a.CrashedSoftware, func(x, y Software) int {
		return cmp.Or(cmp.Compare(x.Service, y.Service), cmp.Compare(x.Version, y.Version))
	})
	return a
}

// countIncidents returns the number of incidents that the crashes form. An
// incident comprises the crashes within IncidentWindow of its first crash.
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

// blockDuration returns how long a request is blocked from the software that it has
// crashed, given the number of incidents.
func blockDuration(incidents int) time.Duration {
	d := initialBlockDuration
	for range incidents - BlockAfterIncidents {
		d = min(2*d, maxBlockDuration)
	}
	return d
}
