package config

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/radishhoist/radishhoist/internal/msg"
)

// Config holds the parameters of a Node.
type Config struct {
	// FanOut is the number of peers that a rumor is pushed to. A larger value reaches
	// more hosts in the first round and sends more messages; repair covers the rest.
	FanOut int
	// RepairInterval is the time between two digests to a random peer.
	RepairInterval time.Duration
	// RemoteFanOut is the number of hosts in each other data centre that a host's own
	// updates are pushed to. With two, an update still arrives if one of them has just
	// died.
	RemoteFanOut int
	// RemoteRepairShare is the minimum fraction of digests sent to another data centre.
	// In a small data centre the fraction is larger, so that each data centre starts
	// about one such repair per interval or more.
	RemoteRepairShare float64
	// MaxBatchBytes bounds the size of the entries in one message.
	MaxBatchBytes int
}

// DefaultConfig returns parameters for a fleet of up to a few thousand hosts.
func DefaultConfig() Config {
	return Config{FanOut: 3, RepairInterval: 5 * time.Second, RemoteFanOut: 2, RemoteRepairShare: 0.1, MaxBatchBytes: 256 << 10}
}

// Peers holds the names of the live peers.
type Peers struct {
	// Local are the hosts in the same data centre.
	Local []string
	// Remote are the hosts in other data centres, one list per data centre.
	Remote [][]string
}

func (p Peers) empty() bool { return len(p.Local)+len(p.Remote) == 0 }

// Outbound is a message to send.
type Outbound struct {
	To  string
	Msg msg.Message
}

// Applied is an entry that has been applied to a set.
type Applied struct {
	Set   msg.SetID
	Entry msg.Entry
	// From is the peer that sent it, empty for the platform or this host.
	From string
}

// Node is the replication state of one host. It is not safe for concurrent use: the
// caller drives it with Step and Tick and sends what Take returns.
type Node struct {
	cfg  Config
	rng  *rand.Rand
	sets [msg.SetCount]*Set
	// complete reports for each set whether it has been complete at least once. It is
	// always true for the sets that need no snapshot.
	complete [msg.SetCount]bool
	// now is the time of the last Tick.
	now time.Time
	// pendingPulls holds the time at which each entry was requested from a peer.
	pendingPulls        map[pullKey]time.Time
	nextRepair          time.Time
	nextReturnRepair    time.Time
	snapshotRequestedAt [msg.SetCount]time.Time
	snapshots           [msg.SetCount]incomingSnapshot
	relayQueue          relayQueue
	resends             []resend
	out                 []Outbound
	applied             []Applied
}

// incomingSnapshot is the progress of receiving a complete set.
type incomingSnapshot struct {
	from     string
	nextPart uint32
}

// pullKey identifies one version of an entry.
type pullKey struct {
	set     msg.SetID
	key     Key
	version int64
}

const (
	// minAnnouncedBytes is the value size from which only the version of a new entry is
	// pushed, because a rumor reaches most hosts several times. The peer pulls the value.
	minAnnouncedBytes = 2 << 10
	// pullTimeout is how long a requested entry is not requested from other peers.
	pullTimeout = 300 * time.Millisecond
)

const (
	// snapshotTimeout is how long to wait for a complete set before it is requested again,
	// from a random peer.
	snapshotTimeout = 3 * time.Second
	// incompleteRetry is the time after which another peer is asked if the set of the first
	// one is incomplete too. When all hosts start at once, a few read the set from the
	// platform, and with each round about twice as many have it.
	incompleteRetry = 150 * time.Millisecond
	// returnRepairInterval is the minimum time between two repairs with returned hosts.
	returnRepairInterval = 200 * time.Millisecond
)

// NewNode returns a Node with empty sets.
func NewNode(cfg Config, rng *rand.Rand) *Node {
	n := &Node{cfg: cfg, rng: rng, pendingPulls: make(map[pullKey]time.Time)}
	for i := range n.sets {
		n.sets[i] = NewSet()
	}
	// The sets of hosts and crashes need no complete snapshot at the start: repair
	// fills them.
	n.complete[msg.SetHosts], n.complete[msg.SetCrashes] = true, true
	return n
}

// Set returns one replicated set for reading.
func (n *Node) Set(id msg.SetID) *Set { return n.sets[id] }

// Complete reports whether the record set has been complete at least once, so that traffic
// may be served from it.
func (n *Node) Complete() bool { return n.complete[msg.SetRecords] }

// Take returns and clears the messages to send and the entries applied since the last
// call.
func (n *Node) Take() ([]Outbound, []Applied) {
	out, applied := n.out, n.applied
	n.out, n.applied = nil, nil
	return out, applied
}

// Publish applies entries from the platform or from this host and pushes them to peers.
func (n *Node) Publish(peers Peers, set msg.SetID, entries []msg.Entry) {
	n.applyAndPush(peers, set, "", entries)
}

// Resend pushes an entry again, to as many peers as when it was new, for peers that were
// unknown at the time.
func (n *Node) Resend(peers Peers, set msg.SetID, key Key) {
	e, held := n.sets[set].Get(key)
	if !held {
		return
	}
	for _, to := range n.pushPeers(peers, "") {
		n.push(to, set, []msg.Entry{e})
	}
}

// List is a complete list from the platform.
type List struct {
	Entries []msg.Entry
	// Revision is the version up to which the list is current, and HistoryStart a version
	// greater than all from before the platform's last restoration from an earlier state.
	Revision, HistoryStart int64
}

// LoadList applies a list. Entries that are not listed and not newer than its revision were
// deleted without notice: they become tombstones. Those from before the last restoration are
// kept, because the platform may have lost them. covers reports for which kinds the list is complete; nil means all kinds,
// which makes the set complete.
func (n *Node) LoadList(peers Peers, l List, covers func(kind string) bool) {
	s := n.sets[msg.SetRecords]
	entries := l.Entries
	listed := make(map[Key]bool, len(entries))
	for _, e := range entries {
		listed[Key{e.Kind, e.Name}] = true
	}
	s.Each(func(e msg.Entry) {
		covered := covers == nil || covers(e.Kind)
		known := e.Version >= l.HistoryStart && e.Version <= l.Revision
		if covered && known && !e.Deleted && !listed[Key{e.Kind, e.Name}] {
			entries = append(entries, msg.Entry{Kind: e.Kind, Name: e.Name, Version: l.Revision, Deleted: true})
		}
	})
	n.applyAndPush(peers, msg.SetRecords, "", entries)
	n.complete[msg.SetRecords] = n.complete[msg.SetRecords] || covers == nil
}

// applyAndPush applies entries and pushes those that were new.
func (n *Node) applyAndPush(peers Peers, set msg.SetID, from string, entries []msg.Entry) {
	var updates []msg.Entry
	for _, e := range entries {
		if n.sets[set].Apply(e) {
			updates = append(updates, e)
			n.applied = append(n.applied, Applied{Set: set, Entry: e, From: from})
		}
	}
	if len(updates) == 0 {
		return
	}
	if from != "" && set == msg.SetHosts {
		n.relayQueue.add(from, updates)
		n.flushRelays(peers)
		return
	}
	if set == msg.SetCrashes {
		n.scheduleResend(from, updates)
	}
	for _, to := range n.pushPeers(peers, from) {
		n.push(to, set, updates)
	}
}

// pushPeers picks FanOut local peers and, for updates that originate here, RemoteFanOut
// peers in each other data centre.
func (n *Node) pushPeers(peers Peers, from string) []string {
	var out []string
	local := peers.Local
	for _, i := range n.sample(len(local), n.cfg.FanOut+1) {
		if local[i] != from && len(out) < n.cfg.FanOut {
			out = append(out, local[i])
		}
	}
	if from != "" {
		return out
	}
	for _, dc := range peers.Remote {
		for _, i := range n.sample(len(dc), n.cfg.RemoteFanOut) {
			out = append(out, dc[i])
		}
	}
	return out
}

// sample returns min(k, size) distinct random indexes below size.
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

// push sends entries as rumors. For entries with large values it sends only the versions.
func (n *Node) push(to string, set msg.SetID, entries []msg.Entry) {
	var small []msg.Entry
	var large []msg.VersionItem
	for _, e := range entries {
		if len(e.Value) >= minAnnouncedBytes {
			large = append(large, msg.VersionItem{Kind: e.Kind, Name: e.Name, Version: e.Version})
		} else {
			small = append(small, e)
		}
	}
	if len(large) > 0 {
		n.send(to, &msg.Versions{Set: set, Items: large})
	}
	if len(small) > 0 {
		n.pushValues(to, set, small)
	}
}

// pushValues sends entries as rumors in batches, including large values.
func (n *Node) pushValues(to string, set msg.SetID, entries []msg.Entry) {
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
		if i > start && (size > n.cfg.MaxBatchBytes || i-start >= maxBatchEntries) {
			out = append(out, entries[start:i])
			start, size = i, e.Msgsize()
		}
	}
	return append(out, entries[start:])
}

func (n *Node) send(to string, m msg.Message) {
	n.out = append(n.out, Outbound{To: to, Msg: m})
}

// Tick starts repairs and sends the entries that are due to be relayed or pushed again.
// Until the record set is complete, it requests the set from peers.
func (n *Node) Tick(now time.Time, peers Peers) {
	n.now = now
	n.flushRelays(peers)
	n.sendDueResends(peers)
	n.expirePulls()
	n.pullSnapshot(now, peers)
	if now.Before(n.nextRepair) {
		return
	}
	// Jitter spreads the repairs of hosts that started at the same time.
	n.nextRepair = now.Add(n.cfg.RepairInterval/2 + time.Duration(n.rng.Int64N(int64(n.cfg.RepairInterval))))
	to, ok := n.repairPeer(peers)
	if !ok {
		return
	}
	n.sendDigests(to)
}

// RepairReturned starts a repair with a host that is alive again, since both sides may have
// missed entries. After a partition many hosts return at once, of which a few are enough.
func (n *Node) RepairReturned(host string) {
	if n.now.Before(n.nextReturnRepair) {
		return
	}
	n.nextReturnRepair = n.now.Add(returnRepairInterval)
	n.sendDigests(host)
}

// sendDigests starts a repair with a peer.
func (n *Node) sendDigests(to string) {
	for id, s := range n.sets {
		if msg.SetID(id) == msg.SetCrashes && len(s.entries) == 0 {
			continue // usually empty; a peer whose set is not empty starts the repair
		}
		n.send(to, n.digest(msg.SetID(id)))
	}
}

func (n *Node) digest(id msg.SetID) *msg.Digest {
	return &msg.Digest{Set: id, Root: n.sets[id].Root(), Complete: n.complete[id]}
}

// expirePulls drops requests older than pullTimeout.
func (n *Node) expirePulls() {
	for key, at := range n.pendingPulls {
		if n.now.Sub(at) >= pullTimeout {
			delete(n.pendingPulls, key)
		}
	}
}

// repairPeer picks the peer for the next repair.
func (n *Node) repairPeer(peers Peers) (string, bool) {
	if peers.empty() {
		return "", false
	}
	remoteShare := max(n.cfg.RemoteRepairShare, 1/float64(len(peers.Local)+1))
	list := peers.Local
	if len(peers.Remote) > 0 && (len(list) == 0 || n.rng.Float64() < remoteShare) {
		list = peers.Remote[n.rng.IntN(len(peers.Remote))]
	}
	if len(list) == 0 {
		return "", false
	}
	return list[n.rng.IntN(len(list))], true
}

func (n *Node) pullSnapshot(now time.Time, peers Peers) {
	if to, ok := n.repairPeer(peers); ok {
		if m := n.RequestRecords(now, to); m != nil {
			n.send(to, m)
		}
	}
}

// RequestRecords returns the message that requests the record set from a host, nil if the set
// is complete or a request is pending. The caller sends it; the host need not be a peer yet.
func (n *Node) RequestRecords(now time.Time, host string) *msg.Pull {
	const id = msg.SetRecords
	if n.complete[id] || now.Sub(n.snapshotRequestedAt[id]) < snapshotTimeout {
		return nil
	}
	n.snapshotRequestedAt[id] = now
	n.snapshots[id] = incomingSnapshot{from: host}
	return &msg.Pull{Set: id, All: true}
}
