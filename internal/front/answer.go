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

// answer is a target's answer: whole and kept, or open, which means that it
// is too large to keep and goes to the caller as it comes.
type answer struct {
	try    *try
	head   *msg.Head
	kept   []byte
	length uint64
	hash   *xxhash.Digest
	open   bool
	// cancel ends the attempt's context, for an open answer.
	cancel context.CancelFunc
}

func newAnswer(y *try, head *msg.Head) *answer {
	a := &answer{try: y, head: head, hash: xxhash.New()}
	if head.Length > 0 {
		a.kept = make([]byte, 0, min(head.Length, int64(y.req.service.Record.AnswerBuffer())))
	}
	return a
}

func (a *answer) add(b []byte) {
	_, _ = a.hash.Write(b)
	a.length += uint64(len(b))
	a.kept = append(a.kept, b...)
}

// whole checks the answer against its end and its declared length.
func (a *answer) whole(end *msg.End) bool {
	if end.Length != a.length || end.Hash != a.hash.Sum64() {
		return false
	}
	return a.head.Length < 0 || a.bodiless() || uint64(a.head.Length) == a.length
}

// bodiless says that the declared length describes a body that is not sent.
func (a *answer) bodiless() bool {
	return a.try.req.http.Method == http.MethodHead || a.head.Status == http.StatusNotModified
}

// finish writes the answer to the caller. Once a byte is out, a failure can
// only be shown by aborting the connection, so that a short answer never
// looks whole.
func (a *answer) finish(w http.ResponseWriter, req *request) *verdict.Error {
	h := w.Header()
	for _, f := range a.head.Header {
		if f.Name != header.RequestID {
			h.Add(f.Name, f.Value)
		}
	}
	if a.try != nil {
		h.Set(header.Target, a.try.target.Name)
	}
	h.Set(header.Attempts, strconv.Itoa(req.account.attempts))
	if !a.open && !a.hasLength() {
		h.Set("Content-Length", strconv.Itoa(len(a.kept)))
	}
	armWrite(w)
	w.WriteHeader(int(a.head.Status))
	if _, err := w.Write(a.kept); err != nil || !a.open {
		a.close()
		return nil
	}
	if fail := a.relay(w, req); fail != nil {
		event.Log(a.try.front.log, event.AnswerAborted, slog.String("request", req.id),
			slog.String("target", a.try.target.Name), slog.String("reason", string(fail.Reason)))
		a.try.front.counts.aborted.Inc()
		panic(http.ErrAbortHandler)
	}
	return nil
}

func (a *answer) hasLength() bool {
	return a.head.Length >= 0 || a.head.Status == http.StatusNoContent || a.head.Status == http.StatusNotModified
}

// relay passes the rest of an open answer on.
func (a *answer) relay(w http.ResponseWriter, req *request) *verdict.Error {
	defer a.close()
	ctx, cancel := context.WithDeadline(req.http.Context(), req.deadline)
	defer cancel()
	for {
		m, err := a.try.stream.Recv(ctx)
		if err != nil {
			return verdict.New(verdict.Ran, verdict.ReasonLinkLost, err.Error())
		}
		switch m := m.(type) {
		case *msg.Data:
			_, _ = a.hash.Write(m.Bytes)
			a.length += uint64(len(m.Bytes))
			armWrite(w)
			if _, err := w.Write(m.Bytes); err != nil {
				return verdict.New(verdict.Ran, verdict.ReasonCancelled, err.Error())
			}
		case *msg.End:
			if !a.whole(m) {
				return verdict.New(verdict.Ran, verdict.ReasonTargetBroke, "the answer arrived damaged")
			}
			a.try.state.HandleResponseEnd(true)
			return nil
		case *msg.Fail:
			return verdict.New(verdict.Ran, m.Reason, m.Detail)
		}
	}
}

// slowCaller bounds one write to a caller that does not read.
const slowCaller = 30 * time.Second

// armWrite bounds the next writes to a caller. It is set anew for every answer,
// because a deadline outlives the answer it was set for.
func armWrite(w http.ResponseWriter) {
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(slowCaller))
}

// close tells the guard where the answer is not wanted any more.
func (a *answer) close() {
	if a.try == nil || !a.open {
		return
	}
	a.try.giveUp(nil)
	if a.cancel != nil {
		a.cancel()
	}
}
