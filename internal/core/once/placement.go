package once

import (
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/radishhoist/radishhoist/record"
)

// maxGuards is the number of guards of a service with enough hosts. While a lost guard is
// replaced there may be one more, since the new guard is added before the lost one is
// removed. Seven guards tolerate three simultaneous failures and keep the lease traffic
// low.
const maxGuards = 7

// Candidate is a host that may be chosen as a guard of a service or as the owner of a
// shard.
type Candidate struct {
	Host string
	DC   string
	// Incarnation is the start time of the host's process in Unix milliseconds.
	Incarnation uint64
	// Usable is set if the host is alive and not leaving.
	Usable bool
	// Lost is set if the host has been unusable for so long that it should be
	// removed from the guards.
	Lost bool
}

// ShardOf returns the shard of a key in a map of the given number of shards.
func ShardOf(key string, shards int) uint32 { return uint32(xxhash.Sum64String(key) % uint64(shards)) }

// InitialMap returns a service's initial shard map, or nil if no host is usable.
// Epochs start at the wall time in seconds, so that they are greater than those
// of an earlier map that an operator has deleted.
func InitialMap(service string, shards uint32, hosts []Candidate, now time.Time) *record.ShardMap {
	guards := pickGuards(service, hosts, maxGuards)
	if len(guards) == 0 {
		return nil
	}
	m := &record.ShardMap{Guards: guards}
	for i := range shards {
		owner := preferredOwner(service, i, guards, nil)
		m.Shards = append(m.Shards, record.Shard{Owner: owner, Incarnation: incarnationOf(hosts, owner), Epoch: uint64(now.Unix())})
	}
	return m
}

// NextMap returns the next version of a map as host self is to write it, or nil if self has
// nothing to change. A version changes either any number of owners or a single guard. A
// host assigns shards only to itself, so that each change is written by the new owner.
func NextMap(service, self string, m *record.ShardMap, hosts []Candidate) *record.ShardMap {
	next := cloneMap(m)
	if reassignOwners(service, self, next, hosts) {
		return next
	}
	if changeGuards(service, self, next, hosts) {
		return next
	}
	return nil
}

// reassignOwners assigns to self the shards whose owner is unusable or has restarted, if
// self is the preferred owner. It reports whether it changed the map.
func reassignOwners(service, self string, m *record.ShardMap, hosts []Candidate) bool {
	changed := false
	for i := range m.Shards {
		s := &m.Shards[i]
		if usable(hosts, s.Owner) && incarnationOf(hosts, s.Owner) == s.Incarnation {
			continue
		}
		if preferredOwner(service, uint32(i), m.Guards, hosts) == self {
			s.Owner, s.Incarnation = self, incarnationOf(hosts, self)
			s.Epoch++
			changed = true
		}
	}
	return changed
}

// changeGuards changes the guard set by one host and reports whether it did. It adds a
// guard if there are fewer than maxGuards, not counting one lost guard, and another host is
// usable. Otherwise, it removes a lost guard, unless it is the only one. A lost guard is
// thus replaced by first adding another, and there may be maxGuards+1 for a time. Every
// shard gets a new epoch, and a majority of the previous guards is also required until all
// owners have had authority at their new epochs. Until then, the guards are not changed
// again. Only the first usable guard by name changes them, which limits conflicting writes.
func changeGuards(service, self string, m *record.ShardMap, hosts []Candidate) bool {
	if self != firstUsable(m.Guards, hosts) || !allHeld(m) {
		return false
	}
	previous := m.Guards
	lost := lostGuard(m.Guards, hosts)
	added := nextGuard(service, m.Guards, hosts)
	remaining := len(m.Guards)
	if lost != "" {
		remaining--
	}
	switch {
	case added != "" && remaining < maxGuards:
		m.Guards = append(slices.Clone(m.Guards), added)
	case lost != "" && remaining > 0:
		m.Guards = slices.DeleteFunc(slices.Clone(m.Guards), func(g string) bool { return g == lost })
	default:
		return false
	}
	m.PrevGuards = previous
	for i := range m.Shards {
		m.Shards[i].Epoch++
	}
	return true
}

// allHeld reports whether every owner is known to have had authority at its current epoch,
// under both the current and the previous guards. No owner of an earlier epoch can then
// still have authority, whichever guards its map named.
func allHeld(m *record.ShardMap) bool {
	for _, s := range m.Shards {
		if s.HeldEpoch != s.Epoch {
			return false
		}
	}
	return true
}

// ConfirmHeld returns a map that records over which shards host self has had authority, or
// nil if the map records this already. held maps the shards over which self has authority
// to their epochs. Once this is recorded for every shard, the previous guards are dropped.
// Only guard changes depend on this record; claims depend on the leases.
func ConfirmHeld(self string, m *record.ShardMap, held map[uint32]uint64) *record.ShardMap {
	next := editOwned(self, m, func(i uint32, s *record.Shard) bool {
		if s.HeldEpoch == s.Epoch || held[i] != s.Epoch {
			return false
		}
		s.HeldEpoch = s.Epoch
		return true
	})
	if next != nil && allHeld(next) {
		next.PrevGuards = nil
	}
	return next
}

// ReclaimFrozen returns a map with new epochs for the shards that host self still owns
// although it has exported their tables for handover, or nil if there are none. frozen
// maps these shards to their epochs. The new epochs invalidate the exported tables.
func ReclaimFrozen(self string, m *record.ShardMap, frozen map[uint32]uint64) *record.ShardMap {
	return editOwned(self, m, func(i uint32, s *record.Shard) bool {
		if frozen[i] != s.Epoch {
			return false
		}
		s.Epoch++
		return true
	})
}

// editOwned applies edit to the shards that self owns in a copy of m. edit
// reports whether it changed the shard; the result is nil if none changed.
func editOwned(self string, m *record.ShardMap, edit func(i uint32, s *record.Shard) bool) *record.ShardMap {
	next := cloneMap(m)
	changed := false
	for i := range next.Shards {
		if s := &next.Shards[i]; s.Owner == self && edit(uint32(i), s) {
			changed = true
		}
	}
	if !changed {
		return nil
	}
	return next
}

// Successor returns the host that should own a shard after its owner leaves, "" if no
// guard is usable. The caller must have marked the leaving owner as unusable in hosts.
func Successor(service string, shard uint32, m *record.ShardMap, hosts []Candidate) string {
	return preferredOwner(service, shard, m.Guards, hosts)
}

// preferredOwner selects the owner of a shard among the guards by rendezvous
// hashing. If hosts is not nil, only usable hosts are considered.
func preferredOwner(service string, shard uint32, guards []string, hosts []Candidate) string {
	best, bestScore := "", uint64(0)
	for _, g := range guards {
		if hosts != nil && !usable(hosts, g) {
			continue
		}
		score := xxhash.Sum64String(fmt.Sprintf("%s/%d/%s", service, shard, g))
		if best == "" || score > bestScore {
			best, bestScore = g, score
		}
	}
	return best
}

// pickGuards selects up to n usable hosts, taking data centres in turn. If three or more
// data centres have enough hosts, none of them has a majority of the guards.
func pickGuards(service string, hosts []Candidate, n int) []string {
	var out []string
	for len(out) < n {
		g := nextGuard(service, out, hosts)
		if g == "" {
			break
		}
		out = append(out, g)
	}
	return out
}

// nextGuard selects the usable host to add to the guards, "" if there is none. It takes a
// host of the data centre with the fewest guards, and among these by rendezvous hashing.
func nextGuard(service string, guards []string, hosts []Candidate) string {
	perDC := make(map[string]int)
	for _, c := range hosts {
		if slices.Contains(guards, c.Host) {
			perDC[c.DC]++
		}
	}
	best, bestCount, bestScore := "", 0, uint64(0)
	for _, c := range hosts {
		if !c.Usable || slices.Contains(guards, c.Host) {
			continue
		}
		count, score := perDC[c.DC], xxhash.Sum64String(service+"/"+c.Host)
		if best == "" || count < bestCount || count == bestCount && score > bestScore {
			best, bestCount, bestScore = c.Host, count, score
		}
	}
	return best
}

// lostGuard returns the first lost guard, "" if there is none. A guard that is not among
// hosts counts as lost.
func lostGuard(guards []string, hosts []Candidate) string {
	for _, g := range guards {
		c, ok := findCandidate(hosts, g)
		if !ok || c.Lost {
			return g
		}
	}
	return ""
}

// firstUsable returns the first usable guard by name, "" if there is none.
func firstUsable(guards []string, hosts []Candidate) string {
	first := ""
	for _, g := range guards {
		if usable(hosts, g) && (first == "" || g < first) {
			first = g
		}
	}
	return first
}

func findCandidate(hosts []Candidate, name string) (Candidate, bool) {
	for _, c := range hosts {
		if c.Host == name {
			return c, true
		}
	}
	return Candidate{}, false
}

func usable(hosts []Candidate, name string) bool {
	c, ok := findCandidate(hosts, name)
	return ok && c.Usable
}

func incarnationOf(hosts []Candidate, name string) uint64 {
	c, _ := findCandidate(hosts, name)
	return c.Incarnation
}

func cloneMap(m *record.ShardMap) *record.ShardMap {
	return &record.ShardMap{
		Guards: slices.Clone(m.Guards), PrevGuards: slices.Clone(m.PrevGuards), Shards: slices.Clone(m.Shards),
	}
}
