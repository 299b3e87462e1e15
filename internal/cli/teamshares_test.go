package cli

import (
	"bytes"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/radishhoist/radishhoist/internal/guard"
)

// The figures of the hosts must be merged by service and team, and teams without a record be
// shown, too.
func TestTeamSharesAreMerged(t *testing.T) {
	big := guard.TeamShare{Service: "s", Team: "big", Hash: 1, Weight: 3, Share: 0.5, Use: 0.75, Over: true}
	calm := big
	calm.Use, calm.Over = 0.25, false
	list := mergeTeamShares([][]guard.TeamShare{
		nil,
		{big, {Service: "s", Hash: guard.TeamHash(""), Weight: 1, Share: 0.25, Use: 0.25}},
		{calm, {Service: "r", Hash: 0xabc, Weight: 1, Share: 1, Use: 0.5}},
	})
	var out bytes.Buffer
	(&app{out: &out}).printTeamShares(list)
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	assert.Equal(t, len(lines), 4)
	for i, want := range []string{"", "r (00000abc) 1 100.0% 50.0% no", "s big 3 50.0% 50.0% at 1 of 2 hosts", "s (none) 1 25.0% 25.0% no"} {
		if want != "" {
			assert.Equal(t, strings.Join(strings.Fields(lines[i]), " "), want)
		}
	}
}
