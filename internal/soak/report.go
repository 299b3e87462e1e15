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

// mostShown bounds the violations that a report lists.
const mostShown = 20

// Report writes what a run was and which promises it broke.
func (r *Record) Report(out io.Writer, seed uint64) []Violation {
	broken := r.Check()
	served := 0
	for _, req := range r.Requests {
		if req.Own {
			served++
		}
	}
	fmt.Fprintf(out, "seed %d: %d faults, %d of %d requests served, %d changes acknowledged, %d looks at hosts, %d instances ended: %d promises broken\n",
		seed, len(r.Faults), served, len(r.Requests), len(r.Acked), len(r.Samples), len(r.Ends), len(broken))
	if len(broken) == 0 {
		return nil
	}
	for _, v := range broken[:min(len(broken), mostShown)] {
		fmt.Fprintln(out, "  "+v.String())
	}
	for _, f := range r.Faults {
		fmt.Fprintln(out, "    "+f.String())
	}
	return broken
}

// maxHosts bounds the hosts of a run: their addresses, and the processes of a machine.
const maxHosts = 90

// RunSeeds plays seeds one after the other, from the one of cfg on, and writes a report of
// each. The logs of one that broke a promise go to a directory, where one is named.
func RunSeeds(ctx context.Context, out io.Writer, cfg Config, count int, logs string) error {
	if cfg.Hosts < dcs || cfg.Hosts > maxHosts || cfg.Duration < 2*calmEnd {
		return errors.Errorf("soak: write %d to %d hosts and a time of %s or more", dcs, maxHosts, 2*calmEnd)
	}
	failed := 0
	for ; count > 0 && ctx.Err() == nil; count-- {
		kept := &logtest.Buffer{}
		cfg.Logs = kept
		r, err := Run(ctx, cfg)
		if err != nil {
			return err
		}
		if len(r.Report(out, cfg.Seed)) > 0 {
			failed++
			if err := save(kept, logs, cfg.Seed); err != nil {
				return err
			}
		}
		cfg.Seed++
	}
	if failed > 0 {
		return errors.Errorf("%d seeds broke a promise", failed)
	}
	return ctx.Err()
}

// save writes the logs of a seed to a directory, where one is named.
func save(logs *logtest.Buffer, dir string, seed uint64) error {
	if dir == "" {
		return nil
	}
	path := filepath.Join(dir, fmt.Sprintf("soak-%d.log", seed))
	return errors.Wrap(os.WriteFile(path, []byte(logs.String()), 0o644), "logs of a soak")
}
