package control

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/radishhoist/radishhoist/internal/msg"
)

// stuckPeers take messages for all addresses but one, for which a message waits until
// its sender gives it up.
type stuckPeers struct {
	stuck string
	mu    sync.Mutex
	sent  map[string]time.Time
}

func (p *stuckPeers) SendControl(ctx context.Context, addr string, _ msg.Message) error {
	if addr == p.stuck {
		<-ctx.Done()
		return ctx.Err()
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sent[addr] = time.Now()
	return nil
}

func (p *stuckPeers) SendLossy(ctx context.Context, addr string, m msg.Message) error {
	return p.SendControl(ctx, addr, m)
}

// What users saw: nothing yet. Looked for after configurations had come into force late
// because something that could not end stood in front.
//
// Order of events: a host is cut off, or its connection takes nothing more. What others
// have to tell it waits, for up to 10 s. An eighth of all other hosts hears nothing
// meanwhile, because their messages wait behind it.
//
// Cause: addresses shared a few senders.
//
// Evidence: here 12 of 100 addresses got their message only with the end of the test.
func TestAStuckPeerHoldsUpNobodyElse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newOver(awayStore{}, nil)
		peers := &stuckPeers{stuck: "10.0.0.0:1", sent: make(map[string]time.Time)}
		c.SetSender(peers)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		c.outboxes.start(ctx)
		start := time.Now()
		c.mu.Lock()
		for i := range 100 {
			c.queueTo(fmt.Sprintf("10.0.0.%d:1", i), &msg.Digest{})
		}
		c.mu.Unlock()
		time.Sleep(20 * time.Second)
		peers.mu.Lock()
		defer peers.mu.Unlock()
		assert.Equal(t, len(peers.sent), 99)
		for addr, at := range peers.sent {
			assert.Assert(t, at.Sub(start) < 50*time.Millisecond, "%s got its message %s late", addr, at.Sub(start))
		}
		cancel()
		synctest.Wait()
	})
}
