package once

import (
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/radishhoist/radishhoist/record"
)

// maxGuards bounds the guards of a service: seven tolerate three at once, and
// keep the promises few.
const maxGuards = 7

// Candidate is a host that could guard or own a service's shards.
type Candidate struct {
	Host string
	DC   string
	// Life is the start of its process, in Unix milliseconds.
	Life uint64
	// Usable says that it lives and is not leaving.
	Usable bool
	// Lost says that it has not been usable for so long that the guards
	// should do without it.
	Lost bool
}

// FirstMap makes a service's first shard map; nil where no host is usable. Its
// epochs start at the wall time in seconds, so that a map which an operator has
// removed is followed by greater epochs.
func FirstMap(service string, shards uint32, hosts []Candidate, wall time.Time) *record.ShardMap {
	guards := pickGuards(service, hosts, maxGuards)
	if len(guards) == 0 {
		return nil
	}
	m := &record.ShardMap{Guards: guards}
	for i := range shards {
		owner := preferred(service, i, guards, nil)
		m.Shards = append(m.Shards, record.Shard{Owner: owner, Incarnation: lifeOf(hosts, owner), Epoch: uint64(wall.Unix())})
	}
	return m
}

// NextMap proposes the next change of a map, at most one move of the guards
// and any number of owners; nil where nothing is to change. self proposes only
// shards that it would own itself, so that a write comes from whoever takes
// over.
func NextMap(service, self string, m *record.ShardMap, hosts []Candidate) *record.ShardMap {
	next := clone(m)
	if changeOwners(service, self, next, hosts) {
		return next
	}
	if changeGuards(service, self, next, hosts) {
		return next
	}
	return nil
}

// changeOwners moves shards whose owner is gone or leaving to this host, where
// it is the preferred successor.
func changeOwners(service, self string, m *record.ShardMap, hosts []Candidate) bool {
	changed := false
	for i := range m.Shards {
		s := &m.Shards[i]
		if usable(hosts, s.Owner) && lifeOf(hosts, s.Owner) == s.Incarnation {
			continue
		}
		if preferred(service, uint32(i), m.Guards, hosts) == self {
			s.Owner, s.Incarnation = self, lifeOf(hosts, self)
			s.Epoch++
			changed = true
		}
	}
	return changed
}

// changeGuards moves the guards by one host: it adds one where there are too
// few, or else removes one that is lost. Every shard gets a new epoch, and the
// guards before the change stay needed until all owners hold again. The first
// usable guard by name proposes it, so that few compete.
func changeGuards(service, self string, m *record.ShardMap, hosts []Candidate) bool {
	if self != firstUsable(m.Guards, hosts) || !settled(m) {
		return false
	}
	was := m.Guards
	lost := lostGuard(m.Guards, hosts)
	add := nextGuard(service, m.Guards, hosts)
	kept := len(m.Guards)
	if lost != "" {
		kept--
	}
	switch {
	case add != "" && kept < maxGuards:
		m.Guards = append(slices.Clone(m.Guards), add)
	case lost != "" && kept > 0:
		m.Guards = slices.DeleteFunc(slices.Clone(m.Guards), func(g string) bool { return g == lost })
	default:
		return false
	}
	m.Prev = was
	for i := range m.Shards {
		m.Shards[i].Epoch++
	}
	return true
}

// settled says that every owner has held authority under the present guards
// and those before, so that no older majority can still be in force.
func settled(m *record.ShardMap) bool {
	for _, s := range m.Shards {
		if s.Held != s.Epoch {
			return false
		}
	}
	return true
}

// ConfirmHeld notes in a map that this host's shards hold authority; nil where
// that is known already. Only a map whose guards have changed needs it.
func ConfirmHeld(self string, m *record.ShardMap, held map[uint32]uint64) *record.ShardMap {
	next := editOwned(self, m, func(i uint32, s *record.Shard) bool {
		if s.Held == s.Epoch || held[i] != s.Epoch {
			return false
		}
		s.Held = s.Epoch
		return true
	})
	if next != nil && settled(next) {
		next.Prev = nil
	}
	return next
}

// Thaw gives a new epoch to shards that this host still owns after it has
// handed their tables over: the tables elsewhere are then of no use. nil where
// there are none.
func Thaw(self string, m *record.ShardMap, frozen map[uint32]uint64) *record.ShardMap {
	return editOwned(self, m, func(i uint32, s *record.Shard) bool {
		if frozen[i] != s.Epoch {
			return false
		}
		s.Epoch++
		return true
	})
}

// editOwned edits a copy of a map at the shards that this host owns; edit says
// whether it changed the shard. nil where it changed none.
func editOwned(self string, m *record.ShardMap, edit func(i uint32, s *record.Shard) bool) *record.ShardMap {
	next := clone(m)
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

// Successor is the host that should own a shard once its owner leaves.
func Successor(service string, shard uint32, m *record.ShardMap, hosts []Candidate) string {
	return preferred(service, shard, m.Guards, hosts)
}

// preferred picks the owner of a shard among guards by rendezvous hashing;
// hosts limits it to usable ones, nil takes all guards.
func preferred(service string, shard uint32, guards []string, hosts []Candidate) string {
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

// pickGuards picks up to n usable hosts, data centres in turn, so that one
// data centre never holds a majority where there are three or more.
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

// nextGuard picks the usable host to add: from the data centre with fewest
// guards, then by rendezvous hashing.
func nextGuard(service string, have []string, hosts []Candidate) string {
	perDC := make(map[string]int)
	for _, c := range hosts {
		if slices.Contains(have, c.Host) {
			perDC[c.DC]++
		}
	}
	best, bestCount, bestScore := "", 0, uint64(0)
	for _, c := range hosts {
		if !c.Usable || slices.Contains(have, c.Host) {
			continue
		}
		count, score := perDC[c.DC], xxhash.Sum64String(service+"/"+c.Host)
		if best == "" || count < bestCount || count == bestCount && score > bestScore {
			best, bestCount, bestScore = c.Host, count, score
		}
	}
	return best
}

// lostGuard finds a guard to do without; a host that nobody knows is lost too.
func lostGuard(guards []string, hosts []Candidate) string {
	for _, g := range guards {
		c, ok := find(hosts, g)
		if !ok || c.Lost {
			return g
		}
	}
	return ""
}

func firstUsable(guards []string, hosts []Candidate) string {
	first := ""
	for _, g := range guards {
		if usable(hosts, g) && (first == "" || g < first) {
			first = g
		}
	}
	return first
}

func find(hosts []Candidate, name string) (Candidate, bool) {
	for _, c := range hosts {
		if c.Host == name {
			return c, true
		}
	}
	return Candidate{}, false
}

func usable(hosts []Candidate, name string) bool {
	c, ok := find(hosts, name)
	return ok && c.Usable
}

func lifeOf(hosts []Candidate, name string) uint64 {
	c, _ := find(hosts, name)
	return c.Life
}

func clone(m *record.ShardMap) *record.ShardMap {
	return &record.ShardMap{
		Guards: slices.Clone(m.Guards), Prev: slices.Clone(m.Prev), Shards: slices.Clone(m.Shards),
	}
}
