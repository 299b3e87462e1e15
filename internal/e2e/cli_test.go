package e2e

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/radishhoist/radishhoist/internal/cli"
	"github.com/radishhoist/radishhoist/internal/front"
	"github.com/radishhoist/radishhoist/internal/standin/platformd"
)

func usesHost(targets []front.TargetStatus, host string) bool {
	for _, t := range targets {
		if t.Host == host && t.Use == "used" {
			return true
		}
	}
	return false
}

func writeFile(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "record.json")
	assert.NilError(t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

func TestConcurrentWritesAreNotOverwritten(t *testing.T) {
	fleet := startFleet(t, 37, 2, 2*time.Millisecond)
	original, err := fleet.cli("get", "service", "plans")
	assert.NilError(t, err)
	theirs := strings.Replace(original, `"percent": 60`, `"percent": 70`, 1)
	_, err = fleet.cli("apply", "-f", writeFile(t, theirs))
	assert.NilError(t, err)

	out, err := fleet.cli("apply", "-f", writeFile(t, strings.Replace(original, `"percent": 60`, `"percent": 50`, 1)))
	assert.Equal(t, cli.ExitCode(err), cli.ExitConflict)
	assert.Assert(t, strings.Contains(out, "theirs: 70") && strings.Contains(out, "yours: 50"), out)
	after, err := fleet.cli("get", "service", "plans")
	assert.NilError(t, err)
	assert.Assert(t, strings.Contains(after, `"percent": 70`), after)

	// The response to this write is lost after it has taken effect.
	assert.NilError(t, fleet.SetPlatformFaults(platformd.Faults{DropResponses: 1}))
	out, err = fleet.cli("apply", "-f", writeFile(t, strings.Replace(after, `"percent": 70`, `"percent": 65`, 1)))
	assert.NilError(t, err, out)
	assert.Assert(t, strings.Contains(out, "is written"), out)
}

func TestCommandLine(t *testing.T) {
	fleet := startFleet(t, 38, 2, 2*time.Millisecond)
	cases := []struct {
		name string
		args []string
		code int
		want string
	}{
		{"list", []string{"list"}, cli.ExitOK, "office bureau, preset quick, floor 60%"},
		{"list json", []string{"-o", "json", "list", "routes"}, cli.ExitOK, `"kind": "Route"`},
		{"get missing", []string{"get", "route", "none"}, cli.ExitNotFound, ""},
		{"get bad kind", []string{"get", "rout", "none"}, cli.ExitInvalid, ""},
		{"explain", []string{"explain", "POST", "http://x/plans/7"}, cli.ExitOK, "idempotent false: the method POST says so"},
		{"explain no route", []string{"explain", "GET", "http://x/none"}, cli.ExitOK, "no route matches"},
		{"state", []string{"state", "h2"}, cli.ExitOK, `"host": "h2"`},
		{"delete used service", []string{"delete", "service", "plans"}, cli.ExitUnsafe, ""},
		{"stop without reason", []string{"stop", "--force", "h1"}, cli.ExitInvalid, ""},
		{"stop unknown host", []string{"stop", "--reason", "x", "h99"}, cli.ExitNotFound, ""},
		{"send", []string{"send", "GET", "http://" + fleet.Hosts[0].CallersAddress() + "/plans/7"}, cli.ExitOK, "answered whole"},
		{"send fails", []string{"send", "GET", "http://" + fleet.Hosts[0].CallersAddress() + "/none"}, cli.ExitFailed, "not-run"},
		{"bad record", []string{"apply", "-f", writeFile(t, `{"kind":"Service","name":"x","schemaVersion":2,"spec":{"office":"o","preset":"fast","floor":{"percent":200}}}`)}, cli.ExitInvalid, ""},
		{"too new record", []string{"apply", "-f", writeFile(t, `{"kind":"Route","name":"x","schemaVersion":9,"spec":{}}`)}, cli.ExitInvalid, ""},
		{"old schema", []string{"apply", "--dry-run", "-f", writeFile(t, `{"kind":"Service","name":"x","schemaVersion":1,"spec":{"office":"o","preset":"quick","floorPercent":50}}`)}, cli.ExitOK, "dry run"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			out, err := fleet.cli(c.args...)
			assert.Equal(t, cli.ExitCode(err), c.code, "%s %v", out, err)
			assert.Assert(t, strings.Contains(out, c.want), out)
		})
	}
	var out bytes.Buffer
	err := cli.New(strings.NewReader(""), &out, nil).Run(context.Background(),
		[]string{"radishhoist", "--platform", "http://127.0.38.99:1", "list"})
	assert.Equal(t, cli.ExitCode(err), cli.ExitUnavailable)
}
