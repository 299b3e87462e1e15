package peer

import (
	"io"
	"log/slog"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/radishhoist/radishhoist/internal/msg"
	"github.com/radishhoist/radishhoist/internal/port"
	"github.com/radishhoist/radishhoist/internal/wire"
)

// Guards against connections that never say which host they are from and use up descriptors: a new
// one replaces the oldest, so that a host that says so still gets in.
func TestConnectionsWithoutHelloAreBounded(t *testing.T) {
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	l, err := port.Listen("peers", "127.0.0.1:0")
	assert.NilError(t, err)
	received := make(chan struct{}, 1)
	pool := newPool(l, nil, msg.Hello{Host: "b"}, Handlers{Control: func(from *msg.Hello, _ msg.Message) {
		if from.Host == "a" {
			received <- struct{}{}
		}
	}}, testUnidentified, log)
	defer pool.Close()
	dial := func() net.Conn {
		nc, err := net.Dial("tcp", l.Addr().String())
		assert.NilError(t, err)
		t.Cleanup(func() { _ = nc.Close() })
		return nc
	}
	for range 3 * testUnidentified {
		dial()
	}
	pool.mu.Lock()
	assert.Assert(t, len(pool.unidentified) <= testUnidentified)
	pool.mu.Unlock()
	time.Sleep(minUnidentifiedTime)

	conn := wire.NewConn(dial(), wire.Handlers{})
	assert.NilError(t, conn.SendControl(t.Context(), &msg.Hello{Host: "a", Proto: wire.ProtocolVersion}))
	assert.NilError(t, conn.SendControl(t.Context(), &msg.Digest{}))
	select {
	case <-received:
	case <-time.After(20 * time.Second):
		t.Fatal("the message of a host that identified itself was not received")
	}
}
