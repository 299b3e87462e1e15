package soak

import (
	"bytes"
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/radishhoist/radishhoist/internal/logtest"
)

// A short run of a seed that has faults of every component. Long runs are started manually.
func TestShortSoakHasNoViolations(t *testing.T) {
	bin := t.TempDir()
	build := exec.Command("go", "build", "-o", bin, "../../cmd/...")
	out, err := build.CombinedOutput()
	assert.NilError(t, err, "%s", out)
	logs := &logtest.Buffer{}
	r, err := Run(context.Background(), Config{Bin: bin, Seed: 7, Hosts: 6, Duration: 20 * time.Second, NetOctet: 71, Logs: logs})
	assert.NilError(t, err)
	var report bytes.Buffer
	violations := r.Report(&report, 7)
	t.Log(report.String())
	if len(violations) > 0 {
		path := filepath.Join(os.TempDir(), "radishhoist-soak-7.log")
		assert.NilError(t, os.WriteFile(path, []byte(logs.String()), 0o600))
		t.Fatalf("%d violations; the logs of the processes are in %s", len(violations), path)
	}
	assert.Assert(t, len(r.Faults) > 5 && len(r.Acked) > 5 && len(r.Samples) > 100 && len(r.Requests) > 500)
	// Guards against checks that pass because nothing was observed.
	sent, _ := r.lightInSurge("")
	assert.Assert(t, sent > lightTeams*minTeamRequests && len(r.Refusals) > 10 && r.peakRetryWindow(contendedService).retries > 5)
}
