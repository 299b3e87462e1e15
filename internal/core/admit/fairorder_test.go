package admit

import (
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/radishhoist/radishhoist/verdict"
)

// For any sequence of operations with fair shares, the invariants of the queue and the bound
// of the rate limit hold, higher ranks go first, and no request is refused for lack of
// capacity while a slot is free.
func TestFairQueueProperties(t *testing.T) {
	for seed := range uint64(60) {
		var starts []time.Time
		started, ended := map[ID]bool{}, map[ID]bool{}
		replayOperations(seed, Config{FairShares: true, KeepLate: seed%2 == 0}, func(r *replay, call string, ds []Decision) {
			for _, d := range ds {
				absent := d.Reason == verdict.ReasonGrantExpired && strings.HasPrefix(call, "run")
				assert.Assert(t, absent || !ended[d.ID], "decision for a request that has already ended")
				assert.Assert(t, absent || !started[d.ID], "decision for a request that has started")
				switch {
				case d.Action == Start:
					started[d.ID], starts = true, append(starts, r.now)
				case d.Action == Refuse && !absent:
					ended[d.ID] = true
					if d.Reason == verdict.ReasonQueueFull || d.Reason == verdict.ReasonTeamShare {
						assert.Assert(t, r.queue.BusySlots() >= r.queue.cfg.Slots || r.limit != RateLimit{}, "refused while a slot was free")
					}
				}
				if d.Action == Start || d.Action == Grant {
					rank, incoming := r.requests[d.ID], strings.HasPrefix(call, "offer") || strings.HasPrefix(call, "run")
					for _, other := range r.queue.fair.places {
						assert.Assert(t, incoming || other.fair.rank <= rank.rank(), "a lower rank went first")
					}
				}
			}
			checkFairState(t, r.queue)
		})
		if seed%3 == 0 {
			for a := range starts {
				for b := a; b < len(starts); b++ {
					assert.Assert(t, float64(b-a+1) <= 5+5*starts[b].Sub(starts[a]).Seconds()+2*tokenTolerance, "rate limit exceeded")
				}
			}
		}
	}
}

func checkFairState(t *testing.T, q *Queue) {
	held, weights := 0, 0.0
	for _, r := range q.fair.records {
		assert.Assert(t, r.own >= 0 && r.sinceFleet >= 0 && r.running >= 0 && (r.weight == 0 || !math.IsNaN(r.value())))
		if held += r.held; r.held > 0 {
			weights += r.weight
		}
	}
	assert.Assert(t, q.busy <= max(q.cfg.Slots, 6) && q.queued <= 6*q.cfg.QueuePerSlot)
	assert.Assert(t, len(q.fair.places) == q.queued && len(q.fair.byTime) == q.queued)
	assert.Assert(t, held == len(q.tickets) && held == q.busy+q.queued)
	assert.Assert(t, math.Abs(weights-q.fair.activeWeight) < 1e-6)
}

func fairRequest(id ID, team uint32, objective time.Duration) Request {
	return Request{ID: id, Team: team, Deadline: base.Add(10 * time.Second), Objective: base.Add(objective), ExpectedServiceTime: 500 * time.Millisecond}
}

// Guards against a light team's request that waits behind, or is refused for, the backlog of a
// heavy team, and against a displaced request that learns of it only at its objective.
func TestRequestOfLightTeamDisplacesHeavyTeam(t *testing.T) {
	q := NewQueue(Config{Slots: 2, QueuePerSlot: 8, GrantTTL: time.Second, FairShares: true})
	q.serviceTime = 500 * time.Millisecond
	for id := ID(1); id <= 8; id++ {
		assert.Assert(t, q.Offer(base, fairRequest(id, 1, 2*time.Second))[0].Action != Refuse)
	}
	refused := q.Offer(base, fairRequest(9, 1, 2*time.Second))[0]
	assert.Equal(t, refused.Reason, verdict.ReasonQueueFull, "a team alone has no share to exceed")
	const wait = 1750 * time.Millisecond
	ds := q.Offer(base, fairRequest(10, 2, 800*time.Millisecond))
	assert.DeepEqual(t, ds, []Decision{{ID: 10, Action: Wait}, {ID: 8, Action: Refuse, Reason: verdict.ReasonTeamShare, RetryAfter: wait}})
	refused = q.Offer(base, fairRequest(11, 1, 2*time.Second))[0]
	assert.DeepEqual(t, refused, Decision{ID: 11, Action: Refuse, Reason: verdict.ReasonTeamShare, RetryAfter: wait})
	assert.Equal(t, q.Done(base.Add(500*time.Millisecond), 1, 500*time.Millisecond)[0].ID, ID(10))
}

// Guards against a wrong reason or Retry-After: operators act on the reason.
func TestFairRefusalNamesItsCause(t *testing.T) {
	newQueue := func(use map[uint32]float64) *Queue {
		q := NewQueue(Config{Slots: 2, QueuePerSlot: 2, GrantTTL: time.Second, FairShares: true})
		q.Tick(base)
		q.SetFleetUse(use)
		return q
	}
	offer := func(q *Queue, id ID, team uint32, priority uint8, objective time.Duration) Decision {
		r := fairRequest(id, team, objective)
		r.Priority = priority
		return q.Offer(base, r)[0]
	}
	for name, c := range map[string]struct {
		use      map[uint32]float64
		other    uint32
		priority uint8
		want     verdict.Reason
	}{
		"each of two teams held at its share":    {map[uint32]float64{1: 0.9, 2: 0.9}, 2, 0, verdict.ReasonTeamShare},
		"alone":                                  {map[uint32]float64{1: 1.99}, 1, 0, verdict.ReasonQueueFull},
		"below its share, not refused":           {map[uint32]float64{1: 0.1, 2: 1.9}, 2, 0, ""},
		"over its share, behind higher priority": {map[uint32]float64{1: 1.9, 2: 0.1}, 2, 1, verdict.ReasonQueueFull},
	} {
		q := newQueue(c.use)
		for id := ID(1); id <= 6; id++ {
			team := c.other
			if id%2 == 0 {
				team = 1
			}
			offer(q, id, team, c.priority, time.Minute)
		}
		assert.Equal(t, offer(q, 7, 1, 0, 600*time.Millisecond).Reason, c.want, name)
	}
	q := newQueue(nil)
	q.SetRateLimit(base, RateLimit{PerSecond: 0.5, Burst: 1})
	assert.DeepEqual(t, offer(q, 1, 1, 0, time.Second), Decision{ID: 1, Action: Refuse, Reason: verdict.ReasonTargetLimit, RetryAfter: 2 * time.Second})
}

// Guards against a full queue that refuses a light team, or that evicts another than the
// newest request of the team with the most use.
func TestFullQueueEvictsTeamWithMostUse(t *testing.T) {
	q := NewQueue(Config{Slots: 1, QueuePerSlot: 3, GrantTTL: time.Second, FairShares: true})
	for id := ID(1); id <= 4; id++ {
		q.Offer(base, fairRequest(id, uint32(min(id, 2)), time.Minute))
	}
	ds := q.Offer(base, fairRequest(5, 3, time.Minute))
	assert.Assert(t, ds[0].Action == Wait && ds[1].ID == 4 && ds[1].Action == Refuse)
	assert.Equal(t, q.Offer(base, fairRequest(6, 2, time.Minute))[0].Action, Refuse)
	urgent := fairRequest(7, 2, time.Minute)
	urgent.Priority = 1
	assert.Equal(t, q.Offer(base, urgent)[0].Action, Wait, "ranks stay first")
}

// Guards against a request that was queued although it was late and is then refused by the
// next Tick.
func TestKeepLateKeepsLateRequestsUntilDeadline(t *testing.T) {
	for _, keep := range []bool{false, true} {
		q := NewQueue(Config{Slots: 1, QueuePerSlot: 4, GrantTTL: time.Second, KeepLate: keep})
		q.Offer(base, fairRequest(1, 0, time.Second))
		inTime, late := fairRequest(2, 0, time.Second), fairRequest(3, 0, 100*time.Millisecond)
		late.AllowLate = true
		assert.Assert(t, q.Offer(base, inTime)[0].Action == Wait && q.Offer(base, late)[0].Action == Wait)
		assert.Equal(t, len(q.Tick(base.Add(200*time.Millisecond))) == 0, keep)
		assert.Equal(t, q.Tick(base.Add(1100 * time.Millisecond))[0].ID, ID(2), "admitted in time, it is refused at its objective")
		assert.Equal(t, len(q.Tick(base.Add(9400*time.Millisecond))), 0)
		assert.Equal(t, len(q.Tick(base.Add(9600*time.Millisecond))) == 1, keep)
	}
}

// Guards against an order by the queue's own figures where those of the fleet are known: a
// team that is heavy over all hosts sends few requests to each instance.
func TestFleetUseReplacesOwnUse(t *testing.T) {
	q := NewQueue(Config{Slots: 1, QueuePerSlot: 8, GrantTTL: time.Second, FairShares: true})
	for id, team := range []uint32{1, 1, 2} {
		q.Offer(base, fairRequest(ID(id+1), team, time.Minute))
	}
	q.SetFleetUse(map[uint32]float64{1: 0.01, 2: 0.5})
	use := q.Use()
	assert.Assert(t, len(use) == 1 && use[0].Team == 1 && math.Abs(use[0].SlotTime-0.5/useTimeConstant) < 1e-9, "%v", use)
	assert.Equal(t, q.Done(base.Add(500*time.Millisecond), 1, 500*time.Millisecond)[0].ID, ID(2))
	assert.Assert(t, q.fair.teams[1].use() > 0.5*q.fair.scale, "the start after the fleet's figure must count at once")
	q.SetFleetUse(nil)
	assert.Assert(t, !q.fair.teams[1].fleetKnown)
}

// Guards against memory that grows with the number of teams, against the loss of the teams
// with the most use, and against figures that are lost or infinite after a long time.
func TestTeamsRememberedAreBounded(t *testing.T) {
	q, now := NewQueue(Config{Slots: 1, QueuePerSlot: 1, FairShares: true}), base
	for id := ID(1); id <= 5000; id++ {
		q.Offer(now, fairRequest(id, uint32(id), time.Minute))
		q.Done(now.Add(3*time.Second/time.Duration(id)), id, time.Millisecond)
		now = q.fair.now
	}
	assert.Assert(t, len(q.fair.records) == maxTeams && len(q.fair.teams) == maxTeams)
	assert.Assert(t, q.fair.teams[1] != nil, "the team with the most use was dropped")
	q.Offer(now.Add(10*24*time.Hour), fairRequest(6000, 1, time.Minute))
	assert.Assert(t, q.fair.teams[1].value() == 0.5 && q.fair.scale == 1)
}

// BenchmarkAdmission offers eight times the requests that 11 slots can run, and measures an
// offer with its part of the ends of requests and of Tick.
func BenchmarkAdmission(b *testing.B) {
	for _, teams := range []int{1, 64, 5000} {
		for _, cfg := range []Config{{}, fair} {
			b.Run(fmt.Sprintf("teams=%d/fair=%t", teams, cfg.FairShares), func(b *testing.B) {
				cfg.Slots, cfg.QueuePerSlot, cfg.GrantTTL = 11, 4, time.Second
				q, now := NewQueue(cfg), base
				var running []ID
				record := func(ds []Decision) {
					for _, d := range ds {
						if d.Action == Start {
							running = append(running, d.ID)
						}
					}
				}
				b.ReportAllocs()
				for i := range b.N {
					now = now.Add(7 * time.Millisecond)
					team := uint32(i * 7919 % teams)
					record(q.Offer(now, Request{
						ID: ID(i + 1), Class: team, Team: team, Weight: float64(1 + team%4), AllowLate: i%2 == 0,
						Deadline: now.Add(10 * time.Second), Objective: now.Add(2500 * time.Millisecond), ExpectedServiceTime: 620 * time.Millisecond,
					}))
					if i%8 == 7 && len(running) > 0 {
						id := running[0]
						running = running[:copy(running, running[1:])]
						record(q.Done(now, id, 620*time.Millisecond))
					}
					if i%3 == 0 {
						q.Tick(now)
					}
				}
			})
		}
	}
}
