package wire

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/radishhoist/radishhoist/internal/msg"
)

// outgoing is what a connection has still to write. There is no writer
// goroutine: a sender that finds nobody writing writes its own frames and all
// that others add meanwhile. That saves two wake-ups on every message.
type outgoing struct {
	mu      sync.Mutex
	pending []byte
	spare   []byte
	writing bool
	// room is closed when the pending bytes have been taken, nil while nobody
	// waits.
	room chan struct{}
}

// send writes messages in one piece, or leaves them to the sender that is
// writing now. It waits while too much is pending.
func (c *Conn) send(ctx context.Context, stream uint64, ms ...msg.Message) error {
	for {
		wait, err := c.append(stream, ms)
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

// append adds frames and, where nobody writes, writes until nothing is left.
// It returns a channel to wait on where too much is pending.
func (c *Conn) append(stream uint64, ms []msg.Message) (<-chan struct{}, error) {
	o := &c.out
	o.mu.Lock()
	if len(o.pending) > maxPending {
		if o.room == nil {
			o.room = make(chan struct{})
		}
		defer o.mu.Unlock()
		return o.room, nil
	}
	start := len(o.pending)
	for _, m := range ms {
		var err error
		if o.pending, err = AppendFrame(o.pending, stream, m); err != nil {
			o.pending = o.pending[:start]
			o.mu.Unlock()
			return nil, err
		}
	}
	if o.writing {
		o.mu.Unlock()
		return nil, nil
	}
	o.writing = true
	for len(o.pending) > 0 {
		batch := o.pending
		o.pending, o.spare = o.spare[:0], nil
		if o.room != nil {
			close(o.room)
			o.room = nil
		}
		o.mu.Unlock()
		err := c.write(batch)
		o.mu.Lock()
		if cap(batch) <= keepScratch {
			o.spare = batch
		}
		if err != nil {
			c.fail(errors.Wrap(err, "write"))
			break
		}
	}
	o.writing = false
	o.mu.Unlock()
	return nil, nil
}

func (c *Conn) write(batch []byte) error {
	if err := c.nc.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	_, err := c.nc.Write(batch)
	return err
}
