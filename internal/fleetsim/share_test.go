package fleetsim

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var large = flag.Bool("large", false, "also run TestEqualInstancesGetEqualShares with large fleets")

// maxHostsUnlessLarge is the size of the largest fleet simulated without -large. Larger fleets
// take minutes with the race detector.
const maxHostsUnlessLarge = 6

// equalInstances is a scenario of one service whose instances are all healthy and equal, at a given
// utilization of their slots.
func equalInstances(hosts int, serviceTime time.Duration, utilization float64) func(uint64) Scenario {
	const slots = 7
	return func(seed uint64) Scenario {
		return Scenario{
			DCs: 3, RemoteDelay: time.Millisecond, LocalDelay: 200 * time.Microsecond, Seed: seed,
			Services: []Service{{"plans", hosts, slots}},
			Kinds: []RequestKind{{
				Name: "view", Service: "plans", RatePerSecond: utilization * float64(hosts*slots) / serviceTime.Seconds(), ServiceTime: serviceTime,
				Objective: 10 * serviceTime, Deadline: 2 * time.Second, Idempotent: true, Priority: 1, MaxAttempts: 2,
			}},
			RetryPercent: 20, RetryReserve: 60, RetryWindow: 10 * time.Second,
			WarmUp: 2 * time.Second, Duration: 20 * time.Second,
		}
	}
}

// countBelowShare counts the spans in which an instance got less than minShare of its even share
// of the requests, and all spans. It also returns the lowest share.
func countBelowShare(r Result, span, length time.Duration, minShare float64) (below, total int, lowest float64) {
	lowest = 1
	for from := time.Duration(0); from+span <= length; from += span / 2 {
		sum, n := 0, 0
		for _, stats := range r.Instances {
			sum += stats.ArrivalsDuring(from, from+span)
			n++
		}
		for _, stats := range r.Instances {
			got := float64(stats.ArrivalsDuring(from, from+span)*n) / float64(max(sum, 1))
			total++
			lowest = min(lowest, got)
			if got < minShare {
				below++
			}
		}
	}
	return below, total, lowest
}

// Guards against equal, healthy instances getting unequal shares of the requests. In the failure, two
// of six instances, different ones in each run, only got trial requests at a tenth of the load: 47
// of 7,300 requests in half a minute each.
//
// It had two causes. Load reports that ask for requests used up the rate limit for load reports, so
// that fronts kept outdated reports and missed others. And the failure estimate of an instance
// without reports rose to the usual share of sick instances, so that it got no requests and was never
// reported on again.
//
// Some spans still fall short; why is not known. Probably all fronts prefer the same few instances
// for some milliseconds, and shares vary by chance where an even share is few requests. An even share
// in each span is a goal, see docs/CAPACITY.md; the test checks that few spans fall short and that no
// instance is starved.
func TestEqualInstancesGetEqualShares(t *testing.T) {
	const span, minShare, starvedShare = 5 * time.Second, 0.5, 0.1
	for _, size := range []struct {
		hosts       int
		serviceTime time.Duration
		// maxBelow is the maximum share of spans below minShare, by utilization.
		maxBelow map[float64]float64
	}{
		{6, 17 * time.Millisecond, map[float64]float64{0.1: 0.12, 0.3: 0, 0.6: 0}},
		{91, 200 * time.Millisecond, map[float64]float64{0.1: 0.012, 0.3: 0.012, 0.6: 0.004}},
		{354, 400 * time.Millisecond, map[float64]float64{0.1: 0.035, 0.3: 0.016, 0.6: 0.002}},
	} {
		if size.hosts > maxHostsUnlessLarge && !*large {
			continue
		}
		for _, utilization := range []float64{0.1, 0.3, 0.6} {
			t.Run(fmt.Sprintf("%d hosts, utilization %.1f", size.hosts, utilization), func(t *testing.T) {
				scenario := equalInstances(size.hosts, size.serviceTime, utilization)
				for seed, r := range simulate(t, *seeds, scenario) {
					below, total, lowest := countBelowShare(r, span, scenario(0).Duration, minShare)
					t.Logf("seed %d: %d of %d spans below half, lowest %.2f of the even share; served %.4f", seed, below, total, lowest, r.Total.Served())
					assert.Check(t, float64(below) <= size.maxBelow[utilization]*float64(total), "seed %d: %d of %d spans below half of the even share", seed, below, total)
					assert.Check(t, lowest > starvedShare, "seed %d: %.2f of the even share", seed, lowest)
				}
			})
		}
	}
}
