package fleetsim

import (
	"flag"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"golang.org/x/sync/semaphore"
	"gotest.tools/v3/assert"
)

// The default is enough to check the limits. Comparing two policies takes about 24 seeds, with which
// the share served varies by 0.002 between runs.
var seeds = flag.Int("seeds", 2, "number of seeds for each case")

// bookings is a scenario whose most loaded service calls the others, with instances that are
// sick a third of the time.
func bookings(seed uint64, load float64) Scenario {
	ms := func(n int) time.Duration { return time.Duration(n) * time.Millisecond }
	return Scenario{
		DCs: 4, RemoteDelay: 500 * time.Microsecond, LocalDelay: 200 * time.Microsecond, Seed: seed,
		Services: []Service{{"browser", 8, 5}, {"desk", 11, 5}, {"shelf", 8, 5}},
		Kinds: []RequestKind{
			{Name: "browse", Service: "browser", RatePerSecond: 23 * load, ServiceTime: ms(620), Objective: ms(2000), Deadline: ms(4000), Idempotent: true, Priority: 1, MaxAttempts: 2, CalledKind: "check", CallProbability: 0.4},
			{Name: "deposit", Service: "desk", RatePerSecond: 44 * load, ServiceTime: ms(480), Objective: ms(2000), Deadline: ms(6000), Priority: 3, MaxAttempts: 2, CalledKind: "catalogue", CallProbability: 0.4},
			{Name: "song", Service: "shelf", RatePerSecond: 6 * load, ServiceTime: ms(380), Objective: ms(2000), Deadline: ms(4000), Idempotent: true, Priority: 1, MaxAttempts: 2},
			{Name: "voucher", Service: "shelf", RatePerSecond: 7 * load, ServiceTime: ms(380), Objective: ms(1500), Deadline: ms(4000), Priority: 2, MaxAttempts: 2},
			{Name: "check", Service: "desk", ServiceTime: ms(120), Objective: ms(400), Deadline: ms(1500), Idempotent: true, Priority: 3, MaxAttempts: 2},
			{Name: "catalogue", Service: "shelf", ServiceTime: ms(120), Objective: ms(400), Deadline: ms(1500), Idempotent: true, Priority: 3, MaxAttempts: 2},
		},
		Health:       Health{MeanHealthy: 26 * time.Second, MeanSick: 13 * time.Second, SickFailureRate: 0.9, HealthyFailureRate: 0.02},
		RetryPercent: 20, RetryReserve: 60, RetryWindow: 10 * time.Second,
		WarmUp: 8 * time.Second, Duration: 40 * time.Second,
	}
}

// largeLowLoad is a scenario with many instances and a low load, so that each front gets few responses
// from each instance.
func largeLowLoad(seed uint64) Scenario {
	s := bookings(seed, 1)
	s.Services = []Service{{"browser", 30, 11}, {"desk", 40, 11}, {"shelf", 12, 11}}
	s.RetryReserve = 180
	s.Duration = 20 * time.Second
	return s
}

// maxHostsAtOnce limits the hosts of all simulations that run at the same time; a larger fleet runs
// alone. Without it, memory grew with the number of cores: under the race detector, eight seeds of 82
// hosts took 3.2 GB and one of 354 hosts takes 2.2 GB.
const maxHostsAtOnce = 200

var simulatedHosts = semaphore.NewWeighted(maxHostsAtOnce)

// simulate runs a scenario with each of n seeds in virtual time.
func simulate(t *testing.T, n int, scenario func(seed uint64) Scenario) []Result {
	t.Helper()
	out := make([]Result, n)
	t.Run("simulate", func(t *testing.T) {
		for k := range n {
			t.Run(fmt.Sprint("seed", k), func(t *testing.T) {
				t.Parallel()
				s, hosts := scenario(uint64(k)), int64(0)
				for _, service := range s.Services {
					hosts += int64(service.Instances)
				}
				hosts = min(hosts, maxHostsAtOnce)
				assert.NilError(t, simulatedHosts.Acquire(t.Context(), hosts))
				defer simulatedHosts.Release(hosts)
				synctest.Test(t, func(*testing.T) { out[k] = Run(s) })
			})
		}
	})
	return out
}

func sumOutcomes(results []Result) Outcome {
	var all Outcome
	for _, r := range results {
		all.add(r.Total)
	}
	return all
}

const (
	// checkedSpan is the time within which healthy instances get requests.
	checkedSpan = 2 * time.Second
	// minServedShare is the minimum share of the healthy instances of a service that get requests.
	minServedShare = 0.7
)

// countUnderserved counts the spans in which less than minServedShare of the healthy instances got
// a request, and the spans checked. Instances that were sick during a span or within checkedSpan
// before it do not count.
func countUnderserved(r Result, service string, length time.Duration) (underserved, spans int) {
	const step = 500 * time.Millisecond
	for from := time.Duration(0); from+checkedSpan <= length; from += step {
		healthy, served := 0, 0
		for _, stats := range r.Instances {
			if stats.Service != service || stats.SickDuring(from-checkedSpan, from+checkedSpan) {
				continue
			}
			healthy++
			if stats.ArrivalsDuring(from, from+checkedSpan) > 0 {
				served++
			}
		}
		if healthy == 0 {
			continue
		}
		spans++
		if float64(served) < minServedShare*float64(healthy) {
			underserved++
		}
	}
	return underserved, spans
}

// Guards against healthy instances that get no requests, in particular when there are few requests
// and each front gets few responses from each instance. When only suspect instances asked for
// requests, 61 of 111 spans of the service with the most instances were underserved.
func TestHealthyInstancesGetRequests(t *testing.T) {
	// The order of simultaneous events is not deterministic, so that runs with the same seed differ:
	// two seeds gave 1 to 8 underserved spans of 74 (3.9 on average in 32 runs), which exceeded a
	// tenth in one run. With more seeds a tenth is a reliable limit.
	const maxUnderserved, seedFactor = 0.1, 4
	results := simulate(t, seedFactor**seeds, largeLowLoad)
	for _, service := range largeLowLoad(0).Services {
		underserved, spans := 0, 0
		for _, r := range results {
			u, n := countUnderserved(r, service.Name, largeLowLoad(0).Duration)
			underserved, spans = underserved+u, spans+n
		}
		t.Logf("%s: %d of %d spans underserved", service.Name, underserved, spans)
		assert.Assert(t, float64(underserved) <= maxUnderserved*float64(spans), "%s: %d of %d spans underserved", service.Name, underserved, spans)
	}
}

// bureau is a large scenario: 354 hosts in five data centres, with three requests a second
// each.
func bureau(seed uint64) Scenario {
	ms := func(n int) time.Duration { return time.Duration(n) * time.Millisecond }
	return Scenario{
		DCs: 5, RemoteDelay: 500 * time.Microsecond, LocalDelay: 100 * time.Microsecond, Seed: seed,
		Services: []Service{{"plans", 85, 9}, {"coach", 137, 9}, {"permits", 132, 9}},
		Kinds: []RequestKind{
			{Name: "view", Service: "plans", RatePerSecond: 180, ServiceTime: ms(1000), Objective: ms(2500), Deadline: ms(6000), Idempotent: true, Priority: 1, MaxAttempts: 2, CalledKind: "seat", CallProbability: 0.9},
			{Name: "book", Service: "coach", RatePerSecond: 550, ServiceTime: ms(760), Objective: ms(2500), Deadline: ms(8000), Priority: 2, MaxAttempts: 2, CalledKind: "fee", CallProbability: 0.7},
			{Name: "pay", Service: "permits", RatePerSecond: 180, ServiceTime: ms(540), Objective: ms(2000), Deadline: ms(6000), Priority: 3, MaxAttempts: 2},
			{Name: "board", Service: "permits", RatePerSecond: 124, ServiceTime: ms(3000), Objective: ms(8000), Deadline: ms(25000), Idempotent: true, Priority: 1, MaxAttempts: 2},
			{Name: "seat", Service: "coach", ServiceTime: ms(190), Objective: ms(800), Deadline: ms(2000), Idempotent: true, Priority: 3, MaxAttempts: 2},
			{Name: "fee", Service: "permits", ServiceTime: ms(190), Objective: ms(800), Deadline: ms(2000), Idempotent: true, Priority: 3, MaxAttempts: 2},
		},
		Health:       Health{MeanHealthy: 21 * time.Second, MeanSick: 9 * time.Second, SickFailureRate: 0.75, HealthyFailureRate: 0.02},
		RetryPercent: 20, RetryReserve: 630, RetryWindow: 10 * time.Second,
		WarmUp: 2 * time.Second, Duration: 6 * time.Second,
	}
}

// In a large fleet each front gets few responses from each instance, load reports do not reach all
// fronts of a data centre, and fronts with the same information must not all choose the same
// instance. Healthy instances must get requests nevertheless. With a random choice of instances, a
// request fails if it reaches a sick instance that fails it. The real policy must avoid at least a
// third of these failures and serve at least as many requests in time as a random choice serves at all.
func TestLargeFleetServesRequests(t *testing.T) {
	const maxUnderserved = 0.1
	health := bureau(0).Health
	sickShare := health.MeanSick.Seconds() / (health.MeanSick + health.MeanHealthy).Seconds()
	randomFailures := sickShare * health.SickFailureRate
	scenario := bureau(1)
	for _, r := range simulate(t, 1, bureau) {
		for _, service := range scenario.Services {
			underserved, spans := countUnderserved(r, service.Name, scenario.Duration)
			t.Logf("%s: %d of %d spans underserved", service.Name, underserved, spans)
			assert.Assert(t, float64(underserved) <= maxUnderserved*float64(spans), "%s: %d of %d spans underserved", service.Name, underserved, spans)
		}
		t.Logf("served %.4f: %+v", r.Total.Served(), r.Total)
		assert.Assert(t, r.Total.Served() >= 1-randomFailures*2/3)
		assert.Assert(t, float64(r.Total.InTime) >= (1-randomFailures)*float64(r.Total.Sent))
		assert.Equal(t, len(r.RunTwice), 0, "%v", r.RunTwice)
	}
}

// retryLimit returns the maximum number of retries at a service in the window that ends at end: the
// reserve plus a share of the callers' requests, counted in that window, the window before it or the
// one that ended half a window earlier, whichever had the most.
func retryLimit(s Scenario, requests []time.Duration, end time.Duration) float64 {
	maxRequests := 0
	for _, offset := range []time.Duration{0, s.RetryWindow / 2, s.RetryWindow} {
		maxRequests = max(maxRequests, countIn(requests, end-offset-s.RetryWindow, end-offset))
	}
	return float64(s.RetryPercent)/100*float64(maxRequests) + s.RetryReserve
}

// countIn counts the times after from, up to and including to.
func countIn(times []time.Duration, from, to time.Duration) int {
	n := 0
	for _, at := range times {
		if from < at && at <= to {
			n++
		}
	}
	return n
}

// Under heavy load, no request that is not idempotent runs twice, retries and the calls they make
// stay within their budget in every window, and most requests are served.
func TestInvariantsHoldUnderHeavyLoad(t *testing.T) {
	for _, c := range []struct {
		name     string
		load     float64
		meanSick time.Duration
		learn    bool
		// minServed leaves a margin below the shares served with 24 seeds: 0.945, 0.851 and 0.810.
		minServed float64
	}{
		{"usual load", 1, 13 * time.Second, false, 0.9},
		{"overload", 1.4, 13 * time.Second, false, 0.78},
		{"half of the instances sick", 1.25, 20 * time.Second, false, 0.72},
		{"overload, refusals learned", 1.4, 13 * time.Second, true, 0.78},
		{"half of the instances sick, refusals learned", 1.25, 20 * time.Second, true, 0.72},
	} {
		t.Run(c.name, func(t *testing.T) {
			scenario := func(seed uint64) Scenario {
				s := bookings(seed, c.load)
				s.Health.MeanSick, s.LearnRefusals = c.meanSick, c.learn
				return s
			}
			results := simulate(t, *seeds, scenario)
			all := sumOutcomes(results)
			t.Logf("served %.4f, in time %.4f: %+v", all.Served(), float64(all.InTime)/float64(all.Sent), all)
			assert.Assert(t, all.Served() >= c.minServed)
			for _, r := range results {
				assert.Equal(t, len(r.RunTwice), 0, "%v", r.RunTwice)
				checkRetryLimits(t, scenario(0), r)
			}
		})
	}
}

func checkRetryLimits(t *testing.T, s Scenario, r Result) {
	t.Helper()
	for service := range r.Retries {
		w := peakRetryWindow(s, r, service)
		assert.Assert(t, float64(w.retries) <= w.limit, "%s: %s", service, w)
	}
}

// retryWindow is a window of a service's retry budget.
type retryWindow struct {
	retries int
	limit   float64
	end     time.Duration
}

func (w retryWindow) String() string {
	return fmt.Sprintf("%d retries, limit %.0f, in the window until %s", w.retries, w.limit, w.end)
}

// peakRetryWindow returns the window in which a service used the largest share of its retry limit.
func peakRetryWindow(s Scenario, r Result, service string) retryWindow {
	peak := retryWindow{limit: 1}
	for _, end := range r.Retries[service] {
		w := retryWindow{countIn(r.Retries[service], end-s.RetryWindow, end), retryLimit(s, r.RequestTimes[service], end), end}
		if float64(w.retries)*peak.limit > float64(peak.retries)*w.limit {
			peak = w
		}
	}
	return peak
}

// The share served is close to that of a policy that knows the true health of instances, with or
// without a limit on retries. With 24 seeds the shares were 0.945, 0.960 and 0.961 at the usual
// load, 0.851, 0.868 and 0.869 at 1.4 times that load, and 0.987 at either load without sick
// instances.
func TestServedShareNearHealthOracle(t *testing.T) {
	const load, maxGap = 1.4, 0.06
	cases := []struct {
		name   string
		change func(*Scenario)
	}{
		{"real policy", func(*Scenario) {}},
		{"health oracle", func(s *Scenario) { s.HealthOracle = true }},
		{"health oracle, unlimited retries", func(s *Scenario) { s.HealthOracle, s.RetryReserve = true, 1e6 }},
	}
	served := make([]float64, len(cases))
	for i, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			all := sumOutcomes(simulate(t, *seeds, func(seed uint64) Scenario {
				s := bookings(seed, load)
				c.change(&s)
				return s
			}))
			served[i] = all.Served()
			t.Logf("served %.4f: %+v", all.Served(), all)
		})
	}
	assert.Assert(t, served[0] >= served[len(served)-1]-maxGap, "%v", served)
}
