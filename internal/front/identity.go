package front

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/radishhoist/radishhoist/internal/core/admit"
	"github.com/radishhoist/radishhoist/internal/core/directory"
	"github.com/radishhoist/radishhoist/internal/core/header"
	"github.com/radishhoist/radishhoist/internal/guard"
	"github.com/radishhoist/radishhoist/internal/msg"
	"github.com/radishhoist/radishhoist/verdict"
)

// RateLimiter holds teams to their rates over all hosts.
type RateLimiter interface {
	// Admit says whether a request of a team may pass; where not, when to come back.
	// limited says that it counts, so that Return may take it back.
	Admit(ctx context.Context, team string) (ok, limited bool, wait time.Duration)
	// Return takes a request back that was let pass and did not run.
	Return(team string)
}

// SetRates sets what holds teams to their rates, before the first request; without
// it they have none.
func (f *Front) SetRates(r RateLimiter) { f.rates = r }

const authorization = "Authorization"

// bearer gives the key that a caller shows, "" for none.
func bearer(h http.Header) string {
	scheme, key, found := strings.Cut(h.Get(authorization), " ")
	if !found || !strings.EqualFold(scheme, "Bearer") {
		return ""
	}
	return strings.TrimSpace(key)
}

// identify finds the caller's team: by its key where keys are asked for, else by
// its own word. It refuses a caller without a known key, but on an open route.
func identify(view *directory.Directory, req *request) *verdict.Error {
	req.keyed = view.RequireKeys
	if !req.keyed {
		req.team = req.http.Header.Get(header.Team)
	} else if team, ok := view.Keys.Of(bearer(req.http.Header)); ok {
		req.team = team
	} else if !req.route.Open {
		return verdict.New(verdict.NotRun, verdict.ReasonNoTeam, "no team has the key that was shown; send the header Authorization: Bearer KEY")
	}
	req.class = uint32(guard.InstanceHash(req.team) % admit.Classes)
	if t, ok := view.Teams[req.team]; ok {
		req.teamPriority = t.Priority
	}
	return nil
}

// priority orders the request among those that wait, see record.Route.
func (req *request) priority() int {
	if req.teamPriority != nil {
		return *req.teamPriority
	}
	return req.route.Priority
}

// limitTeam counts the request against the rate of the caller's team.
func (f *Front) limitTeam(view *directory.Directory, req *request) *verdict.Error {
	if f.rates == nil || req.team == "" {
		return nil
	}
	ctx, cancel := context.WithDeadline(req.http.Context(), req.deadline)
	defer cancel()
	ok, limited, wait := f.rates.Admit(ctx, req.team)
	req.counted = ok && limited
	if ok {
		return nil
	}
	return retryLater(verdict.ReasonTeamLimit, fmt.Sprintf("team %s is over its rate of %g requests a second over all hosts",
		req.team, view.Teams[req.team].RatePerSecond), wait)
}

// uncount gives a request back to its team that did not run.
func (f *Front) uncount(req *request, fail *verdict.Error) {
	if req != nil && req.counted && fail.Verdict == verdict.NotRun {
		req.counted = false
		f.rates.Return(req.team)
	}
}

// tellTeam puts the caller's team, as found here, in the place of what the caller
// says of it, and leaves its key out.
func (f *Front) tellTeam(req *request, fields []msg.Field) []msg.Field {
	name := f.cfg.Dialect.Team
	if !req.keyed {
		return fields
	}
	fields = slices.DeleteFunc(fields, func(field msg.Field) bool {
		return field.Name == authorization || name != "" && field.Name == http.CanonicalHeaderKey(name)
	})
	if name != "" && req.team != "" {
		fields = append(fields, msg.Field{Name: name, Value: req.team})
	}
	return fields
}
