package fleetsim

import (
	"flag"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// seeds is how many seeds a case is played with: few for a check, two dozen to
// compare two policies, whose shares then move by 0.002 by themselves.
var seeds = flag.Int("seeds", 2, "seeds that each case is played with")

// bookings is a site whose heaviest service calls the others, with instances that
// are sick a third of the time.
func bookings(seed uint64, load float64) Site {
	ms := func(n int) time.Duration { return time.Duration(n) * time.Millisecond }
	return Site{
		DCs: 4, OneWay: 500 * time.Microsecond, Near: 200 * time.Microsecond, Seed: seed,
		Services: []Service{{"browser", 8, 5}, {"desk", 11, 5}, {"shelf", 8, 5}},
		Kinds: []Kind{
			{Name: "browse", Service: "browser", PerSecond: 23 * load, Work: ms(620), Objective: ms(2000), Deadline: ms(4000), Idempotent: true, Priority: 1, MaxAttempts: 2, Calls: "check", CallChance: 0.4},
			{Name: "deposit", Service: "desk", PerSecond: 44 * load, Work: ms(480), Objective: ms(2000), Deadline: ms(6000), Priority: 3, MaxAttempts: 2, Calls: "catalogue", CallChance: 0.4},
			{Name: "song", Service: "shelf", PerSecond: 6 * load, Work: ms(380), Objective: ms(2000), Deadline: ms(4000), Idempotent: true, Priority: 1, MaxAttempts: 2},
			{Name: "voucher", Service: "shelf", PerSecond: 7 * load, Work: ms(380), Objective: ms(1500), Deadline: ms(4000), Priority: 2, MaxAttempts: 2},
			{Name: "check", Service: "desk", Work: ms(120), Objective: ms(400), Deadline: ms(1500), Idempotent: true, Priority: 3, MaxAttempts: 2},
			{Name: "catalogue", Service: "shelf", Work: ms(120), Objective: ms(400), Deadline: ms(1500), Idempotent: true, Priority: 3, MaxAttempts: 2},
		},
		Health:     Health{WellFor: 26 * time.Second, SickFor: 13 * time.Second, SickFails: 0.9, WellFails: 0.02},
		RetryShare: 20, RetryReserve: 60, RetryWindow: 10 * time.Second,
		Warm: 8 * time.Second, For: 40 * time.Second,
	}
}

// idleLarge is a large site with little to do: many instances, of which each front
// hears little.
func idleLarge(seed uint64) Site {
	s := bookings(seed, 1)
	s.Services = []Service{{"browser", 30, 11}, {"desk", 40, 11}, {"shelf", 12, 11}}
	s.RetryReserve = 180
	s.For = 20 * time.Second
	return s
}

// play runs a site with each seed in virtual time.
func play(t *testing.T, n int, site func(seed uint64) Site) []Result {
	t.Helper()
	out := make([]Result, n)
	t.Run("play", func(t *testing.T) {
		for k := range n {
			t.Run(fmt.Sprint("seed", k), func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(*testing.T) { out[k] = Run(site(uint64(k))) })
			})
		}
	})
	return out
}

// sum adds the outcomes of several runs.
func sum(results []Result) Outcome {
	var all Outcome
	for _, r := range results {
		all.add(r.All)
	}
	return all
}

const (
	// floorSpan is the time in which an instance that may be well gets work.
	floorSpan = 2 * time.Second
	// floorShare is the part of a service's instances that must.
	floorShare = 0.7
)

// starved counts the spans in which less than floorShare of the instances that had
// been well for long got a request, and the spans looked at.
func starved(r Result, service string, length time.Duration) (bad, spans int) {
	const step = 500 * time.Millisecond
	for from := time.Duration(0); from+floorSpan <= length; from += step {
		sound, served := 0, 0
		for _, seen := range r.Instances {
			if seen.Service != service || seen.SickIn(from-floorSpan, from+floorSpan) {
				continue
			}
			sound++
			if seen.ArrivalsIn(from, from+floorSpan) > 0 {
				served++
			}
		}
		if sound == 0 {
			continue
		}
		spans++
		if float64(served) < floorShare*float64(sound) {
			bad++
		}
	}
	return bad, spans
}

// Over all fronts together, instances that may be well get work, also where there is
// little of it and each front hears little. While only instances in doubt asked for
// work, 61 of 111 spans of the service with the most instances fell short.
func TestWellInstancesGetRequests(t *testing.T) {
	// Runs of one seed differ, since what happens at one instant has no order: two seeds
	// gave 1 to 8 of 74 spans (32 runs, 3.9 on average), over a tenth in one of them.
	// More seeds make the same share a verdict.
	const shortfall, more = 0.1, 4
	results := play(t, more**seeds, idleLarge)
	for _, service := range idleLarge(0).Services {
		bad, spans := 0, 0
		for _, r := range results {
			b, n := starved(r, service.Name, idleLarge(0).For)
			bad, spans = bad+b, spans+n
		}
		t.Logf("%s: %d of %d spans fall short", service.Name, bad, spans)
		assert.Assert(t, float64(bad) <= shortfall*float64(spans), "%s: %d of %d", service.Name, bad, spans)
	}
}

// bureau is a large site: 354 hosts in five data centres, of which each sees three
// requests a second.
func bureau(seed uint64) Site {
	ms := func(n int) time.Duration { return time.Duration(n) * time.Millisecond }
	return Site{
		DCs: 5, OneWay: 500 * time.Microsecond, Near: 100 * time.Microsecond, Seed: seed,
		Services: []Service{{"plans", 85, 9}, {"coach", 137, 9}, {"permits", 132, 9}},
		Kinds: []Kind{
			{Name: "view", Service: "plans", PerSecond: 180, Work: ms(1000), Objective: ms(2500), Deadline: ms(6000), Idempotent: true, Priority: 1, MaxAttempts: 2, Calls: "seat", CallChance: 0.9},
			{Name: "book", Service: "coach", PerSecond: 550, Work: ms(760), Objective: ms(2500), Deadline: ms(8000), Priority: 2, MaxAttempts: 2, Calls: "fee", CallChance: 0.7},
			{Name: "pay", Service: "permits", PerSecond: 180, Work: ms(540), Objective: ms(2000), Deadline: ms(6000), Priority: 3, MaxAttempts: 2},
			{Name: "board", Service: "permits", PerSecond: 124, Work: ms(3000), Objective: ms(8000), Deadline: ms(25000), Idempotent: true, Priority: 1, MaxAttempts: 2},
			{Name: "seat", Service: "coach", Work: ms(190), Objective: ms(800), Deadline: ms(2000), Idempotent: true, Priority: 3, MaxAttempts: 2},
			{Name: "fee", Service: "permits", Work: ms(190), Objective: ms(800), Deadline: ms(2000), Idempotent: true, Priority: 3, MaxAttempts: 2},
		},
		Health:     Health{WellFor: 21 * time.Second, SickFor: 9 * time.Second, SickFails: 0.75, WellFails: 0.02},
		RetryShare: 20, RetryReserve: 630, RetryWindow: 10 * time.Second,
		Warm: 2 * time.Second, For: 6 * time.Second,
	}
}

// In a large fleet each front hears little, a guard's pulses do not reach all fronts
// nearby, and those that hear the same must not all choose the same. Instances that may
// be well get work all the same. A choice at random would fail a request for each that
// meets a sick instance: at least a third of them are spared, and more come in time than
// such a choice would serve at all.
func TestALargeFleetServes(t *testing.T) {
	const shortfall = 0.1
	health := bureau(0).Health
	sick := health.SickFor.Seconds() / (health.SickFor + health.WellFor).Seconds()
	atRandom := sick * health.SickFails
	site := bureau(1)
	for _, r := range play(t, 1, bureau) {
		for _, service := range site.Services {
			bad, spans := starved(r, service.Name, site.For)
			t.Logf("%s: %d of %d spans fall short", service.Name, bad, spans)
			assert.Assert(t, float64(bad) <= shortfall*float64(spans), "%s: %d of %d", service.Name, bad, spans)
		}
		t.Logf("served %.4f: %+v", r.All.Served(), r.All)
		assert.Assert(t, r.All.Served() >= 1-atRandom*2/3)
		assert.Assert(t, float64(r.All.InTime) >= (1-atRandom)*float64(r.All.Asked))
		assert.Equal(t, len(r.Twice), 0, "%v", r.Twice)
	}
}

// repeatsAllowed is the bound of repeats at a service in the window that ends at a
// time: a share of its callers' requests, in that window, the one before it or the
// one half a window before, and the reserve.
func repeatsAllowed(s Site, requests []time.Duration, end time.Duration) float64 {
	most := 0
	for _, back := range []time.Duration{0, s.RetryWindow / 2, s.RetryWindow} {
		most = max(most, countIn(requests, end-back-s.RetryWindow, end-back))
	}
	return float64(s.RetryShare)/100*float64(most) + s.RetryReserve
}

func countIn(times []time.Duration, from, to time.Duration) int {
	n := 0
	for _, at := range times {
		if from < at && at <= to {
			n++
		}
	}
	return n
}

// Under the heaviest load nothing runs twice that must not, repeats with all that
// they call keep to their budget in every window, and most requests are served.
func TestPromisesHoldUnderHeavyLoad(t *testing.T) {
	for _, c := range []struct {
		name    string
		load    float64
		sickFor time.Duration
		// served is the least share, well below what was measured with 24 seeds:
		// 0.945, 0.851 and 0.810.
		served float64
	}{
		{"usual", 1, 13 * time.Second, 0.9},
		{"too much", 1.4, 13 * time.Second, 0.78},
		{"half of the instances sick", 1.25, 20 * time.Second, 0.72},
	} {
		t.Run(c.name, func(t *testing.T) {
			site := func(seed uint64) Site {
				s := bookings(seed, c.load)
				s.Health.SickFor = c.sickFor
				return s
			}
			results := play(t, *seeds, site)
			all := sum(results)
			t.Logf("served %.4f, in time %.4f: %+v", all.Served(), float64(all.InTime)/float64(all.Asked), all)
			assert.Assert(t, all.Served() >= c.served)
			for _, r := range results {
				assert.Equal(t, len(r.Twice), 0, "%v", r.Twice)
				checkBudget(t, site(0), r)
			}
		})
	}
}

func checkBudget(t *testing.T, s Site, r Result) {
	t.Helper()
	for service := range r.Repeats {
		w := fullest(s, r, service)
		assert.Assert(t, float64(w.have) <= w.allowed, "%s: %s", service, w)
	}
}

// budgetWindow is a window of a service's budget of repeats.
type budgetWindow struct {
	have    int
	allowed float64
	end     time.Duration
}

func (w budgetWindow) String() string {
	return fmt.Sprintf("%d of %.0f until %s", w.have, w.allowed, w.end)
}

// fullest finds the window in which a service had most of what it is allowed.
func fullest(s Site, r Result, service string) budgetWindow {
	most := budgetWindow{allowed: 1}
	for _, end := range r.Repeats[service] {
		w := budgetWindow{countIn(r.Repeats[service], end-s.RetryWindow, end), repeatsAllowed(s, r.Requests[service], end), end}
		if float64(w.have)*most.allowed > float64(most.have)*w.allowed {
			most = w
		}
	}
	return most
}

// What a policy would gain that knows at once who is sick, and one that also has
// repeats without bound: the real one comes near both. With 24 seeds the shares
// served were 0.945, 0.960, 0.961 at the usual load, 0.851, 0.868, 0.869 at 1.4 times
// it, and 0.987 at either with no instance ever sick.
func TestWhatKnowingWouldGain(t *testing.T) {
	const load, near = 1.4, 0.06
	cases := []struct {
		name   string
		change func(*Site)
	}{
		{"as it is", func(*Site) {}},
		{"who is sick is known", func(s *Site) { s.Known = true }},
		{"known, and repeats without bound", func(s *Site) { s.Known, s.RetryReserve = true, 1e6 }},
	}
	served := make([]float64, len(cases))
	for i, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			all := sum(play(t, *seeds, func(seed uint64) Site {
				s := bookings(seed, load)
				c.change(&s)
				return s
			}))
			served[i] = all.Served()
			t.Logf("served %.4f: %+v", all.Served(), all)
		})
	}
	assert.Assert(t, served[0] >= served[len(served)-1]-near, "%v", served)
}
