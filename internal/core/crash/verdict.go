package crash

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// BlockAfterIncidents is at how many moments with ends a request is stopped. Fewer would stop
	// one that ran by chance on two instances that ended for another reason.
	BlockAfterIncidents = 3
	// RetryBelowIncidents is under how many such moments a suspected request is still offered
	// again: the second may be chance, a third instance is not risked for it.
	RetryBelowIncidents = 2
	// OneMoment is how far apart the ends of instances that are lost together are
	// noticed. They have one cause, such as a rack's loss of power, and count once: a
	// request that ends its instances runs for longer than that before each.
	OneMoment = 10 * time.Millisecond
	// ClearanceWait is how long after the last of its ends a request waits before it is
	// refused or given up: a host that has seen it complete says so by then nearly always.
	ClearanceWait = 250 * time.Millisecond
)

const (
	// newSoftwarePause is how long after its last end a stopped request may be
	// tried by instances whose software it has not ended.
	newSoftwarePause = time.Minute
	// firstPause is how long it is kept from the software that it has ended. Each
	// further moment with ends doubles it, up to maxPause.
	firstPause = 5 * time.Minute
	maxPause   = 40 * time.Minute
)

// Assessment is what is known of one request. The zero value is a request that
// nobody suspects.
type Assessment struct {
	// Crashes is in how many ends it had part that no other request explains, and Incidents
	// at how many moments these were.
	Crashes, Incidents int
	// LastReceived is when this host heard of the latest of them.
	LastReceived time.Time
	// BlockedUntil is when it may reach the software that it has ended again, and
	// UntilOther when it may reach any other; zero where it is not stopped.
	BlockedUntil, UntilOther time.Time
	// CrashedSoftware is the software that it has ended.
	CrashedSoftware []Software
}

// Blocked says that the request must not reach an instance of some software.
func (v *Assessment) Blocked(now time.Time, s Software) bool {
	if slices.Contains(v.CrashedSoftware, s) {
		return now.Before(v.BlockedUntil)
	}
	return now.Before(v.UntilOther)
}

// ClearanceTimeLeft is how much longer a request waits for news that may clear it before it is
// refused or given up: zero or less where there is nothing to wait for.
func (v *Assessment) ClearanceTimeLeft(now time.Time) time.Duration {
	if v.Incidents < RetryBelowIncidents {
		return 0
	}
	return v.LastReceived.Add(ClearanceWait).Sub(now)
}

// BlockedEverywhere says that the request must not reach any instance.
func (v *Assessment) BlockedEverywhere(now time.Time) bool { return now.Before(v.UntilOther) }

// Assessments are the requests that are suspected. They do not change once given.
type Assessments map[Fingerprint]Assessment

// Assess gives what is known of each suspected request. Of those with part in ends at
// StopAfter moments the one that explains the most is stopped, which clears all that
// ran beside it; then the one that explains most of the rest, and so on. One end
// that nothing else explains is enough: where several such requests come at once,
// each runs beside others. What is left suspects without stopping.
func (b *Tracker) Assess(now time.Time) Assessments {
	b.forget(now)
	left := b.byPrint()
	grave := maps.Clone(left)
	maps.DeleteFunc(grave, func(_ Fingerprint, ends []*entry) bool { return moments(ends) < BlockAfterIncidents })
	out := make(Assessments)
	for {
		worst, found := most(grave, left)
		if !found {
			break
		}
		out[worst] = stopped(grave[worst])
		explain(left, grave[worst])
	}
	for p, ends := range left {
		out[p] = Assessment{Crashes: len(ends), Incidents: moments(ends), LastReceived: lastHeard(ends)}
	}
	return out
}

// byPrint lists the ends that each request is suspected of.
func (b *Tracker) byPrint() map[Fingerprint][]*entry {
	out := make(map[Fingerprint][]*entry)
	for _, e := range b.ends {
		for _, p := range e.Fingerprints {
			if b.blames(e, p) {
				out[p] = append(out[p], e)
			}
		}
	}
	return out
}

// most finds the request that explains the most ends of those left, among the grave ones;
// of equals the one whose print is least, which is the same on every host.
func most(grave, left map[Fingerprint][]*entry) (worst Fingerprint, found bool) {
	for p := range grave {
		ends, unexplained := left[p]
		if !unexplained {
			continue
		}
		if !found || len(ends) > len(left[worst]) || len(ends) == len(left[worst]) && p < worst {
			worst, found = p, true
		}
	}
	return worst, found
}

// explain takes ends off every request that was suspected of them.
func explain(left map[Fingerprint][]*entry, ends []*entry) {
	explained := make(map[string]bool, len(ends))
	for _, e := range ends {
		explained[e.ID] = true
	}
	for p, list := range left {
		rest := slices.DeleteFunc(slices.Clone(list), func(e *entry) bool { return explained[e.ID] })
		if len(rest) == 0 {
			delete(left, p)
		} else {
			left[p] = rest
		}
	}
}

// stopped is the verdict on a request that has part in some ends.
func stopped(ends []*entry) Assessment {
	v := Assessment{Crashes: len(ends), Incidents: moments(ends), LastReceived: lastHeard(ends)}
	v.UntilOther = v.LastReceived.Add(newSoftwarePause)
	v.BlockedUntil = v.LastReceived.Add(pause(v.Incidents))
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

// moments counts the moments at which some ends were noticed.
func moments(ends []*entry) int {
	times := make([]time.Time, 0, len(ends))
	for _, e := range ends {
		times = append(times, e.DetectedAt)
	}
	slices.SortFunc(times, time.Time.Compare)
	n := 0
	var first time.Time
	for _, at := range times {
		if n == 0 || at.Sub(first) > OneMoment {
			n++
			first = at
		}
	}
	return n
}

// lastHeard is when the latest of some ends was heard of.
func lastHeard(ends []*entry) time.Time {
	return slices.MaxFunc(ends, func(x, y *entry) int { return x.heard.Compare(y.heard) }).heard
}

// pause is how long a request is kept from what it has ended at some moments.
func pause(moments int) time.Duration {
	p := firstPause
	for range moments - BlockAfterIncidents {
		p = min(2*p, maxPause)
	}
	return p
}
