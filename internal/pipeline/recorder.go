package pipeline

import (
	"maps"
	"net"
	"net/http"
	"sync"
	"time"
)

// recorder is the ResponseWriter of a request that runs ahead of its turn. It records the
// response up to a bound; what exceeds it blocks until the turn. From then on, writes go to
// the writer of the connection.
type recorder struct {
	header http.Header
	bound  int

	mu sync.Mutex
	// changed is signalled when writer or err is set.
	changed *sync.Cond
	// status is 0 until the header is written, recorded the header at that time.
	status   int
	recorded http.Header
	body     []byte
	// flushHeader says that the header was flushed before any of the body, flush that
	// something was.
	flushHeader, flush bool
	// writeTimeout is the time from the handler's last SetWriteDeadline to its deadline. The
	// deadline is set anew at the turn, because until then it is that of other responses.
	writeTimeout time.Duration
	// writer is the writer of the connection once all that was recorded has been written to
	// it. The handler's goroutine is then the only one that uses it.
	writer http.ResponseWriter
	// err is set when the response can no longer be delivered.
	err error
}

func newRecorder(bound int) *recorder {
	r := &recorder{header: make(http.Header), bound: bound}
	r.changed = sync.NewCond(&r.mu)
	return r
}

// Header implements http.ResponseWriter.
func (r *recorder) Header() http.Header { return r.header }

// WriteHeader implements http.ResponseWriter. Informational responses are not recorded.
func (r *recorder) WriteHeader(status int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if status >= http.StatusOK {
		r.writeHeader(status)
	}
}

// writeHeader writes or records the header. The caller must hold r.mu.
func (r *recorder) writeHeader(status int) {
	if r.status != 0 {
		return
	}
	r.status = status
	if r.writer != nil {
		maps.Copy(r.writer.Header(), r.header)
		r.writer.WriteHeader(status)
		return
	}
	r.recorded = r.header.Clone()
}

// Write implements http.ResponseWriter.
func (r *recorder) Write(p []byte) (int, error) {
	writer, err := r.record(p)
	if writer == nil {
		return len(p), err
	}
	return writer.Write(p)
}

// record records p, or returns the writer to write it to. It waits for the turn if p exceeds
// the bound.
func (r *recorder) record(p []byte) (http.ResponseWriter, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.writeHeader(http.StatusOK)
	if len(p) > 0 && (r.status == http.StatusNoContent || r.status == http.StatusNotModified) {
		return nil, http.ErrBodyNotAllowed
	}
	for {
		switch {
		case r.err != nil:
			return nil, r.err
		case r.writer != nil:
			return r.writer, nil
		case len(r.body)+len(p) <= r.bound:
			r.body = append(r.body, p...)
			return nil, nil
		}
		r.changed.Wait()
	}
}

// FlushError implements the Flusher of http.ResponseController. Before the turn it takes
// effect at the turn.
func (r *recorder) FlushError() error {
	r.mu.Lock()
	r.writeHeader(http.StatusOK)
	writer, err := r.writer, r.err
	if writer == nil {
		r.flush = true
		r.flushHeader = r.flushHeader || len(r.body) == 0
	}
	r.mu.Unlock()
	if writer == nil {
		return err
	}
	return http.NewResponseController(writer).Flush()
}

// Flush implements http.Flusher.
func (r *recorder) Flush() { _ = r.FlushError() }

// SetReadDeadline does nothing: requests that run ahead of their turn have no body.
func (r *recorder) SetReadDeadline(time.Time) error { return nil }

// SetWriteDeadline sets the deadline for writes. Before the turn, the time left until t is
// what the response gets from its turn on.
func (r *recorder) SetWriteDeadline(t time.Time) error {
	r.mu.Lock()
	writer := r.writer
	if r.writeTimeout = 0; !t.IsZero() {
		r.writeTimeout = time.Until(t)
	}
	r.mu.Unlock()
	if writer == nil {
		return nil
	}
	return http.NewResponseController(writer).SetWriteDeadline(t)
}

// forward writes what was recorded to w, which takes all further writes. It returns an error
// if the response cannot be delivered.
func (r *recorder) forward(w http.ResponseWriter) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	defer r.changed.Broadcast()
	for r.err == nil {
		// The handler may have set its deadline anew while a part was written.
		if r.writeTimeout != 0 {
			_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(r.writeTimeout))
		}
		status, body, flushHeader, flush := 0, r.body, r.flushHeader, r.flush
		if r.recorded != nil {
			status = r.status
			maps.Copy(w.Header(), r.recorded)
		}
		r.recorded, r.body, r.flushHeader, r.flush = nil, nil, false, false
		if status == 0 && len(body) == 0 && !flush {
			r.writer = w
			return nil
		}
		// The handler may record more meanwhile.
		r.mu.Unlock()
		err := forwardPart(w, status, body, flushHeader, flush)
		r.mu.Lock()
		if err != nil && r.err == nil {
			r.err = err
		}
	}
	return r.err
}

// forwardPart writes a part of a recorded response. net/http derives missing header fields
// from the body unless the header is flushed before.
func forwardPart(w http.ResponseWriter, status int, body []byte, flushHeader, flush bool) error {
	if status != 0 {
		w.WriteHeader(status)
	}
	if flushHeader {
		if err := http.NewResponseController(w).Flush(); err != nil {
			return err
		}
	}
	if len(body) > 0 {
		if _, err := w.Write(body); err != nil {
			return err
		}
	}
	if flush {
		return http.NewResponseController(w).Flush()
	}
	return nil
}

// finish writes the header of a handler that has returned without writing one.
func (r *recorder) finish(w http.ResponseWriter) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.status == 0 {
		maps.Copy(w.Header(), r.header)
	}
}

// fail ends waiting and later writes with an error.
func (r *recorder) fail() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.err == nil {
		r.err = net.ErrClosed
	}
	r.changed.Broadcast()
}
