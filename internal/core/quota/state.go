package quota

import (
	"cmp"
	"slices"
	"time"
)

// State is one host's view of a team's usage, for operators.
type State struct {
	Team string `json:"team"`
	// Rate and Burst are the limit. Level is the usage, which can exceed Capacity; both
	// are in requests. Capacity is the live hosts' share of the burst and
	// Config.ExtraBurst.
	Rate     float64 `json:"ratePerSecond"`
	Burst    float64 `json:"burst"`
	Level    float64 `json:"level"`
	Capacity float64 `json:"room"`
	// Home is the team's home, the host whose account is authoritative.
	Home string `json:"home"`
	// NearLimit reports whether hosts query the home for each request, Standalone
	// whether this host enforces its own share because neither the home nor its
	// successor answers.
	NearLimit  bool `json:"close"`
	Standalone bool `json:"alone"`
	// Admitted and Refused count this host's requests since the account was created.
	Admitted uint64 `json:"passed"`
	Refused  uint64 `json:"refused"`
}

// State returns the accounts of this host, sorted by team.
func (n *Node) State(now time.Time) []State {
	out := make([]State, 0, len(n.accounts))
	for _, a := range n.accounts {
		out = append(out, State{
			Team: a.team, Rate: a.limit.Rate, Burst: a.limit.Burst, Level: a.level(now), Capacity: a.capacity(), Home: n.homeAndSuccessor(a)[0],
			NearLimit: now.Before(a.nearLimitUntil) || n.nearLimit[a.team] != nil, Standalone: now.Before(a.standaloneUntil),
			Admitted: a.admitted, Refused: a.refused,
		})
	}
	slices.SortFunc(out, func(x, y State) int { return cmp.Compare(x.Team, y.Team) })
	return out
}
