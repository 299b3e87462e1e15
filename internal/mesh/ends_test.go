package mesh

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/radishhoist/radishhoist/internal/core/config"
	"github.com/radishhoist/radishhoist/internal/msg"
)

// endValue is an end of an instance with four requests, as a host tells it.
func endValue(t *testing.T) []byte {
	t.Helper()
	m := msg.InstanceCrash{Service: "service-001", SoftwareVersion: "2026.12.1", DetectedAtMS: 1_700_000_000_000, Fingerprints: []uint64{1 << 60, 1 << 61, 1 << 62, 1 << 63}}
	value, err := m.MarshalMsg(nil)
	assert.NilError(t, err)
	return value
}

// tellEnd makes a host tell of an end.
func (m *Mesh) tellEnd(h *Host, name string, value []byte) {
	h.Replica.Publish(h.peers(), msg.SetCrashes, []msg.Entry{{Kind: "End", Name: name, Version: 1, Value: value}})
	m.flush(h)
}

// ignorant counts the hosts that are up and do not know an end.
func (m *Mesh) ignorant(name string) int {
	n := 0
	for _, h := range m.Hosts {
		if _, known := h.Replica.Set(msg.SetCrashes).Get(config.Key{Kind: "End", Name: name}); h.Up && !known {
			n++
		}
	}
	return n
}

// ignorantAllowed is the share of the hosts that may not know an end once the fleet has
// had settle to learn: one of them would have to meet another of them, as fronts refuse
// what they know and guards do again.
const ignorantAllowed = 0.01

// settle is the time that the offices' deployments give the fleet to learn of an end.
const settle = 3 * time.Second

// news is how an end spread: the hosts that did not know it after settle, and what it cost
// each host until all knew.
type endNews struct {
	ignorant int
	all      time.Duration
	bytes    int
}

// spread makes one host tell of some ends at once and lets them spread.
func (m *Mesh) spread(t *testing.T, from *Host, ends int) endNews {
	t.Helper()
	const patience = 30 * time.Second
	before := m.bytesSent()
	value := endValue(t)
	for n := range ends {
		m.tellEnd(from, fmt.Sprint("end", n), value)
	}
	out := endNews{}
	for out.all < patience {
		m.Run(Step)
		out.all += Step
		left := 0
		for n := range ends {
			left = max(left, m.ignorant(fmt.Sprint("end", n)))
		}
		if out.all == settle {
			out.ignorant = left
		}
		if left == 0 {
			break
		}
	}
	out.bytes = (m.bytesSent() - before) / len(m.Hosts)
	return out
}

func (m *Mesh) bytesSent() int {
	sum := 0
	for _, h := range m.Hosts {
		sum += h.Sent.Bytes
	}
	return sum
}

// An end is known nearly everywhere within settle, whatever the size of the fleet and with
// a twentieth of the messages lost.
func TestCrashIsKnownInTime(t *testing.T) {
	for _, size := range []struct{ hosts, dcs, seeds int }{{24, 4, 8}, {91, 4, 8}, {354, 5, 4}} {
		for _, loss := range []float64{0, 0.05} {
			ignorant, worst, bytes := 0, time.Duration(0), 0
			for seed := range size.seeds {
				m := New(Config{Hosts: size.hosts, DCs: size.dcs, Seed: uint64(seed), Watchers: 2, Loss: loss, Replica: quick()})
				m.StartAll()
				m.Run(2 * time.Second)
				news := m.spread(t, m.Hosts[seed], 1)
				ignorant += news.ignorant
				worst = max(worst, news.all)
				bytes += news.bytes / size.seeds
			}
			t.Logf("%d hosts, loss %.2f: %d of %d ignorant after %v, all know after %v, %d bytes a host in that time", size.hosts, loss, ignorant, size.hosts*size.seeds, settle, worst, bytes)
			assert.Check(t, float64(ignorant) <= ignorantAllowed*float64(size.hosts*size.seeds))
		}
	}
}

// A data centre that was cut off knows within settle of its return, and a host that starts
// with the first answer that names the others.
func TestCrashReachesPartitionedAndRestartedHosts(t *testing.T) {
	const seeds = 8
	for _, size := range []struct{ hosts, dcs int }{{24, 4}, {91, 4}} {
		ignorant, cutOff := 0, 0
		for seed := range seeds {
			m := New(Config{Hosts: size.hosts, DCs: size.dcs, Seed: uint64(seed), Watchers: 2, Replica: quick()})
			m.StartAll()
			m.Run(2 * time.Second)
			starter := m.Hosts[1]
			m.Stop(starter)
			away := m.Hosts[0].DC
			m.Cut = func(from, to *Host) bool { return (from.DC == away) != (to.DC == away) }
			m.tellEnd(m.Hosts[2], "e", endValue(t))
			m.Run(8 * time.Second)
			assert.Assert(t, m.ignorant("e") > 0)
			m.Cut = func(_, _ *Host) bool { return false }
			m.Run(settle)
			ignorant += m.ignorant("e")
			cutOff += size.hosts / size.dcs
			m.Start(starter)
			m.Run(time.Second)
			_, known := starter.Replica.Set(msg.SetCrashes).Get(config.Key{Kind: "End", Name: "e"})
			assert.Check(t, known, "seed %d: the host that has started", seed)
		}
		t.Logf("%d hosts: %d of %d ignorant %v after the cut", size.hosts, ignorant, cutOff, settle)
		assert.Check(t, float64(ignorant) <= ignorantAllowed*float64(cutOff), "%d of %d", ignorant, cutOff)
	}
}

// controlBytes is what control may cost a host in a second at the target size.
const controlBytes = 19 << 10

// Ends cost a host bytes with their number, not with the fleet's size, and ten at once stay
// within what control may take in the time that their news has.
func TestWhatNewsOfEndsCosts(t *testing.T) {
	for _, size := range []struct{ hosts, dcs int }{{24, 4}, {354, 5}} {
		for _, ends := range []int{0, 1, 10} {
			m := New(Config{Hosts: size.hosts, DCs: size.dcs, Seed: 1, Watchers: 2, Replica: quick()})
			m.StartAll()
			m.Run(2 * time.Second)
			before, value := m.bytesSent(), endValue(t)
			for n := range ends {
				m.tellEnd(m.Hosts[n], fmt.Sprint("end", n), value)
			}
			m.Run(settle)
			bytes := (m.bytesSent() - before) / size.hosts
			t.Logf("%d hosts, %d ends: %d bytes a host in %v", size.hosts, ends, bytes, settle)
			assert.Check(t, bytes <= controlBytes*int(settle/time.Second))
		}
	}
}
