package front

import (
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/radishhoist/radishhoist/internal/pipeline"
	"github.com/radishhoist/radishhoist/record"
)

// limitListener bounds the number of open connections. Further ones wait in the kernel's
// accept queue.
type limitListener struct {
	net.Listener
	front *Front
	sem   chan struct{}
}

// LimitListener wraps a listener. It bounds the number of connections and applies the header
// and idle timeouts of the current configuration. Its connections read pipelined requests
// ahead if the settings allow that.
func (f *Front) LimitListener(l net.Listener) net.Listener {
	limited := &limitListener{Listener: l, front: f, sem: make(chan struct{}, f.cfg.MaxConns)}
	if f.pipeline == nil {
		return limited
	}
	return f.pipeline.Listener(limited)
}

// Accept implements net.Listener.
func (l *limitListener) Accept() (net.Conn, error) {
	l.sem <- struct{}{}
	c, err := l.Listener.Accept()
	if err != nil {
		<-l.sem
		return nil, err
	}
	return &callerConn{Conn: c, front: l.front, release: sync.OnceFunc(func() { <-l.sem })}, nil
}

// callerConn is a caller's connection. The HTTP server sets its read deadline from the
// settings. SetReadDeadline shortens it to the limits of the current configuration, which
// may change while the connection is open.
type callerConn struct {
	net.Conn
	front   *Front
	release func()
	// awaiting says what the next read deadline is for.
	awaiting atomic.Uint32
}

// Values of callerConn.awaiting.
const (
	awaitingHeader uint32 = iota
	awaitingNextRequest
	awaitingNothing
)

// trackConnState records a connection's state: a new one awaits its first header, an idle
// one the next request and then that request's header.
func trackConnState(nc net.Conn, state http.ConnState) {
	if p, ok := nc.(*pipeline.Conn); ok {
		nc = p.NetConn()
	}
	c, ok := nc.(*callerConn)
	if !ok {
		return
	}
	switch state {
	case http.StateNew:
		c.awaiting.Store(awaitingHeader)
	case http.StateIdle:
		c.awaiting.Store(awaitingNextRequest)
	case http.StateActive:
		c.awaiting.Store(awaitingNothing)
	}
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
	return c.Conn.SetReadDeadline(t)
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

// Close implements net.Conn.
func (c *callerConn) Close() error {
	c.release()
	return c.Conn.Close()
}
