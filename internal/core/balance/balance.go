// Package balance chooses a target among the instances a front may use.
//
// A choice takes two instances at random from the front's own data centre and
// one from all, and the least expected latency wins. Locality is not a rule of
// its own: a remote instance carries its path's time, and wins once the wait
// at the local ones is longer than that.
package balance

import (
	"math"
	"math/rand/v2"
	"time"
)

// Candidate is one instance as the chooser sees it.
type Candidate struct {
	Slots int
	// Running and Queued are the guard's count when it last answered.
	Running, Queued int
	// LoadAge is how old that count is.
	LoadAge time.Duration
	// Pending is how many requests this front has under way there beyond
	// those that the count already holds.
	Pending int
	// Service is the instance's mean service time, 0 where unknown.
	Service time.Duration
	// Path is the round trip to its host, 0 where unknown.
	Path time.Duration
	// Warmth is 0 for an instance that has just started, up to 1.
	Warmth float64
	// Local says the instance is in the chooser's data centre.
	Local bool
}

const (
	// defaultService stands in for an unknown service time.
	defaultService = 20 * time.Millisecond
	// unknownRemotePath stands in for an unknown path to another data centre.
	unknownRemotePath = 3 * time.Millisecond
	// staleAfter is the age at which half of a load count is forgotten.
	staleAfter = 500 * time.Millisecond
	// typicalBusy is the share of busy slots a stale count decays to.
	typicalBusy = 0.3
	// minWarmth keeps a cold instance from never being chosen.
	minWarmth = 0.05
)

// Cost estimates the time, in seconds, until an answer would be back.
func Cost(c Candidate) float64 {
	service := c.Service
	if service <= 0 {
		service = defaultService
	}
	path := c.Path
	if path <= 0 && !c.Local {
		path = unknownRemotePath
	}
	slots := float64(max(c.Slots, 1))
	fresh := math.Exp2(-float64(c.LoadAge) / float64(staleAfter))
	reported := float64(c.Running + c.Queued)
	busy := (fresh*reported + (1-fresh)*typicalBusy*slots + float64(c.Pending)) / slots
	// A busy instance slows down well before its slots are full.
	load := 1 + busy*busy
	if busy >= 1 {
		load += (busy - 1) * slots
	}
	warmth := max(c.Warmth, minWarmth)
	return path.Seconds() + service.Seconds()*load/warmth
}

// Pick chooses among n candidates and returns an index, -1 where n is 0.
// local holds the indexes of those in the own data centre; cost is called for
// at most three of them.
func Pick(rng *rand.Rand, n int, local []int, cost func(int) float64) int {
	if n == 0 {
		return -1
	}
	best, bestCost := -1, math.Inf(1)
	try := func(i int) {
		if i == best {
			return
		}
		if c := cost(i); best < 0 || c < bestCost {
			best, bestCost = i, c
		}
	}
	if len(local) > 0 {
		try(local[rng.IntN(len(local))])
		try(local[rng.IntN(len(local))])
	} else {
		try(rng.IntN(n))
	}
	try(rng.IntN(n))
	return best
}
