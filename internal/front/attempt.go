package front

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/radishhoist/radishhoist/internal/core/once"
	"github.com/radishhoist/radishhoist/internal/msg"
	"github.com/radishhoist/radishhoist/internal/wire"
	"github.com/radishhoist/radishhoist/verdict"
)

// outcome is the result of one attempt.
type outcome struct {
	target *target
	// fail is nil if response holds a complete response, or a streamed one that is still
	// being received.
	fail     *verdict.Error
	response *response
	load     msg.Load
	// targetObserved reports that the target itself succeeded or failed, so that
	// serviceTime and failed are valid observations of it.
	targetObserved bool
	failed         bool
	serviceTime    time.Duration
	// unfinished is the attempt if it goes on because its host sends no frames; fail then
	// states what is known so far.
	unfinished *attempt
	// resumed reports that it is the outcome of an attempt that was unfinished before. Its
	// times include a pause of the host.
	resumed bool
}

// attempt is one attempt in progress.
type attempt struct {
	front   *Front
	req     *request
	target  *target
	sample  msg.Sample
	claim   *claimTask
	epoch   uint64
	shard   uint32
	options attemptOptions

	state     once.Attempt
	stream    wire.Stream
	conn      *wire.Conn
	startedAt time.Time
	response  *response
	// frameCheckAt is the next time to check whether the host has sent a frame.
	frameCheckAt time.Time
	// frameChecks counts the frame checks. It is maxFrameChecks once no more are needed.
	frameChecks int
	// resumed reports that the attempt goes on at a host that has sent no frames.
	resumed bool
}

// attemptOptions are the options that one attempt passes to the guard.
type attemptOptions struct {
	// allowLate asks for a place in the queue even if the response will miss the objective.
	allowLate bool
	// usesRetryBudget says that the request may have reached an instance before, so that the
	// attempt draws on the retry budget. hedge says that it is made beside another attempt
	// because that one takes long.
	usesRetryBudget, hedge bool
}

// claimTask is a claim in progress at the key's owner. claimResult is valid once done is
// closed.
type claimTask struct {
	done        chan struct{}
	claimResult ClaimResult
}

const (
	// frameTimeout is how long a host may send no frame before it is pinged, and then how
	// long it has to reply to the ping before its path is excluded. A frame is any
	// message on the connection, of whichever request, or the reply to a ping.
	frameTimeout = 150 * time.Millisecond
	// cancelTimeout bounds the sending of Cancel.
	cancelTimeout = time.Second
)

// runAttempt makes one attempt at a target and waits for its result.
func (f *Front) runAttempt(ctx context.Context, req *request, p pick, claim *claimTask) *outcome {
	a := &attempt{front: f, req: req, target: p.target, sample: p.sample, options: p.options, claim: claim}
	o := a.run(ctx)
	o.target = p.target
	req.state.release(p.target)
	return o
}

func (a *attempt) run(ctx context.Context) *outcome {
	stream, conn, err := a.front.open(ctx, a.target.Host)
	if err != nil {
		a.front.paths.recordMiss(time.Now(), a.target.Host.Name)
		return &outcome{fail: verdict.New(verdict.NotRun, verdict.ReasonLinkLost, err.Error())}
	}
	a.stream, a.conn, a.startedAt = stream, conn, time.Now()
	if o := a.proceed(ctx, a.state.Begin(a.req.idempotent, a.claim != nil)); o != nil {
		return o
	}
	return a.receive(ctx)
}

// proceed sends the message that the state machine asks for. It returns an outcome if the
// attempt is over. If the guard has already closed the stream, its earlier messages are
// still received: a guard may refuse a request before the body is sent, and the verdict
// that the request did not run must not be lost.
func (a *attempt) proceed(ctx context.Context, s once.Action) *outcome {
	err := a.send(ctx, s)
	if err == nil || errors.Is(err, wire.ErrClosed) {
		return nil
	}
	return a.abort(err)
}

// receive handles the guard's messages until the attempt is over.
func (a *attempt) receive(ctx context.Context) *outcome {
	a.frameCheckAt = a.startedAt.Add(frameTimeout)
	for {
		m, err := a.nextMessage(ctx)
		switch {
		case err == nil:
			if o := a.handle(ctx, m); o != nil {
				return o
			}
		case errors.Is(err, errWakeup):
			if o := a.handleWakeup(ctx); o != nil {
				return o
			}
		default:
			return a.abort(err)
		}
	}
}

// maxStatus is the greatest status of a response.
const maxStatus = 599

// errWakeup is returned by nextMessage when the claim has finished or a frame check is due
// and no message has arrived.
var errWakeup = errors.New("woken")

// nextMessage waits for a message, the claim's result or the next frame check.
func (a *attempt) nextMessage(ctx context.Context) (msg.Message, error) {
	if a.frameChecks == maxFrameChecks && a.claim == nil {
		return a.stream.Recv(ctx)
	}
	wait, cancel := context.WithCancel(ctx)
	if a.frameChecks != maxFrameChecks {
		wait, cancel = context.WithDeadline(ctx, a.frameCheckAt)
	}
	defer cancel()
	if a.claim != nil {
		// The goroutine may outlive this call, and a.claim is set to nil after it.
		done := a.claim.done
		go func() {
			select {
			case <-done:
				cancel()
			case <-wait.Done():
			}
		}()
	}
	m, err := a.stream.Recv(wait)
	if err != nil && wait.Err() != nil && ctx.Err() == nil {
		return nil, errWakeup
	}
	return m, err
}

// maxFrameChecks is the number of frame checks: after the first the host is pinged, after
// the second its path counts as broken.
const maxFrameChecks = 2

// handleWakeup handles a finished claim or a due frame check.
func (a *attempt) handleWakeup(ctx context.Context) *outcome {
	if a.claim != nil {
		select {
		case <-a.claim.done:
			claimResult := a.claim.claimResult
			a.claim = nil
			return a.handleClaim(ctx, claimResult)
		default:
		}
	}
	if a.frameChecks == maxFrameChecks || time.Now().Before(a.frameCheckAt) {
		return nil
	}
	a.frameChecks++
	a.frameCheckAt = time.Now().Add(frameTimeout)
	if a.frameReceived() {
		a.frameChecks = maxFrameChecks
		return nil
	}
	if a.frameChecks < maxFrameChecks {
		a.conn.Ping()
		return nil
	}
	a.front.paths.recordMiss(time.Now(), a.target.Host.Name)
	// Send the next request over a new connection, because this one may deliver no more
	// frames.
	a.conn.MarkSuspect()
	switch {
	case a.state.Phase() == once.Reserving:
		return a.abort(errNoFrame)
	case a.req.idempotent:
		return &outcome{fail: verdict.New(verdict.MayHaveRun, verdict.ReasonLinkLost, errNoFrame.Error()), unfinished: a}
	}
	return nil
}

var errNoFrame = errors.New("no frame received from the host")

// frameReceived reports whether the host has sent any frame since the attempt began.
func (a *attempt) frameReceived() bool { return a.conn == nil || a.conn.LastRead().After(a.startedAt) }

// handle processes one message. It returns an outcome if the attempt is over.
func (a *attempt) handle(ctx context.Context, m msg.Message) *outcome {
	switch m := m.(type) {
	case *msg.Grant:
		return a.proceed(ctx, a.state.HandleGrant())
	case *msg.Head:
		if m.RequestID != a.req.id {
			return a.rejectResponse(verdict.ReasonResponseMismatch, "the response carries the id of another request")
		}
		if m.Status < http.StatusOK || m.Status > maxStatus {
			return a.rejectResponse(verdict.ReasonTargetBroke, "the response has an invalid status")
		}
		a.state.HandleResponseStart()
		if a.front.statesLeaving(m) {
			a.req.state.recordLeaving(time.Now(), a.target)
		}
		a.response = newResponse(a, m)
	case *msg.Data:
		return a.handleData(m)
	case *msg.End:
		return a.handleEnd(m)
	case *msg.Fail:
		return a.handleFail(m)
	}
	return nil
}

// handleClaim processes the key owner's reply to the claim.
func (a *attempt) handleClaim(ctx context.Context, k ClaimResult) *outcome {
	if k.Outcome != once.ClaimRun {
		o := a.abort(nil)
		o.fail = claimFailure(k)
		return o
	}
	a.epoch, a.shard = k.Epoch, k.Shard
	return a.proceed(ctx, a.state.HandleClaimAccepted())
}

func (a *attempt) handleData(m *msg.Data) *outcome {
	if a.response == nil {
		return a.rejectResponse(verdict.ReasonTargetBroke, "response body received before the response header")
	}
	if a.response.add(m.Bytes) && len(a.response.buffered) <= a.req.service.Record.ResponseBufferBytes() {
		return nil
	}
	// Too large to buffer, or no memory is left for that: stream it to the caller.
	if !a.req.hold(streamedResponseBytes) {
		return a.responseRefused()
	}
	a.response.streaming = true
	return &outcome{response: a.response}
}

func (a *attempt) handleEnd(m *msg.End) *outcome {
	if a.response == nil {
		return a.rejectResponse(verdict.ReasonTargetBroke, "response ended before the response header was received")
	}
	if !a.response.complete(m) {
		return a.rejectResponse(verdict.ReasonTargetBroke, "the response does not match its length or hash")
	}
	a.state.HandleResponseEnd(true)
	a.stream.Close()
	o := &outcome{response: a.response, load: m.Load, targetObserved: true}
	o.serviceTime = time.Duration(m.ServiceUS) * time.Microsecond
	o.failed = retryableStatus(a.response.head.Status)
	queue := time.Duration(m.QueueUS) * time.Microsecond
	roundTrip := time.Since(a.startedAt) - o.serviceTime - queue
	if a.resumed {
		roundTrip = 0 // it includes the pause of the host
	}
	a.front.paths.recordReply(a.target.Host.Name, roundTrip)
	return o
}

func (a *attempt) handleFail(m *msg.Fail) *outcome {
	a.state.HandleFailure(m.Verdict)
	a.stream.Close()
	a.front.paths.recordReply(a.target.Host.Name, 0)
	fail := verdict.New(a.state.Verdict(), m.Reason, m.Detail)
	fail.RetryAfterMS = int64(m.RetryAfterMS)
	o := &outcome{fail: fail, load: m.Load}
	switch m.Reason {
	case verdict.ReasonTargetDown, verdict.ReasonTargetBroke, verdict.ReasonTargetCrashed, verdict.ReasonResponseMismatch:
		o.targetObserved, o.failed = true, true
	}
	return o
}

// rejectResponse ends the attempt because of an invalid response.
func (a *attempt) rejectResponse(reason verdict.Reason, detail string) *outcome {
	o := a.abort(nil)
	o.fail = verdict.New(verdict.Ran, reason, detail)
	o.targetObserved, o.failed = true, true
	return o
}

// responseRefused ends the attempt because there is no memory to receive its response.
func (a *attempt) responseRefused() *outcome {
	a.front.memory.refused.Inc()
	o := a.abort(nil)
	o.fail = verdict.New(verdict.Ran, verdict.ReasonMemory, "this host has no memory left for the response")
	return o
}

// abort ends the attempt from this side, and sends Cancel if the guard may still be working
// on it.
func (a *attempt) abort(cause error) *outcome {
	action := a.state.Abort()
	if action == once.SendCancel {
		ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
		defer cancel()
		_ = a.stream.Send(ctx, &msg.Cancel{})
	}
	a.stream.Close()
	reason, detail := verdict.ReasonLinkLost, ""
	switch {
	case errors.Is(cause, context.DeadlineExceeded):
		reason = verdict.ReasonDeadline
	case errors.Is(cause, context.Canceled):
		reason = verdict.ReasonCancelled
	case cause != nil:
		detail = cause.Error()
	}
	return &outcome{fail: verdict.New(a.state.Verdict(), reason, detail)}
}
