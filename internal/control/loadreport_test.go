package control

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/radishhoist/radishhoist/internal/core/loadreport"
	"github.com/radishhoist/radishhoist/internal/msg"
)

// newControlWithHosts creates a Control that knows the given number of other hosts of its own
// data centre, and remote[i] hosts of the i-th other data centre.
func newControlWithHosts(t *testing.T, local int, remote ...int) *Control {
	t.Helper()
	c, _ := newTestControl(t)
	addHost := func(name, dc string) {
		state := msg.HostState{DC: dc, PeerAddr: "127.0.0.1:1" + name[1:], Incarnation: 1}
		value, err := state.MarshalMsg(nil)
		assert.NilError(t, err)
		c.applyHost(time.Now(), msg.Entry{Kind: hostKind, Name: name, Version: 1 << 20, Value: value})
	}
	for i := range local {
		addHost(fmt.Sprintf("n%03d", i), "dc")
	}
	for d, hosts := range remote {
		for i := range hosts {
			addHost(fmt.Sprintf("f%d%02d", d+1, i), fmt.Sprint("far", d))
		}
	}
	return c
}

// takeQueuedReports removes all queued messages. It returns the number of load reports among
// them, and how many of these are to be forwarded.
func takeQueuedReports(c *Control) (all, forwarded int) {
	for addr, box := range c.outboxes.byAddr {
		for _, m := range box.queued {
			if p, ok := m.(*msg.LoadReport); ok {
				all++
				if p.Forward {
					forwarded++
				}
			}
		}
		delete(c.outboxes.byAddr, addr)
	}
	return all, forwarded
}

func newLoadReport() *msg.LoadReport {
	return &msg.LoadReport{Loads: []msg.InstanceLoad{{Service: "s", Instance: "i"}}}
}

func TestSmallFleetReceivesAllLoadReports(t *testing.T) {
	c := newControlWithHosts(t, 7, 8, 8)
	c.SendLoadReport(newLoadReport(), loadreport.ToLocal)
	all, forwarded := takeQueuedReports(c)
	assert.Equal(t, all, 7)
	assert.Equal(t, forwarded, 0)
	c.SendLoadReport(newLoadReport(), loadreport.ToAll)
	all, forwarded = takeQueuedReports(c)
	assert.Equal(t, all, 9)
	assert.Equal(t, forwarded, 2)
}

func TestForwardedLoadReportStaysInDataCentre(t *testing.T) {
	c := newControlWithHosts(t, 7, 8)
	received := 0
	c.hooks.LoadReport = func(*msg.LoadReport) { received++ }
	c.HandleControl(&msg.Hello{Host: "f100"}, &msg.LoadReport{Forward: true, Loads: newLoadReport().Loads})
	all, forwarded := takeQueuedReports(c)
	assert.Equal(t, received, 1)
	assert.Equal(t, all, 7)
	assert.Equal(t, forwarded, 0)
	c.HandleControl(&msg.Hello{Host: "n001"}, newLoadReport())
	all, _ = takeQueuedReports(c)
	assert.Equal(t, all, 0)
}

// In a large fleet, too, a load report must reach as many hosts as the rate limit allows if
// there are no other reports to send. A front that receives none sends no requests to
// instances that have long recovered.
func TestLargeFleetReceivesLoadReports(t *testing.T) {
	for _, hosts := range []int{22, 60, 90} {
		c := newControlWithHosts(t, hosts, 30)
		c.SendLoadReport(newLoadReport(), loadreport.ToLocal)
		all, _ := takeQueuedReports(c)
		assert.Assert(t, all >= min(hosts, loadreport.Burst-loadreport.ChangeReserve-1), "%d of %d", all, hosts)
	}
}

// The send rate must be limited regardless of the number of reports and hosts, and reports of
// load must leave a reserve for reports of changed estimates.
func TestLoadReportRateIsIndependentOfFleetSize(t *testing.T) {
	for _, hosts := range []int{7, 64, 500} {
		c := newControlWithHosts(t, hosts, 20, 20)
		start := time.Now()
		for range 200 {
			c.SendLoadReport(newLoadReport(), loadreport.ToLocal)
		}
		loads, _ := takeQueuedReports(c)
		assert.Assert(t, float64(loads) <= loadreport.ChangeReserve+loadreport.MaxRate*time.Since(start).Seconds()+1)
		c.SendLoadReport(newLoadReport(), loadreport.ToAll)
		changed, forwarded := takeQueuedReports(c)
		assert.Assert(t, changed >= min(hosts+2, loadreport.ChangeReserve-1))
		assert.Equal(t, forwarded, 2)
		for range 200 {
			c.SendLoadReport(newLoadReport(), loadreport.ToAll)
		}
		more, _ := takeQueuedReports(c)
		assert.Assert(t, float64(loads+changed+more) <= loadreport.Burst+loadreport.MaxRate*time.Since(start).Seconds()+1)
	}
}

// The report of an idle instance must go to few hosts, regardless of the size of the data
// centre. If all received it, all would send requests there, and the reports would use up the
// host's rate limit.
func TestFewHostsReceiveReportOfIdleInstance(t *testing.T) {
	for _, hosts := range []int{2, 7, 90} {
		c := newControlWithHosts(t, hosts, 30)
		c.SendLoadReport(newLoadReport(), loadreport.ToFew)
		all, forwarded := takeQueuedReports(c)
		assert.Equal(t, all, min(hosts, 4))
		assert.Equal(t, forwarded, 0)
	}
}

// If many estimates change, the reports of these changes use up the rate limit. Reports of
// instances that ask for a request have a separate limit and must still be sent.
func TestReportsToFewHostsHaveSeparateRateLimit(t *testing.T) {
	c := newControlWithHosts(t, 500, 20, 20)
	start := time.Now()
	for range 200 {
		c.SendLoadReport(newLoadReport(), loadreport.ToAll)
	}
	takeQueuedReports(c)
	c.SendLoadReport(newLoadReport(), loadreport.ToFew)
	toFew, _ := takeQueuedReports(c)
	assert.Equal(t, toFew, 4)
	for range 200 {
		c.SendLoadReport(newLoadReport(), loadreport.ToFew)
	}
	more, _ := takeQueuedReports(c)
	assert.Assert(t, float64(toFew+more) <= loadreport.FewHostsMaxRate*(1+time.Since(start).Seconds())+1)
}
