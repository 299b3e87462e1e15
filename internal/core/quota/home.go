package quota

import (
	"time"

	"github.com/radishhoist/radishhoist/internal/msg"
)

// handleUsage processes a usage report and decides on the query that it may carry. If this
// host is not the home, it adds the requests to its own count, which it reports to the
// home, unless the sender itself receives reports in place of the home
// (SenderReceivesReports): usage is passed on by one host at most.
func (n *Node) handleUsage(now time.Time, p *msg.TeamPacket, u *msg.TeamUsage) {
	limit, limited := n.cfg.Limit(u.Team)
	if !limited {
		// The usage of a team without a limit is not counted.
		n.sendLevel(p.From, msg.TeamLevel{Team: u.Team, Seq: u.Seq, Count: u.Count, Known: true, QueryID: u.QueryID, Granted: true})
		return
	}
	a := n.account(now, u.Team, limit)
	r := a.reporter(p)
	if added := a.newRequests(now, r, u); added != 0 {
		a.add(now, float64(added))
		if !n.isHome(a) && !u.SenderReceivesReports {
			a.count += added
			n.unconfirmed[a.team] = a
		}
	}
	l := msg.TeamLevel{Team: u.Team, Seq: u.Seq, Count: u.Count, QueryID: u.QueryID}
	if u.QueryID != 0 {
		if n.relearning(now) {
			// The sender times out and queries the home again or its successor.
			return
		}
		n.grant(now, a, r, u, &l)
	}
	n.checkNearLimit(now, a)
	if n.nearLimit[a.team] != nil {
		l.NearLimitMS = uint32(nearLimitPeriod.Milliseconds())
	}
	l.Level, l.Known = float32(a.level(now)), a.isKnown(now)
	n.sendLevel(p.From, l)
}

// sendLevel answers a usage report.
func (n *Node) sendLevel(to string, l msg.TeamLevel) {
	p := n.packet(to)
	p.Levels = append(p.Levels, l)
}

// reporter returns the usage reported by a host. A host that has restarted begins at
// zero.
func (a *account) reporter(p *msg.TeamPacket) *reporter {
	r, ok := a.reporters[p.From]
	if ok && r.incarnation == p.Incarnation {
		return r
	}
	if a.reporters == nil {
		a.reporters = make(map[string]*reporter)
	}
	r = &reporter{incarnation: p.Incarnation}
	a.reporters[p.From] = r
	return r
}

// newRequests returns the number of reported requests that the level does not include
// yet. Reports older than the last one count for nothing.
func (a *account) newRequests(now time.Time, r *reporter, u *msg.TeamUsage) int64 {
	if u.Seq <= r.seq {
		return 0
	}
	added := u.Count - r.count
	if r.seq == 0 || !u.ConfirmedByReceiver && u.Confirmed != r.confirmed {
		// This is the host's first report, or it has reported to another host in the
		// meantime. Its level includes the requests that were confirmed elsewhere.
		a.mergeLevel(now, float64(u.Level), u.Known)
		added = u.Count - u.Confirmed
	}
	r.seq, r.count, r.confirmed, r.reportedAt = u.Seq, u.Count, u.Confirmed, now
	return added
}

// grant decides on a query. A retried query that was granted before is granted again
// without being counted. Only a successor whose own reports the home does not answer
// limits itself to admitAsSuccessor; any other queried host grants from the whole rate.
func (n *Node) grant(now time.Time, a *account, r *reporter, u *msg.TeamUsage, l *msg.TeamLevel) {
	if r.grantedQueries[u.QueryID%maxRememberedGrants] == u.QueryID {
		l.Granted = true
		return
	}
	admit := a.admit
	if n.actsForHome(a) {
		admit = a.admitAsSuccessor
	}
	ok, retryAfter := admit(now)
	if ok && !n.isHome(a) && !u.SenderReceivesReports {
		a.count++
		n.unconfirmed[a.team] = a
	}
	if ok {
		r.grantedQueries[u.QueryID%maxRememberedGrants] = u.QueryID
	}
	l.Granted, l.RetryAfterMS = ok, uint32(retryAfter.Milliseconds())
}

// checkNearLimit notifies all hosts when a team comes near its limit, if this host is the
// team's home or acts for it.
func (n *Node) checkNearLimit(now time.Time, a *account) {
	if n.nearLimit[a.team] != nil || !a.isNearLimit(now) || !n.isHome(a) && !n.actsForHome(a) {
		return
	}
	n.nearLimit[a.team] = a
	n.notifyNearLimit(now, a)
}

// Up to maxDirectHosts hosts, a home notifies each host itself. In larger fleets,
// relaysPerDC hosts of each other data centre forward the notice.
const (
	maxDirectHosts = 128
	relaysPerDC    = 2
)

// updateSuccessor sends the level of a team that is near its limit to the successor of its
// home, which thereby knows it if the home fails.
func (n *Node) updateSuccessor(now time.Time, a *account) {
	if successor := n.homeAndSuccessor(a)[1]; successor != "" && successor != n.cfg.Host {
		p := n.packet(successor)
		p.Notices = append(p.Notices, msg.TeamNotice{Team: a.team, Level: float32(a.level(now)), NearLimitMS: uint32(nearLimitPeriod.Milliseconds())})
	}
}

// notifyNearLimit sends the level of a team that is near its limit to all hosts.
func (n *Node) notifyNearLimit(now time.Time, a *account) {
	a.lastNotice = now
	notice := msg.TeamNotice{Team: a.team, Level: float32(a.level(now)), NearLimitMS: uint32(nearLimitPeriod.Milliseconds())}
	if len(n.hosts) <= maxDirectHosts {
		n.sendNotice(notice, func(Host) bool { return true })
		return
	}
	n.sendNotice(notice, func(h Host) bool { return h.DC == n.dc })
	notice.Forward = true
	sent := make(map[string]int)
	first := n.rng.IntN(len(n.hosts))
	for i := range n.hosts {
		h := n.hosts[(first+i)%len(n.hosts)]
		if h.DC != n.dc && sent[h.DC] < relaysPerDC {
			sent[h.DC]++
			p := n.packet(h.Name)
			p.Notices = append(p.Notices, notice)
		}
	}
}

// sendNotice sends a notice to the live hosts that include selects.
func (n *Node) sendNotice(notice msg.TeamNotice, include func(Host) bool) {
	for _, h := range n.hosts {
		if h.Name != n.cfg.Host && include(h) {
			p := n.packet(h.Name)
			p.Notices = append(p.Notices, notice)
		}
	}
}

// handleNotice processes a notice that a team is near its limit, and forwards it within
// this host's data centre if the sender asks for it.
func (n *Node) handleNotice(now time.Time, m *msg.TeamNotice) {
	limit, limited := n.cfg.Limit(m.Team)
	if !limited {
		return
	}
	a := n.account(now, m.Team, limit)
	a.used.raise(now, a.rate(), float64(m.Level))
	a.extendNearLimit(now, m.NearLimitMS)
	if m.Forward {
		forwarded := *m
		forwarded.Forward = false
		n.sendNotice(forwarded, func(h Host) bool { return h.DC == n.dc })
	}
}
