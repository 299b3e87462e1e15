package member

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

const ownDC = "dc0"

func newTestNode() *Node {
	return New(DefaultConfig("self"), ownDC, "self", 1, rand.New(rand.NewPCG(1, 2)))
}

func hostName(i int) string { return fmt.Sprintf("h%04d", i) }

// listed is what Live must give, built from all members at once.
func listed(n *Node) (near []string, far [][]string) {
	byDC := make(map[string][]string)
	for _, m := range n.members {
		switch {
		case m.Status == Dead:
		case m.DC == n.dc:
			near = append(near, m.Host)
		default:
			byDC[m.DC] = append(byDC[m.DC], m.Host)
		}
	}
	slices.Sort(near)
	var dcs []string
	for dc := range byDC {
		dcs = append(dcs, dc)
	}
	slices.Sort(dcs)
	for _, dc := range dcs {
		slices.Sort(byDC[dc])
		far = append(far, byDC[dc])
	}
	return near, far
}

// Whatever happens to members, the lists name those that live, each once and in
// order, and suspects are those that may still refute.
func TestTheListsFollowTheMembers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n, now := newTestNode(), time.Unix(1000, 0)
		for step := range rapid.IntRange(1, 120).Draw(t, "steps") {
			host := hostName(rapid.IntRange(0, 12).Draw(t, "host"))
			m, known := n.members[host]
			switch action := rapid.IntRange(0, 3).Draw(t, "action"); {
			case action == 0:
				dc := fmt.Sprint("dc", rapid.IntRange(0, 3).Draw(t, "dc"))
				n.Update(now, host, dc, host, int64(step+1))
			case action == 1 && known:
				n.setStatus(now, m, Suspect)
			case action == 2 && known:
				n.setStatus(now, m, Dead)
			case action == 3:
				n.Forget(host)
			}
			near, far := n.Live()
			wantNear, wantFar := listed(n)
			assert.Assert(t, slices.Equal(near, wantNear), "%v, not %v", near, wantNear)
			assert.Assert(t, slices.EqualFunc(far, wantFar, slices.Equal), "%v, not %v", far, wantFar)
			for _, m := range n.members {
				_, suspect := n.suspects[m.Host]
				assert.Equal(t, suspect, m.Status == Suspect)
			}
		}
	})
}

// Callers of a fleet that had lost its power waited while it started: every host
// sorted the names of all others with nearly every message that told of one more,
// 22 % of a start's processor time at 354 hosts. What a message costs must not grow
// with the fleet, so the list of a large one is not copied.
func TestOneMoreHostCostsTheSameInALargeFleet(t *testing.T) {
	small, large := allocationsOfOneChange(t, 24), allocationsOfOneChange(t, 1600)
	assert.Assert(t, large <= small, "%.1f allocations at 1,600 hosts, %.1f at 24", large, small)
}

// allocationsOfOneChange is what it takes that a host dies, is heard of again, and
// peers are asked for after each.
func allocationsOfOneChange(t *testing.T, hosts int) float64 {
	t.Helper()
	n, now := newTestNode(), time.Unix(1000, 0)
	for i := range hosts {
		n.Update(now, hostName(i), fmt.Sprint("dc", i%5), hostName(i), 1)
	}
	version := int64(1)
	return testing.AllocsPerRun(200, func() {
		version++
		m := n.members[hostName(7)]
		n.setStatus(now, m, Dead)
		n.Live()
		n.Update(now, m.Host, m.DC, m.PeerAddr, version)
		n.Live()
		n.changes = n.changes[:0]
	})
}

// Nanoseconds for a host that dies, comes back, and peers asked for after each, at
// 24, 354 and 1,600 hosts: 206, 226 and 469 (5,527, 95,377 and 540,185 with the lists
// built anew after each change).
func BenchmarkOneHostComesAndGoes(b *testing.B) {
	for _, hosts := range []int{24, 354, 1600} {
		b.Run(fmt.Sprint(hosts), func(b *testing.B) {
			n, now := newTestNode(), time.Unix(1000, 0)
			for i := range hosts {
				n.Update(now, hostName(i), fmt.Sprint("dc", i%5), hostName(i), 1)
			}
			m := n.members[hostName(7)]
			for k := range b.N {
				n.setStatus(now, m, Dead)
				n.Live()
				n.Update(now, m.Host, m.DC, m.PeerAddr, int64(k+2))
				n.Live()
				n.changes = n.changes[:0]
			}
		})
	}
}
