package pipeline

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"slices"
	"sync"
	"time"
)

const (
	// readAheadBytes is the free space made for a read ahead.
	readAheadBytes = 4 << 10
	// keptBytes is the largest buffer that is kept while it is empty.
	keptBytes = 512
	// headerSlopBytes is by how much net/http lets a request head exceed MaxHeaderBytes.
	headerSlopBytes = 4 << 10
)

// Conn is a caller's connection. Its Read delivers to the server at most the rest of the
// current request. Once that is delivered, and until the handler returns, Read blocks and
// reads ahead from the socket.
//
// Read is not called concurrently, see net/http. The fields in the first group belong to it.
type Conn struct {
	net.Conn
	pipeline *Pipeline
	// base is the context of requests that start ahead. ConnContext sets it.
	base context.Context

	// passThrough is set once only net/http knows where requests end. All bytes are then
	// passed on as they arrive, and requests are handled one by one.
	passThrough bool
	// buf holds what was read from the socket and not consumed. It starts with the head of
	// the next request, of which delivered bytes have been passed to the server.
	buf       []byte
	delivered int
	// scanner scans the first head that has not started, at aheadBytes in buf.
	scanner    headScanner
	aheadBytes int
	// bodyLeft is the rest of the current request's body.
	bodyLeft int64
	// readErr is the error that ended the connection.
	readErr error
	// held says that the first head that has not started must wait for its turn.
	held bool

	mu sync.Mutex
	// changed is signalled on each change of the fields below that Read may wait for.
	changed *sync.Cond
	// serving is set from when the current request's head has been delivered until its
	// handler returns. bodyless says that the request is a GET or HEAD without a body.
	serving, bodyless bool
	// current is the current request from the start of its handler.
	current *http.Request
	// overlaps caches whether current may overlap others; nil if not known yet.
	overlaps *bool
	// turn is the current request if it had started ahead and its handler has not begun.
	turn *aheadRequest
	// ahead are the started requests behind the current one, in order.
	ahead    []*aheadRequest
	deadline time.Time
	closed   bool
}

func newConn(p *Pipeline, nc net.Conn) *Conn {
	c := &Conn{Conn: nc, pipeline: p, base: context.Background()}
	c.changed = sync.NewCond(&c.mu)
	return c
}

// NetConn returns the wrapped connection.
func (c *Conn) NetConn() net.Conn { return c.Conn }

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	c.held = false
	for len(p) > 0 {
		switch {
		case c.readErr != nil:
			return 0, c.readErr
		case c.passThrough:
			return c.readBuffered(p)
		case c.bodyLeft > 0:
			n, err := c.readBuffered(p[:min(int64(len(p)), c.bodyLeft)])
			c.bodyLeft -= int64(n)
			return n, err
		case c.isServing():
			if err := c.readAhead(p[:1]); err != nil {
				return 0, err
			}
		default:
			return c.readHead(p)
		}
	}
	return 0, nil
}

func (c *Conn) isServing() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.serving
}

// readBuffered reads from the buffer, or from the socket if that is empty.
func (c *Conn) readBuffered(p []byte) (int, error) {
	if len(c.buf) == 0 {
		return c.Conn.Read(p)
	}
	n := copy(p, c.buf)
	c.consume(n)
	return n, nil
}

// consume removes n bytes from the start of the buffer.
func (c *Conn) consume(n int) {
	c.buf = append(c.buf[:0], c.buf[n:]...)
	if len(c.buf) == 0 && cap(c.buf) > keptBytes {
		c.buf = nil
	}
}

// maxBuffered is the size of the buffer at which nothing more is read ahead.
func (c *Conn) maxBuffered() int { return c.pipeline.cfg.MaxHeaderBytes + headerSlopBytes }

// fill reads from the socket into the buffer, which must not be full.
func (c *Conn) fill() error {
	c.buf = slices.Grow(c.buf, min(readAheadBytes, c.maxBuffered()-len(c.buf)))
	n, err := c.Conn.Read(c.buf[len(c.buf):min(cap(c.buf), c.maxBuffered())])
	c.buf = c.buf[:len(c.buf)+n]
	if n > 0 {
		return nil
	}
	return err
}

// readHead delivers bytes of the head of the next request.
func (c *Conn) readHead(p []byte) (int, error) {
	if len(c.buf) == 0 {
		return c.readWholeHead(p)
	}
	end := 0
	if first := c.firstAhead(); first != nil {
		end = first.headBytes
	}
	for end == 0 {
		var strict bool
		if end, strict = c.scanner.scan(c.buf); !strict {
			return c.passRest(p)
		}
		if end > 0 || c.delivered < len(c.buf) {
			break
		}
		if len(c.buf) >= c.maxBuffered() {
			return c.passRest(p)
		}
		// Reading into p needs no free space in the buffer.
		n, err := c.Conn.Read(p[:min(len(p), c.maxBuffered()-len(c.buf))])
		if n == 0 {
			return 0, err
		}
		c.buf = append(c.buf, p[:n]...)
	}
	limit := len(c.buf)
	if end > 0 {
		limit = end
	}
	n := copy(p, c.buf[c.delivered:limit])
	if c.delivered += n; c.delivered == end {
		c.finishHead(c.buf[:end])
		c.consume(end)
		// The response may be ready, so that nothing is read during its handler.
		c.startBuffered()
	}
	return n, nil
}

// readWholeHead reads a head from the socket while the buffer is empty. A head that arrives
// whole, as most do, needs no buffer.
func (c *Conn) readWholeHead(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 {
		return 0, err
	}
	end, strict := c.scanner.scan(p[:n])
	switch {
	case !strict:
		c.passThrough = true
		return n, nil
	case end == 0:
		c.buf = append(c.buf, p[:n]...)
		c.delivered = n
		return n, nil
	}
	c.buf = append(c.buf, p[end:n]...)
	c.finishHead(p[:end])
	return end, nil
}

// passRest passes all further bytes through, beginning with those of the current head that
// have not been delivered.
func (c *Conn) passRest(p []byte) (int, error) {
	c.passThrough = true
	c.consume(c.delivered)
	return c.readBuffered(p)
}

// firstAhead returns the next request if it has started.
func (c *Conn) firstAhead() *aheadRequest {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.ahead) == 0 {
		return nil
	}
	return c.ahead[0]
}

// finishHead makes the request whose head has been delivered the current one.
func (c *Conn) finishHead(head []byte) {
	c.delivered, c.held = 0, false
	c.mu.Lock()
	defer c.mu.Unlock()
	c.serving, c.bodyless = true, true
	c.current, c.overlaps, c.turn = nil, nil, nil
	if len(c.ahead) > 0 {
		c.turn = c.ahead[0]
		c.ahead = slices.Delete(c.ahead, 0, 1)
		c.aheadBytes -= c.turn.headBytes
		overlaps := true
		c.overlaps = &overlaps
		return
	}
	c.scanner = headScanner{}
	kind, length := classify(head)
	c.bodyless, c.bodyLeft, c.passThrough = kind == framingBodyless, length, kind == framingOther
}

// readAhead starts what can be started and reads from the socket once. An error other than
// that of a deadline ends all requests.
func (c *Conn) readAhead(scratch []byte) error {
	if c.startBuffered() {
		return c.await(func() bool { return c.current != nil || !c.serving })
	}
	if len(c.buf) >= c.maxBuffered() || !c.mayHoldAhead() {
		return c.await(func() bool { return !c.serving })
	}
	var err error
	if len(c.buf) == 0 {
		// A larger buffer is made once a byte has arrived: most callers send none.
		var n int
		if n, err = c.Conn.Read(scratch); n > 0 {
			c.buf, err = append(c.buf, scratch[:n]...), nil
		}
	} else {
		err = c.fill()
	}
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		c.readErr = err
		c.abortAhead()
	}
	return err
}

// mayHoldAhead reports whether one more part may be read ahead. The first is always permitted:
// without it, the end of the connection would go unnoticed.
func (c *Conn) mayHoldAhead() bool {
	hold := c.pipeline.cfg.HoldAhead
	return len(c.buf) < readAheadBytes || hold == nil || hold(c.Conn, readAheadBytes)
}

// startBuffered starts the requests in the buffer that may start ahead. It returns true if
// that depends on the current request, whose handler has not begun.
func (c *Conn) startBuffered() (wait bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for c.serving && c.bodyless && !c.closed && !c.held && len(c.ahead) < c.pipeline.cfg.Depth-1 {
		rest := c.buf[c.aheadBytes:]
		end, strict := c.scanner.scan(rest)
		if strict && end == 0 {
			return false
		}
		if c.overlaps == nil && c.current == nil {
			return true
		}
		if !strict || !c.currentOverlaps() || !c.start(rest[:end]) {
			c.held = true
		}
	}
	return false
}

// currentOverlaps reports whether requests may run beside the current one. The caller must
// hold c.mu.
func (c *Conn) currentOverlaps() bool {
	if c.overlaps == nil {
		_, ok := c.pipeline.cfg.MayOverlap(c.current)
		c.overlaps = &ok
	}
	return *c.overlaps
}

// start starts the request with the given head if it may start ahead. The caller must hold
// c.mu.
func (c *Conn) start(head []byte) bool {
	r, ok := parseHead(head)
	if !ok {
		return false
	}
	recordBytes, ok := c.pipeline.cfg.MayOverlap(r)
	if !ok || !c.pipeline.reserve(recordBytes) {
		return false
	}
	r.RemoteAddr = c.RemoteAddr().String()
	a := newAheadRequest(c.base, r, len(head), recordBytes)
	a.release = sync.OnceFunc(func() { c.pipeline.release(recordBytes) })
	c.ahead = append(c.ahead, a)
	c.aheadBytes += len(head)
	c.scanner = headScanner{}
	c.pipeline.cfg.Started()
	go a.run(c.pipeline.handler)
	return true
}

// await waits until a condition on the fields guarded by c.mu holds. It returns an error when
// the read deadline passes or the connection is closed.
func (c *Conn) await(condition func() bool) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	var timer *time.Timer
	for !condition() {
		switch {
		case c.closed:
			return net.ErrClosed
		case c.deadline.IsZero():
		case !time.Now().Before(c.deadline):
			return os.ErrDeadlineExceeded
		case timer == nil:
			timer = time.AfterFunc(time.Until(c.deadline), c.wake)
			defer timer.Stop()
		}
		c.changed.Wait()
	}
	return nil
}

func (c *Conn) wake() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.changed.Broadcast()
}

// begin records that the handler of the current request begins, and returns the request if
// it has started ahead.
func (c *Conn) begin(r *http.Request) *aheadRequest {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.current = r
	c.changed.Broadcast()
	started := c.turn
	c.turn = nil
	return started
}

// end records that the handler of the current request returns.
func (c *Conn) end() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.serving, c.current = false, nil
	c.changed.Broadcast()
}

// SetReadDeadline implements net.Conn.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	c.deadline = t
	c.changed.Broadcast()
	c.mu.Unlock()
	return c.Conn.SetReadDeadline(t)
}

// SetDeadline implements net.Conn.
func (c *Conn) SetDeadline(t time.Time) error {
	return errors.Join(c.SetReadDeadline(t), c.SetWriteDeadline(t))
}

// CloseWrite sends the end of the stream if the wrapped connection supports that.
func (c *Conn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return nil
}

// Close implements net.Conn. It cancels the requests that have started ahead.
func (c *Conn) Close() error {
	err := c.Conn.Close()
	c.mu.Lock()
	c.closed = true
	c.changed.Broadcast()
	c.mu.Unlock()
	c.abortAhead()
	return err
}

// abortAhead cancels the requests that have started and are not forwarded yet.
func (c *Conn) abortAhead() {
	c.mu.Lock()
	started := slices.Clone(c.ahead)
	if c.turn != nil {
		started = append(started, c.turn)
	}
	c.mu.Unlock()
	for _, a := range started {
		a.abort()
	}
}
