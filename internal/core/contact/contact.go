// Package contact decides which hosts a host calls that it knows by address only:
// those that the platform names, those that probe it, and the seeds of its settings.
// A call tells the other host of this one and asks for something in return, so that
// no two parts of a fleet stay apart.
//
// What a start costs must not grow with the square of the fleet where all hosts start
// at once: a few are called at a time, since news of each spreads from host to host,
// and one near host at a time is asked for all that it knows. The package does no I/O.
package contact

import (
	"math/rand/v2"
	"time"

	"github.com/radishhoist/radishhoist/internal/msg"
)

const (
	// callsAtOnce bounds the hosts called in one round: one of the own data centre
	// and two far ones, so that the news of a start reaches the other data centres
	// within some rounds.
	callsAtOnce = 3
	// roundInterval is the time between two rounds: news of a host reaches its data
	// centre meanwhile, and most hosts need no call any more.
	roundInterval = 150 * time.Millisecond
	// callAgain is the time between two calls to one host.
	callAgain = 2 * time.Second
	// maxTries bounds the calls to one host, which may be long gone.
	maxTries = 5
	// maxStrangers bounds the hosts that are waited for by their packets alone.
	maxStrangers = 256
	// fewMissing is up to how many hosts are asked for one by one. Where more are
	// missing, all that another host knows is asked for.
	fewMissing = 3
	// wholeAgainMin and wholeAgainMax bound the time between two questions for all
	// that a host knows: the answer has the length of the fleet, and in a start of all
	// the first hosts know little themselves.
	wholeAgainMin = 500 * time.Millisecond
	wholeAgainMax = 4 * time.Second
)

// Call is one host to call.
type Call struct {
	// Addr is where it listens for other hosts, and Host its name, empty for a seed.
	Addr, Host string
	// Full says that it is asked for all hosts that it knows, not for itself alone.
	Full bool
}

// PullRequest is the question of the call, for what hosts of a kind of entry say.
func (c Call) PullRequest(kind string) *msg.Pull {
	if c.Full {
		return &msg.Pull{Set: msg.SetHosts, All: true}
	}
	return &msg.Pull{Set: msg.SetHosts, Items: []msg.VersionItem{{Kind: kind, Name: c.Host}}}
}

// stranger is a host that is known by its address only.
type stranger struct {
	name, addr string
	near       bool
	tries      int
	next       time.Time
}

// Contacts holds whom to call. It is not safe for concurrent use.
type Contacts struct {
	dc  string
	rng *rand.Rand

	strangers map[string]*stranger
	// order is that in which strangers are looked at: those called go to the end.
	order []*stranger
	seeds []string
	// isSeed is the set of seeds.
	isSeed    map[string]bool
	nextRound time.Time
	seedAt    time.Time
	wholeAt   time.Time
	wholeWait time.Duration
	// calling says that strangers were called since Met last said so.
	calling bool
}

// New makes a Book for a host of a data centre.
func New(dc string, seeds []string, rng *rand.Rand) *Contacts {
	b := &Contacts{dc: dc, rng: rng, strangers: make(map[string]*stranger), isSeed: make(map[string]bool), wholeWait: wholeAgainMin}
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

// AddListed takes a host that the platform names. known says that the fleet has told of
// it already.
func (b *Contacts) AddListed(name, dc, addr string, known bool) {
	b.addSeed(addr)
	if !known {
		b.add(name, addr, dc == b.dc)
	}
}

// AddProber takes a host that is not known and that has sent a packet.
func (b *Contacts) AddProber(name, addr string) {
	if _, waits := b.strangers[name]; !waits && len(b.strangers) < maxStrangers {
		b.add(name, addr, false)
	}
}

// Candidates counts the hosts that are waited for.
func (b *Contacts) Candidates() int { return len(b.strangers) }

// add takes a stranger in at a random place, so that hosts that start at once and
// read the same list do not all call the same hosts.
func (b *Contacts) add(name, addr string, near bool) {
	if old, waits := b.strangers[name]; waits {
		old.addr, old.near, old.tries = addr, near, 0
		return
	}
	s := &stranger{name: name, addr: addr, near: near}
	b.strangers[name] = s
	b.order = append(b.order, s)
	i := b.rng.IntN(len(b.order))
	last := len(b.order) - 1
	b.order[i], b.order[last] = b.order[last], b.order[i]
}

// NextCalls lists whom to call now. known says which hosts the fleet has told of, and alone
// that there is none.
func (b *Contacts) NextCalls(now time.Time, known func(name string) bool, alone bool) []Call {
	if now.Before(b.nextRound) {
		return nil
	}
	b.forget(known)
	calls := b.callStrangers(now, alone)
	if alone && len(calls) == 0 {
		calls = b.callSeeds(now)
	}
	if len(calls) > 0 {
		b.nextRound = now.Add(roundInterval)
		b.calling = true
	}
	return calls
}

// AllReached says, once, that the hosts that were called are known now, or given up. Most of
// them learn of this host only if it tells the fleet of itself anew: what it said
// before reached those alone that it knew then.
func (b *Contacts) AllReached(known func(name string) bool, alone bool) bool {
	if !b.calling || alone {
		return false
	}
	b.forget(known)
	if len(b.strangers) > 0 {
		return false
	}
	b.calling = false
	return true
}

// forget drops the strangers that are known by now, and those that do not answer.
func (b *Contacts) forget(known func(name string) bool) {
	kept := b.order[:0]
	for _, s := range b.order {
		if s.tries >= maxTries || known(s.name) {
			delete(b.strangers, s.name)
			continue
		}
		kept = append(kept, s)
	}
	clear(b.order[len(kept):])
	b.order = kept
}

// callStrangers picks a round's calls: one near host first, then any.
func (b *Contacts) callStrangers(now time.Time, alone bool) []Call {
	var calls []Call
	call := func(s *stranger) {
		s.tries++
		s.next = now.Add(callAgain)
		calls = append(calls, Call{Addr: s.addr, Host: s.name, Full: len(calls) == 0 && b.wholeDue(now, alone)})
	}
	if s := b.firstDue(now, func(s *stranger) bool { return s.near }); s != nil {
		call(s)
	}
	for len(calls) < callsAtOnce {
		s := b.firstDue(now, func(s *stranger) bool { return !s.near })
		if s == nil {
			s = b.firstDue(now, func(*stranger) bool { return true })
		}
		if s == nil {
			break
		}
		call(s)
	}
	return calls
}

func (b *Contacts) firstDue(now time.Time, fits func(*stranger) bool) *stranger {
	for _, s := range b.order {
		if !now.Before(s.next) && s.tries < maxTries && fits(s) {
			return s
		}
	}
	return nil
}

// wholeDue says that the next call is to ask for all hosts, and counts it.
func (b *Contacts) wholeDue(now time.Time, alone bool) bool {
	enough := alone || len(b.strangers) > fewMissing
	if !enough || now.Before(b.wholeAt) {
		return false
	}
	b.wholeAt = now.Add(b.wholeWait)
	b.wholeWait = min(2*b.wholeWait, wholeAgainMax)
	return true
}

// callSeeds picks seeds in turn, for a host that knows nobody else.
func (b *Contacts) callSeeds(now time.Time) []Call {
	if now.Before(b.seedAt) {
		return nil
	}
	b.seedAt = now.Add(callAgain)
	var calls []Call
	for range min(callsAtOnce, len(b.seeds)) {
		addr := b.seeds[0]
		b.seeds = append(b.seeds[1:], addr)
		calls = append(calls, Call{Addr: addr, Full: true})
	}
	return calls
}
