package control

import (
	"cmp"
	"net"
	"slices"
	"time"

	"github.com/radishhoist/radishhoist/internal/core/member"
	"github.com/radishhoist/radishhoist/internal/core/quota"
	"github.com/radishhoist/radishhoist/internal/msg"
)

// Teams holds teams to their rates; Control carries its datagrams on the
// membership socket and tells it which hosts live.
type Teams interface {
	// Receive takes a datagram of another host.
	Receive(p *msg.TeamPacket)
	// Tick is called every 50 ms.
	Tick()
	// SetHosts takes the hosts that live, in order of name, and how many there are with
	// those that have died of late.
	SetHosts(alive []quota.Host, known int)
}

const (
	// teamMark begins a datagram about teams; no membership packet begins with it.
	teamMark = 0xc1
	// hostsAgain is the time after which the hosts are told again, because a dead one
	// may count no more.
	hostsAgain = time.Second
	// deadCounts is how long a dead host counts among the hosts that share a team's
	// rate: it may live on the other side of a cut.
	deadCounts = 20 * time.Second
)

// SendTeamPacket sends a datagram about teams to a host; it may vanish.
func (c *Control) SendTeamPacket(to string, p *msg.TeamPacket) {
	buf, err := p.MarshalMsg([]byte{teamMark})
	if err != nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	h, ok := c.hosts[to]
	if !ok || c.udp == nil {
		return
	}
	addr, err := net.ResolveUDPAddr("udp", h.Peer)
	if err != nil {
		return
	}
	c.traffic.PacketsOut++
	c.traffic.BytesOut += uint64(len(buf))
	_, _ = c.udp.WriteToUDP(buf, addr)
}

// hearTeams takes a datagram about teams, false where it is none.
func (c *Control) hearTeams(buf []byte) bool {
	if len(buf) == 0 || buf[0] != teamMark {
		return false
	}
	var p msg.TeamPacket
	if _, err := p.UnmarshalMsg(buf[1:]); err == nil && c.hooks.TeamLimiter != nil {
		c.hooks.TeamLimiter.Receive(&p)
	}
	return true
}

// tickTeams drives the teams' rates.
func (c *Control) tickTeams(now time.Time, hostsChanged bool) {
	if c.hooks.TeamLimiter == nil {
		return
	}
	if hostsChanged || now.Sub(c.hostsTold) >= hostsAgain {
		c.hostsTold = now
		c.hooks.TeamLimiter.SetHosts(c.sharers(now))
	}
	c.hooks.TeamLimiter.Tick()
}

// sharers lists the hosts that keep teams' accounts, and counts those that share
// the rates.
func (c *Control) sharers(now time.Time) ([]quota.Host, int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	alive := []quota.Host{{Name: c.cfg.Host, DC: c.cfg.DC}}
	dead := 0
	for name, h := range c.hosts {
		switch {
		case h.Leaving || name == c.cfg.Host:
		case c.members.Status(name) != member.Dead:
			alive = append(alive, quota.Host{Name: name, DC: h.DC})
		case now.Before(c.forgetAt[name].Add(deadCounts - forgetAfter)):
			dead++
		}
	}
	slices.SortFunc(alive, func(a, b quota.Host) int { return cmp.Compare(a.Name, b.Name) })
	return alive, len(alive) + dead
}
