package front

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/radishhoist/radishhoist/internal/core/directory"
	"github.com/radishhoist/radishhoist/internal/core/header"
	"github.com/radishhoist/radishhoist/internal/guard"
	"github.com/radishhoist/radishhoist/internal/msg"
	"github.com/radishhoist/radishhoist/verdict"
)

// RateLimiter enforces teams' request rates across all hosts.
type RateLimiter interface {
	// Admit reports whether a request of the team is within its rate, and if not, how long
	// to wait. limited reports whether the request counts against a rate, so that Release
	// can undo that.
	Admit(ctx context.Context, team string) (ok, limited bool, wait time.Duration)
	// Release takes back an admitted request that did not run.
	Release(team string)
}

// SetRateLimiter sets the rate limiter. It must be called before the first request; without
// it teams have no rate limit.
func (f *Front) SetRateLimiter(r RateLimiter) { f.rateLimiter = r }

const authorization = "Authorization"

// bearerToken returns the bearer token of the Authorization header, or "".
func bearerToken(h http.Header) string {
	scheme, token, found := strings.Cut(h.Get(authorization), " ")
	if !found || !strings.EqualFold(scheme, "Bearer") {
		return ""
	}
	return strings.TrimSpace(token)
}

// identifyTeam finds the caller's team. If API keys are required, it is the team of the
// key, otherwise the one the caller names. A request without a known key is refused unless
// its route is open.
func identifyTeam(dir *directory.Directory, req *request) *verdict.Error {
	req.apiKeyRequired = dir.RequireKeys
	if !req.apiKeyRequired {
		req.team = req.http.Header.Get(header.Team)
	} else if team, ok := dir.TeamKeys.TeamOf(bearerToken(req.http.Header)); ok {
		req.team = team
	} else if !req.route.Open {
		return verdict.New(verdict.NotRun, verdict.ReasonNoTeam, "no team has the API key that was sent; send the header Authorization: Bearer KEY")
	}
	req.fairnessClass = guard.TeamHash(req.team)
	if t, ok := dir.Teams[req.team]; ok {
		req.teamPriority = t.Priority
	}
	return nil
}

// countForRunningTeam sets the fairness class of a request that may be a call made by an
// instance: one that names no team on a route that is open to callers without a key. It is
// counted for the team of a request that runs on this host, as returned by runningTeam,
// because a call does not name the request that made it.
func (req *request) countForRunningTeam(runningTeam func() (uint32, bool)) {
	if req.team != "" || bearerToken(req.http.Header) != "" || req.apiKeyRequired && !req.route.Open {
		return
	}
	if class, ok := runningTeam(); ok {
		req.fairnessClass = class
	}
}

// priority is the request's priority in the queue, see record.Route.
func (req *request) priority() int {
	if req.teamPriority != nil {
		return *req.teamPriority
	}
	return req.route.Priority
}

// admitTeam counts the request against the rate of the caller's team and refuses it over
// that rate.
func (f *Front) admitTeam(dir *directory.Directory, req *request) *verdict.Error {
	if f.rateLimiter == nil || req.team == "" {
		return nil
	}
	ctx, cancel := context.WithDeadline(req.http.Context(), req.deadline)
	defer cancel()
	ok, limited, wait := f.rateLimiter.Admit(ctx, req.team)
	req.countedInRate = ok && limited
	if ok {
		return nil
	}
	return retryLater(verdict.ReasonTeamLimit, fmt.Sprintf("team %s is over its rate of %g requests a second over all hosts",
		req.team, dir.Teams[req.team].RatePerSecond), wait)
}

// releaseRate releases a request that did not run from its team's rate.
func (f *Front) releaseRate(req *request, fail *verdict.Error) {
	if req != nil && req.countedInRate && fail.Verdict == verdict.NotRun {
		req.countedInRate = false
		f.rateLimiter.Release(req.team)
	}
}

// setTeamHeader replaces the caller's team header by the team found here and removes the
// caller's API key. It does nothing if no key is required.
func (f *Front) setTeamHeader(req *request, fields []msg.Field) []msg.Field {
	name := f.cfg.Dialect.Team
	if !req.apiKeyRequired {
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
