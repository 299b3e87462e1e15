package wire

import (
	"context"
	"sync"

	"github.com/radishhoist/radishhoist/internal/msg"
)

// pipeBufferMessages is the capacity of each direction of a pipe, in messages.
const pipeBufferMessages = 8

// pipeEnd is one end of an in-process Stream. It connects a front and a guard in
// the same process without encoding frames.
type pipeEnd struct {
	in, out chan msg.Message
	peer    *pipeEnd
	closed  chan struct{}
	once    sync.Once
}

// Pipe returns the two ends of an in-process Stream.
func Pipe() (Stream, Stream) {
	ab, ba := make(chan msg.Message, pipeBufferMessages), make(chan msg.Message, pipeBufferMessages)
	a := &pipeEnd{in: ba, out: ab, closed: make(chan struct{})}
	b := &pipeEnd{in: ab, out: ba, closed: make(chan struct{})}
	a.peer, b.peer = b, a
	return a, b
}

// Send implements Stream.
func (p *pipeEnd) Send(ctx context.Context, ms ...msg.Message) error {
	for _, m := range ms {
		if err := p.sendOne(ctx, m); err != nil {
			return err
		}
	}
	return nil
}

func (p *pipeEnd) sendOne(ctx context.Context, m msg.Message) error {
	select {
	case <-p.peer.closed:
		return ErrClosed
	default:
	}
	select {
	case p.out <- m:
		return nil
	case <-p.peer.closed:
		return ErrClosed
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Recv implements Stream.
func (p *pipeEnd) Recv(ctx context.Context) (msg.Message, error) {
	select {
	case m := <-p.in:
		return m, nil
	default:
	}
	select {
	case m := <-p.in:
		return m, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-p.peer.closed:
	}
	select {
	case m := <-p.in:
		return m, nil
	default:
		return nil, ErrClosed
	}
}

// Close implements Stream.
func (p *pipeEnd) Close() {
	p.once.Do(func() { close(p.closed) })
}
