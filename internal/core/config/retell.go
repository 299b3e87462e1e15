package config

import (
	"time"

	"github.com/radishhoist/radishhoist/internal/msg"
)

// retellAfter is when news of ends is told once more, to others than the first time by
// chance. Told once, one host in twenty hears of it from a repair only; a request that
// crashes its targets must be known everywhere within seconds. Long enough that most
// of the first round is over.
const retellAfter = 400 * time.Millisecond

// retelling is news that is told once more.
type retelling struct {
	at time.Time
	// from is the host that told of it, empty for this one.
	from    string
	entries []msg.Entry
}

// retellLater notes news of ends to be told once more.
func (n *Node) retellLater(from string, news []msg.Entry) {
	n.retellings = append(n.retellings, retelling{at: n.now.Add(retellAfter), from: from, entries: news})
}

// retell tells news of ends once more that are due.
func (n *Node) retell(peers Peers) {
	for len(n.retellings) > 0 && !n.now.Before(n.retellings[0].at) {
		r := n.retellings[0]
		n.retellings = n.retellings[1:]
		for _, to := range n.targets(peers, r.from) {
			n.push(to, msg.SetEnds, r.entries)
		}
	}
}
