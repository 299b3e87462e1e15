package control

import (
	"context"
	"net"
	"net/netip"
	"time"

	"github.com/pkg/errors"

	"github.com/radishhoist/radishhoist/internal/core/config"
	"github.com/radishhoist/radishhoist/internal/core/member"
	"github.com/radishhoist/radishhoist/internal/msg"
	"github.com/radishhoist/radishhoist/internal/port"
)

// MessageSender sends control messages to other hosts.
type MessageSender interface {
	// SendControl sends a message to the host at an address. It may block until a
	// connection is established.
	SendControl(ctx context.Context, addr string, m msg.Message) error
	// SendLossy sends a message that may be lost in transit.
	SendLossy(ctx context.Context, addr string, m msg.Message) error
}

// SetSender sets the sender of control messages. It must be called before Run.
func (c *Control) SetSender(s MessageSender) { c.sender = s }

// Listen opens the membership socket. It must be called before Run.
func (c *Control) Listen() error {
	addr, err := net.ResolveUDPAddr("udp", c.cfg.PeerAddr)
	if err != nil {
		return errors.Wrapf(err, "resolve membership address %s", c.cfg.PeerAddr)
	}
	udp, err := net.ListenUDP("udp", addr)
	if err != nil {
		return port.Explain(err, "membership", c.cfg.PeerAddr)
	}
	c.udp = udp
	return nil
}

// packetConn is the part of *net.UDPConn that a Control uses.
type packetConn interface {
	ReadFromUDP([]byte) (int, *net.UDPAddr, error)
	WriteToUDP([]byte, *net.UDPAddr) (int, error)
	WriteToUDPAddrPort([]byte, netip.AddrPort) (int, error)
	LocalAddr() net.Addr
	Close() error
}

// enqueueToHost queues a message to another host, if its address is known.
func (c *Control) enqueueToHost(o config.Outbound) {
	h, ok := c.hosts[o.To]
	if !ok || o.To == c.cfg.Host {
		return
	}
	c.enqueue(h.PeerAddr, o.Msg)
}

// enqueue queues a message to an address. If the queue is full, the message is dropped, and
// periodic repair restores the lost data.
func (c *Control) enqueue(addr string, m msg.Message) {
	if !c.outboxes.put(addr, m) {
		c.traffic.Dropped++
		return
	}
	c.traffic.MessagesOut++
	c.traffic.BytesOut += uint64(m.(interface{ Msgsize() int }).Msgsize())
}

// sendMessage sends a queued message. Load reports and status reports are soon superseded,
// so they may be lost. Other messages must not be lost on a dead connection that has not
// been detected yet. Send errors are ignored, because periodic repair restores the lost
// data.
func (c *Control) sendMessage(ctx context.Context, addr string, m msg.Message) {
	switch m.(type) {
	case *msg.LoadReport, *msg.StatusReport:
		_ = c.sender.SendLossy(ctx, addr, m)
	default:
		_ = c.sender.SendControl(ctx, addr, m)
	}
}

func (c *Control) sendPacket(d member.Datagram) {
	buf, err := d.Packet.MarshalMsg(nil)
	if err != nil {
		return
	}
	addr, err := net.ResolveUDPAddr("udp", d.To)
	if err != nil {
		return
	}
	c.traffic.PacketsOut++
	c.traffic.BytesOut += uint64(len(buf))
	_, _ = c.udp.WriteToUDP(buf, addr)
}

func (c *Control) readPackets(ctx context.Context) {
	buf := make([]byte, maxPacketBytes)
	for ctx.Err() == nil {
		n, from, err := c.udp.ReadFromUDP(buf)
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			continue
		}
		if c.handleTeamPacket(buf[:n]) || c.handleLoadPacket(buf[:n], from) || c.handleSharePacket(buf[:n]) || c.handleLinkPacket(buf[:n], from) || c.handleStandbyPacket(buf[:n]) || c.handleDeparturePacket(buf[:n], from) {
			continue
		}
		var p msg.MemberPacket
		if _, err := p.UnmarshalMsg(buf[:n]); err != nil {
			continue
		}
		c.mu.Lock()
		c.traffic.PacketsIn++
		now := time.Now()
		c.addUnknownSender(&p)
		c.members.Step(now, &p)
		c.flush(now)
		c.mu.Unlock()
	}
}

// Traffic counts datagrams and control messages since the process started.
type Traffic struct {
	// PacketsIn counts the membership datagrams received, without team datagrams, share reports
	// and link reports.
	PacketsIn uint64 `json:"packetsIn"`
	// PacketsOut counts the membership and team datagrams and the share and link reports sent.
	PacketsOut uint64 `json:"packetsOut"`
	// MessagesIn counts the messages received.
	MessagesIn uint64 `json:"messagesIn"`
	// MessagesOut counts the messages queued, including those that are not sent later.
	MessagesOut uint64 `json:"messagesOut"`
	// BytesOut is the size of the datagrams in PacketsOut and the estimated size of the
	// messages in MessagesOut.
	BytesOut uint64 `json:"bytesOut"`
	// Dropped counts the messages that were dropped because the queue was full.
	Dropped uint64 `json:"dropped"`
	// LoadPacketsIn and LoadPacketsOut count the load queries and replies received and
	// sent, and LoadBytesOut is the size of the latter. They grow with the requests of
	// callers and are not part of the other fields.
	LoadPacketsIn  uint64 `json:"loadPacketsIn"`
	LoadPacketsOut uint64 `json:"loadPacketsOut"`
	LoadBytesOut   uint64 `json:"loadBytesOut"`
}
