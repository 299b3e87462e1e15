package wire

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/radishhoist/radishhoist/internal/msg"

	"github.com/pkg/errors"
)

// Stream is one conversation with a peer. Send and Recv may be called from two
// goroutines at once; each by itself is for one goroutine at a time.
type Stream interface {
	// Send sends messages in one piece; for Data it waits for the peer's
	// credit first.
	Send(ctx context.Context, ms ...msg.Message) error
	// Recv gives the next message. Messages that came before the link was
	// lost are given before the error.
	Recv(ctx context.Context) (msg.Message, error)
	// Close forgets the stream; what still comes for it is dropped.
	Close()
}

// connStream is a Stream over a Conn.
type connStream struct {
	conn  *Conn
	id    uint64
	inbox chan msg.Message

	// credit is how many body bytes may still be sent.
	creditMu sync.Mutex
	credit   int
	more     chan struct{}

	// unacked is how many received body bytes were not yet returned as credit.
	unacked   int
	received  atomic.Int64
	closeOnce sync.Once
}

func newConnStream(c *Conn, id uint64) *connStream {
	return &connStream{
		conn:   c,
		id:     id,
		inbox:  make(chan msg.Message, inboxSize),
		credit: streamWindow,
		more:   make(chan struct{}, 1),
	}
}

// deliver is called by the connection's reader and never blocks: a peer that
// overruns its credit or the inbox breaks the protocol.
func (s *connStream) deliver(m msg.Message) error {
	switch m := m.(type) {
	case *msg.Window:
		s.addCredit(int(m.Bytes))
		return nil
	case *msg.Data:
		if len(m.Bytes) > ChunkSize || s.received.Add(int64(len(m.Bytes))) > streamWindow {
			return errors.Errorf("stream %d: peer overran its window", s.id)
		}
	}
	select {
	case s.inbox <- m:
		return nil
	default:
		return errors.Errorf("stream %d: peer overran the inbox", s.id)
	}
}

func (s *connStream) addCredit(n int) {
	s.creditMu.Lock()
	s.credit += n
	s.creditMu.Unlock()
	select {
	case s.more <- struct{}{}:
	default:
	}
}

// takeCredit waits until n bytes may be sent.
func (s *connStream) takeCredit(ctx context.Context, n int) error {
	for {
		s.creditMu.Lock()
		if s.credit >= n {
			s.credit -= n
			s.creditMu.Unlock()
			return nil
		}
		s.creditMu.Unlock()
		select {
		case <-s.more:
		case <-s.conn.done:
			return s.conn.Err()
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// Send implements Stream.
func (s *connStream) Send(ctx context.Context, ms ...msg.Message) error {
	for _, m := range ms {
		if d, ok := m.(*msg.Data); ok {
			// A small chunk costs as much inbox as a large one.
			if err := s.takeCredit(ctx, max(len(d.Bytes), minCredit)); err != nil {
				return err
			}
		}
	}
	return s.conn.send(ctx, s.id, ms...)
}

// minCredit is what a chunk costs at least, so that a window of the smallest
// chunks still fits the inbox.
const minCredit = streamWindow / (inboxSize / 2)

// Recv implements Stream.
func (s *connStream) Recv(ctx context.Context) (msg.Message, error) {
	select {
	case m := <-s.inbox:
		return m, s.consumed(ctx, m)
	default:
	}
	select {
	case m := <-s.inbox:
		return m, s.consumed(ctx, m)
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-s.conn.done:
	}
	select {
	case m := <-s.inbox:
		return m, s.consumed(ctx, m)
	default:
		return nil, s.conn.Err()
	}
}

// consumed returns credit for body bytes once half the window is used.
func (s *connStream) consumed(ctx context.Context, m msg.Message) error {
	d, ok := m.(*msg.Data)
	if !ok {
		return nil
	}
	s.received.Add(-int64(len(d.Bytes)))
	s.unacked += max(len(d.Bytes), minCredit)
	if s.unacked < streamWindow/2 {
		return nil
	}
	returned := uint32(s.unacked)
	s.unacked = 0
	return s.conn.send(ctx, s.id, &msg.Window{Bytes: returned})
}

// Close implements Stream.
func (s *connStream) Close() {
	s.closeOnce.Do(func() { s.conn.forget(s.id) })
}
