package teams

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/radishhoist/radishhoist/internal/core/quota"
	"github.com/radishhoist/radishhoist/internal/msg"
	"github.com/radishhoist/radishhoist/record"
)

// warmUp is how long a host runs until it no longer assumes that accounts are used up.
const warmUp = time.Minute

func TestTeamOverItsRateGetsRetryAfter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := New(Config{Host: "h1"})
		r.SetTeams(map[string]*record.Team{"desk": {Office: "o", RatePerSecond: 2, Burst: 3}})
		time.Sleep(warmUp)
		ctx := context.Background()
		for range 3 {
			ok, limited, _ := r.Admit(ctx, "desk")
			assert.Assert(t, ok && limited)
		}
		ok, _, retryAfter := r.Admit(ctx, "desk")
		assert.Assert(t, !ok && retryAfter > 0 && retryAfter <= time.Second)
		time.Sleep(retryAfter)
		ok, _, _ = r.Admit(ctx, "desk")
		assert.Assert(t, ok)
		ok, limited, _ := r.Admit(ctx, "unknown")
		assert.Assert(t, ok && !limited)
		// A changed record applies from the next request.
		r.SetTeams(map[string]*record.Team{"desk": {Office: "o", RatePerSecond: 100}})
		ok, _, _ = r.Admit(ctx, "desk")
		assert.Assert(t, ok)
	})
}

// A host that has just started grants no burst, since the team may have used it up before
// the whole fleet stopped.
func TestRestartGrantsNoBurst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := New(Config{Host: "h1"})
		r.SetTeams(map[string]*record.Team{"desk": {Office: "o", RatePerSecond: 2, Burst: 30}})
		ok, _, retryAfter := r.Admit(context.Background(), "desk")
		assert.Assert(t, !ok && retryAfter > 0)
		time.Sleep(time.Second)
		admitted := 0
		for range 30 {
			if ok, _, _ := r.Admit(context.Background(), "desk"); ok {
				admitted++
			}
		}
		assert.Equal(t, admitted, 2)
	})
}

// pair is two hosts whose datagrams arrive after a delay, or not at all.
type pair struct {
	limiters    map[string]*RateLimiter
	partitioned bool
}

func newPair(delay time.Duration) *pair {
	p := &pair{limiters: make(map[string]*RateLimiter)}
	for _, name := range []string{"h1", "h2"} {
		p.limiters[name] = New(Config{Host: name, Send: func(to string, m *msg.TeamPacket) {
			if p.partitioned {
				return
			}
			go func() {
				time.Sleep(delay)
				p.limiters[to].Receive(m)
			}()
		}})
	}
	for _, r := range p.limiters {
		r.SetHosts([]quota.Host{{Name: "h1", DC: "a"}, {Name: "h2", DC: "a"}}, 2)
		r.SetTeams(map[string]*record.Team{"desk": {Office: "o", RatePerSecond: 1, Burst: 4}})
	}
	return p
}

// nonHome returns the host that is not the team's home.
func (p *pair) nonHome() *RateLimiter {
	r := p.limiters["h1"]
	r.mu.Lock()
	defer r.mu.Unlock()
	r.node.Admit(time.Now(), "desk", quota.Limit{Rate: 1, Burst: 4})
	if r.node.State(time.Now())[0].Home == "h1" {
		return p.limiters["h2"]
	}
	return r
}

// A request cancelled while its query is pending does not count against its team.
func TestGrantForCancelledRequestIsReleased(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPair(20 * time.Millisecond)
		nonHome := p.nonHome()
		p.run(warmUp)
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		for range maxUnconfirmed {
			ok, _, _ := nonHome.Admit(context.Background(), "desk")
			assert.Assert(t, ok)
		}
		ok, _, _ := nonHome.Admit(ctx, "desk")
		assert.Assert(t, !ok)
		p.run(maxUnconfirmed * time.Second)
		for _, r := range p.limiters {
			for _, s := range r.State() {
				assert.Assert(t, s.Level < 1, "%+v", s)
			}
		}
	})
}

// maxUnconfirmed is the number of requests that a host admits before the home has
// confirmed any, for a team far from its limit; the next one queries the home.
const maxUnconfirmed = 2

// run ticks both hosts for a period.
func (p *pair) run(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		for _, r := range p.limiters {
			r.Tick()
		}
	}
}

// If no home responds, a host decides by its own share, each time within 250 ms.
func TestHostWithoutHomeEnforcesItsShare(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPair(time.Millisecond)
		nonHome := p.nonHome()
		p.run(warmUp)
		p.partitioned = true
		var wg sync.WaitGroup
		wg.Go(func() { p.run(20 * time.Second) })
		admitted := 0
		for range 100 {
			began := time.Now()
			if ok, _, _ := nonHome.Admit(context.Background(), "desk"); ok {
				admitted++
			}
			assert.Assert(t, time.Since(began) <= 250*time.Millisecond, "decided after %s", time.Since(began))
			time.Sleep(100 * time.Millisecond)
		}
		// Half of one request a second, and half of the burst of four.
		assert.Assert(t, admitted >= 4 && admitted <= 9, "%d admitted in 10 s", admitted)
		wg.Wait()
	})
}
