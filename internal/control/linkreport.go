package control

import (
	"net"
	"net/netip"

	"github.com/radishhoist/radishhoist/internal/msg"
)

// linkReportPrefix is the first byte of the datagrams by which hosts of an area exchange their
// use of the link to other areas. No other datagram starts with it, and older builds drop it.
const linkReportPrefix = 0xc6

// SendLinkReport sends the use of the link between areas to the host at an address. The
// datagram may be lost.
func (c *Control) SendLinkReport(address string, r *msg.LinkReport) {
	if buf, err := r.MarshalMsg([]byte{linkReportPrefix}); err == nil {
		c.sendReport(address, buf)
	}
}

// handleLinkPacket processes a link report. It returns false if buf is not one. The sender is
// identified by its address, from which it sends all datagrams.
func (c *Control) handleLinkPacket(buf []byte, from *net.UDPAddr) bool {
	if len(buf) == 0 || buf[0] != linkReportPrefix {
		return false
	}
	var r msg.LinkReport
	if rest, err := r.UnmarshalMsg(buf[1:]); err == nil && len(rest) == 0 && c.hooks.LinkReport != nil {
		sender := from.AddrPort()
		c.hooks.LinkReport(netip.AddrPortFrom(sender.Addr().Unmap(), sender.Port()).String(), &r)
	}
	return true
}
