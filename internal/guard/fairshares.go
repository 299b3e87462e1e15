package guard

import "github.com/radishhoist/radishhoist/internal/core/admit"

// admissionRequest returns the part of a request for admission that depends on the caller's
// team. hash is that of the team's name.
func (g *Guard) admissionRequest(hash uint32, priority, subPriority uint8) admit.Request {
	r := admit.Request{Class: hash, Priority: priority, SubPriority: subPriority}
	if g.cfg.FairShares {
		r.Team, r.Weight = hash, g.teamWeight(hash)
	}
	return r
}

// teamWeight returns the weight of the team with that hash in the division of slots.
func (g *Guard) teamWeight(hash uint32) float64 { return 1 }
