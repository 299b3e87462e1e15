package front

import (
	"context"
	"log/slog"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/radishhoist/radishhoist/internal/core/header"
	"github.com/radishhoist/radishhoist/internal/core/membudget"
	"github.com/radishhoist/radishhoist/internal/event"
	"github.com/radishhoist/radishhoist/internal/msg"
	"github.com/radishhoist/radishhoist/internal/wire"
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
	return &response{attempt: att, head: head, hash: xxhash.New()}
}

const (
	// uncountedResponseBytes is the part of the buffer for a response that is not counted
	// towards the memory for requests: most responses need no more.
	uncountedResponseBytes = 4 << 10
	// firstResponseBytes is the size from which the buffer for a response grows, by
	// responseGrowthFactor each time.
	firstResponseBytes   = 32 << 10
	responseGrowthFactor = 4
	// streamedResponseBytes is what a response that is streamed holds beside its buffer: a
	// full stream window and the chunk in progress.
	streamedResponseBytes = wire.StreamWindowBytes + wire.ChunkSize
)

// add appends a part of the body. It returns false if there is no memory to buffer more; the
// part itself is kept.
func (resp *response) add(b []byte) (buffered bool) {
	_, _ = resp.hash.Write(b)
	resp.length += uint64(len(b))
	buffered = resp.grow(len(resp.buffered) + len(b))
	resp.buffered = append(resp.buffered, b...)
	return buffered
}

// grow makes room for n bytes in the buffer, which needs no more than the declared length.
func (resp *response) grow(n int) bool {
	if n <= cap(resp.buffered) {
		return true
	}
	most := int64(resp.attempt.req.service.Record.ResponseBufferBytes() + wire.ChunkSize)
	if resp.head.Length >= 0 {
		most = min(most, resp.head.Length)
	}
	capacity := max(min(max(responseGrowthFactor*int64(cap(resp.buffered)), firstResponseBytes), most), int64(n))
	counted := max(capacity-uncountedResponseBytes, 0) - max(int64(cap(resp.buffered))-uncountedResponseBytes, 0)
	if !resp.attempt.req.hold(counted) {
		return false
	}
	grown := make([]byte, len(resp.buffered), capacity)
	copy(grown, resp.buffered)
	resp.buffered = grown
	return true
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
		discardBody(w, req)
	}
	setWriteDeadline(w)
	w.WriteHeader(int(resp.head.Status))
	if _, err := writeToCaller(w, req, resp.buffered); err != nil || !resp.streaming {
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
			if _, err := writeToCaller(w, req, m.Bytes); err != nil {
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

// writeToCaller writes a part of the body, which may have to wait for the caller to read.
func writeToCaller(w http.ResponseWriter, req *request, p []byte) (int, error) {
	if len(p) < uncountedResponseBytes {
		return w.Write(p)
	}
	conn := connOf(req.http)
	conn.startWait(membudget.ForReader)
	n, err := w.Write(p)
	conn.endWait(n)
	return n, err
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
