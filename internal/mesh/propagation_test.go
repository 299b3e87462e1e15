package mesh

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/radishhoist/radishhoist/internal/core/config"
	"github.com/radishhoist/radishhoist/internal/core/member"
	"github.com/radishhoist/radishhoist/internal/msg"
)

// 984 and 1,970 hosts take minutes with the race detector.
var maxHosts = flag.Int("hosts", 354, "size of the largest fleet that TestPropagationTimes measures")

// timeUntil returns the virtual time until a condition holds on every host that is up, and
// the time until it holds on nine in ten of them; limit if that takes longer.
func timeUntil(m *Mesh, limit time.Duration, holds func(*Host) bool) (most, all time.Duration) {
	start := m.Now
	for m.Now.Sub(start) < limit {
		m.Run(Step)
		up, reached := 0, 0
		for _, h := range m.Hosts {
			if h.Up {
				up++
				if holds(h) {
					reached++
				}
			}
		}
		if most == 0 && reached*10 >= up*9 {
			most = m.Now.Sub(start)
		}
		if reached == up {
			return most, m.Now.Sub(start)
		}
	}
	if most == 0 {
		most = limit
	}
	return most, limit
}

// considersDead reports whether a host considers all of the given hosts dead.
func considersDead(h *Host, dead []*Host) bool {
	for _, d := range dead {
		if h.Members.Status(d.Name) != member.Dead {
			return false
		}
	}
	return true
}

// The time in which the last host learns of a change of a record, of a host that leaves, of a
// host that dies and of one in fifteen hosts that die at once must not grow with the fleet. Of
// an instance that fails, fronts learn at their next choice, see package front.
func TestPropagationTimes(t *testing.T) {
	const limit = time.Minute
	// The suspicion timeout of 4 s, the probes before it and a repair of 0.9 s.
	const maxDeathTime = 15 * time.Second
	for _, hosts := range []int{24, 354, 984, 1970} {
		if hosts > *maxHosts {
			continue
		}
		t.Run(fmt.Sprint(hosts, " hosts"), func(t *testing.T) {
			m := New(Config{Hosts: hosts, DCs: 5, Seed: 1, Instances: 1, Watchers: 2, Replica: quickReplicationConfig()})
			m.StartAll()
			m.Run(5 * time.Second)

			m.Platform.Put("r", false, 300)
			mostChanged, changed := timeUntil(m, limit, func(h *Host) bool {
				_, ok := h.Replica.Set(msg.SetRecords).Get(config.Key{Kind: "Route", Name: "r"})
				return ok
			})
			leaving := m.Hosts[hosts/2]
			m.Republish(leaving)
			mostLeft, left := timeUntil(m, limit, func(h *Host) bool {
				e, _ := h.Replica.Set(msg.SetHosts).Get(config.Key{Kind: "Host", Name: leaving.Name})
				return e.Version == leaving.version
			})
			dead := []*Host{m.Hosts[hosts/3]}
			m.Stop(dead[0])
			mostDead, oneDead := timeUntil(m, limit, func(h *Host) bool { return considersDead(h, dead) })
			for i := 1; i < hosts; i += 15 {
				if m.Hosts[i].Up {
					m.Stop(m.Hosts[i])
					dead = append(dead, m.Hosts[i])
				}
			}
			mostManyDead, manyDead := timeUntil(m, limit, func(h *Host) bool { return considersDead(h, dead) })
			t.Logf("nine in ten hosts, all: change %s, %s; leaving host %s, %s; dead host %s, %s; %d dead hosts %s, %s",
				mostChanged, changed, mostLeft, left, mostDead, oneDead, len(dead)-1, mostManyDead, manyDead)
			assert.Assert(t, changed <= maxPropagationTime, "a change reached all hosts after %s", changed)
			assert.Assert(t, left <= maxPropagationTime, "a leaving host was known to all after %s", left)
			assert.Assert(t, oneDead <= maxDeathTime, "a dead host was known to all after %s", oneDead)
			assert.Assert(t, manyDead <= 2*maxDeathTime, "%d dead hosts were known to all after %s", len(dead)-1, manyDead)
		})
	}
}
