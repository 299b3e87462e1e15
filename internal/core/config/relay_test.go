package config

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/radishhoist/radishhoist/internal/msg"
)

// hostEntry returns the entry that a host writes about itself.
func hostEntry(name string, version int64) msg.Entry {
	return msg.Entry{Kind: "Host", Name: name, Version: version, Value: make([]byte, 300)}
}

var localPeers = Peers{Local: []string{"b", "c", "d", "e", "f", "g"}}

// rumors counts the rumors and entries that a node sends.
func rumors(n *Node) (messages, entries int) {
	out, _ := n.Take()
	for _, o := range out {
		if r, ok := o.Msg.(*msg.Rumor); ok {
			messages++
			entries += len(r.Entries)
		}
	}
	return messages, entries
}

// Guards against a flood of messages when a whole fleet starts: 354 hosts each relayed
// some 700 updates with three messages each. Many updates must be batched into a few
// messages, complete and in their newest version; a single update is relayed at once.
func TestManyHostUpdatesAreBatched(t *testing.T) {
	const hosts = 200
	n := newTestNode(1)
	n.Tick(start, localPeers)
	n.Take()
	n.Step(localPeers, "z", &msg.Rumor{Set: msg.SetHosts, Entries: []msg.Entry{hostEntry("first", 1)}})
	messages, _ := rumors(n)
	assert.Equal(t, messages, n.cfg.FanOut, "a single update is relayed at once")
	for version := range int64(2) {
		for i := range hosts {
			e := hostEntry(fmt.Sprint("h", i), version+1)
			n.Step(localPeers, "z", &msg.Rumor{Set: msg.SetHosts, Entries: []msg.Entry{e}})
		}
	}
	messages, _ = rumors(n)
	assert.Equal(t, messages, 0, "further updates are batched")
	n.Tick(start.Add(relayInterval), localPeers)
	messages, entries := rumors(n)
	assert.Equal(t, messages, n.cfg.FanOut)
	assert.Equal(t, entries, n.cfg.FanOut*hosts)
}

// Entries that a host requested itself are not relayed. Updates of records and of the
// host's own entry are not delayed by queued host entries.
func TestOnlyRelayedHostUpdatesAreDelayed(t *testing.T) {
	n := newTestNode(1)
	n.Tick(start, localPeers)
	n.Take()
	n.Step(localPeers, "z", &msg.Snapshot{Set: msg.SetHosts, Entries: []msg.Entry{hostEntry("a", 1)}, Last: true, Complete: true})
	_, held := n.Set(msg.SetHosts).Get(Key{"Host", "a"})
	messages, _ := rumors(n)
	assert.Assert(t, held && messages == 0)

	n.Step(localPeers, "z", &msg.Rumor{Set: msg.SetHosts, Entries: []msg.Entry{hostEntry("b", 1)}})
	n.Take()
	for version := range int64(5) {
		n.Step(localPeers, "z", &msg.Rumor{Set: msg.SetRecords, Entries: []msg.Entry{entry("main", version+1, 10)}})
		messages, _ := rumors(n)
		assert.Equal(t, messages, n.cfg.FanOut)
	}
	n.Publish(localPeers, msg.SetHosts, []msg.Entry{hostEntry("self", 1)})
	messages, _ = rumors(n)
	assert.Equal(t, messages, n.cfg.FanOut, "a host's own update is sent at once")
}

// A batched update is not sent back to the host that it came from.
func TestUpdatesAreNotSentBackToTheirSender(t *testing.T) {
	n := newTestNode(1)
	peers := Peers{Local: []string{"b", "c"}}
	n.Tick(start, peers)
	n.relayQueue.nextFlush = start.Add(relayInterval)
	n.Step(peers, "b", &msg.Rumor{Set: msg.SetHosts, Entries: []msg.Entry{hostEntry("x", 1)}})
	n.Take()
	n.Tick(start.Add(relayInterval+time.Millisecond), peers)
	out, _ := n.Take()
	for _, o := range out {
		if r, ok := o.Msg.(*msg.Rumor); ok {
			assert.Equal(t, o.To, "c", "%v", r.Entries)
		}
	}
}
