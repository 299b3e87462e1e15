package guard

import (
	"math/rand/v2"
	"slices"
	"sync"

	"github.com/radishhoist/radishhoist/internal/core/admit"
	"github.com/radishhoist/radishhoist/internal/core/directory"
	"github.com/radishhoist/radishhoist/internal/core/team"
)

// admissionRequest returns the part of a request for admission that depends on the caller's
// team. hash is that of the team's name.
func (g *Guard) admissionRequest(hash uint32, priority, subPriority uint8) admit.Request {
	r := admit.Request{Class: hash, Priority: priority, SubPriority: subPriority}
	if g.cfg.FairShares {
		r.Team, r.Weight = hash, g.teamWeight(hash)
	}
	return r
}

// TeamHash hashes the name of a team.
func TeamHash(name string) uint32 { return uint32(NameHash(name)) }

// teamWeights holds the weights of teams by the hash of their names.
type teamWeights struct {
	// keys identifies the records that the weights come from: each set of records has its
	// own index, and directories that differ only in hosts share it.
	keys   *team.Index
	byHash map[uint32]float64
}

// teamWeight returns the weight of a team: the rate of its record, 1 if it has none.
func (g *Guard) teamWeight(hash uint32) float64 {
	if g.shares == nil {
		return 1
	}
	return g.shares.weight(hash)
}

func (s *teamShares) weight(hash uint32) float64 {
	if w, ok := s.weights.Load().byHash[hash]; ok {
		return w
	}
	return 1
}

// setWeights builds the table of weights if the records have changed.
func (s *teamShares) setWeights(d *directory.Directory) {
	if d.TeamKeys != nil && s.weights.Load().keys == d.TeamKeys {
		return
	}
	w := &teamWeights{keys: d.TeamKeys, byHash: make(map[uint32]float64)}
	for name, t := range d.Teams {
		if t.RatePerSecond > 0 {
			// Two names of 81,000 may have the same hash. All hosts must use the same
			// weight then.
			hash := TeamHash(name)
			w.byHash[hash] = max(w.byHash[hash], t.RatePerSecond)
		}
	}
	s.weights.Store(w)
}

// runningTeams holds the team of each request that runs on this host.
type runningTeams struct {
	mu    sync.Mutex
	teams []uint32
}

// beginTeamRun records that a request of a team is sent to an instance, and endTeamRun that
// it has ended. They do nothing without FairShares.
func (g *Guard) beginTeamRun(hash uint32) {
	if g.shares == nil {
		return
	}
	r := &g.shares.running
	r.mu.Lock()
	defer r.mu.Unlock()
	r.teams = append(r.teams, hash)
}

func (g *Guard) endTeamRun(hash uint32) {
	if g.shares == nil {
		return
	}
	r := &g.shares.running
	r.mu.Lock()
	defer r.mu.Unlock()
	if i := slices.Index(r.teams, hash); i >= 0 {
		last := len(r.teams) - 1
		r.teams[i] = r.teams[last]
		r.teams = r.teams[:last]
	}
}

// RunningTeam returns the team of one of the requests that run on this host, chosen at
// random, and false if none runs or without FairShares.
func (g *Guard) RunningTeam(rng *rand.Rand) (hash uint32, ok bool) {
	if g.shares == nil {
		return 0, false
	}
	r := &g.shares.running
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.teams) == 0 {
		return 0, false
	}
	return r.teams[rng.IntN(len(r.teams))], true
}
