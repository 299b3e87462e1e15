package wire

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/radishhoist/radishhoist/internal/msg"
)

// writeQueue holds the encoded frames that a connection has not written yet. There
// is no writer goroutine: a sender that finds no other sender writing writes its
// own frames and those that others queue in the meantime. This saves two goroutine
// wake-ups per message.
type writeQueue struct {
	mu      sync.Mutex
	pending []byte
	// spare is the buffer of an earlier batch, reused for pending.
	spare   []byte
	writing bool
	// spaceFreed is closed when the writing sender takes the pending bytes; it is nil
	// while no sender waits for space.
	spaceFreed chan struct{}
}

// send writes messages contiguously, or queues them if another sender is writing.
// It waits while more than maxPendingBytes are queued.
func (c *Conn) send(ctx context.Context, stream uint64, ms ...msg.Message) error {
	for {
		wait, err := c.enqueue(stream, ms)
		if err != nil {
			return err
		}
		if wait == nil {
			return c.Err()
		}
		select {
		case <-wait:
		case <-c.done:
			return c.Err()
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// enqueue queues messages as frames and, if no other sender is writing, writes until
// the queue is empty. If the queue is full, it queues nothing and returns a channel to
// wait on before the next attempt.
func (c *Conn) enqueue(stream uint64, ms []msg.Message) (<-chan struct{}, error) {
	q := &c.writes
	q.mu.Lock()
	if len(q.pending) > maxPendingBytes {
		if q.spaceFreed == nil {
			q.spaceFreed = make(chan struct{})
		}
		defer q.mu.Unlock()
		return q.spaceFreed, nil
	}
	start := len(q.pending)
	for _, m := range ms {
		var err error
		if q.pending, err = AppendFrame(q.pending, stream, m); err != nil {
			q.pending = q.pending[:start]
			q.mu.Unlock()
			return nil, err
		}
	}
	if q.writing {
		q.mu.Unlock()
		return nil, nil
	}
	q.writing = true
	for len(q.pending) > 0 {
		batch := q.pending
		q.pending, q.spare = q.spare[:0], nil
		if q.spaceFreed != nil {
			close(q.spaceFreed)
			q.spaceFreed = nil
		}
		q.mu.Unlock()
		err := c.write(batch)
		q.mu.Lock()
		if cap(batch) <= maxRetainedBufferBytes {
			q.spare = batch
		}
		if err != nil {
			c.fail(errors.Wrap(err, "write"))
			break
		}
	}
	q.writing = false
	q.mu.Unlock()
	return nil, nil
}

func (c *Conn) write(batch []byte) error {
	if err := c.nc.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	_, err := c.nc.Write(batch)
	return err
}
