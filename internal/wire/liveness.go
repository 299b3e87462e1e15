package wire

import (
	"context"
	"sync"
	"sync/atomic"
	"time"
)

// liveness tracks whether a connection still delivers data. If the network silently
// drops its packets, a connection accepts writes without an error for minutes.
type liveness struct {
	// suspect is set when an expected frame, such as the answer to a ping, did not
	// arrive in time. The next frame clears it.
	suspect atomic.Bool
	mu      sync.Mutex
	// nextFrame is closed when the next frame arrives; it is nil while nothing waits for
	// it.
	nextFrame chan struct{}
}

// frameReceived clears suspect and wakes all waiters.
func (l *liveness) frameReceived() {
	l.suspect.Store(false)
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.nextFrame != nil {
		close(l.nextFrame)
		l.nextFrame = nil
	}
}

// awaitFrame returns a channel that is closed when the next frame arrives.
func (l *liveness) awaitFrame() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.nextFrame == nil {
		l.nextFrame = make(chan struct{})
	}
	return l.nextFrame
}

// MarkSuspect marks the connection as suspect because an expected frame did not arrive in
// time. The connection stays open for the streams on it, but new streams should use another
// connection.
func (c *Conn) MarkSuspect() {
	if !c.liveness.suspect.Swap(true) && c.handlers.OnSuspect != nil {
		c.handlers.OnSuspect()
	}
}

// Suspect reports whether MarkSuspect was called and no frame has arrived since.
func (c *Conn) Suspect() bool { return c.liveness.suspect.Load() }

// HasReceived reports whether any frame has arrived on the connection.
func (c *Conn) HasReceived() bool { return c.lastRead.Load() > 0 }

// PingAndWait sends a ping and reports whether any frame arrives within the timeout.
func (c *Conn) PingAndWait(ctx context.Context, timeout time.Duration) bool {
	nextFrame := c.liveness.awaitFrame()
	c.Ping()
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-nextFrame:
		return true
	case <-timer.C:
	case <-c.done:
	case <-ctx.Done():
	}
	return false
}
