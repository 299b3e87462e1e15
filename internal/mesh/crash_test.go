package mesh

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/radishhoist/radishhoist/internal/core/config"
	"github.com/radishhoist/radishhoist/internal/msg"
)

// encodedCrash returns the encoded report of an instance crash with four running requests.
func encodedCrash(t *testing.T) []byte {
	t.Helper()
	m := msg.InstanceCrash{Service: "service-001", SoftwareVersion: "2026.12.1", DetectedAtMS: 1_700_000_000_000, Fingerprints: []uint64{1 << 60, 1 << 61, 1 << 62, 1 << 63}}
	value, err := m.MarshalMsg(nil)
	assert.NilError(t, err)
	return value
}

// publishCrash publishes the report of an instance crash from a host.
func (m *Mesh) publishCrash(h *Host, name string, value []byte) {
	h.Replica.Publish(h.replicationPeers(), msg.SetCrashes, []msg.Entry{{Kind: "End", Name: name, Version: 1, Value: value}})
	m.flush(h)
}

// countHostsWithoutCrash counts the hosts that are up and lack the report of a crash.
func (m *Mesh) countHostsWithoutCrash(name string) int {
	n := 0
	for _, h := range m.Hosts {
		if _, known := h.Replica.Set(msg.SetCrashes).Get(config.Key{Kind: "End", Name: name}); h.Up && !known {
			n++
		}
	}
	return n
}

// maxMissingShare is the maximum share of hosts without a report after detectionTime. A crashing
// request only reaches an instance if both its front and its guard lack the report, since each of them
// refuses the requests that it knows to be crashing.
const maxMissingShare = 0.01

// detectionTime is the time within which all hosts know of a crash, as required in the deployments.
const detectionTime = 3 * time.Second

// crashPropagation is the number of hosts without a report after detectionTime, the time until all
// hosts had all reports, and the bytes sent per host in that time.
type crashPropagation struct {
	missing  int
	duration time.Duration
	bytes    int
}

// propagateCrashes publishes several reports from one host at once and waits until all hosts have them.
func (m *Mesh) propagateCrashes(t *testing.T, from *Host, crashes int) crashPropagation {
	t.Helper()
	const timeout = 30 * time.Second
	before := m.bytesSent()
	value := encodedCrash(t)
	for n := range crashes {
		m.publishCrash(from, fmt.Sprint("end", n), value)
	}
	result := crashPropagation{}
	for result.duration < timeout {
		m.Run(Step)
		result.duration += Step
		missing := 0
		for n := range crashes {
			missing = max(missing, m.countHostsWithoutCrash(fmt.Sprint("end", n)))
		}
		if result.duration == detectionTime {
			result.missing = missing
		}
		if missing == 0 {
			break
		}
	}
	result.bytes = (m.bytesSent() - before) / len(m.Hosts)
	return result
}

func (m *Mesh) bytesSent() int {
	sum := 0
	for _, h := range m.Hosts {
		sum += h.Sent.Bytes
	}
	return sum
}

// Nearly all hosts have the report of a crash within detectionTime, for any fleet size and also when
// 5 % of the messages are lost.
func TestCrashIsKnownInTime(t *testing.T) {
	for _, size := range []struct{ hosts, dcs, seeds int }{{24, 4, 8}, {91, 4, 8}, {354, 5, 4}} {
		for _, loss := range []float64{0, 0.05} {
			missing, slowest, bytes := 0, time.Duration(0), 0
			for seed := range size.seeds {
				m := New(Config{Hosts: size.hosts, DCs: size.dcs, Seed: uint64(seed), Watchers: 2, LossRate: loss, Replica: quickReplicationConfig()})
				m.StartAll()
				m.Run(2 * time.Second)
				propagation := m.propagateCrashes(t, m.Hosts[seed], 1)
				missing += propagation.missing
				slowest = max(slowest, propagation.duration)
				bytes += propagation.bytes / size.seeds
			}
			t.Logf("%d hosts, loss %.2f: %d of %d without the report after %v, all have it after %v, %d bytes per host in that time", size.hosts, loss, missing, size.hosts*size.seeds, detectionTime, slowest, bytes)
			assert.Check(t, float64(missing) <= maxMissingShare*float64(size.hosts*size.seeds))
		}
	}
}

// After a partition, a data centre has the report of a crash within detectionTime. A host that starts
// gets it within a second, with the first response that lists the other hosts.
func TestCrashReachesPartitionedAndRestartedHosts(t *testing.T) {
	const seeds = 8
	for _, size := range []struct{ hosts, dcs int }{{24, 4}, {91, 4}} {
		missing, partitioned := 0, 0
		for seed := range seeds {
			m := New(Config{Hosts: size.hosts, DCs: size.dcs, Seed: uint64(seed), Watchers: 2, Replica: quickReplicationConfig()})
			m.StartAll()
			m.Run(2 * time.Second)
			restarted := m.Hosts[1]
			m.Stop(restarted)
			partitionedDC := m.Hosts[0].DC
			m.Dropped = func(from, to *Host) bool { return (from.DC == partitionedDC) != (to.DC == partitionedDC) }
			m.publishCrash(m.Hosts[2], "e", encodedCrash(t))
			m.Run(8 * time.Second)
			assert.Assert(t, m.countHostsWithoutCrash("e") > 0)
			m.Dropped = func(_, _ *Host) bool { return false }
			m.Run(detectionTime)
			missing += m.countHostsWithoutCrash("e")
			partitioned += size.hosts / size.dcs
			m.Start(restarted)
			m.Run(time.Second)
			_, known := restarted.Replica.Set(msg.SetCrashes).Get(config.Key{Kind: "End", Name: "e"})
			assert.Check(t, known, "seed %d: the restarted host does not have the report", seed)
		}
		t.Logf("%d hosts: %d of %d without the report %v after the partition", size.hosts, missing, partitioned, detectionTime)
		assert.Check(t, float64(missing) <= maxMissingShare*float64(partitioned), "%d of %d without the report", missing, partitioned)
	}
}

// maxControlBytesPerSecond is the limit of control traffic per host at the target fleet size.
const maxControlBytesPerSecond = 19 << 10

// The bytes per host grow with the number of crashes, not with the size of the fleet. With ten
// simultaneous reports, control traffic stays within its limit during detectionTime.
func TestCrashPropagationCost(t *testing.T) {
	for _, size := range []struct{ hosts, dcs int }{{24, 4}, {354, 5}} {
		for _, crashes := range []int{0, 1, 10} {
			m := New(Config{Hosts: size.hosts, DCs: size.dcs, Seed: 1, Watchers: 2, Replica: quickReplicationConfig()})
			m.StartAll()
			m.Run(2 * time.Second)
			before, value := m.bytesSent(), encodedCrash(t)
			for n := range crashes {
				m.publishCrash(m.Hosts[n], fmt.Sprint("end", n), value)
			}
			m.Run(detectionTime)
			bytes := (m.bytesSent() - before) / size.hosts
			t.Logf("%d hosts, %d crashes: %d bytes per host in %v", size.hosts, crashes, bytes, detectionTime)
			assert.Check(t, bytes <= maxControlBytesPerSecond*int(detectionTime/time.Second))
		}
	}
}
