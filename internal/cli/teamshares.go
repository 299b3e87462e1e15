package cli

import (
	"cmp"
	"fmt"
	"slices"
	"text/tabwriter"

	"github.com/radishhoist/radishhoist/internal/guard"
)

// teamShare is a team's share of the slots of a service, as the mean of what the hosts that
// run the service estimate.
type teamShare struct {
	Service string  `json:"service"`
	Team    string  `json:"team"`
	Hash    uint32  `json:"hash"`
	Weight  float64 `json:"weight"`
	Share   float64 `json:"share"`
	Use     float64 `json:"use"`
	// Over is the number of hosts at which requests wait and the team uses more than its
	// share, of the Hosts that have figures of the team.
	Over  int `json:"over"`
	Hosts int `json:"hosts"`
}

// mergeTeamShares merges the hosts' figures by service and team, by service, the team with
// the most use over its share first.
func mergeTeamShares(hosts [][]guard.TeamShare) []*teamShare {
	type key struct {
		service string
		hash    uint32
	}
	merged := make(map[key]*teamShare)
	out := []*teamShare{}
	for _, host := range hosts {
		for _, s := range host {
			k := key{s.Service, s.Hash}
			t := merged[k]
			if t == nil {
				t = &teamShare{Service: s.Service, Hash: s.Hash}
				merged[k] = t
				out = append(out, t)
			}
			t.Team, t.Weight = cmp.Or(t.Team, s.Team), max(t.Weight, s.Weight)
			t.Share += s.Share
			t.Use += s.Use
			t.Hosts++
			if s.Over {
				t.Over++
			}
		}
	}
	for _, t := range out {
		t.Share /= float64(t.Hosts)
		t.Use /= float64(t.Hosts)
	}
	slices.SortFunc(out, func(a, b *teamShare) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(b.Use/b.Share, a.Use/a.Share), cmp.Compare(a.Hash, b.Hash))
	})
	return out
}

// name returns the team's name, or what identifies a team without a record.
func (t *teamShare) name() string {
	switch {
	case t.Team != "":
		return t.Team
	case t.Hash == guard.TeamHash(""):
		return "(none)"
	default:
		return fmt.Sprintf("(%08x)", t.Hash)
	}
}

func (t *teamShare) state() string {
	if t.Over == 0 {
		return "no"
	}
	return fmt.Sprintf("at %d of %d hosts", t.Over, t.Hosts)
}

func (a *app) printTeamShares(list []*teamShare) {
	if len(list) == 0 {
		return
	}
	a.printLine("")
	a.printTable("SERVICE\tTEAM\tWEIGHT\tSHARE\tUSE\tOVER ITS SHARE", func(w *tabwriter.Writer) {
		for _, t := range list {
			fmt.Fprintf(w, "%s\t%s\t%g\t%.1f%%\t%.1f%%\t%s\n", t.Service, t.name(), t.Weight, 100*t.Share, 100*t.Use, t.state())
		}
	})
}
