package e2e

import (
	"bytes"
	"context"
	"net/http"
	"regexp"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/radishhoist/radishhoist/internal/cli"
	"github.com/radishhoist/radishhoist/internal/lab"
	"github.com/radishhoist/radishhoist/record"
)

// statusWithKey sends a request with a team's key, if any, to a host and returns the status.
func statusWithKey(t *testing.T, h *lab.Host, key string) int {
	t.Helper()
	req, err := http.NewRequest(http.MethodGet, "http://"+h.CallersAddress()+"/plans/1", nil)
	assert.NilError(t, err)
	if key != "" {
		req.Header.Set("Authorization", "Bearer "+key)
	}
	resp, err := http.DefaultTransport.RoundTrip(req)
	assert.NilError(t, err)
	_ = resp.Body.Close()
	return resp.StatusCode
}

// cliWithInput runs the command line against the first host with text on standard input.
func (fleet *testFleet) cliWithInput(in string, args ...string) (string, error) {
	var out bytes.Buffer
	all := append([]string{"radishhoist", "--platform", fleet.Platform, "--admin", fleet.Hosts[0].AdminAddress()}, args...)
	err := cli.New(strings.NewReader(in), &out, nil).Run(context.Background(), all)
	return out.String(), err
}

// An operator issues a key to a team, sees the team's use over all hosts, and withdraws the
// key. The command line confirms that each change is in force on every host.
func TestTeamKeyIsIssuedAndWithdrawn(t *testing.T) {
	fleet := startFleet(t, 47, 2, 2*time.Millisecond)
	assert.Equal(t, statusWithKey(t, fleet.Hosts[0], ""), http.StatusOK)
	assert.NilError(t, fleet.Put(context.Background(), record.Key{Kind: record.KindTeam, Name: "desk"}, &record.Team{Office: "bureau", RatePerSecond: 2, Burst: 5}))
	_, err := fleet.cli("teams", "key", "add", "nobody")
	assert.Equal(t, cli.ExitCode(err), cli.ExitNotFound)

	out, err := fleet.cli("teams", "key", "add", "desk")
	assert.NilError(t, err, out)
	assert.Assert(t, strings.Contains(out, "in force on every host"), out)
	key := regexp.MustCompile(`(?m)^key (\S+)$`).FindStringSubmatch(out)
	assert.Assert(t, key != nil, out)
	for _, h := range fleet.Hosts {
		assert.Equal(t, statusWithKey(t, h, ""), http.StatusUnauthorized)
		assert.Equal(t, statusWithKey(t, h, "guess"), http.StatusUnauthorized)
	}
	passed, refused := 0, 0
	for range 40 {
		for _, h := range fleet.Hosts {
			switch statusWithKey(t, h, key[1]) {
			case http.StatusOK:
				passed++
			case http.StatusTooManyRequests:
				refused++
			}
		}
	}
	assert.Assert(t, passed > 0 && refused > 40, "%d passed, %d refused", passed, refused)
	out, err = fleet.cli("teams")
	assert.NilError(t, err)
	assert.Assert(t, regexp.MustCompile(`desk +2/s +5 `).MatchString(out), out)
	assert.Assert(t, !strings.Contains(out, key[1]), "the list reveals the key")
	dump, err := fleet.cli("get", "team", "desk")
	assert.NilError(t, err)
	assert.Assert(t, !strings.Contains(dump, key[1]), "the record reveals the key")

	_, err = fleet.cliWithInput("another", "teams", "key", "withdraw", "desk")
	assert.Equal(t, cli.ExitCode(err), cli.ExitInvalid)
	out, err = fleet.cliWithInput(key[1]+"\n", "teams", "key", "withdraw", "desk")
	assert.NilError(t, err, out)
	// No team has a key any more, so requests without a key are accepted again.
	for _, h := range fleet.Hosts {
		assert.Equal(t, statusWithKey(t, h, ""), http.StatusOK)
	}
}
