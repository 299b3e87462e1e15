package cli

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/radishhoist/radishhoist/internal/guard"
	"github.com/radishhoist/radishhoist/internal/objects"
	"github.com/radishhoist/radishhoist/internal/state"
	"github.com/radishhoist/radishhoist/record"
)

func (a *app) suspectsCommand() *cli.Command {
	return &cli.Command{
		Name: "suspects", Usage: "list the requests suspected of crashing the instances that run them",
		Description: "Shows the suspects known to the daemon at --admin and the platform's records of blocked requests. A blocked\n" +
			"request is identified by its fingerprint, PRINT, which responses and logs contain too.",
		Action: a.listSuspects,
		Commands: []*cli.Command{{
			Name: "clear", Usage: "allow a blocked request again, on all hosts", ArgsUsage: "PRINT",
			Description: "Three further incidents block it again.",
			Action: func(ctx context.Context, cmd *cli.Command) error {
				if cmd.Args().Len() != 1 {
					return &InvalidError{"expected the PRINT of one blocked request, as shown by `radishhoist suspects`"}
				}
				return a.delete(ctx, cmd, record.Key{Kind: record.KindCrasher, Name: cmd.Args().First()})
			},
		}},
	}
}

// suspect is a request that may crash the instances that run it.
type suspect struct {
	Fingerprint string `json:"print"`
	// BlockedUntil is when a blocked request may be tried again. It is empty for a request that
	// is only suspected or that the daemon does not know.
	BlockedUntil string `json:"until,omitempty"`
	// CrashCount counts the instance crashes that the request was involved in.
	CrashCount int `json:"ends"`
	// Request is the method, host and path, known only from the platform's record.
	Request  string   `json:"request,omitempty"`
	Service  string   `json:"service"`
	Versions []string `json:"versions"`
	// SeenBy lists the hosts that detected the crashes.
	SeenBy []string `json:"seenBy"`
	// Since and Last are the times of the first and the latest crash.
	Since string `json:"since"`
	Last  string `json:"last"`
	// Crashes has one entry for each run of an instance that crashed.
	Crashes []record.InstanceCrash `json:"instances"`
}

// suspectList is the output of `suspects`. Problem is the error if the platform's records
// could not be read.
type suspectList struct {
	Suspects []*suspect `json:"suspects"`
	Problem  string     `json:"problem,omitempty"`
}

func (a *app) listSuspects(ctx context.Context, cmd *cli.Command) error {
	if cmd.Args().Len() != 0 {
		return &InvalidError{fmt.Sprintf("unknown command %q; use `radishhoist suspects` or `radishhoist suspects clear PRINT`", cmd.Args().First())}
	}
	var dump state.Dump
	if err := adminGet(ctx, cmd.String("admin"), state.StatePath, nil, &dump); err != nil {
		return err
	}
	var problem string
	page, err := a.store(cmd).List(ctx, record.KindCrasher)
	if err != nil {
		problem = "the platform's records are missing: " + err.Error()
	}
	list := suspectList{Suspects: mergeSuspects(dump.Suspects, page.Objects), Problem: problem}
	if asJSON(cmd) {
		return a.printJSON(list)
	}
	a.printSuspects(list)
	return nil
}

// mergeSuspects merges the platform's records of blocked requests into the suspects known to
// a daemon, sorted by fingerprint. It skips records that cannot be parsed; `radishhoist list`
// shows those.
func mergeSuspects(fromDaemon []guard.SuspectState, stored []objects.Object) []*suspect {
	byFingerprint := make(map[string]*suspect)
	for _, d := range fromDaemon {
		s := &suspect{Fingerprint: d.Fingerprint, BlockedUntil: d.Until, CrashCount: d.CrashCount}
		s.setCrashes(d.Crashes)
		byFingerprint[d.Fingerprint] = s
	}
	for _, obj := range stored {
		rec, err := record.Parse(obj.Value)
		if err != nil {
			continue
		}
		c, ok := rec.Spec.(*record.Crasher)
		if !ok {
			continue
		}
		s := byFingerprint[obj.Name]
		if s == nil {
			s = &suspect{Fingerprint: obj.Name, CrashCount: len(c.Crashes)}
			s.setCrashes(c.Crashes)
			byFingerprint[obj.Name] = s
		}
		s.Request = c.Request
	}
	out := []*suspect{}
	for _, s := range byFingerprint {
		out = append(out, s)
	}
	slices.SortFunc(out, func(a, b *suspect) int { return cmp.Compare(a.Fingerprint, b.Fingerprint) })
	return out
}

// setCrashes fills the fields that derive from the crashes.
func (s *suspect) setCrashes(crashes []record.InstanceCrash) {
	if len(crashes) == 0 {
		return // The request was cleared while the list was made.
	}
	byTime := func(a, b record.InstanceCrash) int { return cmp.Compare(a.AtMS, b.AtMS) }
	first, last := slices.MinFunc(crashes, byTime), slices.MaxFunc(crashes, byTime)
	s.Service, s.Since, s.Last, s.Crashes = first.Service, formatTime(first.AtMS), formatTime(last.AtMS), crashes
	for _, c := range crashes {
		s.Versions = append(s.Versions, c.Version)
		s.SeenBy = append(s.SeenBy, c.Host)
	}
	s.Versions, s.SeenBy = sortedUnique(s.Versions), sortedUnique(s.SeenBy)
}

// sortedUnique sorts names in place and returns them without duplicates.
func sortedUnique(names []string) []string {
	slices.Sort(names)
	return slices.Compact(names)
}

// formatTime formats a time in Unix milliseconds for display.
func formatTime(ms int64) string { return time.UnixMilli(ms).UTC().Format(time.RFC3339) }

func (a *app) printSuspects(list suspectList) {
	if list.Problem != "" {
		a.printLine("%s", list.Problem)
	}
	if len(list.Suspects) == 0 {
		a.printLine("no request is suspected of crashing instances")
		return
	}
	a.printTable("PRINT\tSTATE\tENDS\tSERVICE\tVERSIONS\tSEEN BY\tSINCE\tLAST\tREQUEST", func(w *tabwriter.Writer) {
		for _, s := range list.Suspects {
			fmt.Fprintf(w, "%s\t%s\t%d\t%s\t%s\t%s\t%s\t%s\t%s\n", s.Fingerprint, s.state(), s.CrashCount, s.Service,
				strings.Join(s.Versions, ","), strings.Join(s.SeenBy, ","), s.Since, s.Last, s.Request)
		}
	})
}

// state describes whether the request is blocked, for display.
func (s *suspect) state() string {
	switch {
	case s.BlockedUntil != "":
		return "blocked until " + s.BlockedUntil
	case s.Request != "":
		return "known to the platform only"
	default:
		return "suspected"
	}
}
