package team

import (
	"fmt"
	"maps"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/radishhoist/radishhoist/record"
)

func hashes(keys ...string) []string {
	var out []string
	for _, k := range keys {
		out = append(out, record.HashTeamKey(k).String())
	}
	return out
}

func TestKeyMovesBetweenTeams(t *testing.T) {
	var none *Index
	_, ok := none.TeamOf("k1")
	assert.Assert(t, !ok)
	first := none.WithTeams(map[string]*record.Team{"a": {KeyHashes: hashes("k1", "k2")}, "b": {KeyHashes: hashes("k3")}})
	second := first.WithTeams(map[string]*record.Team{"a": {KeyHashes: hashes("k2")}, "b": {KeyHashes: hashes("k3", "k1")}})
	third := second.WithTeams(map[string]*record.Team{"a": {}, "b": {KeyHashes: hashes("k1")}})
	for _, c := range []struct {
		index *Index
		key   string
		want  string
	}{
		{first, "k1", "a"}, {first, "k3", "b"}, {second, "k1", "b"}, {second, "k2", "a"},
		{third, "k1", "b"}, {third, "k2", ""}, {third, "k3", ""}, {third, "", ""}, {third, record.HashTeamKey("k1").String(), ""},
	} {
		got, ok := c.index.TeamOf(c.key)
		assert.Equal(t, got, c.want, "key %s", c.key)
		assert.Equal(t, ok, c.want != "")
	}
	assert.Equal(t, first.Len(), 3)
	assert.Equal(t, second.Len(), 3)
	assert.Equal(t, third.Len(), 1)
}

// An index that was changed several times must answer like one that was built at once, and
// the indexes that it was derived from must not change.
func TestIncrementalIndexEqualsRebuilt(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		key := rapid.SampledFrom([]string{"k0", "k1", "k2", "k3", "k4", "k5", "k6", "k7"})
		var index *Index
		for range rapid.IntRange(1, 8).Draw(t, "steps") {
			teams := make(map[string]*record.Team)
			for i := range rapid.IntRange(0, 4).Draw(t, "teams") {
				teams[fmt.Sprintf("t%d", i)] = &record.Team{KeyHashes: hashes(rapid.SliceOfNDistinct(key, 0, 4, rapid.ID).Draw(t, "keys")...)}
			}
			before := lookUpAll(index)
			next := index.WithTeams(teams)
			assert.DeepEqual(t, lookUpAll(index), before)
			rebuilt := (*Index)(nil).WithTeams(teams)
			assert.DeepEqual(t, lookUpAll(next), lookUpAll(rebuilt))
			assert.Equal(t, next.Len(), rebuilt.Len())
			index = next
		}
	})
}

func lookUpAll(x *Index) map[string]string {
	out := make(map[string]string)
	for i := range 8 {
		key := fmt.Sprintf("k%d", i)
		if team, ok := x.TeamOf(key); ok {
			out[key] = team
		}
	}
	return out
}

// manyTeams returns as many teams as the capacity target, with two keys each.
func manyTeams() map[string]*record.Team {
	teams := make(map[string]*record.Team, 81000)
	for i := range 81000 {
		teams[fmt.Sprintf("team-%05d", i)] = &record.Team{KeyHashes: hashes(fmt.Sprintf("first key of %d", i), fmt.Sprintf("second key of %d", i))}
	}
	return teams
}

func BenchmarkLookup(b *testing.B) {
	index := (*Index)(nil).WithTeams(manyTeams())
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		if _, ok := index.TeamOf("second key of 4711"); !ok {
			b.Fatal("not found")
		}
	}
}

func BenchmarkChangeOneKey(b *testing.B) {
	teams := manyTeams()
	index := (*Index)(nil).WithTeams(teams)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		b.StopTimer()
		teams = maps.Clone(teams)
		b.StartTimer()
		teams["team-04711"] = &record.Team{KeyHashes: hashes(fmt.Sprintf("key %d", i))}
		index = index.WithTeams(teams)
	}
}
