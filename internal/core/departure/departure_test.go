package departure

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/radishhoist/radishhoist/internal/core/announce"
	"github.com/radishhoist/radishhoist/internal/msg"
)

// fleet connects Nodes by a network that loses datagrams.
type fleet struct {
	rng     *rand.Rand
	loss    float64
	now     time.Time
	nodes   map[string]*Node
	dcOf    map[string]int
	startMS uint64
	sent    int
}

// newFleet returns a fleet with the given number of hosts in each data centre.
func newFleet(seed uint64, loss float64, sizes ...int) *fleet {
	f := &fleet{
		rng: rand.New(rand.NewPCG(seed, 1)), loss: loss, now: time.Unix(1000, 0),
		nodes: make(map[string]*Node), dcOf: make(map[string]int),
	}
	for dc, size := range sizes {
		for n := range size {
			host := fmt.Sprintf("dc%d-h%d", dc, n)
			f.dcOf[host] = dc
			f.restart(host)
		}
	}
	return f
}

// restart starts a new process of a host, and the others learn its incarnation.
func (f *fleet) restart(host string) {
	f.startMS++
	f.nodes[host] = New(host, f.startMS, f.rng)
	for other, n := range f.nodes {
		if other != host {
			n.ObserveHost(f.now, host, f.startMS)
		}
	}
}

// peers returns the live hosts as a host sees them.
func (f *fleet) peers(host string) Peers {
	var p Peers
	remote := map[int][]string{}
	for other := range f.nodes {
		switch {
		case other == host:
		case f.dcOf[other] == f.dcOf[host]:
			p.Local = append(p.Local, other)
		default:
			remote[f.dcOf[other]] = append(remote[f.dcOf[other]], other)
		}
	}
	for _, hosts := range remote {
		p.Remote = append(p.Remote, hosts)
	}
	return p
}

// run plays the fleet for a time.
func (f *fleet) run(d time.Duration) {
	const tick = 50 * time.Millisecond
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(tick) {
		for host, n := range f.nodes {
			n.Tick(f.now, f.peers(host))
			for _, o := range n.Take() {
				f.sent++
				f.deliver(o)
			}
		}
	}
}

// deliver delivers a notice and returns its receipt, unless one of them is lost.
func (f *fleet) deliver(o Outbound) {
	to, from := f.nodes[o.To], f.nodes[o.Notice.From]
	if to == nil || f.rng.Float64() < f.loss {
		return
	}
	if receipt, _ := to.StepNotice(f.now, o.Notice); receipt != nil && f.rng.Float64() >= f.loss {
		from.StepReceipt(receipt)
	}
}

func departed(sequence uint64, at time.Time) announce.Departure {
	return announce.Departure{Instance: "i", Stamp: announce.Stamp{Sequence: sequence}, Gone: true, At: at}
}

// A departure that counts as held must come back to each later process of its host, whichever hosts
// of its data centre, or of all others, are lost together with it.
func TestHeldDepartureSurvivesLossOfDataCentre(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sizes := rapid.SliceOfN(rapid.IntRange(1, 6), 1, 4).Draw(t, "hosts of each data centre")
		f := newFleet(rapid.Uint64().Draw(t, "seed"), rapid.Float64Range(0, 0.6).Draw(t, "loss"), sizes...)
		const host = "dc0-h0"
		f.nodes[host].Record(f.now, departed(7, f.now), f.peers(host))
		for range 100 {
			if f.run(50 * time.Millisecond); f.nodes[host].Held("i") {
				break
			}
		}
		if !f.nodes[host].Held("i") {
			assert.Assert(t, len(f.nodes) == 1 || f.loss > 0.3, "%d hosts do not hold the departure", len(f.nodes))
			return
		}
		lost := map[string]bool{host: true}
		if len(sizes) > 1 && rapid.Bool().Draw(t, "the data centre is lost") {
			for other, dc := range f.dcOf {
				lost[other] = dc == 0
			}
		}
		for range rapid.IntRange(1, 3).Draw(t, "restarts") {
			for other, isLost := range lost {
				if isLost {
					f.restart(other)
				}
			}
			f.run(returnTimeout)
			assert.Equal(t, len(f.nodes[host].All(f.now)), 1)
		}
	})
}

// The messages of a departure must not grow with the fleet.
func TestMessagesOfDepartureDoNotGrowWithFleet(t *testing.T) {
	for _, size := range []int{8, 100, 400} {
		f := newFleet(1, 0, size, size, size)
		const host = "dc0-h0"
		f.nodes[host].Record(f.now, departed(7, f.now), f.peers(host))
		f.run(time.Second)
		assert.Equal(t, f.sent, localHolders+remoteHolders, "%d hosts", 3*size)
		f.restart(host)
		f.run(time.Second)
		// Each holder returns the departure, and the new process asks holders again.
		assert.Equal(t, f.sent, 3*(localHolders+remoteHolders), "%d hosts", 3*size)
	}
}

// Hosts that cannot be reached, or run an older build, send no receipt. They must not get notices at
// the rate of the first second for all of Retention.
func TestNoticesWithoutReceiptsBecomeRare(t *testing.T) {
	f := newFleet(1, 1, 5, 5)
	f.nodes["dc0-h0"].Record(f.now, departed(7, f.now), f.peers("dc0-h0"))
	f.run(Retention)
	assert.Assert(t, f.sent < maxHolders*(quickSends+int(Retention/slowResendInterval)), "%d notices", f.sent)
}

func TestDeparturesExpire(t *testing.T) {
	f := newFleet(1, 0, 2)
	f.nodes["dc0-h0"].Record(f.now, departed(7, f.now), f.peers("dc0-h0"))
	f.run(time.Second)
	assert.Equal(t, len(f.nodes["dc0-h1"].held), 1)
	f.run(Retention + time.Second)
	assert.Equal(t, len(f.nodes["dc0-h0"].own)+len(f.nodes["dc0-h1"].held), 0)
}

// Withdrawals of names that no instance has must not use memory without bound.
func TestRecordedDeparturesAreBounded(t *testing.T) {
	n := New("h", 1, rand.New(rand.NewPCG(1, 1)))
	for i := range 3 * maxOwn {
		at := time.Unix(1000, int64(i))
		n.Record(at, announce.Departure{Instance: fmt.Sprint(i), Gone: true, At: at}, Peers{})
	}
	all := n.All(time.Unix(1000, 0))
	assert.Equal(t, len(all), maxOwn)
	for _, d := range all {
		assert.Assert(t, !d.At.Before(time.Unix(1000, 2*maxOwn)), "a newer departure was dropped")
	}
}

// Repeated announcements of a departure must not be recorded again, a departure after the instance
// was ready again must.
func TestDepartureIsRecordedOncePerAnnouncedDeparture(t *testing.T) {
	f := newFleet(1, 0, 2)
	n := f.nodes["dc0-h0"]
	leaving := announce.Departure{Instance: "i", Stamp: announce.Stamp{Sequence: 7}, At: f.now}
	assert.Assert(t, n.Record(f.now, leaving, Peers{}))
	n.MarkStored(n.All(f.now))
	leaving.Sequence = 8
	assert.Assert(t, !n.Record(f.now, leaving, Peers{}))
	assert.Assert(t, !n.Record(f.now, departed(8, f.now), Peers{}))
	assert.Assert(t, n.Stored("i"))
	n.Revoke("i")
	leaving.Sequence = 12
	assert.Assert(t, n.Record(f.now, leaving, Peers{}))
	assert.Assert(t, !n.Stored("i"))
	assert.Assert(t, n.Record(f.now, announce.Departure{Instance: "i", Stamp: announce.Stamp{StartedMS: 5}, Gone: true}, Peers{}))
}

// A returned notice must not make a departure that is known from the platform a new one: each would
// take another write.
func TestReturnedDepartureIsNotNewAgain(t *testing.T) {
	f := newFleet(1, 0, 2)
	n := f.nodes["dc0-h0"]
	assert.Assert(t, n.Restore(f.now, departed(7, f.now), true))
	receipt, restored := n.StepNotice(f.now, &msg.DepartureNotice{From: "dc0-h1", Host: "dc0-h0", Instance: "i", Sequence: 7, Gone: true, AgeMS: 3})
	assert.Assert(t, receipt != nil && restored == nil)
	assert.Assert(t, n.Stored("i") && !n.Unstored())
}

// The names in a notice are the sender's, and must not use memory without bound.
func TestLongNamesAreNotHeld(t *testing.T) {
	n := New("h", 1, rand.New(rand.NewPCG(1, 1)))
	receipt, _ := n.StepNotice(time.Unix(1000, 0), &msg.DepartureNotice{From: "p", Host: "p", Instance: string(make([]byte, maxNameBytes+1))})
	assert.Assert(t, receipt == nil && len(n.held) == 0)
}
