// Package quota enforces one rate limit per team across all hosts, without a central
// server. It performs no I/O.
//
// Every team has a home, a host chosen by rendezvous hashing among the live hosts. The
// home's account of the team is authoritative; the accounts that other hosts keep of the
// team are their views of its usage, which may lag behind. The host second in rendezvous
// order is the successor, which is asked if the home does not answer. An account is a leaky
// bucket: admitted requests raise its level, which drains at the team's rate. While a team
// is far below its limit, a host admits its requests at once and reports them to the home
// at the next Tick, about every 50 ms. A report can carry a query, which asks whether one
// more request may be admitted. Until a report is confirmed or times out, the host sends
// further reports only if they carry a query. Reports carry a cumulative count, so lost,
// delayed and duplicated datagrams do no harm. A request is unconfirmed until the home, or
// another host in its place, has confirmed a report of it. When a team comes near its limit,
// the home notifies all hosts, which then query it for each request until the team is far
// from the limit again. Every message carries the level, so that a new home learns it from
// the first host that contacts it.
//
// A host that gets an answer from neither a team's home nor its successor admits requests
// of the team within its own share of the rate (standalone mode). A host that has just
// started assumes that the bucket of every team was full at its start, except for the
// fraction startupExtraFraction of Config.ExtraBurst, until another host reports the real
// level. Restarting the whole fleet therefore grants no new burst beyond that fraction.
package quota

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/radishhoist/radishhoist/internal/msg"
)

// Limit is a team's rate limit over all hosts.
type Limit struct {
	// Rate is in requests per second; Burst is the number of requests that may arrive at
	// once.
	Rate, Burst float64
}

// Config holds the parameters of a Node.
type Config struct {
	// Host is this host's name. Incarnation is its start time in Unix milliseconds.
	Host        string
	Incarnation uint64
	// ExtraBurst is the number of requests a team may use beyond its burst. ExtraRate
	// (requests per second) and ExtraRateFraction (a fraction of the rate) are added to
	// its rate. They are the part of the tolerated excess over the limit that is granted
	// on purpose; the rest of it covers requests that hosts admit before they learn of
	// those that other hosts admitted.
	ExtraBurst, ExtraRate, ExtraRateFraction float64
	// Limit returns a team's limit, or false if it has none.
	Limit func(team string) (Limit, bool)
}

const (
	// startupPeriod is how long a host queries for each request after its start, since
	// it may have missed a notice that a team is near its limit. It is also how long a
	// home limits its own callers to its own share after its start, how long peakShare is
	// kept, and how long after its last near-limit period a team still counts as near its
	// limit when hosts are lost.
	startupPeriod = 5 * time.Second
	// queryTimeout is how long to wait for an answer before a query is retried;
	// maxQueryAttempts is the number of attempts, of which the last goes to the successor.
	queryTimeout     = 60 * time.Millisecond
	maxQueryAttempts = 3
	// usageTimeout is how long to wait for the confirmation of a usage report. After it,
	// reports go to the successor if they went to the home, and the other way round.
	usageTimeout = 150 * time.Millisecond
	// standalonePeriod is how long a host enforces its own share after neither the
	// home nor its successor answered.
	standalonePeriod = 400 * time.Millisecond
	// nearLimitPeriod is how long a near-limit notice is valid; noticeInterval is how
	// often it is repeated.
	nearLimitPeriod = 2500 * time.Millisecond
	noticeInterval  = time.Second
	// nearLimitEnter and nearLimitExit are the fractions of the capacity at which a team
	// starts and stops counting as near its limit.
	nearLimitEnter, nearLimitExit = 0.5, 0.25
	// startupExtraFraction is the fraction of ExtraBurst that a host grants at its start,
	// when it knows no levels.
	startupExtraFraction = 0.5
	// successorFraction is the fraction of the requesting hosts' share that a successor
	// grants while the home does not answer its reports. The requesting hosts are the
	// successor itself and those that reported to it within requestingPeriod. A successor
	// whose own reports have not timed out, or a queried host that is neither home nor
	// successor, grants from the whole rate.
	successorFraction = 0.5
	// singleLossFraction is the fraction of peakShare, the recent maximum of the live
	// share, that must remain for a loss of hosts to be treated as that of single hosts,
	// which raises levels only by the lost part of the capacity. A larger loss raises them
	// to the capacity.
	singleLossFraction = 0.9
	// minUnconfirmedAllowance is the minimum of the limit on a host's unconfirmed requests
	// while the team is far from its limit, however many hosts there are.
	minUnconfirmedAllowance = 2
	// pauseThreshold is the time without a call of Step or Tick after which a host assumes
	// that others acted in its place. relearnPeriod is how long it then does not answer
	// the queries of other hosts; it still decides on requests of its own callers.
	pauseThreshold = 500 * time.Millisecond
	relearnPeriod  = 250 * time.Millisecond
	// requestingPeriod is how long a successor counts a host among the requesting hosts
	// after its last report, with or without a query.
	requestingPeriod = 2 * time.Second
	// maxRefusalCache bounds how long a host refuses further requests after a refusal by
	// the home, without a new query.
	maxRefusalCache = 50 * time.Millisecond
	// maxRetryAfter bounds the retry delay given to refused callers.
	maxRetryAfter = 5 * time.Second
	// accountIdleTimeout is how long an unused account is kept.
	accountIdleTimeout = time.Minute
	// sweepInterval is the time between two removals of idle accounts.
	sweepInterval = 5 * time.Second
)

// Decision is the outcome of Admit for one request.
type Decision uint8

const (
	// Admitted means that the request may run.
	Admitted Decision = iota
	// Refused means that the request may not run; Result.RetryAfter says when to retry.
	Refused
	// Pending means that the home was queried and an Answer follows.
	Pending
)

// Result is the result of Admit.
type Result struct {
	Decision Decision
	// RetryAfter is the time until a retry, if refused.
	RetryAfter time.Duration
	// QueryID identifies the Answer that follows, if pending.
	QueryID uint32
}

// Answer is the decision on a pending request.
type Answer struct {
	QueryID uint32
	Granted bool
	// RetryAfter is the time until a retry, if not granted.
	RetryAfter time.Duration
}

// Outbound is a datagram to send to a host.
type Outbound struct {
	To     string
	Packet *msg.TeamPacket
}

// Host is a live host.
type Host struct{ Name, DC string }

// Node is the state of one host. It is not safe for concurrent use.
type Node struct {
	cfg     Config
	started time.Time
	rng     *rand.Rand

	hosts  []Host
	hashes []uint64
	dc     string
	// knownHosts includes the hosts considered dead. The live share is the fraction of
	// the known hosts that are alive; peakShare is its recent maximum, and peakShareAt
	// when that was seen.
	knownHosts  int
	peakShare   float64
	peakShareAt time.Time
	// hostsVersion is incremented by every SetHosts.
	hostsVersion uint64

	accounts map[string]*account
	// unconfirmed holds the accounts with usage that is not confirmed yet. nearLimit
	// holds the accounts of teams near their limit for which this host is the home or
	// acts for it.
	unconfirmed, nearLimit map[string]*account
	queries                map[uint32]*query
	lastQueryID            uint32
	// resolved holds recently decided queries, so that a second grant by another host can
	// be subtracted from the usage.
	resolved  map[uint32]resolvedQuery
	lastSweep time.Time
	// lastCall is when Step or Tick was last called. resumedAt is when one of them was
	// last called after a pause.
	lastCall, resumedAt time.Time

	// out holds the datagrams to send; openPackets maps each host to the index of its
	// last one.
	out         []Outbound
	openPackets map[string]int
	answers     []Answer
}

// New returns a Node for a host that starts now.
func New(cfg Config, now time.Time, rng *rand.Rand) *Node {
	return &Node{
		cfg: cfg, started: now, lastSweep: now, lastCall: now, rng: rng, knownHosts: 1,
		hosts: []Host{{Name: cfg.Host}}, hashes: []uint64{xxhash.Sum64String(cfg.Host)},
		accounts:    make(map[string]*account),
		unconfirmed: make(map[string]*account), nearLimit: make(map[string]*account),
		queries: make(map[uint32]*query), resolved: make(map[uint32]resolvedQuery), openPackets: make(map[string]int),
	}
}

// SetHosts sets the live hosts, including this one, and the number of known hosts,
// including those considered dead.
func (n *Node) SetHosts(now time.Time, alive []Host, known int) {
	if before := n.liveShare(); before >= n.peakShare || now.Sub(n.peakShareAt) >= startupPeriod {
		n.peakShare, n.peakShareAt = before, now
	}
	n.hosts, n.hashes = alive, make([]uint64, len(alive))
	for i, h := range alive {
		n.hashes[i] = xxhash.Sum64String(h.Name)
		if h.Name == n.cfg.Host {
			n.dc = h.DC
		}
	}
	n.knownHosts = max(known, len(alive), 1)
	n.hostsVersion++
	if remaining := n.liveShare() / n.peakShare; remaining < 1 {
		n.compensateLostHosts(now, remaining)
	}
}

// compensateLostHosts raises the levels of teams that were near their limit when hosts
// become unreachable: the requests that those hosts admitted were not reported, and the
// level has drained as if there had been none. remaining is the new live share divided by
// peakShare, the largest recent one. If many hosts were lost at once, the bucket counts as
// full.
func (n *Node) compensateLostHosts(now time.Time, remaining float64) {
	for _, a := range n.accounts {
		if now.Before(a.nearLimitUntil.Add(startupPeriod)) || n.nearLimit[a.team] != nil {
			level := a.capacity()
			if remaining > singleLossFraction {
				level = min(a.level(now)+(1-remaining)*level, level)
			}
			a.used.raise(now, a.rate(), level)
		}
	}
}

// liveShare is the part of each rate that the live hosts hold together. In a
// partitioned fleet, the shares of all sides add up to the whole rate.
func (n *Node) liveShare() float64 { return float64(max(len(n.hosts), 1)) / float64(n.knownHosts) }

// Take returns and clears the datagrams to send and the answers to pending requests.
func (n *Node) Take() ([]Outbound, []Answer) {
	out, answers := n.out, n.answers
	n.out, n.answers = nil, nil
	clear(n.openPackets)
	return out, answers
}

// maxEntriesPerPacket bounds the entries of a datagram, so that it fits into one network
// packet.
const maxEntriesPerPacket = 16

// packet returns the datagram to a host that still has room for an entry.
func (n *Node) packet(to string) *msg.TeamPacket {
	if i, ok := n.openPackets[to]; ok {
		if p := n.out[i].Packet; len(p.Usages)+len(p.Levels)+len(p.Notices) < maxEntriesPerPacket {
			return p
		}
	}
	p := &msg.TeamPacket{From: n.cfg.Host, Incarnation: n.cfg.Incarnation}
	n.openPackets[to] = len(n.out)
	n.out = append(n.out, Outbound{To: to, Packet: p})
	return p
}

// Step processes a datagram from another host.
func (n *Node) Step(now time.Time, p *msg.TeamPacket) {
	n.detectPause(now)
	for i := range p.Usages {
		n.handleUsage(now, p, &p.Usages[i])
	}
	for i := range p.Levels {
		n.handleLevel(now, p.From, &p.Levels[i])
	}
	for i := range p.Notices {
		n.handleNotice(now, &p.Notices[i])
	}
}

// Tick sends due messages and handles timeouts.
func (n *Node) Tick(now time.Time) {
	n.detectPause(now)
	n.retryQueries(now)
	for _, team := range slices.Sorted(maps.Keys(n.unconfirmed)) {
		n.reportUsage(now, n.unconfirmed[team])
	}
	for _, team := range slices.Sorted(maps.Keys(n.nearLimit)) {
		a := n.nearLimit[team]
		if !n.isHome(a) && !n.actsForHome(a) || a.level(now) < nearLimitExit*a.capacity() {
			delete(n.nearLimit, team)
			continue
		}
		if now.Sub(a.lastNotice) >= noticeInterval {
			n.notifyNearLimit(now, a)
		} else {
			n.updateSuccessor(now, a)
		}
	}
	if now.Sub(n.lastSweep) >= sweepInterval {
		n.sweep(now)
	}
}

// detectPause records when this host resumes after it did not run for longer than
// pauseThreshold. Other hosts have acted in its place in the meantime and no longer wait
// for answers to the queries that they sent to it.
func (n *Node) detectPause(now time.Time) {
	if now.Sub(n.lastCall) > pauseThreshold {
		n.resumedAt = now
	}
	n.lastCall = now
}

// relearning reports whether this host has resumed so recently that it may not yet know
// which requests other hosts admitted in its place.
func (n *Node) relearning(now time.Time) bool {
	return !n.resumedAt.IsZero() && now.Sub(n.resumedAt) < relearnPeriod
}

// sweep removes idle accounts and old resolved queries.
func (n *Node) sweep(now time.Time) {
	n.lastSweep = now
	for id, r := range n.resolved {
		if now.Sub(r.at) > sweepInterval {
			delete(n.resolved, id)
		}
	}
	for team, a := range n.accounts {
		if now.Sub(a.lastUsed) > accountIdleTimeout && a.count == a.confirmed && n.nearLimit[team] == nil {
			delete(n.accounts, team)
		}
	}
}
