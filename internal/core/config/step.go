package config

import "github.com/radishhoist/radishhoist/internal/msg"

// Step processes a message from a peer. Messages that are not part of the replication
// protocol, or name an unknown set, are ignored.
func (n *Node) Step(peers Peers, from string, m msg.Message) {
	switch m := m.(type) {
	case *msg.Rumor:
		if m.Set < msg.SetCount {
			n.applyAndPush(peers, m.Set, from, m.Entries)
		}
	case *msg.Digest:
		n.handleDigest(from, m)
	case *msg.Buckets:
		n.handleBuckets(from, m)
	case *msg.Versions:
		n.handleVersions(from, m)
	case *msg.Pull:
		n.handlePull(from, m)
	case *msg.Snapshot:
		n.handleSnapshot(from, m)
	}
}

// handleDigest answers a digest that differs with this host's bucket hashes, or with a full
// list if the set is small. A matching digest from a peer with a complete set proves that
// this host's set is complete too.
func (n *Node) handleDigest(from string, m *msg.Digest) {
	if m.Set >= msg.SetCount {
		return
	}
	if m.Root == n.sets[m.Set].Root() {
		n.complete[m.Set] = n.complete[m.Set] || m.Complete
		return
	}
	s := n.sets[m.Set]
	if len(s.entries) <= maxListedEntries {
		n.send(from, &msg.Versions{Set: m.Set, All: true, Items: s.AllItems()})
		return
	}
	n.send(from, &msg.Buckets{Set: m.Set, Hashes: s.Hashes()})
}

// maxListedEntries is the number of entries up to which a set is listed in full instead
// of by its bucket hashes: 200 versions take as much space as 1,024 hashes, 9 KB. For a
// fleet of 24 hosts the list takes 0.8 KB.
const maxListedEntries = 200

// maxRepairItems bounds the versions listed in one repair step; the next repair finds the
// rest.
const maxRepairItems = 16384

// handleBuckets lists this host's versions in the buckets that differ.
func (n *Node) handleBuckets(from string, m *msg.Buckets) {
	if m.Set >= msg.SetCount {
		return
	}
	s := n.sets[m.Set]
	var buckets []uint32
	var items []msg.VersionItem
	for _, b := range s.DifferingBuckets(m.Hashes) {
		listed := s.Items([]uint32{b})
		if len(items)+len(listed) > maxRepairItems {
			break
		}
		buckets = append(buckets, b)
		items = append(items, listed...)
	}
	if len(buckets) > 0 {
		n.send(from, &msg.Versions{Set: m.Set, Buckets: buckets, Items: items})
	}
}

// handleVersions pulls the entries that are newer at the peer and pushes those that are
// newer here.
func (n *Node) handleVersions(from string, m *msg.Versions) {
	if m.Set >= msg.SetCount {
		return
	}
	var pull []msg.VersionItem
	var push []msg.Entry
	if m.All {
		pull, push = n.sets[m.Set].CompareAll(m.Items)
	} else {
		pull, push = n.sets[m.Set].Compare(m.Buckets, m.Items)
	}
	pull = n.filterPending(m.Set, pull)
	if len(pull) > 0 {
		n.send(from, &msg.Pull{Set: m.Set, Items: pull})
	}
	if len(push) > 0 {
		n.push(from, m.Set, push)
	}
}

// filterPending drops items requested from a peer within pullTimeout and records the rest
// as requested.
func (n *Node) filterPending(set msg.SetID, items []msg.VersionItem) []msg.VersionItem {
	var out []msg.VersionItem
	for _, it := range items {
		key := pullKey{set, Key{it.Kind, it.Name}, it.Version}
		if at, pending := n.pendingPulls[key]; pending && n.now.Sub(at) < pullTimeout {
			continue
		}
		n.pendingPulls[key] = n.now
		out = append(out, it)
	}
	return out
}

func (n *Node) handlePull(from string, m *msg.Pull) {
	if m.Set >= msg.SetCount {
		return
	}
	if m.All {
		n.sendSnapshot(from, m.Set)
		if m.Set == msg.SetHosts {
			n.pushCrashes(from)
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
		n.pushValues(from, m.Set, entries)
	}
}

// pushCrashes sends all crashes to a host that asks for the host entries: it has just
// started and must not run requests that have crashed instances before.
func (n *Node) pushCrashes(to string) {
	var crashes []msg.Entry
	n.sets[msg.SetCrashes].Each(func(e msg.Entry) { crashes = append(crashes, e) })
	if len(crashes) > 0 {
		n.pushValues(to, msg.SetCrashes, crashes)
	}
}

// sendSnapshot sends the complete set in parts. If this host's own set is incomplete, it
// sends one empty part that is marked as incomplete. The requester then asks another peer
// after incompleteRetry. A digest follows the set, which tells the requester how old it is.
func (n *Node) sendSnapshot(to string, id msg.SetID) {
	var entries []msg.Entry
	n.sets[id].Each(func(e msg.Entry) { entries = append(entries, e) })
	if !n.complete[id] {
		n.send(to, &msg.Snapshot{Set: id, Last: true})
		return
	}
	batches := n.batches(entries)
	for i, part := range batches {
		n.send(to, &msg.Snapshot{Set: id, Entries: part, Part: uint32(i), Last: i == len(batches)-1, Complete: true})
	}
	if id == msg.SetRecords {
		n.send(to, n.digest(id))
	}
}

// handleSnapshot accepts parts in order from the peer that was asked. If a part is
// missing, the set stays incomplete and is requested again after snapshotTimeout. Host
// entries are applied in any order and from any peer, since their set need not be complete
// at the start.
func (n *Node) handleSnapshot(from string, m *msg.Snapshot) {
	if m.Set == msg.SetHosts {
		n.applySnapshot(from, m)
		return
	}
	if m.Set >= msg.SetCount || n.complete[m.Set] || from != n.snapshots[m.Set].from || m.Part != n.snapshots[m.Set].nextPart {
		return
	}
	if !m.Complete {
		n.snapshotRequestedAt[m.Set] = n.now.Add(incompleteRetry - snapshotTimeout)
		return
	}
	n.snapshots[m.Set].nextPart++
	n.applySnapshot(from, m)
	if m.Last {
		n.complete[m.Set] = true
	}
}

// applySnapshot applies requested entries without relaying them, since other hosts have
// them already. If 354 hosts start at once, relaying would send each of the sets that
// they request to three more hosts.
func (n *Node) applySnapshot(from string, m *msg.Snapshot) {
	for _, e := range m.Entries {
		if n.sets[m.Set].Apply(e) {
			n.applied = append(n.applied, Applied{Set: m.Set, Entry: e, From: from})
		}
	}
}
