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

// TeamRateLimiter enforces the rate limits of teams. Control transports its datagrams over
// the membership socket and provides the list of live hosts.
type TeamRateLimiter interface {
	// Receive processes a datagram from another host.
	Receive(p *msg.TeamPacket)
	// Tick is called every tickInterval, 50 ms.
	Tick()
	// SetHosts sets the live hosts, sorted by name, and the number of hosts that share the
	// rates, which includes hosts that died recently.
	SetHosts(alive []quota.Host, known int)
}

const (
	// teamPacketPrefix is the first byte of a team datagram. No membership datagram starts
	// with it.
	teamPacketPrefix = 0xc1
	// teamHostsInterval is how often the hosts are set even without a new directory, because
	// deadHostShareTime of a dead host may have ended.
	teamHostsInterval = time.Second
	// deadHostShareTime is how long a dead host still counts as one that shares the rates,
	// because it may be alive on the other side of a network partition.
	deadHostShareTime = 20 * time.Second
)

// SendTeamPacket sends a team datagram to a host. The datagram may be lost.
func (c *Control) SendTeamPacket(to string, p *msg.TeamPacket) {
	buf, err := p.MarshalMsg([]byte{teamPacketPrefix})
	if err != nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	h, ok := c.hosts[to]
	if !ok || c.udp == nil {
		return
	}
	addr, err := net.ResolveUDPAddr("udp", h.PeerAddr)
	if err != nil {
		return
	}
	c.traffic.PacketsOut++
	c.traffic.BytesOut += uint64(len(buf))
	_, _ = c.udp.WriteToUDP(buf, addr)
}

// handleTeamPacket processes a team datagram. It returns false if buf is not one.
func (c *Control) handleTeamPacket(buf []byte) bool {
	if len(buf) == 0 || buf[0] != teamPacketPrefix {
		return false
	}
	var p msg.TeamPacket
	if _, err := p.UnmarshalMsg(buf[1:]); err == nil && c.hooks.TeamLimiter != nil {
		c.hooks.TeamLimiter.Receive(&p)
	}
	return true
}

// tickTeams sets the hosts of the team rate limiter if due and calls its Tick.
func (c *Control) tickTeams(now time.Time, hostsChanged bool) {
	if c.hooks.TeamLimiter == nil {
		return
	}
	if hostsChanged || now.Sub(c.teamHostsSetAt) >= teamHostsInterval {
		c.teamHostsSetAt = now
		c.hooks.TeamLimiter.SetHosts(c.rateSharingHosts(now))
	}
	c.hooks.TeamLimiter.Tick()
}

// rateSharingHosts returns the live hosts and the number of hosts that share the rates, for
// TeamRateLimiter.SetHosts. Hosts that are leaving are not included, except this one.
func (c *Control) rateSharingHosts(now time.Time) ([]quota.Host, int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	alive := []quota.Host{{Name: c.cfg.Host, DC: c.cfg.DC}}
	dead := 0
	for name, h := range c.hosts {
		switch {
		case h.Leaving || name == c.cfg.Host:
		case c.members.Status(name) != member.Dead:
			alive = append(alive, quota.Host{Name: name, DC: h.DC})
		case now.Before(c.removeAt[name].Add(deadHostShareTime - deadHostRetention)):
			dead++
		}
	}
	slices.SortFunc(alive, func(a, b quota.Host) int { return cmp.Compare(a.Name, b.Name) })
	return alive, len(alive) + dead
}
