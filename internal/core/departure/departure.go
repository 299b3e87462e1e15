// Package departure makes the departure of an instance known outside the process that
// acknowledges it. A process that restarts has forgotten which instances have left, and a
// delayed announcement would bring them back. So a departure is stored in the host's record on
// the platform and held by a few other hosts, which return it to the host when it has restarted.
// The package performs no I/O.
package departure

import (
	"math/rand/v2"
	"time"

	"github.com/radishhoist/radishhoist/internal/core/announce"
	"github.com/radishhoist/radishhoist/internal/msg"
)

const (
	// Retention is how long a departure is kept: longer than announcements are delayed.
	Retention = 2 * time.Minute
	// resendInterval is the interval at which a notice is repeated until its receipt arrives,
	// and slowResendInterval that after quickSends times: the hosts that were asked are not
	// reachable, or run a build that sends no receipts.
	resendInterval     = 100 * time.Millisecond
	slowResendInterval = 2 * time.Second
	quickSends         = 20
	// returnTimeout is how long a departure is returned to a host that does not confirm it.
	returnTimeout = 10 * time.Second
	// localHolders and remoteHolders are the numbers of hosts of the own data centre and of
	// others that are asked to hold a departure. One more is asked with each repetition, up
	// to maxHolders.
	localHolders  = 2
	remoteHolders = 1
	maxHolders    = 8
	// minReceipts is the number of receipts that make a departure held. If other data centres
	// have live hosts, one receipt must be from there, since a whole data centre may restart.
	minReceipts = 2
	// maxOwn is the number of departures of the own host that are kept. Above it, the oldest is
	// dropped.
	maxOwn = 256
	// maxHeld is the number of departures held for other hosts. Above it, further ones are
	// not held.
	maxHeld = 4096
	// maxNameBytes limits the names of hosts and instances in departures that are held.
	maxNameBytes = 256
)

// Peers holds the names of the live hosts.
type Peers struct {
	// Local are the other hosts of the same data centre.
	Local []string
	// Remote are the hosts of other data centres, one list per data centre.
	Remote [][]string
}

// Outbound is a notice to send to another host.
type Outbound struct {
	To     string
	Notice *msg.DepartureNotice
}

// own is a departure of an instance of this host.
type own struct {
	departure announce.Departure
	// stored reports that the platform has the departure.
	stored bool
	// holders are the hosts that were asked to hold it, and whether they have confirmed that.
	holders map[string]*holder
	// sends is the number of times that notices were sent, and sendAt the next time.
	sends  int
	sendAt time.Time
}

type holder struct{ remote, confirmed bool }

// heldKey identifies a departure held for another host.
type heldKey struct{ host, instance string }

// held is a departure held for another host.
type held struct {
	departure announce.Departure
	// incarnation is that of the host's process that knows the departure. returnUntil is set
	// while the departure is returned to a later process, of incarnation returnTo.
	incarnation, returnTo uint64
	returnUntil, sendAt   time.Time
}

// Node is the state of one host. It is not safe for concurrent use: the caller drives it with
// the Step methods and Tick, and sends what Take returns.
type Node struct {
	host        string
	incarnation uint64
	rng         *rand.Rand
	own         map[string]*own
	held        map[heldKey]*held
	peers       Peers
	out         []Outbound
}

// New returns a Node for a process of a host.
func New(host string, incarnation uint64, rng *rand.Rand) *Node {
	return &Node{host: host, incarnation: incarnation, rng: rng, own: make(map[string]*own), held: make(map[heldKey]*held)}
}

// Record adds a departure of an instance of this host and asks other hosts to hold it. It
// reports whether it was new.
func (n *Node) Record(now time.Time, d announce.Departure, peers Peers) bool {
	if o, ok := n.own[d.Instance]; ok && o.departure.Covers(d) {
		return false
	}
	n.add(d, false)
	n.Tick(now, peers)
	return true
}

// add adds a departure of an instance of this host.
func (n *Node) add(d announce.Departure, stored bool) {
	n.own[d.Instance] = &own{departure: d, stored: stored, holders: make(map[string]*holder)}
	if len(n.own) <= maxOwn {
		return
	}
	oldest := d.Instance
	for instance, o := range n.own {
		if o.departure.At.Before(n.own[oldest].departure.At) {
			oldest = instance
		}
	}
	delete(n.own, oldest)
}

// Restore adds a departure that an earlier process of this host has recorded, and reports whether
// it was new. stored reports that it was read from the platform.
func (n *Node) Restore(now time.Time, d announce.Departure, stored bool) bool {
	if now.Sub(d.At) > Retention {
		return false
	}
	o, known := n.own[d.Instance]
	if !known {
		n.add(d, stored)
		return true
	}
	merged := o.departure.Merge(d)
	if merged.Stamp == o.departure.Stamp && merged.Gone == o.departure.Gone {
		return false
	}
	o.departure, o.stored, o.holders = merged, stored && merged.Stamp == d.Stamp && merged.Gone == d.Gone, make(map[string]*holder)
	return true
}

// Revoke forgets the departure of an instance that has announced that it is ready again. A start
// that has left for good does not return.
func (n *Node) Revoke(instance string) {
	if o, ok := n.own[instance]; ok && !o.departure.Gone {
		delete(n.own, instance)
	}
}

// All returns the departures of instances of this host.
func (n *Node) All(now time.Time) []announce.Departure {
	var out []announce.Departure
	for _, o := range n.own {
		if now.Sub(o.departure.At) <= Retention {
			out = append(out, o.departure)
		}
	}
	return out
}

// Unstored reports whether a departure of an instance of this host is not stored yet.
func (n *Node) Unstored() bool {
	for _, o := range n.own {
		if !o.stored {
			return true
		}
	}
	return false
}

// MarkStored records that the platform has departures of this host.
func (n *Node) MarkStored(stored []announce.Departure) {
	for _, d := range stored {
		if o, ok := n.own[d.Instance]; ok && o.departure == d {
			o.stored = true
		}
	}
}

// Stored reports whether the platform has the departure of an instance of this host.
func (n *Node) Stored(instance string) bool {
	o, ok := n.own[instance]
	return ok && o.stored
}

// Held reports whether enough other hosts hold the departure of an instance of this host.
func (n *Node) Held(instance string) bool {
	o, ok := n.own[instance]
	return ok && o.held(n.peers)
}

// held reports whether enough hosts have confirmed that they hold the departure.
func (o *own) held(peers Peers) bool {
	receipts, remote := 0, false
	for _, h := range o.holders {
		if h.confirmed {
			receipts++
			remote = remote || h.remote
		}
	}
	live, liveRemote := len(peers.Local), 0
	for _, dc := range peers.Remote {
		liveRemote += len(dc)
	}
	return receipts > 0 && receipts >= min(minReceipts, live+liveRemote) && (remote || liveRemote == 0)
}

// Tick repeats the notices that are not confirmed and drops what is older than Retention.
func (n *Node) Tick(now time.Time, peers Peers) {
	n.peers = peers
	for instance, o := range n.own {
		switch {
		case now.Sub(o.departure.At) > Retention:
			delete(n.own, instance)
		case !o.held(peers) && !now.Before(o.sendAt):
			o.sends++
			o.sendAt = now.Add(resendInterval)
			if o.sends >= quickSends {
				o.sendAt = now.Add(slowResendInterval)
			}
			n.chooseHolders(o)
			for name, h := range o.holders {
				if !h.confirmed {
					n.send(now, name, n.host, n.incarnation, o.departure)
				}
			}
		}
	}
	for key, h := range n.held {
		switch {
		case now.Sub(h.departure.At) > Retention:
			delete(n.held, key)
		case now.Before(h.returnUntil) && !now.Before(h.sendAt):
			h.sendAt = now.Add(resendInterval)
			n.send(now, key.host, key.host, h.incarnation, h.departure)
		}
	}
}

// chooseHolders chooses the holders of a departure, or one more if they have been chosen before.
func (n *Node) chooseHolders(o *own) {
	var remote []string
	for _, dc := range n.peers.Remote {
		remote = append(remote, dc...)
	}
	if len(o.holders) == 0 {
		n.addHolders(o, n.peers.Local, false, localHolders)
		n.addHolders(o, remote, true, remoteHolders)
		if missing := localHolders + remoteHolders - len(o.holders); missing > 0 {
			n.addHolders(o, remote, true, missing)
		}
		return
	}
	if len(o.holders) >= maxHolders {
		return
	}
	if n.addHolders(o, remote, true, 1) == 0 || len(o.holders)%2 == 0 {
		n.addHolders(o, n.peers.Local, false, 1)
	}
}

// addHolders adds up to count of the hosts at random, and returns how many it has added.
func (n *Node) addHolders(o *own, hosts []string, remote bool, count int) int {
	added := 0
	for _, i := range n.rng.Perm(len(hosts)) {
		if added == count {
			break
		}
		if _, asked := o.holders[hosts[i]]; !asked {
			o.holders[hosts[i]] = &holder{remote: remote}
			added++
		}
	}
	return added
}

func (n *Node) send(now time.Time, to, host string, incarnation uint64, d announce.Departure) {
	n.out = append(n.out, Outbound{To: to, Notice: &msg.DepartureNotice{
		From: n.host, Host: host, Incarnation: incarnation, Instance: d.Instance,
		StartedMS: d.StartedMS, Sequence: d.Sequence, Gone: d.Gone, AgeMS: uint32(max(now.Sub(d.At).Milliseconds(), 0)),
	}})
}

// Take returns and clears the notices to send.
func (n *Node) Take() []Outbound {
	out := n.out
	n.out = nil
	return out
}

// StepNotice handles a notice from another host. It returns the receipt, nil if the departure
// cannot be held, and the departure if it is of this host and new to it.
func (n *Node) StepNotice(now time.Time, m *msg.DepartureNotice) (receipt *msg.DepartureReceipt, restored *announce.Departure) {
	d := announce.Departure{
		Instance: m.Instance, Stamp: announce.Stamp{StartedMS: m.StartedMS, Sequence: m.Sequence}, Gone: m.Gone,
		At: now.Add(-time.Duration(m.AgeMS) * time.Millisecond),
	}
	receipt = &msg.DepartureReceipt{From: n.host, Host: m.Host, Incarnation: m.Incarnation, Instance: m.Instance}
	if m.Host == n.host {
		if n.Restore(now, d, false) {
			restored = &d
		}
		return receipt, restored
	}
	key := heldKey{m.Host, m.Instance}
	h, known := n.held[key]
	switch {
	case !known && (len(n.held) >= maxHeld || len(m.Host) > maxNameBytes || len(m.Instance) > maxNameBytes):
		return nil, nil
	case !known:
		n.held[key] = &held{departure: d, incarnation: m.Incarnation}
	default:
		h.incarnation, h.departure = m.Incarnation, h.departure.Merge(d)
	}
	return receipt, nil
}

// StepReceipt handles the receipt of a notice.
func (n *Node) StepReceipt(m *msg.DepartureReceipt) {
	if m.Host == n.host {
		if o, ok := n.own[m.Instance]; ok && o.holders[m.From] != nil {
			o.holders[m.From].confirmed = true
		}
		return
	}
	if h, ok := n.held[heldKey{m.Host, m.Instance}]; ok && m.From == m.Host && m.Incarnation == h.incarnation {
		h.incarnation, h.returnUntil = h.returnTo, time.Time{}
	}
}

// ObserveHost handles the incarnation of another host's process. Departures that are held for
// another process of the host are returned to this one.
func (n *Node) ObserveHost(now time.Time, host string, incarnation uint64) {
	for key, h := range n.held {
		if key.host == host && incarnation != h.incarnation && incarnation != h.returnTo {
			h.returnTo, h.returnUntil, h.sendAt = incarnation, now.Add(returnTimeout), now
		}
	}
}
