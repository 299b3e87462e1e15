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

// recordVersionRegressions sets violation if a host applies a version of a record that is not newer
// than the one it applied before in the same incarnation.
func recordVersionRegressions(m *Mesh, violation *string) {
	for _, h := range m.Hosts {
		seen := map[string]int64{}
		incarnation := h.Incarnation
		h.OnApplied = func(a config.Applied) {
			if a.Set != msg.SetRecords {
				return
			}
			if h.Incarnation != incarnation {
				seen, incarnation = map[string]int64{}, h.Incarnation
			}
			if a.Entry.Version <= seen[a.Entry.Name] {
				*violation = fmt.Sprintf("%s went from version %d back to %d of %s", h.Name, seen[a.Entry.Name], a.Entry.Version, a.Entry.Name)
			}
			seen[a.Entry.Name] = a.Entry.Version
		}
	}
}

// converged reports whether all hosts that are up have the same records, and returns the version
// of each record that has not been deleted.
func converged(m *Mesh) (map[string]int64, bool) {
	var root uint64
	first := true
	versions := map[string]int64{}
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
					versions[e.Name] = e.Version
				}
			})
		}
		root, first = s.Root(), false
	}
	return versions, true
}

// expectedVersions returns the versions of the records that the platform holds.
func expectedVersions(p *Platform) map[string]int64 {
	out := map[string]int64{}
	for _, e := range p.list().Entries {
		out[e.Name] = e.Version
	}
	return out
}

// While hosts stop and restart, a host's outbound messages are dropped and the platform is unavailable
// at times, no host returns to an older version of a record. After the faults all hosts have the
// records of the platform.
func TestRecordsNeverRegressAndConverge(t *testing.T) {
	for seed := range uint64(12) {
		m := New(Config{Hosts: 24, DCs: 3, Seed: seed, LossRate: 0.05, Instances: 2, Watchers: 2})
		m.StartAll()
		violation := ""
		recordVersionRegressions(m, &violation)
		var mutedHost *Host
		m.Dropped = func(from, _ *Host) bool { return from == mutedHost }
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
				mutedHost = victim
			case 3:
				mutedHost = nil
				m.Platform.Unavailable = !m.Platform.Unavailable
			}
		}
		m.Platform.Unavailable, mutedHost = false, nil
		for _, h := range m.Hosts {
			if !h.Up {
				m.Start(h)
			}
		}
		m.Run(60 * time.Second)
		assert.Equal(t, violation, "", "seed %d", seed)
		got, ok := converged(m)
		assert.Assert(t, ok, "seed %d: the hosts differ a minute after the faults", seed)
		assert.DeepEqual(t, got, expectedVersions(&m.Platform))
	}
}

// A host that restarts while the platform is unavailable gets the records from other hosts, none of
// them older than before the restart, and no deleted record reappears.
func TestRestartedHostServesNoOlderSet(t *testing.T) {
	m := New(Config{Hosts: 12, DCs: 2, Seed: 5, LossRate: 0.02, Watchers: 2})
	m.StartAll()
	for i := range 50 {
		m.Platform.Put(fmt.Sprintf("r%d", i), false, 100)
	}
	m.Run(20 * time.Second)
	m.Platform.Put("r7", true, 0)
	m.Run(30 * time.Second)
	before, ok := converged(m)
	assert.Assert(t, ok)
	// While the platform is unavailable, the host can get records from its peers only.
	m.Platform.Unavailable = true
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
	assert.Assert(t, !held || e.Deleted, "a deleted record reappeared")
}

func TestStaleEntryIsRefused(t *testing.T) {
	s := config.NewSet()
	assert.Assert(t, s.Apply(msg.Entry{Kind: "Route", Name: "a", Version: 5}))
	assert.Assert(t, !s.Apply(msg.Entry{Kind: "Route", Name: "a", Version: 4}))
	assert.Assert(t, s.Apply(msg.Entry{Kind: "Route", Name: "a", Version: 6, Deleted: true}))
	assert.Assert(t, !s.Apply(msg.Entry{Kind: "Route", Name: "a", Version: 5}), "an older entry restored a deleted record")
	assert.Equal(t, s.Len(), 0)
}

// recordVersionRegressions must detect a host that applies an older version.
func TestVersionCheckDetectsInjectedFault(t *testing.T) {
	m := New(Config{Hosts: 4, DCs: 1, Seed: 1, Watchers: 1})
	m.StartAll()
	violation := ""
	recordVersionRegressions(m, &violation)
	h := m.Hosts[0]
	h.OnApplied(config.Applied{Set: msg.SetRecords, Entry: msg.Entry{Name: "a", Version: 9}})
	h.OnApplied(config.Applied{Set: msg.SetRecords, Entry: msg.Entry{Name: "a", Version: 8}})
	assert.Assert(t, violation != "")
}

// statusCounts counts the other hosts that are up by the membership status they have for a host.
func statusCounts(m *Mesh, of *Host) map[member.Status]int {
	counts := map[member.Status]int{}
	for _, h := range m.Hosts {
		if h.Up && h != of {
			counts[h.Members.Status(of.Name)]++
		}
	}
	return counts
}

func TestDeadRackIsDetectedWithoutFalsePositives(t *testing.T) {
	m := New(Config{Hosts: 60, DCs: 3, Seed: 9, LossRate: 0.02, Instances: 2, Watchers: 2})
	m.StartAll()
	m.Run(10 * time.Second)
	for i := range 12 {
		m.Stop(m.Hosts[i])
	}
	m.Run(40 * time.Second)
	for i, h := range m.Hosts {
		s := statusCounts(m, h)
		if i < 12 {
			assert.Equal(t, s[member.Dead], 48, "%s: %v", h.Name, s)
		} else {
			assert.Equal(t, s[member.Dead], 0, "%s: %v", h.Name, s)
		}
	}
}

// A host whose inbound or outbound messages alone are lost is not considered alive by any other
// host, and at most the host itself considers others dead. It rejoins when the partition ends.
func TestOneWayPartitionIsDetected(t *testing.T) {
	for _, inbound := range []bool{false, true} {
		m := New(Config{Hosts: 20, DCs: 2, Seed: 4, Watchers: 2})
		m.StartAll()
		m.Run(5 * time.Second)
		victim := m.Hosts[6]
		m.Dropped = func(from, to *Host) bool {
			if inbound {
				return to == victim
			}
			return from == victim
		}
		m.Run(30 * time.Second)
		s := statusCounts(m, victim)
		assert.Equal(t, s[member.Alive], 0, "inbound %v: some hosts consider the victim alive: %v", inbound, s)
		for _, h := range m.Hosts {
			if h != victim {
				assert.Equal(t, statusCounts(m, h)[member.Dead] <= 1, true, "inbound %v: hosts other than the victim consider %s dead", inbound, h.Name)
			}
		}
		m.Dropped = func(_, _ *Host) bool { return false }
		m.Run(60 * time.Second)
		assert.Equal(t, statusCounts(m, victim)[member.Alive], 19, "inbound %v: the victim did not rejoin", inbound)
	}
}

// Hosts on both sides of a partition of three minutes rejoin when it ends.
func TestPartitionedDataCentresRejoin(t *testing.T) {
	m := New(Config{Hosts: 30, DCs: 3, Seed: 8, LossRate: 0.01, Instances: 1, Watchers: 2})
	m.StartAll()
	m.Run(5 * time.Second)
	m.Dropped = func(from, to *Host) bool { return (from.DC == "dc00") != (to.DC == "dc00") }
	m.Platform.Put("before", false, 50)
	m.Run(3 * time.Minute)
	m.Dropped = func(_, _ *Host) bool { return false }
	m.Run(90 * time.Second)
	for _, h := range m.Hosts {
		assert.Equal(t, statusCounts(m, h)[member.Alive], 29, h.Name)
	}
}

// A host that was paused for so long that the others consider it dead rejoins and gets the changes
// that it missed.
func TestPausedHostRejoins(t *testing.T) {
	m := New(Config{Hosts: 20, DCs: 2, Seed: 6, Watchers: 2})
	m.StartAll()
	m.Run(5 * time.Second)
	victim := m.Hosts[4]
	victim.Paused = true
	m.Platform.Put("while-frozen", false, 50)
	m.Run(time.Minute)
	assert.Equal(t, statusCounts(m, victim)[member.Dead], 19)
	victim.Paused = false
	m.Run(40 * time.Second)
	assert.Equal(t, statusCounts(m, victim)[member.Alive], 19)
	got, ok := converged(m)
	assert.Assert(t, ok)
	assert.DeepEqual(t, got, expectedVersions(&m.Platform))
}

// A host whose clock is an hour behind after a restart must not be ignored because its version,
// derived from the clock, is older than before.
func TestHostRestartedWithClockBehindRejoins(t *testing.T) {
	m := New(Config{Hosts: 12, DCs: 2, Seed: 2, Watchers: 2})
	m.StartAll()
	m.Run(5 * time.Second)
	victim := m.Hosts[4]
	m.Stop(victim)
	m.Run(30 * time.Second)
	victim.ClockSkew = -time.Hour
	m.Start(victim)
	m.Run(40 * time.Second)
	assert.Equal(t, statusCounts(m, victim)[member.Alive], 11)
}
