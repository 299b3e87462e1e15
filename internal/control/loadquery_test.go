package control

import (
	"context"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/radishhoist/radishhoist/internal/msg"
)

// startLoadControl starts the reader of datagrams of a Control that has one instance. Replies
// to its queries arrive on the returned channel.
func startLoadControl(t *testing.T) (*Control, string, <-chan *msg.LoadReply) {
	t.Helper()
	c, _ := newTestControl(t)
	replies := make(chan *msg.LoadReply, 8)
	c.hooks.Load = func(service, instance string) (msg.Load, bool) {
		return msg.Load{Slots: 9, FailureEstimate: 250}, service == "s" && instance == "i"
	}
	c.hooks.LoadReply = func(r *msg.LoadReply) { replies <- r }
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		c.readPackets(ctx)
		close(done)
	}()
	t.Cleanup(func() {
		cancel()
		_ = c.udp.Close()
		<-done
	})
	return c, c.udp.LocalAddr().(*net.UDPAddr).String(), replies
}

// A guard replies to a query for one of its instances with the load, and not at all to other
// queries or to bytes that are no query, after which it still replies.
func TestLoadQueryIsAnswered(t *testing.T) {
	front, frontAddr, replies := startLoadControl(t)
	_, guardAddr, _ := startLoadControl(t)
	for _, junk := range [][]byte{{loadQueryPrefix}, {loadReplyPrefix, 0xff}, {loadQueryPrefix, 0x94, 0xc3}} {
		conn, err := net.Dial("udp", guardAddr)
		assert.NilError(t, err)
		_, err = conn.Write(junk)
		assert.NilError(t, err)
		assert.NilError(t, conn.Close())
	}
	front.SendLoadQuery("not an address", &msg.LoadQuery{ID: 1})
	front.SendLoadQuery(guardAddr, &msg.LoadQuery{ID: 2, Service: "s", Instance: "unknown"})
	front.SendLoadQuery(guardAddr, &msg.LoadQuery{ID: 3, Index: 4, Service: "s", Instance: "i"})
	select {
	case r := <-replies:
		assert.DeepEqual(t, r, &msg.LoadReply{ID: 3, Index: 4, Load: msg.Load{Slots: 9, FailureEstimate: 250}})
	case <-time.After(10 * time.Second):
		t.Fatalf("no reply arrived at %s within 10 s", frontAddr)
	}
	sent := front.State().Traffic
	assert.Equal(t, sent.LoadPacketsOut, uint64(2))
	assert.Equal(t, sent.PacketsOut, uint64(0), "load queries are not control traffic")
}
