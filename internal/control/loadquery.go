package control

import (
	"net"
	"net/netip"
	"sync/atomic"

	"github.com/radishhoist/radishhoist/internal/msg"
)

const (
	// loadQueryPrefix and loadReplyPrefix are the first bytes of the datagrams by which
	// fronts ask guards for the load of an instance. No membership or team datagram starts
	// with one of them.
	loadQueryPrefix = 0xc2
	loadReplyPrefix = 0xc3
)

// loadTraffic counts load queries and replies. It is safe for concurrent use.
type loadTraffic struct{ packetsIn, packetsOut, bytesOut atomic.Uint64 }

// addTo returns the traffic with the counts added.
func (l *loadTraffic) addTo(t Traffic) Traffic {
	t.LoadPacketsIn, t.LoadPacketsOut, t.LoadBytesOut = l.packetsIn.Load(), l.packetsOut.Load(), l.bytesOut.Load()
	return t
}

// SendLoadQuery sends a load query to the host at an address. The datagram may be lost. It
// does not take the lock: a request waits for the reply.
func (c *Control) SendLoadQuery(address string, q *msg.LoadQuery) {
	addr, err := netip.ParseAddrPort(address)
	if err != nil || c.udp == nil {
		return
	}
	if buf, err := q.MarshalMsg([]byte{loadQueryPrefix}); err == nil {
		c.sendLoadPacket(buf, addr)
	}
}

// handleLoadPacket processes a load query or the reply to one. It returns false if buf is
// neither.
func (c *Control) handleLoadPacket(buf []byte, from *net.UDPAddr) bool {
	if len(buf) == 0 {
		return false
	}
	switch buf[0] {
	case loadQueryPrefix:
		c.loadTraffic.packetsIn.Add(1)
		var q msg.LoadQuery
		if _, err := q.UnmarshalMsg(buf[1:]); err == nil {
			c.replyToLoadQuery(&q, from)
		}
	case loadReplyPrefix:
		c.loadTraffic.packetsIn.Add(1)
		var r msg.LoadReply
		if _, err := r.UnmarshalMsg(buf[1:]); err == nil {
			c.hooks.LoadReply(&r)
		}
	default:
		return false
	}
	return true
}

// replyToLoadQuery sends the load of an instance of this host. There is no reply if there is
// no such instance.
func (c *Control) replyToLoadQuery(q *msg.LoadQuery, to *net.UDPAddr) {
	load, ok := c.hooks.Load(q.Service, q.Instance)
	if !ok {
		return
	}
	r := msg.LoadReply{ID: q.ID, Index: q.Index, Load: load}
	if buf, err := r.MarshalMsg([]byte{loadReplyPrefix}); err == nil {
		c.sendLoadPacket(buf, to.AddrPort())
	}
}

func (c *Control) sendLoadPacket(buf []byte, to netip.AddrPort) {
	c.loadTraffic.packetsOut.Add(1)
	c.loadTraffic.bytesOut.Add(uint64(len(buf)))
	_, _ = c.udp.WriteToUDPAddrPort(buf, to)
}
