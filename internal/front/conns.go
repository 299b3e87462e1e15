package front

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/radishhoist/radishhoist/internal/core/membudget"
	"github.com/radishhoist/radishhoist/internal/pipeline"
	"github.com/radishhoist/radishhoist/record"
)

// limitListener accepts callers' connections within the front's budget of connections.
type limitListener struct {
	net.Listener
	front *Front
}

// LimitListener wraps a listener. It bounds the number of connections and applies the header
// and idle timeouts of the current configuration. Its connections read pipelined requests
// ahead if the settings allow that.
func (f *Front) LimitListener(l net.Listener) net.Listener {
	limited := &limitListener{Listener: l, front: f}
	if f.pipeline == nil {
		return limited
	}
	return f.pipeline.Listener(limited)
}

// Accept implements net.Listener. If there are too many connections, it closes the one that has
// waited longest for its caller. If none may be closed, it refuses the new one: a caller that
// waits to be accepted would not know for how long.
func (l *limitListener) Accept() (net.Conn, error) {
	for {
		nc, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &callerConn{Conn: nc, front: l.front}
		if l.front.memory.open(c) {
			return c, nil
		}
		l.front.refuseConn(nc)
	}
}

// callerConn is a caller's connection. The HTTP server sets its read deadline from the
// settings. SetReadDeadline shortens it to the limits of the current configuration, which
// may change while the connection is open.
type callerConn struct {
	net.Conn
	front     *Front
	closeOnce sync.Once
	// awaiting says what the next read deadline is for.
	awaiting atomic.Uint32
	// evicted says that the connection is being closed because the budget is used up.
	evicted atomic.Bool
	// unread says that it was evicted because the caller does not read.
	unread atomic.Bool
	// bufferLimit is the size set for the receive buffer, 0 if the kernel chooses it.
	bufferLimit atomic.Int32
	// account is what the connection holds. It is guarded by the lock of callerMemory.
	account membudget.Account
	// headerBytes is the number of bytes read of the current header. headerHeld is the part of
	// the account for it, and aheadHeld that for what was read behind the current request.
	headerBytes           int
	headerHeld, aheadHeld int64
}

// Values of callerConn.awaiting.
const (
	awaitingHeader uint32 = iota
	awaitingNextRequest
	awaitingNothing
)

// connKey is the context key of a request's callerConn.
type connKey struct{}

// connContext is the ConnContext of the HTTP server. It gives handlers access to their
// connection.
func (f *Front) connContext(ctx context.Context, nc net.Conn) context.Context {
	if c := unwrapConn(nc); c != nil {
		ctx = context.WithValue(ctx, connKey{}, c)
	}
	if f.pipeline == nil {
		return ctx
	}
	return f.pipeline.ConnContext(ctx, nc)
}

// connOf returns the connection of a request, or nil if it did not arrive through LimitListener.
func connOf(r *http.Request) *callerConn {
	c, _ := r.Context().Value(connKey{}).(*callerConn)
	return c
}

// unwrapConn returns the callerConn of a connection of the HTTP server, or nil.
func unwrapConn(nc net.Conn) *callerConn {
	if p, ok := nc.(*pipeline.Conn); ok {
		nc = p.NetConn()
	}
	c, _ := nc.(*callerConn)
	return c
}

// trackConnState records a connection's state: a new one awaits its first header, an idle
// one the next request and then that request's header.
func trackConnState(nc net.Conn, state http.ConnState) {
	c := unwrapConn(nc)
	if c == nil {
		return
	}
	switch state {
	case http.StateNew:
		c.awaiting.Store(awaitingHeader)
	case http.StateIdle:
		c.awaiting.Store(awaitingNextRequest)
		c.startIdle()
	case http.StateActive:
		c.awaiting.Store(awaitingNothing)
		c.endWait(0)
	}
}

// Read implements net.Conn. It counts the bytes of headers towards the budget.
func (c *callerConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 && c.awaiting.Load() != awaitingNothing && !c.receiveHeader(n) {
		return 0, &net.OpError{Op: "read", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: errMemoryExhausted}
	}
	return n, err
}

// SetReadDeadline implements net.Conn.
func (c *callerConn) SetReadDeadline(t time.Time) error {
	limits := c.front.dir.Load().Limits
	switch c.awaiting.Load() {
	case awaitingNextRequest:
		// The server's next deadline is the one for the request header.
		c.awaiting.Store(awaitingHeader)
		t = earlierDeadline(t, limits.IdleTimeoutMS)
	case awaitingHeader:
		t = earlierDeadline(t, headerTimeoutMS(t, limits))
	}
	err := c.Conn.SetReadDeadline(t)
	if c.evicted.Load() {
		c.interruptRead()
	}
	return err
}

// headerTimeoutMS is the header timeout, or 0 if t only clears the deadline.
func headerTimeoutMS(t time.Time, limits record.Limits) int {
	if t.IsZero() {
		return 0
	}
	return limits.HeaderTimeoutMS
}

// earlierDeadline returns the earlier of t and ms milliseconds from now. A zero value of
// either means that it sets no deadline.
func earlierDeadline(t time.Time, ms int) time.Time {
	if ms == 0 {
		return t
	}
	limit := time.Now().Add(time.Duration(ms) * time.Millisecond)
	if t.IsZero() || limit.Before(t) {
		return limit
	}
	return t
}

// SetWriteDeadline implements net.Conn.
func (c *callerConn) SetWriteDeadline(t time.Time) error {
	err := c.Conn.SetWriteDeadline(t)
	if c.unread.Load() {
		c.interruptWrite()
	}
	return err
}

// CloseWrite sends the end of the stream, so that the caller reads the last response before
// the connection is closed. The HTTP server uses it.
func (c *callerConn) CloseWrite() error {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		return tcp.CloseWrite()
	}
	return nil
}

// Close implements net.Conn.
func (c *callerConn) Close() error {
	c.closeOnce.Do(func() { c.front.memory.close(c) })
	return c.Conn.Close()
}
