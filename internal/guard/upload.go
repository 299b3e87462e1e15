package guard

import (
	"io"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"github.com/radishhoist/radishhoist/internal/msg"
	"github.com/radishhoist/radishhoist/verdict"
)

// uploadStallTimeout is how long a request that occupies a slot may wait for the rest of its body
// while others wait for the slot. It is longer than most pauses of hosts.
const uploadStallTimeout = 5 * time.Second

// errUploadStalled reports that the rest of a request body did not arrive while other requests
// were waiting for the slot.
var errUploadStalled = errors.New("the rest of the request body did not arrive")

// bodyWait is the time that a running request waits for the rest of its body. It is guarded by the
// instance's lock.
type bodyWait struct {
	// since is when the current wait began, zero if there is none, and total the time of
	// earlier ones.
	since time.Time
	total time.Duration
	// stalled is closed to abort the request.
	stalled chan struct{}
	aborted bool
}

// duration returns the time for which the request has waited for its body. Its instance could do
// nothing in it.
func (b *bodyWait) duration(now time.Time) time.Duration {
	if b.since.IsZero() {
		return b.total
	}
	return b.total + now.Sub(b.since)
}

func (i *instance) beginBodyWait(w *waiter) {
	i.mu.Lock()
	defer i.mu.Unlock()
	w.body.since = time.Now()
}

func (i *instance) endBodyWait(w *waiter) {
	i.mu.Lock()
	defer i.mu.Unlock()
	w.body.total, w.body.since = w.body.duration(time.Now()), time.Time{}
}

// abortStalledUploads aborts as many requests that wait for the rest of their bodies as there are
// requests that wait for a slot. The caller must hold i.mu.
func (i *instance) abortStalledUploads(now time.Time) {
	needed := i.queue.Queued()
	if needed == 0 {
		return
	}
	for _, w := range i.waiters {
		if w.body.since.IsZero() || w.body.aborted || now.Sub(w.body.since) < uploadStallTimeout {
			continue
		}
		w.body.aborted = true
		close(w.body.stalled)
		i.guard.counts.stalledUploads.Inc()
		if needed--; needed == 0 {
			return
		}
	}
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
	x.inst.beginBodyWait(x.waiter)
	defer x.inst.endBodyWait(x.waiter)
	select {
	case m := <-x.inbox:
		return m, nil
	case <-x.waiter.body.stalled:
		return nil, errUploadStalled
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

// bodyVerdict returns the failure of a request whose body ended with the given error. Whether it
// may have run is known from the failure of its exchange.
func bodyVerdict(failure *verdict.Error, cause error) *verdict.Error {
	reason := verdict.ReasonCancelled
	if errors.Is(cause, errUploadStalled) {
		reason = verdict.ReasonBodyTimeout
	}
	return verdict.New(failure.Verdict, reason, cause.Error())
}
