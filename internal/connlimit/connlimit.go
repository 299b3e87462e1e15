// Package connlimit bounds the number of connections that a listening socket accepts.
package connlimit

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// MinSilence is how long nothing must have arrived on a connection before it may be closed for a
// new one.
const MinSilence = time.Second

// Listener accepts at most a number of connections. For a further one it closes the connection
// on which nothing has arrived for longest. If there is none that has been silent for MinSilence,
// it closes the new one.
type Listener struct {
	net.Listener
	max int

	mu    sync.Mutex
	conns map[*conn]struct{}
}

// New wraps a listener.
func New(l net.Listener, maxConns int) *Listener {
	return &Listener{Listener: l, max: maxConns, conns: make(map[*conn]struct{})}
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		nc, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &conn{Conn: nc, listener: l}
		c.lastRead.Store(time.Now().UnixNano())
		silent, ok := l.add(c)
		if silent != nil {
			_ = silent.Close()
		}
		if ok {
			return c, nil
		}
		_ = nc.Close()
	}
}

// add adds a connection, and returns the one to close in its place. It returns false if there is
// no room.
func (l *Listener) add(c *conn) (silent *conn, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.conns) >= l.max {
		if silent = l.longestSilent(); silent == nil {
			return nil, false
		}
		delete(l.conns, silent)
	}
	l.conns[c] = struct{}{}
	return silent, true
}

// longestSilent returns the connection that has been silent for longest, nil if none has been for
// MinSilence. The caller must hold l.mu.
func (l *Listener) longestSilent() *conn {
	var longest *conn
	oldest := time.Now().Add(-MinSilence).UnixNano()
	for c := range l.conns {
		if at := c.lastRead.Load(); at <= oldest {
			longest, oldest = c, at
		}
	}
	return longest
}

// conn is an accepted connection.
type conn struct {
	net.Conn
	listener *Listener
	// lastRead is when something last arrived, in Unix nanoseconds.
	lastRead atomic.Int64
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.lastRead.Store(time.Now().UnixNano())
	}
	return n, err
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.listener.mu.Lock()
	delete(c.listener.conns, c)
	c.listener.mu.Unlock()
	return c.Conn.Close()
}
