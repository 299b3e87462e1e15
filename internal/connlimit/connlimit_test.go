package connlimit

import (
	"io"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// closedByOther waits until the other end has closed the connection.
func closedByOther(t *testing.T, nc net.Conn) {
	t.Helper()
	assert.NilError(t, nc.SetReadDeadline(time.Now().Add(20*time.Second)))
	_, err := nc.Read(make([]byte, 1))
	assert.Equal(t, err, io.EOF)
}

// Guards against connections that send nothing and keep others out: a new one takes the place of
// the one that has been silent for longest, and none is closed that has just been opened.
func TestSilentConnectionsAreReplaced(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	l := New(inner, 2)
	defer func() { _ = l.Close() }()
	accepted := make(chan net.Conn, 8)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			accepted <- c
		}
	}()
	dial := func() net.Conn {
		nc, err := net.Dial("tcp", inner.Addr().String())
		assert.NilError(t, err)
		t.Cleanup(func() { _ = nc.Close() })
		return nc
	}
	first, second := dial(), dial()
	serverFirst := <-accepted
	<-accepted
	closedByOther(t, dial())

	time.Sleep(MinSilence)
	_, err = first.Write([]byte("x"))
	assert.NilError(t, err)
	_, err = serverFirst.Read(make([]byte, 1))
	assert.NilError(t, err)
	dial()
	closedByOther(t, second)
	<-accepted

	assert.NilError(t, serverFirst.Close())
	dial()
	<-accepted
}
