package cli

import (
	"cmp"
	"context"
	"crypto/rand"
	"fmt"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"github.com/radishhoist/radishhoist/internal/guard"
	"github.com/radishhoist/radishhoist/internal/objects"
	"github.com/radishhoist/radishhoist/internal/sleep"
	"github.com/radishhoist/radishhoist/internal/state"
	"github.com/radishhoist/radishhoist/internal/teams"
	"github.com/radishhoist/radishhoist/record"
)

func (a *app) teamsCommand() *cli.Command {
	keyFlags := []cli.Flag{&cli.DurationFlag{Name: "wait", Value: 20 * time.Second, Usage: "`TIME` to wait until the change is in force on every host; 0 checks once"}}
	return &cli.Command{
		Name: "teams", Usage: "list how much of its rate limit and of its share of each service each team uses, over all hosts",
		Description: "Queries every host that the platform lists. A team's usage comes from its home, the host that keeps its\n" +
			"account; requests are counted by the host that received them. Shares and their use are the mean over the\n" +
			"hosts that run the service; they are shown where fair shares are in force. Keys are never shown.",
		Action: a.listTeams,
		Commands: []*cli.Command{{
			Name: "key", Usage: "add or withdraw a key of a team",
			Commands: []*cli.Command{{
				Name: "add", Usage: "generate a new key for a team and print it once", ArgsUsage: "TEAM", Flags: keyFlags,
				Action: a.addKey,
			}, {
				Name: "withdraw", Usage: "withdraw a key, read from standard input", ArgsUsage: "TEAM", Flags: keyFlags,
				Description: "The key is read from standard input, so that it does not appear in process lists or the shell history.",
				Action:      a.withdrawKey,
			}},
		}},
	}
}

// teamUsage is a team's usage over all hosts.
type teamUsage struct {
	Team  string  `json:"team"`
	Rate  float64 `json:"ratePerSecond"`
	Burst float64 `json:"burst"`
	// UsedFraction is the fraction in use of the capacity that rate and burst give; 1 is all of it.
	UsedFraction float64 `json:"used"`
	// Home is the host that keeps the account of the team's usage over all hosts.
	// NearLimit is set while all hosts query the home for each request.
	Home      string `json:"home"`
	NearLimit bool   `json:"close"`
	// Admitted and Refused count requests by host.
	Admitted map[string]uint64 `json:"passed"`
	Refused  map[string]uint64 `json:"refused"`
	// Standalone lists the hosts that apply their own share of the limit because no home
	// responds to them.
	Standalone []string `json:"alone,omitempty"`
}

// teamList is the output of `teams`. Unreachable lists the hosts that did not respond.
type teamList struct {
	Teams       []*teamUsage `json:"teams"`
	Shares      []*teamShare `json:"shares,omitempty"`
	Unreachable []string     `json:"silent,omitempty"`
}

func (a *app) listTeams(ctx context.Context, cmd *cli.Command) error {
	if cmd.Args().Len() != 0 {
		return &InvalidError{fmt.Sprintf("unknown command %q; use `radishhoist teams`, `radishhoist teams key add TEAM` or `radishhoist teams key withdraw TEAM`", cmd.Args().First())}
	}
	hosts, err := a.adminAddresses(ctx, cmd)
	if err != nil {
		return err
	}
	byHost := make(map[string][]teams.State)
	var shares [][]guard.TeamShare
	list := teamList{Teams: []*teamUsage{}}
	for _, name := range slices.Sorted(maps.Keys(hosts)) {
		var dump state.Dump
		if err := adminGet(ctx, hosts[name], state.StatePath, nil, &dump); err != nil {
			list.Unreachable = append(list.Unreachable, name)
			continue
		}
		byHost[name] = dump.Teams
		shares = append(shares, dump.TeamShares)
	}
	list.Teams = mergeTeams(byHost)
	list.Shares = mergeTeamShares(shares)
	if asJSON(cmd) {
		return a.printJSON(list)
	}
	a.printTeams(list)
	return nil
}

// adminAddresses returns the admin addresses of all hosts that the platform lists, by host
// name.
func (a *app) adminAddresses(ctx context.Context, cmd *cli.Command) (map[string]string, error) {
	page, err := a.store(cmd).List(ctx, record.KindHost)
	if err != nil {
		return nil, err
	}
	out := make(map[string]string)
	for _, obj := range page.Objects {
		if r, err := record.Parse(obj.Value); err == nil {
			if h, ok := r.Spec.(*record.Host); ok {
				out[r.Name] = h.Admin
			}
		}
	}
	return out, nil
}

// mergeTeams merges the hosts' states by team, the highest usage first. A team's usage is
// that reported by its home, which is the most accurate, or the highest that any host
// reports if the home is unreachable.
func mergeTeams(byHost map[string][]teams.State) []*teamUsage {
	byTeam := make(map[string]*teamUsage)
	for host, list := range byHost {
		for _, s := range list {
			u := byTeam[s.Team]
			if u == nil {
				u = &teamUsage{Team: s.Team, Admitted: make(map[string]uint64), Refused: make(map[string]uint64)}
				byTeam[s.Team] = u
			}
			u.add(host, s)
		}
	}
	out := []*teamUsage{}
	for _, u := range byTeam {
		slices.Sort(u.Standalone)
		out = append(out, u)
	}
	slices.SortFunc(out, func(x, y *teamUsage) int {
		return cmp.Or(cmp.Compare(y.UsedFraction, x.UsedFraction), cmp.Compare(x.Team, y.Team))
	})
	return out
}

func (u *teamUsage) add(host string, s teams.State) {
	used := s.Level / max(s.Capacity, 1)
	switch {
	case host == s.Home:
		u.Rate, u.Burst, u.UsedFraction, u.Home, u.NearLimit = s.Rate, s.Burst, used, host, s.NearLimit
	case u.Home == "":
		u.Rate, u.Burst, u.UsedFraction, u.NearLimit = s.Rate, s.Burst, max(u.UsedFraction, used), u.NearLimit || s.NearLimit
	}
	if s.Admitted > 0 {
		u.Admitted[host] = s.Admitted
	}
	if s.Refused > 0 {
		u.Refused[host] = s.Refused
	}
	if s.Standalone {
		u.Standalone = append(u.Standalone, host)
	}
}

func (a *app) printTeams(list teamList) {
	for _, host := range list.Unreachable {
		a.printLine("no response from %s: its requests are not counted", host)
	}
	a.printTeamRates(list)
	a.printTeamShares(list.Shares)
}

func (a *app) printTeamRates(list teamList) {
	if len(list.Teams) == 0 {
		a.printLine("no team with a rate limit has sent a request recently")
		return
	}
	a.printTable("TEAM\tRATE\tBURST\tUSED\tSTATE\tHOME\tPASSED\tREFUSED\tREFUSED MOST BY", func(w *tabwriter.Writer) {
		for _, u := range list.Teams {
			most, count := largest(u.Refused)
			by := ""
			if count > 0 {
				by = fmt.Sprintf("%s (%d)", most, count)
			}
			fmt.Fprintf(w, "%s\t%g/s\t%g\t%.0f%%\t%s\t%s\t%d\t%d\t%s\n", u.Team, u.Rate, u.Burst, 100*u.UsedFraction, u.state(), u.Home,
				total(u.Admitted), total(u.Refused), by)
		}
	})
}

// state describes how the team's requests are limited now, for display.
func (u *teamUsage) state() string {
	switch {
	case len(u.Standalone) > 0:
		return "own share on " + strings.Join(u.Standalone, ",")
	case u.UsedFraction >= 1:
		return "at its limit"
	case u.NearLimit:
		return "close"
	default:
		return "below"
	}
}

func total(counts map[string]uint64) (sum uint64) {
	for _, n := range counts {
		sum += n
	}
	return sum
}

// largest returns the host with the greatest count, the first by name on a tie.
func largest(counts map[string]uint64) (host string, count uint64) {
	for _, name := range slices.Sorted(maps.Keys(counts)) {
		if counts[name] > count {
			host, count = name, counts[name]
		}
	}
	return host, count
}

func (a *app) addKey(ctx context.Context, cmd *cli.Command) error {
	key := rand.Text()
	err := a.changeKeys(ctx, cmd, func(t *record.Team) error {
		t.KeyHashes = append(t.KeyHashes, record.HashTeamKey(key).String())
		return nil
	})
	if err != nil {
		return err
	}
	a.printLine("key %s", key)
	a.printLine("The key is not shown again; give it to the team. Callers send it as Authorization: Bearer KEY.")
	return nil
}

func (a *app) withdrawKey(ctx context.Context, cmd *cli.Command) error {
	var key string
	if _, err := fmt.Fscan(a.in, &key); err != nil || record.TeamKeyProblem(key) != "" {
		return &InvalidError{"expected the key to withdraw on standard input, for example: radishhoist teams key withdraw TEAM < file"}
	}
	hash := record.HashTeamKey(key).String()
	return a.changeKeys(ctx, cmd, func(t *record.Team) error {
		kept := slices.DeleteFunc(slices.Clone(t.KeyHashes), func(h string) bool { return h == hash })
		if len(kept) == len(t.KeyHashes) {
			return &InvalidError{"the team has no such key; nothing was written"}
		}
		t.KeyHashes = kept
		return nil
	})
}

// changeKeys updates a Team record on condition that it has not changed since it was read,
// and waits until the update is in force on every host.
func (a *app) changeKeys(ctx context.Context, cmd *cli.Command, change func(*record.Team) error) error {
	if cmd.Args().Len() != 1 {
		return &InvalidError{"expected the name of one team"}
	}
	s := a.store(cmd)
	key := record.Key{Kind: record.KindTeam, Name: cmd.Args().First()}
	current, err := s.Get(ctx, key)
	if err != nil {
		return errors.Wrap(err, "create the team with `radishhoist apply` first; a team defined in a Configuration gets its keys there")
	}
	r, err := record.Parse(current.Value)
	if err != nil {
		return err
	}
	if err := change(r.Spec.(*record.Team)); err != nil {
		return err
	}
	if err := a.write(ctx, s, r, current.Version); err != nil {
		return err
	}
	return a.awaitInForce(ctx, cmd, s, key)
}

// inForcePollInterval is the interval at which the status of the hosts is read.
const inForcePollInterval = 200 * time.Millisecond

// awaitInForce waits until the current version of a record is in force on every host that the
// platform lists. After the wait time it returns an error that names the remaining hosts.
func (a *app) awaitInForce(ctx context.Context, cmd *cli.Command, s objects.Store, key record.Key) error {
	obj, err := s.Get(ctx, key)
	if err != nil {
		return err
	}
	hosts, err := a.adminAddresses(ctx, cmd)
	if err != nil {
		return err
	}
	end := time.Now().Add(cmd.Duration("wait"))
	for {
		for name, addr := range hosts {
			var st state.Status
			if adminGet(ctx, addr, state.StatusPath, nil, &st) == nil && st.Control.ActiveVersion >= obj.Version {
				delete(hosts, name)
			}
		}
		if len(hosts) == 0 {
			a.printLine("in force on every host")
			return nil
		}
		if !time.Now().Before(end) || !sleep.For(ctx, inForcePollInterval) {
			return errors.Errorf("NOT confirmed in force on %s; check again with `radishhoist status`", strings.Join(slices.Sorted(maps.Keys(hosts)), ", "))
		}
	}
}
