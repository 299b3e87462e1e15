package front

import (
	"time"

	"github.com/radishhoist/radishhoist/internal/core/area"
	"github.com/radishhoist/radishhoist/internal/core/balance"
	"github.com/radishhoist/radishhoist/internal/core/chance"
	"github.com/radishhoist/radishhoist/internal/core/directory"
	"github.com/radishhoist/radishhoist/internal/msg"
)

// candidate describes the target for the cost function. expected is the mean service time
// of the route. The caller must hold the service's lock.
func (t *target) candidate(now time.Time, req *request, expected time.Duration, typical balance.TypicalLoad, p *paths, cfg Config) balance.Candidate {
	warmUpProgress := 1.0
	if warmUpLeft := t.WarmUpEnd.Sub(now); warmUpLeft > 0 {
		warmUpProgress = max(1-warmUpLeft.Seconds()/directory.DefaultWarmUp.Seconds(), 0)
	}
	return balance.Candidate{
		Slots: t.Slots, Running: int(t.observed.load.Running), QueuedWork: req.queuedAhead(now, t.observed.load),
		LoadAge: now.Sub(t.observed.loadAt), Typical: typical, Pending: t.observed.pending, Service: t.serviceTime(expected),
		RoundTrip: p.roundTrip(t.Host.Name), WarmUpProgress: warmUpProgress, Local: t.Host.DC == cfg.DC,
		FailureProbability: 1 - (1-t.observed.failureChance(now))*(1-t.unansweredLoss(now, cfg.DC)),
	}
}

// refusalFailureWeight is the weight of a refusal relative to a failure. A refused request
// has not run and can be sent elsewhere, but that takes time and retry budget. With the
// full weight of a failure, choices would oscillate between instances when all of a service
// refuse.
const refusalFailureWeight = 0.3

// failureChance is the probability that a request sent to the instance is lost. The caller
// must hold the service's lock.
func (o *observations) failureChance(now time.Time) float64 {
	return 1 - (1-o.failureEstimate.FailureProbability(now, failureModel))*(1-refusalFailureWeight*o.refusalChance(now))
}

const (
	// loadMaxAge is the maximum age of a load report that is used for a service's typical
	// load and for its guards' remaining retry budget.
	loadMaxAge = time.Second
	// defaultSlotLoad is the load per slot assumed without a recent load report.
	defaultSlotLoad = 0.3
)

// typicalLoads are the loads per slot of the eligible targets, from recent load reports: of
// those in this area, and of those in others. Where data centres lie in one area, all targets
// are in this one. Distant hosts report their load only with responses. The caller must hold
// st.mu.
func (st *serviceState) typicalLoads(now time.Time, req *request) (near, remote balance.TypicalLoad) {
	var sums [2]loadSum
	for _, i := range st.candidates.eligible {
		t := st.targets[i]
		side, maxAge := 0, loadMaxAge
		if t.distance == area.Remote {
			side, maxAge = 1, remoteTypicalMaxAge
		}
		if now.Sub(t.observed.loadAt) > maxAge {
			continue
		}
		sums[side].slots += t.Slots
		sums[side].running += int(t.observed.load.Running)
		sums[side].waiting += req.queuedAhead(now, t.observed.load)
	}
	return sums[0].typical(), sums[1].typical()
}

// loadSum is the sum of the loads of several targets.
type loadSum struct {
	slots, running int
	waiting        time.Duration
}

func (s *loadSum) typical() balance.TypicalLoad {
	if s.slots == 0 {
		return balance.TypicalLoad{Running: defaultSlotLoad}
	}
	return balance.TypicalLoad{Running: float64(s.running) / float64(s.slots), QueuedWork: s.waiting / time.Duration(s.slots)}
}

// queuedAhead estimates the work that will run before the request at an instance, as time
// on one slot. It includes all queued work of higher priority, and that of the same
// priority that is due earlier. A queue that admits only work that will meet its objective
// holds no more of the latter than fits into the request's remaining time; half of that is
// expected.
//
// Counting all queued work would send requests of the highest priority to failing instances
// because work of lower priority is queued at healthy ones.
func (req *request) queuedAhead(now time.Time, l msg.Load) time.Duration {
	var higher uint32
	for p := req.priority() + 1; p < len(l.WaitingMS); p++ {
		higher += l.WaitingMS[p]
	}
	own := time.Duration(l.WaitingMS[min(req.priority(), len(l.WaitingMS)-1)]) * time.Millisecond
	timeLeft := max(req.route.Objective()-now.Sub(req.arrived), 0)
	due := timeLeft / 2 * time.Duration(l.Slots)
	return time.Duration(higher)*time.Millisecond + min(own, due)
}

// failureModel describes instances that alternate between healthy and failing periods.
var failureModel = chance.Default()

const (
	// retryableFailureWeight is the weight of a failure for a request that can be retried
	// while budget is left. Most failures are reported within milliseconds, so the retry
	// still responds in time, and each one reveals a failing instance before a request that
	// cannot be retried reaches it.
	retryableFailureWeight = 0.2
	// crossDCWeight is the cost of traffic between data centres, relative to the request's
	// value.
	crossDCWeight = 0.05
)

// costWeights returns the weights of the cost function for the request. retryChance is the
// probability that the request can be retried if it fails. The failure weight grows from
// retryableFailureWeight to 1 as the retry budget runs out, because a request sent to an
// instance that is probably failing will need a retry.
func (req *request) costWeights(now time.Time, retryChance float64) balance.CostWeights {
	weight := 1 - retryChance*(1-retryableFailureWeight)
	objective := req.route.Objective()
	return balance.CostWeights{
		Objective: objective, TimeLeft: objective - now.Sub(req.arrived),
		FailureWeight: weight, RemoteWeight: crossDCWeight,
	}
}

// expectedServiceTime is expectedServiceTimeLocked for callers that do not hold st.mu.
func (st *serviceState) expectedServiceTime(req *request) time.Duration {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.expectedServiceTimeLocked(req)
}

// expectedServiceTimeLocked is the mean service time of the request's route, or a third of
// its objective before the first response. The caller must hold st.mu.
func (st *serviceState) expectedServiceTimeLocked(req *request) time.Duration {
	if l, ok := st.latencies[req.route.Name]; ok && l.mean > 0 {
		return l.mean
	}
	return req.route.Objective() / 3
}
