package front

import (
	"net/http/httptest"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/radishhoist/radishhoist/internal/core/admit"
	"github.com/radishhoist/radishhoist/internal/core/directory"
	"github.com/radishhoist/radishhoist/internal/core/route"
	"github.com/radishhoist/radishhoist/internal/core/team"
	"github.com/radishhoist/radishhoist/internal/guard"
	"github.com/radishhoist/radishhoist/record"
)

// Only a request that may be a call of an instance may count for a running team; a caller's
// request counts for the caller's team. Without a running team, calls share a class.
func TestCallCountsForRunningTeam(t *testing.T) {
	const key = "0123456789abcdef0123456789abcdef"
	teams := map[string]*record.Team{"caller": {KeyHashes: []string{record.HashTeamKey(key).String()}}}
	keyed := &directory.Directory{Teams: teams, TeamKeys: (*team.Index)(nil).WithTeams(teams), RequireKeys: true}
	none, caller, running := guard.TeamHash(""), guard.TeamHash("caller"), guard.TeamHash("running")
	for name, c := range map[string]struct {
		dir         *directory.Directory
		open, runs  bool
		authorizing string
		want        uint32
	}{
		"call":                      {dir: keyed, open: true, runs: true, want: running},
		"call, nothing runs":        {dir: keyed, open: true, want: none},
		"call without keys":         {dir: &directory.Directory{}, runs: true, want: running},
		"caller on an open route":   {dir: keyed, open: true, runs: true, authorizing: key, want: caller},
		"caller on a closed route":  {dir: keyed, runs: true, authorizing: key, want: caller},
		"unknown key on open route": {dir: keyed, open: true, runs: true, authorizing: "unknown", want: none},
	} {
		req := &request{http: httptest.NewRequest("GET", "/", nil), route: &route.Route{Route: record.Route{Open: c.open}}}
		if c.authorizing != "" {
			req.http.Header.Set(authorization, "Bearer "+c.authorizing)
		}
		assert.Assert(t, identifyTeam(c.dir, req) == nil, name)
		req.countForRunningTeam(func() (uint32, bool) { return running, c.runs })
		assert.Equal(t, req.fairnessClass, c.want, name)
	}
}

// Guards without fair shares and older ones use the class modulo admit.Classes. It must be
// what fronts sent before the class became the whole hash.
func TestFairnessClassModuloClassesIsUnchanged(t *testing.T) {
	for _, name := range []string{"", "a", "office-7/team-12"} {
		assert.Equal(t, guard.TeamHash(name)%admit.Classes, uint32(guard.NameHash(name)%admit.Classes))
	}
}
