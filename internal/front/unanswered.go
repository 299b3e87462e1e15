package front

import "time"

// A host that is frozen, cut off or overloaded does not reply to load queries. Its instances
// are otherwise judged by the load and the health that their guards reported before, and all
// fronts would go on choosing them until each had lost a request there.

const (
	// longUnanswered is the time without a reply from which a host counts as probably
	// unreachable. It exceeds the round trip between any two hosts several times, and hosts
	// with a small share of a core are seldom paused for longer.
	longUnanswered = 150 * time.Millisecond
	// shortUnansweredLoss and longUnansweredLoss are the probabilities that a request to a
	// host is lost that has not replied within loadQueryTimeout or within longUnanswered. The
	// first also happens to a busy host or by the loss of one datagram, so it must not
	// outweigh the knowledge that another instance fails most requests.
	shortUnansweredLoss, longUnansweredLoss = 0.3, 0.8
)

// recordQueries records that load queries are sent to the targets' guards.
func (st *serviceState) recordQueries(now time.Time, targets []*target) {
	st.mu.Lock()
	defer st.mu.Unlock()
	for _, t := range targets {
		if t.observed.unansweredSince.IsZero() {
			t.observed.unansweredSince = now
		}
	}
}

// unansweredLoss is the probability that a request to the target is lost because its host
// does not reply to load queries. Hosts of other data centres cannot reply within
// loadQueryTimeout. The caller must hold the service's lock.
func (t *target) unansweredLoss(now time.Time, dc string) float64 {
	if t.observed.unansweredSince.IsZero() {
		return 0
	}
	switch elapsed := now.Sub(t.observed.unansweredSince); {
	case elapsed >= longUnanswered:
		return longUnansweredLoss
	case elapsed >= loadQueryTimeout && t.Host.DC == dc:
		return shortUnansweredLoss
	default:
		return 0
	}
}
