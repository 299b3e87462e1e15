package config

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/radishhoist/radishhoist/internal/msg"
)

// Config has the parameters of a Node.
type Config struct {
	// FanOut is how many peers a rumor is pushed to. More reaches further in
	// the first round and sends more; repair finds the rest.
	FanOut int
	// RepairInterval is the time between two digests to a random peer.
	RepairInterval time.Duration
	// FarCopies is how many hosts of each other data centre a host's own
	// news is pushed to. Two ride out one that has just died.
	FarCopies int
	// FarShare is the least share of digests that go to another data centre;
	// in a small data centre the share is larger, so that each data centre
	// opens at least about one such repair in every interval.
	FarShare float64
	// MaxBatch bounds the entries' bytes in one message.
	MaxBatch int
}

// DefaultConfig suits a fleet of up to a few thousand hosts.
func DefaultConfig() Config {
	return Config{FanOut: 3, RepairInterval: 5 * time.Second, FarCopies: 2, FarShare: 0.1, MaxBatch: 256 << 10}
}

// Peers gives the live peers to choose from, by host name.
type Peers struct {
	// Local are those in the same data centre.
	Local []string
	// Remote are the others, a list for each data centre.
	Remote [][]string
}

// empty says there is nobody.
func (p Peers) empty() bool { return len(p.Local)+len(p.Remote) == 0 }

// Outbound is one message to send.
type Outbound struct {
	To  string
	Msg msg.Message
}

// Applied is one entry that has come into force in a set.
type Applied struct {
	Set   msg.SetID
	Entry msg.Entry
	// From is the peer it came from, empty for the platform or this host.
	From string
}

// Node is one host's share in the replication. It is not safe for concurrent
// use: the caller steps it, ticks it, and takes what it has to send.
type Node struct {
	cfg   Config
	rng   *rand.Rand
	sets  [msg.Sets]*Set
	whole [msg.Sets]bool

	// now is the time of the last Tick.
	now time.Time
	// pulled are the entries asked of a peer, and when.
	pulled     map[pullKey]time.Time
	nextRepair time.Time
	pullingAll [msg.Sets]time.Time
	snapshot   [msg.Sets]snapshot
	relays     relays
	retellings []retelling
	out        []Outbound
	applied    []Applied
}

// snapshot is a whole set on its way in.
type snapshot struct {
	from string
	next uint32
}

// pullKey names one version of an entry.
type pullKey struct {
	set     msg.SetID
	key     Key
	version int64
}

const (
	// largeValue is from what size on, in bytes, a fresh entry is announced
	// instead of pushed: a rumor reaches most hosts several times.
	largeValue = 2 << 10
	// pullAgain is how long an entry that was asked for is not asked of others.
	pullAgain = 300 * time.Millisecond
)

// pullRetry is how long a whole set may be on its way before another peer is
// asked.
const pullRetry = 3 * time.Second

// NewNode makes a Node with empty sets.
func NewNode(cfg Config, rng *rand.Rand) *Node {
	n := &Node{cfg: cfg, rng: rng, pulled: make(map[pullKey]time.Time)}
	for i := range n.sets {
		n.sets[i] = NewSet()
	}
	// What hosts say of themselves and of ends needs no complete start: repair fills it.
	n.whole[msg.SetHosts], n.whole[msg.SetEnds] = true, true
	return n
}

// Set gives one replicated set, to read.
func (n *Node) Set(id msg.SetID) *Set { return n.sets[id] }

// Complete says the record set was complete at least once, so that traffic may
// be served from it.
func (n *Node) Complete() bool { return n.whole[msg.SetRecords] }

// Take gives what is to be sent and what has come into force since last time.
func (n *Node) Take() ([]Outbound, []Applied) {
	out, applied := n.out, n.applied
	n.out, n.applied = nil, nil
	return out, applied
}

// Publish applies entries from the platform or of this host and spreads them.
func (n *Node) Publish(peers Peers, set msg.SetID, entries []msg.Entry) {
	n.take(peers, set, "", entries)
}

// Resend sends an entry once more to as many peers as when it was news, for peers that
// were not known then.
func (n *Node) Resend(peers Peers, set msg.SetID, key Key) {
	e, held := n.sets[set].Get(key)
	if !held {
		return
	}
	for _, to := range n.targets(peers, "") {
		n.push(to, set, []msg.Entry{e})
	}
}

// LoadList takes a complete list from the platform at a revision. Entries that
// are not in it and are no newer were deleted unseen: they get tombstones. covers
// says of which kinds the list is complete; nil means of all, which makes the set
// whole.
func (n *Node) LoadList(peers Peers, entries []msg.Entry, revision int64, covers func(kind string) bool) {
	s := n.sets[msg.SetRecords]
	listed := make(map[Key]bool, len(entries))
	for _, e := range entries {
		listed[Key{e.Kind, e.Name}] = true
	}
	s.Each(func(e msg.Entry) {
		covered := covers == nil || covers(e.Kind)
		if covered && !e.Deleted && e.Version <= revision && !listed[Key{e.Kind, e.Name}] {
			entries = append(entries, msg.Entry{Kind: e.Kind, Name: e.Name, Version: revision, Deleted: true})
		}
	})
	n.take(peers, msg.SetRecords, "", entries)
	n.whole[msg.SetRecords] = n.whole[msg.SetRecords] || covers == nil
}

// take applies entries and pushes on those that were news.
func (n *Node) take(peers Peers, set msg.SetID, from string, entries []msg.Entry) {
	var news []msg.Entry
	for _, e := range entries {
		if n.sets[set].Apply(e) {
			news = append(news, e)
			n.applied = append(n.applied, Applied{Set: set, Entry: e, From: from})
		}
	}
	if len(news) == 0 {
		return
	}
	if from != "" && set == msg.SetHosts {
		n.relays.wait(from, news)
		n.relay(peers)
		return
	}
	if set == msg.SetEnds {
		n.retellLater(from, news)
	}
	for _, to := range n.targets(peers, from) {
		n.push(to, set, news)
	}
}

// targets picks FanOut near peers, and FarCopies in each other data centre
// for news that starts here.
func (n *Node) targets(peers Peers, from string) []string {
	var out []string
	near := peers.Local
	for _, i := range n.sample(len(near), n.cfg.FanOut+1) {
		if near[i] != from && len(out) < n.cfg.FanOut {
			out = append(out, near[i])
		}
	}
	if from != "" {
		return out
	}
	for _, dc := range peers.Remote {
		for _, i := range n.sample(len(dc), n.cfg.FarCopies) {
			out = append(out, dc[i])
		}
	}
	return out
}

// sample draws up to k different indexes below size.
func (n *Node) sample(size, k int) []int {
	if k >= size {
		return n.rng.Perm(size)
	}
	out := make([]int, 0, k)
	for len(out) < k {
		i := n.rng.IntN(size)
		if !slices.Contains(out, i) {
			out = append(out, i)
		}
	}
	return out
}

// push sends entries as rumors; of large ones only that they are there.
func (n *Node) push(to string, set msg.SetID, entries []msg.Entry) {
	var small []msg.Entry
	var large []msg.VersionItem
	for _, e := range entries {
		if len(e.Value) >= largeValue {
			large = append(large, msg.VersionItem{Kind: e.Kind, Name: e.Name, Version: e.Version})
		} else {
			small = append(small, e)
		}
	}
	if len(large) > 0 {
		n.send(to, &msg.Versions{Set: set, Items: large})
	}
	if len(small) > 0 {
		n.pushWhole(to, set, small)
	}
}

// pushWhole sends entries as rumors, in batches.
func (n *Node) pushWhole(to string, set msg.SetID, entries []msg.Entry) {
	for _, batch := range n.batches(entries) {
		n.send(to, &msg.Rumor{Set: set, Entries: batch})
	}
}

// maxBatchEntries bounds the entries of one message.
const maxBatchEntries = 4096

func (n *Node) batches(entries []msg.Entry) [][]msg.Entry {
	var out [][]msg.Entry
	start, size := 0, 0
	for i, e := range entries {
		size += e.Msgsize()
		if i > start && (size > n.cfg.MaxBatch || i-start >= maxBatchEntries) {
			out = append(out, entries[start:i])
			start, size = i, e.Msgsize()
		}
	}
	return append(out, entries[start:])
}

func (n *Node) send(to string, m msg.Message) {
	n.out = append(n.out, Outbound{To: to, Msg: m})
}

// Tick opens repairs and, until the record set is whole, asks peers for it.
func (n *Node) Tick(now time.Time, peers Peers) {
	n.now = now
	n.relay(peers)
	n.retell(peers)
	n.forgetPulls()
	n.pullWhole(now, peers)
	if now.Before(n.nextRepair) {
		return
	}
	// Jitter keeps a fleet that started at once from repairing at once.
	n.nextRepair = now.Add(n.cfg.RepairInterval/2 + time.Duration(n.rng.Int64N(int64(n.cfg.RepairInterval))))
	to, ok := n.partner(peers)
	if !ok {
		return
	}
	for id, s := range n.sets {
		if msg.SetID(id) == msg.SetEnds && len(s.entries) == 0 {
			continue // there are none on most days, and a peer that has some opens a repair
		}
		n.send(to, &msg.Digest{Set: msg.SetID(id), Root: s.Root(), Complete: n.whole[id]})
	}
}

// forgetPulls drops what was asked for long ago.
func (n *Node) forgetPulls() {
	for key, at := range n.pulled {
		if n.now.Sub(at) >= pullAgain {
			delete(n.pulled, key)
		}
	}
}

// partner picks whom to repair with.
func (n *Node) partner(peers Peers) (string, bool) {
	if peers.empty() {
		return "", false
	}
	share := max(n.cfg.FarShare, 1/float64(len(peers.Local)+1))
	list := peers.Local
	if len(peers.Remote) > 0 && (len(list) == 0 || n.rng.Float64() < share) {
		list = peers.Remote[n.rng.IntN(len(peers.Remote))]
	}
	if len(list) == 0 {
		return "", false
	}
	return list[n.rng.IntN(len(list))], true
}

func (n *Node) pullWhole(now time.Time, peers Peers) {
	const id = msg.SetRecords
	if n.whole[id] || now.Sub(n.pullingAll[id]) < pullRetry {
		return
	}
	to, ok := n.partner(peers)
	if !ok {
		return
	}
	n.pullingAll[id] = now
	n.snapshot[id] = snapshot{from: to}
	n.send(to, &msg.Pull{Set: id, All: true})
}
