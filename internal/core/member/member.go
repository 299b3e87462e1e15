// Package member detects which hosts are alive, based on SWIM: direct and indirect
// probes, suspicion before death, and refutation by the suspect.
//
// Each host publishes a versioned entry about itself, of which it is the only writer.
// Package config replicates the entries; this package only compares versions. A claim
// refers to one version of a host, and the host refutes it by publishing a greater one.
// Probes are frequent within a data centre and rare across data centres. The package
// performs no I/O.
package member

import (
	"math/rand/v2"
	"sort"
	"time"

	"github.com/radishhoist/radishhoist/internal/msg"
)

// Status is the state of a host as seen by this process.
type Status uint8

const (
	// Alive is a host that responds.
	Alive Status = iota
	// Suspect is a host that did not respond and may still refute the suspicion.
	Suspect
	// Dead is a host that did not refute in time.
	Dead
)

// String returns the name of the status.
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

// Config holds the parameters of a Node.
type Config struct {
	// Host is this host's name.
	Host string
	// ProbeInterval is the time between two probes. A shorter interval detects dead
	// hosts sooner and sends more packets.
	ProbeInterval time.Duration
	// ProbeTimeout is the time without an answer after which a direct probe is followed
	// by indirect ones. It must exceed the round trip across data centres.
	ProbeTimeout time.Duration
	// SuspicionTimeout is how long a suspect may refute. A shorter timeout detects dead
	// hosts sooner and declares more live hosts dead.
	SuspicionTimeout time.Duration
	// IndirectProbes is the number of hosts asked to probe indirectly.
	IndirectProbes int
	// RemoteProbeShare is the fraction of probes sent to another data centre.
	RemoteProbeShare float64
	// DeadProbeInterval is the time between two probes of hosts considered dead. These
	// probes heal a partition in which both sides consider each other dead.
	DeadProbeInterval time.Duration
	// ClaimsPerPacket is the maximum number of claims in one packet. When many hosts die at
	// once, the time until all others know grows with the number of packets that it takes
	// to name them; a packet should still fit one Ethernet frame.
	ClaimsPerPacket int
}

// DefaultConfig returns parameters for data centres a few milliseconds apart.
func DefaultConfig(host string) Config {
	return Config{
		Host:              host,
		ProbeInterval:     time.Second,
		ProbeTimeout:      300 * time.Millisecond,
		SuspicionTimeout:  4 * time.Second,
		IndirectProbes:    3,
		RemoteProbeShare:  0.1,
		DeadProbeInterval: 5 * time.Second,
		ClaimsPerPacket:   40,
	}
}

// Member is a host as seen by this process.
type Member struct {
	Host     string
	DC       string
	PeerAddr string
	Version  int64
	Status   Status
	// Since is when the status last changed.
	Since time.Time
	// LastHeard is when the last packet from the host arrived.
	LastHeard time.Time
	// descriptorVersion is the version that DC and PeerAddr belong to; Version may be
	// newer.
	descriptorVersion int64
	// listed reports whether the host is in the live lists, under listedDC.
	listed   bool
	listedDC string
}

// Change is a change of a host's status.
type Change struct {
	Host   string
	Status Status
	// Returned reports that the host is alive again after it was considered dead.
	Returned bool
}

// Datagram is a packet to send to an address.
type Datagram struct {
	To     string
	Packet *msg.MemberPacket
}

// Node is the membership state of one host. It is not safe for concurrent use.
type Node struct {
	cfg      Config
	rng      *rand.Rand
	dc       string
	peerAddr string
	version  int64

	members map[string]*Member
	live    liveLists
	// suspects holds the members that may still refute.
	suspects  map[string]*Member
	probeRing []string

	seq                 uint64
	probes              map[uint64]*probe
	relays              map[uint64]relay
	nextProbe           time.Time
	nextDeadProbe       time.Time
	consecutiveFailures int
	rumors              map[string]*rumor

	suspected bool
	out       []Datagram
	changes   []Change
}

// probe is a probe without an answer yet.
type probe struct {
	host     string
	sent     time.Time
	indirect bool
}

// relay is an indirect probe that this host makes for another one. seq is the sequence
// number of the requester's probe.
type relay struct {
	requesterAddr string
	seq           uint64
	sent          time.Time
}

// rumor is a claim that is still being disseminated.
type rumor struct {
	claim     msg.MemberClaim
	sendsLeft int
}

// New returns a Node for a host that listens for packets at peerAddr.
func New(cfg Config, dc, peerAddr string, version int64, rng *rand.Rand) *Node {
	return &Node{
		cfg: cfg, rng: rng, dc: dc, peerAddr: peerAddr, version: version,
		members:  make(map[string]*Member),
		live:     liveLists{ownDC: dc},
		suspects: make(map[string]*Member),
		probes:   make(map[uint64]*probe),
		relays:   make(map[uint64]relay),
		rumors:   make(map[string]*rumor),
	}
}

// SetVersion records that this host has published a new version of its entry.
func (n *Node) SetVersion(v int64) {
	n.version = v
	n.suspected = false
}

// Suspected reports whether others claim that this host's current version is not alive.
// The caller publishes a greater version to refute the claim.
func (n *Node) Suspected() bool { return n.suspected }

// Isolated reports whether so many consecutive probes sent by this host failed that it
// cannot tell whether other hosts are alive.
func (n *Node) Isolated() bool { return n.consecutiveFailures >= isolationThreshold }

// isolationThreshold is the number of consecutive failed probes from which the fault is
// assumed to be local. Consecutive probes usually go to different hosts, but this is not
// checked: in a small fleet they may all have gone to the same one.
const isolationThreshold = 3

// Members returns the known hosts except this one, sorted by name.
func (n *Node) Members() []Member {
	out := make([]Member, 0, len(n.members))
	for _, m := range n.members {
		out = append(out, *m)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Host < out[j].Host })
	return out
}

// Status returns the status of a host; an unknown host is Dead.
func (n *Node) Status(host string) Status {
	if host == n.cfg.Host {
		return Alive
	}
	if m, ok := n.members[host]; ok {
		return m.Status
	}
	return Dead
}

// Live returns the hosts not considered dead, sorted by name: those of this data centre,
// and one list for each other data centre. The lists are valid until the next call of a
// method of the Node and must not be modified.
func (n *Node) Live() (local []string, remote [][]string) { return n.live.local, n.live.remote }

// NoPeers reports whether no other host is known to be alive.
func (n *Node) NoPeers() bool {
	local, remote := n.Live()
	return len(local)+len(remote) == 0
}

// Take returns and clears the datagrams to send and the status changes.
func (n *Node) Take() ([]Datagram, []Change) {
	out, changes := n.out, n.changes
	n.out, n.changes = nil, nil
	return out, changes
}

// Update processes a host's published entry. A version greater than the known one proves
// that the host is alive and refutes older claims.
func (n *Node) Update(now time.Time, host, dc, peerAddr string, version int64) {
	if host == n.cfg.Host {
		return
	}
	m, ok := n.members[host]
	if !ok {
		m = &Member{Host: host, Status: Dead}
		n.members[host] = m
	}
	if ok && version <= m.descriptorVersion {
		return
	}
	m.DC, m.PeerAddr, m.descriptorVersion = dc, peerAddr, version
	n.confirmAlive(now, m, version)
	n.live.update(m)
}

// confirmAlive marks a host alive if the version is newer than all claims about it.
func (n *Node) confirmAlive(now time.Time, m *Member, version int64) {
	if version <= m.Version {
		return
	}
	m.Version = version
	delete(n.rumors, m.Host)
	n.setStatus(now, m, Alive)
}

// Forget removes a host that has left permanently.
func (n *Node) Forget(host string) {
	if m, ok := n.members[host]; ok {
		n.live.removeMember(m)
	}
	delete(n.members, host)
	delete(n.suspects, host)
	delete(n.rumors, host)
}

func (n *Node) setStatus(now time.Time, m *Member, s Status) {
	if m.Status == s {
		return
	}
	// A host that has just become known is Dead since the zero time.
	returned := s == Alive && m.Status == Dead && !m.Since.IsZero()
	m.Status = s
	m.Since = now
	if s == Suspect {
		n.suspects[m.Host] = m
	} else {
		delete(n.suspects, m.Host)
	}
	n.live.update(m)
	n.changes = append(n.changes, Change{Host: m.Host, Status: s, Returned: returned})
}
