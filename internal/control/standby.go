package control

import (
	"cmp"
	"log/slog"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/radishhoist/radishhoist/internal/core/standby"
	"github.com/radishhoist/radishhoist/internal/event"
	"github.com/radishhoist/radishhoist/internal/msg"
)

const (
	// watchRequestPrefix and watchReplyPrefix are the first bytes of the datagrams by which a
	// watcher asks another host to watch in its place. No other datagram starts with one of
	// them, and older builds drop them.
	watchRequestPrefix = 0xc7
	watchReplyPrefix   = 0xc8
)

// tickStandby advances the search for a host that watches in place of this one. The caller
// holds the lock.
func (c *Control) tickStandby(now time.Time) {
	if c.standby.Active() {
		c.standby.Tick(now, c.standbyPosition())
		c.sendStandby()
	}
	if s := c.standby.Substitute(); s != c.substitute {
		c.substitute = s
		if s != "" {
			event.Log(c.log, event.WatchHandedOver, slog.String("peer", s))
		}
	}
}

// standbyPosition returns the position of this host in its data centre. The caller holds the lock.
func (c *Control) standbyPosition() standby.Position {
	return standby.Position{Rank: c.rank(), Candidates: func() []string {
		hosts := append(c.ranked(), c.cfg.Host)
		slices.SortFunc(hosts, func(a, b string) int { return cmp.Compare(xxhash.Sum64String(a), xxhash.Sum64String(b)) })
		return hosts[min(c.cfg.WatchersPerDC, len(hosts)):]
	}}
}

// sendStandby sends the pending requests and replies. The caller holds the lock.
func (c *Control) sendStandby() {
	for _, o := range c.standby.Take() {
		h, ok := c.hosts[o.To]
		if !ok {
			continue
		}
		var buf []byte
		var err error
		if o.Request != nil {
			buf, err = o.Request.MarshalMsg([]byte{watchRequestPrefix})
		} else {
			buf, err = o.Reply.MarshalMsg([]byte{watchReplyPrefix})
		}
		addr, addrErr := netip.ParseAddrPort(h.PeerAddr)
		if err == nil && addrErr == nil {
			c.sendDatagram(addr, buf)
		}
	}
}

// handleStandbyPacket processes a watch request or the reply to one. It returns false if buf is
// neither.
func (c *Control) handleStandbyPacket(buf []byte) bool {
	if len(buf) == 0 {
		return false
	}
	switch buf[0] {
	case watchRequestPrefix:
		var r msg.WatchRequest
		if rest, err := r.UnmarshalMsg(buf[1:]); err == nil && len(rest) == 0 {
			c.handleWatchRequest(&r)
		}
	case watchReplyPrefix:
		var r msg.WatchReply
		if rest, err := r.UnmarshalMsg(buf[1:]); err == nil && len(rest) == 0 {
			c.mu.Lock()
			c.standby.StepReply(time.Now(), &r)
			c.mu.Unlock()
		}
	default:
		return false
	}
	return true
}

// handleWatchRequest handles the request of a known host and starts to watch.
func (c *Control) handleWatchRequest(r *msg.WatchRequest) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, known := c.hosts[r.From]; !known {
		return
	}
	c.standby.StepRequest(time.Now(), r, c.rank() < c.cfg.WatchersPerDC)
	c.sendStandby()
	if watching, _ := c.standby.Watching(); watching {
		select {
		case c.standbyChanged <- struct{}{}:
		default:
		}
	}
}
