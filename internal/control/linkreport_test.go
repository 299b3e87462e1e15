package control

import (
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/radishhoist/radishhoist/internal/msg"
)

// A report must arrive as it was sent, with the address by which other hosts know its sender,
// although malformed datagrams share the socket: reports of unknown addresses do not count.
func TestLinkReportArrives(t *testing.T) {
	sender, _, _ := startLoadControl(t)
	receiver, _ := newTestControl(t)
	reports, senders := make(chan *msg.LinkReport, 8), make(chan string, 8)
	receiver.hooks.LinkReport = func(from string, r *msg.LinkReport) { reports <- r; senders <- from }
	done := make(chan struct{})
	go func() {
		receiver.readPackets(t.Context())
		close(done)
	}()
	t.Cleanup(func() {
		_ = receiver.udp.Close()
		<-done
	})
	address := receiver.udp.LocalAddr().(*net.UDPAddr).String()
	sent := &msg.LinkReport{Area: 1 << 15, Sent: 65535, Received: 3}
	buf, err := sent.MarshalMsg([]byte{linkReportPrefix})
	assert.NilError(t, err)
	conn, err := net.Dial("udp", address)
	assert.NilError(t, err)
	for _, junk := range [][]byte{buf[:1], buf[:len(buf)-1], append(buf[:len(buf):len(buf)], 0)} {
		_, err = conn.Write(junk)
		assert.NilError(t, err)
	}
	assert.NilError(t, conn.Close())
	sender.SendLinkReport("not an address", sent)
	sender.SendLinkReport(address, sent)
	select {
	case r := <-reports:
		assert.DeepEqual(t, r, sent)
		assert.Equal(t, <-senders, sender.udp.LocalAddr().String())
	case <-time.After(10 * time.Second):
		t.Fatal("no report arrived within 10 s")
	}
	assert.Equal(t, sender.State().Traffic.BytesOut, uint64(len(buf)), "link reports are control traffic")
}
