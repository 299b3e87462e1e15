// Package contact decides which hosts to call that are known by address only: those
// listed by the platform, those that have sent probes, and the configured seeds. A call
// announces this host to the other one and requests entries in return, so that no two
// parts of a fleet stay separated.
//
// The cost of a start must not grow with the square of the fleet size when all hosts
// start at once. Therefore few hosts are called at a time, since updates about each
// spread from host to host, and only one near host at a time is asked for its complete
// set. The package performs no I/O.
package contact

import (
	"math/rand/v2"
	"time"

	"github.com/radishhoist/radishhoist/internal/msg"
)

const (
	// maxCallsPerRound is the number of hosts called per round: one of this data centre
	// and two remote ones, so that the other data centres learn of a start within a few
	// rounds.
	maxCallsPerRound = 3
	// roundInterval is the time between two rounds. In the meantime updates about a host
	// reach its data centre, and most hosts need no call any more.
	roundInterval = 150 * time.Millisecond
	// callInterval is the time between two calls to one host.
	callInterval = 2 * time.Second
	// maxCallsPerHost bounds the calls to one host, which may no longer exist.
	maxCallsPerHost = 5
	// maxCandidates is the number of candidates from which hosts known only from their
	// packets are no longer added.
	maxCandidates = 256
	// maxSinglePulls is the number of missing hosts up to which they are requested one
	// by one. If more are missing, another host's complete set is requested.
	maxSinglePulls = 3
	// minFullPullInterval and maxFullPullInterval bound the time between two requests
	// for a complete set: the answer grows with the fleet, and when all hosts start at
	// once, the first ones asked know little themselves.
	minFullPullInterval = 500 * time.Millisecond
	maxFullPullInterval = 4 * time.Second
)

// Call is a call to one host.
type Call struct {
	// Addr is the address on which it listens for other hosts. Host is its name, empty
	// for a seed.
	Addr, Host string
	// Full requests all hosts that it knows instead of only its own entry.
	Full bool
}

// PullRequest returns the pull request of the call, for host entries of the given kind.
func (c Call) PullRequest(kind string) *msg.Pull {
	if c.Full {
		return &msg.Pull{Set: msg.SetHosts, All: true}
	}
	return &msg.Pull{Set: msg.SetHosts, Items: []msg.VersionItem{{Kind: kind, Name: c.Host}}}
}

// candidate is a host that is known by its address only.
type candidate struct {
	name, addr string
	near       bool
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
	// callsPending reports whether candidates were called since Met last returned true.
	callsPending bool
}

// New returns a Book for a host in a data centre.
func New(dc string, seeds []string, rng *rand.Rand) *Contacts {
	b := &Contacts{dc: dc, rng: rng, candidates: make(map[string]*candidate), isSeed: make(map[string]bool), fullPullInterval: minFullPullInterval}
	for _, addr := range seeds {
		b.addSeed(addr)
	}
	return b
}

func (b *Contacts) addSeed(addr string) {
	if !b.isSeed[addr] {
		b.isSeed[addr] = true
		b.seeds = append(b.seeds, addr)
	}
}

// AddListed adds a host listed by the platform. known reports whether an update about it has
// been received already.
func (b *Contacts) AddListed(name, dc, addr string, known bool) {
	b.addSeed(addr)
	if !known {
		b.add(name, addr, dc == b.dc)
	}
}

// AddProber adds an unknown host that has sent a packet.
func (b *Contacts) AddProber(name, addr string) {
	if _, pending := b.candidates[name]; !pending && len(b.candidates) < maxCandidates {
		b.add(name, addr, false)
	}
}

// Candidates returns the number of candidates.
func (b *Contacts) Candidates() int { return len(b.candidates) }

// add inserts a candidate at a random position, so that hosts that start at once and read
// the same list do not all call the same hosts.
func (b *Contacts) add(name, addr string, near bool) {
	if old, pending := b.candidates[name]; pending {
		old.addr, old.near, old.calls = addr, near, 0
		return
	}
	c := &candidate{name: name, addr: addr, near: near}
	b.candidates[name] = c
	b.order = append(b.order, c)
	i := b.rng.IntN(len(b.order))
	last := len(b.order) - 1
	b.order[i], b.order[last] = b.order[last], b.order[i]
}

// NextCalls returns the calls to make now. known reports whether an update about a host has
// been received, and alone whether no other host is known.
func (b *Contacts) NextCalls(now time.Time, known func(name string) bool, alone bool) []Call {
	if now.Before(b.nextRound) {
		return nil
	}
	b.prune(known)
	calls := b.callCandidates(now, alone)
	if alone && len(calls) == 0 {
		calls = b.callSeeds(now)
	}
	if len(calls) > 0 {
		b.nextRound = now.Add(roundInterval)
		b.callsPending = true
	}
	return calls
}

// AllReached returns true once, when all called hosts have become known or were given up. The
// caller then publishes this host's entry again: the earlier one reached only the hosts
// known at that time.
func (b *Contacts) AllReached(known func(name string) bool, alone bool) bool {
	if !b.callsPending || alone {
		return false
	}
	b.prune(known)
	if len(b.candidates) > 0 {
		return false
	}
	b.callsPending = false
	return true
}

// prune removes the candidates that have become known and those that do not answer.
func (b *Contacts) prune(known func(name string) bool) {
	kept := b.order[:0]
	for _, c := range b.order {
		if c.calls >= maxCallsPerHost || known(c.name) {
			delete(b.candidates, c.name)
			continue
		}
		kept = append(kept, c)
	}
	clear(b.order[len(kept):])
	b.order = kept
}

// callCandidates picks the calls of one round: first a near host, then others, preferably
// remote ones.
func (b *Contacts) callCandidates(now time.Time, alone bool) []Call {
	var calls []Call
	call := func(c *candidate) {
		c.calls++
		c.nextCall = now.Add(callInterval)
		calls = append(calls, Call{Addr: c.addr, Host: c.name, Full: len(calls) == 0 && b.fullPullDue(now, alone)})
	}
	if c := b.firstDue(now, func(c *candidate) bool { return c.near }); c != nil {
		call(c)
	}
	for len(calls) < maxCallsPerRound {
		c := b.firstDue(now, func(c *candidate) bool { return !c.near })
		if c == nil {
			c = b.firstDue(now, func(*candidate) bool { return true })
		}
		if c == nil {
			break
		}
		call(c)
	}
	return calls
}

func (b *Contacts) firstDue(now time.Time, match func(*candidate) bool) *candidate {
	for _, c := range b.order {
		if !now.Before(c.nextCall) && c.calls < maxCallsPerHost && match(c) {
			return c
		}
	}
	return nil
}

// fullPullDue reports whether the next call requests a complete set, and schedules the
// one after.
func (b *Contacts) fullPullDue(now time.Time, alone bool) bool {
	needed := alone || len(b.candidates) > maxSinglePulls
	if !needed || now.Before(b.nextFullPull) {
		return false
	}
	b.nextFullPull = now.Add(b.fullPullInterval)
	b.fullPullInterval = min(2*b.fullPullInterval, maxFullPullInterval)
	return true
}

// callSeeds picks seeds in turn, for a host that knows no other host.
func (b *Contacts) callSeeds(now time.Time) []Call {
	if now.Before(b.nextSeedCall) {
		return nil
	}
	b.nextSeedCall = now.Add(callInterval)
	var calls []Call
	for range min(maxCallsPerRound, len(b.seeds)) {
		addr := b.seeds[0]
		b.seeds = append(b.seeds[1:], addr)
		calls = append(calls, Call{Addr: addr, Full: true})
	}
	return calls
}
