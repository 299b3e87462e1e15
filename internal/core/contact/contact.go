// Package contact decides which of the hosts that are known by address only to call: those
// listed by the platform, those that have sent probes, and the configured seeds. A call
// announces this host to the other one and requests entries in return, so that no two
// parts of a fleet stay separated.
//
// When all hosts start at once, the cost of the start must not grow with the square of the
// fleet size. Therefore only a few hosts are called per round, since updates about a host
// spread from host to host, and at most one of them, if possible one of this data centre,
// is asked for its complete set. Only seeds, which are called by a host that knows no
// other host, are all asked for theirs. The package performs no I/O.
package contact

import (
	"math/rand/v2"
	"time"

	"github.com/radishhoist/radishhoist/internal/msg"
)

const (
	// maxCallsPerRound is the number of hosts called per round: one of this data centre
	// and two remote ones, so that the other data centres learn of this host's start
	// within a few rounds.
	maxCallsPerRound = 3
	// roundInterval is the time between two rounds. In the meantime updates about a host
	// reach its data centre, so that most of the remaining candidates need no call.
	roundInterval = 150 * time.Millisecond
	// callInterval is the time between two calls to one host.
	callInterval = 2 * time.Second
	// maxCallsPerHost bounds the calls to one host, which may no longer exist.
	maxCallsPerHost = 5
	// maxCandidates is the number of candidates from which AddProber adds no more.
	maxCandidates = 256
	// maxSinglePulls is the number of missing hosts up to which they are requested one
	// by one. If more are missing, another host's complete set is requested.
	maxSinglePulls = 3
	// minFullPullInterval and maxFullPullInterval bound the time between two requests
	// for a complete set: the answer grows with the fleet, and when all hosts start at
	// once, those that are asked first know few other hosts.
	minFullPullInterval = 500 * time.Millisecond
	maxFullPullInterval = 4 * time.Second
)

// Call is a call to one host.
type Call struct {
	// Addr is the address on which the called host listens for other hosts. Host is its
	// name, empty for a seed.
	Addr, Host string
	// Full requests the entries of all hosts that it knows instead of only its own.
	Full bool
}

// PullRequest returns the message with which the call requests host entries. kind is the
// kind of these entries.
func (c Call) PullRequest(kind string) *msg.Pull {
	if c.Full {
		return &msg.Pull{Set: msg.SetHosts, All: true}
	}
	return &msg.Pull{Set: msg.SetHosts, Items: []msg.VersionItem{{Kind: kind, Name: c.Host}}}
}

// candidate is a host that is known by its address only.
type candidate struct {
	name, addr string
	local      bool
	calls      int
	nextCall   time.Time
}

// Contacts holds the hosts to call. It is not safe for concurrent use.
type Contacts struct {
	dc  string
	rng *rand.Rand

	candidates map[string]*candidate
	// order is the order in which candidates are examined.
	order []*candidate
	seeds []string
	// isSeed is the set of seed addresses.
	isSeed           map[string]bool
	nextRound        time.Time
	nextSeedCall     time.Time
	nextFullPull     time.Time
	fullPullInterval time.Duration
	// callsPending reports whether candidates were called since AllReached last returned
	// true.
	callsPending bool
}

// New returns the Contacts of a host in a data centre.
func New(dc string, seeds []string, rng *rand.Rand) *Contacts {
	cs := &Contacts{dc: dc, rng: rng, candidates: make(map[string]*candidate), isSeed: make(map[string]bool), fullPullInterval: minFullPullInterval}
	for _, addr := range seeds {
		cs.addSeed(addr)
	}
	return cs
}

func (cs *Contacts) addSeed(addr string) {
	if !cs.isSeed[addr] {
		cs.isSeed[addr] = true
		cs.seeds = append(cs.seeds, addr)
	}
}

// AddListed adds a host listed by the platform. Its address becomes a seed. The host itself
// becomes a candidate only if known is false, which means that no update about it has been
// received yet.
func (cs *Contacts) AddListed(name, dc, addr string, known bool) {
	cs.addSeed(addr)
	if !known {
		cs.add(name, addr, dc == cs.dc)
	}
}

// AddProber adds an unknown host that has sent a packet.
func (cs *Contacts) AddProber(name, addr string) {
	if _, pending := cs.candidates[name]; !pending && len(cs.candidates) < maxCandidates {
		cs.add(name, addr, false)
	}
}

// CandidateCount returns the number of candidates.
func (cs *Contacts) CandidateCount() int { return len(cs.candidates) }

// add inserts a candidate at a random position, so that hosts that start at once and read
// the same list do not all call the same hosts.
func (cs *Contacts) add(name, addr string, local bool) {
	if old, pending := cs.candidates[name]; pending {
		old.addr, old.local, old.calls = addr, local, 0
		return
	}
	c := &candidate{name: name, addr: addr, local: local}
	cs.candidates[name] = c
	cs.order = append(cs.order, c)
	i := cs.rng.IntN(len(cs.order))
	last := len(cs.order) - 1
	cs.order[i], cs.order[last] = cs.order[last], cs.order[i]
}

// NextCalls returns the calls to make now. known reports whether an update about a host
// has been received, and noPeers whether no other host is known.
func (cs *Contacts) NextCalls(now time.Time, known func(name string) bool, noPeers bool) []Call {
	if now.Before(cs.nextRound) {
		return nil
	}
	cs.prune(known)
	calls := cs.callCandidates(now, noPeers)
	if noPeers && len(calls) == 0 {
		calls = cs.callSeeds(now)
	}
	if len(calls) > 0 {
		cs.nextRound = now.Add(roundInterval)
		cs.callsPending = true
	}
	return calls
}

// AllReached returns true once, when no candidates are left because all of them have
// become known or were called maxCallsPerHost times. The caller then pushes this host's
// entry again, since the first push reached only the hosts known at that time.
func (cs *Contacts) AllReached(known func(name string) bool, noPeers bool) bool {
	if !cs.callsPending || noPeers {
		return false
	}
	cs.prune(known)
	if len(cs.candidates) > 0 {
		return false
	}
	cs.callsPending = false
	return true
}

// prune removes the candidates that have become known and those that were called
// maxCallsPerHost times.
func (cs *Contacts) prune(known func(name string) bool) {
	kept := cs.order[:0]
	for _, c := range cs.order {
		if c.calls >= maxCallsPerHost || known(c.name) {
			delete(cs.candidates, c.name)
			continue
		}
		kept = append(kept, c)
	}
	clear(cs.order[len(kept):])
	cs.order = kept
}

// callCandidates returns the calls of one round: first a local host, then others,
// preferably remote ones.
func (cs *Contacts) callCandidates(now time.Time, noPeers bool) []Call {
	var calls []Call
	call := func(c *candidate) {
		c.calls++
		c.nextCall = now.Add(callInterval)
		calls = append(calls, Call{Addr: c.addr, Host: c.name, Full: len(calls) == 0 && cs.fullPullDue(now, noPeers)})
	}
	if c := cs.firstDue(now, func(c *candidate) bool { return c.local }); c != nil {
		call(c)
	}
	for len(calls) < maxCallsPerRound {
		c := cs.firstDue(now, func(c *candidate) bool { return !c.local })
		if c == nil {
			c = cs.firstDue(now, func(*candidate) bool { return true })
		}
		if c == nil {
			break
		}
		call(c)
	}
	return calls
}

func (cs *Contacts) firstDue(now time.Time, match func(*candidate) bool) *candidate {
	for _, c := range cs.order {
		if !now.Before(c.nextCall) && c.calls < maxCallsPerHost && match(c) {
			return c
		}
	}
	return nil
}

// fullPullDue reports whether the next call requests a complete set. If so, it schedules
// the following such request.
func (cs *Contacts) fullPullDue(now time.Time, noPeers bool) bool {
	needed := noPeers || len(cs.candidates) > maxSinglePulls
	if !needed || now.Before(cs.nextFullPull) {
		return false
	}
	cs.nextFullPull = now.Add(cs.fullPullInterval)
	cs.fullPullInterval = min(2*cs.fullPullInterval, maxFullPullInterval)
	return true
}

// callSeeds returns calls to the next seeds in turn, for a host that knows no other host.
func (cs *Contacts) callSeeds(now time.Time) []Call {
	if now.Before(cs.nextSeedCall) {
		return nil
	}
	cs.nextSeedCall = now.Add(callInterval)
	var calls []Call
	for range min(maxCallsPerRound, len(cs.seeds)) {
		addr := cs.seeds[0]
		cs.seeds = append(cs.seeds[1:], addr)
		calls = append(calls, Call{Addr: addr, Full: true})
	}
	return calls
}
