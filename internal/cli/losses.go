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

// lossWindow is the span of time that losses are counted in where none is named.
const lossWindow = 5 * time.Second

func (a *app) lossesCommand() *cli.Command {
	return &cli.Command{
		Name: "losses", Usage: "which requests were lost, where and why, from the logs of all hosts", ArgsUsage: "[FILE...]",
		Description: "Reads the daemons' logs from files, or from standard input, and counts lost requests by route, cause\n" +
			"and time, the repeats that were spent and refused, and waits that ended in a refusal, each with a\n" +
			"request for `radishhoist trace`.",
		Flags: []cli.Flag{&cli.DurationFlag{Name: "window", Usage: "`SPAN` of time that losses are counted in", Value: lossWindow}},
		Action: func(_ context.Context, cmd *cli.Command) error {
			window := cmd.Duration("window")
			if window <= 0 {
				return &InvalidError{Text: "losses: --window " + window.String() + " is no span; write one above 0, for example 5s"}
			}
			c := losses.NewCollector(window)
			if err := a.readAll(cmd.Args().Slice(), c.Read); err != nil {
				return err
			}
			report := c.Report()
			if asJSON(cmd) {
				return errors.Wrap(json.NewEncoder(a.out).Encode(report), "write the report")
			}
			return a.showLosses(&report)
		},
	}
}

// readAll reads each file in turn, or standard input where none is named.
func (a *app) readAll(files []string, read func(io.Reader) error) error {
	if len(files) == 0 {
		return read(a.in)
	}
	for _, name := range files {
		f, err := os.Open(name)
		if err != nil {
			return errors.Wrap(err, "open a log")
		}
		err = read(f)
		_ = f.Close()
		if err != nil {
			return errors.Wrap(err, name)
		}
	}
	return nil
}

func (a *app) showLosses(r *losses.Report) error {
	w := tabwriter.NewWriter(a.out, 0, 0, 2, ' ', 0)
	line := func(format string, args ...any) { _, _ = fmt.Fprintf(w, format+"\n", args...) }
	line("%d requests lost; %d log lines were left out, %d could not be read", r.Lost, r.LinesLeftOut, r.Unreadable)
	line("\nROUTE\tSERVICE\tCAUSE\tLOST\tCALLS\tEXAMPLE")
	for _, row := range r.Rows {
		line("%s\t%s\t%s\t%d\t%d\t%s", row.Route, row.Service, row.Cause, row.Lost, row.Calls, row.Example.Request)
	}
	line("\nFROM\tLOST\tMOST FOR")
	for _, window := range r.Windows {
		cause := mostFor(window.Causes)
		line("%s\t%d\t%s (%d)", window.From.UTC().Format(time.TimeOnly), window.Lost, cause, window.Causes[cause])
	}
	line("\nrepeats of lost requests: %d sent; %d requests found none left, guards refused %d times; for example %s",
		r.Retries.Sent, r.Retries.OverBudget, r.Retries.Refused, r.Retries.Example.Request)
	line("\nSERVICE\tWAITED AND REFUSED\tLONGEST\tEXAMPLE")
	for _, wait := range r.Waits {
		line("%s\t%d\t%s\t%s", wait.Service, wait.Count, wait.Longest, wait.Example.Request)
	}
	return errors.Wrap(w.Flush(), "write the report")
}

// mostFor is the cause with the most losses, by name where two have as many.
func mostFor(causes map[losses.Cause]int) losses.Cause {
	names := slices.Sorted(maps.Keys(causes))
	return slices.MaxFunc(names, func(x, y losses.Cause) int { return causes[x] - causes[y] })
}
