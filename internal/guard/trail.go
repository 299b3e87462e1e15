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
// classified it: always if the caller gets no success, otherwise for sampled
// requests.
func (x *exchange) logEnd(started time.Time, res result, failure *verdict.Error) {
	whole := failure == nil && res.status < http.StatusInternalServerError
	if whole && !event.Sampled(x.request) {
		return
	}
	leftOut, ok := x.guard.requestLogLimiter.Allow(time.Now())
	if !ok {
		return
	}
	outcome := "whole answer"
	if failure != nil {
		outcome = string(failure.Reason) + " " + failure.Verdict.String() + ": " + failure.Detail
	}
	load := x.inst.load()
	event.Log(x.guard.log, event.RequestEnded, slog.String("request", x.request), slog.String("instance", x.inst.name),
		slog.String("service", x.inst.service), slog.String("outcome", outcome), slog.Int("status", res.status),
		slog.Int64("queuedMS", started.Sub(x.arrived).Milliseconds()), slog.Int64("ms", time.Since(started).Milliseconds()),
		slog.Bool("heldAgainstIt", res.failed && !res.excused), slog.Bool("excusedByCall", res.excused),
		slog.Float64("sick", load.FailureProbability()), slog.Int("running", int(load.Running)), slog.Int("queued", int(load.Queued)),
		slog.Uint64("linesLeftOut", leftOut))
}

// logRefusal logs a request that got no slot or was cancelled before it ran.
func (x *exchange) logRefusal(e *verdict.Error) {
	leftOut, ok := x.guard.requestLogLimiter.Allow(time.Now())
	if !ok {
		return
	}
	load := msg.Load{}
	if x.inst != nil {
		load = x.inst.load()
	}
	event.Log(x.guard.log, event.RequestRefused, slog.String("request", x.request), slog.String("instance", x.instance),
		slog.String("service", x.service), slog.String("reason", string(e.Reason)), slog.Int64("retryAfterMS", e.RetryAfterMS),
		slog.Int64("waitedMS", time.Since(x.arrived).Milliseconds()), slog.Int64("deadlineMS", time.Until(x.deadline).Milliseconds()),
		slog.Int("running", int(load.Running)), slog.Int("queued", int(load.Queued)), slog.Int("slots", int(load.Slots)),
		slog.Uint64("linesLeftOut", leftOut))
}

// logEstimateChange logs a change of the published failure estimate of an instance.
func (i *instance) logEstimateChange(previous float64, now msg.Load) {
	event.Log(i.guard.log, event.InstanceEstimateChanged, slog.String("instance", i.name), slog.String("service", i.service),
		slog.Float64("was", previous/msg.Thousandths), slog.Float64("sick", now.FailureProbability()))
}

// logStopped logs a request that is blocked from now on.
func (g *Guard) logStopped(p crash.Fingerprint) {
	v := g.CrashAssessment(p)
	event.Log(g.log, event.RequestStopped, slog.String("print", p.String()), slog.Int("ends", v.Crashes), slog.Time("until", v.BlockedUntil))
}
