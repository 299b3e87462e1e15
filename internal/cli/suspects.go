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
		Name: "suspects", Usage: "list the requests that end the instances which run them",
		Description: "Shows what the daemon at --admin knows, with the platform's records of those that are stopped. A stopped\n" +
			"request is known by its PRINT, in answers and logs too.",
		Action: a.listSuspects,
		Commands: []*cli.Command{{
			Name: "clear", Usage: "let a stopped request run again, on all hosts", ArgsUsage: "PRINT",
			Description: "Three more ends stop it again.",
			Action: func(ctx context.Context, cmd *cli.Command) error {
				if cmd.Args().Len() != 1 {
					return &InvalidError{"write the print of one stopped request, as `radishhoist suspects` shows it"}
				}
				return a.delete(ctx, cmd, record.Key{Kind: record.KindCrasher, Name: cmd.Args().First()})
			},
		}},
	}
}

// suspect is a request that may end the instances that run it.
type suspect struct {
	Print string `json:"print"`
	// Until is when a stopped request may be tried again, empty for one that is only
	// suspected or not known to the daemon.
	Until string `json:"until,omitempty"`
	// Ends counts the ends of instances that it has part in.
	Ends int `json:"ends"`
	// Request is method, host and path, which the platform's record alone tells.
	Request  string   `json:"request,omitempty"`
	Service  string   `json:"service"`
	Versions []string `json:"versions"`
	// SeenBy are the hosts that noticed its ends.
	SeenBy []string `json:"seenBy"`
	// Since and Last are the times of its first end and its latest.
	Since string `json:"since"`
	Last  string `json:"last"`
	// Instances are the ends of the starts that ended.
	Instances []record.InstanceCrash `json:"instances"`
}

// suspectList is the answer of the command. Problem says why the records are missing.
type suspectList struct {
	Suspects []*suspect `json:"suspects"`
	Problem  string     `json:"problem,omitempty"`
}

func (a *app) listSuspects(ctx context.Context, cmd *cli.Command) error {
	if cmd.Args().Len() != 0 {
		return &InvalidError{fmt.Sprintf("%q is no command; write `radishhoist suspects` or `radishhoist suspects clear PRINT`", cmd.Args().First())}
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
	list := suspectList{Suspects: joinSuspects(dump.Suspects, page.Objects), Problem: problem}
	if asJSON(cmd) {
		return a.json(list)
	}
	a.printSuspects(list)
	return nil
}

// joinSuspects adds what the platform keeps of stopped requests to what a daemon knows of
// all, in order of their prints. A record that cannot be read is left to `radishhoist list`.
func joinSuspects(known []guard.SuspectState, kept []objects.Object) []*suspect {
	byPrint := make(map[string]*suspect)
	for _, k := range known {
		s := &suspect{Print: k.Fingerprint, Until: k.Until, Ends: k.Crashes}
		s.tell(k.Instances)
		byPrint[k.Fingerprint] = s
	}
	for _, obj := range kept {
		rec, err := record.Parse(obj.Value)
		if err != nil {
			continue
		}
		c, ok := rec.Spec.(*record.Crasher)
		if !ok {
			continue
		}
		s := byPrint[obj.Name]
		if s == nil {
			s = &suspect{Print: obj.Name, Ends: len(c.Crashes)}
			s.tell(c.Crashes)
			byPrint[obj.Name] = s
		}
		s.Request = c.Request
	}
	out := []*suspect{}
	for _, s := range byPrint {
		out = append(out, s)
	}
	slices.SortFunc(out, func(a, b *suspect) int { return cmp.Compare(a.Print, b.Print) })
	return out
}

// tell adds what is known of the ends that it has part in.
func (s *suspect) tell(ends []record.InstanceCrash) {
	if len(ends) == 0 {
		return // cleared while it was listed
	}
	byTime := func(a, b record.InstanceCrash) int { return cmp.Compare(a.AtMS, b.AtMS) }
	first, last := slices.MinFunc(ends, byTime), slices.MaxFunc(ends, byTime)
	s.Service, s.Since, s.Last, s.Instances = first.Service, stamp(first.AtMS), stamp(last.AtMS), ends
	for _, e := range ends {
		s.Versions = append(s.Versions, e.Version)
		s.SeenBy = append(s.SeenBy, e.Host)
	}
	s.Versions, s.SeenBy = distinct(s.Versions), distinct(s.SeenBy)
}

// distinct sorts some names and leaves each once.
func distinct(names []string) []string {
	slices.Sort(names)
	return slices.Compact(names)
}

// stamp gives a time in Unix milliseconds as operators read it.
func stamp(ms int64) string { return time.UnixMilli(ms).UTC().Format(time.RFC3339) }

func (a *app) printSuspects(list suspectList) {
	if list.Problem != "" {
		a.say("%s", list.Problem)
	}
	if len(list.Suspects) == 0 {
		a.say("no request is suspected of ending instances")
		return
	}
	a.table("PRINT\tSTATE\tENDS\tSERVICE\tVERSIONS\tSEEN BY\tSINCE\tLAST\tREQUEST", func(w *tabwriter.Writer) {
		for _, s := range list.Suspects {
			fmt.Fprintf(w, "%s\t%s\t%d\t%s\t%s\t%s\t%s\t%s\t%s\n", s.Print, s.condition(), s.Ends, s.Service,
				strings.Join(s.Versions, ","), strings.Join(s.SeenBy, ","), s.Since, s.Last, s.Request)
		}
	})
}

// condition says what becomes of the request.
func (s *suspect) condition() string {
	switch {
	case s.Until != "":
		return "stopped until " + s.Until
	case s.Request != "":
		return "kept by the platform only"
	default:
		return "suspected"
	}
}
