package objects

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

const (
	// LateThreshold is the time without data after which a call is late. It is added to
	// the time for which the platform was asked to hold the call. It is twice the
	// response time of a slow platform.
	LateThreshold = 400 * time.Millisecond
	// RetryInterval is the time between retries of a late read. It bounds the time until
	// a platform that has recovered is called again, because earlier attempts may hang on
	// connections that it no longer knows. A configuration must be applied within 2 s, and
	// 0.8 s leave 1.2 s of that. While the platform is unresponsive, a watcher makes 1.4
	// calls per second and feed.
	RetryInterval = 800 * time.Millisecond
	// ReadTimeout is the time without data on any attempt after which a read fails. The
	// first attempt can still receive a response that takes 2.8 s.
	ReadTimeout = 3 * time.Second
	// WriteTimeout is the time without data after which a write fails. Writes are not
	// retried; the caller reads the object back to learn the outcome.
	WriteTimeout = 2 * time.Second
	// maxResponseSize limits the size of a response, in bytes. The largest response is a
	// list of all objects.
	maxResponseSize = 256 << 20
)

// fetch is one call with its attempts. A late read is retried on a new connection while
// the earlier attempts continue, and the first complete response is used. A platform that
// was unresponsive never responds to the requests received during that time, while a slow
// one responds to the first attempt. Timeouts restart whenever data arrives, so that a long
// list is neither retried nor abandoned in the meantime.
type fetch struct {
	transport *Transport
	request   *http.Request
	// progress receives a value when data has arrived on any attempt.
	progress chan struct{}
	results  chan attemptResult
	// attempts counts the attempts started, and running those that have not ended.
	attempts, running int
}

// attemptResult is the outcome of one attempt.
type attemptResult struct {
	response Response
	err      error
}

func newFetch(t *Transport, r *http.Request) *fetch {
	return &fetch{transport: t, request: r, progress: make(chan struct{}, 1), results: make(chan attemptResult)}
}

// do makes the call. hold is the time for which it asks the platform to wait for changes.
func (f *fetch) do(ctx context.Context, hold time.Duration) (Response, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	isRead := f.request.Method == http.MethodGet
	timeout := WriteTimeout
	if isRead {
		timeout = ReadTimeout
	}
	retry := time.NewTimer(hold + LateThreshold)
	defer retry.Stop()
	expiry := time.NewTimer(hold + timeout)
	defer expiry.Stop()
	f.startAttempt(ctx)
	for {
		select {
		case result := <-f.results:
			f.running--
			if result.err == nil || f.running == 0 {
				return result.response, result.err
			}
		case <-f.progress:
			retry.Reset(LateThreshold)
			expiry.Reset(timeout)
		case <-retry.C:
			if isRead {
				f.startAttempt(ctx)
				retry.Reset(RetryInterval)
			}
		case <-expiry.C:
			return Response{}, errors.Errorf("no data received for %s in any of %d attempts", timeout, f.attempts)
		case <-ctx.Done():
			return Response{}, ctx.Err()
		}
	}
}

// startAttempt starts one attempt in a new goroutine. Before a retry, it closes the idle
// connections, because they may have failed like that of the previous attempt.
func (f *fetch) startAttempt(ctx context.Context) {
	if f.attempts > 0 {
		f.transport.httpClient.CloseIdleConnections()
	}
	f.attempts++
	f.running++
	go func() {
		var result attemptResult
		result.response, result.err = f.attempt(ctx)
		select {
		case f.results <- result:
		case <-ctx.Done():
		}
	}()
}

func (f *fetch) attempt(ctx context.Context) (Response, error) {
	resp, err := f.transport.httpClient.Do(f.request.Clone(ctx))
	if err != nil {
		// The other idle connections may have failed together with this one.
		f.transport.httpClient.CloseIdleConnections()
		return Response{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	f.signalProgress()
	body, err := io.ReadAll(io.LimitReader(progressReader{f, resp.Body}, maxResponseSize))
	return Response{Status: resp.StatusCode, Body: body, History: f.transport.history(resp.Header)}, err
}

// signalProgress tells do that data has arrived. It does not block.
func (f *fetch) signalProgress() {
	select {
	case f.progress <- struct{}{}:
	default:
	}
}

// progressReader reads a response body and signals progress for each read that returns
// data.
type progressReader struct {
	fetch *fetch
	body  io.Reader
}

// Read implements io.Reader.
func (r progressReader) Read(p []byte) (int, error) {
	n, err := r.body.Read(p)
	if n > 0 {
		r.fetch.signalProgress()
	}
	return n, err
}
