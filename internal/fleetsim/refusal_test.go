package fleetsim

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	refusalStart    = 12 * time.Second
	refusalDuration = 8500 * time.Millisecond
)

// competingCallers is a smaller version of the deployment whose callers compete for too little
// capacity, with 24 instances of 8 slots. One service refuses more than half of its arrivals.
func competingCallers(seed uint64) Scenario {
	ms := func(n int) time.Duration { return time.Duration(n) * time.Millisecond }
	return Scenario{
		DCs: 3, RemoteDelay: 1400 * time.Microsecond, LocalDelay: 200 * time.Microsecond, Seed: seed,
		Services: []Service{{"shelf", 8, 8}, {"desk", 12, 8}, {"register", 4, 8}},
		Kinds: []RequestKind{
			{Name: "read", Service: "shelf", RatePerSecond: 17, ServiceTime: ms(780), Objective: ms(2500), Deadline: ms(10000), Idempotent: true, Priority: 1, MaxAttempts: 3, CalledKind: "check", CallProbability: 0.7},
			{Name: "file", Service: "desk", RatePerSecond: 50, ServiceTime: ms(620), Objective: ms(2500), Deadline: ms(12000), Priority: 1, MaxAttempts: 3, CalledKind: "lookup", CallProbability: 0.3},
			{Name: "push", Service: "desk", RatePerSecond: 6, ServiceTime: ms(740), Objective: ms(6000), Deadline: ms(12000), Priority: 0, MaxAttempts: 3},
			{Name: "register", Service: "register", RatePerSecond: 6, ServiceTime: ms(510), Objective: ms(2000), Deadline: ms(6000), Priority: 3, MaxAttempts: 3},
			{Name: "check", Service: "desk", ServiceTime: ms(150), Objective: ms(600), Deadline: ms(2000), Idempotent: true, Priority: 2, MaxAttempts: 3},
			{Name: "lookup", Service: "shelf", ServiceTime: ms(150), Objective: ms(600), Deadline: ms(2000), Idempotent: true, Priority: 2, MaxAttempts: 3},
		},
		Health:       Health{MeanHealthy: 21 * time.Second, MeanSick: 9 * time.Second, SickFailureRate: 0.75, HealthyFailureRate: 0.01},
		RetryPercent: 20, RetryReserve: 50, RetryWindow: 10 * time.Second,
		Refusals: []Refusal{{At: refusalStart, Duration: refusalDuration, Service: "desk", Instances: 12, Share: 0.55}},
		WarmUp:   8 * time.Second, Duration: 30 * time.Second,
	}
}

// Guards against retries over the budget and requests that run twice when instances refuse
// requests, and with LearnRefusals against instances that get most of the requests of a service
// because they happened to refuse less.
func TestRefusingServiceKeepsToRetryBudget(t *testing.T) {
	// servedTolerance allows for chance: shares served with two seeds differ by up to 0.01
	// between runs.
	const servedTolerance = 0.02
	for _, c := range []struct {
		name      string
		instances int
	}{
		{"all instances refuse", 12},
		{"half of the instances refuse", 6},
		{"one instance refuses", 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			var served [2]float64
			var busiest [2]int
			for k, learn := range []bool{false, true} {
				scenario := func(seed uint64) Scenario {
					s := competingCallers(seed)
					s.LearnRefusals, s.Refusals[0].Instances = learn, c.instances
					return s
				}
				results := simulate(t, min(*seeds, 2), scenario)
				all := sumOutcomes(results)
				served[k], busiest[k] = all.Served(), busiestArrivals(results, "desk")
				t.Logf("learn refusals %v: served %.4f, in time %.4f, busiest instances %d arrivals while refusing: %+v",
					learn, all.Served(), float64(all.InTime)/float64(all.Sent), busiest[k], all)
				for _, r := range results {
					assert.Equal(t, len(r.RunTwice), 0, "%v", r.RunTwice)
					checkRetryLimits(t, scenario(0), r)
				}
			}
			assert.Assert(t, served[1] >= served[0]-servedTolerance, "%v", served)
			if c.instances == 12 {
				assert.Assert(t, busiest[1] < busiest[0], "%v", busiest)
			}
		})
	}
}

// busiestArrivals returns the arrivals at the instance of a service that got the most while it
// refused, summed over the results.
func busiestArrivals(results []Result, service string) int {
	sum := 0
	for _, r := range results {
		most := 0
		for _, stats := range r.Instances {
			if stats.Service == service {
				most = max(most, stats.ArrivalsDuring(refusalStart, refusalStart+refusalDuration))
			}
		}
		sum += most
	}
	return sum
}
