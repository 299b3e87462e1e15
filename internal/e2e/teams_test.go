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

// ask sends a request with a team's key to a host and gives the status.
func ask(t *testing.T, h *lab.Host, key string) int {
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

// cliWith is cli with something on standard input.
func (w *world) cliWith(in string, args ...string) (string, error) {
	var out bytes.Buffer
	all := append([]string{"radishhoist", "--platform", w.Platform, "--admin", w.Hosts[0].AdminAddress()}, args...)
	err := cli.New(strings.NewReader(in), &out, nil).Run(context.Background(), all)
	return out.String(), err
}

// An operator gives a team a key, sees its use over all hosts, and withdraws the key; each
// change is confirmed in force on every host.
func TestTeamKeyIsIssuedAndWithdrawn(t *testing.T) {
	w := start(t, 47, 2, 2*time.Millisecond)
	assert.Equal(t, ask(t, w.Hosts[0], ""), http.StatusOK)
	assert.NilError(t, w.Put(context.Background(), record.Key{Kind: record.KindTeam, Name: "desk"}, &record.Team{Office: "bureau", RatePerSecond: 2, Burst: 5}))
	_, err := w.cli("teams", "key", "add", "nobody")
	assert.Equal(t, cli.ExitCode(err), cli.ExitNotFound)

	out, err := w.cli("teams", "key", "add", "desk")
	assert.NilError(t, err, out)
	assert.Assert(t, strings.Contains(out, "in force on every host"), out)
	key := regexp.MustCompile(`(?m)^key (\S+)$`).FindStringSubmatch(out)
	assert.Assert(t, key != nil, out)
	for _, h := range w.Hosts {
		assert.Equal(t, ask(t, h, ""), http.StatusUnauthorized)
		assert.Equal(t, ask(t, h, "guess"), http.StatusUnauthorized)
	}
	passed, refused := 0, 0
	for range 40 {
		for _, h := range w.Hosts {
			switch ask(t, h, key[1]) {
			case http.StatusOK:
				passed++
			case http.StatusTooManyRequests:
				refused++
			}
		}
	}
	assert.Assert(t, passed > 0 && refused > 40, "%d passed, %d refused", passed, refused)
	out, err = w.cli("teams")
	assert.NilError(t, err)
	assert.Assert(t, regexp.MustCompile(`desk +2/s +5 `).MatchString(out), out)
	assert.Assert(t, !strings.Contains(out, key[1]), "the list tells the key")
	dump, err := w.cli("get", "team", "desk")
	assert.NilError(t, err)
	assert.Assert(t, !strings.Contains(dump, key[1]), "the record tells the key")

	_, err = w.cliWith("another", "teams", "key", "withdraw", "desk")
	assert.Equal(t, cli.ExitCode(err), cli.ExitInvalid)
	out, err = w.cliWith(key[1]+"\n", "teams", "key", "withdraw", "desk")
	assert.NilError(t, err, out)
	// The last key of all teams is gone: nobody shows one any more.
	for _, h := range w.Hosts {
		assert.Equal(t, ask(t, h, ""), http.StatusOK)
	}
}
