package control

import (
	"time"

	"github.com/radishhoist/radishhoist/internal/core/loadreport"
	"github.com/radishhoist/radishhoist/internal/msg"
)

// SendLoadReport sends a load report from this host's guard to the fronts of other hosts.
// With loadreport.ToAll, one host of each other data centre also receives a copy, which it
// forwards within its data centre. If the rate limit does not allow all recipients, only
// some receive the report.
func (c *Control) SendLoadReport(report *msg.LoadReport, to loadreport.Scope) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	local, dcs := c.members.Live()
	if to == loadreport.ToAll {
		forwarded := &msg.LoadReport{Forward: true, Loads: report.Loads}
		c.enqueueLoadReport(c.loadReportLimiter.SelectRemote(now, dcs), forwarded)
	}
	c.enqueueLoadReport(c.loadReportLimiter.SelectLocal(now, local, to), report)
}

// enqueueLoadReport queues a load report for the given hosts. The caller holds the lock.
func (c *Control) enqueueLoadReport(hosts []string, report *msg.LoadReport) {
	for _, host := range hosts {
		if h, ok := c.hosts[host]; ok {
			c.enqueue(h.PeerAddr, report)
		}
	}
}

// handleLoadReport processes a load report from another host and forwards it within the data
// centre if requested. The caller holds the lock.
func (c *Control) handleLoadReport(report *msg.LoadReport) {
	c.hooks.LoadReport(report)
	if report.Forward {
		local, _ := c.members.Live()
		c.enqueueLoadReport(c.loadReportLimiter.SelectLocal(time.Now(), local, loadreport.ToAll), &msg.LoadReport{Loads: report.Loads})
	}
}
