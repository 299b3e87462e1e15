package config

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/radishhoist/radishhoist/internal/msg"
)

// Hosts send no digests of instance ends while there are none. A host that starts
// receives the existing ends together with the host entries it asks for.
func TestEndsCostNothingWhereThereAreNone(t *testing.T) {
	peers := Peers{Local: []string{"other"}}
	n := NewNode(DefaultConfig(), rand.New(rand.NewPCG(1, 2)))
	now := time.Unix(1000, 0)
	digests := func() map[msg.SetID]bool {
		now = now.Add(time.Hour)
		n.Tick(now, peers)
		out, _ := n.Take()
		sets := make(map[msg.SetID]bool)
		for _, o := range out {
			if d, ok := o.Msg.(*msg.Digest); ok {
				sets[d.Set] = true
			}
		}
		return sets
	}
	assert.Assert(t, !digests()[msg.SetCrashes])
	n.Step(peers, "starter", &msg.Pull{Set: msg.SetHosts, All: true})
	out, _ := n.Take()
	assert.Equal(t, len(out), 1)

	n.Publish(peers, msg.SetCrashes, []msg.Entry{{Kind: "End", Name: "i", Version: 1}})
	n.Take()
	assert.Assert(t, digests()[msg.SetCrashes])
	n.Step(peers, "starter", &msg.Pull{Set: msg.SetHosts, All: true})
	out, _ = n.Take()
	assert.Equal(t, len(out), 2)
	rumor, ok := out[1].Msg.(*msg.Rumor)
	assert.Assert(t, ok && rumor.Set == msg.SetCrashes && len(rumor.Entries) == 1)
}
