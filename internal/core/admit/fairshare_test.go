package admit

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// teamLoad is what one team sends: the mean number of requests per second and the weight at a
// time since the start, and the mean service time.
type teamLoad struct {
	rate, weight func(since time.Duration) float64
	service      time.Duration
}

func constant(v float64) func(time.Duration) float64 { return step(v, v) }

// step returns before in the first 20 s and after from then on.
func step(before, after float64) func(time.Duration) float64 {
	return func(since time.Duration) float64 {
		if since < 20*time.Second {
			return before
		}
		return after
	}
}

const meanService, shareObjective, shareSlots = 620 * time.Millisecond, 2500 * time.Millisecond, 8

// simulateTeams offers the teams' requests, with exponential intervals and service times of
// 0.5 to 1.5 times the mean, to an instance of 8 slots with an objective of 2.5 s. It returns
// the requests sent and served in time by team, and the slot time used from the given time on.
func simulateTeams(cfg Config, seed uint64, from, length time.Duration, teams []teamLoad) (sent, served, slotTime []float64) {
	rng := rand.New(rand.NewPCG(seed, 17))
	cfg.Slots, cfg.QueuePerSlot, cfg.GrantTTL = shareSlots, 4, time.Second
	q := NewQueue(cfg)
	sent, served, slotTime = make([]float64, len(teams)), make([]float64, len(teams)), make([]float64, len(teams))
	// Where the next arrival is later than maxGap, the interval is drawn again, because the
	// rate may have changed.
	const maxGap = 0.05
	var events eventHeap
	type arrival struct {
		team int
		at   time.Time
	}
	arrivals := []arrival{{}}
	var apply func(now time.Time, ds []Decision)
	apply = func(now time.Time, ds []Decision) {
		for _, d := range ds {
			if d.Action != Start {
				continue
			}
			id, a := d.ID, arrivals[d.ID]
			service := time.Duration((0.5 + rng.Float64()) * float64(teams[a.team].service))
			begin, end := max(now.Sub(base), from), min(now.Sub(base)+service, length)
			slotTime[a.team] += max(end-begin, 0).Seconds()
			heap.Push(&events, event{now.Add(service), func(now time.Time) {
				if now.Sub(a.at) <= shareObjective {
					served[a.team]++
				}
				apply(now, q.Done(now, id, service))
			}})
		}
	}
	for team, load := range teams {
		for since := time.Duration(0); since < length; {
			gap := rng.ExpFloat64() / load.rate(since)
			since += time.Duration(min(gap, maxGap) * float64(time.Second))
			if gap > maxGap {
				continue
			}
			heap.Push(&events, event{base.Add(since), func(now time.Time) {
				sent[team]++
				arrivals = append(arrivals, arrival{team, now})
				apply(now, q.Offer(now, Request{
					ID: ID(len(arrivals) - 1), Class: uint32(team) + 1, Team: uint32(team) + 1, Weight: load.weight(since),
					Objective: now.Add(shareObjective), Deadline: now.Add(10 * time.Second), ExpectedServiceTime: load.service,
				}))
			}})
		}
	}
	for tick := time.Duration(0); tick < length; tick += 20 * time.Millisecond {
		heap.Push(&events, event{base.Add(tick), func(now time.Time) { apply(now, q.Tick(now)) }})
	}
	for len(events) > 0 {
		e := heap.Pop(&events).(event)
		e.do(e.at)
	}
	return sent, served, slotTime
}

var fair = Config{FairShares: true, KeepLate: true}

// besideHeavyTeam returns the share of requests served in time of light teams and of a heavy
// one, and the share of slots used, as means over ten seeds of 60 s.
func besideHeavyTeam(cfg Config, heavyTeam, lightTeam teamLoad, lightTeams int) (light, heavy, slots float64) {
	lightSent, lightServed, teams := 0.0, 0.0, []teamLoad{heavyTeam}
	for range lightTeams {
		teams = append(teams, lightTeam)
	}
	for seed := range uint64(10) {
		sent, served, slotTime := simulateTeams(cfg, seed, 0, time.Minute, teams)
		heavy += served[0] / sent[0] / 10
		for i := range teams {
			slots += slotTime[i] / time.Minute.Seconds() / shareSlots / 10
			if i > 0 {
				lightSent, lightServed = lightSent+sent[i], lightServed+served[i]
			}
		}
	}
	return lightServed / lightSent, heavy, slots
}

// Guards against light teams that are refused because of the backlog of a heavy one: with the
// round robin of classes, ten teams at 0.3/s are served a seventh of their requests while one
// team sends 100/s. In the last case the weights are the teams' usual rates, and 81 teams send
// four fifths of their small shares at irregular intervals.
func TestLightTeamsAreServedBesideHeavyTeam(t *testing.T) {
	light := teamLoad{constant(0.3), constant(1), meanService}
	for _, c := range []struct {
		heavy, light teamLoad
		lightTeams   int
		want         float64
	}{
		{teamLoad{constant(5), constant(1), meanService}, light, 10, 0.97},
		{teamLoad{constant(16), constant(1), meanService}, light, 10, 0.97},
		{teamLoad{constant(40), constant(1), meanService}, light, 10, 0.97},
		{teamLoad{constant(100), constant(1), meanService}, light, 10, 0.97},
		{teamLoad{constant(10), constant(2), meanService}, teamLoad{constant(0.1), constant(0.1), meanService}, 81, 0.95},
	} {
		load := (c.heavy.rate(0) + float64(c.lightTeams)*c.light.rate(0)) * meanService.Seconds() / shareSlots
		t.Run(fmt.Sprintf("load %.2f", load), func(t *testing.T) {
			lightBefore, heavyBefore, slotsBefore := besideHeavyTeam(Config{}, c.heavy, c.light, c.lightTeams)
			light, heavy, slots := besideHeavyTeam(fair, c.heavy, c.light, c.lightTeams)
			t.Logf("light teams %.3f, before %.3f; heavy team %.3f, before %.3f; slots used %.3f, before %.3f", light, lightBefore, heavy, heavyBefore, slots, slotsBefore)
			assert.Assert(t, light >= c.want && slots >= 0.98*slotsBefore)
		})
	}
}

// Guards against slot time that does not follow the weights.
//   - A team with a share of less than one request in the time constant of its use gets up to a
//     quarter more: it goes first as soon as its use has decayed below that of the others.
//   - By the number of requests, a team with requests of 2 s would get 13 times the slot time of
//     one with requests of 150 ms.
//   - Without an offset for the use so far, a team whose weight changes, or that returns after a
//     pause, would get all slots, or none, for about 5 s.
func TestSlotTimeFollowsWeights(t *testing.T) {
	steady := teamLoad{constant(16), constant(1), meanService}
	var weights []teamLoad
	want := make([]float64, 10)
	for i := range want {
		weights = append(weights, teamLoad{constant(10), constant(float64(i + 1)), meanService})
		want[i] = float64(i+1) / 55
	}
	for _, c := range []struct {
		name      string
		from, to  time.Duration
		teams     []teamLoad
		want      []float64
		tolerance float64
	}{
		{"weights 1 to 10", 5 * time.Second, time.Minute, weights, want, 0.25},
		{"short and long requests", 5 * time.Second, time.Minute, []teamLoad{
			{constant(60), constant(1), 150 * time.Millisecond}, {constant(6), constant(1), 2 * time.Second}, steady,
		}, []float64{1. / 3, 1. / 3, 1. / 3}, 0.1},
		{"weight rises", 20 * time.Second, 25 * time.Second, []teamLoad{{constant(16), step(1, 4), meanService}, steady}, []float64{0.8, 0.2}, 0.25},
		{"weight falls", 20 * time.Second, 25 * time.Second, []teamLoad{{constant(16), step(4, 1), meanService}, steady}, []float64{0.5, 0.5}, 0.25},
		{"return after a pause", 20 * time.Second, 23 * time.Second, []teamLoad{{step(0, 16), constant(1), meanService}, steady}, []float64{0.5, 0.5}, 0.25},
	} {
		share, total := make([]float64, len(c.teams)), 0.0
		for seed := range uint64(10) {
			_, _, slotTime := simulateTeams(fair, seed, c.from, c.to, c.teams)
			for i, s := range slotTime {
				share[i], total = share[i]+s, total+s
			}
		}
		for i, s := range share {
			t.Logf("%s: team %d has %.3f of the slot time, its share is %.3f", c.name, i, s/total, c.want[i])
			assert.Assert(t, s/total > (1-c.tolerance)*c.want[i] && s/total < (1+c.tolerance)*c.want[i])
		}
	}
}
