package quota

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// simSeeds is the number of runs of each scenario.
const simSeeds = 5

// Typical limits of a large and a medium team. The usual load of a team in the tests is its
// rate divided by 1.6.
var (
	large  = Limit{Rate: 35, Burst: 35}
	medium = Limit{Rate: 4.4, Burst: 4.4}
)

// scenario is a fault that is injected while a team exceeds its limit.
type scenario struct {
	name   string
	inject func(s *sim)
}

// The team sends 7.5 times its usual load, 4.7 times its rate, from 5 s to 11.5 s.
var scenarios = []scenario{
	{"no fault", func(*sim) {}},
	{"its home is frozen", func(s *sim) { s.at(6*time.Second, func() { s.freeze(s.homeOf("hot"), 3500*time.Millisecond) }) }},
	{"its home is frozen as the load begins", func(s *sim) { s.at(4900*time.Millisecond, func() { s.freeze(s.homeOf("hot"), 3500*time.Millisecond) }) }},
	{"its home is killed", func(s *sim) { s.at(6*time.Second, func() { s.kill(s.homeOf("hot"), 2*time.Second) }) }},
	{"rolling restart of all hosts", func(s *sim) {
		for i := range s.hosts {
			s.at(5*time.Second+time.Duration(i)*100*time.Millisecond, func() { s.kill(i, 500*time.Millisecond) })
		}
	}},
	{"a sixth of the hosts is isolated", func(s *sim) { s.partition(6*time.Second, 5500*time.Millisecond, false, len(s.hosts)/6) }},
	{"a third of the hosts is partitioned from the others", func(s *sim) { s.partition(6*time.Second, 12*time.Second, true, len(s.hosts)/3) }},
	{"all hosts are killed", func(s *sim) {
		s.at(7*time.Second, func() {
			for i := range s.hosts {
				s.kill(i, time.Second+time.Duration(s.rng.Int64N(int64(300*time.Millisecond))))
			}
		})
	}},
	{"datagrams are lost and duplicated", func(s *sim) { s.lossRate, s.duplicateRate = 0.05, 0.05 }},
}

// homeOf returns a team's home, as seen by the first host.
func (s *sim) homeOf(team string) int {
	n := s.hosts[0].node
	return s.index(n.homeAndSuccessor(n.account(s.time(), team, s.limits[team]))[0])
}

// partition separates the first size hosts from the others. If connected is false, these
// first hosts do not reach each other either.
func (s *sim) partition(at, length time.Duration, connected bool, size int) {
	s.at(at, func() {
		separated := func(i, j int) bool { return i != j && (i < size) != (j < size) || !connected && i != j && i < size }
		s.blocked = separated
		for i := range s.hosts {
			for j := range s.hosts {
				if separated(i, j) {
					s.setVisible(i, j, false)
				}
			}
		}
		s.after(length, func() {
			s.blocked = func(int, int) bool { return false }
			for i := range s.hosts {
				for j := range s.hosts {
					s.setVisible(i, j, true)
				}
			}
		})
	})
}

// Guards against enforcing the limit at each host separately: 91 hosts together then
// admitted nearly all of a team's excess, and did so again after each restart. Over all
// hosts, a team may exceed its limit in any five seconds by at most a tenth plus twenty
// requests.
func TestRateIsEnforcedAcrossHosts(t *testing.T) {
	for _, hosts := range []int{6, 24, 91} {
		for name, limit := range map[string]Limit{"large": large, "medium": medium} {
			for _, sc := range scenarios {
				t.Run(fmt.Sprintf("%d hosts, %s, %s", hosts, name, sc.name), func(t *testing.T) {
					t.Parallel()
					for seed := range uint64(simSeeds) {
						s := newSim(seed, hosts, map[string]Limit{"hot": limit})
						usual := limit.Rate / 1.6
						s.load("hot", usual, 0, 5*time.Second, s.randomHost)
						s.load("hot", 7.5*usual, 5*time.Second, 11500*time.Millisecond, s.randomHost)
						s.load("hot", usual, 11500*time.Millisecond, 20*time.Second, s.randomHost)
						sc.inject(s)
						s.run(20 * time.Second)
						excess := s.excess("hot")
						t.Logf("seed %d: %.0f beyond the limit, %.0f allowed; admitted %d of %d", seed, excess, s.allowedExcess("hot"), len(s.admitted["hot"]), s.offered["hot"])
						assert.Check(t, excess <= s.allowedExcess("hot"), "seed %d: %.0f beyond the limit, %.0f allowed", seed, excess, s.allowedExcess("hot"))
					}
				})
			}
		}
	}
}

// For teams at their usual load, below their rate, at most one request in 500 is refused
// while all hosts keep running.
func TestTeamsBelowTheirRateAreNotRefused(t *testing.T) {
	for _, hosts := range []int{6, 91, 354} {
		limits := make(map[string]Limit)
		for i := range 40 {
			limits[fmt.Sprintf("team%02d", i)] = medium
		}
		limits["big"] = large
		s := newSim(1, hosts, limits)
		for _, team := range slices.Sorted(maps.Keys(limits)) {
			l := limits[team]
			s.load(team, l.Rate/1.6, 8*time.Second, 30*time.Second, s.randomHost)
		}
		s.run(31 * time.Second)
		refused, offered, queried := 0, 0, 0
		for team := range limits {
			refused += s.refused[team]
			offered += s.offered[team]
			queried += s.queried[team]
		}
		t.Logf("%d hosts: %d of %d refused, %d queried, p99 decision time %s; %.2f datagrams and %.0f bytes per request", hosts, refused, offered, queried, s.p99(),
			float64(s.packets)/float64(offered), float64(s.bytes)/float64(offered))
		assert.Check(t, refused*500 <= offered, "%d hosts: %d of %d refused", hosts, refused, offered)
	}
}
