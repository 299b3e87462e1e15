package crash

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// BlockAfterIncidents is the number of incidents after which a request is stopped. A
	// lower number would stop a request that happened to run on two instances
	// that terminated for another reason.
	BlockAfterIncidents = 3
	// RetryBelowIncidents is the number of incidents from which a suspected request is
	// no longer retried: the second may be a coincidence, but a third instance
	// is not put at risk.
	RetryBelowIncidents = 2
	// IncidentWindow is the period within which terminations are counted as one
	// incident. They then have a common cause, such as a power failure in a
	// rack: a request that crashes its instances runs for longer than that
	// before each termination.
	IncidentWindow = 10 * time.Millisecond
	// ClearanceWait is how long after its last termination a request waits before it
	// is refused or abandoned. By then a host that has seen the request complete
	// has nearly always cleared it.
	ClearanceWait = 250 * time.Millisecond
)

const (
	// otherSoftwareStop is how long after its last termination a stopped request
	// is withheld from software that it has not terminated.
	otherSoftwareStop = time.Minute
	// initialStop is how long a stopped request is withheld from software that
	// it has terminated. Each further incident doubles it, up to maxStop.
	initialStop = 5 * time.Minute
	maxStop     = 40 * time.Minute
)

// Assessment is the assessment of one request. The zero value is that of a request
// that is not suspected.
type Assessment struct {
	// Crashes is the number of terminations that the request was involved in and
	// that no other request explains. Incidents is the number of incidents they
	// form, see IncidentWindow.
	Crashes, Incidents int
	// LastReceived is when this host learned of the latest of these terminations.
	LastReceived time.Time
	// BlockedUntil is when the request may reach software that it has terminated again,
	// and OtherSoftwareUntil when it may reach other software. Both are zero if
	// it is not stopped.
	BlockedUntil, OtherSoftwareUntil time.Time
	// CrashedSoftware is the software that the request has terminated.
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
// refused or abandoned. It is zero or negative if there is no need to wait.
func (v *Assessment) ClearanceTimeLeft(now time.Time) time.Duration {
	if v.Incidents < RetryBelowIncidents {
		return 0
	}
	return v.LastReceived.Add(ClearanceWait).Sub(now)
}

// BlockedEverywhere reports whether the request must not reach any instance.
func (v *Assessment) BlockedEverywhere(now time.Time) bool { return now.Before(v.OtherSoftwareUntil) }

// Assessments holds the assessment of each suspected request. It is immutable once
// returned by Book.Assessments.
type Assessments map[Fingerprint]Assessment

// Assess assesses each suspected request. Among the requests involved in at
// least StopAfter incidents, it stops the one that explains the most
// terminations, which are then no longer held against the requests that ran
// concurrently. It continues with the one that explains the most of the remaining
// terminations, and so on. A single unexplained termination is sufficient here,
// since several such requests at the same time run concurrently with each other.
// A request with terminations that remain is suspected but not stopped.
func (b *Tracker) Assess(now time.Time) Assessments {
	b.prune(now)
	remaining := b.byPrint()
	eligible := maps.Clone(remaining)
	maps.DeleteFunc(eligible, func(_ Fingerprint, ends []*entry) bool { return countIncidents(ends) < BlockAfterIncidents })
	out := make(Assessments)
	for {
		worst, found := mostTerminations(eligible, remaining)
		if !found {
			break
		}
		out[worst] = stopVerdict(eligible[worst])
		removeExplained(remaining, eligible[worst])
	}
	for p, ends := range remaining {
		out[p] = Assessment{Crashes: len(ends), Incidents: countIncidents(ends), LastReceived: lastReceived(ends)}
	}
	return out
}

// byPrint returns the terminations that each request is suspected of.
func (b *Tracker) byPrint() map[Fingerprint][]*entry {
	out := make(map[Fingerprint][]*entry)
	for _, e := range b.ends {
		for _, p := range e.Fingerprints {
			if b.suspects(e, p) {
				out[p] = append(out[p], e)
			}
		}
	}
	return out
}

// mostTerminations returns the request among the eligible ones that explains the
// most of the remaining terminations. Ties are resolved by the smallest
// fingerprint, so that all hosts choose the same request.
func mostTerminations(eligible, remaining map[Fingerprint][]*entry) (worst Fingerprint, found bool) {
	for p := range eligible {
		ends, unexplained := remaining[p]
		if !unexplained {
			continue
		}
		if !found || len(ends) > len(remaining[worst]) || len(ends) == len(remaining[worst]) && p < worst {
			worst, found = p, true
		}
	}
	return worst, found
}

// removeExplained removes the given terminations from all suspected requests.
func removeExplained(remaining map[Fingerprint][]*entry, ends []*entry) {
	explained := make(map[string]bool, len(ends))
	for _, e := range ends {
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

// stopVerdict returns the verdict that stops a request for the given
// terminations.
func stopVerdict(ends []*entry) Assessment {
	v := Assessment{Crashes: len(ends), Incidents: countIncidents(ends), LastReceived: lastReceived(ends)}
	v.OtherSoftwareUntil = v.LastReceived.Add(otherSoftwareStop)
	v.BlockedUntil = v.LastReceived.Add(stopDuration(v.Incidents))
	for _, e := range ends {
		if !slices.Contains(v.CrashedSoftware, e.Software) {
			v.CrashedSoftware = append(v.CrashedSoftware, e.Software)
		}
	}
	slices.SortFunc(v.CrashedSoftware, func(x, y Software) int {
		return cmp.Or(cmp.Compare(x.Service, y.Service), cmp.Compare(x.Version, y.Version))
	})
	return v
}

// countIncidents returns the number of incidents that the terminations form. An
// incident spans IncidentWindow from its first termination.
func countIncidents(ends []*entry) int {
	times := make([]time.Time, 0, len(ends))
	for _, e := range ends {
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

// lastReceived returns when this host learned of the latest of the terminations.
func lastReceived(ends []*entry) time.Time {
	return slices.MaxFunc(ends, func(x, y *entry) int { return x.receivedAt.Compare(y.receivedAt) }).receivedAt
}

// stopDuration returns how long a request is withheld from software that it has
// terminated in a number of incidents.
func stopDuration(incidents int) time.Duration {
	p := initialStop
	for range incidents - BlockAfterIncidents {
		p = min(2*p, maxStop)
	}
	return p
}
