package cli

import (
	"cmp"
	"context"
	"fmt"
	"slices"
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

// suspect is a request that may end the instances that run it. What only the platform's
// record tells is empty where there is none.
type suspect struct {
	Print string `json:"print"`
	// Until is when a stopped request may be tried again, empty for one that is only
	// suspected or not known to the daemon.
	Until string `json:"until,omitempty"`
	// Ends counts the ends of instances that it has part in.
	Ends     int    `json:"ends"`
	Request  string `json:"request,omitempty"`
	Service  string `json:"service,omitempty"`
	Versions string `json:"versions,omitempty"`
	// Since and Last are the times of its first end and its latest.
	Since string `json:"since,omitempty"`
	Last  string `json:"last,omitempty"`
	// Instances are the starts that ended.
	Instances []string `json:"instances"`
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
	if err := adminGet(ctx, cmd.String("admin"), state.PathState, nil, &dump); err != nil {
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
		byPrint[k.Print] = &suspect{Print: k.Print, Until: k.Until, Ends: k.Ends, Instances: k.Instances}
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
			s = &suspect{Print: obj.Name, Ends: len(c.Ends)}
			byPrint[obj.Name] = s
		}
		s.tell(c)
	}
	out := []*suspect{}
	for _, s := range byPrint {
		out = append(out, s)
	}
	slices.SortFunc(out, func(a, b *suspect) int { return cmp.Compare(a.Print, b.Print) })
	return out
}

// tell adds what a record says of the request.
func (s *suspect) tell(c *record.Crasher) {
	s.Request = c.Request
	first, last := c.Ends[0], c.Ends[0]
	var versions, instances []string
	for _, e := range c.Ends {
		if e.AtMS < first.AtMS {
			first = e
		}
		if e.AtMS > last.AtMS {
			last = e
		}
		versions = append(versions, e.Version)
		instances = append(instances, e.ID)
	}
	slices.Sort(versions)
	s.Service, s.Versions = first.Service, fmt.Sprint(slices.Compact(versions))
	s.Since, s.Last = stamp(first.AtMS), stamp(last.AtMS)
	if len(s.Instances) == 0 {
		s.Instances = instances
	}
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
	a.table("PRINT\tSTATE\tENDS\tSERVICE\tVERSIONS\tSINCE\tLAST\tREQUEST", func(w *tabwriter.Writer) {
		for _, s := range list.Suspects {
			fmt.Fprintf(w, "%s\t%s\t%d\t%s\t%s\t%s\t%s\t%s\n", s.Print, s.condition(), s.Ends, s.Service, s.Versions, s.Since, s.Last, s.Request)
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
