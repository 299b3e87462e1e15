package quota

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// strategy is a way to enforce rates, applied by modifying the nodes of a simulation.
type strategy struct {
	name  string
	apply func(s *sim)
}

var strategies = []strategy{
	{"a share of the rate at each host", func(s *sim) {
		for _, h := range s.hosts {
			h.node.SetHosts(s.time(), []Host{{Name: h.name, DC: h.dc}}, len(s.hosts))
		}
	}},
	{"the home is queried for each request", func(s *sim) { s.alwaysQuery = true }},
	{"usage reported, queries by the host's own count only", func(s *sim) { s.ignoreNearLimit = true }},
	{"usage reported, queries near the limit", func(*sim) {}},
}

// Compares the enforcement strategies of docs/design/0010-teams.md: a large team sends 7.5
// times its usual load, 4.7 times its rate, for 6.5 s, among forty medium ones at their usual
// load. Only the last strategy, the one in use, is checked: the large team must stay within
// its allowed excess, and at most one in 200 requests of the medium teams may be refused.
func TestEnforcementStrategies(t *testing.T) {
	for _, hosts := range []int{6, 91, 354, 1600} {
		for _, st := range strategies {
			limits := map[string]Limit{"hot": large}
			for i := range 40 {
				limits[fmt.Sprintf("team%02d", i)] = medium
			}
			s := newSim(1, hosts, limits)
			st.apply(s)
			const begin, end = 8 * time.Second, 20 * time.Second
			usual := large.Rate / 1.6
			s.load("hot", usual, begin, 10*time.Second, s.randomHost)
			s.load("hot", 7.5*usual, 10*time.Second, 16500*time.Millisecond, s.randomHost)
			for i := range 40 {
				s.load(fmt.Sprintf("team%02d", i), medium.Rate/1.6, begin, end, s.randomHost)
			}
			s.run(begin)
			s.packets, s.bytes = 0, 0
			s.run(end)
			refused, offered := 0, 0
			for i := range 40 {
				refused += s.refused[fmt.Sprintf("team%02d", i)]
				offered += s.offered[fmt.Sprintf("team%02d", i)]
			}
			perHost := 1 / (float64(hosts) * (end - begin).Seconds())
			t.Logf("%4d hosts, %-48s beyond the limit %4.0f, %.0f allowed; refused below it %4.1f %%; p99 %6s; %.2f datagrams and %3.0f bytes per second and host",
				hosts, st.name, s.excess("hot"), s.allowedExcess("hot"), 100*float64(refused)/float64(offered), s.p99().Round(100*time.Microsecond),
				float64(s.packets)*perHost, float64(s.bytes)*perHost)
			if st.name == strategies[len(strategies)-1].name {
				assert.Check(t, s.excess("hot") <= s.allowedExcess("hot"))
				assert.Check(t, refused*200 <= offered, "%d of %d refused", refused, offered)
			}
		}
	}
}
