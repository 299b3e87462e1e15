package targetconn

import (
	"bytes"
	"context"
	"io"
	"math"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/radishhoist/radishhoist/internal/core/header"
)

// Request is one request to the target.
type Request struct {
	// ID is the request ID, which the target may echo in its response.
	ID string
	// Method, URI and Host are sent unchanged.
	Method, URI, Host string
	Header            http.Header
	// Body is nil if there is none. Length is its length in bytes, -1 if unknown.
	Body   io.Reader
	Length int64
}

// Response is the target's response. Its body must be read to the end or closed; an
// error while reading it means that the response is incomplete.
type Response struct {
	Status int
	Header http.Header
	// Length is the declared length in bytes, -1 if none is declared.
	Length int64
	Body   io.ReadCloser
	// bytesRead counts the bytes that ReadChunk has returned.
	bytesRead int64
}

// ReadChunk reads up to size bytes of the body and reports whether they are the last. A
// truncated body is an error, and so is a panic, see PanicError.
//
// io.ReadFull returns ErrUnexpectedEOF both when the body ends normally inside a chunk and when
// it is truncated; the declared length, or another read if there is none, tells them apart.
func (r *Response) ReadChunk(size int) (chunk []byte, last bool, err error) {
	defer recoverPanic(&err)
	if r.Length >= 0 {
		// One byte more than the rest lets io.ReadFull reach the end of the body. It is added
		// last, because the declared length may be the greatest int64.
		size = int(min(r.Length-r.bytesRead, int64(size)-1)) + 1
	}
	chunk = make([]byte, size)
	n, err := io.ReadFull(r.Body, chunk)
	r.bytesRead += int64(n)
	switch {
	case err == nil:
		return chunk, false, nil
	case err == io.EOF:
		return nil, true, nil
	case !errors.Is(err, io.ErrUnexpectedEOF):
		return nil, false, err
	case r.Length >= 0 && r.bytesRead != r.Length:
		return nil, false, err
	case r.Length < 0:
		if _, next := r.Body.Read(make([]byte, 1)); next != io.EOF {
			return nil, false, err
		}
	}
	return chunk[:n], true, nil
}

// Error describes a request that got no response.
type Error struct {
	// Sent is set if any part of the request was sent, so that the target may have run it.
	Sent bool
	// Mismatched is set if responses arrived that belong to other requests.
	Mismatched bool
	Cause      error
}

// Error implements the error interface.
func (e *Error) Error() string { return e.Cause.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// ErrInvalidStatus is the cause of the Error of a request whose response has a status line that is
// none in HTTP/1: of another version, or a status outside 100 to 599. 101 is invalid too, because
// no request asks for another protocol.
var ErrInvalidStatus = errors.New("the status line of the response is invalid")

// ErrHeaderTooLarge is the cause of the Error of a request whose response has a header of more
// than 64 KiB, the interim responses before it included.
var ErrHeaderTooLarge = errors.New("the response header is larger than 64 KiB")

var (
	errConnLimit  = errors.New("connection limit for the target reached")
	errMismatched = errors.New("the target sent only responses to other requests")
)

const (
	// maxStrayResponses is the maximum number of responses to other requests that are
	// skipped. Targets send extra responses one at a time.
	maxStrayResponses = 3
	// maxStrayBodyBytes is the body length from which such a response is not skipped:
	// the request fails and the connection is closed.
	maxStrayBodyBytes = 1 << 20
	// maxStatus is the greatest status of a response.
	maxStatus = 599
	// maxHeadBytes is the maximum size of the header of a response, together with the 1xx
	// responses before it.
	maxHeadBytes = 64 << 10
	// maxInlineBodyBytes is the largest body that is sent in one write with the
	// header, and the chunk size of a longer one.
	maxInlineBodyBytes = 64 << 10
	// keepAliveMargin is subtracted from the target's keep-alive timeout, so that no
	// request is sent on a connection that the target is about to close.
	keepAliveMargin = 250 * time.Millisecond
	// maxKeepAliveSeconds is the longest keep-alive timeout that a time.Duration can hold.
	maxKeepAliveSeconds = math.MaxInt64 / int(time.Second)
)

// Do sends a request and waits for the header of its response. The context applies
// to the whole exchange, including the reading of the response body.
func (p *Pool) Do(ctx context.Context, r *Request) (*Response, error) {
	c, err := p.acquire(ctx)
	if err != nil {
		return nil, &Error{Cause: err}
	}
	x := &exchange{pool: p, conn: c, req: r}
	x.stopCancel = context.AfterFunc(ctx, func() { _ = c.nc.SetDeadline(time.Unix(1, 0)) })
	response, err := x.run()
	if err != nil {
		x.finish(false)
		return nil, err
	}
	return response, nil
}

// exchange is one request and its response on a connection.
type exchange struct {
	pool       *Pool
	conn       *conn
	req        *Request
	stopCancel func() bool
	once       sync.Once
	// upload is nil if the request body was sent together with the header.
	upload *upload
	// keepAlive reports whether the target keeps the connection open after the response.
	keepAlive bool
}

func (x *exchange) run() (*Response, error) {
	if err := x.write(); err != nil {
		return nil, err
	}
	return x.readResponse()
}

// readResponse reads the header of the response to the request and skips responses to others.
func (x *exchange) readResponse() (response *Response, err error) {
	defer func() {
		var p *PanicError
		if errors.As(err, &p) {
			err = &Error{Sent: true, Cause: p}
		}
	}()
	defer recoverPanic(&err)
	mismatched := false
	for range maxStrayResponses + 1 {
		resp, err := x.readHead()
		if err != nil {
			return nil, &Error{Sent: true, Mismatched: mismatched, Cause: err}
		}
		if x.matches(resp) {
			return x.newResponse(resp), nil
		}
		mismatched = true
		if n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxStrayBodyBytes)); err != nil || n == maxStrayBodyBytes || resp.Close {
			break
		}
	}
	return nil, &Error{Sent: true, Mismatched: true, Cause: errMismatched}
}

// matches reports whether a response belongs to this request. If targets echo request
// IDs, a successful response without one does not belong to any request. One with
// status 300 or above is accepted without an ID, because the target may have rejected
// the request before it read the ID; an extra response is always a fully generated one
// and carries its ID.
func (x *exchange) matches(resp *http.Response) bool {
	got := resp.Header.Get(header.RequestID)
	if got == "" {
		return !x.pool.cfg.EchoesRequestID || resp.StatusCode >= http.StatusMultipleChoices
	}
	return got == x.req.ID
}

// readHead reads the header of the next final response and skips 1xx responses.
func (x *exchange) readHead() (*http.Response, error) {
	x.conn.limit.begin()
	defer x.conn.limit.end()
	for {
		resp, err := http.ReadResponse(x.conn.br, &http.Request{Method: x.req.Method})
		if err != nil {
			return nil, errors.Wrap(err, "read response")
		}
		switch {
		case resp.ProtoMajor != 1 || resp.StatusCode == http.StatusSwitchingProtocols || !validStatus(resp.StatusCode):
			return nil, ErrInvalidStatus
		case resp.StatusCode >= http.StatusOK:
			return resp, nil
		}
	}
}

// validStatus reports whether a response may have the status.
func validStatus(status int) bool { return status >= http.StatusContinue && status <= maxStatus }

func (x *exchange) newResponse(resp *http.Response) *Response {
	x.keepAlive = !resp.Close
	x.conn.idleUntil = time.Now().Add(x.pool.idleTimeout(resp.Header))
	body := &body{exchange: x, src: resp.Body, untilClose: resp.ContentLength < 0 && len(resp.TransferEncoding) == 0}
	if resp.Body == http.NoBody {
		body.err = io.EOF
		x.finish(true)
	}
	return &Response{Status: resp.StatusCode, Header: resp.Header, Length: resp.ContentLength, Body: body}
}

// idleTimeout returns how long the connection may stay idle: the configured time, or the
// target's Keep-Alive timeout minus keepAliveMargin if that is shorter.
func (p *Pool) idleTimeout(h http.Header) time.Duration {
	timeout := p.cfg.IdleTimeout
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		seconds, err := strconv.Atoi(value)
		if strings.EqualFold(name, "timeout") && err == nil && seconds >= 0 {
			seconds = min(seconds, maxKeepAliveSeconds)
			timeout = min(timeout, time.Duration(seconds)*time.Second-keepAliveMargin)
		}
	}
	return timeout
}

// finish returns the connection to the pool if it can carry another request, and closes
// it otherwise.
func (x *exchange) finish(complete bool) {
	x.once.Do(func() {
		notCancelled := x.stopCancel()
		if complete && notCancelled && x.keepAlive && x.upload.sent() && x.conn.br.Buffered() == 0 {
			x.pool.release(x.conn)
			return
		}
		x.pool.discard(x.conn)
	})
}

// write sends the header with a short body. A longer body is sent in a goroutine while
// the response is read.
func (x *exchange) write() error {
	var out bytes.Buffer
	x.writeHead(&out)
	body, err := x.appendBody(&out)
	if err != nil {
		// Reading the body failed before anything was sent.
		return &Error{Cause: err}
	}
	n, err := x.conn.nc.Write(out.Bytes())
	if err != nil {
		return &Error{Sent: n > 0, Cause: err}
	}
	if body != nil {
		x.upload = startUpload(x.conn.nc, body, x.req.Length)
	}
	return nil
}

// appendBody appends a short body to the header. It returns the body that must be sent
// separately, nil if there is none.
func (x *exchange) appendBody(out *bytes.Buffer) (io.Reader, error) {
	if x.req.Body == nil || x.req.Length == 0 {
		return nil, nil
	}
	if x.req.Length < 0 || x.req.Length > maxInlineBodyBytes {
		return x.req.Body, nil
	}
	if n, err := io.Copy(out, x.req.Body); err != nil || n != x.req.Length {
		return nil, errors.Wrapf(shortReadError(err), "read request body of %d bytes", x.req.Length)
	}
	return nil, nil
}

// shortReadError returns the error of a body that ended early: err, or
// io.ErrUnexpectedEOF if it is nil.
func shortReadError(err error) error {
	if err == nil {
		return io.ErrUnexpectedEOF
	}
	return err
}

// writeHead writes the request line and the headers. Host, Content-Length and
// Transfer-Encoding are set here and not copied from the request's headers.
func (x *exchange) writeHead(out *bytes.Buffer) {
	r := x.req
	out.WriteString(r.Method + " " + r.URI + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	for name, values := range r.Header {
		if name == "Host" || name == "Content-Length" || name == "Transfer-Encoding" {
			continue
		}
		for _, v := range values {
			out.WriteString(name + ": " + v + "\r\n")
		}
	}
	switch {
	case r.Body != nil && r.Length < 0:
		out.WriteString("Transfer-Encoding: chunked\r\n")
	case r.Length > 0 || usuallyHasBody(r.Method):
		out.WriteString("Content-Length: " + strconv.FormatInt(max(r.Length, 0), 10) + "\r\n")
	}
	out.WriteString("\r\n")
}

// usuallyHasBody reports whether requests with the method usually have a body; for these
// an empty body is declared with Content-Length: 0.
func usuallyHasBody(method string) bool {
	return method == http.MethodPost || method == http.MethodPut || method == http.MethodPatch
}

// errReset is the error of a response without a declared length whose connection was reset.
var errReset = errors.New("the connection was reset before the response body ended")

// body is the response body. Reading it to its end or closing it finishes the exchange.
type body struct {
	exchange *exchange
	src      io.ReadCloser
	// untilClose reports that the body has no declared length and ends with the connection.
	untilClose bool
	// err is the error that ended the body, nil before its end.
	err error
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	if b.err != nil {
		return 0, b.err
	}
	n, err := b.src.Read(p)
	if err == io.EOF && b.untilClose && b.exchange.upload.sawReset() {
		err = errReset
	}
	b.err = err
	if err == io.EOF {
		b.exchange.finish(true)
	}
	return n, err
}

// Close implements io.Closer. If the body was not read to its end, the connection is
// closed.
func (b *body) Close() error {
	if b.err == nil {
		b.err = http.ErrBodyReadAfterClose
	}
	b.exchange.finish(false)
	return nil
}
