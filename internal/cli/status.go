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

// statusReport is the output of `status`.
type statusReport struct {
	DaemonStatus *state.Status    `json:"seenBy,omitempty"`
	DaemonErr    string           `json:"daemonProblem,omitempty"`
	InForce      []*record.Status `json:"inForce"`
	PlatformErr  string           `json:"platformProblem,omitempty"`
	Stops        []recordRow      `json:"stops"`
	Unreadable   []recordRow      `json:"unreadable,omitempty"`
}

func (a *app) statusCommand() *cli.Command {
	return &cli.Command{
		Name: "status", Usage: "show each service's capacity, and which records are in force on which hosts", ArgsUsage: " ",
		Description: "For each service: the healthy capacity compared with the floor, and which targets are not used and why, as\n" +
			"seen by the daemon at --admin. For each data centre: how many hosts have which revision of the\n" +
			"records in force, which hosts are behind, and which records were refused.",
		Action: func(ctx context.Context, cmd *cli.Command) error {
			r := a.collectStatus(ctx, cmd)
			if asJSON(cmd) {
				return a.printJSON(r)
			}
			a.printStatus(r)
			return nil
		},
	}
}

// collectStatus queries the daemon and the platform. If one does not respond, the report has the
// error and the data of the other.
func (a *app) collectStatus(ctx context.Context, cmd *cli.Command) *statusReport {
	r := &statusReport{InForce: []*record.Status{}, Stops: []recordRow{}}
	var seen state.Status
	if err := adminGet(ctx, cmd.String("admin"), state.StatusPath, nil, &seen); err != nil {
		r.DaemonErr = err.Error()
	} else {
		r.DaemonStatus = &seen
	}
	page, err := a.store(cmd).List(ctx, record.KindStatus, record.KindStop)
	if err != nil {
		r.PlatformErr = err.Error()
		return r
	}
	for _, obj := range page.Objects {
		rec, err := record.Parse(obj.Value)
		if err != nil {
			r.Unreadable = append(r.Unreadable, recordRow{Kind: obj.Kind, Name: obj.Name, Problem: err.Error()})
			continue
		}
		if s, ok := rec.Spec.(*record.Status); ok {
			r.InForce = append(r.InForce, s)
			continue
		}
		r.Stops = append(r.Stops, recordRow{Kind: obj.Kind, Name: obj.Name, Version: obj.Version, Summary: summary(rec)})
	}
	return r
}

func (a *app) printStatus(r *statusReport) {
	if r.DaemonStatus != nil {
		a.printServices(r.DaemonStatus)
	} else {
		a.printLine("Services: unknown. %s", r.DaemonErr)
	}
	a.printLine("")
	if r.PlatformErr != "" {
		a.printLine("Records in force: unknown. %s", r.PlatformErr)
		a.printLine("The fleet continues with the records it has; nothing can be changed until the platform is available again.")
		return
	}
	a.printInForce(r.InForce)
	for _, s := range r.Stops {
		a.printLine("Planned stop %s: %s", s.Name, s.Summary)
	}
}

// printServices prints the services as the daemon sees them. The floor of a service is its
// minimum healthy capacity, here in slots.
func (a *app) printServices(s *state.Status) {
	a.printLine("As seen by host %s (%s, %s), which has %d requests running and %d queued:", s.Host, s.DC, s.Phase, s.Running, s.Queued)
	a.printTable("SERVICE\tPRESET\tSLOTS IN USE\tFLOOR\tSLOTS KNOWN\tTARGETS NOT IN USE", func(w *tabwriter.Writer) {
		for _, svc := range s.Services {
			fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\t%s\n", svc.Name, svc.Preset, svc.HealthySlots, svc.RequiredSlots, svc.KnownSlots, unusedTargets(svc))
		}
	})
	for _, svc := range s.Services {
		if svc.HealthySlots < svc.RequiredSlots {
			a.printLine("SERVICE %s IS BELOW ITS FLOOR: traffic is spread over its least unhealthy targets. See docs/operate/floor.md.", svc.Name)
		}
		for _, t := range svc.Targets {
			if t.Reason != "" {
				a.printLine("  %s on %s: %s, %s", t.Name, t.Host, t.Use, t.Reason)
			}
		}
	}
	for _, m := range s.Control.Members {
		if m.Status != "alive" {
			a.printLine("  host %s (%s): %s", m.Host, m.DC, m.Status)
		}
	}
	if s.Control.PlatformUnavailable {
		a.printLine("  this host gets no response from the platform and continues with the records it has")
	}
}

func unusedTargets(svc front.ServiceStatus) string {
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

// staleSummaryAge is the age above which a data centre's summary is reported as old.
const staleSummaryAge = 3 * time.Minute

func (a *app) printInForce(list []*record.Status) {
	a.printTable("DATA CENTRE\tHOSTS\tREVISION\tIN FORCE ON\tBEHIND", func(w *tabwriter.Writer) {
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
		if age := time.Since(time.UnixMilli(s.AtMS)); age > staleSummaryAge {
			a.printLine("  data centre %s: the summary is %s old", s.DC, age.Round(time.Second))
		}
		for _, r := range s.Rejected {
			a.printLine("  REFUSED in %s: %s version %d; version %d stays in force: %s", s.DC, r.Key, r.Version, r.InForce, r.Reason)
		}
	}
}

// explainQuery is the query of a daemon's explain endpoint.
type explainQuery struct {
	Method string `url:"method"`
	URL    string `url:"url"`
	Team   string `url:"team,omitempty"`
}

func (a *app) explainCommand() *cli.Command {
	return &cli.Command{
		Name: "explain", Usage: "show how a request would be handled now, and why, without sending it", ArgsUsage: "METHOD URL",
		Flags: []cli.Flag{&cli.StringFlag{Name: "team", Usage: "as if sent by `TEAM`"}},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			if cmd.Args().Len() != 2 {
				return &InvalidError{"expected METHOD URL, for example: explain GET http://plans.example/plans/7"}
			}
			q := explainQuery{Method: strings.ToUpper(cmd.Args().Get(0)), URL: cmd.Args().Get(1), Team: cmd.String("team")}
			var e front.Explanation
			if err := adminGet(ctx, cmd.String("admin"), state.ExplainPath, q, &e); err != nil {
				return err
			}
			if asJSON(cmd) {
				return a.printJSON(e)
			}
			a.printExplanation(&e)
			return nil
		},
	}
}

func (a *app) printExplanation(e *front.Explanation) {
	if e.Matched {
		a.printLine("route      %s (version %d)", e.Route, e.Version)
		a.printLine("service    %s", e.Service)
		a.printLine("idempotent %t: %s", e.Idempotent, e.IdempotencyReason)
		a.printLine("deadline   %d ms from arrival; priority %d", e.TimeoutMS, e.Priority)
	}
	if e.Team != "" {
		limit := "no rate limit"
		if e.TeamRate > 0 {
			limit = fmt.Sprintf("%g requests per second over all hosts", e.TeamRate)
		}
		a.printLine("team       %s: %s", e.Team, limit)
	}
	if e.Target != "" {
		a.printLine("target now %s on %s: %s", e.Target, e.TargetHost, e.TargetReason)
	}
	for _, out := range e.UnusedTargets {
		a.printLine("not used   %s", out)
	}
	if e.Problem != "" {
		a.printLine("PROBLEM    %s", e.Problem)
	}
}

func (a *app) stateCommand() *cli.Command {
	return &cli.Command{
		Name: "state", Usage: "print the complete state of one daemon as JSON", ArgsUsage: "HOST",
		Description: "HOST is a host's name, looked up in the platform, or the IP:port of its admin address.",
		Action: func(ctx context.Context, cmd *cli.Command) error {
			if cmd.Args().Len() != 1 {
				return &InvalidError{"expected the host's name or its admin address"}
			}
			addr, err := a.adminAddress(ctx, cmd, cmd.Args().First())
			if err != nil {
				return err
			}
			var dump state.Dump
			if err := adminGet(ctx, addr, state.StatePath, nil, &dump); err != nil {
				return err
			}
			return a.printJSON(dump)
		},
	}
}

// adminAddress resolves a host name to the host's admin address. An argument that is
// already an address is returned as it is.
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
