package front

import (
	"log/slog"
	"strconv"
	"time"

	"github.com/radishhoist/radishhoist/internal/event"
	"github.com/radishhoist/radishhoist/verdict"
)

// step is one attempt of a request as the log tells it: what was believed of the
// target when it was chosen, and how the attempt ended.
type step struct {
	Target string `json:"target"`
	Host   string `json:"host"`
	// Why says how the target was chosen.
	Why string `json:"why"`
	// Sick is the estimate in force then, Running and Queued the count, and
	// AgeMS the age of both.
	Sick    float64 `json:"sick"`
	Running int     `json:"running"`
	Queued  int     `json:"queued"`
	AgeMS   int64   `json:"ageMS"`
	// Of is the number of targets to choose from, Out those left out.
	Of  int `json:"of"`
	Out int `json:"leftOut"`
	// Outcome is a status, or the reason of a failure with its verdict.
	Outcome string `json:"outcome"`
	MS      int64  `json:"ms"`
	begun   time.Time
}

// The ways in which a target is chosen.
const (
	whyCost    = "least cost"
	whyTrial   = "trial of a doubtful instance"
	whyPath    = "trial of a path"
	whyLeftOut = "nothing better is left"
	whySuspect = "the one place for a request under which instances have ended"
)

// belief notes what is believed of a target. The service's lock is held.
func (st *serviceState) belief(now time.Time, t *target, why string) step {
	return step{
		Target: t.Name, Host: t.Host.Name, Why: why,
		Sick: t.seen.sick.SickForSelection(now, model), Running: int(t.seen.load.Running), Queued: int(t.seen.load.Queued),
		AgeMS: age(now, t.seen.loadAt), Of: len(st.choice.usable), Out: len(st.choice.out), begun: now,
	}
}

// age is how long ago something was heard, in milliseconds, -1 for never.
func age(now, at time.Time) int64 {
	if at.IsZero() {
		return -1
	}
	return now.Sub(at).Milliseconds()
}

// note adds an attempt that has ended to the request's trail.
func (c *race) note(s step, o *outcome) {
	s.MS = time.Since(s.begun).Milliseconds()
	switch {
	case o.fail != nil:
		s.Outcome = string(o.fail.Reason) + " " + o.fail.Verdict.String()
	default:
		s.Outcome = statusText(int(o.answer.head.Status))
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.over {
		c.account.trail = append(c.account.trail, s)
	}
}

// logAnswer tells of an answered request: of a failure of its target always, of
// any other where it is sampled.
func (f *Front) logAnswer(req *request, status int) {
	failed := retriableStatus(uint16(status))
	if !failed && !event.Sampled(req.id) {
		return
	}
	f.logRequest(event.RequestAnswered, req, slog.Int("status", status))
}

// logFailure tells of a request that this host ended itself.
func (f *Front) logFailure(req *request, fail *verdict.Error) {
	f.logRequest(event.RequestFailed, req, slog.Int("status", fail.Status()), slog.String("verdict", fail.Verdict.String()),
		slog.String("reason", string(fail.Reason)), slog.String("detail", fail.Detail), slog.Int64("retryAfterMS", fail.RetryAfterMS))
}

func (f *Front) logRequest(e event.Event, req *request, attrs ...slog.Attr) {
	leftOut, ok := f.lines.Allow(time.Now())
	if !ok {
		return
	}
	all := []slog.Attr{slog.String("request", req.id), slog.String("method", req.http.Method), slog.String("path", req.http.URL.Path)}
	if req.team != "" {
		all = append(all, slog.String("team", req.team))
	}
	if req.route != nil {
		all = append(all, slog.String("route", req.route.Name), slog.Int64("version", req.route.Version))
	}
	if req.service != nil {
		all = append(all, slog.String("service", req.service.Name), slog.Bool("idempotent", req.idempotent))
	}
	if !req.arrived.IsZero() {
		all = append(all, slog.Int64("ms", time.Since(req.arrived).Milliseconds()))
	}
	all = append(all, attrs...)
	all = append(all, slog.Any("attempts", req.account.trail))
	if req.account.unpaid {
		all = append(all, slog.Bool("repeatUnpaid", true))
	}
	if leftOut > 0 {
		all = append(all, slog.Uint64("linesLeftOut", leftOut))
	}
	event.Log(f.log, e, all...)
}

func statusText(status int) string { return "status " + strconv.Itoa(status) }
