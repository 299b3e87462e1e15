// Package member finds out which hosts live, in the manner of SWIM: direct
// and indirect probes, suspicion before death, and refutation by the accused.
//
// What a host says of itself travels as a versioned entry with the host as its
// only writer (package config); here a version is only compared. A claim about
// a host is about one version of it, and the host refutes by writing a greater
// one. Probes are dense within a data centre and sparse across. The package
// does no I/O.
package member

import (
	"math/rand/v2"
	"sort"
	"time"

	"github.com/radishhoist/radishhoist/internal/msg"
)

// Status is a host's life as this process sees it.
type Status uint8

const (
	// Alive is the state of a host that answers.
	Alive Status = iota
	// Suspect is a host that did not answer and may still refute.
	Suspect
	// Dead is a host that did not refute in time.
	Dead
)

// String names the status.
func (s Status) String() string {
	switch s {
	case Suspect:
		return "suspect"
	case Dead:
		return "dead"
	default:
		return "alive"
	}
}

// Config has the parameters of a Node.
type Config struct {
	// Host is this host's name.
	Host string
	// ProbeInterval is the time between two probes. Shorter finds dead hosts
	// sooner and sends more.
	ProbeInterval time.Duration
	// ProbeTimeout is how long a direct probe may go unanswered before
	// others are asked; it must exceed the round trip across data centres.
	ProbeTimeout time.Duration
	// SuspicionTimeout is how long a suspect may refute. Shorter is quicker and
	// wrong more often.
	SuspicionTimeout time.Duration
	// Helpers is how many hosts are asked to probe indirectly.
	Helpers int
	// FarShare is the share of probes that go to another data centre.
	FarShare float64
	// DeadProbe is the time between two probes of a host held for dead, which
	// heal a split whose both sides hold each other for dead.
	DeadProbe time.Duration
	// ClaimsPerPacket bounds the claims in one packet.
	ClaimsPerPacket int
}

// DefaultConfig suits data centres a few milliseconds apart.
func DefaultConfig(host string) Config {
	return Config{
		Host:             host,
		ProbeInterval:    time.Second,
		ProbeTimeout:     300 * time.Millisecond,
		SuspicionTimeout: 4 * time.Second,
		Helpers:          3,
		FarShare:         0.1,
		DeadProbe:        5 * time.Second,
		ClaimsPerPacket:  12,
	}
}

// Member is one host as this process sees it.
type Member struct {
	Host     string
	DC       string
	PeerAddr string
	Version  int64
	Status   Status
	// Since is when the status began.
	Since time.Time
	// LastHeard is when a packet of the host last came.
	LastHeard time.Time
	// learnt is the version that DC and Peer are of; Version may be newer.
	learnt int64
	// listed says that the host is in the lists of live ones, under listedDC.
	listed   bool
	listedDC string
}

// Change is a status that has changed.
type Change struct {
	Host   string
	Status Status
}

// Datagram is one packet to send, to an address.
type Datagram struct {
	To     string
	Packet *msg.Packet
}

// Node is one host's membership. It is not safe for concurrent use.
type Node struct {
	cfg     Config
	rng     *rand.Rand
	dc      string
	peer    string
	version int64

	members map[string]*Member
	live    liveLists
	// suspects are the members that may still refute.
	suspects map[string]*Member
	ring     []string

	seq       uint64
	probes    map[uint64]*probe
	relays    map[uint64]relay
	nextProbe time.Time
	nextDead  time.Time
	failed    int
	notes     map[string]*rumor

	accused bool
	out     []Datagram
	changes []Change
}

// probe is one probe under way.
type probe struct {
	host     string
	sent     time.Time
	indirect bool
}

// relay is a probe made for another host.
type relay struct {
	peer string
	seq  uint64
	sent time.Time
}

// rumor is a claim still to be spread.
type rumor struct {
	note msg.MemberClaim
	left int
}

// New makes a Node for a host at an address.
func New(cfg Config, dc, peer string, version int64, rng *rand.Rand) *Node {
	return &Node{
		cfg: cfg, rng: rng, dc: dc, peer: peer, version: version,
		members:  make(map[string]*Member),
		live:     liveLists{own: dc},
		suspects: make(map[string]*Member),
		probes:   make(map[uint64]*probe),
		relays:   make(map[uint64]relay),
		notes:    make(map[string]*rumor),
	}
}

// SetVersion tells the Node that this host has written a new version of
// itself.
func (n *Node) SetVersion(v int64) {
	n.version = v
	n.accused = false
}

// Suspected says that others claim this host's present version is not alive:
// the caller writes a greater version to refute.
func (n *Node) Suspected() bool { return n.accused }

// Isolated says that this host hears almost nobody, so that its judgement of
// others is worth nothing.
func (n *Node) Isolated() bool { return n.failed >= isolatedAfter }

// isolatedAfter is how many probes in a row, of different hosts, may fail
// before the fault is sought here.
const isolatedAfter = 3

// Members lists the known hosts by name, without this one.
func (n *Node) Members() []Member {
	out := make([]Member, 0, len(n.members))
	for _, m := range n.members {
		out = append(out, *m)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Host < out[j].Host })
	return out
}

// Status reads one host's status; an unknown host is Dead.
func (n *Node) Status(host string) Status {
	if host == n.cfg.Host {
		return Alive
	}
	if m, ok := n.members[host]; ok {
		return m.Status
	}
	return Dead
}

// Live lists the hosts not held for dead, each list in order of name: those of
// the own data centre, and a list for each other one. The lists hold until the
// Node is next called and are not to be changed.
func (n *Node) Live() (near []string, far [][]string) { return n.live.near, n.live.far }

// NoPeers says that no other host is known to live.
func (n *Node) NoPeers() bool {
	near, far := n.Live()
	return len(near)+len(far) == 0
}

// Take gives what is to be sent and which statuses have changed.
func (n *Node) Take() ([]Datagram, []Change) {
	out, changes := n.out, n.changes
	n.out, n.changes = nil, nil
	return out, changes
}

// Update takes what a host says of itself. A greater version than known is
// proof of life and refutes older claims.
func (n *Node) Update(now time.Time, host, dc, peer string, version int64) {
	if host == n.cfg.Host {
		return
	}
	m, ok := n.members[host]
	if !ok {
		m = &Member{Host: host, Status: Dead}
		n.members[host] = m
	}
	if ok && version <= m.learnt {
		return
	}
	m.DC, m.PeerAddr, m.learnt = dc, peer, version
	n.revive(now, m, version)
	n.live.keep(m)
}

// revive takes a version of a host as proof of life where it is newer than
// every claim about the host.
func (n *Node) revive(now time.Time, m *Member, version int64) {
	if version <= m.Version {
		return
	}
	m.Version = version
	delete(n.notes, m.Host)
	n.setStatus(now, m, Alive)
}

// Forget drops a host that has left for good.
func (n *Node) Forget(host string) {
	if m, ok := n.members[host]; ok {
		n.live.drop(m)
	}
	delete(n.members, host)
	delete(n.suspects, host)
	delete(n.notes, host)
}

func (n *Node) setStatus(now time.Time, m *Member, s Status) {
	if m.Status == s {
		return
	}
	m.Status = s
	m.Since = now
	if s == Suspect {
		n.suspects[m.Host] = m
	} else {
		delete(n.suspects, m.Host)
	}
	n.live.keep(m)
	n.changes = append(n.changes, Change{Host: m.Host, Status: s})
}
