// Package team looks up the team that owns an API key. Keys are stored as hashes only.
package team

import (
	"bytes"
	"crypto/subtle"
	"slices"
	"sort"
	"strings"

	"github.com/radishhoist/radishhoist/record"
)

// shardCount is the number of shards of an Index. A change copies only the shards that it
// modifies.
const shardCount = 1024

// Index maps keys to teams. It is immutable: WithTeams returns a modified copy.
type Index struct {
	shards [shardCount][]entry
	// teams holds the teams that the index was built from, by name.
	teams map[string]*record.Team
	size  int
}

// entry is the hash of one key. The entries of a shard are sorted by hash and team.
type entry struct {
	hash record.TeamKeyHash
	team string
}

func (e entry) compare(other entry) int {
	if c := bytes.Compare(e.hash[:], other.hash[:]); c != 0 {
		return c
	}
	return strings.Compare(e.team, other.team)
}

func shardOf(h record.TeamKeyHash) int { return (int(h[0])<<8 | int(h[1])) % shardCount }

// TeamOf returns the team that holds a key, or false if there is none. Its timing may
// depend on the key's hash, but not on the key itself.
func (x *Index) TeamOf(key string) (string, bool) {
	if x == nil || key == "" || len(key) > record.MaxTeamKeyBytes {
		return "", false
	}
	h := record.HashTeamKey(key)
	shard := x.shards[shardOf(h)]
	i := sort.Search(len(shard), func(i int) bool { return bytes.Compare(shard[i].hash[:], h[:]) >= 0 })
	if i == len(shard) || subtle.ConstantTimeCompare(shard[i].hash[:], h[:]) != 1 {
		return "", false
	}
	return shard[i].team, true
}

// Len returns the number of keys.
func (x *Index) Len() int {
	if x == nil {
		return 0
	}
	return x.size
}

// WithTeams returns an Index of the keys of the given teams, which replace those of x. The
// teams must not be modified afterwards. Unchanged shards are shared with x, which may be
// nil. A key held by two teams belongs to the first by name.
func (x *Index) WithTeams(teams map[string]*record.Team) *Index {
	if x == nil {
		x = &Index{}
	}
	out := &Index{shards: x.shards, teams: teams, size: x.size}
	edit := editor{index: out}
	for name, t := range teams {
		old, known := x.teams[name]
		switch {
		case old == t:
		case !known:
			edit.forEach(name, t.KeyHashes, edit.insert)
		case !slices.Equal(old.KeyHashes, t.KeyHashes):
			edit.forEach(name, old.KeyHashes, edit.remove)
			edit.forEach(name, t.KeyHashes, edit.insert)
		}
	}
	for name, old := range x.teams {
		if _, kept := teams[name]; !kept {
			edit.forEach(name, old.KeyHashes, edit.remove)
		}
	}
	return out
}

// editor modifies an Index that is not yet visible to others.
type editor struct {
	index *Index
	// copied marks the shards that are no longer shared.
	copied [shardCount]bool
}

func (e *editor) forEach(team string, hashes []string, apply func(entry)) {
	for _, s := range hashes {
		if h, err := record.ParseTeamKeyHash(s); err == nil {
			apply(entry{hash: h, team: team})
		}
	}
}

// locate returns the shard of an entry, copied if it is still shared, and the entry's
// position in it.
func (e *editor) locate(item entry) (shard *[]entry, pos int, found bool) {
	s := shardOf(item.hash)
	if !e.copied[s] {
		e.copied[s] = true
		e.index.shards[s] = slices.Clone(e.index.shards[s])
	}
	shard = &e.index.shards[s]
	pos, found = slices.BinarySearchFunc(*shard, item, entry.compare)
	return shard, pos, found
}

func (e *editor) insert(item entry) {
	if shard, i, found := e.locate(item); !found {
		*shard = slices.Insert(*shard, i, item)
		e.index.size++
	}
}

func (e *editor) remove(item entry) {
	if shard, i, found := e.locate(item); found {
		*shard = slices.Delete(*shard, i, i+1)
		e.index.size--
	}
}
