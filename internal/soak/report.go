package soak

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"

	"github.com/pkg/errors"

	"github.com/radishhoist/radishhoist/internal/logtest"
)

// maxListed limits the violations listed in a report.
const maxListed = 20

// Report writes a summary of the run and its violations, and returns the violations.
func (r *Observations) Report(out io.Writer, seed uint64) []Violation {
	violations := r.Check()
	served := 0
	for _, req := range r.Requests {
		if req.Served {
			served++
		}
	}
	fmt.Fprintf(out, "seed %d: %d faults, %d of %d requests served, %d changes acknowledged, %d version samples, %d instances crashed: %d violations\n",
		seed, len(r.Faults), served, len(r.Requests), len(r.Acked), len(r.Samples), len(r.Ends), len(violations))
	if len(violations) == 0 {
		return nil
	}
	for _, v := range violations[:min(len(violations), maxListed)] {
		fmt.Fprintln(out, "  "+v.String())
	}
	for _, f := range r.Faults {
		fmt.Fprintln(out, "    "+f.String())
	}
	return violations
}

// maxHosts limits the hosts of a run to the addresses and processes that one machine offers.
const maxHosts = 90

// RunSeeds runs count consecutive seeds, starting at cfg.Seed, and writes a report of each.
// The logs of seeds with violations are saved in logDir, unless it is empty.
func RunSeeds(ctx context.Context, out io.Writer, cfg Config, count int, logDir string) error {
	if cfg.Hosts < dcs || cfg.Hosts > maxHosts || cfg.Duration < 2*faultFreeEnd {
		return errors.Errorf("soak: hosts must be between %d and %d, and the run time at least %s", dcs, maxHosts, 2*faultFreeEnd)
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
