package front

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/radishhoist/radishhoist/internal/core/directory"
	"github.com/radishhoist/radishhoist/internal/guard"
	"github.com/radishhoist/radishhoist/internal/msg"
	"github.com/radishhoist/radishhoist/record"
)

// scriptedGuards answers load queries: delays and loads are by address, and a host without a
// delay does not answer.
type scriptedGuards struct {
	front  *Front
	delays map[string]time.Duration
	loads  map[string]msg.Load
	asked  []*msg.LoadQuery
}

// SendLoadQuery implements LoadQuerier.
func (s *scriptedGuards) SendLoadQuery(address string, q *msg.LoadQuery) {
	s.asked = append(s.asked, q)
	if delay, ok := s.delays[address]; ok {
		time.AfterFunc(delay, func() {
			s.front.HandleLoadReply(&msg.LoadReply{ID: q.ID, Index: q.Index, Load: s.loads[address]})
		})
	}
}

// newQueryingFront returns a front and a request to a service with instances on the hosts h0,
// h1 and so on, about which nothing is known.
func newQueryingFront(hosts int) (*Front, *request, *scriptedGuards) {
	f := &Front{
		cfg: Config{Host: "front", DC: "dc"}, paths: newPaths(slog.Default()),
		loadQueries: newLoadQueries(), counts: newCounters(),
		guard: guard.New(guard.Config{Host: "front"}, guard.Limits{}, slog.Default(), nil, guard.Hooks{}),
	}
	guards := &scriptedGuards{front: f, delays: map[string]time.Duration{}, loads: map[string]msg.Load{}}
	f.SetLoadQuerier(guards)
	req := newRequest(1, time.Second, time.Now())
	req.service, req.state = &directory.Service{Record: &record.Service{}}, &serviceState{}
	for i := range hosts {
		h := &directory.Host{Name: fmt.Sprint("h", i), PeerAddr: fmt.Sprint("h", i), DC: "dc", Alive: true}
		instance := &directory.Instance{Name: fmt.Sprint("i", i), Service: "s", Slots: 4}
		req.state.targets = append(req.state.targets, &target{Target: &directory.Target{Instance: instance, Host: h}, observed: &observations{}})
		guards.delays[h.PeerAddr], guards.loads[h.PeerAddr] = time.Millisecond, msg.Load{Slots: 4}
	}
	return f, req, guards
}

// choose samples and picks a target, and returns its host with the time that it took.
func chooseHost(f *Front, req *request) (string, time.Duration) {
	rng, began := rand.New(rand.NewPCG(1, 2)), time.Now()
	sampled := f.sampleCandidates(context.Background(), req, nil, false, rng)
	took := time.Since(began)
	req.state.mu.Lock()
	defer req.state.mu.Unlock()
	return req.state.pickEligible(time.Now(), req, sampled, nil, rng, f.paths, f.cfg).Host.Name, took
}

// A front must not send a request to an instance whose guard knows that it fails, however
// little the front has heard of it, and must not ask again while what it knows is current.
func TestChoiceUsesRepliesToLoadQueries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, req, guards := newQueryingFront(4)
		for _, host := range []string{"h0", "h1", "h3"} {
			guards.loads[host] = msg.Load{Slots: 4, FailureEstimate: 900}
		}
		host, took := chooseHost(f, req)
		assert.Equal(t, host, "h2")
		assert.Equal(t, took, time.Millisecond)
		assert.Equal(t, len(guards.asked), 4)
		host, took = chooseHost(f, req)
		assert.Equal(t, host, "h2")
		assert.Equal(t, took, time.Duration(0))
		assert.Equal(t, len(guards.asked), 4, "the known loads are current")
	})
}

// A host that does not answer costs a choice loadQueryTimeout and nothing else. Its late
// reply is used by the next choice.
func TestMissingReplyDelaysChoiceByTimeoutAtMost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, req, guards := newQueryingFront(3)
		delete(guards.delays, "h0")
		guards.delays["h1"] = 2 * loadQueryTimeout
		guards.loads["h1"], guards.loads["h2"] = msg.Load{Slots: 4}, msg.Load{Slots: 4, FailureEstimate: 900}
		host, took := chooseHost(f, req)
		assert.Equal(t, took, loadQueryTimeout)
		assert.Assert(t, host != "h2")
		time.Sleep(2 * loadQueryTimeout)
		host, _ = chooseHost(f, req)
		assert.Equal(t, host, "h1")
	})
}

// A reply is used once, and only if it is to a recent query of this front: a duplicate or
// forged one must not change what is known.
func TestUnexpectedLoadRepliesAreIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, req, guards := newQueryingFront(2)
		_, _ = chooseHost(f, req)
		id := guards.asked[0].ID
		for _, r := range []*msg.LoadReply{{ID: id}, {ID: id, Index: 200}, {ID: id + 1}, {ID: id + recentLoadQueries}} {
			r.Load = msg.Load{Slots: 4, FailureEstimate: 1000}
			f.HandleLoadReply(r)
		}
		for _, target := range req.state.targets {
			assert.Equal(t, target.observed.load.FailureEstimate, uint16(0))
		}
	})
}

// At the size that the product is built for, a front makes 81 choices a second, mostly among
// instances of which it knows nothing current. Its queries must stay within the budget of a
// host, and a choice without them must not wait.
func TestLoadQueriesStayWithinRate(t *testing.T) {
	const choices, hosts = 81, 12
	synctest.Test(t, func(t *testing.T) {
		f, req, guards := newQueryingFront(hosts)
		began := time.Now()
		for range choices {
			_, took := chooseHost(f, req)
			assert.Assert(t, took <= loadQueryTimeout)
			for _, target := range req.state.targets {
				target.observed.loadAt = time.Time{}
			}
			time.Sleep(time.Second/choices - took)
		}
		limit := loadQueryBurst + maxLoadQueryRate*time.Since(began).Seconds()
		t.Logf("%d queries for %d choices", len(guards.asked), choices)
		assert.Assert(t, float64(len(guards.asked)) <= limit, "%d queries", len(guards.asked))
		assert.Assert(t, len(guards.asked) > maxLoadQueryRate)
	})
}

// Guards against requests to a frozen or cut-off host, whose last report was the best one, while
// an instance that replies has room.
func TestHostWithoutReplyIsAvoided(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, req, guards := newQueryingFront(2)
		guards.loads["h1"] = msg.Load{Slots: 4, Running: 2}
		host, _ := chooseHost(f, req)
		assert.Equal(t, host, "h0")
		delete(guards.delays, "h0")
		time.Sleep(2 * localLoadMaxAge)
		host, _ = chooseHost(f, req)
		assert.Equal(t, host, "h1")
		assert.Equal(t, f.counts.unansweredQueries.Get(), uint64(1))
		guards.delays["h0"] = loadQueryTimeout + time.Millisecond
		time.Sleep(2 * localLoadMaxAge)
		_, _ = chooseHost(f, req)
		time.Sleep(loadQueryTimeout)
		assert.Equal(t, f.counts.lateReplies.Get(), uint64(1))
		host, _ = chooseHost(f, req)
		assert.Equal(t, host, "h0", "it has replied again")
	})
}

// A host of another data centre cannot reply within the time of one choice. It is avoided only
// once it has left a query of an earlier choice unanswered for long.
func TestRemoteHostWithoutReplyIsAvoidedLater(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, req, guards := newQueryingFront(2)
		req.state.targets[0].Host.DC = "far"
		guards.delays["h0"] = 2 * loadQueryTimeout
		guards.loads["h1"] = msg.Load{Slots: 4, FailureEstimate: 500}
		_, _ = chooseHost(f, req)
		time.Sleep(2 * remoteLoadMaxAge)
		host, _ := chooseHost(f, req)
		assert.Equal(t, host, "h0", "healthy by its last reply")
		delete(guards.delays, "h0")
		time.Sleep(2 * remoteLoadMaxAge)
		host, _ = chooseHost(f, req)
		assert.Equal(t, host, "h0")
		time.Sleep(longUnanswered)
		host, _ = chooseHost(f, req)
		assert.Equal(t, host, "h1")
	})
}
