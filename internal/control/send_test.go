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

// blockingSender accepts messages to all addresses but one. A message to that one blocks
// until its context ends.
type blockingSender struct {
	blockedAddr string
	mu          sync.Mutex
	sent        map[string]time.Time
}

func (s *blockingSender) SendControl(ctx context.Context, addr string, _ msg.Message) error {
	if addr == s.blockedAddr {
		<-ctx.Done()
		return ctx.Err()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sent[addr] = time.Now()
	return nil
}

func (s *blockingSender) SendLossy(ctx context.Context, addr string, m msg.Message) error {
	return s.SendControl(ctx, addr, m)
}

// A host that is unreachable or does not read must not delay messages to others. When the
// addresses shared a few senders, one such host blocked its sender for up to 10 s, and with
// it the messages to an eighth of the other hosts: 12 of 100 addresses received their
// message only at the end of this test.
func TestUnresponsivePeerDoesNotDelayOthers(t *testing.T) {
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
