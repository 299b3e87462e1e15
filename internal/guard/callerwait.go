package guard

import (
	"context"
	"io"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"github.com/radishhoist/radishhoist/internal/msg"
	"github.com/radishhoist/radishhoist/verdict"
)

// stallTimeout is how long a request that occupies a slot may wait for its caller, for the rest of
// its body or for room to send its response, while others wait for the slot. It is longer than
// most pauses of hosts.
const stallTimeout = 5 * time.Second

var (
	// errUploadStalled reports that the rest of a request body did not arrive while other
	// requests were waiting for the slot, and errReaderStalled that the response was not read.
	errUploadStalled = errors.New("the rest of the request body did not arrive while other requests waited for the slot")
	errReaderStalled = errors.New("the caller did not read the response while other requests waited for the slot")
)

// callerWait is the time that a running request waits for its caller. It is guarded by the
// instance's lock.
type callerWait struct {
	// since is when the current wait began, zero if there is none, and total the time of
	// earlier ones. cause is the error if the wait is too long.
	since time.Time
	total time.Duration
	cause error
	// abort aborts the request, nil before it is sent to the instance and once it is aborted.
	abort context.CancelCauseFunc
}

// duration returns the time for which the request has waited for its caller. Its instance could do
// nothing in it.
func (c *callerWait) duration(now time.Time) time.Duration {
	if c.since.IsZero() {
		return c.total
	}
	return c.total + now.Sub(c.since)
}

// beginCallerWait records that a running request waits for its caller. cause is the error if it
// waits too long.
func (i *instance) beginCallerWait(w *waiter, cause error) {
	i.mu.Lock()
	defer i.mu.Unlock()
	w.caller.since, w.caller.cause = time.Now(), cause
}

func (i *instance) endCallerWait(w *waiter) {
	i.mu.Lock()
	defer i.mu.Unlock()
	w.caller.total, w.caller.since = w.caller.duration(time.Now()), time.Time{}
}

// abortStalled aborts as many requests that wait for their callers as there are requests that wait
// for a slot. The caller must hold i.mu.
func (i *instance) abortStalled(now time.Time) {
	needed := i.queue.Queued()
	if needed == 0 {
		return
	}
	for _, w := range i.waiters {
		c := &w.caller
		if c.since.IsZero() || c.abort == nil || now.Sub(c.since) < stallTimeout {
			continue
		}
		c.abort(c.cause)
		c.abort = nil
		i.guard.counts.stalledCallers.Inc()
		if needed--; needed == 0 {
			return
		}
	}
}

// stallFailure returns the failure of a request that was aborted because it waited for its caller,
// or nil. Whether it may have run is known from the failure of its exchange.
func stallFailure(ctx context.Context, failure *verdict.Error) *verdict.Error {
	switch cause := context.Cause(ctx); {
	case errors.Is(cause, errUploadStalled):
		return verdict.New(failure.Verdict, verdict.ReasonBodyTimeout, cause.Error())
	case errors.Is(cause, errReaderStalled):
		return verdict.New(failure.Verdict, verdict.ReasonCancelled, cause.Error())
	}
	return nil
}

// bodyReader reads the request body from the stream.
type bodyReader struct {
	x      *exchange
	hash   *xxhash.Digest
	length uint64
	// unread is the rest of the last chunk, and done reports that the body is complete.
	unread []byte
	done   bool
	// failure is the error that ended the body.
	failure atomic.Pointer[error]
}

func newBodyReader(x *exchange) *bodyReader {
	x.body = &bodyReader{x: x, hash: xxhash.New()}
	return x.body
}

// Read implements io.Reader. A body that is truncated, or whose length or hash is
// wrong, is an error, which makes the HTTP client abort the request.
func (b *bodyReader) Read(p []byte) (int, error) {
	for len(b.unread) == 0 {
		if b.done {
			return 0, io.EOF
		}
		if err := b.next(); err != nil {
			b.failure.Store(&err)
			return 0, err
		}
	}
	n := copy(p, b.unread)
	b.unread = b.unread[n:]
	return n, nil
}

// next receives the next chunk or the end of the body.
func (b *bodyReader) next() error {
	m, err := b.receive()
	if err != nil {
		return err
	}
	switch m := m.(type) {
	case *msg.Data:
		_, _ = b.hash.Write(m.Bytes)
		b.length += uint64(len(m.Bytes))
		b.unread = m.Bytes
		return nil
	case *msg.End:
		if m.Length != b.length || m.Hash != b.hash.Sum64() {
			return errors.Errorf("request body has the wrong length or hash: received %d of %d bytes", b.length, m.Length)
		}
		b.done = true
		return nil
	default:
		return errors.Errorf("unexpected message kind %d in a request body", m.Kind())
	}
}

// receive waits for the front's next message.
func (b *bodyReader) receive() (msg.Message, error) {
	x := b.x
	select {
	case m := <-x.inbox:
		return m, nil
	default:
	}
	x.inst.beginCallerWait(x.waiter, errUploadStalled)
	defer x.inst.endCallerWait(x.waiter)
	select {
	case m := <-x.inbox:
		return m, nil
	case <-x.frontCtx.Done():
	}
	// Messages received before the disconnect are still in the inbox.
	select {
	case m := <-x.inbox:
		return m, nil
	default:
		return nil, errFrontGone
	}
}

// Close implements io.Closer.
func (b *bodyReader) Close() error { return nil }

// bodyFailure returns the error that ended the request body, or nil. The instance is then not to
// blame if it has not responded.
func (x *exchange) bodyFailure() error {
	if x.body == nil {
		return nil
	}
	if err := x.body.failure.Load(); err != nil {
		return *err
	}
	return nil
}
