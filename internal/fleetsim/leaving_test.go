package fleetsim

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// registryWithLeavings is the Registry's scenario without sick instances, in which two
// instances of one service state that they are leaving. They never announce it.
func registryWithLeavings(seed uint64) Scenario {
	s := registry(seed)
	s.Health.MeanSick, s.Duration = 0, 20*time.Second
	s.Leavings = []Leaving{{At: 5 * time.Second, Service: "claims", Instances: 2}}
	return s
}

// wholeFleetWithLeavings has 984 hosts.
func wholeFleetWithLeavings(seed uint64) Scenario {
	s := wholeFleetInNeed(seed)
	s.RateLimits, s.Leavings = nil, []Leaving{{At: time.Second, Service: "claims", Instances: 2}}
	return s
}

// Guards against requests to an instance whose responses say that it is leaving, although its
// announcements do not, or did so to an earlier process of its host.
func TestLeavingInstancesGetNoRequests(t *testing.T) {
	const largest = "984 hosts"
	cases := map[string]func(uint64) Scenario{
		"24 hosts": registryWithLeavings,
		largest:    wholeFleetWithLeavings,
		"24 hosts, withdrawn late": func(seed uint64) Scenario {
			s := registryWithLeavings(seed)
			s.Leavings[0].WithdrawAfter = 6 * time.Second
			return s
		},
		"24 hosts, the instance's host restarts": func(seed uint64) Scenario {
			s := registryWithLeavings(seed)
			s.HostRestarts = []HostRestart{{At: 8 * time.Second, Downtime: 500 * time.Millisecond, Host: claimsHost}}
			return s
		},
		"24 hosts, the instance's host restarts after a withdrawal": func(seed uint64) Scenario {
			s := registryWithLeavings(seed)
			s.Leavings[0].WithdrawAfter = time.Second
			s.HostRestarts = []HostRestart{{At: 8 * time.Second, Downtime: 500 * time.Millisecond, Host: claimsHost}}
			return s
		},
		"24 hosts, the instance's host freezes": func(seed uint64) Scenario {
			s := registryWithLeavings(seed)
			s.HostFreezes = []HostFreeze{{At: 6 * time.Second, Duration: 4 * time.Second, Host: claimsHost}}
			return s
		},
		"24 hosts, partition": func(seed uint64) Scenario {
			s := registryWithLeavings(seed)
			s.Partitions = []Partition{{At: 6 * time.Second, Duration: 4 * time.Second}}
			return s
		},
	}
	for name, scenario := range cases {
		t.Run(name, func(t *testing.T) {
			n := *seeds
			if name == largest {
				n = 1
			}
			for seed, r := range simulate(t, n, scenario) {
				t.Logf("seed %d: %d responses, late arrivals %v, %+v", seed, r.LeavingResponses, r.LateArrivals, r.Total)
				assert.Check(t, r.LeavingResponses > 0)
				assert.Check(t, len(r.LateArrivals) == 0, "seed %d", seed)
			}
		})
	}
}

// An instance that starts again at the address of one that has left gets requests.
func TestInstanceAtAddressOfOneThatLeftGetsRequests(t *testing.T) {
	scenario := func(seed uint64) Scenario {
		s := registryWithLeavings(seed)
		s.Leavings[0].WithdrawAfter, s.Leavings[0].RestartAfter = time.Second, 5*time.Second
		return s
	}
	for seed, r := range simulate(t, *seeds, scenario) {
		for _, name := range []string{"claims-0", "claims-1"} {
			n := r.Instances[name].ArrivalsDuring(11*time.Second, 20*time.Second)
			assert.Check(t, n > 0, "seed %d: %s got no request", seed, name)
		}
		assert.Check(t, len(r.LateArrivals) == 0, "seed %d: %v", seed, r.LateArrivals)
	}
}
