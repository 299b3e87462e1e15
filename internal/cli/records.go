package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"sort"
	"text/tabwriter"

	"github.com/urfave/cli/v3"

	"github.com/radishhoist/radishhoist/internal/objects"
	"github.com/radishhoist/radishhoist/record"
)

func (a *app) getCommand() *cli.Command {
	return &cli.Command{
		Name: "get", Usage: "print one record for editing", ArgsUsage: "KIND NAME",
		Description: "The record is printed with its current version. Edit it and pass it to `apply -f`: the write\n" +
			"takes effect only if nobody has changed the record in the meantime.",
		Action: func(ctx context.Context, cmd *cli.Command) error {
			key, err := keyArg(cmd)
			if err != nil {
				return err
			}
			obj, err := a.store(cmd).Get(ctx, key)
			if err != nil {
				return err
			}
			text, err := record.MarshalForEdit(obj.Value, obj.Version)
			if err != nil {
				return err
			}
			a.printLine("%s", text)
			return nil
		},
	}
}

// recordRow is one record in the output of list and status.
type recordRow struct {
	Kind    record.Kind `json:"kind"`
	Name    string      `json:"name"`
	Version int64       `json:"version"`
	Schema  int         `json:"schemaVersion"`
	Summary string      `json:"summary"`
	Problem string      `json:"problem,omitempty"`
}

func (a *app) listCommand() *cli.Command {
	return &cli.Command{
		Name: "list", Usage: "list records", ArgsUsage: "[KIND]",
		Action: func(ctx context.Context, cmd *cli.Command) error {
			kinds := record.OperatorKinds
			if cmd.Args().Present() {
				kind, err := record.ParseKind(cmd.Args().First())
				if err != nil {
					return &InvalidError{err.Error()}
				}
				kinds = []record.Kind{kind}
			}
			page, err := a.store(cmd).List(ctx, kinds...)
			if err != nil {
				return err
			}
			rows := makeRows(page.Objects)
			if asJSON(cmd) {
				return a.printJSON(rows)
			}
			a.printRows(rows)
			return nil
		},
	}
}

func makeRows(objects []objects.Object) []recordRow {
	rows := []recordRow{}
	for _, obj := range objects {
		r := recordRow{Kind: obj.Kind, Name: obj.Name, Version: obj.Version}
		rec, err := record.Parse(obj.Value)
		if err != nil {
			r.Problem = err.Error()
		} else {
			r.Schema, r.Summary = rec.SchemaVersion, summary(rec)
		}
		rows = append(rows, r)
	}
	sort.SliceStable(rows, func(i, j int) bool { return rows[i].Kind < rows[j].Kind })
	return rows
}

// summary describes a record in one line. An office is the customer that owns a service or
// a team.
func summary(r *record.Record) string {
	switch s := r.Spec.(type) {
	case *record.Service:
		return fmt.Sprintf("office %s, preset %s, floor %d%%", s.Office, s.Preset, s.Floor.Percent)
	case *record.Route:
		return fmt.Sprintf("%s%s to service %s, timeout %s", s.Host, s.PathPrefix, s.Service, s.Timeout())
	case *record.Team:
		return fmt.Sprintf("office %s, %g requests per second", s.Office, s.RatePerSecond)
	case *record.Stop:
		return fmt.Sprintf("host %s %s: %s", s.Host, s.Instance, s.Reason)
	case *record.Host:
		return fmt.Sprintf("data centre %s, peer address %s, admin address %s", s.DC, s.Peer, s.Admin)
	case *record.Status:
		return fmt.Sprintf("%d hosts, summarized by %s", s.Hosts, s.Writer)
	case *record.Crasher:
		return fmt.Sprintf("%s, %d instance crashes of service %s", s.Request, len(s.Crashes), s.Crashes[0].Service)
	case *record.ShardMap:
		return fmt.Sprintf("%d shards, %d guards", len(s.Shards), len(s.Guards))
	default:
		return ""
	}
}

func (a *app) printRows(rows []recordRow) {
	a.printTable("KIND\tNAME\tVERSION\tSUMMARY", func(w *tabwriter.Writer) {
		for _, r := range rows {
			text := r.Summary
			if r.Problem != "" {
				text = "CANNOT BE READ: " + r.Problem
			}
			fmt.Fprintf(w, "%s\t%s\t%d\t%s\n", r.Kind, r.Name, r.Version, text)
		}
	})
}

// printTable prints a table. columns has the tab-separated headings, and writeRows writes
// rows in the same form.
func (a *app) printTable(columns string, writeRows func(*tabwriter.Writer)) {
	w := tabwriter.NewWriter(a.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, columns)
	writeRows(w)
	_ = w.Flush()
}

func (a *app) printJSON(v any) error {
	enc := json.NewEncoder(a.out)
	enc.SetIndent("", "  ")
	return enc.Encode(v)
}

func (a *app) deleteCommand() *cli.Command {
	return &cli.Command{
		Name: "delete", Usage: "delete one record", ArgsUsage: "KIND NAME",
		Flags: []cli.Flag{
			&cli.IntFlag{Name: "version", Usage: "delete only this `VERSION`; the current one if omitted"},
			&cli.BoolFlag{Name: "force", Usage: "delete a service even if routes still send requests to it"},
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			key, err := keyArg(cmd)
			if err != nil {
				return err
			}
			return a.delete(ctx, cmd, key)
		},
	}
}

func (a *app) delete(ctx context.Context, cmd *cli.Command, key record.Key) error {
	s := a.store(cmd)
	version := int64(cmd.Int("version"))
	if version == 0 {
		obj, err := s.Get(ctx, key)
		if err != nil {
			return err
		}
		version = obj.Version
	}
	if !cmd.Bool("force") {
		if err := checkUnused(ctx, s, key); err != nil {
			return err
		}
	}
	obj, err := s.Delete(ctx, key, version)
	if err != nil {
		return err
	}
	a.printLine("%s is removed as of version %d; `radishhoist status` shows when it is in force everywhere", key, obj.Version)
	return nil
}

// checkUnused returns an UnsafeError for a service to which a route sends requests.
func checkUnused(ctx context.Context, s objects.Store, key record.Key) error {
	if key.Kind != record.KindService {
		return nil
	}
	page, err := s.List(ctx, record.KindRoute)
	if err != nil {
		return err
	}
	for _, obj := range page.Objects {
		r, err := record.Parse(obj.Value)
		if err != nil {
			continue
		}
		if route, ok := r.Spec.(*record.Route); ok && route.Service == key.Name {
			return &UnsafeError{fmt.Sprintf("route %s still sends requests to service %s, and they would fail; delete the route first, or use --force", r.Name, key.Name)}
		}
	}
	return nil
}
