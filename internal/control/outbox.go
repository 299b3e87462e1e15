package control

import (
	"context"
	"sync"
	"time"

	"github.com/radishhoist/radishhoist/internal/msg"
)

const (
	// outboxDepth bounds the messages that wait for one address.
	outboxDepth = 64
	// sendTimeout bounds the sending of one message: a dial and a sign of life, and as
	// much again. What is older is of no more use; the repair finds what was lost.
	sendTimeout = 2 * time.Second
)

// outboxes hold the messages to other hosts. Each address is served in order and by a
// sender of its own, which lives while there is something to send: a host that is cut
// off, or that takes nothing more, holds up nobody else.
type outboxes struct {
	send func(ctx context.Context, addr string, m msg.Message)

	mu sync.Mutex
	// ctx is nil until the senders are started.
	ctx   context.Context
	boxes map[string]*outbox
	wg    sync.WaitGroup
}

// outbox is what waits for one address.
type outbox struct {
	waiting []msg.Message
	sending bool
}

func newOutboxes(send func(ctx context.Context, addr string, m msg.Message)) *outboxes {
	return &outboxes{send: send, boxes: make(map[string]*outbox)}
}

// put adds a message; false where too many wait.
func (o *outboxes) put(addr string, m msg.Message) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	box, ok := o.boxes[addr]
	if !ok {
		box = &outbox{}
		o.boxes[addr] = box
	}
	if len(box.waiting) >= outboxDepth {
		return false
	}
	box.waiting = append(box.waiting, m)
	o.serve(addr, box)
	return true
}

// start begins to send what waits, until the context ends.
func (o *outboxes) start(ctx context.Context) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.ctx = ctx
	for addr, box := range o.boxes {
		o.serve(addr, box)
	}
}

// wait waits for the senders, after the context has ended.
func (o *outboxes) wait() { o.wg.Wait() }

// serve starts the sender of an address that has none. The caller holds the lock.
func (o *outboxes) serve(addr string, box *outbox) {
	if box.sending || o.ctx == nil || o.ctx.Err() != nil {
		return
	}
	box.sending = true
	o.wg.Go(func() { o.drain(addr, box) })
}

// drain sends what waits for an address, until nothing does.
func (o *outboxes) drain(addr string, box *outbox) {
	for {
		m, ok := o.take(addr, box)
		if !ok {
			return
		}
		ctx, cancel := context.WithTimeout(o.ctx, sendTimeout)
		o.send(ctx, addr, m)
		cancel()
	}
}

func (o *outboxes) take(addr string, box *outbox) (msg.Message, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(box.waiting) == 0 || o.ctx.Err() != nil {
		box.sending = false
		delete(o.boxes, addr)
		return nil, false
	}
	m := box.waiting[0]
	box.waiting = box.waiting[1:]
	return m, true
}
