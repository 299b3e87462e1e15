package objects

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

const (
	// UsualAnswer is how long the platform may go without a byte, beyond the time it
	// was asked to hold a call, before the call counts as late: twice the answer time
	// of a platform that is slow.
	UsualAnswer = 400 * time.Millisecond
	// RetryInterval is the time between two further tries of a read that is late. A
	// platform that is back after a silence is asked anew within this time, whatever
	// hangs on connections that it does not know any more: 0.8 s leave 1.2 s of the 2 s
	// in which a configuration is to be in force. A watcher so makes 1.4 calls a second
	// and feed while the platform is silent.
	RetryInterval = 800 * time.Millisecond
	// ReadTimeout is how long a read goes on without a byte on any of its tries: an
	// answer that takes up to 2.8 s is still heard, by the first try.
	ReadTimeout = 3 * time.Second
	// WriteTimeout bounds a write's wait for a byte. It is tried once: whoever writes
	// reads back what became of it.
	WriteTimeout = 2 * time.Second
	// maxAnswer bounds one answer, in bytes: a list of the whole set.
	maxAnswer = 256 << 20
)

// response is a whole answer.
type response struct {
	status int
	body   []byte
}

// fetch is one call with its tries. A read that is late is tried again on a new
// connection while the earlier tries go on, and the first whole answer counts: a
// platform that fell silent never answers what it was sent meanwhile, and one that is
// slow answers the first. Time counts from the last byte, so that a long list is
// neither repeated nor given up while it flows.
type fetch struct {
	transport *Transport
	request   *http.Request
	// heard is signalled when a try has brought bytes.
	heard chan struct{}
	ended chan tryEnd
	// tries counts all that were started, running those that have not ended.
	tries, running int
}

// tryEnd is how one try ended.
type tryEnd struct {
	response response
	err      error
}

func newFetch(t *Transport, r *http.Request) *fetch {
	return &fetch{transport: t, request: r, heard: make(chan struct{}, 1), ended: make(chan tryEnd)}
}

// do makes the call; hold is how long the platform was asked to wait for news.
func (f *fetch) do(ctx context.Context, hold time.Duration) (response, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	isRead := f.request.Method == http.MethodGet
	timeout := WriteTimeout
	if isRead {
		timeout = ReadTimeout
	}
	late := time.NewTimer(hold + UsualAnswer)
	defer late.Stop()
	giveUp := time.NewTimer(hold + timeout)
	defer giveUp.Stop()
	f.start(ctx)
	for {
		select {
		case end := <-f.ended:
			f.running--
			if end.err == nil || f.running == 0 {
				return end.response, end.err
			}
		case <-f.heard:
			late.Reset(UsualAnswer)
			giveUp.Reset(timeout)
		case <-late.C:
			if isRead {
				f.start(ctx)
				late.Reset(RetryInterval)
			}
		case <-giveUp.C:
			return response{}, errors.Errorf("no byte in %s, in none of %d tries", timeout, f.tries)
		case <-ctx.Done():
			return response{}, ctx.Err()
		}
	}
}

// start begins one try. A connection of the pool may have gone silent like that of
// the try before: a further one is made anew.
func (f *fetch) start(ctx context.Context) {
	if f.tries > 0 {
		f.transport.http.CloseIdleConnections()
	}
	f.tries++
	f.running++
	go func() {
		var end tryEnd
		end.response, end.err = f.try(ctx)
		select {
		case f.ended <- end:
		case <-ctx.Done():
		}
	}()
}

func (f *fetch) try(ctx context.Context) (response, error) {
	resp, err := f.transport.http.Do(f.request.Clone(ctx))
	if err != nil {
		// A connection that has failed once is not tried again: others of the
		// pool may have gone silent with it.
		f.transport.http.CloseIdleConnections()
		return response{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	f.note()
	body, err := io.ReadAll(io.LimitReader(heardReader{f, resp.Body}, maxAnswer))
	return response{resp.StatusCode, body}, err
}

// note says that bytes have come.
func (f *fetch) note() {
	select {
	case f.heard <- struct{}{}:
	default:
	}
}

// heardReader notes the bytes of an answer as they come.
type heardReader struct {
	fetch *fetch
	from  io.Reader
}

// Read implements io.Reader.
func (h heardReader) Read(p []byte) (int, error) {
	n, err := h.from.Read(p)
	if n > 0 {
		h.fetch.note()
	}
	return n, err
}
