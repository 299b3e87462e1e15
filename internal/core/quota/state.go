package quota

import (
	"cmp"
	"slices"
	"time"
)

// State is what one host knows of a team's use, for operators.
type State struct {
	Team string `json:"team"`
	// Rate and Burst are the limit, Level what is used of Room: both in requests.
	Rate     float64 `json:"ratePerSecond"`
	Burst    float64 `json:"burst"`
	Level    float64 `json:"level"`
	Capacity float64 `json:"room"`
	// Home keeps the account.
	Home string `json:"home"`
	// NearLimit says that hosts ask the home for each request, Alone that this host goes by
	// its own share because no home answers.
	NearLimit  bool `json:"close"`
	Standalone bool `json:"alone"`
	// Passed and Refused count this host's requests since the account was opened.
	Passed  uint64 `json:"passed"`
	Refused uint64 `json:"refused"`
}

// State lists the accounts of this host by team.
func (n *Node) State(now time.Time) []State {
	out := make([]State, 0, len(n.accounts))
	for _, a := range n.accounts {
		out = append(out, State{
			Team: a.team, Rate: a.limit.Rate, Burst: a.limit.Burst, Level: a.level(now), Capacity: a.room(), Home: n.homesOf(a)[0],
			NearLimit: now.Before(a.closeUntil) || n.close[a.team] != nil, Standalone: now.Before(a.aloneUntil),
			Passed: a.passes, Refused: a.refusals,
		})
	}
	slices.SortFunc(out, func(x, y State) int { return cmp.Compare(x.Team, y.Team) })
	return out
}
