// Package balance chooses a target among the instances a front may use.
//
// Every candidate has a cost in seconds: the expected time until its answer is
// back, and what is lost of the request's value by the chances of a failure and
// of a late answer and by bytes that cross data centres. The least cost wins. Where there are many
// candidates, a sample of them is looked at.
package balance

import (
	"math"
	"math/rand/v2"
	"time"
)

// Candidate is one instance as the chooser sees it.
type Candidate struct {
	Slots int
	// Running is the guard's count when it last told, and Waiting the work that
	// then waited before this request, in the time of one slot.
	Running    int
	QueuedWork time.Duration
	// LoadAge is how old that count is.
	LoadAge time.Duration
	// Typical is what an old count is taken to have become.
	Typical TypicalLoad
	// Pending is how many requests this front has under way there beyond
	// those that the count already holds.
	Pending int
	// Service is the expected service time of this request there, 0 where
	// unknown.
	Service time.Duration
	// RoundTrip is the round trip to its host, 0 where unknown.
	RoundTrip time.Duration
	// Warmth is 0 for an instance that has just started, up to 1.
	Warmth float64
	// Local says the instance is in the chooser's data centre.
	Local bool
	// FailureProbability is the chance that the request fails there.
	FailureProbability float64
}

// TypicalLoad is the load of a service's instances at present as far as is known: by
// fresh counts, a slot.
type TypicalLoad struct {
	// Running is the share of the slots that are taken, and Waiting the work that
	// waits before the request.
	Running    float64
	QueuedWork time.Duration
}

// CostWeights is what the choice means for one request.
type CostWeights struct {
	// Objective is the time in which the answer is worth its whole value, and
	// Left how much of it is left.
	Objective, Left time.Duration
	// FailureWeight is how much of the value a failure takes: 1 for work that
	// cannot be repeated, less for work that can.
	FailureWeight float64
	// RemoteWeight is what bytes between data centres are worth, as a part of the
	// value.
	RemoteWeight float64
}

const (
	// defaultService stands in for an unknown service time.
	defaultService = 20 * time.Millisecond
	// unknownRemotePath stands in for an unknown path to another data centre.
	unknownRemotePath = 3 * time.Millisecond
	// staleAfter is the age at which half of a load count is forgotten.
	staleAfter = 2 * time.Second
	// minWarmth keeps a cold instance from never being chosen.
	minWarmth = 0.05
	// slowdown is how much longer a request takes at an instance whose slots are
	// all busy than at an idle one, as a share: instances slow down when they
	// are nearly full.
	slowdown = 0.5
	// valueStake is the time that a request's whole value is worth, in
	// objectives: it weighs chances against seconds.
	valueStake = 4.0
	// lateWorth is what an answer after its objective is worth. Offices differ,
	// from a tenth to a half.
	lateWorth = 0.4
	// jitter spreads the choices of fronts that know the same, as a share.
	jitter = 0.1
	// maxLooks bounds the candidates that one choice looks at. More looks find an
	// instance that is likelier well; but where many fronts know the same, all find the
	// same few and crowd there.
	maxLooks = 12
)

// Cost estimates what a request costs at a candidate, in seconds.
func Cost(c Candidate, s CostWeights) float64 {
	service := c.Service
	if service <= 0 {
		service = defaultService
	}
	path := c.RoundTrip
	if path <= 0 && !c.Local {
		path = unknownRemotePath
	}
	slots := float64(max(c.Slots, 1))
	fresh := math.Exp2(-float64(c.LoadAge) / float64(staleAfter))
	running := fresh*float64(c.Running) + (1-fresh)*c.Typical.Running*slots + float64(c.Pending)
	waiting := fresh*c.QueuedWork.Seconds()/slots + (1-fresh)*c.Typical.QueuedWork.Seconds()
	busy := min(running/slots, 1)
	wait := waiting + service.Seconds()*max(running+1-slots, 0)/slots
	run := (service.Seconds()*(1+slowdown*busy*busy) + wait) / max(c.Warmth, minWarmth)
	total := path.Seconds() + run
	value := (1 - c.FailureProbability*s.FailureWeight) * s.worth(total)
	if !c.Local {
		value -= s.RemoteWeight
	}
	return total + valueStake*s.Objective.Seconds()*(1-value)
}

// worth is the part of a request's value that an answer after some seconds is
// expected to have: all of it well within the objective, little well beyond.
// Service times vary by half of their mean and more, so that it falls slowly.
func (s CostWeights) worth(seconds float64) float64 {
	left := s.Left.Seconds()
	if s.Objective <= 0 {
		return 1
	}
	const early, late = 0.5, 1.5
	switch {
	case seconds <= early*left:
		return 1
	case left <= 0 || seconds >= late*left:
		return lateWorth
	default:
		return 1 - (1-lateWorth)*(seconds-early*left)/((late-early)*left)
	}
}

// Pick chooses among n candidates and returns an index, -1 where n is 0.
// local holds the indexes of those in the own data centre. Where there are more
// than maxLooks, a random half of the looks goes to local ones.
func Pick(rng *rand.Rand, n int, local []int, cost func(int) float64) int {
	if n == 0 {
		return -1
	}
	best, bestCost := -1, math.Inf(1)
	try := func(i int) {
		if c := cost(i) * (1 + jitter*rng.Float64()); best < 0 || c < bestCost {
			best, bestCost = i, c
		}
	}
	if n <= maxLooks {
		for i := range n {
			try(i)
		}
		return best
	}
	for k := range maxLooks {
		if k%2 == 0 && len(local) > 0 {
			try(local[rng.IntN(len(local))])
		} else {
			try(rng.IntN(n))
		}
	}
	return best
}
