package control

import (
	"time"

	"golang.org/x/time/rate"

	"github.com/radishhoist/radishhoist/internal/msg"
)

const (
	// pulsesPerSecond bounds the pulses that a host sends, copies and those passed
	// on counted each: with 110 bytes a pulse 7 KB a second, whatever the fleet's
	// size, of the 19 KB a second that control may take. Beyond the bound fewer hosts
	// hear of each change, and others each time.
	//
	// It guards against instances without work: while fleets of more than 64 hosts
	// were told nothing of loads and of wishes for a trial, instances of 91 hosts that
	// had failed once, or had had nothing to do, got nothing for 5 s and more.
	pulsesPerSecond = 64
	// pulseBurst is how many may be sent at once: a turned estimate that is told
	// and passed on in a fleet of 300 hosts.
	pulseBurst = 128
	// turnReserve is the part of the burst that is left for turned estimates.
	turnReserve = pulseBurst / 2
)

// pulseBudget is the rate of pulses of one host.
type pulseBudget struct{ limit *rate.Limiter }

func newPulseBudget() pulseBudget {
	return pulseBudget{rate.NewLimiter(pulsesPerSecond, pulseBurst)}
}

// take gives how many of some pulses may be sent now, and takes them. turned says
// that they tell of a turned estimate, which goes before loads.
func (b pulseBudget) take(now time.Time, count int, turned bool) int {
	room := int(b.limit.TokensAt(now))
	if !turned {
		room -= turnReserve
	}
	count = max(min(count, room), 0)
	b.limit.AllowN(now, count)
	return count
}

// Tell passes a pulse of this host's guard to the fronts of its data centre
// and, with far, to those of the others. Each of them gets one copy, which is
// passed on there: bytes between data centres are dear. Where the budget does not
// suffice for all, some are told.
func (c *Control) Tell(p *msg.Pulse, far bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	near, dcs := c.members.Live()
	if far {
		relayed := &msg.Pulse{Relay: true, Loads: p.Loads}
		for _, hosts := range dcs {
			if c.pulses.take(now, 1, far) == 1 {
				c.tellOne(hosts[c.rng.IntN(len(hosts))], relayed)
			}
		}
	}
	c.tellSome(now, near, p, far)
}

// tellSome sends a pulse to as many hosts as the budget allows, from a random one
// on. The caller holds the lock.
func (c *Control) tellSome(now time.Time, hosts []string, p *msg.Pulse, turned bool) {
	if len(hosts) == 0 {
		return
	}
	first := c.rng.IntN(len(hosts))
	for i := range c.pulses.take(now, len(hosts), turned) {
		c.tellOne(hosts[(first+i)%len(hosts)], p)
	}
}

func (c *Control) tellOne(host string, p *msg.Pulse) {
	if h, ok := c.hosts[host]; ok {
		c.queueTo(h.Peer, p)
	}
}

// takePulse hands a pulse of another host on.
func (c *Control) takePulse(p *msg.Pulse) {
	c.hooks.Pulse(p)
	if p.Relay {
		near, _ := c.members.Live()
		c.tellSome(time.Now(), near, &msg.Pulse{Loads: p.Loads}, true)
	}
}
