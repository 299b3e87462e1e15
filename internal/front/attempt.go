package front

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/radishhoist/radishhoist/internal/core/once"
	"github.com/radishhoist/radishhoist/internal/msg"
	"github.com/radishhoist/radishhoist/internal/wire"
	"github.com/radishhoist/radishhoist/verdict"
)

// outcome is how one attempt ended.
type outcome struct {
	target *target
	// fail is nil where answer holds a whole answer, or one too large to keep
	// that is still under way.
	fail   *verdict.Error
	answer *answer
	load   msg.Load
	// judged says that the target's own behaviour was seen: serviceTime and
	// failed are worth passing on.
	judged      bool
	failed      bool
	serviceTime time.Duration
}

// try is one attempt under way.
type try struct {
	front  *Front
	req    *request
	target *target
	sample msg.Sample
	claim  *claimTask
	epoch  uint64
	shard  uint32
	as     sending

	state  once.Attempt
	stream wire.Stream
	conn   *wire.Conn
	sent   time.Time
	answer *answer
	// quietAt is when the host's silence is looked at next.
	quietAt     time.Time
	quietChecks int
}

// sending is what one attempt asks of the guard besides its work.
type sending struct {
	// insist asks for a place in the queue also where the answer will be late.
	insist bool
	// repeat says that the request may have arrived at an instance before, and
	// hedge that it is under way at one.
	repeat, hedge bool
}

// claimTask is a claim under way at the key's owner; answer is set once done
// is closed.
type claimTask struct {
	done   chan struct{}
	answer ClaimResult
}

const (
	// silence is how long a host may send no frame at all before it is asked
	// for a sign of life, and then again before its path counts as cut.
	silence = 150 * time.Millisecond
	// cancelTimeout bounds the sending of Cancel.
	cancelTimeout = time.Second
)

// attempt makes one attempt at a target and waits for its end.
func (f *Front) attempt(ctx context.Context, req *request, p pick, claim *claimTask) *outcome {
	y := &try{front: f, req: req, target: p.target, sample: p.sample, as: p.as, claim: claim}
	o := y.run(ctx)
	o.target = p.target
	req.state.release(p.target)
	return o
}

func (y *try) run(ctx context.Context) *outcome {
	stream, conn, err := y.front.open(ctx, y.target.Host)
	if err != nil {
		y.front.paths.missed(time.Now(), y.target.Host.Name)
		return &outcome{fail: verdict.New(verdict.NotRun, verdict.ReasonLinkLost, err.Error())}
	}
	y.stream, y.conn, y.sent = stream, conn, time.Now()
	if o := y.proceed(ctx, y.state.Begin(y.req.idempotent, y.claim != nil)); o != nil {
		return o
	}
	return y.receive(ctx)
}

// proceed sends what the state machine asks for; an outcome means that the
// attempt is over. Where the guard has closed its end meanwhile, what it said
// before is still to be received: it refuses a request before the body has gone
// out, and that the request has not run must not be lost.
func (y *try) proceed(ctx context.Context, s once.Action) *outcome {
	err := y.act(ctx, s)
	if err == nil || errors.Is(err, wire.ErrClosed) {
		return nil
	}
	return y.giveUp(err)
}

// receive takes the guard's messages until the attempt is over.
func (y *try) receive(ctx context.Context) *outcome {
	y.quietAt = y.sent.Add(silence)
	for {
		m, err := y.next(ctx)
		switch {
		case err == nil:
			if o := y.step(ctx, m); o != nil {
				return o
			}
		case errors.Is(err, errWoken):
			if o := y.woken(ctx); o != nil {
				return o
			}
		default:
			return y.giveUp(err)
		}
	}
}

// errWoken says that next returned for the claim or the quiet time, not for a
// message.
var errWoken = errors.New("woken")

// next waits for a message, the claim's result or the end of the quiet time.
func (y *try) next(ctx context.Context) (msg.Message, error) {
	if y.quietChecks == quietDone && y.claim == nil {
		return y.stream.Recv(ctx)
	}
	wait, cancel := context.WithCancel(ctx)
	if y.quietChecks != quietDone {
		wait, cancel = context.WithDeadline(ctx, y.quietAt)
	}
	defer cancel()
	if y.claim != nil {
		// This goroutine outlives the call; the claim is set to nil after it.
		claimed := y.claim.done
		go func() {
			select {
			case <-claimed:
				cancel()
			case <-wait.Done():
			}
		}()
	}
	m, err := y.stream.Recv(wait)
	if err != nil && wait.Err() != nil && ctx.Err() == nil {
		return nil, errWoken
	}
	return m, err
}

// quietDone is how many quiet times are watched: after the first the host is
// asked for a sign of life, after the second its path counts as cut.
const quietDone = 2

// woken looks at the claim and at the quiet time.
func (y *try) woken(ctx context.Context) *outcome {
	if y.claim != nil {
		select {
		case <-y.claim.done:
			answer := y.claim.answer
			y.claim = nil
			return y.claimed(ctx, answer)
		default:
		}
	}
	if y.quietChecks == quietDone || time.Now().Before(y.quietAt) {
		return nil
	}
	y.quietChecks++
	y.quietAt = time.Now().Add(silence)
	if y.heard() {
		y.quietChecks = quietDone
		return nil
	}
	if y.quietChecks < quietDone {
		y.conn.Ping()
		return nil
	}
	y.front.paths.missed(time.Now(), y.target.Host.Name)
	// The next request goes over a new connection: this one may be silent for good.
	y.conn.Doubt()
	if y.req.idempotent || y.state.Phase() == once.Reserving {
		return y.giveUp(errors.New("no frame comes from the host"))
	}
	return nil
}

// heard says that the host has sent some frame since the attempt began.
func (y *try) heard() bool { return y.conn == nil || y.conn.LastRead().After(y.sent) }

// step takes one message; an outcome means that the attempt is over.
func (y *try) step(ctx context.Context, m msg.Message) *outcome {
	switch m := m.(type) {
	case *msg.Grant:
		return y.proceed(ctx, y.state.HandleGrant())
	case *msg.Head:
		if m.RequestID != y.req.id {
			return y.broken(verdict.ReasonAnswerMismatch, "the answer is for another request")
		}
		y.state.HandleResponseStart()
		y.answer = newAnswer(y, m)
	case *msg.Data:
		return y.data(m)
	case *msg.End:
		return y.end(m)
	case *msg.Fail:
		return y.failed(m)
	}
	return nil
}

// claimed takes the key owner's word.
func (y *try) claimed(ctx context.Context, k ClaimResult) *outcome {
	if k.Outcome != once.ClaimRun {
		o := y.giveUp(nil)
		o.fail = keyFailure(k)
		return o
	}
	y.epoch, y.shard = k.Epoch, k.Shard
	return y.proceed(ctx, y.state.HandleClaimAccepted())
}

func (y *try) data(m *msg.Data) *outcome {
	if y.answer == nil {
		return y.broken(verdict.ReasonTargetBroke, "body before head")
	}
	y.answer.add(m.Bytes)
	if len(y.answer.kept) <= y.req.service.Record.AnswerBuffer() {
		return nil
	}
	// Too large to keep: the caller gets it as it comes.
	y.answer.open = true
	return &outcome{answer: y.answer}
}

func (y *try) end(m *msg.End) *outcome {
	if y.answer == nil {
		return y.broken(verdict.ReasonTargetBroke, "end before head")
	}
	if !y.answer.whole(m) {
		return y.broken(verdict.ReasonTargetBroke, "the answer arrived damaged")
	}
	y.state.HandleResponseEnd(true)
	y.stream.Close()
	o := &outcome{answer: y.answer, load: m.Load, judged: true}
	o.serviceTime = time.Duration(m.ServiceUS) * time.Microsecond
	o.failed = retriableStatus(y.answer.head.Status)
	queue := time.Duration(m.QueueUS) * time.Microsecond
	y.front.paths.heard(y.target.Host.Name, time.Since(y.sent)-o.serviceTime-queue)
	return o
}

func (y *try) failed(m *msg.Fail) *outcome {
	y.state.HandleFailure(m.Verdict)
	y.stream.Close()
	y.front.paths.heard(y.target.Host.Name, 0)
	fail := verdict.New(y.state.Verdict(), m.Reason, m.Detail)
	fail.RetryAfterMS = int64(m.RetryAfterMS)
	o := &outcome{fail: fail, load: m.Load}
	switch m.Reason {
	case verdict.ReasonTargetDown, verdict.ReasonTargetBroke, verdict.ReasonTargetEnded, verdict.ReasonAnswerMismatch:
		o.judged, o.failed = true, true
	}
	return o
}

// broken ends the attempt over an answer that cannot be used.
func (y *try) broken(reason verdict.Reason, detail string) *outcome {
	o := y.giveUp(nil)
	o.fail = verdict.New(verdict.Ran, reason, detail)
	o.judged, o.failed = true, true
	return o
}

// giveUp ends the attempt from this side and tells the guard.
func (y *try) giveUp(cause error) *outcome {
	send := y.state.Abort()
	if send == once.SendCancel {
		ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
		defer cancel()
		_ = y.stream.Send(ctx, &msg.Cancel{})
	}
	y.stream.Close()
	reason, detail := verdict.ReasonLinkLost, ""
	switch {
	case errors.Is(cause, context.DeadlineExceeded):
		reason = verdict.ReasonDeadline
	case errors.Is(cause, context.Canceled):
		reason = verdict.ReasonCancelled
	case cause != nil:
		detail = cause.Error()
	}
	return &outcome{fail: verdict.New(y.state.Verdict(), reason, detail)}
}
