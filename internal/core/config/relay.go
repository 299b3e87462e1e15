package config

import (
	"time"

	"github.com/radishhoist/radishhoist/internal/msg"
)

// relayPause is the least time between two messages that pass on what other hosts
// say of themselves; what comes meanwhile goes into one. A fleet that starts as one
// has several times as many such news as hosts within two seconds, each of which
// reaches a host a few times. A single news is passed on at once, and news in a flood
// reaches the last of 1,600 hosts some six pauses later.
const relayPause = 100 * time.Millisecond

// relays are the news of other hosts that wait to be passed on.
type relays struct {
	// due is when news may be passed on again.
	due time.Time
	// keys are the entries in the order they came, and from the hosts that told of
	// them.
	keys []Key
	from map[Key]string
}

func (r *relays) wait(from string, news []msg.Entry) {
	if r.from == nil {
		r.from = make(map[Key]string)
	}
	for _, e := range news {
		key := Key{e.Kind, e.Name}
		if _, waits := r.from[key]; !waits {
			r.keys = append(r.keys, key)
		}
		r.from[key] = from
	}
}

// relay passes on what waits, in its newest version, once it is due.
func (n *Node) relay(peers Peers) {
	if len(n.relays.keys) == 0 || n.now.Before(n.relays.due) {
		return
	}
	waiting := n.relays
	n.relays = relays{due: n.now.Add(relayPause)}
	for _, i := range n.sample(len(peers.Local), n.cfg.FanOut) {
		to := peers.Local[i]
		if news := n.newsFor(to, waiting); len(news) > 0 {
			n.push(to, msg.SetHosts, news)
		}
	}
}

// newsFor lists what a host is told: not what came from it.
func (n *Node) newsFor(to string, waiting relays) []msg.Entry {
	var out []msg.Entry
	for _, key := range waiting.keys {
		if waiting.from[key] == to {
			continue
		}
		if e, held := n.sets[msg.SetHosts].Get(key); held {
			out = append(out, e)
		}
	}
	return out
}
