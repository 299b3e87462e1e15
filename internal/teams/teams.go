// Package teams enforces the rate limits of teams. It connects package quota, which decides
// without I/O, to the clock, the network and the requests that wait for a decision.
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

// Config holds the parameters of a RateLimiter.
type Config struct {
	// Host is this host's name. Incarnation is its start time in Unix milliseconds.
	Host        string
	Incarnation uint64
	// Allowance and AllowanceFraction are what a team may use beyond its limit in any
	// Window over all hosts: a number of requests, and a fraction of what the limit
	// allows. Most of Allowance is granted as extra burst and extra rate, and a smaller
	// part of AllowanceFraction as extra rate; the rest covers requests that hosts have
	// not reported to each other yet.
	Allowance, AllowanceFraction float64
	Window                       time.Duration
	// Send sends a datagram to a host; it may be lost.
	Send func(to string, p *msg.TeamPacket)
}

// Fractions of Config.Allowance that are granted as extra burst and, evenly over the
// window, as extra rate, and the fraction of Config.AllowanceFraction that is granted.
const (
	allowanceAsBurst = 0.2
	allowanceAsRate  = 0.45
	fractionAsRate   = 0.3
)

// RateLimiter enforces the rate limits of teams. It is safe for concurrent use.
type RateLimiter struct {
	cfg   Config
	teams atomic.Pointer[map[string]*record.Team]

	mu         sync.Mutex
	node       *quota.Node
	hosts      []quota.Host
	knownHosts int
	waiters    map[uint32]*waiter
}

// waiter is a request that waits for a home's answer.
type waiter struct {
	team   string
	answer chan quota.Answer
}

// New returns the RateLimiter of one host; SetHosts adds the others.
func New(cfg Config) *RateLimiter {
	r := &RateLimiter{cfg: cfg, waiters: make(map[uint32]*waiter)}
	r.teams.Store(&map[string]*record.Team{})
	r.node = quota.New(quota.Config{
		Host: cfg.Host, Incarnation: cfg.Incarnation, Limit: r.limit,
		ExtraBurst: allowanceAsBurst * cfg.Allowance, ExtraRate: allowanceAsRate * cfg.Allowance / max(cfg.Window.Seconds(), 1), ExtraRateFraction: fractionAsRate * cfg.AllowanceFraction,
	}, time.Now(), rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
	return r
}

// SetTeams replaces the teams. The map must not be modified afterwards.
func (r *RateLimiter) SetTeams(teams map[string]*record.Team) { r.teams.Store(&teams) }

// limit returns a team's limit, or false if it has none.
func (r *RateLimiter) limit(team string) (quota.Limit, bool) {
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

// SetHosts sets the live hosts and the number of known hosts, including those that died
// recently.
func (r *RateLimiter) SetHosts(alive []quota.Host, known int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if known == r.knownHosts && slices.Equal(alive, r.hosts) {
		return
	}
	r.hosts, r.knownHosts = alive, known
	r.node.SetHosts(time.Now(), alive, known)
}

// Admit decides whether a request of a team may run, and otherwise returns when to retry.
// It blocks while the team's home is queried. limited reports whether the team has a limit:
// an admitted request then counts against it, and Release subtracts it again if it did not
// run.
func (r *RateLimiter) Admit(ctx context.Context, team string) (ok, limited bool, retryAfter time.Duration) {
	limit, limited := r.limit(team)
	if !limited {
		return true, false, 0
	}
	r.mu.Lock()
	result := r.node.Admit(time.Now(), team, limit)
	if result.Decision != quota.Pending {
		out := r.deliverAnswers()
		r.mu.Unlock()
		r.send(out)
		return result.Decision == quota.Admitted, true, result.RetryAfter
	}
	w := &waiter{team: team, answer: make(chan quota.Answer, 1)}
	r.waiters[result.QueryID] = w
	out := r.deliverAnswers()
	r.mu.Unlock()
	r.send(out)
	select {
	case a := <-w.answer:
		return a.Granted, true, a.RetryAfter
	case <-ctx.Done():
		r.abandon(result.QueryID, w)
		return false, true, time.Second
	}
}

// abandon drops the waiter of a cancelled request. If the query has already been granted,
// or is granted later, the request is released.
func (r *RateLimiter) abandon(queryID uint32, w *waiter) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, pending := r.waiters[queryID]; pending {
		w.answer = nil
		return
	}
	if a := <-w.answer; a.Granted {
		r.node.Release(time.Now(), w.team)
	}
}

// Release subtracts an admitted request that did not run from its team's usage.
func (r *RateLimiter) Release(team string) {
	r.mu.Lock()
	r.node.Release(time.Now(), team)
	r.mu.Unlock()
}

// Receive processes a datagram from another host.
func (r *RateLimiter) Receive(p *msg.TeamPacket) {
	r.mu.Lock()
	r.node.Step(time.Now(), p)
	out := r.deliverAnswers()
	r.mu.Unlock()
	r.send(out)
}

// Tick handles timeouts and due messages; it must be called about every 50 ms.
func (r *RateLimiter) Tick() {
	r.mu.Lock()
	r.node.Tick(time.Now())
	out := r.deliverAnswers()
	r.mu.Unlock()
	r.send(out)
}

// deliverAnswers delivers the node's answers and returns its datagrams. The caller holds
// the lock.
func (r *RateLimiter) deliverAnswers() []quota.Outbound {
	out, answers := r.node.Take()
	for _, a := range answers {
		w, ok := r.waiters[a.QueryID]
		if !ok {
			continue
		}
		delete(r.waiters, a.QueryID)
		switch {
		case w.answer != nil:
			w.answer <- a
		case a.Granted:
			r.node.Release(time.Now(), w.team)
		}
	}
	return out
}

func (r *RateLimiter) send(out []quota.Outbound) {
	for _, o := range out {
		r.cfg.Send(o.To, o.Packet)
	}
}

// State is this host's view of a team's usage.
type State = quota.State

// State returns the accounts of this host, for operators.
func (r *RateLimiter) State() []State {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.node.State(time.Now())
}
