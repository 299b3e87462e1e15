// Package quota holds the rate of each team as one over all hosts, without a
// server for it and without I/O.
//
// A team's account is kept by one of the hosts, its home, drawn by rendezvous
// hashing from the hosts that live. The account is a level: requests let pass,
// drained at the team's rate. A front lets the requests of a team that is far
// below its limit pass at once and tells the home within a tick; what it tells
// is a running count, so that lost, late and repeated datagrams do no harm. The
// home tells all hosts when a team comes close to its limit; until that is over
// they ask it for each request. The level travels with every message, so that a
// new home learns it from whoever speaks to it first.
//
// A host that reaches no home lets a team have its share of the rate alone. One
// that has just started takes every account for used up, draining from its
// start on, until it is told better: a stop of all gives no burst anew.
package quota

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/radishhoist/radishhoist/internal/msg"
)

// Limit is what a team may have over all hosts.
type Limit struct {
	// Rate is in requests a second, and Burst how many may come at once.
	Rate, Burst float64
}

// Config has the parameters of a Node.
type Config struct {
	// Host is this host's name and Incarnation its start, in Unix milliseconds.
	Host        string
	Incarnation uint64
	// Lend is how many requests beyond its burst a team may have, LendRate how many a
	// second and LendPart which part of its rate beyond its rate: what is allowed beyond
	// the limit and is not needed for what hosts do not know of each other.
	Lend, LendRate, LendPart float64
	// Limit gives a team's limit, false where it has none.
	Limit func(team string) (Limit, bool)
}

const (
	// settle is how long a host that has just started asks for each request: it may
	// have missed that a team is close to its limit.
	settle = 5 * time.Second
	// askTimeout is how long a home has to answer before it is asked again, and
	// askTries how often it and its successor are asked in all.
	askTimeout = 60 * time.Millisecond
	askTries   = 3
	// useTimeout is how long a home has to confirm a use before its successor is told.
	useTimeout = 150 * time.Millisecond
	// aloneFor is how long a host goes by its own share after homes were silent.
	aloneFor = 400 * time.Millisecond
	// closeFor is how long a notice holds, and closeAgain how often it is repeated.
	closeFor   = 2500 * time.Millisecond
	closeAgain = time.Second
	// closeAt and calmAt are the parts of a limit at which a team counts as close to
	// it, and as far from it again.
	closeAt, calmAt = 0.5, 0.25
	// startLend is the part of Lend that a host which knows nothing gives at its start.
	startLend = 0.5
	// standInPart is what a successor grants of the share of those who ask it while it
	// holds the home for alive.
	standInPart = 0.5
	// fewGone is the part of the hosts in sight that must stay for a loss to count as one
	// of single hosts.
	fewGone = 0.9
	// blindCalm is how many requests of a team far from its limit a front lets pass
	// before the home has confirmed the first of them.
	blindCalm = 2
	// pause is how long a host is not called before it takes others to have stood in for
	// it, and learnFor how long it grants nothing then.
	pause    = 500 * time.Millisecond
	learnFor = 250 * time.Millisecond
	// askingFor is how long a host counts among those who ask a successor.
	askingFor = 2 * time.Second
	// refusedFor bounds how long a front refuses by a home's last refusal alone.
	refusedFor = 50 * time.Millisecond
	// maxWait bounds the time after which a refused caller is told to come back.
	maxWait = 5 * time.Second
	// keepIdle is how long an account is kept that nobody uses.
	keepIdle = time.Minute
	// sweepEvery is the time between two looks for such accounts.
	sweepEvery = 5 * time.Second
)

// Decision says whether a request may pass.
type Decision uint8

const (
	// Admitted lets the request pass.
	Admitted Decision = iota
	// Refused does not; Verdict.Wait says when another may.
	Refused
	// Asked means that an Answer follows.
	Asked
)

// Verdict is the outcome of Admit.
type Verdict struct {
	Decision Decision
	// Wait is when to come back, where refused.
	Wait time.Duration
	// Ask is the number of the Answer that follows, where asked.
	Ask uint32
}

// Answer is the outcome of a request that was asked for.
type Answer struct {
	Ask     uint32
	Granted bool
	// Wait is when to come back, where not granted.
	Wait time.Duration
}

// Outbound is a datagram to a host.
type Outbound struct {
	To     string
	Packet *msg.TeamPacket
}

// Host is a host that lives.
type Host struct{ Name, DC string }

// Node is one host's part. It is not safe for concurrent use.
type Node struct {
	cfg     Config
	started time.Time
	rng     *rand.Rand

	hosts  []Host
	hashes []uint64
	dc     string
	known  int
	// most is the greatest share of hosts in sight of late, and mostAt when it was.
	most   float64
	mostAt time.Time
	// epoch counts the changes of the hosts.
	epoch uint64

	accounts map[string]*account
	// due are the accounts with a use that no home has confirmed, and close those that
	// this host, as their home, holds for close to their limit.
	due, close map[string]*account
	asks       map[uint32]*ask
	lastAsk    uint32
	// settled are the asks that were decided of late: what another host grants them goes
	// back.
	settled map[uint32]settled
	swept   time.Time
	// ran is when the node was last called, and resumed when that was after a pause.
	ran, resumed time.Time

	// out are the datagrams to be sent, and open the place of each host's last one.
	out     []Outbound
	open    map[string]int
	answers []Answer
}

// New makes a Node for a host that starts now.
func New(cfg Config, now time.Time, rng *rand.Rand) *Node {
	return &Node{
		cfg: cfg, started: now, swept: now, ran: now, rng: rng, known: 1,
		hosts: []Host{{Name: cfg.Host}}, hashes: []uint64{xxhash.Sum64String(cfg.Host)},
		accounts: make(map[string]*account),
		due:      make(map[string]*account), close: make(map[string]*account),
		asks: make(map[uint32]*ask), settled: make(map[uint32]settled), open: make(map[string]int),
	}
}

// SetHosts takes the hosts that live, this one among them, and how many there
// are with those that are held for dead.
func (n *Node) SetHosts(now time.Time, alive []Host, known int) {
	if before := n.share(); before >= n.most || now.Sub(n.mostAt) >= settle {
		n.most, n.mostAt = before, now
	}
	n.hosts, n.hashes = alive, make([]uint64, len(alive))
	for i, h := range alive {
		n.hashes[i] = xxhash.Sum64String(h.Name)
		if h.Name == n.cfg.Host {
			n.dc = h.DC
		}
	}
	n.known = max(known, len(alive), 1)
	n.epoch++
	if part := n.share() / n.most; part < 1 {
		n.lostSight(now, part)
	}
}

// lostSight makes up for hosts that have gone out of sight, for teams that were close
// to their limit: nothing was heard of what they let pass, and the level has drained
// as if that were nothing. part is the new share over the old; where many have gone
// at once the bucket counts as used up.
func (n *Node) lostSight(now time.Time, part float64) {
	for _, a := range n.accounts {
		if now.Before(a.closeUntil.Add(settle)) || n.close[a.team] != nil {
			level := a.room()
			if part > fewGone {
				level = min(a.level(now)+(1-part)*level, level)
			}
			a.used.raise(now, a.rate(), level)
		}
	}
}

// share is the part of each rate that the hosts in sight have together: where
// a fleet is split, the sides have the whole rate between them.
func (n *Node) share() float64 { return float64(max(len(n.hosts), 1)) / float64(n.known) }

// Take gives the datagrams to be sent and the answers to requests asked for.
func (n *Node) Take() ([]Outbound, []Answer) {
	out, answers := n.out, n.answers
	n.out, n.answers = nil, nil
	clear(n.open)
	return out, answers
}

// maxEntries bounds a datagram, so that it fits one packet of the network.
const maxEntries = 16

// packet is the datagram under way to a host.
func (n *Node) packet(to string) *msg.TeamPacket {
	if i, ok := n.open[to]; ok {
		if p := n.out[i].Packet; len(p.Usages)+len(p.Levels)+len(p.Notices) < maxEntries {
			return p
		}
	}
	p := &msg.TeamPacket{From: n.cfg.Host, Incarnation: n.cfg.Incarnation}
	n.open[to] = len(n.out)
	n.out = append(n.out, Outbound{To: to, Packet: p})
	return p
}

// Step takes a datagram of another host.
func (n *Node) Step(now time.Time, p *msg.TeamPacket) {
	n.wake(now)
	for i := range p.Usages {
		n.takeUse(now, p, &p.Usages[i])
	}
	for i := range p.Levels {
		n.takeLevel(now, p.From, &p.Levels[i])
	}
	for i := range p.Notices {
		n.takeNotice(now, &p.Notices[i])
	}
}

// Tick sends what is due and gives up what was not answered.
func (n *Node) Tick(now time.Time) {
	n.wake(now)
	n.tickAsks(now)
	for _, team := range slices.Sorted(maps.Keys(n.due)) {
		n.tellUse(now, n.due[team])
	}
	for _, team := range slices.Sorted(maps.Keys(n.close)) {
		a := n.close[team]
		if !n.keeps(a) && !n.standsIn(a) || a.level(now) < calmAt*a.room() {
			delete(n.close, team)
			continue
		}
		if now.Sub(a.noticed) >= closeAgain {
			n.notify(now, a)
		} else {
			n.shadow(now, a)
		}
	}
	if now.Sub(n.swept) >= sweepEvery {
		n.sweep(now)
	}
}

// wake notes that this host has been kept from running: others stood in for it
// meanwhile, and what it was asked for waits no more.
func (n *Node) wake(now time.Time) {
	if now.Sub(n.ran) > pause {
		n.resumed = now
	}
	n.ran = now
}

// learning says that this host hears first what was done in its place.
func (n *Node) learning(now time.Time) bool {
	return !n.resumed.IsZero() && now.Sub(n.resumed) < learnFor
}

func (n *Node) sweep(now time.Time) {
	n.swept = now
	for id, by := range n.settled {
		if now.Sub(by.at) > sweepEvery {
			delete(n.settled, id)
		}
	}
	for team, a := range n.accounts {
		if now.Sub(a.touched) > keepIdle && a.count == a.told && n.close[team] == nil {
			delete(n.accounts, team)
		}
	}
}
