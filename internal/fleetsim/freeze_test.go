package fleetsim

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	frozenFrom = 8 * time.Second
	frozenFor  = 5 * time.Second
)

// frozenHosts is a fleet of 82 hosts of which every fifth freezes for some seconds.
func frozenHosts(seed uint64) Scenario {
	s := largeLowLoad(seed)
	for h := 0; h < 82; h += 5 {
		s.HostFreezes = append(s.HostFreezes, HostFreeze{At: frozenFrom, Duration: frozenFor, Host: h})
	}
	return s
}

// isFrozen reports whether the host of an instance freezes in frozenHosts.
func isFrozen(r Result, instance string) bool { return r.FrozenInstances[instance] }

// Guards against healthy instances that get no requests while others are frozen. That a host
// which does not reply is avoided is checked by the front's tests of load queries: chance in the
// share answered in time, which is logged, is nearly as large here as what it gains.
func TestFrozenHostsAreAvoided(t *testing.T) {
	const maxUnderserved = 0.1
	results := simulate(t, 2**seeds, frozenHosts)
	inTime := 0.0
	for _, r := range results {
		inTime += float64(r.Total.InTime) / float64(r.Total.Sent) / float64(len(results))
	}
	for _, service := range frozenHosts(0).Services {
		underserved, spans := 0, 0
		for _, r := range results {
			healthy := r
			healthy.Instances = make(map[string]*InstanceStats)
			for name, stats := range r.Instances {
				if !isFrozen(r, name) {
					healthy.Instances[name] = stats
				}
			}
			u, n := countUnderserved(healthy, service.Name, frozenHosts(0).Duration)
			underserved, spans = underserved+u, spans+n
		}
		t.Logf("%s: %d of %d spans underserved", service.Name, underserved, spans)
		assert.Assert(t, float64(underserved) <= maxUnderserved*float64(spans))
	}
	t.Logf("in time: %.4f", inTime)
}
