package quota

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// account is a host's view of a team's usage.
type account struct {
	node     *Node
	team     string
	hash     uint64
	limit    Limit
	lastUsed time.Time

	// used is the level known to this host. assumed is a lower bound on the level that
	// applies after a start, until a host that has been running longer reports the real
	// one.
	used, assumed bucket
	// levelWithRetries is the level including one request for each refusal. The retry
	// delay is derived from it, so that refused callers do not all retry at once.
	levelWithRetries bucket
	// standalone counts what this host admitted against its own share. successorUsed
	// counts what it granted in place of an unresponsive home, against the share of this
	// host and of those that reported to it within requestingPeriod.
	standalone, successorUsed bucket
	// lastAsSuccessor is when this host was last queried in place of the home.
	lastAsSuccessor time.Time

	// homeAndSuccessor holds the team's home and its successor, as of hostsVersion.
	homeAndSuccessor [2]string
	hostsVersion     uint64

	// count is the number of requests since the account was created that this host reports
	// to the home: those that it admitted without a query, and those that other hosts
	// reported to it, or that it granted them on a query, in place of the home. Requests
	// that did not run and second grants of a query are subtracted. confirmed is the part
	// of count that the home, or another host in its place, has confirmed; confirmedBy is
	// that host.
	count, confirmed int64
	confirmedBy      string
	// seq numbers the usage reports sent; confirmedSeq is the last one confirmed.
	seq, confirmedSeq uint32
	// unconfirmedSince is when the first report since the last confirmation or timeout
	// was sent, zero for none. timeouts is the number of timeouts since the last
	// confirmation.
	unconfirmedSince time.Time
	timeouts         int

	nearLimitUntil, refusedUntil, standaloneUntil time.Time
	refusalRetryAfter                             time.Duration
	// admitted and refused count this host's requests.
	admitted, refused uint64

	// reporters holds the usage counts of the hosts that report to this one. lastNotice
	// is when all hosts were last notified that the team is near its limit.
	reporters  map[string]*reporter
	lastNotice time.Time
}

// maxRememberedGrants is the number of grants remembered per account and querying host,
// so that a retried query is answered without being counted twice.
const maxRememberedGrants = 8

// reporter is the usage that one host has reported.
type reporter struct {
	incarnation uint64
	// seq, count and confirmed are those of the host's last report.
	seq              uint32
	count, confirmed int64
	reportedAt       time.Time
	// grantedQueries holds the IDs of the host's latest granted queries, each at its ID
	// modulo maxRememberedGrants.
	grantedQueries [maxRememberedGrants]uint32
}

// account returns the account of a team, creating it if needed.
func (n *Node) account(now time.Time, team string, limit Limit) *account {
	a, ok := n.accounts[team]
	if !ok {
		a = &account{node: n, team: team, hash: xxhash.Sum64String(team), limit: limit}
		a.assumed.set(n.started, a.capacity()-startupExtraFraction*n.cfg.ExtraBurst)
		n.accounts[team] = a
	}
	if a.limit != limit {
		a.setLimit(now, limit)
	}
	a.lastUsed = now
	return a
}

// setLimit applies a new limit. The level, known or assumed, is kept as the known level;
// usage beyond the new capacity is dropped.
func (a *account) setLimit(now time.Time, limit Limit) {
	before := a.level(now)
	a.limit = limit
	a.used.set(now, min(before, a.capacity()))
	a.assumed.set(now, 0)
	a.levelWithRetries.set(now, 0)
	a.refusedUntil = time.Time{}
}

// rate returns the team's drain rate, and capacity the level up to which requests are
// admitted, for the live hosts. The level can exceed the capacity, see add.
func (a *account) rate() float64 { return a.node.withExtra(a.limit.Rate) * a.node.liveShare() }
func (a *account) capacity() float64 {
	return max((a.limit.Burst+a.node.cfg.ExtraBurst)*a.node.liveShare(), 1)
}

// withExtra adds the configured extra rate to a rate.
func (n *Node) withExtra(rate float64) float64 {
	return rate*(1+n.cfg.ExtraRateFraction) + n.cfg.ExtraRate
}

// limitsForShare returns the rate and capacity of hosts that hold the given share of the
// limit.
func (a *account) limitsForShare(share float64) (rate, capacity float64) {
	return a.node.withExtra(a.limit.Rate) * share, max((a.limit.Burst+a.node.cfg.ExtraBurst)*share, 1)
}

// ownShare is this host's share of each limit.
func (n *Node) ownShare() float64 { return 1 / float64(n.knownHosts) }

// level is the team's usage, the larger of the known and the assumed.
func (a *account) level(now time.Time) float64 {
	return max(a.used.levelAt(now, a.rate()), a.assumed.levelAt(now, a.rate()))
}

// isKnown reports whether the level no longer depends on an assumption.
func (a *account) isKnown(now time.Time) bool { return a.assumed.levelAt(now, a.rate()) == 0 }

// add counts n admitted requests, or subtracts requests that did not run if n is negative.
// Hosts may admit requests beyond the limit before they learn of those that other hosts
// admitted; the level then exceeds the capacity, and requests are refused until it has
// drained. The level is bounded, so a large excess is made up for only in part.
func (a *account) add(now time.Time, n float64) {
	a.used.set(now, min(a.used.levelAt(now, a.rate())+n, a.capacity()+a.node.cfg.ExtraBurst))
	if !a.isKnown(now) {
		a.assumed.add(now, a.rate(), n)
	}
}

// mergeLevel raises the level to one reported by another host. If that host knows the real
// level, the assumption made at the start no longer applies.
func (a *account) mergeLevel(now time.Time, level float64, known bool) {
	a.used.raise(now, a.rate(), min(level, a.capacity()+a.node.cfg.ExtraBurst))
	if known {
		a.assumed.set(now, 0)
	}
}

// isNearLimit reports whether the level has reached the fraction of the capacity at which a
// team starts to count as near its limit. Tick ends that state, at a lower level.
func (a *account) isNearLimit(now time.Time) bool { return a.level(now) >= nearLimitEnter*a.capacity() }

// admit admits a request if the level allows it, and otherwise returns when to retry.
func (a *account) admit(now time.Time) (bool, time.Duration) {
	level := a.level(now)
	if level+1 <= a.capacity() {
		a.add(now, 1)
		return true, 0
	}
	levelAfterRetry := max(level, a.levelWithRetries.levelAt(now, a.rate())) + 1
	a.levelWithRetries.set(now, levelAfterRetry)
	return false, drainTime(levelAfterRetry-a.capacity(), a.rate())
}

// admitStandalone admits a request within this host's own share of the limit. It does not
// count the request; recordAdmitted does.
func (a *account) admitStandalone(now time.Time) (bool, time.Duration) {
	rate, capacity := a.limitsForShare(a.node.ownShare())
	level := a.standalone.levelAt(now, rate)
	if level+1 <= capacity {
		return true, 0
	}
	return false, drainTime(level+1-capacity, rate)
}

// admitAsSuccessor admits a request in place of a home that does not answer this host's
// reports. It grants at most the fraction successorFraction of the share of this host and
// of those that reported to it within requestingPeriod, because other hosts may still
// reach the home, which grants the whole rate until it learns of the partition.
func (a *account) admitAsSuccessor(now time.Time) (bool, time.Duration) {
	requesting := 1
	for _, r := range a.reporters {
		if now.Sub(r.reportedAt) < requestingPeriod {
			requesting++
		}
	}
	share := successorFraction * min(float64(requesting)/float64(a.node.knownHosts), 1)
	rate, capacity := a.limitsForShare(share)
	if now.Sub(a.lastAsSuccessor) > requestingPeriod {
		// The bucket of the share starts filled to the same fraction as the team's.
		a.successorUsed.raise(now, rate, a.level(now)/a.capacity()*capacity)
	}
	a.lastAsSuccessor = now
	level := a.successorUsed.levelAt(now, rate)
	if level+1 > capacity {
		return false, drainTime(level+1-capacity, rate)
	}
	ok, retryAfter := a.admit(now)
	if ok {
		a.successorUsed.add(now, rate, 1)
	}
	return ok, retryAfter
}

// enterStandalone makes this host enforce its own share for standalonePeriod. The bucket of
// the share starts filled to the same fraction as the team's.
func (a *account) enterStandalone(now time.Time) {
	if !now.Before(a.standaloneUntil) {
		rate, capacity := a.limitsForShare(a.node.ownShare())
		a.standalone.raise(now, rate, a.level(now)/a.capacity()*capacity)
	}
	a.standaloneUntil = now.Add(standalonePeriod)
}

// recordAdmitted counts a request of this host's own callers that was admitted, also
// against the host's own share.
func (a *account) recordAdmitted(now time.Time) {
	a.admitted++
	rate, _ := a.limitsForShare(a.node.ownShare())
	a.standalone.add(now, rate, 1)
}

// drainTime returns how long n requests take to drain, bounded by maxRetryAfter.
func drainTime(n, perSecond float64) time.Duration {
	d := time.Duration(n / max(perSecond, 1e-9) * float64(time.Second))
	return min(max(d, time.Millisecond), maxRetryAfter)
}

// homeAndSuccessor returns a team's home and its successor, "" for none. It uses rendezvous
// hashing.
func (n *Node) homeAndSuccessor(a *account) [2]string {
	if a.hostsVersion == n.hostsVersion && a.homeAndSuccessor[0] != "" {
		return a.homeAndSuccessor
	}
	var best [2]uint64
	a.homeAndSuccessor, a.hostsVersion = [2]string{}, n.hostsVersion
	for i, h := range n.hosts {
		score := mixHash(a.hash ^ n.hashes[i])
		switch {
		case a.homeAndSuccessor[0] == "" || score > best[0]:
			a.homeAndSuccessor[1], best[1] = a.homeAndSuccessor[0], best[0]
			a.homeAndSuccessor[0], best[0] = h.Name, score
		case a.homeAndSuccessor[1] == "" || score > best[1]:
			a.homeAndSuccessor[1], best[1] = h.Name, score
		}
	}
	return a.homeAndSuccessor
}

// mixHash is the finalizer of MurmurHash3.
func mixHash(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// isHome reports whether this host is the team's home.
func (n *Node) isHome(a *account) bool { return n.homeAndSuccessor(a)[0] == n.cfg.Host }

// actsForHome reports whether this host is the successor of a home that does not answer
// its reports.
func (n *Node) actsForHome(a *account) bool {
	return n.homeAndSuccessor(a)[1] == n.cfg.Host && a.timeouts > 0
}
