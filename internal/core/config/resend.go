package config

import (
	"time"

	"github.com/radishhoist/radishhoist/internal/msg"
)

// resendDelay is the time after which updates about crashes are pushed a second time, to
// another random choice of peers. By then the first round of pushes is mostly complete.
// With a single push, one host in twenty receives them only by a repair, but a request
// that crashes its targets must be known on all hosts within seconds.
const resendDelay = 400 * time.Millisecond

// resend is a batch of updates to be pushed a second time.
type resend struct {
	at time.Time
	// from is the host that sent them, empty for this one.
	from    string
	entries []msg.Entry
}

// scheduleResend schedules a second push of updates about crashes.
func (n *Node) scheduleResend(from string, updates []msg.Entry) {
	n.resends = append(n.resends, resend{at: n.now.Add(resendDelay), from: from, entries: updates})
}

// sendDueResends pushes the updates whose second push is due.
func (n *Node) sendDueResends(peers Peers) {
	for len(n.resends) > 0 && !n.now.Before(n.resends[0].at) {
		r := n.resends[0]
		n.resends = n.resends[1:]
		for _, to := range n.pushPeers(peers, r.from) {
			n.push(to, msg.SetCrashes, r.entries)
		}
	}
}
