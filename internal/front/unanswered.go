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

// recordMissingReplies marks the hosts that have not replied to the queries of a choice in
// time, if others have. If none has, this host may have been paused itself.
func (l *loadQueries) recordMissingReplies(q *loadQuery) {
	var missing []*target
	l.mu.Lock()
	for i, t := range q.targets {
		if !q.answered[i] {
			missing = append(missing, t)
		}
	}
	l.mu.Unlock()
	if len(missing) == len(q.targets) {
		return
	}
	q.state.mu.Lock()
	defer q.state.mu.Unlock()
	for _, t := range missing {
		t.observed.missedReply = !t.observed.unansweredSince.IsZero()
	}
}

// unansweredLoss is the probability that a request to the target is lost because its host
// does not reply to load queries. Hosts of other data centres cannot reply within
// loadQueryTimeout. The caller must hold the service's lock.
func (t *target) unansweredLoss(now time.Time, dc string) float64 {
	if t.observed.unansweredSince.IsZero() {
		return 0
	}
	switch {
	case now.Sub(t.observed.unansweredSince) >= longUnanswered:
		return longUnansweredLoss
	case t.observed.missedReply && t.Host.DC == dc:
		return shortUnansweredLoss
	default:
		return 0
	}
}
