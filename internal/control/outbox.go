package control

import (
	"context"
	"sync"
	"time"

	"github.com/radishhoist/radishhoist/internal/msg"
)

const (
	// outboxCapacity is the maximum number of messages queued for one address.
	outboxCapacity = 64
	// sendTimeout limits the sending of one message. It is more than twice the time for
	// connecting to and pinging a peer (dialTimeout, 500 ms, and pingTimeout, 300 ms, of
	// package peer). Later delivery is not useful, because periodic repair restores the
	// lost data.
	sendTimeout = 2 * time.Second
)

// outboxes hold the messages to other hosts. Each address has its own queue and, while the
// queue is not empty, its own sending goroutine, so that a host that is unreachable or does
// not read does not delay messages to others.
type outboxes struct {
	send func(ctx context.Context, addr string, m msg.Message)

	mu sync.Mutex
	// ctx is nil until start is called.
	ctx    context.Context
	byAddr map[string]*outbox
	wg     sync.WaitGroup
}

// outbox is the queue of one address.
type outbox struct {
	queued []msg.Message
	// sending is true while the sending goroutine runs.
	sending bool
}

func newOutboxes(send func(ctx context.Context, addr string, m msg.Message)) *outboxes {
	return &outboxes{send: send, byAddr: make(map[string]*outbox)}
}

// put queues a message. It returns false if the queue is full.
func (o *outboxes) put(addr string, m msg.Message) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	box, ok := o.byAddr[addr]
	if !ok {
		box = &outbox{}
		o.byAddr[addr] = box
	}
	if len(box.queued) >= outboxCapacity {
		return false
	}
	box.queued = append(box.queued, m)
	o.startSender(addr, box)
	return true
}

// start starts sending. Messages are sent until the context ends.
func (o *outboxes) start(ctx context.Context) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.ctx = ctx
	for addr, box := range o.byAddr {
		o.startSender(addr, box)
	}
}

// wait blocks until all sending goroutines have ended. They end after the context does.
func (o *outboxes) wait() { o.wg.Wait() }

// startSender starts the sending goroutine of an address if none is running. The caller
// holds the lock.
func (o *outboxes) startSender(addr string, box *outbox) {
	if box.sending || o.ctx == nil || o.ctx.Err() != nil {
		return
	}
	box.sending = true
	o.wg.Go(func() { o.sendQueued(addr, box) })
}

// sendQueued sends the messages of an address until its queue is empty.
func (o *outboxes) sendQueued(addr string, box *outbox) {
	for {
		m, ok := o.next(addr, box)
		if !ok {
			return
		}
		ctx, cancel := context.WithTimeout(o.ctx, sendTimeout)
		o.send(ctx, addr, m)
		cancel()
	}
}

func (o *outboxes) next(addr string, box *outbox) (msg.Message, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(box.queued) == 0 || o.ctx.Err() != nil {
		box.sending = false
		delete(o.byAddr, addr)
		return nil, false
	}
	m := box.queued[0]
	box.queued = box.queued[1:]
	return m, true
}
