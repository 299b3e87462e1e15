// Package refusal decides how refusals by instances and the remaining retry budget are
// judged: whether an instance refuses more than the other instances of its service, whether
// a guard is worth asking for a retry, and which retries get the budget when little is
// left. It does no I/O and does not read the clock.
package refusal

import (
	"math"
	"time"
)

const (
	// shareOutcomes is the number of independent outcomes whose share has the variance of the
	// share that a guard reports: a moving average with the weight w = 0.1 for a new outcome,
	// see chance.DecayingShare, has that of (2-w)/w outcomes. Its decay over time reduces
	// both: with 5 requests a second that are refused at 0.55, it has mean 0.35 and the
	// variance of 25 outcomes.
	shareOutcomes = 19
	// differentFactor is how many times the variance by chance the observed one must exceed
	// what alike instances may show for their own shares to count in full.
	differentFactor = 2
	// weightHalfLife is the half-life of the weight of an instance's own share, that of a
	// decaying share.
	weightHalfLife = 3 * time.Second
	// reportHalfLife is the age at which a report has lost half of its weight against the
	// share of the service.
	reportHalfLife = time.Second
)

// ServiceShare summarizes the shares of refused requests that guards reported recently for
// the instances of one service. The zero value judges each instance by its own share.
type ServiceShare struct {
	// mean is the mean share, and ownWeight the weight of the difference of an instance's
	// own share from it.
	mean, ownWeight float64
	// known reports that there were shares to compare.
	known bool
	at    time.Time
}

// Update computes the summary of the shares reported until now.
//
// Among n instances that all refuse alike, with mean share m, the variance of their shares is
// c = m(1-m)/shareOutcomes by chance alone, and the observed variance v exceeds it by the
// factor 1+sqrt(2/(n-1)) where it is one standard error too high. An instance's own deviation
// from the mean has the weight 0 up to this factor and 1 from differentFactor above it on:
// where instances clearly differ, each is judged by its own share alone. The weight decreases
// slowly, because the shares of instances that are avoided decay and then look alike.
func (s *ServiceShare) Update(now time.Time, shares []float64) {
	weight := 0.0
	mean, variance := meanAndVariance(shares)
	if byChance := mean * (1 - mean) / shareOutcomes; byChance > 0 && len(shares) > 1 {
		weight = (variance/byChance - 1 - math.Sqrt(2/float64(len(shares)-1))) / differentFactor
	}
	weight = max(weight, s.ownWeight*math.Exp2(-now.Sub(s.at).Seconds()/weightHalfLife.Seconds()))
	*s = ServiceShare{mean: mean, ownWeight: min(weight, 1), known: len(shares) > 1, at: now}
}

func meanAndVariance(values []float64) (mean, variance float64) {
	n := float64(len(values))
	if n < 2 {
		return 0, 0
	}
	for _, v := range values {
		mean += v / n
	}
	for _, v := range values {
		variance += (v - mean) * (v - mean) / (n - 1)
	}
	return mean, variance
}

// Mean returns the service's share of refused requests, 0 if it is not known.
func (s ServiceShare) Mean() float64 { return s.mean }

// Estimate returns the probability that an instance refuses the next request. own is the
// share that its guard reported, and age the age of that report. Old reports count less,
// so that the estimate of an instance tends to the service's mean.
func (s ServiceShare) Estimate(own float64, age time.Duration) float64 {
	weight := math.Exp2(-max(age, 0).Seconds() / reportHalfLife.Seconds())
	if s.known {
		weight *= s.ownWeight
	}
	return min(max(s.mean+weight*(own-s.mean), 0), 1)
}
