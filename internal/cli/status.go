package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/radishhoist/radishhoist/internal/front"
	"github.com/radishhoist/radishhoist/internal/state"
	"github.com/radishhoist/radishhoist/record"
)

func decodeJSON(b []byte, into any) error { return json.Unmarshal(b, into) }

// statusReport is what `status` shows.
type statusReport struct {
	Seen       *state.Status    `json:"seenBy,omitempty"`
	DaemonErr  string           `json:"daemonProblem,omitempty"`
	InForce    []*record.Status `json:"inForce"`
	Platform   string           `json:"platformProblem,omitempty"`
	Stops      []row            `json:"stops"`
	Unreadable []row            `json:"unreadable,omitempty"`
}

func (a *app) statusCommand() *cli.Command {
	return &cli.Command{
		Name: "status", Usage: "show what is in force where, and why", ArgsUsage: " ",
		Description: "Per service: the healthy capacity against the floor, and which targets are left out on what\n" +
			"evidence, as the daemon named by --admin sees it. Per data centre: how many hosts have which\n" +
			"records in force, which are behind, and which records were refused.",
		Action: func(ctx context.Context, cmd *cli.Command) error {
			r := a.gather(ctx, cmd)
			if asJSON(cmd) {
				return a.json(r)
			}
			a.showStatus(r)
			return nil
		},
	}
}

// gather reads the daemon and the platform; either may be away.
func (a *app) gather(ctx context.Context, cmd *cli.Command) *statusReport {
	r := &statusReport{InForce: []*record.Status{}, Stops: []row{}}
	var seen state.Status
	if err := adminGet(ctx, cmd.String("admin"), state.StatusPath, nil, &seen); err != nil {
		r.DaemonErr = err.Error()
	} else {
		r.Seen = &seen
	}
	page, err := a.store(cmd).List(ctx, record.KindStatus, record.KindStop)
	if err != nil {
		r.Platform = err.Error()
		return r
	}
	for _, obj := range page.Objects {
		rec, err := record.Parse(obj.Value)
		if err != nil {
			r.Unreadable = append(r.Unreadable, row{Kind: obj.Kind, Name: obj.Name, Problem: err.Error()})
			continue
		}
		if s, ok := rec.Spec.(*record.Status); ok {
			r.InForce = append(r.InForce, s)
			continue
		}
		r.Stops = append(r.Stops, row{Kind: obj.Kind, Name: obj.Name, Version: obj.Version, Summary: summary(rec)})
	}
	return r
}

func (a *app) showStatus(r *statusReport) {
	if r.Seen != nil {
		a.showServices(r.Seen)
	} else {
		a.say("Services: not known. %s", r.DaemonErr)
	}
	a.say("")
	if r.Platform != "" {
		a.say("Records in force: not known. %s", r.Platform)
		a.say("The fleet goes on with the records it has; nothing can be changed until the platform is back.")
		return
	}
	a.showInForce(r.InForce)
	for _, s := range r.Stops {
		a.say("Planned stop %s: %s", s.Name, s.Summary)
	}
}

func (a *app) showServices(s *state.Status) {
	a.say("As host %s (%s, %s) sees it; %d requests run on it, %d wait:", s.Host, s.DC, s.Phase, s.Running, s.Queued)
	a.table("SERVICE\tPRESET\tSLOTS IN USE\tFLOOR\tSLOTS KNOWN\tNOT IN USE", func(w *tabwriter.Writer) {
		for _, svc := range s.Services {
			fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\t%s\n", svc.Name, svc.Preset, svc.HealthySlots, svc.RequiredSlots, svc.KnownSlots, notUsed(svc))
		}
	})
	for _, svc := range s.Services {
		if svc.HealthySlots < svc.RequiredSlots {
			a.say("SERVICE %s IS BELOW ITS FLOOR: traffic spreads over the least bad. See docs/operate/floor.md.", svc.Name)
		}
		for _, t := range svc.Targets {
			if t.Why != "" {
				a.say("  %s on %s: %s, %s", t.Name, t.Host, t.Use, t.Why)
			}
		}
	}
	for _, m := range s.Control.Members {
		if m.Status != "alive" {
			a.say("  host %s (%s): %s", m.Host, m.DC, m.Status)
		}
	}
	if s.Control.PlatformAway {
		a.say("  this host has no answer from the platform and goes on with the records it has")
	}
}

func notUsed(svc front.ServiceStatus) string {
	var names []string
	for _, t := range svc.Targets {
		if t.Use != "used" {
			names = append(names, t.Name)
		}
	}
	if len(names) == 0 {
		return "-"
	}
	return strings.Join(names, " ")
}

// statusOld is the age at which a data centre's summary is called old.
const statusOld = 3 * time.Minute

func (a *app) showInForce(list []*record.Status) {
	a.table("DATA CENTRE\tHOSTS\tRECORDS AT\tIN FORCE ON\tBEHIND", func(w *tabwriter.Writer) {
		for _, s := range list {
			for i, f := range s.InForce {
				behind := "-"
				if i > 0 {
					behind = strings.Join(f.Behind, " ")
				}
				fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%s\n", s.DC, s.Hosts, f.Revision, f.Hosts, behind)
			}
		}
	})
	for _, s := range list {
		if age := time.Since(time.UnixMilli(s.AtMS)); age > statusOld {
			a.say("  data centre %s: the summary is %s old", s.DC, age.Round(time.Second))
		}
		for _, r := range s.Rejected {
			a.say("  REFUSED in %s: %s version %d; version %d stays in force: %s", s.DC, r.Key, r.Version, r.InForce, r.Reason)
		}
	}
}

// explainQuery asks a daemon to explain a request.
type explainQuery struct {
	Method string `url:"method"`
	URL    string `url:"url"`
	Team   string `url:"team,omitempty"`
}

func (a *app) explainCommand() *cli.Command {
	return &cli.Command{
		Name: "explain", Usage: "say what would happen to a request now, and why; nothing is sent", ArgsUsage: "METHOD URL",
		Flags: []cli.Flag{&cli.StringFlag{Name: "team", Usage: "as if sent by `TEAM`"}},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			if cmd.Args().Len() != 2 {
				return &InvalidError{"write METHOD URL, for example: explain GET http://plans.example/plans/7"}
			}
			q := explainQuery{Method: strings.ToUpper(cmd.Args().Get(0)), URL: cmd.Args().Get(1), Team: cmd.String("team")}
			var e front.Explanation
			if err := adminGet(ctx, cmd.String("admin"), state.ExplainPath, q, &e); err != nil {
				return err
			}
			if asJSON(cmd) {
				return a.json(e)
			}
			a.showExplanation(&e)
			return nil
		},
	}
}

func (a *app) showExplanation(e *front.Explanation) {
	if e.Matched {
		a.say("route      %s (version %d)", e.Route, e.Version)
		a.say("service    %s", e.Service)
		a.say("idempotent %t: %s", e.Idempotent, e.IdempotencyReason)
		a.say("deadline   %d ms from arrival; priority %d", e.TimeoutMS, e.Priority)
	}
	if e.Team != "" {
		limit := "no rate limit"
		if e.TeamRate > 0 {
			limit = fmt.Sprintf("%g requests a second over all hosts", e.TeamRate)
		}
		a.say("team       %s: %s", e.Team, limit)
	}
	if e.Target != "" {
		a.say("target now %s on %s: %s", e.Target, e.TargetHost, e.TargetWhy)
	}
	for _, out := range e.LeftOut {
		a.say("not used   %s", out)
	}
	if e.Problem != "" {
		a.say("PROBLEM    %s", e.Problem)
	}
}

func (a *app) stateCommand() *cli.Command {
	return &cli.Command{
		Name: "state", Usage: "print the whole state of one process as JSON", ArgsUsage: "HOST",
		Description: "HOST is a host's name, looked up in the platform, or the IP:port of its admin address.",
		Action: func(ctx context.Context, cmd *cli.Command) error {
			if cmd.Args().Len() != 1 {
				return &InvalidError{"write the host's name or its admin address"}
			}
			addr, err := a.adminAddress(ctx, cmd, cmd.Args().First())
			if err != nil {
				return err
			}
			var dump state.Dump
			if err := adminGet(ctx, addr, state.StatePath, nil, &dump); err != nil {
				return err
			}
			return a.json(dump)
		},
	}
}

// adminAddress finds a host's admin address.
func (a *app) adminAddress(ctx context.Context, cmd *cli.Command, host string) (string, error) {
	if strings.Contains(host, ":") {
		return host, nil
	}
	obj, err := a.store(cmd).Get(ctx, record.Key{Kind: record.KindHost, Name: host})
	if err != nil {
		return "", err
	}
	r, err := record.Parse(obj.Value)
	if err != nil {
		return "", err
	}
	return r.Spec.(*record.Host).Admin, nil
}
