package quota

import (
	"time"

	"github.com/radishhoist/radishhoist/internal/msg"
)

// takeUse takes what a front has let pass, and decides where it asks for one
// request more.
func (n *Node) takeUse(now time.Time, p *msg.TeamPacket, u *msg.TeamUsage) {
	limit, limited := n.cfg.Limit(u.Team)
	if !limited {
		n.answer(p.From, msg.TeamLevel{Team: u.Team, Seq: u.Seq, Count: u.Count, Known: true, QueryID: u.QueryID, Granted: true})
		return
	}
	a := n.account(now, u.Team, limit)
	f := a.front(p)
	if more := a.heard(now, f, u); more != 0 {
		a.add(now, float64(more))
		if !n.keeps(a) && !u.Relayed {
			a.count += more
			n.due[a.team] = a
		}
	}
	l := msg.TeamLevel{Team: u.Team, Seq: u.Seq, Count: u.Count, QueryID: u.QueryID}
	if u.QueryID != 0 {
		if n.learning(now) {
			return
		}
		n.grant(now, a, f, u, &l)
	}
	n.watch(now, a)
	if n.close[a.team] != nil {
		l.NearLimitMS = uint32(closeFor.Milliseconds())
	}
	l.Level, l.Known = float32(a.level(now)), a.isKnown(now)
	n.answer(p.From, l)
}

func (n *Node) answer(to string, l msg.TeamLevel) {
	p := n.packet(to)
	p.Levels = append(p.Levels, l)
}

// front finds what a host has told, nothing where it has started again since.
func (a *account) front(p *msg.TeamPacket) *front {
	f, ok := a.fronts[p.From]
	if ok && f.incarnation == p.Incarnation {
		return f
	}
	if a.fronts == nil {
		a.fronts = make(map[string]*front)
	}
	f = &front{incarnation: p.Incarnation}
	a.fronts[p.From] = f
	return f
}

// heard gives how many requests a use tells of that are not in the level yet. An
// older use than the last tells nothing.
func (a *account) heard(now time.Time, f *front, u *msg.TeamUsage) int64 {
	if u.Seq <= f.seq {
		return 0
	}
	more := u.Count - f.count
	if f.seq == 0 || !u.ConfirmedByReceiver && u.Confirmed != f.base {
		// The host told another home meanwhile, and brings its level.
		a.hear(now, float64(u.Level), u.Known)
		more = u.Count - u.Confirmed
	}
	f.seq, f.count, f.base, f.heardAt = u.Seq, u.Count, u.Confirmed, now
	return more
}

// grant decides about a request that was asked for, once for each number.
func (n *Node) grant(now time.Time, a *account, f *front, u *msg.TeamUsage, l *msg.TeamLevel) {
	if f.granted[u.QueryID%asksKept] == u.QueryID {
		l.Granted = true
		return
	}
	take := a.take
	if n.standsIn(a) {
		take = a.takeStandIn
	}
	ok, wait := take(now)
	if ok && !n.keeps(a) && !u.Relayed {
		a.count++
		n.due[a.team] = a
	}
	if ok {
		f.granted[u.QueryID%asksKept] = u.QueryID
	}
	l.Granted, l.WaitMS = ok, uint32(wait.Milliseconds())
}

// watch tells all hosts once a team comes close to its limit, where this host
// keeps its account.
func (n *Node) watch(now time.Time, a *account) {
	if n.close[a.team] != nil || !a.near(now) || !n.keeps(a) && !n.standsIn(a) {
		return
	}
	n.close[a.team] = a
	n.notify(now, a)
}

// directly is the size of a fleet up to which a home tells each host itself;
// beyond it some hosts of each other data centre pass the notice on.
const (
	directly = 128
	passOn   = 2
)

// shadow tells the successor of a home how far a team that is close to its limit
// has come.
func (n *Node) shadow(now time.Time, a *account) {
	if next := n.homesOf(a)[1]; next != "" && next != n.cfg.Host {
		p := n.packet(next)
		p.Notices = append(p.Notices, msg.TeamNotice{Team: a.team, Level: float32(a.level(now)), NearLimitMS: uint32(closeFor.Milliseconds())})
	}
}

func (n *Node) notify(now time.Time, a *account) {
	a.noticed = now
	notice := msg.TeamNotice{Team: a.team, Level: float32(a.level(now)), NearLimitMS: uint32(closeFor.Milliseconds())}
	if len(n.hosts) <= directly {
		n.tell(notice, func(Host) bool { return true })
		return
	}
	n.tell(notice, func(h Host) bool { return h.DC == n.dc })
	notice.Forward = true
	told := make(map[string]int)
	first := n.rng.IntN(len(n.hosts))
	for i := range n.hosts {
		h := n.hosts[(first+i)%len(n.hosts)]
		if h.DC != n.dc && told[h.DC] < passOn {
			told[h.DC]++
			p := n.packet(h.Name)
			p.Notices = append(p.Notices, notice)
		}
	}
}

func (n *Node) tell(notice msg.TeamNotice, whom func(Host) bool) {
	for _, h := range n.hosts {
		if h.Name != n.cfg.Host && whom(h) {
			p := n.packet(h.Name)
			p.Notices = append(p.Notices, notice)
		}
	}
}

func (n *Node) takeNotice(now time.Time, m *msg.TeamNotice) {
	limit, limited := n.cfg.Limit(m.Team)
	if !limited {
		return
	}
	a := n.account(now, m.Team, limit)
	a.used.raise(now, a.rate(), float64(m.Level))
	a.heedClose(now, m.NearLimitMS)
	if m.Forward {
		pass := *m
		pass.Forward = false
		n.tell(pass, func(h Host) bool { return h.DC == n.dc })
	}
}
