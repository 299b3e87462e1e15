package share

import (
	"container/heap"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/radishhoist/radishhoist/internal/core/admit"
)

// simEvent is something that happens at a time, and simEvents a heap of them.
type simEvent struct {
	at time.Time
	do func(now time.Time)
}

type simEvents []simEvent

func (h simEvents) Len() int           { return len(h) }
func (h simEvents) Less(i, j int) bool { return h[i].at.Before(h[j].at) }
func (h simEvents) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *simEvents) Push(x any)        { *h = append(*h, x.(simEvent)) }
func (h *simEvents) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

// servedResult holds the shares of the requests served within their objective, by kind of team.
type servedResult struct{ light, large, heavy float64 }

// simulateServed plays 15 s at the usual rates and then 8 s with one team at a multiple of its
// rate. Each request goes to a guard chosen at random, once.
func simulateServed(size int, seed uint64, fairShares, exchange bool, heavy uint32, factor float64) servedResult {
	rng := rand.New(rand.NewPCG(seed, 9))
	base := time.Unix(1e6, 0)
	var names []string
	for i := range size {
		names = append(names, hostName(i))
	}
	dir := directoryOf("service", names...)
	type node struct {
		q *admit.Queue
		x *Exchange
	}
	nodes, byAddress := make([]*node, size), map[string]*node{}
	var events simEvents
	const warm, length, objective = 15 * time.Second, 23 * time.Second, 2500 * time.Millisecond
	units := largeTeams*largeWeight + lightTeams
	type arrival struct {
		team int
		at   time.Time
		n    *node
	}
	arrivals := []arrival{{}}
	sent, served := [3]float64{}, [3]float64{}
	class := func(team int) int {
		switch {
		case uint32(team) == heavy:
			return 2
		case team < largeTeams:
			return 1
		}
		return 0
	}
	var apply func(now time.Time, ds []admit.Decision)
	apply = func(now time.Time, ds []admit.Decision) {
		for _, d := range ds {
			if d.Action != admit.Start {
				continue
			}
			a, id := arrivals[d.ID], d.ID
			service := time.Duration((0.5 + rng.Float64()) * float64(simService))
			heap.Push(&events, simEvent{now.Add(service), func(now time.Time) {
				if a.at.Sub(base) >= warm && now.Sub(a.at) <= objective {
					served[class(a.team)]++
				}
				apply(now, a.n.q.Done(now, id, service))
			}})
		}
	}
	for i, name := range names {
		n := &node{q: admit.NewQueue(admit.Config{Slots: simSlots, QueuePerSlot: 4, GrantTTL: time.Second, FairShares: fairShares, KeepLate: fairShares}), x: New(name, rand.New(rand.NewPCG(seed, uint64(i+1))))}
		n.x.SetDirectory(dir)
		nodes[i], byAddress[dir.Hosts[name].PeerAddr] = n, n
		for at := time.Duration(rng.Int64N(int64(Interval))); at < length; at += Interval {
			heap.Push(&events, simEvent{base.Add(at), func(now time.Time) {
				if !fairShares || !exchange {
					return
				}
				l := Local{Service: "service", Slots: simSlots, Contended: n.q.Queued() > 0}
				for _, u := range n.q.Use() {
					l.Use = append(l.Use, Use{Team: u.Team, SlotTime: u.SlotTime})
				}
				out := n.x.Tick(now, []Local{l})
				n.q.SetFleetUse(n.x.FleetUse("service", simSlots))
				for _, o := range out {
					byAddress[o.Address].x.Receive(now, o.Report)
				}
			}})
		}
		for at := time.Duration(0); at < length; at += 20 * time.Millisecond {
			heap.Push(&events, simEvent{base.Add(at), func(now time.Time) { apply(now, n.q.Tick(now)) }})
		}
	}
	perUnit := float64(size) * simSlots * simLoad / units / simService.Seconds()
	for team := range largeTeams + lightTeams {
		for at := 0.0; at < length.Seconds(); {
			rate := perUnit * weightOf(uint32(team))
			if uint32(team) == heavy && at >= warm.Seconds() {
				rate *= factor
			}
			at += min(rng.ExpFloat64()/rate, 1e6)
			if at >= length.Seconds() {
				break
			}
			heap.Push(&events, simEvent{base.Add(time.Duration(at * float64(time.Second))), func(now time.Time) {
				n := nodes[rng.IntN(size)]
				arrivals = append(arrivals, arrival{team, now, n})
				if now.Sub(base) >= warm {
					sent[class(team)]++
				}
				apply(now, n.q.Offer(now, admit.Request{
					ID: admit.ID(len(arrivals) - 1), Class: simHash(team), Team: simHash(team), Weight: weightOf(uint32(team)),
					Objective: now.Add(objective), Deadline: now.Add(10 * time.Second), ExpectedServiceTime: simService,
				}))
			}})
		}
	}
	for len(events) > 0 {
		e := heap.Pop(&events).(simEvent)
		e.do(e.at)
	}
	return servedResult{served[0] / sent[0], served[1] / sent[1], served[2] / sent[2]}
}

// Guards against light teams that are refused because of a team that is over its share at all
// guards together, each of which sees few of its requests.
func TestLightTeamsAreServedBesideHeavyTeamOfFleet(t *testing.T) {
	for _, factor := range []float64{5, 9} {
		for _, exchange := range []bool{false, true} {
			const seeds = 3
			var r servedResult
			for seed := range uint64(seeds) {
				s := simulateServed(24, seed, true, exchange, 0, factor)
				r.light, r.large, r.heavy = r.light+s.light/seeds, r.large+s.large/seeds, r.heavy+s.heavy/seeds
			}
			t.Logf("factor %g, reports exchanged %v: served %.3f of light teams, %.3f of other large teams, %.3f of the heavy one", factor, exchange, r.light, r.large, r.heavy)
			assert.Assert(t, !exchange || r.light >= 0.97)
		}
	}
}
