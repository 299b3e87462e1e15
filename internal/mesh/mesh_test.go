package mesh

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/radishhoist/radishhoist/internal/core/config"
	"github.com/radishhoist/radishhoist/internal/core/member"
	"github.com/radishhoist/radishhoist/internal/msg"
)

// watchVersions reports when a host, within one life, brings an older version
// of a record into force.
func watchVersions(m *Mesh, broken *string) {
	for _, h := range m.Hosts {
		seen := map[string]int64{}
		life := h.Life
		h.Applied = func(a config.Applied) {
			if a.Set != msg.SetRecords {
				return
			}
			if h.Life != life {
				seen, life = map[string]int64{}, h.Life
			}
			if a.Entry.Version <= seen[a.Entry.Name] {
				*broken = fmt.Sprintf("%s went from %d back to %d of %s", h.Name, seen[a.Entry.Name], a.Entry.Version, a.Entry.Name)
			}
			seen[a.Entry.Name] = a.Entry.Version
		}
	}
}

// converged says whether all hosts that are up have the same set, and lists
// every live entry once.
func converged(m *Mesh) (map[string]int64, bool) {
	var root uint64
	first := true
	out := map[string]int64{}
	for _, h := range m.Hosts {
		if !h.Up {
			continue
		}
		s := h.Replica.Set(msg.SetRecords)
		if !h.Replica.Complete() || (!first && s.Root() != root) {
			return nil, false
		}
		if first {
			s.Each(func(e msg.Entry) {
				if !e.Deleted {
					out[e.Name] = e.Version
				}
			})
		}
		root, first = s.Root(), false
	}
	return out, true
}

// expected is what the platform holds.
func expected(p *Platform) map[string]int64 {
	out := map[string]int64{}
	for _, e := range p.list() {
		out[e.Name] = e.Version
	}
	return out
}

func TestRecordsNeverRegressAndConverge(t *testing.T) {
	for seed := range uint64(12) {
		m := New(Config{Hosts: 24, DCs: 3, Seed: seed, Loss: 0.05, Instances: 2, Watchers: 2})
		m.StartAll()
		broken := ""
		watchVersions(m, &broken)
		var cutHost *Host
		m.Cut = func(from, _ *Host) bool { return from == cutHost }
		for round := range 40 {
			name := fmt.Sprintf("r%d", m.rng.IntN(30))
			m.Platform.Put(name, m.rng.IntN(4) == 0, 200)
			m.Run(time.Duration(100+m.rng.IntN(900)) * time.Millisecond)
			victim := m.Hosts[m.rng.IntN(len(m.Hosts))]
			switch round % 5 {
			case 0:
				m.Stop(victim)
			case 1:
				for _, h := range m.Hosts {
					if !h.Up {
						m.Start(h)
					}
				}
			case 2:
				cutHost = victim
			case 3:
				cutHost = nil
				m.Platform.Away = !m.Platform.Away
			}
		}
		m.Platform.Away, cutHost = false, nil
		for _, h := range m.Hosts {
			if !h.Up {
				m.Start(h)
			}
		}
		m.Run(60 * time.Second)
		assert.Equal(t, broken, "", "seed %d", seed)
		got, ok := converged(m)
		assert.Assert(t, ok, "seed %d: the hosts differ a minute after the faults", seed)
		assert.DeepEqual(t, got, expected(&m.Platform))
	}
}

func TestRestartedHostServesNoOlderSet(t *testing.T) {
	m := New(Config{Hosts: 12, DCs: 2, Seed: 5, Loss: 0.02, Watchers: 2})
	m.StartAll()
	for i := range 50 {
		m.Platform.Put(fmt.Sprintf("r%d", i), false, 100)
	}
	m.Run(20 * time.Second)
	m.Platform.Put("r7", true, 0)
	m.Run(30 * time.Second)
	before, ok := converged(m)
	assert.Assert(t, ok)
	// With the platform away the host starts from its peers alone.
	m.Platform.Away = true
	h := m.Hosts[3]
	m.Stop(h)
	m.Run(5 * time.Second)
	m.Start(h)
	for range 400 {
		m.Run(Step)
		if h.Replica.Complete() {
			break
		}
	}
	assert.Assert(t, h.Replica.Complete(), "the host did not start from its peers")
	for name, version := range before {
		e, held := h.Replica.Set(msg.SetRecords).Get(config.Key{Kind: "Route", Name: name})
		assert.Assert(t, held && e.Version >= version, "%s is older than before the restart", name)
	}
	e, held := h.Replica.Set(msg.SetRecords).Get(config.Key{Kind: "Route", Name: "r7"})
	assert.Assert(t, !held || e.Deleted, "a deleted record came back")
}

func TestStaleEntryIsRefused(t *testing.T) {
	s := config.NewSet()
	assert.Assert(t, s.Apply(msg.Entry{Kind: "Route", Name: "a", Version: 5}))
	assert.Assert(t, !s.Apply(msg.Entry{Kind: "Route", Name: "a", Version: 4}))
	assert.Assert(t, s.Apply(msg.Entry{Kind: "Route", Name: "a", Version: 6, Deleted: true}))
	assert.Assert(t, !s.Apply(msg.Entry{Kind: "Route", Name: "a", Version: 5}), "a peer brought a deleted record back")
	assert.Equal(t, s.Len(), 0)
}

// The checker of TestRecordsNeverGoBackAndConverge must be able to fail: a
// peer that hands on an older version as if it were new is caught.
func TestVersionCheckDetectsInjectedFault(t *testing.T) {
	m := New(Config{Hosts: 4, DCs: 1, Seed: 1, Watchers: 1})
	m.StartAll()
	broken := ""
	watchVersions(m, &broken)
	h := m.Hosts[0]
	h.Applied(config.Applied{Set: msg.SetRecords, Entry: msg.Entry{Name: "a", Version: 9}})
	h.Applied(config.Applied{Set: msg.SetRecords, Entry: msg.Entry{Name: "a", Version: 8}})
	assert.Assert(t, broken != "")
}

func statuses(m *Mesh, of *Host) map[member.Status]int {
	out := map[member.Status]int{}
	for _, h := range m.Hosts {
		if h.Up && h != of {
			out[h.Members.Status(of.Name)]++
		}
	}
	return out
}

func TestDeadRackIsDetectedWithoutFalsePositives(t *testing.T) {
	m := New(Config{Hosts: 60, DCs: 3, Seed: 9, Loss: 0.02, Instances: 2, Watchers: 2})
	m.StartAll()
	m.Run(10 * time.Second)
	for i := range 12 {
		m.Stop(m.Hosts[i])
	}
	m.Run(40 * time.Second)
	for i, h := range m.Hosts {
		s := statuses(m, h)
		if i < 12 {
			assert.Equal(t, s[member.Dead], 48, "%s: %v", h.Name, s)
		} else {
			assert.Equal(t, s[member.Dead], 0, "%s: %v", h.Name, s)
		}
	}
}

func TestOneWayPartitionIsDetected(t *testing.T) {
	for _, deaf := range []bool{false, true} {
		m := New(Config{Hosts: 20, DCs: 2, Seed: 4, Watchers: 2})
		m.StartAll()
		m.Run(5 * time.Second)
		victim := m.Hosts[6]
		m.Cut = func(from, to *Host) bool {
			if deaf {
				return to == victim
			}
			return from == victim
		}
		m.Run(30 * time.Second)
		s := statuses(m, victim)
		assert.Equal(t, s[member.Alive], 0, "deaf %v: some hold a cut host for alive: %v", deaf, s)
		for _, h := range m.Hosts {
			if h != victim {
				assert.Equal(t, statuses(m, h)[member.Dead] <= 1, true, "deaf %v: the cut host's word killed %s", deaf, h.Name)
			}
		}
		m.Cut = func(_, _ *Host) bool { return false }
		m.Run(60 * time.Second)
		assert.Equal(t, statuses(m, victim)[member.Alive], 19, "deaf %v: the host did not come back", deaf)
	}
}

func TestPartitionedRegionsRejoin(t *testing.T) {
	m := New(Config{Hosts: 30, DCs: 3, Seed: 8, Loss: 0.01, Instances: 1, Watchers: 2})
	m.StartAll()
	m.Run(5 * time.Second)
	m.Cut = func(from, to *Host) bool { return (from.DC == "dc00") != (to.DC == "dc00") }
	m.Platform.Put("before", false, 50)
	m.Run(3 * time.Minute)
	m.Cut = func(_, _ *Host) bool { return false }
	m.Run(90 * time.Second)
	for _, h := range m.Hosts {
		assert.Equal(t, statuses(m, h)[member.Alive], 29, h.Name)
	}
}

func TestFrozenHostComesBack(t *testing.T) {
	m := New(Config{Hosts: 20, DCs: 2, Seed: 6, Watchers: 2})
	m.StartAll()
	m.Run(5 * time.Second)
	victim := m.Hosts[4]
	victim.Frozen = true
	m.Platform.Put("while-frozen", false, 50)
	m.Run(time.Minute)
	assert.Equal(t, statuses(m, victim)[member.Dead], 19)
	victim.Frozen = false
	m.Run(40 * time.Second)
	assert.Equal(t, statuses(m, victim)[member.Alive], 19)
	got, ok := converged(m)
	assert.Assert(t, ok)
	assert.DeepEqual(t, got, expected(&m.Platform))
}

func TestHostRestartedWithAnOlderClockIsHeard(t *testing.T) {
	m := New(Config{Hosts: 12, DCs: 2, Seed: 2, Watchers: 2})
	m.StartAll()
	m.Run(5 * time.Second)
	victim := m.Hosts[4]
	m.Stop(victim)
	m.Run(30 * time.Second)
	victim.Skew = -time.Hour
	m.Start(victim)
	m.Run(40 * time.Second)
	assert.Equal(t, statuses(m, victim)[member.Alive], 11)
}
