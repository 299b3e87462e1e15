package mesh

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/radishhoist/radishhoist/internal/core/config"
	"github.com/radishhoist/radishhoist/internal/msg"
)

// startCost is what a start of all costs a host, on average.
type startCost struct {
	hosts           int
	messages, bytes int
	farBytes        int
	// mostKnown and allKnown are the times until the hosts knew nine in ten others on
	// average, and until each knew all.
	mostKnown, allKnown time.Duration
}

// quick is the replication of a deployment whose changes are to be in force in three
// seconds.
func quick() config.Config {
	c := config.DefaultConfig()
	c.RepairInterval = 900 * time.Millisecond
	return c
}

// startOfAll starts every host within 0.3 s, as after a loss of all power: the
// platform names all hosts to each. Their instances announce themselves within the
// second after, and once more when they are warm.
func startOfAll(hosts int, seed uint64) startCost {
	m := New(Config{Hosts: hosts, DCs: 5, Seed: seed, Watchers: 2, Instances: 1, Replica: quick()})
	begun := m.Now
	for i, h := range m.Hosts {
		if i%max(hosts/6, 1) == 0 {
			m.Run(Step)
		}
		m.StartListed(h)
	}
	cost := startCost{hosts: hosts}
	for step := 0; m.Now.Sub(begun) < startLength; step++ {
		for i, h := range m.Hosts {
			if announces := 6 + i%30; step == announces || step == 3*announces {
				m.Republish(h)
			}
		}
		m.Run(Step)
		known := knownShare(m)
		if cost.mostKnown == 0 && known >= 0.9 {
			cost.mostKnown = m.Now.Sub(begun)
		}
		if cost.allKnown == 0 && known == 1 {
			cost.allKnown = m.Now.Sub(begun)
		}
	}
	for _, h := range m.Hosts {
		cost.messages += h.Sent.Messages
		cost.bytes += h.Sent.Bytes
		cost.farBytes += h.Far.Bytes
	}
	cost.messages /= hosts
	cost.bytes /= hosts
	cost.farBytes /= hosts
	return cost
}

// knownShare is the part of the hosts that a host knows, on average.
func knownShare(m *Mesh) float64 {
	known := 0
	for _, h := range m.Hosts {
		known += h.Replica.Set(msg.SetHosts).Len()
	}
	return float64(known) / float64(len(m.Hosts)*len(m.Hosts))
}

const (
	// startLength is how long a fleet has from its start until callers come.
	startLength = 10 * time.Second
	// controlRate is what control may send, in bytes a second and host.
	controlRate = 19 << 10
	// smallestCore is the part of a core that the smallest hosts own, messageCost
	// what a message takes of it at both ends together, and startPart the part of the
	// start's processor time that messages may take.
	smallestCore = 0.16
	messageCost  = 500 * time.Microsecond
	startPart    = 0.25
	// slowLink is that of the smallest hosts, in bytes a second.
	slowLink = 20e6 / 8
	// inForce is the time in which a change is in force everywhere: hosts that start
	// know each other by then.
	inForce = 3 * time.Second
)

// After a loss of all power callers waited for seconds, and a fleet of 354 hosts sent
// 0.2 MB a host between its data centres while it started. Every host read the names
// of all others from the platform, called sixty of them a second, and asked each for
// all that it knew; what it learnt so it passed on to three more, a message for each
// news. Found by adding up a start's messages by kind.
//
// A start of all fits what a host owns, and its messages do not grow with the fleet.
// Messages, bytes, bytes between data centres a host, and the time until hosts knew
// nine in ten of the others, as it was: 264, 62 KB, 23 KB, 0.5 s at 24 hosts; 2,499,
// 1.2 MB, 485 KB, 0.65 s at 354. Now 197, 42 KB, 9 KB, 0.7 s; 345, 0.5 MB, 17 KB, 1.1 s.
func TestStartOfAllFitsHostResources(t *testing.T) {
	small, large := startOfAll(24, 1), startOfAll(354, 1)
	messageBound := startPart * smallestCore * startLength.Seconds() / messageCost.Seconds()
	for _, c := range []startCost{small, large} {
		t.Logf("%+v", c)
		assert.Assert(t, float64(c.messages) <= messageBound, "%d messages a host, %.0f fit", c.messages, messageBound)
		assert.Assert(t, float64(c.bytes) <= slowLink, "%d bytes a host", c.bytes)
		assert.Assert(t, float64(c.farBytes) <= controlRate*startLength.Seconds(), "%d bytes a host between data centres", c.farBytes)
		assert.Assert(t, c.allKnown > 0 && c.allKnown <= inForce, "known after %s", c.allKnown)
	}
	growth := math.Log(float64(large.hosts)) / math.Log(float64(small.hosts))
	assert.Assert(t, float64(large.messages) <= growth*float64(small.messages), "%d messages grew to %d", small.messages, large.messages)
}

// A host whose instance had announced itself before the platform let it join was heard
// of in two of four other data centres by the digests of a repair only: it called two
// far hosts, learnt of all others from its first call, and had nothing new to say. Until
// the last of 100 hosts knew it took up to 2.45 s in ten runs, too long for its instance
// to get work in time. Found by reading, then seen here. Now up to 1.75 s.
func TestJoiningHostIsSoonKnownInEveryDataCentre(t *testing.T) {
	for seed := range uint64(10) {
		m := New(Config{Hosts: 100, DCs: 5, Seed: seed, Watchers: 2, Instances: 1, Replica: quick()})
		m.StartAll()
		newcomer := m.Hosts[42]
		m.Run(time.Second)
		m.Forget(newcomer)
		m.StartListed(newcomer)
		begun := m.Now
		for !knownByAll(m, newcomer) && m.Now.Sub(begun) < inForce {
			m.Run(Step)
		}
		took := m.Now.Sub(begun)
		assert.Assert(t, took <= workWithin, "seed %d: known everywhere after %s", seed, took)
	}
}

// workWithin is the time in which an instance that may be well is to get work.
const workWithin = 2 * time.Second

func knownByAll(m *Mesh, of *Host) bool {
	for _, h := range m.Hosts {
		if _, known := h.Replica.Set(msg.SetHosts).Get(config.Key{Kind: "Host", Name: of.Name}); !known {
			return false
		}
	}
	return true
}
