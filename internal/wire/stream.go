package wire

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/radishhoist/radishhoist/internal/msg"

	"github.com/pkg/errors"
)

// Stream is a bidirectional sequence of messages with a peer. Send and Recv may be
// called concurrently with each other, but neither concurrently with itself.
type Stream interface {
	// Send sends messages contiguously. It first waits until the peer has granted
	// enough flow-control credit for the Data messages among them.
	Send(ctx context.Context, ms ...msg.Message) error
	// Recv returns the next message. Messages received before the connection
	// ended are returned before its error.
	Recv(ctx context.Context) (msg.Message, error)
	// Close releases the stream; messages that still arrive for it are dropped.
	Close()
}

// connStream is a Stream over a Conn.
type connStream struct {
	conn      *Conn
	id        uint64
	recvQueue chan msg.Message

	creditMu sync.Mutex
	// credit is the number of body bytes that may still be sent.
	credit int
	// creditAdded has capacity 1 and holds a value if credit was added since the last
	// wait.
	creditAdded chan struct{}

	// unreturned is the credit for consumed messages, in bytes, that has not been
	// returned to the peer yet.
	unreturned int
	// buffered is the number of body bytes received but not yet consumed.
	buffered  atomic.Int64
	closeOnce sync.Once
}

func newConnStream(c *Conn, id uint64) *connStream {
	return &connStream{
		conn:        c,
		id:          id,
		recvQueue:   make(chan msg.Message, recvQueueMessages),
		credit:      StreamWindowBytes,
		creditAdded: make(chan struct{}, 1),
	}
}

// deliver queues a message for Recv. It runs on the read loop and never blocks: a
// peer that exceeds its credit or the receive queue violates the protocol.
func (s *connStream) deliver(m msg.Message) error {
	switch m := m.(type) {
	case *msg.Window:
		s.addCredit(int(m.Bytes))
		return nil
	case *msg.Data:
		if len(m.Bytes) > ChunkSize || s.buffered.Add(int64(len(m.Bytes))) > StreamWindowBytes {
			return errors.Errorf("stream %d: peer exceeded its flow-control window", s.id)
		}
	}
	select {
	case s.recvQueue <- m:
		return nil
	default:
		return errors.Errorf("stream %d: peer exceeded the receive queue", s.id)
	}
}

func (s *connStream) addCredit(n int) {
	s.creditMu.Lock()
	s.credit += n
	s.creditMu.Unlock()
	select {
	case s.creditAdded <- struct{}{}:
	default:
	}
}

// takeCredit waits until n bytes of credit are available and spends them.
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
		case <-s.creditAdded:
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
			// A small chunk occupies one place in the receive queue, like a large one.
			if err := s.takeCredit(ctx, max(len(d.Bytes), minCreditBytes)); err != nil {
				return err
			}
		}
	}
	return s.conn.send(ctx, s.id, ms...)
}

// minCreditBytes is the minimum credit charged for a Data message, in bytes. It keeps a
// full window of small chunks within half of the receive queue.
const minCreditBytes = StreamWindowBytes / (recvQueueMessages / 2)

// Recv implements Stream.
func (s *connStream) Recv(ctx context.Context) (msg.Message, error) {
	select {
	case m := <-s.recvQueue:
		return m, s.returnCredit(ctx, m)
	default:
	}
	select {
	case m := <-s.recvQueue:
		return m, s.returnCredit(ctx, m)
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-s.conn.done:
	}
	select {
	case m := <-s.recvQueue:
		return m, s.returnCredit(ctx, m)
	default:
		return nil, s.conn.Err()
	}
}

// returnCredit accounts for a consumed message and returns credit to the peer once
// half of the window has been consumed.
func (s *connStream) returnCredit(ctx context.Context, m msg.Message) error {
	d, ok := m.(*msg.Data)
	if !ok {
		return nil
	}
	s.buffered.Add(-int64(len(d.Bytes)))
	s.unreturned += max(len(d.Bytes), minCreditBytes)
	if s.unreturned < StreamWindowBytes/2 {
		return nil
	}
	returned := uint32(s.unreturned)
	s.unreturned = 0
	return s.conn.send(ctx, s.id, &msg.Window{Bytes: returned})
}

// Close implements Stream.
func (s *connStream) Close() {
	s.closeOnce.Do(func() { s.conn.removeStream(s.id) })
}
