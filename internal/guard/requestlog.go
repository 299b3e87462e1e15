package guard

import (
	"log/slog"
	"net/http"
	"time"

	"github.com/radishhoist/radishhoist/internal/core/crash"
	"github.com/radishhoist/radishhoist/internal/event"
	"github.com/radishhoist/radishhoist/internal/msg"
	"github.com/radishhoist/radishhoist/verdict"
)

// logEnd logs how a request that was sent to the instance ended and how the guard
// classified it. Successes are logged for sampled requests only.
func (x *exchange) logEnd(started time.Time, res result, failure *verdict.Error) {
	succeeded := failure == nil && res.status < http.StatusInternalServerError
	if succeeded && !event.Sampled(x.requestID) {
		return
	}
	suppressed, ok := x.guard.requestLogLimiter.Allow(time.Now())
	if !ok {
		return
	}
	outcome := "whole answer"
	if failure != nil {
		outcome = string(failure.Reason) + " " + failure.Verdict.String() + ": " + failure.Detail
	}
	load := x.inst.load()
	event.Log(x.guard.log, event.RequestEnded, slog.String("request", x.requestID), slog.String("instance", x.inst.name),
		slog.String("service", x.inst.service), slog.String("outcome", outcome), slog.Int("status", res.status),
		slog.Int64("queuedMS", started.Sub(x.arrived).Milliseconds()), slog.Int64("ms", time.Since(started).Milliseconds()),
		slog.Bool("heldAgainstIt", res.failed && !res.excused), slog.Bool("excusedByCall", res.excused),
		slog.Float64("sick", load.FailureProbability()), slog.Int("running", int(load.Running)), slog.Int("queued", int(load.Queued)),
		slog.Uint64("linesLeftOut", suppressed))
}

// logRefusal logs a request that got no slot or was cancelled before it ran.
func (x *exchange) logRefusal(e *verdict.Error) {
	suppressed, ok := x.guard.requestLogLimiter.Allow(time.Now())
	if !ok {
		return
	}
	load := msg.Load{}
	if x.inst != nil {
		load = x.inst.load()
	}
	event.Log(x.guard.log, event.RequestRefused, slog.String("request", x.requestID), slog.String("instance", x.instanceName),
		slog.String("service", x.service), slog.String("reason", string(e.Reason)), slog.Int64("retryAfterMS", e.RetryAfterMS),
		slog.Int64("waitedMS", time.Since(x.arrived).Milliseconds()), slog.Int64("deadlineMS", time.Until(x.deadline).Milliseconds()),
		slog.Int("running", int(load.Running)), slog.Int("queued", int(load.Queued)), slog.Int("slots", int(load.Slots)),
		slog.Uint64("linesLeftOut", suppressed))
}

// logEstimateChange logs a change of the published failure estimate of an instance.
func (i *instance) logEstimateChange(previous float64, current msg.Load) {
	event.Log(i.guard.log, event.InstanceEstimateChanged, slog.String("instance", i.name), slog.String("service", i.service),
		slog.Float64("was", previous/msg.Thousandths), slog.Float64("sick", current.FailureProbability()))
}

// logBlocked logs a request that has just become blocked.
func (g *Guard) logBlocked(fp crash.Fingerprint) {
	a := g.CrashAssessment(fp)
	event.Log(g.log, event.RequestStopped, slog.String("print", fp.String()), slog.Int("ends", a.Crashes), slog.Time("until", a.BlockedUntil))
}
