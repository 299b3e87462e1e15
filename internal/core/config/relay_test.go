package config

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/radishhoist/radishhoist/internal/msg"
)

// hostEntry is what a host says of itself.
func hostEntry(name string, version int64) msg.Entry {
	return msg.Entry{Kind: "Host", Name: name, Version: version, Value: make([]byte, 300)}
}

var nearPeers = Peers{Local: []string{"b", "c", "d", "e", "f", "g"}}

// rumors counts the messages and entries that a node sends, by receiver.
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

// While 354 hosts started at once, each passed on some 700 news, three messages for
// each. A flood of news goes on in a few messages, whole and in its newest version; a
// single news goes on at once.
func TestAFloodOfNewsIsPassedOnTogether(t *testing.T) {
	const hosts = 200
	n := newTestNode(1)
	n.Tick(start, nearPeers)
	n.Take()
	n.Step(nearPeers, "z", &msg.Rumor{Set: msg.SetHosts, Entries: []msg.Entry{hostEntry("first", 1)}})
	messages, _ := rumors(n)
	assert.Equal(t, messages, n.cfg.FanOut, "a single news goes on at once")
	for version := range int64(2) {
		for i := range hosts {
			e := hostEntry(fmt.Sprint("h", i), version+1)
			n.Step(nearPeers, "z", &msg.Rumor{Set: msg.SetHosts, Entries: []msg.Entry{e}})
		}
	}
	messages, _ = rumors(n)
	assert.Equal(t, messages, 0, "the flood waits")
	n.Tick(start.Add(relayPause), nearPeers)
	messages, entries := rumors(n)
	assert.Equal(t, messages, n.cfg.FanOut)
	assert.Equal(t, entries, n.cfg.FanOut*hosts)
}

// What a host has asked for is not passed on, and what the platform says is not held
// up by news of hosts.
func TestOnlyNewsOfHostsWaits(t *testing.T) {
	n := newTestNode(1)
	n.Tick(start, nearPeers)
	n.Take()
	n.Step(nearPeers, "z", &msg.Snapshot{Set: msg.SetHosts, Entries: []msg.Entry{hostEntry("a", 1)}, Last: true, Complete: true})
	_, held := n.Set(msg.SetHosts).Get(Key{"Host", "a"})
	messages, _ := rumors(n)
	assert.Assert(t, held && messages == 0)

	n.Step(nearPeers, "z", &msg.Rumor{Set: msg.SetHosts, Entries: []msg.Entry{hostEntry("b", 1)}})
	n.Take()
	for version := range int64(5) {
		n.Step(nearPeers, "z", &msg.Rumor{Set: msg.SetRecords, Entries: []msg.Entry{entry("main", version+1, 10)}})
		messages, _ := rumors(n)
		assert.Equal(t, messages, n.cfg.FanOut)
	}
	n.Publish(nearPeers, msg.SetHosts, []msg.Entry{hostEntry("self", 1)})
	messages, _ = rumors(n)
	assert.Equal(t, messages, n.cfg.FanOut, "a host's own news is sent at once")
}

// A host is not told what it has told, in a flood either.
func TestNobodyIsToldItsOwnNews(t *testing.T) {
	n := newTestNode(1)
	peers := Peers{Local: []string{"b", "c"}}
	n.Tick(start, peers)
	n.relays.due = start.Add(relayPause)
	n.Step(peers, "b", &msg.Rumor{Set: msg.SetHosts, Entries: []msg.Entry{hostEntry("x", 1)}})
	n.Take()
	n.Tick(start.Add(relayPause+time.Millisecond), peers)
	out, _ := n.Take()
	for _, o := range out {
		if r, ok := o.Msg.(*msg.Rumor); ok {
			assert.Equal(t, o.To, "c", "%v", r.Entries)
		}
	}
}
