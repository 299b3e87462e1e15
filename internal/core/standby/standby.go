// Package standby decides which hosts watch the platform in place of watchers that the platform
// does not serve. Such a watcher asks the hosts after it in the order of rank, one at a time,
// until one of them is served, and renews the request for as long as its own calls fail. The
// number of hosts that call the platform at a time is therefore bounded by the number of
// watchers, also while the platform serves no host at all.
//
// A Node is driven by Step and Tick, and Take returns what is to be sent. The package does no
// I/O and is not safe for concurrent use.
package standby

import (
	"time"

	"github.com/radishhoist/radishhoist/internal/msg"
)

const (
	// HandoverDelay is how long the calls of a watcher must have failed before it asks
	// another host. Its own first retries come sooner, so that a single failure costs no
	// further calls.
	HandoverDelay = 400 * time.Millisecond
	// Lease is how long a host watches after a request.
	Lease = 3 * time.Second
	// renewInterval is the time between requests to a host that watches, and resendInterval
	// that between requests to one that has not replied.
	renewInterval  = time.Second
	resendInterval = 250 * time.Millisecond
	// replyTimeout is how long a host that has been served may leave requests unanswered.
	replyTimeout = 2500 * time.Millisecond
	// candidateTimeout is how long a host may take until the platform has served it.
	candidateTimeout = 500 * time.Millisecond
	// refusalMemory is how long a host that was not served refuses requests without a call.
	refusalMemory = time.Second
)

const (
	// candidateInterval is the minimum time between two candidates of one watcher.
	candidateInterval = 200 * time.Millisecond
	// quickCandidates is the number of candidates after which it is likely that the platform
	// serves no host, and manyInterval the interval from then on. If it refuses a third of
	// the hosts, it refuses 16 random ones once in 40 million cases.
	quickCandidates = 16
	manyInterval    = time.Second
	// outageInterval is the interval once all candidates have been asked.
	outageInterval = 10 * time.Second
)

// Position is the place of this host among the live hosts of its data centre, in the order of
// rank. Hosts of a rank below the number of watchers are the watchers.
type Position struct {
	Rank int
	// Candidates returns the hosts that are no watchers, in the order of rank. It is called only
	// when a watcher may ask another host.
	Candidates func() []string
}

// Outbound is a message to a host.
type Outbound struct {
	To string
	// Exactly one of the two is set.
	Request *msg.WatchRequest
	Reply   *msg.WatchReply
}

// Node is the state of one host.
type Node struct {
	host     string
	watchers int
	// failingSince is the time of the first failed call since the last one that was served,
	// zero if there is none.
	failingSince time.Time
	search       search
	duty         duty
	out          []Outbound
}

// search is the search of a watcher for a host that the platform serves.
type search struct {
	// candidate is the host that has been asked, empty if there is none. It was asked first
	// at askedAt, and last at sentAt.
	candidate       string
	askedAt, sentAt time.Time
	// served is set once the candidate has replied that it is served, last at repliedAt.
	served    bool
	repliedAt time.Time
	requestID uint64
	// skipped counts the candidates that were given up, and asked those asked since the
	// platform last served the watcher or a candidate.
	skipped, asked int
	nextAt         time.Time
}

// duty is the duty of a host to watch in place of others.
type duty struct {
	// leases holds the last request of each watcher.
	leases map[string]lease
	// served is set once the platform has served this host.
	served bool
	// refusedUntil is the time until which requests are refused without a call.
	refusedUntil time.Time
}

type lease struct {
	until     time.Time
	requestID uint64
	shortWait bool
}

// New returns the Node of a host in a fleet with the given number of watchers per data centre.
func New(host string, watchers int) *Node {
	return &Node{host: host, watchers: watchers, duty: duty{leases: make(map[string]lease)}}
}

// Take returns and clears the messages to send.
func (n *Node) Take() []Outbound {
	out := n.out
	n.out = nil
	return out
}

// Watching reports whether this host has to watch the platform in place of another one, and
// whether its watches should be as short as those of the first watcher.
func (n *Node) Watching() (watching, shortWait bool) {
	for _, l := range n.duty.leases {
		shortWait = shortWait || l.shortWait
	}
	return len(n.duty.leases) > 0, shortWait
}

// Served records that the platform serves this host in all feeds.
func (n *Node) Served() {
	n.failingSince = time.Time{}
	n.search.candidate, n.search.asked = "", 0
	if len(n.duty.leases) == 0 || n.duty.served {
		return
	}
	n.duty.served = true
	n.replyToAll(true)
}

// Failed records that a call of this host has failed.
func (n *Node) Failed(now time.Time) {
	if n.failingSince.IsZero() {
		n.failingSince = now
	}
	if len(n.duty.leases) == 0 {
		return
	}
	n.replyToAll(false)
	clear(n.duty.leases)
	n.duty.served, n.duty.refusedUntil = false, now.Add(refusalMemory)
}

func (n *Node) replyToAll(served bool) {
	for host, l := range n.duty.leases {
		n.reply(host, l.requestID, served)
	}
}

func (n *Node) reply(to string, requestID uint64, served bool) {
	n.out = append(n.out, Outbound{To: to, Reply: &msg.WatchReply{From: n.host, ID: requestID, Served: served}})
}

// StepRequest handles a request of another host. isWatcher reports whether this host is a
// watcher itself.
func (n *Node) StepRequest(now time.Time, r *msg.WatchRequest, isWatcher bool) {
	switch {
	case isWatcher:
		n.reply(r.From, r.ID, n.failingSince.IsZero())
		return
	case now.Before(n.duty.refusedUntil):
		n.reply(r.From, r.ID, false)
		return
	}
	n.duty.leases[r.From] = lease{until: now.Add(Lease), requestID: r.ID, shortWait: r.ShortWait}
	if n.duty.served {
		n.reply(r.From, r.ID, true)
	}
}

// StepReply handles the reply to a request of this host.
func (n *Node) StepReply(now time.Time, r *msg.WatchReply) {
	s := &n.search
	if s.candidate == "" || r.From != s.candidate || r.ID != s.requestID {
		return
	}
	if !r.Served {
		s.giveUp()
		return
	}
	s.served, s.repliedAt = true, now
	// The platform serves some hosts: if it turns this one away later, the search is quick again.
	s.asked = 0
}

// Active reports whether Tick has anything to do.
func (n *Node) Active() bool {
	return len(n.duty.leases) > 0 || !n.failingSince.IsZero()
}

// Tick ends leases that have not been renewed and, if this host is a watcher whose calls fail,
// continues its search.
func (n *Node) Tick(now time.Time, p Position) {
	for host, l := range n.duty.leases {
		if !now.Before(l.until) {
			delete(n.duty.leases, host)
		}
	}
	n.duty.served = n.duty.served && len(n.duty.leases) > 0
	isWatcher := p.Rank < n.watchers
	if !isWatcher && len(n.duty.leases) == 0 {
		n.failingSince = time.Time{}
	}
	if !isWatcher || n.failingSince.IsZero() || now.Sub(n.failingSince) < HandoverDelay {
		n.search.candidate = ""
		return
	}
	n.continueSearch(now, p)
}

func (n *Node) continueSearch(now time.Time, p Position) {
	s := &n.search
	interval := resendInterval
	switch {
	case s.candidate == "":
	case s.served && now.Sub(s.repliedAt) >= replyTimeout, !s.served && now.Sub(s.askedAt) >= candidateTimeout:
		s.giveUp()
	case s.served:
		interval = renewInterval
	}
	switch {
	case s.candidate != "" && now.Sub(s.sentAt) >= interval:
		n.request(now, p)
	case s.candidate == "" && !now.Before(s.nextAt):
		n.askNext(now, p)
	}
}

// askNext asks the next candidate.
func (n *Node) askNext(now time.Time, p Position) {
	s, candidates := &n.search, p.Candidates()
	if len(candidates) == 0 {
		return
	}
	// The watchers of a data centre start at different candidates.
	start := p.Rank * len(candidates) / n.watchers
	s.candidate = candidates[(start+s.skipped)%len(candidates)]
	s.askedAt, s.served = now, false
	s.requestID++
	s.asked++
	s.nextAt = now.Add(s.interval(len(candidates)))
	n.request(now, p)
}

// interval returns the time until the next candidate may be asked.
func (s *search) interval(candidates int) time.Duration {
	switch {
	case s.asked >= candidates:
		return outageInterval
	case s.asked >= quickCandidates:
		return manyInterval
	}
	return candidateInterval
}

func (s *search) giveUp() {
	s.candidate = ""
	s.skipped++
}

func (n *Node) request(now time.Time, p Position) {
	n.search.sentAt = now
	r := &msg.WatchRequest{From: n.host, ID: n.search.requestID, ShortWait: p.Rank == 0}
	n.out = append(n.out, Outbound{To: n.search.candidate, Request: r})
}

// Substitute returns the host that watches in place of this one, empty if there is none.
func (n *Node) Substitute() string {
	if !n.search.served {
		return ""
	}
	return n.search.candidate
}
