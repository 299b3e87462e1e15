package config

import (
	"time"

	"github.com/radishhoist/radishhoist/internal/msg"
)

// relayInterval is the minimum time between two messages that relay host entries of
// other hosts; entries that arrive in between are batched, and a single update is
// relayed at once. When a whole fleet starts at the same time, there are several times
// as many such updates as hosts within two seconds, and each reaches a host a few times.
// Under load, an update reaches the last of 1,600 hosts after about six intervals.
const relayInterval = 100 * time.Millisecond

// relayQueue holds the host entries of other hosts that wait to be relayed.
type relayQueue struct {
	// nextFlush is when entries may be relayed again.
	nextFlush time.Time
	// keys holds the keys of the entries in order of arrival, and source the host that
	// sent each of them.
	keys   []Key
	source map[Key]string
}

func (r *relayQueue) add(from string, updates []msg.Entry) {
	if r.source == nil {
		r.source = make(map[Key]string)
	}
	for _, e := range updates {
		key := Key{e.Kind, e.Name}
		if _, queued := r.source[key]; !queued {
			r.keys = append(r.keys, key)
		}
		r.source[key] = from
	}
}

// flushRelays relays the newest versions of the queued entries once nextFlush is
// reached.
func (n *Node) flushRelays(peers Peers) {
	if len(n.relayQueue.keys) == 0 || n.now.Before(n.relayQueue.nextFlush) {
		return
	}
	queue := n.relayQueue
	n.relayQueue = relayQueue{nextFlush: n.now.Add(relayInterval)}
	for _, i := range n.sample(len(peers.Local), n.cfg.FanOut) {
		to := peers.Local[i]
		if entries := n.updatesFor(to, queue); len(entries) > 0 {
			n.push(to, msg.SetHosts, entries)
		}
	}
}

// updatesFor returns the queued entries for a host, without those that it has sent.
func (n *Node) updatesFor(to string, queue relayQueue) []msg.Entry {
	var out []msg.Entry
	for _, key := range queue.keys {
		if queue.source[key] == to {
			continue
		}
		if e, held := n.sets[msg.SetHosts].Get(key); held {
			out = append(out, e)
		}
	}
	return out
}
