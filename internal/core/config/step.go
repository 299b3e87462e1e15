package config

import "github.com/radishhoist/radishhoist/internal/msg"

// Step takes one message from a peer. Messages that do not belong to the
// replication, or name an unknown set, are ignored.
func (n *Node) Step(peers Peers, from string, m msg.Message) {
	switch m := m.(type) {
	case *msg.Rumor:
		if m.Set < msg.Sets {
			n.take(peers, m.Set, from, m.Entries)
		}
	case *msg.Digest:
		n.stepDigest(from, m)
	case *msg.Buckets:
		n.stepBuckets(from, m)
	case *msg.Versions:
		n.stepVersions(from, m)
	case *msg.Pull:
		n.stepPull(from, m)
	case *msg.Snapshot:
		n.stepSnapshot(from, m)
	}
}

// stepDigest answers a digest that differs with this host's bucket hashes. One
// that agrees with that of a whole peer proves this host's set whole too.
func (n *Node) stepDigest(from string, m *msg.Digest) {
	if m.Set >= msg.Sets {
		return
	}
	if m.Root == n.sets[m.Set].Root() {
		n.whole[m.Set] = n.whole[m.Set] || m.Complete
		return
	}
	s := n.sets[m.Set]
	if len(s.entries) <= smallSet {
		n.send(from, &msg.Versions{Set: m.Set, All: true, Items: s.AllItems()})
		return
	}
	n.send(from, &msg.Buckets{Set: m.Set, Hashes: s.Hashes()})
}

// smallSet is up to how many entries a set is listed whole in place of the
// hashes of its buckets: 200 versions are as long as 1,024 hashes, 9 KB. A
// fleet of 24 hosts sends 0.8 KB in their place.
const smallSet = 200

// maxRepairItems bounds the versions listed in one step of a repair; what
// remains is found by the next one.
const maxRepairItems = 16384

// stepBuckets lists what this host has in the buckets that differ.
func (n *Node) stepBuckets(from string, m *msg.Buckets) {
	if m.Set >= msg.Sets {
		return
	}
	s := n.sets[m.Set]
	var buckets []uint32
	var items []msg.VersionItem
	for _, b := range s.Differ(m.Hashes) {
		more := s.Items([]uint32{b})
		if len(items)+len(more) > maxRepairItems {
			break
		}
		buckets = append(buckets, b)
		items = append(items, more...)
	}
	if len(buckets) > 0 {
		n.send(from, &msg.Versions{Set: m.Set, Buckets: buckets, Items: items})
	}
}

// stepVersions pulls what the peer has newer and pushes what is newer here.
func (n *Node) stepVersions(from string, m *msg.Versions) {
	if m.Set >= msg.Sets {
		return
	}
	var pull []msg.VersionItem
	var push []msg.Entry
	if m.All {
		pull, push = n.sets[m.Set].CompareAll(m.Items)
	} else {
		pull, push = n.sets[m.Set].Compare(m.Buckets, m.Items)
	}
	pull = n.notPulled(m.Set, pull)
	if len(pull) > 0 {
		n.send(from, &msg.Pull{Set: m.Set, Items: pull})
	}
	if len(push) > 0 {
		n.push(from, m.Set, push)
	}
}

// notPulled leaves out what was asked of another peer a moment ago, and
// remembers the rest.
func (n *Node) notPulled(set msg.SetID, items []msg.VersionItem) []msg.VersionItem {
	var out []msg.VersionItem
	for _, it := range items {
		key := pullKey{set, Key{it.Kind, it.Name}, it.Version}
		if at, asked := n.pulled[key]; asked && n.now.Sub(at) < pullAgain {
			continue
		}
		n.pulled[key] = n.now
		out = append(out, it)
	}
	return out
}

func (n *Node) stepPull(from string, m *msg.Pull) {
	if m.Set >= msg.Sets {
		return
	}
	if m.All {
		n.sendSnapshot(from, m.Set)
		if m.Set == msg.SetHosts {
			n.pushEnds(from)
		}
		return
	}
	s := n.sets[m.Set]
	var entries []msg.Entry
	for _, it := range m.Items {
		if e, ok := s.Get(Key{it.Kind, it.Name}); ok {
			entries = append(entries, e)
		}
	}
	if len(entries) > 0 {
		n.pushWhole(from, m.Set, entries)
	}
}

// pushEnds sends all ends to a host that asks for the others: it has just started, and
// must not run again what has ended instances before.
func (n *Node) pushEnds(to string) {
	var ends []msg.Entry
	n.sets[msg.SetEnds].Each(func(e msg.Entry) { ends = append(ends, e) })
	if len(ends) > 0 {
		n.pushWhole(to, msg.SetEnds, ends)
	}
}

// sendSnapshot sends the whole set in parts. A host that is not whole itself
// says so at once, so that the asker goes on to another.
func (n *Node) sendSnapshot(to string, id msg.SetID) {
	var entries []msg.Entry
	n.sets[id].Each(func(e msg.Entry) { entries = append(entries, e) })
	if !n.whole[id] {
		n.send(to, &msg.Snapshot{Set: id, Last: true})
		return
	}
	parts := n.batches(entries)
	for i, part := range parts {
		n.send(to, &msg.Snapshot{Set: id, Entries: part, Part: uint32(i), Last: i == len(parts)-1, Complete: true})
	}
}

// stepSnapshot takes parts in order from the peer that was asked; a part that
// is missing leaves the set not whole, and another peer is asked.
func (n *Node) stepSnapshot(from string, m *msg.Snapshot) {
	if m.Set == msg.SetHosts {
		n.applyQuietly(from, m)
		return
	}
	if m.Set >= msg.Sets || n.whole[m.Set] || from != n.snapshot[m.Set].from || m.Part != n.snapshot[m.Set].next || !m.Complete {
		return
	}
	n.snapshot[m.Set].next++
	n.applyQuietly(from, m)
	if m.Last {
		n.whole[m.Set] = true
	}
}

// applyQuietly applies what this host has asked for, without passing it on: it is
// news to nobody but this host. Passed on, the sets that 354 hosts asked for when
// they started at once went to three more hosts each.
func (n *Node) applyQuietly(from string, m *msg.Snapshot) {
	for _, e := range m.Entries {
		if n.sets[m.Set].Apply(e) {
			n.applied = append(n.applied, Applied{Set: m.Set, Entry: e, From: from})
		}
	}
}
