package guard

import (
	"context"
	"log/slog"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"github.com/radishhoist/radishhoist/internal/core/header"
	"github.com/radishhoist/radishhoist/internal/event"
	"github.com/radishhoist/radishhoist/internal/msg"
	"github.com/radishhoist/radishhoist/internal/targetconn"
	"github.com/radishhoist/radishhoist/internal/wire"
	"github.com/radishhoist/radishhoist/verdict"
)

// call forwards the request to the instance and relays the response. The request must hold
// a slot, which call releases. A request that was blocked while it was queued, because it is
// suspected of crashing instances, is refused.
func (x *exchange) call(m *msg.Run) {
	if e := x.checkBlocked(); e != nil {
		x.inst.finish(time.Now(), x.queueID, result{shed: true})
		x.refuse(e)
		return
	}
	ctx, cancel := context.WithDeadlineCause(x.ctx, x.deadline, errDeadline)
	defer cancel()
	ctx, abort := context.WithCancelCause(ctx)
	defer abort(nil)
	defer context.AfterFunc(x.inst.processCtx, cancel)()
	if m.Idempotent {
		// A request that is not idempotent continues when the front is gone: aborting it midway
		// is worse than a response that nobody receives. If its body is incomplete, bodyReader
		// aborts it.
		defer context.AfterFunc(x.frontCtx, cancel)()
	}
	started := time.Now()
	x.inst.start(started, x.waiter, m, abort)
	run := x.guard.retryBudgets.begin(started, x.inst.service, x.retryReserved, m.Idempotent, x.hints)
	if !x.retryReserved {
		// A request without a reservation in the retry budget is a first attempt. An
		// instance that is running a retry may still have sent it, as a nested request.
		// run.retryFraction is the estimated probability of that, in thousandths, and
		// the request counts as that fraction of a retry.
		x.nestedRetryChance = run.retryFraction
	}
	x.retryReserved = false // begin has used the reservation
	defer x.guard.retryBudgets.end(run)
	x.guard.beginTeamRun(m.Class)
	defer x.guard.endTeamRun(m.Class)
	res, failure := x.exchangeHTTP(ctx, m, started)
	res.serviceTime = time.Since(started)
	if failure != nil && ctx.Err() != nil {
		res.failed, res.aborted = false, true
	}
	if failure != nil {
		// Without a failure, relayBody has recorded the outcome. It has done so too if
		// only the last Send failed; the request is then also recorded as aborted.
		x.inst.recordOutcome(time.Now(), res)
	}
	switch {
	case failure == nil || ctx.Err() == nil:
	case errors.Is(context.Cause(ctx), errDeadline):
		failure = verdict.New(failure.Verdict, verdict.ReasonDeadline, "the target did not respond within the deadline")
	case stallFailure(ctx, failure) != nil:
		failure = stallFailure(ctx, failure)
	case x.inst.processCtx.Err() != nil:
		failure = verdict.New(failure.Verdict, verdict.ReasonTargetBroke, "the target restarted; requests it was running are lost")
	}
	if failure != nil && failure.Verdict == verdict.NotRun {
		x.inst.markNotRun(x.waiter)
	}
	if mayHaveTerminated(failure) && x.inst.checkTerminated() && failure.Verdict != verdict.NotRun {
		failure = verdict.New(failure.Verdict, verdict.ReasonTargetCrashed, "the target terminated before it responded")
	}
	x.logEnd(started, res, failure)
	x.guard.counts.ended(started.Sub(x.arrived), res)
	x.inst.finish(time.Now(), x.queueID, res)
	if failure != nil {
		x.fail(failure)
	}
}

// mayHaveTerminated reports whether the failure may be due to the target's termination.
// It also returns true for some complete but unacceptable responses, which have the same
// reason, see classifyResponse.
func mayHaveTerminated(failure *verdict.Error) bool {
	return failure != nil && (failure.Reason == verdict.ReasonTargetBroke || failure.Reason == verdict.ReasonTargetDown)
}

// errDeadline is the cause with which a call's context is cancelled at the request's
// deadline.
var errDeadline = errors.New("deadline")

// exchangeHTTP sends the request to the instance and relays its response. The End
// message is sent only after the complete response has arrived.
func (x *exchange) exchangeHTTP(ctx context.Context, m *msg.Run, started time.Time) (result, *verdict.Error) {
	resp, err := x.inst.client.Do(ctx, x.buildRequest(m))
	if err != nil {
		x.reportPanic(err)
		failure := callVerdict(err)
		if cause := x.bodyFailure(); cause != nil {
			return result{aborted: true}, verdict.New(failure.Verdict, verdict.ReasonCancelled, cause.Error())
		}
		return result{failed: true}, failure
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.Status != http.StatusMisdirectedRequest {
		x.inst.observeRateLimit(time.Now(), started, resp.Header)
		x.inst.observeLeaving(resp.Header)
	}
	res, failure := classifyResponse(resp, m, x.guard.cfg.Dialect)
	res.status = resp.Status
	if resp.Status == http.StatusMisdirectedRequest && failure != nil {
		x.guard.removeMisdirected(x.inst.name)
	}
	if failure != nil {
		return res, failure
	}
	// If a request that originated on this host has just failed, the instance may have
	// sent it, and have failed only because of that.
	res.excused = res.failed && x.guard.failedCalls.excuse(time.Now())
	head := &msg.Head{
		RequestID: m.RequestID, Status: uint16(resp.Status),
		Header: header.ToFields(resp.Header), Length: resp.Length,
	}
	if failure := x.relayBody(ctx, resp, head, res, started); failure != nil {
		if cause := x.bodyFailure(); cause != nil {
			return result{status: resp.Status, aborted: true}, verdict.New(failure.Verdict, verdict.ReasonCancelled, cause.Error())
		}
		return result{status: resp.Status, failed: failure.Reason == verdict.ReasonTargetBroke, aborted: failure.Reason == verdict.ReasonLinkLost}, failure
	}
	return res, nil
}

// micros converts a duration to whole microseconds, at most the maximum of a uint32.
func micros(d time.Duration) uint32 { return uint32(min(d.Microseconds(), 1<<32-1)) }

// relayBody sends the response: the head together with the first chunk, and with the
// last chunk the End message that confirms completeness. A response of one chunk is sent
// in one go.
func (x *exchange) relayBody(ctx context.Context, resp *targetconn.Response, head *msg.Head, res result, started time.Time) *verdict.Error {
	hash := xxhash.New()
	end := &msg.End{}
	unsent := []msg.Message{head}
	for {
		chunk, last, err := resp.ReadChunk(wire.ChunkSize)
		if err != nil {
			x.reportPanic(err)
			return truncatedBody()
		}
		if len(chunk) > 0 {
			_, _ = hash.Write(chunk)
			end.Length += uint64(len(chunk))
			unsent = append(unsent, &msg.Data{Bytes: chunk})
		}
		if last {
			end.Hash = hash.Sum64()
			end.ServiceUS = micros(time.Since(started))
			end.QueueUS = micros(started.Sub(x.arrived))
			// Record the outcome first, so that the load sent with the response
			// includes it, and the front cannot send a request that crashes the
			// instance before this one counts as completed.
			x.inst.recordOutcome(time.Now(), res)
			if res.status < http.StatusBadRequest {
				x.completed()
			}
			end.Load = x.load()
			unsent = append(unsent, end)
		}
		x.inst.beginCallerWait(x.waiter, errReaderStalled)
		err = x.stream.Send(ctx, unsent...)
		x.inst.endCallerWait(x.waiter)
		if err != nil {
			return verdict.New(verdict.Ran, verdict.ReasonLinkLost, err.Error())
		}
		if last {
			return nil
		}
		unsent = unsent[:0]
	}
}

func truncatedBody() *verdict.Error {
	return verdict.New(verdict.Ran, verdict.ReasonTargetBroke, "the target's response body was truncated")
}

// reportPanic logs and counts the error if it is a panic in the handling of the response.
func (x *exchange) reportPanic(err error) {
	var p *targetconn.PanicError
	if !errors.As(err, &p) {
		return
	}
	x.guard.counts.responsePanics.Inc()
	event.Log(x.guard.log, event.ResponsePanic, slog.String("request", x.requestID), slog.String("service", x.service),
		slog.String("instance", x.instanceName), slog.String("cause", p.Error()), slog.String("stack", string(p.Stack)))
}

// buildRequest builds the request to the target: the caller's request, with the request
// ID, the remaining time and the name of the intended instance added.
func (x *exchange) buildRequest(m *msg.Run) *targetconn.Request {
	d := x.guard.cfg.Dialect
	req := &targetconn.Request{
		ID: m.RequestID, Method: m.Method, URI: m.URI, Host: m.Host,
		Header: header.FromFields(m.Header), Length: m.BodyLength,
	}
	req.Header.Set(header.RequestID, m.RequestID)
	timeLeft := time.Until(x.deadline).Milliseconds()
	set(req.Header, d.Timeout, strconv.FormatInt(max(timeLeft, 1), 10))
	set(req.Header, d.ExpectedInstance, x.inst.name)
	if m.BodyLength != 0 {
		req.Body = newBodyReader(x)
	}
	return req
}

// set sets a header whose name comes from the dialect, the header names configured for the
// deployment. An empty name means that the deployment does not use the header.
func set(h http.Header, name, value string) {
	if name != "" {
		h.Set(name, value)
	}
}
