package quota

import (
	"maps"
	"slices"
	"time"

	"github.com/radishhoist/radishhoist/internal/msg"
)

// query is a request for a decision, sent to the team's home.
type query struct {
	account  *account
	sentAt   time.Time
	attempts int
}

// resolvedQuery is a query that has been decided by another host, or by this one if
// decidedBy is empty.
type resolvedQuery struct {
	decidedBy string
	at        time.Time
}

// Admit decides on a request of a team, or queries the team's home.
func (n *Node) Admit(now time.Time, team string, limit Limit) Result {
	a := n.account(now, team, limit)
	switch {
	case n.isHome(a):
		ok, retryAfter := n.admitAsHome(now, a)
		n.checkNearLimit(now, a)
		return a.recordDecision(now, ok, retryAfter)
	case now.Before(a.refusedUntil):
		return a.recordDecision(now, false, a.refusalRetryAfter)
	case now.Before(a.standaloneUntil):
		ok, retryAfter := a.admitStandalone(now)
		if ok {
			n.admitUnconfirmed(now, a)
		}
		return a.recordDecision(now, ok, retryAfter)
	case n.mustQuery(now, a):
		return Result{Decision: Pending, QueryID: n.sendQuery(now, a)}
	default:
		n.admitUnconfirmed(now, a)
		return a.recordDecision(now, true, 0)
	}
}

// admitAsHome decides on a request of this host's own callers if it is the team's home. For
// startupPeriod after this host's start the other hosts may still consider it dead and use
// another home, so its own share applies as well.
func (n *Node) admitAsHome(now time.Time, a *account) (bool, time.Duration) {
	if n.inStartup(now) && len(n.hosts) > 1 {
		if ok, retryAfter := a.admitStandalone(now); !ok {
			return false, retryAfter
		}
	}
	return a.admit(now)
}

// inStartup reports whether this host started less than startupPeriod ago.
func (n *Node) inStartup(now time.Time) bool { return now.Sub(n.started) < startupPeriod }

// recordDecision counts a decision on a request of this host and returns it as a Result.
func (a *account) recordDecision(now time.Time, ok bool, retryAfter time.Duration) Result {
	if !ok {
		a.refused++
		return Result{Decision: Refused, RetryAfter: retryAfter}
	}
	a.recordAdmitted(now)
	return Result{Decision: Admitted}
}

// mustQuery reports whether the home must be queried before a request is admitted: this
// host has just started and may have missed a near-limit notice, the team is near its
// limit, or too many requests that this host admitted are not yet confirmed by the home.
func (n *Node) mustQuery(now time.Time, a *account) bool {
	unconfirmed := float64(a.count - a.confirmed)
	// All hosts together may have unconfirmed requests up to the fraction nearLimitEnter of
	// the capacity, but each of them may have at least one.
	maxUnconfirmed := max(1, nearLimitEnter*a.capacity()/float64(max(len(n.hosts), 1)))
	if a.level(now) < nearLimitExit*a.capacity() {
		maxUnconfirmed = max(maxUnconfirmed, minUnconfirmedAllowance)
	}
	return n.inStartup(now) || now.Before(a.nearLimitUntil) || unconfirmed+1 > maxUnconfirmed || a.isNearLimit(now)
}

// admitUnconfirmed counts a request that is admitted without a query.
func (n *Node) admitUnconfirmed(now time.Time, a *account) {
	a.count++
	a.add(now, 1)
	n.unconfirmed[a.team] = a
}

// Release subtracts an admitted request that did not run from its team's usage.
func (n *Node) Release(now time.Time, team string) {
	a, ok := n.accounts[team]
	if !ok {
		return
	}
	a.add(now, -1)
	if n.isHome(a) {
		return
	}
	a.count--
	n.unconfirmed[team] = a
}

func (n *Node) sendQuery(now time.Time, a *account) uint32 {
	n.lastQueryID++
	n.queries[n.lastQueryID] = &query{account: a, sentAt: now, attempts: 1}
	n.sendUsage(now, a, n.homeAndSuccessor(a)[0], n.lastQueryID)
	return n.lastQueryID
}

// sendUsage reports the usage to the home or its successor, and queries it for a request
// if queryID is not 0. The reported level excludes the unconfirmed requests, because the
// receiver adds those from the counts.
func (n *Node) sendUsage(now time.Time, a *account, to string, queryID uint32) {
	a.seq++
	p := n.packet(to)
	p.Usages = append(p.Usages, msg.TeamUsage{
		Team: a.team, Seq: a.seq, Count: a.count, Confirmed: a.confirmed,
		Level: float32(max(a.used.levelAt(now, a.rate())-float64(a.count-a.confirmed), 0)), Known: a.isKnown(now),
		ConfirmedByReceiver: a.confirmedBy == to, SenderReceivesReports: n.receivesReports(a), QueryID: queryID,
	})
	if a.count != a.confirmed && a.unconfirmedSince.IsZero() {
		a.unconfirmedSince = now
	}
}

// receivesReports reports whether other hosts have reported the team's usage to this one
// and it is not the team's home.
func (n *Node) receivesReports(a *account) bool { return len(a.reporters) > 0 && !n.isHome(a) }

// reportUsage reports usage that is not confirmed yet. After a timeout it tries the
// successor, then again the home, and so on. From the second timeout on, each one puts the
// account into standalone mode.
func (n *Node) reportUsage(now time.Time, a *account) {
	if n.isHome(a) {
		// This host has become the home, and its level already includes the usage.
		a.confirmed = a.count
	}
	if a.count == a.confirmed {
		delete(n.unconfirmed, a.team)
		a.unconfirmedSince, a.timeouts = time.Time{}, 0
		return
	}
	if !a.unconfirmedSince.IsZero() {
		if now.Sub(a.unconfirmedSince) < usageTimeout {
			return
		}
		a.timeouts++
		a.unconfirmedSince = time.Time{}
		if a.timeouts >= len(a.homeAndSuccessor) {
			a.enterStandalone(now)
		}
	}
	to := n.homeAndSuccessor(a)[a.timeouts%len(a.homeAndSuccessor)]
	if to == "" || to == n.cfg.Host {
		to = a.homeAndSuccessor[0]
	}
	n.sendUsage(now, a, to, 0)
}

// retryQueries retries queries that timed out, once at the home and then once at its
// successor. If neither answers, this host decides on its own.
func (n *Node) retryQueries(now time.Time) {
	for _, id := range slices.Sorted(maps.Keys(n.queries)) {
		q := n.queries[id]
		if now.Sub(q.sentAt) < queryTimeout {
			continue
		}
		a := q.account
		to := n.homeAndSuccessor(a)[min(q.attempts/2, 1)]
		if q.attempts >= maxQueryAttempts || to == "" || to == n.cfg.Host {
			n.decideLocally(now, id, a)
			continue
		}
		q.attempts++
		q.sentAt = now
		n.sendUsage(now, a, to, id)
	}
}

// decideLocally decides on a query that no other host decides: none answered, there is no
// successor, or this host has become the home or the successor. The home decides by its
// account, any other host by its own share.
func (n *Node) decideLocally(now time.Time, id uint32, a *account) {
	delete(n.queries, id)
	n.resolved[id] = resolvedQuery{at: now}
	var ok bool
	var retryAfter time.Duration
	if n.isHome(a) {
		ok, retryAfter = n.admitAsHome(now, a)
	} else {
		a.enterStandalone(now)
		if ok, retryAfter = a.admitStandalone(now); ok {
			n.admitUnconfirmed(now, a)
		}
	}
	n.resolve(now, id, a, ok, retryAfter)
}

// resolve counts the decision on a query and returns it to the caller as an Answer.
func (n *Node) resolve(now time.Time, id uint32, a *account, ok bool, retryAfter time.Duration) {
	if ok {
		a.recordAdmitted(now)
	} else {
		a.refused++
	}
	n.answers = append(n.answers, Answer{QueryID: id, Granted: ok, RetryAfter: retryAfter})
}

// handleLevel processes the answer to a usage report, by the home or by another host in
// its place.
func (n *Node) handleLevel(now time.Time, from string, l *msg.TeamLevel) {
	a, ok := n.accounts[l.Team]
	if !ok {
		return
	}
	a.standaloneUntil = time.Time{}
	if l.Seq > a.confirmedSeq {
		a.confirmed, a.confirmedBy, a.confirmedSeq = l.Count, from, l.Seq
		a.unconfirmedSince, a.timeouts = time.Time{}, 0
	}
	level := float64(l.Level) + float64(a.count-a.confirmed)
	if l.Known {
		a.assumed.set(now, 0)
		a.used.set(now, level)
	} else {
		a.used.raise(now, a.rate(), level)
	}
	a.extendNearLimit(now, l.NearLimitMS)
	if l.QueryID == 0 {
		return
	}
	if _, pending := n.queries[l.QueryID]; !pending {
		// The query has already been resolved. A second grant, by a late home or its
		// successor, is subtracted from count, so that the level falls with the next
		// report.
		if resolved, known := n.resolved[l.QueryID]; known && l.Granted && resolved.decidedBy != from {
			delete(n.resolved, l.QueryID)
			a.count--
			n.unconfirmed[a.team] = a
		}
		return
	}
	delete(n.queries, l.QueryID)
	n.resolved[l.QueryID] = resolvedQuery{decidedBy: from, at: now}
	retryAfter := time.Duration(l.RetryAfterMS) * time.Millisecond
	if !l.Granted {
		a.refusalRetryAfter, a.refusedUntil = retryAfter, now.Add(min(retryAfter, maxRefusalCache))
	}
	n.resolve(now, l.QueryID, a, l.Granted, retryAfter)
}

// extendNearLimit makes this host query the home for each request for the next ms
// milliseconds.
func (a *account) extendNearLimit(now time.Time, ms uint32) {
	if until := now.Add(time.Duration(ms) * time.Millisecond); ms > 0 && until.After(a.nearLimitUntil) {
		a.nearLimitUntil = until
	}
}
