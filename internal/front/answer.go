package front

import (
	"context"
	"log/slog"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/radishhoist/radishhoist/internal/core/header"
	"github.com/radishhoist/radishhoist/internal/event"
	"github.com/radishhoist/radishhoist/internal/msg"
	"github.com/radishhoist/radishhoist/verdict"
)

// answer is a target's answer. It is buffered as a whole, or, where it is too large to
// buffer, streamed to the caller as it arrives.
type answer struct {
	attempt   *attempt
	head      *msg.Head
	buffered  []byte
	length    uint64
	hash      *xxhash.Digest
	streaming bool
	// cancel ends the attempt's context. It is set for a streamed answer only.
	cancel context.CancelFunc
}

func newAnswer(att *attempt, head *msg.Head) *answer {
	ans := &answer{attempt: att, head: head, hash: xxhash.New()}
	if head.Length > 0 {
		ans.buffered = make([]byte, 0, min(head.Length, int64(att.req.service.Record.AnswerBufferBytes())))
	}
	return ans
}

func (ans *answer) add(b []byte) {
	_, _ = ans.hash.Write(b)
	ans.length += uint64(len(b))
	ans.buffered = append(ans.buffered, b...)
}

// complete checks the received body against the length and hash in end and against the
// declared length.
func (ans *answer) complete(end *msg.End) bool {
	if end.Length != ans.length || end.Hash != ans.hash.Sum64() {
		return false
	}
	return ans.head.Length < 0 || ans.omitsBody() || uint64(ans.head.Length) == ans.length
}

// omitsBody reports whether the declared length describes a body that is not sent.
func (ans *answer) omitsBody() bool {
	return ans.attempt.req.http.Method == http.MethodHead || ans.head.Status == http.StatusNotModified
}

// writeTo writes the answer to the caller. Once a byte has been written, a failure can only
// be signalled by aborting the connection, so that the caller never takes a truncated
// answer for a complete one.
func (ans *answer) writeTo(w http.ResponseWriter, req *request) *verdict.Error {
	h := w.Header()
	for _, f := range ans.head.Header {
		if f.Name != header.RequestID {
			h.Add(f.Name, f.Value)
		}
	}
	if ans.attempt != nil {
		h.Set(header.Target, ans.attempt.target.Name)
	}
	h.Set(header.Attempts, strconv.Itoa(req.summary.attempts))
	if !ans.streaming && !ans.hasLength() {
		h.Set("Content-Length", strconv.Itoa(len(ans.buffered)))
	}
	setWriteDeadline(w)
	w.WriteHeader(int(ans.head.Status))
	if _, err := w.Write(ans.buffered); err != nil || !ans.streaming {
		ans.close()
		return nil
	}
	if fail := ans.relay(w, req); fail != nil {
		event.Log(ans.attempt.front.log, event.AnswerAborted, slog.String("request", req.id),
			slog.String("target", ans.attempt.target.Name), slog.String("reason", string(fail.Reason)))
		ans.attempt.front.counts.aborted.Inc()
		panic(http.ErrAbortHandler)
	}
	return nil
}

func (ans *answer) hasLength() bool {
	return ans.head.Length >= 0 || ans.head.Status == http.StatusNoContent || ans.head.Status == http.StatusNotModified
}

// relay streams the rest of the answer to the caller.
func (ans *answer) relay(w http.ResponseWriter, req *request) *verdict.Error {
	defer ans.close()
	ctx, cancel := context.WithDeadline(req.http.Context(), req.deadline)
	defer cancel()
	for {
		m, err := ans.attempt.stream.Recv(ctx)
		if err != nil {
			return verdict.New(verdict.Ran, verdict.ReasonLinkLost, err.Error())
		}
		switch m := m.(type) {
		case *msg.Data:
			_, _ = ans.hash.Write(m.Bytes)
			ans.length += uint64(len(m.Bytes))
			setWriteDeadline(w)
			if _, err := w.Write(m.Bytes); err != nil {
				return verdict.New(verdict.Ran, verdict.ReasonCancelled, err.Error())
			}
		case *msg.End:
			if !ans.complete(m) {
				return verdict.New(verdict.Ran, verdict.ReasonTargetBroke, "the answer does not match its length or hash")
			}
			ans.attempt.state.HandleResponseEnd(true)
			return nil
		case *msg.Fail:
			return verdict.New(verdict.Ran, m.Reason, m.Detail)
		}
	}
}

// callerWriteTimeout bounds one write to a caller that does not read.
const callerWriteTimeout = 30 * time.Second

// setWriteDeadline bounds the next writes to a caller. It is set again for every answer,
// because the deadline stays on the connection after the answer it was set for.
func setWriteDeadline(w http.ResponseWriter) {
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(callerWriteTimeout))
}

// close cancels a streamed answer at the guard. It does nothing for a buffered one.
func (ans *answer) close() {
	if ans.attempt == nil || !ans.streaming {
		return
	}
	ans.attempt.abort(nil)
	if ans.cancel != nil {
		ans.cancel()
	}
}
