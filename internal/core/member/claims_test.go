package member

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// When many hosts die at once, the claims about them must not queue for long: with 12 claims
// in a packet and two or three packets a second, a fleet of 984 hosts took 41 s to learn of
// 66 deaths, and one of 1,970 more than a minute of 132. A packet must still fit one frame.
func TestFewPacketsNameManyDeadHosts(t *testing.T) {
	const deadHosts, maxPackets, maxPacketBytes = 66, 2, 1472
	now := time.Unix(1_800_000_000, 0)
	n := New(DefaultConfig("sidecar-sukhbaatar-100"), "sukhbaatar", "10.111.112.113:7300", now.UnixMilli()<<20, rand.New(rand.NewPCG(1, 2)))
	host := func(i int) string { return fmt.Sprintf("sidecar-sukhbaatar-%03d", i) }
	for i := range deadHosts + 1 {
		n.Update(now, host(i), "sukhbaatar", "10.111.112.113:7300", now.UnixMilli()<<20)
	}
	for i := range deadHosts {
		n.declare(now, n.members[host(i+1)], Dead)
	}
	named := map[string]bool{}
	for range maxPackets {
		n.probe(now, host(0))
		out, _ := n.Take()
		buf, err := out[0].Packet.MarshalMsg(nil)
		assert.NilError(t, err)
		assert.Assert(t, len(buf) <= maxPacketBytes, "a packet of %d claims has %d bytes", len(out[0].Packet.Claims), len(buf))
		for _, c := range out[0].Packet.Claims {
			assert.Equal(t, c.Status, uint8(Dead))
			named[c.Host] = true
		}
	}
	assert.Equal(t, len(named), deadHosts)
}
