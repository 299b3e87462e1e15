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

// blockingSender accepts messages for all addresses but one. A message to that address
// blocks until its context ends.
type blockingSender struct {
	blockedAddr string
	mu          sync.Mutex
	sent        map[string]time.Time
}

func (p *blockingSender) SendControl(ctx context.Context, addr string, _ msg.Message) error {
	if addr == p.blockedAddr {
		<-ctx.Done()
		return ctx.Err()
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sent[addr] = time.Now()
	return nil
}

func (p *blockingSender) SendLossy(ctx context.Context, addr string, m msg.Message) error {
	return p.SendControl(ctx, addr, m)
}

// A host that is unreachable or does not read must not delay messages to others. When
// addresses shared a few senders, its messages blocked one for up to 10 s, and with it
// those to an eighth of the other hosts: 12 of 100 addresses received their message only
// at the end of this test.
func TestAStuckPeerHoldsUpNobodyElse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newControlWithStore(unavailableStore{}, nil)
		sender := &blockingSender{blockedAddr: "10.0.0.0:1", sent: make(map[string]time.Time)}
		c.SetSender(sender)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		c.outboxes.start(ctx)
		start := time.Now()
		c.mu.Lock()
		for i := range 100 {
			c.enqueue(fmt.Sprintf("10.0.0.%d:1", i), &msg.Digest{})
		}
		c.mu.Unlock()
		time.Sleep(20 * time.Second)
		sender.mu.Lock()
		defer sender.mu.Unlock()
		assert.Equal(t, len(sender.sent), 99)
		for addr, at := range sender.sent {
			assert.Assert(t, at.Sub(start) < 50*time.Millisecond, "message to %s was sent after %s", addr, at.Sub(start))
		}
		cancel()
		synctest.Wait()
	})
}
