package balance

import "math/rand/v2"

// sampleShares are the numbers of candidates in a sample by distance: own data centre, own
// area, elsewhere. The loads of a few candidates elsewhere suffice to compare the areas.
var sampleShares = [3]int{6, 4, 2}

// spillShares are those while the own area is short of capacity.
var spillShares = [3]int{4, 3, 5}

// SampleByDistance returns the candidates to evaluate among those in groups, which holds
// their indexes by distance: own data centre, own area, elsewhere. These are all of them, or,
// if there are more than maxSampled, a random sample with repetition. What a group cannot
// fill is taken from the next one; candidates elsewhere fill no more than their share while
// the own area has any. spilled reports that the own area is short of capacity.
func SampleByDistance(rng *rand.Rand, groups [3][]int, spilled bool) []int {
	shares := sampleShares
	if spilled {
		shares = spillShares
	}
	if len(groups[0])+len(groups[1]) == 0 {
		shares[2] = maxSampled
	}
	sampled := make([]int, 0, maxSampled)
	if len(groups[0])+len(groups[1])+len(groups[2]) <= maxSampled {
		for _, g := range groups {
			sampled = append(sampled, g...)
		}
		return sampled
	}
	free := 0
	for d, g := range groups {
		n := shares[d]
		if d < len(groups)-1 {
			n += free
		}
		free = max(n-len(g), 0)
		if n >= len(g) {
			sampled = append(sampled, g...)
			continue
		}
		for range n {
			sampled = append(sampled, g[rng.IntN(len(g))])
		}
	}
	return sampled
}
