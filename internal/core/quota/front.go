package quota

import (
	"maps"
	"slices"
	"time"

	"github.com/radishhoist/radishhoist/internal/msg"
)

// ask is a request that a home was asked for.
type ask struct {
	account *account
	sentAt  time.Time
	tries   int
}

// settled is an ask that has been decided: by a host, or by this one where it is
// empty.
type settled struct {
	host string
	at   time.Time
}

// Admit decides about a request of a team, or asks its home.
func (n *Node) Admit(now time.Time, team string, limit Limit) Verdict {
	a := n.account(now, team, limit)
	switch {
	case n.keeps(a):
		ok, wait := n.takeOwn(now, a)
		n.watch(now, a)
		return a.verdict(now, ok, wait)
	case now.Before(a.refusedUntil):
		return a.verdict(now, false, a.refusedWait)
	case now.Before(a.aloneUntil):
		ok, wait := a.takeAlone(now)
		if ok {
			n.pass(now, a)
		}
		return a.verdict(now, ok, wait)
	case n.asksFirst(now, a):
		return Verdict{Decision: Asked, Ask: n.ask(now, a)}
	default:
		n.pass(now, a)
		return a.verdict(now, true, 0)
	}
}

// takeOwn lets a request of this host's own callers pass where it keeps the
// account. Shortly after its start the other hosts may hold it for dead and
// another for the home: then its own share bounds it too.
func (n *Node) takeOwn(now time.Time, a *account) (bool, time.Duration) {
	if n.settling(now) && len(n.hosts) > 1 {
		if ok, wait := a.takeAlone(now); !ok {
			return false, wait
		}
	}
	return a.take(now)
}

// settling says that this host has started just now.
func (n *Node) settling(now time.Time) bool { return now.Sub(n.started) < settle }

func (a *account) verdict(now time.Time, ok bool, wait time.Duration) Verdict {
	if !ok {
		a.refusals++
		return Verdict{Decision: Refused, Wait: wait}
	}
	a.passed(now)
	return Verdict{Decision: Admitted}
}

// asksFirst says that the home is to be asked for a request: this host may not
// know enough, the team is close to its limit, or the home has not yet heard of
// what this host let pass before.
func (n *Node) asksFirst(now time.Time, a *account) bool {
	unheard := float64(a.count - a.told)
	blind := max(1, closeAt*a.room()/float64(max(len(n.hosts), 1)))
	if a.level(now) < calmAt*a.room() {
		blind = max(blind, blindCalm)
	}
	return n.settling(now) || now.Before(a.closeUntil) || unheard+1 > blind || a.near(now)
}

// pass counts a request that is let pass without asking.
func (n *Node) pass(now time.Time, a *account) {
	a.count++
	a.add(now, 1)
	n.due[a.team] = a
}

// Return takes a request back that was let pass and did not run.
func (n *Node) Return(now time.Time, team string) {
	a, ok := n.accounts[team]
	if !ok {
		return
	}
	a.add(now, -1)
	if n.keeps(a) {
		return
	}
	a.count--
	n.due[team] = a
}

func (n *Node) ask(now time.Time, a *account) uint32 {
	n.lastAsk++
	n.asks[n.lastAsk] = &ask{account: a, sentAt: now, tries: 1}
	n.send(now, a, n.homesOf(a)[0], n.lastAsk)
	return n.lastAsk
}

// send tells a home of the use, and asks it for a request where ask is not 0.
func (n *Node) send(now time.Time, a *account, to string, ask uint32) {
	a.seq++
	p := n.packet(to)
	p.Usages = append(p.Usages, msg.TeamUsage{
		Team: a.team, Seq: a.seq, Count: a.count, Confirmed: a.told,
		Level: float32(max(a.used.now(now, a.rate())-float64(a.count-a.told), 0)), Known: a.isKnown(now),
		ConfirmedByReceiver: a.confirmedBy == to, Relayed: n.relays(a), QueryID: ask,
	})
	if a.count != a.told && a.sentAt.IsZero() {
		a.sentAt = now
	}
}

// relays says that other hosts tell this one of the team's use, though it does
// not keep the account.
func (n *Node) relays(a *account) bool { return len(a.fronts) > 0 && !n.keeps(a) }

// tellUse sends a use that no home has confirmed: to the home, and where that is
// silent to its successor and the home by turns.
func (n *Node) tellUse(now time.Time, a *account) {
	if n.keeps(a) {
		// The account has come to this host: its level holds the use already.
		a.told = a.count
	}
	if a.count == a.told {
		delete(n.due, a.team)
		a.sentAt, a.silent = time.Time{}, 0
		return
	}
	if !a.sentAt.IsZero() {
		if now.Sub(a.sentAt) < useTimeout {
			return
		}
		a.silent++
		a.sentAt = time.Time{}
		if a.silent >= len(a.homes) {
			a.goAlone(now)
		}
	}
	to := n.homesOf(a)[a.silent%len(a.homes)]
	if to == "" || to == n.cfg.Host {
		to = a.homes[0]
	}
	n.send(now, a, to, 0)
}

// tickAsks asks again where a home is silent, then its successor, and decides by
// this host's own share where both are.
func (n *Node) tickAsks(now time.Time) {
	for _, id := range slices.Sorted(maps.Keys(n.asks)) {
		k := n.asks[id]
		if now.Sub(k.sentAt) < askTimeout {
			continue
		}
		a := k.account
		to := n.homesOf(a)[min(k.tries/2, 1)]
		if k.tries >= askTries || to == "" || to == n.cfg.Host {
			n.decideAlone(now, id, a)
			continue
		}
		k.tries++
		k.sentAt = now
		n.send(now, a, to, id)
	}
}

func (n *Node) decideAlone(now time.Time, id uint32, a *account) {
	delete(n.asks, id)
	n.settled[id] = settled{at: now}
	var ok bool
	var wait time.Duration
	if n.keeps(a) {
		ok, wait = n.takeOwn(now, a)
	} else {
		a.goAlone(now)
		if ok, wait = a.takeAlone(now); ok {
			n.pass(now, a)
		}
	}
	n.resolve(now, id, a, ok, wait)
}

func (n *Node) resolve(now time.Time, id uint32, a *account, ok bool, wait time.Duration) {
	if ok {
		a.passed(now)
	} else {
		a.refusals++
	}
	n.answers = append(n.answers, Answer{Ask: id, Granted: ok, Wait: wait})
}

// takeLevel takes what a home answers.
func (n *Node) takeLevel(now time.Time, from string, l *msg.TeamLevel) {
	a, ok := n.accounts[l.Team]
	if !ok {
		return
	}
	a.aloneUntil = time.Time{}
	if l.Seq > a.heardSeq {
		a.told, a.confirmedBy, a.heardSeq = l.Count, from, l.Seq
		a.sentAt, a.silent = time.Time{}, 0
	}
	level := float64(l.Level) + float64(a.count-a.told)
	if l.Known {
		a.assumed.set(now, 0)
		a.used.set(now, level)
	} else {
		a.used.raise(now, a.rate(), level)
	}
	a.heedClose(now, l.NearLimitMS)
	if l.QueryID == 0 {
		return
	}
	if _, waits := n.asks[l.QueryID]; !waits {
		// A home that was passed over, or its successor, grants it as well.
		if by, known := n.settled[l.QueryID]; known && l.Granted && by.host != from {
			delete(n.settled, l.QueryID)
			a.count--
			n.due[a.team] = a
		}
		return
	}
	delete(n.asks, l.QueryID)
	n.settled[l.QueryID] = settled{host: from, at: now}
	wait := time.Duration(l.WaitMS) * time.Millisecond
	if !l.Granted {
		a.refusedWait, a.refusedUntil = wait, now.Add(min(wait, refusedFor))
	}
	n.resolve(now, l.QueryID, a, l.Granted, wait)
}

// heedClose makes this host ask for each request for some time.
func (a *account) heedClose(now time.Time, ms uint32) {
	if until := now.Add(time.Duration(ms) * time.Millisecond); ms > 0 && until.After(a.closeUntil) {
		a.closeUntil = until
	}
}
