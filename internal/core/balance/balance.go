// Package balance selects a target among the instances that a front may use.
//
// The cost of a candidate, in seconds, is the expected time until its response
// arrives plus the expected loss of the request's value, due to failure, a late
// response or traffic between data centres. The candidate with the lowest cost is
// selected. If there are many candidates, only a random sample is evaluated.
//
// The value of a request is the value of its response to the caller. FailureWeight,
// RemoteWeight and lateValue are shares of its full value, which is that of a response
// well within the latency objective.
package balance

import (
	"math"
	"math/rand/v2"
	"time"
)

// Candidate is what the front knows about one instance.
type Candidate struct {
	Slots int
	// Running is the number of running requests in the guard's last load report, and
	// QueuedWork the work queued ahead of this request at that time, as the sum of the
	// expected service times.
	Running    int
	QueuedWork time.Duration
	// LoadAge is the age of that load report.
	LoadAge time.Duration
	// Typical is the load that is assumed increasingly as the load report ages.
	Typical TypicalLoad
	// Pending is the number of requests that this front has in flight to the instance
	// and that the load report does not include.
	Pending int
	// Service is the expected service time of this request at the instance, 0 if
	// unknown.
	Service time.Duration
	// RoundTrip is the round-trip time to the instance's host, 0 if unknown.
	RoundTrip time.Duration
	// WarmUpProgress is the progress of the instance's warm-up, from 0 at its start to 1.
	WarmUpProgress float64
	// Local reports whether the instance is in the front's data centre.
	Local bool
	// TransferPrice is the price of the request's bytes to the instance, where it depends on
	// the distance: the additional waiting time that is accepted to avoid the transfer.
	TransferPrice time.Duration
	// FailureProbability is the probability that the request fails at the instance.
	FailureProbability float64
}

// TypicalLoad is the current mean load per slot of a service's instances, from recent
// load reports.
type TypicalLoad struct {
	// Running is the share of the slots in use, and QueuedWork the work queued ahead of
	// the request.
	Running    float64
	QueuedWork time.Duration
}

// CostWeights describes the cost of a late or failed response to one request.
type CostWeights struct {
	// Objective is the latency objective, and TimeLeft the part of it that remains.
	Objective, TimeLeft time.Duration
	// FailureWeight is the share of the request's value that a failure costs: 1 for requests
	// that cannot be retried, less for those that can.
	FailureWeight float64
	// RemoteWeight is the cost of traffic between data centres, as a share of the value. A
	// candidate's TransferPrice is added to it.
	RemoteWeight float64
}

const (
	// defaultService is assumed if the service time is unknown.
	defaultService = 20 * time.Millisecond
	// unknownRemoteRoundTrip is assumed if the round-trip time to another data centre is
	// unknown.
	unknownRemoteRoundTrip = 3 * time.Millisecond
	// loadHalfLife is the age at which a load report has lost half of its weight
	// against the typical load.
	loadHalfLife = 2 * time.Second
	// minWarmUpProgress bounds the cost of a cold instance, so that it still gets requests.
	minWarmUpProgress = 0.05
	// fullLoadSlowdown is the relative increase of the service time of an instance with
	// all slots busy, compared with an idle one.
	fullLoadSlowdown = 0.5
	// valueWeight converts a loss of value into time: the loss of a request's full value
	// costs this many times its objective.
	valueWeight = 4.0
	// lateValue is the value of a response after the objective, as a share of the full
	// value. Deployments value late responses at 0.1 to 0.5.
	lateValue = 0.4
	// jitter is the maximum relative random increase of a cost. It makes fronts with the
	// same information select different instances.
	jitter = 0.1
	// maxSampled is the maximum number of candidates evaluated for one selection. A larger
	// sample more often includes a healthy instance, but many fronts with the same
	// information then select the same few instances and overload them.
	maxSampled = 12
)

// Cost returns the estimated cost of a request at a candidate, in seconds.
func Cost(c Candidate, w CostWeights) float64 {
	service := c.serviceTime()
	roundTrip := c.RoundTrip
	if roundTrip <= 0 && !c.Local {
		roundTrip = unknownRemoteRoundTrip
	}
	busy, wait := c.load()
	run := (service.Seconds()*(1+fullLoadSlowdown*busy*busy) + wait) / max(c.WarmUpProgress, minWarmUpProgress)
	total := roundTrip.Seconds() + run
	value := (1 - c.FailureProbability*w.FailureWeight) * w.valueShareAfter(total)
	if !c.Local {
		value -= w.RemoteWeight
	}
	return total + c.TransferPrice.Seconds() + valueWeight*w.Objective.Seconds()*(1-value)
}

func (c *Candidate) serviceTime() time.Duration {
	if c.Service <= 0 {
		return defaultService
	}
	return c.Service
}

// load returns the expected share of the slots in use, and the expected wait of the request
// in the instance's queue in seconds.
func (c *Candidate) load() (busy, wait float64) {
	slots := float64(max(c.Slots, 1))
	freshness := math.Exp2(-float64(c.LoadAge) / float64(loadHalfLife))
	running := freshness*float64(c.Running) + (1-freshness)*c.Typical.Running*slots + float64(c.Pending)
	queued := freshness*c.QueuedWork.Seconds()/slots + (1-freshness)*c.Typical.QueuedWork.Seconds()
	return min(running/slots, 1), queued + c.serviceTime().Seconds()*max(running+1-slots, 0)/slots
}

// Wait returns the expected wait of a request in the queue of a candidate.
func Wait(c Candidate) time.Duration {
	_, wait := c.load()
	return time.Duration(wait * float64(time.Second))
}

// valueShareAfter returns the expected share of its value that a request keeps if its
// response is expected after the given time: all of it well before the objective, and
// lateValue well after it. Service times vary by half of their mean and more, so the share
// decreases gradually in between.
func (w CostWeights) valueShareAfter(seconds float64) float64 {
	timeLeft := w.TimeLeft.Seconds()
	if w.Objective <= 0 {
		return 1
	}
	const early, late = 0.5, 1.5
	switch {
	case seconds <= early*timeLeft:
		return 1
	case timeLeft <= 0 || seconds >= late*timeLeft:
		return lateValue
	default:
		return 1 - (1-lateValue)*(seconds-early*timeLeft)/((late-early)*timeLeft)
	}
}

// Sample returns the indexes of the candidates to evaluate among n: all of them, or, if
// there are more than maxSampled, a random sample with repetition, half of it local. local
// holds the indexes of the candidates in the front's data centre.
func Sample(rng *rand.Rand, n int, local []int) []int {
	if n <= maxSampled {
		all := make([]int, n)
		for i := range all {
			all[i] = i
		}
		return all
	}
	sampled := make([]int, maxSampled)
	for k := range sampled {
		if k%2 == 0 && len(local) > 0 {
			sampled[k] = local[rng.IntN(len(local))]
		} else {
			sampled[k] = rng.IntN(n)
		}
	}
	return sampled
}

// Pick returns the sampled index of the lowest cost, -1 if there is none.
func Pick(rng *rand.Rand, sampled []int, cost func(int) float64) int {
	best, bestCost := -1, math.Inf(1)
	for _, i := range sampled {
		if c := cost(i) * (1 + jitter*rng.Float64()); best < 0 || c < bestCost {
			best, bestCost = i, c
		}
	}
	return best
}
