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

// network connects two pools by pipes whose connections can fall silent.
type network struct {
	listener *memnet.Listener
	mu       sync.Mutex
	conns    []*mutableConn
	dials    atomic.Int64
}

func (n *network) connect(ctx context.Context, network, address string) (net.Conn, error) {
	nc, err := n.listener.Dial(ctx, network, address)
	if err != nil {
		return nil, err
	}
	n.dials.Add(1)
	c := &mutableConn{Conn: nc}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.conns = append(n.conns, c)
	return c, nil
}

// silence makes every connection that stands now carry nothing any more, for good.
func (n *network) silence() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, c := range n.conns {
		c.silent.Store(true)
	}
}

// mutableConn drops what is sent either way once it is silent, without an error.
type mutableConn struct {
	net.Conn
	silent atomic.Bool
}

func (c *mutableConn) Write(p []byte) (int, error) {
	if c.silent.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

func (c *mutableConn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if err != nil || !c.silent.Load() {
			return n, err
		}
	}
}

// twoPools starts a pool that sends and one that notes when it hears a Digest.
func twoPools(t *testing.T) (from *Pool, n *network, heard func() int64, stop func()) {
	t.Helper()
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	n = &network{listener: memnet.Listen()}
	var count atomic.Int64
	to := newPool(n.listener, n.connect, msg.Hello{Host: "b"}, Handlers{Control: func(_ *msg.Hello, m msg.Message) {
		if _, ok := m.(*msg.Digest); ok {
			count.Add(1)
		}
	}}, log)
	from = newPool(memnet.Listen(), n.connect, msg.Hello{Host: "a"}, Handlers{}, log)
	return from, n, count.Load, func() {
		from.Close()
		to.Close()
		time.Sleep(time.Minute)
	}
}

// What users saw: nothing yet. Looked for after configurations had come into force late
// because of waits on connections that never answer.
//
// Order of events: the open connections between hosts fall silent, without a reset,
// while new ones work. Hosts go on sending what they have heard on them, without an
// error, and nobody hears it.
//
// Cause: what is sent to another host needs no answer, so that nothing showed that the
// connection carries nothing; the system's own time-outs for it are minutes.
//
// Evidence: here, a message sent into a silent connection was not heard within a minute.
func TestMessagesArriveThoughTheOldConnectionIsSilent(t *testing.T) {
	for _, pause := range []time.Duration{100 * time.Millisecond, time.Second, 5 * time.Second} {
		synctest.Test(t, func(t *testing.T) {
			from, n, heard, stop := twoPools(t)
			defer stop()
			ctx := context.Background()
			assert.NilError(t, from.SendControl(ctx, "b", &msg.Digest{}))
			time.Sleep(10 * time.Second)
			assert.Equal(t, heard(), int64(1))
			n.silence()
			for range 3 {
				start, before := time.Now(), heard()
				assert.NilError(t, from.SendControl(ctx, "b", &msg.Digest{}))
				for heard() == before && time.Since(start) < time.Minute {
					time.Sleep(10 * time.Millisecond)
				}
				waited := time.Since(start)
				assert.Assert(t, waited <= 700*time.Millisecond, "heard after %s", waited)
				time.Sleep(pause)
			}
		})
	}
}

// A host that is frozen leaves every connection without a sign, new ones too: it is not
// flooded with them, and hears what is sent once it wakes.
func TestAFrozenPeerIsNotFloodedWithConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		from, n, heard, stop := twoPools(t)
		defer stop()
		ctx := context.Background()
		for start := time.Now(); time.Since(start) < 3*time.Minute; {
			n.silence()
			assert.NilError(t, from.SendControl(ctx, "b", &msg.Digest{}))
			time.Sleep(100 * time.Millisecond)
		}
		// One at first and one in doubt, then after 1, 2, 4, 8, 16 and each further 30 s.
		assert.Assert(t, n.dials.Load() <= 12, "%d connections in 3 minutes", n.dials.Load())
		before := heard()
		time.Sleep(renewalMax)
		assert.NilError(t, from.SendControl(ctx, "b", &msg.Digest{}))
		time.Sleep(time.Second)
		assert.Assert(t, heard() > before)
	})
}

// A connection that was only slow to answer is used again, and one that was replaced is
// kept for as long as something is under way on it.
func TestWhatIsUnderWayOnADoubtedConnectionGoesOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		from, n, _, stop := twoPools(t)
		defer stop()
		ctx := context.Background()
		_, conn, err := from.Open(ctx, "b")
		assert.NilError(t, err)
		conn.Doubt()
		again, err := from.Conn(ctx, "b")
		assert.NilError(t, err)
		assert.Assert(t, again != conn, "a doubted connection is used for new work")
		assert.NilError(t, conn.Err())
		assert.Equal(t, n.dials.Load(), int64(2))
		from.Sweep()
		assert.NilError(t, conn.Err())

		again.Doubt()
		assert.Assert(t, again.PingAndWait(ctx, signTimeout))
		assert.Assert(t, !again.Suspect())
		same, err := from.Conn(ctx, "b")
		assert.NilError(t, err)
		assert.Assert(t, same == again)
	})
}

// What silences one connection often silences many: once one is found out the others
// are asked, so that not each costs a request or message.
func TestOneSilentConnectionHasTheOthersAsked(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		from, n, _, stop := twoPools(t)
		defer stop()
		ctx := context.Background()
		addresses := []string{"b", "c", "d", "e"}
		for _, addr := range addresses {
			assert.NilError(t, from.SendControl(ctx, addr, &msg.Digest{}))
		}
		time.Sleep(5 * time.Second)
		n.silence()
		_, conn, err := from.Open(ctx, "b")
		assert.NilError(t, err)
		conn.Doubt()
		time.Sleep(2 * signTimeout)
		before := n.dials.Load()
		for _, addr := range addresses {
			renewed, err := from.Conn(ctx, addr)
			assert.NilError(t, err)
			assert.Assert(t, renewed.PingAndWait(ctx, signTimeout), "the connection to %s is still the silent one", addr)
		}
		assert.Equal(t, n.dials.Load()-before, int64(len(addresses)))
	})
}
