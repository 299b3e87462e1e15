package mesh

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/radishhoist/radishhoist/internal/core/config"
	"github.com/radishhoist/radishhoist/internal/core/standby"
	"github.com/radishhoist/radishhoist/internal/msg"
	"github.com/radishhoist/radishhoist/internal/objects"
)

// Platform simulates the object API. Events are all changes of records, in order.
type Platform struct {
	// Unavailable is set while it refuses all calls.
	Unavailable bool
	// TurnedAway reports whether it refuses the calls of a host. Silent makes it leave them
	// unanswered instead. Both apply only while TurnedAway is set.
	TurnedAway func(*Host) bool
	Silent     bool
	// Calls counts the calls of watchers, and Called the hosts that made them.
	Calls  int
	Called map[*Host]bool
	// History counts the restorations from earlier states. Revision is the number of Events.
	History, Revision int64
	Events            []msg.Entry
	// Reads counts list and watch operations.
	Reads int
}

// Put writes a record and returns its version, 0 while the platform is unavailable.
func (p *Platform) Put(name string, deleted bool, size int) int64 {
	if p.Unavailable {
		return 0
	}
	p.Revision++
	e := msg.Entry{Kind: "Route", Name: name, Version: objects.VersionAt(p.History, p.Revision), Deleted: deleted}
	if !deleted {
		e.Value = make([]byte, size)
	}
	p.Events = append(p.Events, e)
	return e.Version
}

// Restore goes back to the state after the first n events. Later revisions are given out
// again.
func (p *Platform) Restore(n int) {
	p.Events = slices.Clone(p.Events[:n])
	p.Revision = int64(n)
	p.History++
}

// list returns the newest entry of every record that has not been deleted.
func (p *Platform) list() config.List {
	newest := make(map[string]msg.Entry)
	for _, e := range p.Events {
		newest[e.Name] = e
	}
	out := config.List{Revision: objects.VersionAt(p.History, p.Revision), HistoryStart: objects.VersionAt(p.History, 0)}
	for _, e := range p.Events {
		if n := newest[e.Name]; n.Version == e.Version && !n.Deleted {
			e.Version = objects.VersionAt(p.History, objects.RevisionOf(e.Version))
			out.Entries = append(out.Entries, e)
		}
	}
	return out
}

// The platform calls of a watcher: a watch that is held, the pause after one, the mean pause after
// a call that failed, and the time after which a call without a response fails.
const (
	firstWatchWait  = 600 * time.Millisecond
	backupWatchWait = 4 * firstWatchWait
	watchPause      = 200 * time.Millisecond
	failurePause    = 400 * time.Millisecond
	readTimeout     = 3 * time.Second
)

// watch reads changes from the platform if the host is one of the watchers of its data centre, or
// watches in place of one. A change ends a watch at once, so that changes are read whenever watch
// is called; calls are counted as if watches were held.
func (m *Mesh) watch(h *Host) {
	rank := -1
	if h.standby.Active() {
		rank = m.rank(h)
		h.standby.Tick(m.Now, m.standbyPosition(h, rank))
		m.sendStandby(h)
	}
	standsIn, shortWait := h.standby.Watching()
	if !standsIn {
		if rank < 0 {
			rank = m.rank(h)
		}
		if rank >= m.cfg.Watchers {
			h.watching, h.unanswered = false, time.Time{}
			return
		}
	}
	if m.Platform.refuses(h) {
		h.watching = false
		m.callInVain(h)
		return
	}
	if h.unanswered.IsZero() && !m.Now.Before(h.nextCall) {
		wait := backupWatchWait
		if shortWait || rank == 0 {
			wait = firstWatchWait
		}
		m.countCall(h, wait+watchPause)
	}
	h.unanswered = time.Time{}
	h.standby.Served()
	m.sendStandby(h)
	switch {
	case !h.watching || h.watchedHistory != m.Platform.History:
		m.Platform.Reads++
		h.watching = true
		h.Replica.LoadList(h.replicationPeers(), m.Platform.list(), nil)
	case h.watchedRevision < m.Platform.Revision:
		m.Platform.Reads++
		h.Replica.Publish(h.replicationPeers(), msg.SetRecords, m.Platform.Events[h.watchedRevision:])
	}
	h.watchedHistory, h.watchedRevision = m.Platform.History, m.Platform.Revision
}

// refuses reports whether the calls of a host fail.
func (p *Platform) refuses(h *Host) bool {
	return p.Unavailable || p.TurnedAway != nil && p.TurnedAway(h)
}

// callInVain makes a call that fails, at once or after readTimeout.
func (m *Mesh) callInVain(h *Host) {
	silent := m.Platform.Silent && !m.Platform.Unavailable
	switch {
	case !h.unanswered.IsZero() && m.Now.Before(h.unanswered):
		return
	case h.unanswered.IsZero() && m.Now.Before(h.nextCall):
		return
	case h.unanswered.IsZero() && silent:
		m.countCall(h, failurePause)
		h.unanswered = m.Now.Add(readTimeout)
		return
	case h.unanswered.IsZero():
		m.countCall(h, failurePause)
	}
	h.unanswered = time.Time{}
	h.standby.Failed(m.Now)
	m.sendStandby(h)
}

func (m *Mesh) countCall(h *Host, next time.Duration) {
	m.Platform.Calls++
	if m.Platform.Called != nil {
		m.Platform.Called[h] = true
	}
	h.nextCall = m.Now.Add(next)
}

// standbyPosition returns the position of a host in its data centre.
func (m *Mesh) standbyPosition(h *Host, rank int) standby.Position {
	return standby.Position{Rank: rank, Candidates: func() []string {
		local, _ := h.Members.Live()
		hosts := append(slices.Clone(local), h.Name)
		slices.SortFunc(hosts, func(a, b string) int { return cmp.Compare(xxhash.Sum64String(a), xxhash.Sum64String(b)) })
		return hosts[min(m.cfg.Watchers, len(hosts)):]
	}}
}

// sendStandby sends the pending requests and replies of a host's standby core.
func (m *Mesh) sendStandby(h *Host) {
	for _, o := range h.standby.Take() {
		if to, ok := m.byName[o.To]; ok {
			m.send(delivery{from: h, to: to, standby: &o})
		}
	}
}
