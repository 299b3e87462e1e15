package fleetsim

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// registryInNeed is the Registry's scenario without sick instances, in which the first
// instances of one service state a rate limit.
func registryInNeed(seed uint64) Scenario {
	s := registry(seed)
	s.Health.MeanSick, s.Duration = 0, 25*time.Second
	s.RateLimits = []RateLimit{{At: 3 * time.Second, Duration: time.Minute, Service: "claims", Instances: 2, PerSecond: 1.4}}
	return s
}

// wholeFleetInNeed has 984 hosts, each of which sends few requests, most of them to a service of
// eight instances.
func wholeFleetInNeed(seed uint64) Scenario {
	s := registryInNeed(seed)
	s.Services = []Service{{"desk", 488, 4}, {"claims", 8, 16}, {"ledger", 488, 4}}
	s.Kinds[1].RatePerSecond, s.Kinds[1].ServiceTime = 300, 50*time.Millisecond
	s.WarmUp, s.Duration = time.Second, 9*time.Second
	s.RateLimits[0].At = time.Second
	return s
}

// claimsHost is the index of the host of the first instance of the claims service.
const claimsHost = 8

// Guards against hosts that together send an instance more requests than the rate it states.
func TestInstancesGetTheirStatedRateAtMost(t *testing.T) {
	const largest = "984 hosts"
	cases := map[string]func(uint64) Scenario{
		"24 hosts": registryInNeed,
		largest:    wholeFleetInNeed,
		"24 hosts, low limit": func(seed uint64) Scenario {
			s := registryInNeed(seed)
			s.RateLimits[0].PerSecond = 0.3
			return s
		},
		"24 hosts, sick instances": func(seed uint64) Scenario {
			s := registryInNeed(seed)
			s.Health = registry(seed).Health
			return s
		},
		"24 hosts, the instance's host restarts": func(seed uint64) Scenario {
			s := registryInNeed(seed)
			s.HostRestarts = []HostRestart{{At: 10 * time.Second, Downtime: 500 * time.Millisecond, Host: claimsHost}, {At: 15 * time.Second, Downtime: 500 * time.Millisecond, Host: claimsHost + 1}}
			return s
		},
		"24 hosts, the instance's host freezes": func(seed uint64) Scenario {
			s := registryInNeed(seed)
			s.HostFreezes = []HostFreeze{{At: 10 * time.Second, Duration: 4 * time.Second, Host: claimsHost}}
			return s
		},
		"24 hosts, partition": func(seed uint64) Scenario {
			s := registryInNeed(seed)
			s.Partitions = []Partition{{At: 10 * time.Second, Duration: 4 * time.Second}}
			return s
		},
		"24 hosts, another instance takes the address": func(seed uint64) Scenario {
			s := registryInNeed(seed)
			s.Losses = []InstanceLoss{{At: 12 * time.Second, Service: "claims", Instances: 1}}
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
				assert.Check(t, len(r.RateLimited) > 0)
				worst, over := 0, 0
				for instance, s := range r.RateLimited {
					arrivals, allowed := s.WorstWindow()
					worst = max(worst, arrivals)
					if float64(arrivals) > allowed {
						over++
						t.Logf("seed %d: %s stated %.1f a second and got %d requests in %s", seed, instance, s.PerSecond, arrivals, limitWindow)
					}
				}
				t.Logf("seed %d: at most %d requests in %s, %+v", seed, worst, limitWindow, r.Total)
				assert.Check(t, over == 0, "seed %d: %d of %d instances got too many requests", seed, over, len(r.RateLimited))
			}
		})
	}
}
