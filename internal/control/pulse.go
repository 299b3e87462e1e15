package control

import (
	"time"

	"github.com/radishhoist/radishhoist/internal/core/pulse"
	"github.com/radishhoist/radishhoist/internal/msg"
)

// SendLoadReport passes a pulse of this host's guard to fronts. Each other data centre gets one
// copy, which is passed on there. Where the rate does not suffice for all, some are told.
func (c *Control) SendLoadReport(p *msg.LoadReport, to pulse.Reach) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	near, dcs := c.members.Live()
	if to == pulse.ToAll {
		relayed := &msg.LoadReport{Forward: true, Loads: p.Loads}
		c.tellAll(c.pulses.SelectRemote(now, dcs), relayed)
	}
	c.tellAll(c.pulses.SelectLocal(now, near, to), p)
}

// tellAll sends a pulse to some hosts. The caller holds the lock.
func (c *Control) tellAll(hosts []string, p *msg.LoadReport) {
	for _, host := range hosts {
		if h, ok := c.hosts[host]; ok {
			c.queueTo(h.Peer, p)
		}
	}
}

// takePulse hands a pulse of another host on.
func (c *Control) takePulse(p *msg.LoadReport) {
	c.hooks.LoadReport(p)
	if p.Forward {
		near, _ := c.members.Live()
		c.tellAll(c.pulses.SelectLocal(time.Now(), near, pulse.ToAll), &msg.LoadReport{Loads: p.Loads})
	}
}
