package front

import (
	"log/slog"
	"strconv"
	"time"

	"github.com/radishhoist/radishhoist/internal/event"
	"github.com/radishhoist/radishhoist/verdict"
)

// attemptEntry is one attempt in the request log: what was known of the target when it was
// chosen, and how the attempt ended.
type attemptEntry struct {
	Target string `json:"target"`
	Host   string `json:"host"`
	// Why says how the target was chosen.
	Why string `json:"why"`
	// FailureEstimate, Running and Queued are the estimate and load at the time of the
	// choice, and AgeMS is the age of the report that they are based on.
	FailureEstimate float64 `json:"sick"`
	Running         int     `json:"running"`
	Queued          int     `json:"queued"`
	AgeMS           int64   `json:"ageMS"`
	// Usable and Ejected are the numbers of usable and ejected targets.
	Usable  int `json:"of"`
	Ejected int `json:"leftOut"`
	// Outcome is the status, or the reason of a failure with its verdict.
	Outcome string `json:"outcome"`
	MS      int64  `json:"ms"`
	// Resumed marks the second entry of an attempt that went on at a silent host.
	Resumed   bool `json:"resumed,omitempty"`
	startedAt time.Time
}

// Values of attemptEntry.Why.
const (
	whyCost         = "least cost"
	whyTrial        = "trial of an instance"
	whyPath         = "trial of a path"
	whyFallback     = "fallback: no usable target left"
	whyCrashSuspect = "designated instance for a request suspected of crashing its targets"
)

// newEntry records what is known of a target when it is chosen. The caller must hold st.mu.
func (st *serviceState) newEntry(now time.Time, t *target, why string) attemptEntry {
	return attemptEntry{
		Target: t.Name, Host: t.Host.Name, Why: why,
		FailureEstimate: t.observed.failureEstimate.SickForSelection(now, failureModel), Running: int(t.observed.load.Running), Queued: int(t.observed.load.Queued),
		AgeMS: ageMS(now, t.observed.loadAt), Usable: len(st.candidates.eligible), Ejected: len(st.candidates.ejected), startedAt: now,
	}
}

// ageMS is the time since at in milliseconds, or -1 if at is zero.
func ageMS(now, at time.Time) int64 {
	if at.IsZero() {
		return -1
	}
	return now.Sub(at).Milliseconds()
}

// recordAttempt adds a finished attempt to the summary, unless the request is over.
func (e *execution) recordAttempt(entry attemptEntry, o *outcome) {
	entry.MS, entry.Resumed = time.Since(entry.startedAt).Milliseconds(), o.resumed
	switch {
	case o.fail != nil:
		entry.Outcome = string(o.fail.Reason) + " " + o.fail.Verdict.String()
	default:
		entry.Outcome = statusText(int(o.response.head.Status))
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.done {
		e.summary.entries = append(e.summary.entries, entry)
	}
}

// logResponse logs a request that got a response: always if the status is a failure of the
// target, otherwise if the request is sampled.
func (f *Front) logResponse(req *request, status int) {
	failed := retryableStatus(uint16(status))
	if !failed && !event.Sampled(req.id) {
		return
	}
	f.logRequest(event.RequestAnswered, req, slog.Int("status", status))
}

// logFailure logs a request for which this host returned a failure.
func (f *Front) logFailure(req *request, fail *verdict.Error) {
	f.logRequest(event.RequestFailed, req, slog.Int("status", fail.Status()), slog.String("verdict", fail.Verdict.String()),
		slog.String("reason", string(fail.Reason)), slog.String("detail", fail.Detail), slog.Int64("retryAfterMS", fail.RetryAfterMS))
}

func (f *Front) logRequest(e event.Event, req *request, attrs ...slog.Attr) {
	dropped, ok := f.logLimiter.Allow(time.Now())
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
	all = append(all, slog.Any("attempts", req.summary.entries))
	if req.summary.budgetExhausted {
		all = append(all, slog.Bool("repeatUnpaid", true))
	}
	if dropped > 0 {
		all = append(all, slog.Uint64("linesLeftOut", dropped))
	}
	event.Log(f.log, e, all...)
}

func statusText(status int) string { return "status " + strconv.Itoa(status) }
