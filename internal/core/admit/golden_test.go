package admit

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// decisionsWithoutFlags is the hash of the decisions in replayOperations, recorded with the
// code before FairShares and KeepLate existed (commit 6d110df).
const decisionsWithoutFlags = 14010356910955789293

// Guards against a changed decision where neither FairShares nor KeepLate is set: hosts with
// older builds and deployments without the settings rely on the previous order.
func TestDecisionsWithoutFlagsAreUnchanged(t *testing.T) {
	hash := fnv.New64a()
	for seed := range uint64(40) {
		replayOperations(seed, Config{}, func(_ *replay, call string, ds []Decision) { fmt.Fprintln(hash, call, ds) })
	}
	assert.Equal(t, hash.Sum64(), uint64(decisionsWithoutFlags))
}

// Guards against flags that change decisions in normal operation, while no request waits.
func TestFlagsChangeNothingWhileNothingWaits(t *testing.T) {
	compared := 0
	for seed := range uint64(20) {
		decisions := func(cfg Config) (out []string) {
			replayOperations(seed, cfg, func(r *replay, call string, ds []Decision) {
				r.waited = r.waited || slices.ContainsFunc(ds, func(d Decision) bool { return d.Action == Wait })
				if !r.waited {
					out = append(out, fmt.Sprint(call, ds))
				}
			})
			return out
		}
		before := decisions(Config{Slots: 1000})
		assert.DeepEqual(t, before, decisions(Config{Slots: 1000, FairShares: true, KeepLate: true}))
		compared += len(before)
	}
	assert.Assert(t, compared > 8000, "only %d calls compared", compared)
}

// replay is the state of replayOperations.
type replay struct {
	queue    *Queue
	now      time.Time
	limit    RateLimit
	requests map[ID]Request
	waited   bool
}

// replayOperations applies random operations with several teams, ranks and service times to a
// queue with 1 to 6 slots, unless cfg has a number, with a rate limit at every third seed, and
// reports each call with its decisions.
func replayOperations(seed uint64, cfg Config, report func(r *replay, call string, ds []Decision)) {
	rng := rand.New(rand.NewPCG(seed, 3))
	slots := 1 + rng.IntN(6)
	if cfg.Slots == 0 {
		cfg.Slots = slots
	}
	cfg.QueuePerSlot, cfg.GrantTTL = 1+rng.IntN(5), 250*time.Millisecond
	q, next := NewQueue(cfg), ID(0)
	r := &replay{queue: q, now: base, requests: map[ID]Request{}}
	if seed%3 == 0 {
		r.limit = RateLimit{PerSecond: 5, Burst: 5}
		q.SetRateLimit(r.now, r.limit)
	}
	running := map[ID]time.Time{}
	apply := func(call string, ds []Decision) {
		for _, d := range ds {
			if d.Action == Start {
				running[d.ID] = r.now
			}
		}
		// Tick visits grants in map order.
		slices.SortFunc(ds, func(a, b Decision) int { return int(a.ID) - int(b.ID) })
		report(r, fmt.Sprint(call, q.BusySlots(), q.Queued()), ds)
	}
	for range 1500 {
		r.now = r.now.Add(time.Duration(rng.IntN(40)) * time.Millisecond)
		id := ID(rng.IntN(20)) + max(next, 19) - 19
		switch op := rng.IntN(12); op {
		case 0, 1, 2, 3, 4:
			next++
			req := Request{
				ID: next, Class: uint32(rng.ExpFloat64() * 2), Priority: uint8(rng.IntN(2)), SubPriority: uint8(rng.IntN(2)),
				Objective: r.now.Add(time.Duration(200+rng.IntN(2000)) * time.Millisecond), AllowLate: rng.IntN(2) == 0, Reserve: rng.IntN(3) == 0,
				ExpectedServiceTime: time.Duration(rng.IntN(400)) * time.Millisecond,
			}
			req.Deadline = req.Objective.Add(time.Duration(rng.IntN(3000)) * time.Millisecond)
			req.Team, req.Weight = req.Class, []float64{0, 0.1, 1, 40}[(req.Class+uint32(next/500))%4]
			r.requests[next] = req
			apply("offer", q.Offer(r.now, req))
		case 5:
			apply("run", []Decision{q.Run(r.now, id)})
		case 6:
			v, ds := q.Cancel(r.now, id)
			apply(fmt.Sprint("cancel", v), ds)
		case 7:
			q.SetFleetUse(map[uint32]float64{1: float64(next % 3), 100: 1})
			apply("tick", q.Tick(r.now))
		default:
			if since, ok := running[id]; ok {
				delete(running, id)
				apply("done", q.Done(r.now, id, r.now.Sub(since)))
			}
		}
	}
	apply("slots", q.SetSlots(r.now, 3))
	apply("revoke", q.Revoke())
	apply("drain", q.Drain())
}
