package wire

import (
	"context"
	"sync"
	"sync/atomic"
	"time"
)

// signs tell whether a connection still carries anything: one that has fallen silent
// takes what is written and says nothing, for minutes.
type signs struct {
	// doubted says that a sign of life was asked for and did not come; the next frame
	// takes it back.
	doubted atomic.Bool
	mu      sync.Mutex
	// next is closed with the next frame, nil while nobody waits.
	next chan struct{}
}

// heard notes a frame.
func (s *signs) heard() {
	s.doubted.Store(false)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.next != nil {
		close(s.next)
		s.next = nil
	}
}

// await gives a channel that is closed with the next frame.
func (s *signs) await() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.next == nil {
		s.next = make(chan struct{})
	}
	return s.next
}

// Doubt says that a sign of life was asked for and did not come: whoever makes
// connections makes another, and this one goes on for what is under way on it.
func (c *Conn) Doubt() {
	if !c.signs.doubted.Swap(true) && c.handlers.Doubted != nil {
		c.handlers.Doubted()
	}
}

// Doubted says that Doubt was called and no frame has come since.
func (c *Conn) Doubted() bool { return c.signs.doubted.Load() }

// Heard says that a frame has come at all.
func (c *Conn) Heard() bool { return c.lastRead.Load() > 0 }

// SignOfLife asks the peer for one and waits for any frame; false where none came.
func (c *Conn) SignOfLife(ctx context.Context, within time.Duration) bool {
	next := c.signs.await()
	c.Ping()
	timer := time.NewTimer(within)
	defer timer.Stop()
	select {
	case <-next:
		return true
	case <-timer.C:
	case <-c.done:
	case <-ctx.Done():
	}
	return false
}
