package front

import (
	"time"

	"github.com/radishhoist/radishhoist/internal/core/balance"
	"github.com/radishhoist/radishhoist/internal/core/chance"
	"github.com/radishhoist/radishhoist/internal/core/directory"
	"github.com/radishhoist/radishhoist/internal/msg"
)

// candidate describes a target to the chooser. expected is the route's mean
// service time. The caller holds the lock.
func (t *target) candidate(now time.Time, req *request, expected time.Duration, typical balance.TypicalLoad, p *paths, cfg Config) balance.Candidate {
	warm := 1.0
	if left := t.WarmUpEnd.Sub(now); left > 0 {
		warm = max(1-left.Seconds()/directory.DefaultWarmUp.Seconds(), 0)
	}
	return balance.Candidate{
		Slots: t.Slots, Running: int(t.seen.load.Running), QueuedWork: req.behind(now, t.seen.load),
		LoadAge: now.Sub(t.seen.loadAt), Typical: typical, Pending: t.seen.pending, Service: t.service(expected),
		RoundTrip: p.roundTrip(t.Host.Name), Warmth: warm, Local: t.Host.DC == cfg.DC,
		FailureProbability: t.seen.fails(now),
	}
}

// refusalWeight is how much of a failure a refusal counts for: the request has
// not run and can be sent elsewhere, but that takes time and a repeat. As a whole
// failure it would make the choice run from one instance to the other where all of a
// service refuse.
const refusalWeight = 0.3

// fails is the chance that a request is lost at the instance. The service's lock
// is held.
func (o *observed) fails(now time.Time) float64 {
	return 1 - (1-o.sick.FailureProbability(now, model))*(1-refusalWeight*o.sheds.At(now))
}

const (
	// freshLoad is how old a count may be to speak for the service's load, and
	// for the repeats that a guard has left.
	freshLoad = time.Second
	// typicalLoad is the load a slot that is assumed where nothing fresh is
	// known.
	typicalLoad = 0.3
)

// typical is the load a slot of the usable targets by the counts that are fresh:
// hosts far away tell theirs with answers only. The caller holds the lock.
func (st *serviceState) typical(now time.Time, req *request) balance.TypicalLoad {
	slots, running, waiting := 0, 0, time.Duration(0)
	for _, i := range st.choice.usable {
		t := st.targets[i]
		if now.Sub(t.seen.loadAt) > freshLoad {
			continue
		}
		slots += t.Slots
		running += int(t.seen.load.Running)
		waiting += req.behind(now, t.seen.load)
	}
	if slots == 0 {
		return balance.TypicalLoad{Running: typicalLoad}
	}
	return balance.TypicalLoad{Running: float64(running) / float64(slots), QueuedWork: waiting / time.Duration(slots)}
}

// behind is the work that would go before the request at an instance, in the time
// of one slot: all of higher priority, and of its own what is due before it. A
// queue that takes only what will be in time holds no more of that than fits
// into the time that the request has left; half of it is expected.
//
// Counting all that waits would send requests of the highest priority to sick
// instances because work of lower priority waits at well ones.
func (req *request) behind(now time.Time, l msg.Load) time.Duration {
	var higher uint32
	for p := req.priority() + 1; p < len(l.WaitingMS); p++ {
		higher += l.WaitingMS[p]
	}
	own := time.Duration(l.WaitingMS[min(req.priority(), len(l.WaitingMS)-1)]) * time.Millisecond
	left := max(req.route.Objective()-now.Sub(req.arrived), 0)
	due := left / 2 * time.Duration(l.Slots)
	return time.Duration(higher)*time.Millisecond + min(own, due)
}

// model is what is assumed of instances that fail by turns.
var model = chance.Default()

const (
	// againWeight is how much of a failure counts for work that can be repeated,
	// while repeats are left: most failures come within milliseconds, so that the
	// repeat still answers in time, and each tells of a sick instance before work
	// that cannot be repeated meets it.
	againWeight = 0.2
	// distanceStake is what bytes between data centres are worth, as a part of
	// the request's value.
	distanceStake = 0.05
)

// stakes says what the choice of a target means for a request. again is the chance
// that it can be repeated where it fails: the weight of a failure grows from
// againWeight to a whole one as repeats run out: a request that is sent to an instance
// known to be sick must find one.
func (req *request) stakes(now time.Time, again float64) balance.CostWeights {
	weight := 1 - again*(1-againWeight)
	objective := req.route.Objective()
	return balance.CostWeights{
		Objective: objective, Left: objective - now.Sub(req.arrived),
		FailureWeight: weight, RemoteWeight: distanceStake,
	}
}

// usual is expected for a caller without the lock.
func (st *serviceState) usual(req *request) time.Duration {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.expected(req)
}

// expected is the mean service time of a request's route, a third of its
// objective before any answer. The caller holds the lock.
func (st *serviceState) expected(req *request) time.Duration {
	if l, ok := st.routes[req.route.Name]; ok && l.mean > 0 {
		return l.mean
	}
	return req.route.Objective() / 3
}
