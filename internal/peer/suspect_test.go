package peer

import (
	"context"
	"io"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/radishhoist/radishhoist/internal/msg"
	"github.com/radishhoist/radishhoist/internal/standin/memnet"
)

// testNetwork is an in-memory network whose connections can be made to drop all data.
type testNetwork struct {
	listener *memnet.Listener
	mu       sync.Mutex
	conns    []*blackholeConn
	dials    atomic.Int64
}

func (n *testNetwork) dial(ctx context.Context, network, address string) (net.Conn, error) {
	nc, err := n.listener.Dial(ctx, network, address)
	if err != nil {
		return nil, err
	}
	n.dials.Add(1)
	c := &blackholeConn{Conn: nc}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.conns = append(n.conns, c)
	return c, nil
}

// blackholeConns makes every existing connection drop all data permanently. New
// connections work.
func (n *testNetwork) blackholeConns() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, c := range n.conns {
		c.blackholed.Store(true)
	}
}

// blackholeConn drops data in both directions without an error once blackholed is set.
type blackholeConn struct {
	net.Conn
	blackholed atomic.Bool
}

func (c *blackholeConn) Write(p []byte) (int, error) {
	if c.blackholed.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

func (c *blackholeConn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if err != nil || !c.blackholed.Load() {
			return n, err
		}
	}
}

// testUnidentified is the bound of connections without a Hello in tests.
const testUnidentified = 16

// newPoolPair starts a pool that sends and one that receives. received returns the number
// of Digest messages that have arrived.
func newPoolPair(t *testing.T) (from *Pool, n *testNetwork, received func() int64, stop func()) {
	t.Helper()
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	n = &testNetwork{listener: memnet.Listen()}
	var count atomic.Int64
	to := newPool(n.listener, n.dial, msg.Hello{Host: "b"}, Handlers{Control: func(_ *msg.Hello, m msg.Message) {
		if _, ok := m.(*msg.Digest); ok {
			count.Add(1)
		}
	}}, testUnidentified, log)
	from = newPool(memnet.Listen(), n.dial, msg.Hello{Host: "a"}, Handlers{}, testUnidentified, log)
	return from, n, count.Load, func() {
		from.Close()
		to.Close()
		time.Sleep(time.Minute)
	}
}

// Guards against the loss of control messages when existing connections stop delivering
// data without a reset, while new ones work. Control messages have no response, so the
// sender does not notice, and the operating system detects the fault only after minutes.
// Without the check in SendControl, a message did not arrive within a minute.
func TestControlMessagesArriveDespiteDeadConnection(t *testing.T) {
	for _, pause := range []time.Duration{100 * time.Millisecond, time.Second, 5 * time.Second} {
		synctest.Test(t, func(t *testing.T) {
			from, n, received, stop := newPoolPair(t)
			defer stop()
			ctx := context.Background()
			assert.NilError(t, from.SendControl(ctx, "b", &msg.Digest{}))
			time.Sleep(10 * time.Second)
			assert.Equal(t, received(), int64(1))
			n.blackholeConns()
			for range 3 {
				start, before := time.Now(), received()
				assert.NilError(t, from.SendControl(ctx, "b", &msg.Digest{}))
				for received() == before && time.Since(start) < time.Minute {
					time.Sleep(10 * time.Millisecond)
				}
				waited := time.Since(start)
				assert.Assert(t, waited <= 700*time.Millisecond, "message received after %s", waited)
				time.Sleep(pause)
			}
		})
	}
}

// A frozen host does not respond to pings, even on new connections. The sender must not
// flood it with connections, and messages must arrive again once it recovers.
func TestFrozenPeerIsNotFloodedWithConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		from, n, received, stop := newPoolPair(t)
		defer stop()
		ctx := context.Background()
		for start := time.Now(); time.Since(start) < 3*time.Minute; {
			n.blackholeConns()
			assert.NilError(t, from.SendControl(ctx, "b", &msg.Digest{}))
			time.Sleep(100 * time.Millisecond)
		}
		// The first connection and its replacement, then one after 1, 2, 4, 8 and 16 s and
		// one every 30 s.
		assert.Assert(t, n.dials.Load() <= 12, "%d connections in 3 minutes", n.dials.Load())
		before := received()
		time.Sleep(replaceBackoffMax)
		assert.NilError(t, from.SendControl(ctx, "b", &msg.Digest{}))
		time.Sleep(time.Second)
		assert.Assert(t, received() > before)
	})
}

// A replaced connection is kept while it has open streams, and a suspect connection that
// responds to a ping is used again.
func TestSuspectConnectionKeepsItsStreams(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		from, n, _, stop := newPoolPair(t)
		defer stop()
		ctx := context.Background()
		_, conn, err := from.Open(ctx, "b")
		assert.NilError(t, err)
		conn.MarkSuspect()
		again, err := from.Conn(ctx, "b")
		assert.NilError(t, err)
		assert.Assert(t, again != conn, "a suspect connection was used for new work")
		assert.NilError(t, conn.Err())
		assert.Equal(t, n.dials.Load(), int64(2))
		from.CloseIdle()
		assert.NilError(t, conn.Err())

		again.MarkSuspect()
		assert.Assert(t, again.PingAndWait(ctx, pingTimeout))
		assert.Assert(t, !again.Suspect())
		same, err := from.Conn(ctx, "b")
		assert.NilError(t, err)
		assert.Assert(t, same == again)
	})
}

// A network fault often affects many connections at once. When one becomes suspect, the
// others are pinged. Otherwise each of them would delay a request or lose a message.
func TestSuspectConnectionTriggersPingOfOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		from, n, _, stop := newPoolPair(t)
		defer stop()
		ctx := context.Background()
		addrs := []string{"b", "c", "d", "e"}
		for _, addr := range addrs {
			assert.NilError(t, from.SendControl(ctx, addr, &msg.Digest{}))
		}
		time.Sleep(5 * time.Second)
		n.blackholeConns()
		_, conn, err := from.Open(ctx, "b")
		assert.NilError(t, err)
		conn.MarkSuspect()
		time.Sleep(2 * pingTimeout)
		before := n.dials.Load()
		for _, addr := range addrs {
			newConn, err := from.Conn(ctx, addr)
			assert.NilError(t, err)
			assert.Assert(t, newConn.PingAndWait(ctx, pingTimeout), "the dead connection to %s was not replaced", addr)
		}
		assert.Equal(t, n.dials.Load()-before, int64(len(addrs)))
	})
}
