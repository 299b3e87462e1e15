package control

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/radishhoist/radishhoist/internal/core/pulse"
	"github.com/radishhoist/radishhoist/internal/msg"
)

// withHosts makes a Control that knows hosts near it and in other data centres.
func withHosts(t *testing.T, near int, far ...int) *Control {
	t.Helper()
	c, _ := newTestControl(t)
	meet := func(name, dc string) {
		state := msg.HostState{DC: dc, Peer: "127.0.0.1:1" + name[1:], Incarnation: 1}
		value, err := state.MarshalMsg(nil)
		assert.NilError(t, err)
		c.applyHost(time.Now(), msg.Entry{Kind: hostKind, Name: name, Version: 1 << 20, Value: value})
	}
	for i := range near {
		meet(fmt.Sprintf("n%03d", i), "dc")
	}
	for d, hosts := range far {
		for i := range hosts {
			meet(fmt.Sprintf("f%d%02d", d+1, i), fmt.Sprint("far", d))
		}
	}
	return c
}

// told counts the pulses that wait to be sent, and those to be passed on.
func told(c *Control) (all, relayed int) {
	for addr, box := range c.outboxes.boxes {
		for _, m := range box.waiting {
			if p, ok := m.(*msg.LoadReport); ok {
				all++
				if p.Forward {
					relayed++
				}
			}
		}
		delete(c.outboxes.boxes, addr)
	}
	return all, relayed
}

func aPulse() *msg.LoadReport {
	return &msg.LoadReport{Loads: []msg.InstanceLoad{{Service: "s", Instance: "i"}}}
}

func TestASmallFleetIsToldEverythingWithOneCopyADataCentre(t *testing.T) {
	c := withHosts(t, 7, 8, 8)
	c.SendLoadReport(aPulse(), pulse.ToLocal)
	all, relayed := told(c)
	assert.Equal(t, all, 7)
	assert.Equal(t, relayed, 0)
	c.SendLoadReport(aPulse(), pulse.ToAll)
	all, relayed = told(c)
	assert.Equal(t, all, 9)
	assert.Equal(t, relayed, 2)
}

func TestARelayedPulseIsPassedOnNearbyOnly(t *testing.T) {
	c := withHosts(t, 7, 8)
	heard := 0
	c.hooks.LoadReport = func(*msg.LoadReport) { heard++ }
	c.HandleControl(&msg.Hello{Host: "f100"}, &msg.LoadReport{Forward: true, Loads: aPulse().Loads})
	all, relayed := told(c)
	assert.Equal(t, heard, 1)
	assert.Equal(t, all, 7)
	assert.Equal(t, relayed, 0)
	c.HandleControl(&msg.Hello{Host: "n001"}, aPulse())
	all, _ = told(c)
	assert.Equal(t, all, 0)
}

// A large fleet is told of loads and of wishes too, while nothing else is to be
// told: a front that never hears of them leaves instances without work that have
// been well again for long.
func TestALargeFleetIsToldOfLoads(t *testing.T) {
	for _, hosts := range []int{22, 60, 90} {
		c := withHosts(t, hosts, 30)
		c.SendLoadReport(aPulse(), pulse.ToLocal)
		all, _ := told(c)
		assert.Assert(t, all >= min(hosts, pulse.Burst-pulse.ChangeReserve-1), "%d of %d", all, hosts)
	}
}

// Whatever there is to tell and however many hosts there are, a host sends no more
// than its rate, and loads leave room for turned estimates.
func TestTheRateOfPulsesDoesNotGrowWithTheFleet(t *testing.T) {
	for _, hosts := range []int{7, 64, 500} {
		c := withHosts(t, hosts, 20, 20)
		begun := time.Now()
		for range 200 {
			c.SendLoadReport(aPulse(), pulse.ToLocal)
		}
		loads, _ := told(c)
		assert.Assert(t, float64(loads) <= pulse.ChangeReserve+pulse.MaxRate*time.Since(begun).Seconds()+1)
		c.SendLoadReport(aPulse(), pulse.ToAll)
		turned, relayed := told(c)
		assert.Assert(t, turned >= min(hosts+2, pulse.ChangeReserve-1))
		assert.Equal(t, relayed, 2)
		for range 200 {
			c.SendLoadReport(aPulse(), pulse.ToAll)
		}
		more, _ := told(c)
		assert.Assert(t, float64(loads+turned+more) <= pulse.Burst+pulse.MaxRate*time.Since(begun).Seconds()+1)
	}
}

// However large the data centre, few hosts hear that an instance has nothing to do: were
// it told to all, all would send there, and it would use up what the host may send.
func TestFewHostsHearOfAnIdleInstance(t *testing.T) {
	for _, hosts := range []int{2, 7, 90} {
		c := withHosts(t, hosts, 30)
		c.SendLoadReport(aPulse(), pulse.ToFew)
		all, relayed := told(c)
		assert.Equal(t, all, min(hosts, 4))
		assert.Equal(t, relayed, 0)
	}
}

// Where many instances turn, what is told of that uses up the rate. Those that ask for a
// request are heard all the same, within a rate of their own.
func TestTrialRequestsAreSentBesideChangedEstimates(t *testing.T) {
	c := withHosts(t, 500, 20, 20)
	begun := time.Now()
	for range 200 {
		c.SendLoadReport(aPulse(), pulse.ToAll)
	}
	told(c)
	c.SendLoadReport(aPulse(), pulse.ToFew)
	asked, _ := told(c)
	assert.Equal(t, asked, 4)
	for range 200 {
		c.SendLoadReport(aPulse(), pulse.ToFew)
	}
	more, _ := told(c)
	assert.Assert(t, float64(asked+more) <= pulse.FewHostsMaxRate*(1+time.Since(begun).Seconds())+1)
}
