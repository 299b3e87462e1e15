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

// response is a target's response. It is buffered completely, or, if it is too large to
// buffer, streamed to the caller as it arrives.
type response struct {
	attempt   *attempt
	head      *msg.Head
	buffered  []byte
	length    uint64
	hash      *xxhash.Digest
	streaming bool
	// cancel ends the attempt's context. It is set for a streamed response only.
	cancel context.CancelFunc
}

func newResponse(att *attempt, head *msg.Head) *response {
	resp := &response{attempt: att, head: head, hash: xxhash.New()}
	if head.Length > 0 {
		resp.buffered = make([]byte, 0, min(head.Length, int64(att.req.service.Record.ResponseBufferBytes())))
	}
	return resp
}

func (resp *response) add(b []byte) {
	_, _ = resp.hash.Write(b)
	resp.length += uint64(len(b))
	resp.buffered = append(resp.buffered, b...)
}

// complete checks the received body against the length and hash in end and against the
// declared length.
func (resp *response) complete(end *msg.End) bool {
	if end.Length != resp.length || end.Hash != resp.hash.Sum64() {
		return false
	}
	return resp.head.Length < 0 || resp.omitsBody() || uint64(resp.head.Length) == resp.length
}

// omitsBody reports whether the declared length describes a body that is not sent.
func (resp *response) omitsBody() bool {
	return resp.attempt.req.http.Method == http.MethodHead || resp.head.Status == http.StatusNotModified
}

// writeTo writes the response to the caller. Once a byte has been written, a failure can
// only be signalled by aborting the connection, so that the caller never takes a truncated
// response for a complete one.
func (resp *response) writeTo(w http.ResponseWriter, req *request) *verdict.Error {
	h := w.Header()
	for _, f := range resp.head.Header {
		if f.Name != header.RequestID {
			h.Add(f.Name, f.Value)
		}
	}
	if resp.attempt != nil {
		h.Set(header.Target, resp.attempt.target.Name)
	}
	h.Set(header.Attempts, strconv.Itoa(req.summary.attempts))
	if !resp.streaming && !resp.hasLength() {
		h.Set("Content-Length", strconv.Itoa(len(resp.buffered)))
	}
	if req.uploading() {
		endBody(w, req)
	}
	setWriteDeadline(w)
	w.WriteHeader(int(resp.head.Status))
	if _, err := w.Write(resp.buffered); err != nil || !resp.streaming {
		resp.close()
		return nil
	}
	if fail := resp.relay(w, req); fail != nil {
		event.Log(resp.attempt.front.log, event.ResponseAborted, slog.String("request", req.id),
			slog.String("target", resp.attempt.target.Name), slog.String("reason", string(fail.Reason)))
		resp.attempt.front.counts.aborted.Inc()
		panic(http.ErrAbortHandler)
	}
	return nil
}

func (resp *response) hasLength() bool {
	return resp.head.Length >= 0 || resp.head.Status == http.StatusNoContent || resp.head.Status == http.StatusNotModified
}

// relay streams the rest of the response to the caller.
func (resp *response) relay(w http.ResponseWriter, req *request) *verdict.Error {
	defer resp.close()
	buffered := resp.length
	defer func() { resp.attempt.front.cfg.areas.recordBytes(resp.attempt.target, 0, int64(resp.length-buffered)) }()
	ctx, cancel := context.WithDeadline(req.http.Context(), req.deadline)
	defer cancel()
	for {
		m, err := resp.attempt.stream.Recv(ctx)
		if err != nil {
			return verdict.New(verdict.Ran, verdict.ReasonLinkLost, err.Error())
		}
		switch m := m.(type) {
		case *msg.Data:
			_, _ = resp.hash.Write(m.Bytes)
			resp.length += uint64(len(m.Bytes))
			setWriteDeadline(w)
			if _, err := w.Write(m.Bytes); err != nil {
				return verdict.New(verdict.Ran, verdict.ReasonCancelled, err.Error())
			}
		case *msg.End:
			if !resp.complete(m) {
				return verdict.New(verdict.Ran, verdict.ReasonTargetBroke, "the response does not match its length or hash")
			}
			resp.attempt.state.HandleResponseEnd(true)
			return nil
		case *msg.Fail:
			return verdict.New(verdict.Ran, m.Reason, m.Detail)
		}
	}
}

// callerWriteTimeout bounds one write to a caller that does not read.
const callerWriteTimeout = 30 * time.Second

// setWriteDeadline bounds the next writes to a caller. It is set again for every response,
// because the deadline stays on the connection after the response it was set for.
func setWriteDeadline(w http.ResponseWriter) {
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(callerWriteTimeout))
}

// close cancels a streamed response at the guard. It does nothing for a buffered one.
func (resp *response) close() {
	if resp.attempt == nil || !resp.streaming {
		return
	}
	resp.attempt.abort(nil)
	if resp.cancel != nil {
		resp.cancel()
	}
}
