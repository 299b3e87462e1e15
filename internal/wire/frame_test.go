package wire

import (
	"bytes"
	"context"
	"errors"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/radishhoist/radishhoist/internal/msg"
)

// FuzzReadFrame checks that arbitrary input does not panic the decoder, and that
// every accepted frame can be encoded and decoded again.
func FuzzReadFrame(f *testing.F) {
	seeds := []msg.Message{
		&msg.Hello{Proto: ProtocolVersion, Host: "h1", DC: "a"}, &msg.Data{Bytes: []byte("body")},
		&msg.Run{RequestID: "r", Method: "GET", URI: "/", Header: []msg.Field{{Name: "A", Value: "b"}}},
		&msg.Rumor{Entries: []msg.Entry{{Kind: "Route", Name: "x", Version: 3, Value: []byte("{}")}}},
		&msg.Versions{Buckets: []uint32{1, 2}, Items: []msg.VersionItem{{Kind: "Route", Name: "x", Version: 3}}},
	}
	for i, m := range seeds {
		frame, err := AppendFrame(nil, uint64(i), m)
		assert.NilError(f, err)
		f.Add(frame)
	}
	f.Add([]byte{0, 0, 0, 9, 0, 0, 0, 0, 0, 0, 0, 1, 255})
	f.Add([]byte{255, 255, 255, 255, 0})
	f.Fuzz(func(t *testing.T, data []byte) {
		stream, m, _, err := ReadFrame(bytes.NewReader(data), nil)
		if err != nil {
			return
		}
		reencoded, err := AppendFrame(nil, stream, m)
		assert.NilError(t, err)
		_, m2, _, err := ReadFrame(bytes.NewReader(reencoded), nil)
		assert.NilError(t, err)
		assert.Equal(t, m2.Kind(), m.Kind())
	})
}

// connect opens a loopback TCP connection. It returns one end as a Conn and the other
// as a net.Conn.
func connect(t *testing.T, accept func(Stream)) (*Conn, net.Conn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = l.Close() }()
	raw, err := net.Dial("tcp", l.Addr().String())
	assert.NilError(t, err)
	nc, err := l.Accept()
	assert.NilError(t, err)
	c := NewConn(nc, Handlers{Accept: accept})
	t.Cleanup(func() {
		c.Close()
		_ = raw.Close()
	})
	return c, raw
}

func TestMalformedFrameClosesOnlyItsConnection(t *testing.T) {
	for name, bytes := range map[string][]byte{
		"unknown kind": {0, 0, 0, 9, 0, 0, 0, 0, 0, 0, 0, 1, 250},
		"too short":    {0, 0, 0, 1, 0},
		"too long":     {255, 0, 0, 0},
		"bad body":     {0, 0, 0, 10, 0, 0, 0, 0, 0, 0, 0, 1, byte(msg.KindRun), 0xc1},
	} {
		t.Run(name, func(t *testing.T) {
			good, _ := connect(t, nil)
			bad, raw := connect(t, nil)
			_, err := raw.Write(bytes)
			assert.NilError(t, err)
			<-bad.Done()
			assert.Assert(t, bad.Err() != nil)
			assert.NilError(t, good.Err())
		})
	}
}

func TestSlowReaderDoesNotBlockOtherStreams(t *testing.T) {
	streams := make(chan Stream, 2)
	_, raw := connect(t, func(s Stream) { streams <- s })
	sender := NewConn(raw, Handlers{})
	defer sender.Close()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	slow, err := sender.Open()
	assert.NilError(t, err)
	assert.NilError(t, slow.Send(ctx, &msg.Run{}))
	<-streams // the receiver never reads from this stream

	sendCtx, cancelSend := context.WithTimeout(ctx, 200*time.Millisecond)
	defer cancelSend()
	sent := 0
	for ; sent < 100; sent++ {
		if err = slow.Send(sendCtx, &msg.Data{Bytes: make([]byte, ChunkSize)}); err != nil {
			break
		}
	}
	assert.Assert(t, errors.Is(err, context.DeadlineExceeded), "the sender was not blocked by flow control: %v", err)
	assert.Assert(t, sent*ChunkSize <= StreamWindowBytes)

	fast, err := sender.Open()
	assert.NilError(t, err)
	assert.NilError(t, fast.Send(ctx, &msg.Run{RequestID: "fast"}))
	m, err := (<-streams).Recv(ctx)
	assert.NilError(t, err)
	assert.Equal(t, m.(*msg.Run).RequestID, "fast")
}

func TestDuplicateFirstMessageOpensNoSecondStream(t *testing.T) {
	opened := make(chan Stream, 4)
	c, raw := connect(t, func(s Stream) { opened <- s })
	frame, err := AppendFrame(nil, 7, &msg.Run{RequestID: "once"})
	assert.NilError(t, err)
	_, err = raw.Write(frame)
	assert.NilError(t, err)
	(<-opened).Close()
	marker, err := AppendFrame(nil, 8, &msg.Run{RequestID: "marker"})
	assert.NilError(t, err)
	_, err = raw.Write(append(frame, marker...))
	assert.NilError(t, err)
	m, err := (<-opened).Recv(context.Background())
	assert.NilError(t, err)
	assert.Equal(t, m.(*msg.Run).RequestID, "marker", "the duplicate frame opened a stream")
	assert.Equal(t, c.StrayFrames(), uint64(1))
}
