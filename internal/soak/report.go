package soak

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"

	"github.com/pkg/errors"

	"github.com/radishhoist/radishhoist/internal/logtest"
)

// maxListedViolations limits the violations of each invariant that are listed in a report. A fault
// that violates one thousands of times must not hide the others.
const maxListedViolations = 10

// Report writes a summary of the run and its violations, and returns the violations.
func (o *Observations) Report(out io.Writer, seed uint64) []Violation {
	violations := o.Check()
	served := 0
	for _, req := range o.Requests {
		if req.Served {
			served++
		}
	}
	fmt.Fprintf(out, "seed %d: %d faults, %d of %d requests served, %d changes acknowledged, %d version samples, %d instances crashed: %d violations\n",
		seed, len(o.Faults), served, len(o.Requests), len(o.Acked), len(o.Samples), len(o.Crashes), len(violations))
	sent, teamServed := o.lightInSurge("")
	fmt.Fprintf(out, "  %d of %d requests of teams below their share served in surges, %d refusals logged, retry budgets used: %s %s, %s %s; timers late by up to %s\n",
		teamServed, sent, len(o.Refusals), service, o.peakRetryWindow(service), contendedService, o.peakRetryWindow(contendedService), o.Stall.Round(time.Millisecond))
	if len(violations) == 0 {
		return nil
	}
	listed := make(map[string]int)
	for _, v := range violations {
		if listed[v.Invariant]++; listed[v.Invariant] <= maxListedViolations {
			fmt.Fprintln(out, "  "+v.String())
		}
	}
	for _, f := range o.Faults {
		fmt.Fprintln(out, "    "+f.String())
	}
	return violations
}

// maxHosts limits the hosts of a run, given the addresses and processes available on one machine.
const maxHosts = 90

// RunSeeds runs count consecutive seeds, starting at cfg.Seed, and writes a report of each. It returns
// an error if any seed has violations, and saves the logs of these seeds in logDir, unless that is
// empty.
func RunSeeds(ctx context.Context, out io.Writer, cfg Config, count int, logDir string) error {
	if cfg.Hosts < dataCentres || cfg.Hosts > maxHosts || cfg.Duration < 2*faultFreeEnd {
		return errors.Errorf("soak: hosts must be between %d and %d, and the run time at least %s", dataCentres, maxHosts, 2*faultFreeEnd)
	}
	failed := 0
	for ; count > 0 && ctx.Err() == nil; count-- {
		buffer := &logtest.Buffer{}
		cfg.Logs = buffer
		r, err := Run(ctx, cfg)
		if err != nil {
			return err
		}
		if len(r.Report(out, cfg.Seed)) > 0 {
			failed++
			if err := saveLogs(buffer, logDir, cfg.Seed); err != nil {
				return err
			}
		}
		cfg.Seed++
	}
	if failed > 0 {
		return errors.Errorf("soak: %d seeds with violations", failed)
	}
	return ctx.Err()
}

// saveLogs writes the logs of a seed to a directory, unless it is empty.
func saveLogs(logs *logtest.Buffer, dir string, seed uint64) error {
	if dir == "" {
		return nil
	}
	path := filepath.Join(dir, fmt.Sprintf("soak-%d.log", seed))
	return errors.Wrap(os.WriteFile(path, []byte(logs.String()), 0o644), "save soak logs")
}
