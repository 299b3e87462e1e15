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

	"github.com/radishhoist/radishhoist/internal/objects"
	"github.com/radishhoist/radishhoist/internal/sleep"
	"github.com/radishhoist/radishhoist/internal/state"
	"github.com/radishhoist/radishhoist/internal/teams"
	"github.com/radishhoist/radishhoist/record"
)

func (a *app) teamsCommand() *cli.Command {
	keyFlags := []cli.Flag{&cli.DurationFlag{Name: "wait", Value: 20 * time.Second, Usage: "`TIME` to wait until the change is in force on every host; 0 for none"}}
	return &cli.Command{
		Name: "teams", Usage: "list the teams that use their rate, over all hosts",
		Description: "Asks every host that the platform names. A team's use is told by the host that keeps its account; requests\n" +
			"are counted by the host that took them. Keys are never shown.",
		Action: a.listTeams,
		Commands: []*cli.Command{{
			Name: "key", Usage: "give a team a key, or withdraw one",
			Commands: []*cli.Command{{
				Name: "add", Usage: "draw a new key for a team and print it, this once", ArgsUsage: "TEAM", Flags: keyFlags,
				Action: a.addKey,
			}, {
				Name: "withdraw", Usage: "withdraw a key, read from standard input", ArgsUsage: "TEAM", Flags: keyFlags,
				Description: "The key is read from standard input, so that it stands in no list of processes and no shell history.",
				Action:      a.withdrawKey,
			}},
		}},
	}
}

// teamUse is a team's use over all hosts.
type teamUse struct {
	Team  string  `json:"team"`
	Rate  float64 `json:"ratePerSecond"`
	Burst float64 `json:"burst"`
	// Used is how much of the room of its rate and burst is used, 1 for all.
	Used float64 `json:"used"`
	// Home keeps the account; Close says that all hosts ask it for each request.
	Home  string `json:"home"`
	Close bool   `json:"close"`
	// Passed and Refused count requests by host.
	Passed  map[string]uint64 `json:"passed"`
	Refused map[string]uint64 `json:"refused"`
	// Alone are the hosts that go by their own share, because no home answers them.
	Alone []string `json:"alone,omitempty"`
}

// teamList is the answer of the command. Silent are hosts that gave no answer.
type teamList struct {
	Teams  []*teamUse `json:"teams"`
	Silent []string   `json:"silent,omitempty"`
}

func (a *app) listTeams(ctx context.Context, cmd *cli.Command) error {
	if cmd.Args().Len() != 0 {
		return &InvalidError{fmt.Sprintf("%q is no command; write `radishhoist teams`, `radishhoist teams key add TEAM` or `radishhoist teams key withdraw TEAM`", cmd.Args().First())}
	}
	hosts, err := a.hosts(ctx, cmd)
	if err != nil {
		return err
	}
	known := make(map[string][]teams.State)
	list := teamList{Teams: []*teamUse{}}
	for _, name := range slices.Sorted(maps.Keys(hosts)) {
		var dump state.Dump
		if err := adminGet(ctx, hosts[name], state.StatePath, nil, &dump); err != nil {
			list.Silent = append(list.Silent, name)
			continue
		}
		known[name] = dump.Teams
	}
	list.Teams = joinTeams(known)
	if asJSON(cmd) {
		return a.json(list)
	}
	a.printTeams(list)
	return nil
}

// hosts gives the admin addresses of all hosts that the platform names.
func (a *app) hosts(ctx context.Context, cmd *cli.Command) (map[string]string, error) {
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

// joinTeams adds up what the hosts know, the most used first. The home knows the
// use best; a team whose home is silent shows the most that any host knows.
func joinTeams(known map[string][]teams.State) []*teamUse {
	byTeam := make(map[string]*teamUse)
	for host, list := range known {
		for _, s := range list {
			u := byTeam[s.Team]
			if u == nil {
				u = &teamUse{Team: s.Team, Passed: make(map[string]uint64), Refused: make(map[string]uint64)}
				byTeam[s.Team] = u
			}
			u.add(host, s)
		}
	}
	out := []*teamUse{}
	for _, u := range byTeam {
		slices.Sort(u.Alone)
		out = append(out, u)
	}
	slices.SortFunc(out, func(x, y *teamUse) int {
		return cmp.Or(cmp.Compare(y.Used, x.Used), cmp.Compare(x.Team, y.Team))
	})
	return out
}

func (u *teamUse) add(host string, s teams.State) {
	used := s.Level / max(s.Capacity, 1)
	switch {
	case host == s.Home:
		u.Rate, u.Burst, u.Used, u.Home, u.Close = s.Rate, s.Burst, used, host, s.NearLimit
	case u.Home == "":
		u.Rate, u.Burst, u.Used, u.Close = s.Rate, s.Burst, max(u.Used, used), u.Close || s.NearLimit
	}
	if s.Admitted > 0 {
		u.Passed[host] = s.Admitted
	}
	if s.Refused > 0 {
		u.Refused[host] = s.Refused
	}
	if s.Standalone {
		u.Alone = append(u.Alone, host)
	}
}

func (a *app) printTeams(list teamList) {
	for _, host := range list.Silent {
		a.say("no answer from %s: what it let pass is missing", host)
	}
	if len(list.Teams) == 0 {
		a.say("no team with a rate has sent a request of late")
		return
	}
	a.table("TEAM\tRATE\tBURST\tUSED\tSTATE\tHOME\tPASSED\tREFUSED\tREFUSED MOST BY", func(w *tabwriter.Writer) {
		for _, u := range list.Teams {
			most, count := largest(u.Refused)
			by := ""
			if count > 0 {
				by = fmt.Sprintf("%s (%d)", most, count)
			}
			fmt.Fprintf(w, "%s\t%g/s\t%g\t%.0f%%\t%s\t%s\t%d\t%d\t%s\n", u.Team, u.Rate, u.Burst, 100*u.Used, u.condition(), u.Home,
				total(u.Passed), total(u.Refused), by)
		}
	})
}

// condition says how the team's requests are decided now.
func (u *teamUse) condition() string {
	switch {
	case len(u.Alone) > 0:
		return "by share on " + strings.Join(u.Alone, ",")
	case u.Used >= 1:
		return "at its limit"
	case u.Close:
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

// largest gives the host with the greatest count, the first by name of several.
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
	a.say("key %s", key)
	a.say("It is shown this once; hand it to the team. Callers send it as Authorization: Bearer KEY.")
	return nil
}

func (a *app) withdrawKey(ctx context.Context, cmd *cli.Command) error {
	var key string
	if _, err := fmt.Fscan(a.in, &key); err != nil || record.TeamKeyProblem(key) != "" {
		return &InvalidError{"write the key to withdraw on standard input, for example: radishhoist teams key withdraw TEAM < file"}
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

// changeKeys changes a Team record on the condition that it stands as it was read,
// and waits until the change is in force on every host.
func (a *app) changeKeys(ctx context.Context, cmd *cli.Command, change func(*record.Team) error) error {
	if cmd.Args().Len() != 1 {
		return &InvalidError{"write the name of one team"}
	}
	s := a.store(cmd)
	key := record.Key{Kind: record.KindTeam, Name: cmd.Args().First()}
	current, err := s.Get(ctx, key)
	if err != nil {
		return errors.Wrap(err, "write the team with `radishhoist apply` first; one that stands in a Configuration gets its keys there")
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
	return a.awaitForce(ctx, cmd, s, key)
}

// forcePause is the time between two looks at the hosts.
const forcePause = 200 * time.Millisecond

// awaitForce waits until every host that the platform names has a record's present
// version in force, and names those that have not in time.
func (a *app) awaitForce(ctx context.Context, cmd *cli.Command, s objects.Store, key record.Key) error {
	obj, err := s.Get(ctx, key)
	if err != nil {
		return err
	}
	hosts, err := a.hosts(ctx, cmd)
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
			a.say("in force on every host")
			return nil
		}
		if !time.Now().Before(end) || !sleep.For(ctx, forcePause) {
			return errors.Errorf("NOT confirmed in force on %s; look again with `radishhoist status`", strings.Join(slices.Sorted(maps.Keys(hosts)), ", "))
		}
	}
}
