package control

import (
	"net/netip"

	"github.com/radishhoist/radishhoist/internal/msg"
)

// shareReportPrefix is the first byte of the datagrams by which guards exchange the use of
// teams. No other datagram starts with it, and older builds drop it.
const shareReportPrefix = 0xc4

// SendShareReport sends the use of teams to the host at an address. The datagram may be lost.
func (c *Control) SendShareReport(address string, r *msg.ShareReport) {
	if buf, err := r.MarshalMsg([]byte{shareReportPrefix}); err == nil {
		c.sendReport(address, buf)
	}
}

// sendReport sends a datagram to the host at an address and counts it as control traffic.
func (c *Control) sendReport(address string, buf []byte) {
	addr, err := netip.ParseAddrPort(address)
	if err != nil || c.udp == nil {
		return
	}
	c.mu.Lock()
	c.traffic.PacketsOut++
	c.traffic.BytesOut += uint64(len(buf))
	c.mu.Unlock()
	_, _ = c.udp.WriteToUDPAddrPort(buf, addr)
}

// handleSharePacket processes a share report. It returns false if buf is not one.
func (c *Control) handleSharePacket(buf []byte) bool {
	if len(buf) == 0 || buf[0] != shareReportPrefix {
		return false
	}
	var r msg.ShareReport
	if rest, err := r.UnmarshalMsg(buf[1:]); err == nil && len(rest) == 0 && c.hooks.ShareReport != nil {
		c.hooks.ShareReport(&r)
	}
	return true
}
