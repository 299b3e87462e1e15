package mesh

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// maxTurnedAwayDelay is the bound for a change while the platform turns some hosts away: 2 s, and
// 5 s by which an unstable platform may extend it.
const maxTurnedAwayDelay = 7 * time.Second

// turnAwayCallers turns away the hosts that call the platform, up to a number of them, and reports
// how many have been.
func (m *Mesh) turnAwayCallers(most int) (away map[*Host]bool) {
	away = make(map[*Host]bool)
	m.Platform.Called = make(map[*Host]bool)
	m.Platform.TurnedAway = func(h *Host) bool {
		if !away[h] && len(away) < most {
			away[h] = true
		}
		return away[h]
	}
	return away
}

// Guards against a platform that turns away just the hosts that call it, and whoever calls it in
// their place, up to a third of the fleet: the others must read it in time.
func TestChangeIsAppliedWhileCallersAreTurnedAway(t *testing.T) {
	for _, size := range []struct{ hosts, dcs int }{{24, 3}, {91, 4}, {354, 5}, {984, 11}, {1600, 11}} {
		if size.hosts > max(*maxHosts, 24) {
			continue
		}
		watchers := 2 * size.dcs
		for name, test := range map[string]struct {
			turnedAway int
			silent     bool
		}{
			"watchers of one data centre": {2, false},
			"all watchers":                {watchers, false},
			"all watchers and as many":    {min(2*watchers, size.hosts/3), false},
			"all watchers, silently":      {watchers, true},
		} {
			t.Run(fmt.Sprintf("%d hosts, %s", size.hosts, name), func(t *testing.T) {
				m := New(Config{Hosts: size.hosts, DCs: size.dcs, Seed: 1, Watchers: 2, Replica: quickReplicationConfig()})
				m.StartAll()
				m.Run(5 * time.Second)
				m.Platform.Silent = test.silent
				away := m.turnAwayCallers(test.turnedAway)
				m.Run(200 * time.Millisecond)
				before := m.Platform.Calls
				m.Platform.Put("r", false, 100)
				_, all := timeUntil(m, 30*time.Second, func(h *Host) bool { return valueSize(h, "r") == 100 })
				t.Logf("all hosts have the change after %s; %d hosts turned away, %d called, %d calls", all, len(away), len(m.Platform.Called), m.Platform.Calls-before)
				assert.Check(t, all <= maxTurnedAwayDelay)
				m.Platform.TurnedAway = nil
				m.Run(10 * time.Second)
				m.Platform.Called = make(map[*Host]bool)
				m.Run(5 * time.Second)
				assert.Equal(t, len(m.Platform.Called), watchers, "only the watchers call")
			})
		}
	}
}

// maxOutageCalls bounds the calls a second of all hosts while the platform serves none: a fifth of
// the 2,000 that it serves.
const maxOutageCalls = 400

// Guards against an outage in which a large fleet calls the platform at once, during the outage or
// when it ends. The calls depend on the number of data centres, not on that of hosts.
func TestOutageCallsDoNotGrowWithFleet(t *testing.T) {
	for _, size := range []struct{ hosts, dcs int }{{24, 3}, {354, 5}, {984, 11}, {1600, 11}} {
		if size.hosts > max(*maxHosts, 24) {
			continue
		}
		t.Run(fmt.Sprint(size.hosts, " hosts"), func(t *testing.T) {
			m := New(Config{Hosts: size.hosts, DCs: size.dcs, Seed: 1, Watchers: 2, Replica: quickReplicationConfig()})
			m.StartAll()
			m.Run(5 * time.Second)
			calls := func(d time.Duration) float64 {
				before := m.Platform.Calls
				m.Run(d)
				return float64(m.Platform.Calls-before) / d.Seconds()
			}
			sound := calls(10 * time.Second)
			m.Platform.Unavailable = true
			busiest := 0.0
			for range 10 {
				busiest = max(busiest, calls(time.Second))
			}
			m.Run(time.Minute)
			late := calls(10 * time.Second)
			m.Platform.Unavailable = false
			end := calls(time.Second)
			t.Logf("calls a second: %.1f while all are served, %.1f in the busiest second of an outage, %.1f after a minute, %.1f in the second after it", sound, busiest, late, end)
			assert.Check(t, busiest <= maxOutageCalls)
			assert.Check(t, late <= maxOutageCalls)
			assert.Check(t, end <= maxOutageCalls)
		})
	}
}
