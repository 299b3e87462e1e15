// Package teams puts clocks, datagrams and waiting requests round the core that
// holds each team's rate as one over all hosts (internal/core/quota).
package teams

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/radishhoist/radishhoist/internal/core/quota"
	"github.com/radishhoist/radishhoist/internal/msg"
	"github.com/radishhoist/radishhoist/record"
)

// Config has the parameters of a Rates.
type Config struct {
	// Host is this host's name and Incarnation its start, in Unix milliseconds.
	Host        string
	Incarnation uint64
	// Allowance and AllowanceFraction are what a team may have beyond its limit in any Window over
	// all hosts: requests, and a part of what the limit allows. Most of it is lent; the
	// rest is for what hosts do not know of each other yet.
	Allowance, AllowanceFraction float64
	Window                       time.Duration
	// Send sends a datagram to a host; it may vanish.
	Send func(to string, p *msg.TeamPacket)
}

// The parts of Config.Allowance that are lent at once and evenly over the window,
// and that of Config.Over.
const (
	lendAtOnce = 0.2
	lendEvenly = 0.45
	lendOver   = 0.3
)

// Rates holds teams to their rates. It is safe for concurrent use.
type Rates struct {
	cfg   Config
	teams atomic.Pointer[map[string]*record.Team]

	mu    sync.Mutex
	node  *quota.Node
	hosts []quota.Host
	known int
	waits map[uint32]*waiter
}

// waiter is a request that waits for a home's word.
type waiter struct {
	team   string
	answer chan quota.Answer
}

// New makes a Rates of one host; SetHosts adds the others.
func New(cfg Config) *Rates {
	r := &Rates{cfg: cfg, waits: make(map[uint32]*waiter)}
	r.teams.Store(&map[string]*record.Team{})
	r.node = quota.New(quota.Config{
		Host: cfg.Host, Incarnation: cfg.Incarnation, Limit: r.limit,
		Lend: lendAtOnce * cfg.Allowance, LendRate: lendEvenly * cfg.Allowance / max(cfg.Window.Seconds(), 1), LendPart: lendOver * cfg.AllowanceFraction,
	}, time.Now(), rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
	return r
}

// SetTeams takes the teams in force. The map is not changed afterwards.
func (r *Rates) SetTeams(teams map[string]*record.Team) { r.teams.Store(&teams) }

// limit gives a team's limit, false where it has none.
func (r *Rates) limit(team string) (quota.Limit, bool) {
	t, ok := (*r.teams.Load())[team]
	if !ok || t.RatePerSecond == 0 {
		return quota.Limit{}, false
	}
	burst := t.Burst
	if burst == 0 {
		burst = t.RatePerSecond
	}
	return quota.Limit{Rate: t.RatePerSecond, Burst: burst}, true
}

// SetHosts takes the hosts that live, and how many there are with those that have
// died of late.
func (r *Rates) SetHosts(alive []quota.Host, known int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if known == r.known && slices.Equal(alive, r.hosts) {
		return
	}
	r.hosts, r.known = alive, known
	r.node.SetHosts(time.Now(), alive, known)
}

// Admit says whether a request of a team may pass; where not, when to come back.
// It waits where the team is close to its limit and another host keeps its account.
// Limited says that the request counts, so that Return may take it back.
func (r *Rates) Admit(ctx context.Context, team string) (ok, limited bool, wait time.Duration) {
	limit, limited := r.limit(team)
	if !limited {
		return true, false, 0
	}
	r.mu.Lock()
	v := r.node.Admit(time.Now(), team, limit)
	if v.Decision != quota.Asked {
		out := r.take()
		r.mu.Unlock()
		r.send(out)
		return v.Decision == quota.Admitted, true, v.Wait
	}
	w := &waiter{team: team, answer: make(chan quota.Answer, 1)}
	r.waits[v.Ask] = w
	out := r.take()
	r.mu.Unlock()
	r.send(out)
	select {
	case a := <-w.answer:
		return a.Granted, true, a.Wait
	case <-ctx.Done():
		r.forget(v.Ask, w)
		return false, true, time.Second
	}
}

// forget drops a waiter whose request is gone; what was granted goes back.
func (r *Rates) forget(ask uint32, w *waiter) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, waits := r.waits[ask]; waits {
		w.answer = nil
		return
	}
	if a := <-w.answer; a.Granted {
		r.node.Return(time.Now(), w.team)
	}
}

// Return takes a request back that was let pass and did not run.
func (r *Rates) Return(team string) {
	r.mu.Lock()
	r.node.Return(time.Now(), team)
	r.mu.Unlock()
}

// Receive takes a datagram of another host.
func (r *Rates) Receive(p *msg.TeamPacket) {
	r.mu.Lock()
	r.node.Step(time.Now(), p)
	out := r.take()
	r.mu.Unlock()
	r.send(out)
}

// Tick is called every 50 ms or so.
func (r *Rates) Tick() {
	r.mu.Lock()
	r.node.Tick(time.Now())
	out := r.take()
	r.mu.Unlock()
	r.send(out)
}

// take hands on the node's answers and gives its datagrams. The caller holds the
// lock.
func (r *Rates) take() []quota.Outbound {
	out, answers := r.node.Take()
	for _, a := range answers {
		w, ok := r.waits[a.Ask]
		if !ok {
			continue
		}
		delete(r.waits, a.Ask)
		switch {
		case w.answer != nil:
			w.answer <- a
		case a.Granted:
			r.node.Return(time.Now(), w.team)
		}
	}
	return out
}

func (r *Rates) send(out []quota.Outbound) {
	for _, o := range out {
		r.cfg.Send(o.To, o.Packet)
	}
}

// State is what this host knows of one team's use.
type State = quota.State

// State lists the teams that this host knows to use their rate, for operators.
func (r *Rates) State() []State {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.node.State(time.Now())
}
