package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"github.com/radishhoist/radishhoist/internal/losses"
)

// defaultLossWindow is the default length of the time windows in which failed requests are
// counted.
const defaultLossWindow = 5 * time.Second

func (a *app) lossesCommand() *cli.Command {
	return &cli.Command{
		Name: "losses", Usage: "report failed requests by route, cause and time, from the logs of all hosts", ArgsUsage: "[FILE...]",
		Description: "Reads the daemons' logs from files, or from standard input, and counts failed requests by route, cause\n" +
			"and time, the retries that were sent and refused, and the requests refused after waiting in a queue,\n" +
			"each with an example request for `radishhoist trace`.",
		Flags: []cli.Flag{&cli.DurationFlag{Name: "window", Usage: "`LENGTH` of the time windows in which failed requests are counted", Value: defaultLossWindow}},
		Action: func(_ context.Context, cmd *cli.Command) error {
			window := cmd.Duration("window")
			if window <= 0 {
				return &InvalidError{Text: "losses: --window is " + window.String() + "; it must be above 0, for example 5s"}
			}
			c := losses.NewCollector(window)
			if err := a.readAll(cmd.Args().Slice(), c.Read); err != nil {
				return err
			}
			report := c.Report()
			if asJSON(cmd) {
				return errors.Wrap(json.NewEncoder(a.out).Encode(report), "write the report")
			}
			return a.printLosses(&report)
		},
	}
}

// readAll reads each file in turn, or standard input if there are none.
func (a *app) readAll(files []string, read func(io.Reader) error) error {
	if len(files) == 0 {
		return read(a.in)
	}
	for _, name := range files {
		f, err := os.Open(name)
		if err != nil {
			return errors.Wrap(err, "open log file")
		}
		err = read(f)
		_ = f.Close()
		if err != nil {
			return errors.Wrap(err, name)
		}
	}
	return nil
}

func (a *app) printLosses(r *losses.Report) error {
	w := tabwriter.NewWriter(a.out, 0, 0, 2, ' ', 0)
	line := func(format string, args ...any) { _, _ = fmt.Fprintf(w, format+"\n", args...) }
	line("%d failed requests; %d log lines were dropped by the rate limit, %d could not be parsed", r.Failed, r.LinesDropped, r.Unreadable)
	line("\nROUTE\tSERVICE\tCAUSE\tLOST\tCALLS\tEXAMPLE")
	for _, row := range r.Rows {
		line("%s\t%s\t%s\t%d\t%d\t%s", row.Route, row.Service, row.Cause, row.Failed, row.Calls, row.Example.Request)
	}
	line("\nFROM\tLOST\tMAIN CAUSE")
	for _, window := range r.Windows {
		cause := mainCause(window.Causes)
		line("%s\t%d\t%s (%d)", window.From.UTC().Format(time.TimeOnly), window.Failed, cause, window.Causes[cause])
	}
	line("\nretries of failed requests: %d sent; %d requests not retried because the retry budget was used up, %d retries refused by guards; for example %s",
		r.Retries.Sent, r.Retries.OverBudget, r.Retries.Refused, r.Retries.Example.Request)
	line("\nSERVICE\tREFUSED AFTER WAIT\tLONGEST\tEXAMPLE")
	for _, wait := range r.Waits {
		line("%s\t%d\t%s\t%s", wait.Service, wait.Count, wait.Longest, wait.Example.Request)
	}
	return errors.Wrap(w.Flush(), "write the report")
}

// mainCause returns the cause of the most failed requests, the first by name on a tie.
func mainCause(causes map[losses.Cause]int) losses.Cause {
	names := slices.Sorted(maps.Keys(causes))
	return slices.MaxFunc(names, func(x, y losses.Cause) int { return causes[x] - causes[y] })
}
