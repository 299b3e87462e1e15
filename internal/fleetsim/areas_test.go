package fleetsim

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// unevenDemand is the deployment with uneven demand of docs/hard-load.md at about half of its
// size: four data centres in two areas, the demand of each varies by 55 % with a period of 17 s.
func unevenDemand(seed uint64, load float64) Scenario {
	ms := func(n int) time.Duration { return time.Duration(n) * time.Millisecond }
	load *= 0.5
	return Scenario{
		DCs: 4, RemoteDelay: 900 * time.Microsecond, LocalDelay: 200 * time.Microsecond, Seed: seed,
		Areas:    Areas{Count: 2, Delay: ms(30), DemandVariation: 0.55, DemandPeriod: 17 * time.Second},
		Services: []Service{{"desk", 31, 11}, {"archive", 23, 11}},
		Kinds: []RequestKind{
			{Name: "status", Service: "desk", RatePerSecond: 116 * load, ServiceTime: ms(510), Objective: ms(3000), Deadline: ms(15000), Idempotent: true, Priority: 1, MaxAttempts: 2, CalledKind: "lookup", CallProbability: 0.9, ResponseBytes: 4 << 10},
			{Name: "submit", Service: "desk", RatePerSecond: 213 * load, ServiceTime: ms(640), Objective: ms(3000), Deadline: ms(15000), Priority: 2, MaxAttempts: 2, ResponseBytes: 2 << 10},
			{Name: "download", Service: "archive", RatePerSecond: 34 * load, ServiceTime: ms(400), Objective: ms(2500), Deadline: ms(15000), Idempotent: true, Priority: 1, MaxAttempts: 2, ResponseBytes: 90 << 10},
			{Name: "notes", Service: "archive", RatePerSecond: 58 * load, ServiceTime: ms(2000), Objective: ms(6000), Deadline: ms(40000), Idempotent: true, Priority: 1, MaxAttempts: 2, ResponseBytes: 8 << 10},
			{Name: "lookup", Service: "archive", ServiceTime: ms(150), Objective: ms(600), Deadline: ms(1500), Idempotent: true, Priority: 3, MaxAttempts: 2, ResponseBytes: 1 << 10},
		},
		Health:       Health{MeanHealthy: 21 * time.Second, MeanSick: 9 * time.Second, SickFailureRate: 0.75, HealthyFailureRate: 0.01},
		RetryPercent: 20, RetryReserve: 100, RetryWindow: 10 * time.Second,
		WarmUp: 4 * time.Second, Duration: 34 * time.Second,
	}
}

const (
	choiceByArea     = "by area"
	choiceNoAreas    = "areas ignored"
	choiceInRotation = "round robin"
)

// simulateChoice simulates uneven demand at 1.5 times its usual rate, where the peak of an
// area's demand is about what its instances can take, with one way to choose.
func simulateChoice(t *testing.T, choice string, change func(*Scenario)) []Result {
	t.Helper()
	return simulate(t, max(*seeds/2, 1), func(seed uint64) Scenario {
		s := unevenDemand(seed, 1.5)
		s.Areas.Ignored, s.Areas.RoundRobin = choice != choiceByArea, choice == choiceInRotation
		change(&s)
		return s
	})
}

// inTimeShare returns the share of the requests within their objective, and the bytes between
// areas.
func inTimeShare(t *testing.T, choice string, results []Result) (share, bytes float64) {
	t.Helper()
	all, changes, peak := sumOutcomes(results), 0, 0
	for _, r := range results {
		changes += r.SpillChanges
		for _, n := range r.AreaBytes {
			bytes, peak = bytes+float64(n), max(peak, n)
		}
	}
	share = float64(all.InTime) / float64(all.Sent)
	t.Logf("%s: in time %.4f, served %.4f, %.2f MB between areas, at most %.2f Mbit/s, %d changes",
		choice, share, all.Served(), bytes/1e6, float64(peak)*8/1e6, changes)
	return share, bytes
}

// Guards against requests that leave their area without need, and against fronts that go back
// and forth together when the demand of data centres varies. Choices by area must move at most
// 0.7 of the bytes of choices that ignore areas, and serve as many requests in time. Each route
// of a front may leave its area and return once in a period.
func TestVaryingDemandMovesFewBytesBetweenAreas(t *testing.T) {
	// With one seed the shares differ by up to 0.02 by chance; docs/design/0019-areas.md has those
	// of twelve.
	const maxLoss, maxBytes = 0.03, 0.7
	results := simulateChoice(t, choiceByArea, func(*Scenario) {})
	share, bytes := inTimeShare(t, choiceByArea, results)
	ignored, ignoredBytes := inTimeShare(t, choiceNoAreas, simulateChoice(t, choiceNoAreas, func(*Scenario) {}))
	rotation, rotationBytes := inTimeShare(t, choiceInRotation, simulateChoice(t, choiceInRotation, func(*Scenario) {}))
	assert.Assert(t, share >= ignored-maxLoss && share > rotation)
	assert.Assert(t, bytes <= maxBytes*ignoredBytes && bytes < rotationBytes)
	s := unevenDemand(0, 1)
	hosts := 0
	for _, service := range s.Services {
		hosts += service.Instances
	}
	for _, r := range results {
		assert.Assert(t, r.SpillChanges <= 2*hosts*len(s.Kinds)*int(s.Duration/s.Areas.DemandPeriod), "%d changes", r.SpillChanges)
	}
}

// narrowLink is uneven demand with large responses and a link of 4 Mbit/s, which fills while the
// demand of one area exceeds what its instances can take.
func narrowLink(change func(*Areas)) func(seed uint64) Scenario {
	return func(seed uint64) Scenario {
		s := unevenDemand(seed, 1.7)
		s.Areas.LinkMbps, s.Duration = 4, 20*time.Second
		for i := range s.Kinds {
			if k := &s.Kinds[i]; k.Name == "status" || k.Name == "notes" {
				k.ResponseBytes = 40 << 10
			}
		}
		change(&s.Areas)
		return s
	}
}

// Guards against hosts that do not know how much all of them use a narrow link: bytes that are not
// counted at one of the two ends of a request, and reports that do not arrive. Without reports,
// each host takes its own use for the mean. The time for which the link is full is reported only:
// it differs by several seconds between runs of one seed.
func TestUseOfNarrowLinkIsKnown(t *testing.T) {
	// With one seed the shares in time differ by up to 0.02 by chance.
	const maxLoss, maxError = 0.03, 0.7
	measure := func(choice string, change func(*Areas)) (share, useError float64) {
		results := simulate(t, max(*seeds/2, 1), narrowLink(change))
		var full time.Duration
		use := 0.0
		for _, r := range results {
			full, use, useError = full+r.LinkFull, use+r.LinkUse, useError+r.LinkUseError
		}
		share, _ = inTimeShare(t, choice, results)
		t.Logf("%s: a direction full for %.2f s a seed, mean error of the estimates %.3f of the use", choice, full.Seconds()/2/float64(len(results)), useError/use)
		return share, useError / use
	}
	share, useError := measure("with reports", func(*Areas) {})
	withoutShare, withoutError := measure("without reports", func(a *Areas) { a.LinkReportLoss = 1 })
	assert.Assert(t, useError < maxError*withoutError)
	assert.Assert(t, share > withoutShare-maxLoss)
}

// Guards against requests that go on to leave their area, or stay in it, after a data centre,
// an area or the link between areas is lost. As many must be served in time as by choices that
// ignore areas.
func TestLossOfAreaOrLink(t *testing.T) {
	// With one seed the shares differ by up to 0.02 by chance.
	const at, maxLoss = 5 * time.Second, 0.05
	for name, lose := range map[string]func(*Scenario){
		"data centre": func(s *Scenario) { s.Areas.Losses = []DCLoss{{At: at, DC: 1}} },
		"area":        func(s *Scenario) { s.Areas.Losses = []DCLoss{{At: at, DC: 2}, {At: at, DC: 3}} },
		"link":        func(s *Scenario) { s.Partitions = []Partition{{At: at, Duration: 6 * time.Second, WholeArea: true}} },
	} {
		t.Run(name, func(t *testing.T) {
			shorter := func(s *Scenario) { s.Duration = s.Areas.DemandPeriod; lose(s) }
			share, _ := inTimeShare(t, choiceByArea, simulateChoice(t, choiceByArea, shorter))
			ignored, _ := inTimeShare(t, choiceNoAreas, simulateChoice(t, choiceNoAreas, shorter))
			assert.Assert(t, share >= ignored-maxLoss)
		})
	}
}
