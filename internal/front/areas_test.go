package front

import (
	"log/slog"
	"math"
	"math/rand/v2"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"gotest.tools/v3/assert"

	"github.com/radishhoist/radishhoist/internal/core/area"
	"github.com/radishhoist/radishhoist/internal/core/directory"
	"github.com/radishhoist/radishhoist/internal/msg"
	"github.com/radishhoist/radishhoist/verdict"
)

// areaChoice makes choices in dc0, whose area has dc1 too; dc2 and dc3 are in the other one.
type areaChoice struct {
	cfg   Config
	req   *request
	now   time.Time
	paths *paths
	rng   *rand.Rand
	// remote is the load of the other area, idle by default.
	remote msg.Load
}

func newAreaChoice(serviceTime, objective time.Duration, bytes int64) *areaChoice {
	cfg := Config{Host: "front", DC: "dc0", AreaLinkMbps: 60, Areas: map[string]string{"dc0": "north", "dc1": "north", "dc2": "south", "dc3": "south"}}
	cfg.areas = newAreas(cfg, metrics.NewSet())
	now := time.Now()
	c := &areaChoice{cfg: cfg, req: newServiceInDCs(61, now, cfg), now: now, paths: newPaths(slog.Default()), rng: rand.New(rand.NewPCG(5, 6))}
	c.req.route.ObjectiveMS = int(objective.Milliseconds())
	c.req.state.routeLatency("").add(serviceTime)
	if bytes > 0 {
		c.req.state.routeArea("").transfer.Add(bytes)
	}
	return c
}

// remoteShare sets the load and failure estimate of the own area, and returns the share of 200 choices in 4 s that leave it.
func (c *areaChoice) remoteShare(own msg.Load, tried ...*target) float64 {
	const choices = 200
	own.Slots, own.RetryBudgetLeft = 11, 9
	c.remote.Slots, c.remote.RetryBudgetLeft = 11, 9
	f := &Front{cfg: c.cfg, paths: c.paths}
	remote := 0
	for range choices {
		c.now = c.now.Add(20 * time.Millisecond)
		c.req.arrived = c.now
		for _, t := range c.req.state.targets {
			load := own
			if t.distance == area.Remote {
				load = c.remote
			}
			t.observed.updateLoad(c.now, load)
		}
		sampled, _ := c.req.state.sample(c.now, c.req, tried, false, c.rng, f)
		if t := c.req.state.pickEligible(c.now, c.req, sampled, tried, c.rng, c.paths, c.cfg); t.distance == area.Remote {
			remote++
		}
	}
	return float64(remote) / choices
}

func queue(wait time.Duration) msg.Load {
	return msg.Load{Running: 11, WaitingMS: [4]uint32{0, uint32(11 * wait.Milliseconds())}}
}

// A lookup must cross an area when its own one has none free, and not otherwise. A download
// must stay until its area is out of room, and while the link is full.
func TestRequestsLeaveTheirAreaForWantOfRoom(t *testing.T) {
	const ms = time.Millisecond
	lookup := func() *areaChoice { return newAreaChoice(150*ms, 600*ms, 1<<10) }
	download := func() *areaChoice { return newAreaChoice(400*ms, 2500*ms, 90<<10) }
	assert.Equal(t, lookup().remoteShare(msg.Load{Running: 10}), 0.0, "a slot is free")
	assert.Equal(t, lookup().remoteShare(queue(0)), 0.0, "the next slot is free within the round trip")
	share := lookup().remoteShare(queue(200 * ms))
	assert.Assert(t, share > 0.9, "%f", share)
	assert.Equal(t, download().remoteShare(queue(400*ms)), 0.0)
	share = download().remoteShare(queue(800 * ms))
	assert.Assert(t, share > 0.8, "%f", share)

	full := download()
	full.cfg.areas.link.SetPeers(make([]string, 49))
	full.cfg.areas.link.Add(full.now, 0, 50_000_000)
	assert.Equal(t, full.remoteShare(queue(800*ms)), 0.0, "large transfers stay while the link is full")
	small := lookup()
	small.cfg.areas.link.SetPeers(make([]string, 49))
	small.cfg.areas.link.Add(small.now, 0, 50_000_000)
	share = small.remoteShare(queue(200 * ms))
	assert.Assert(t, share > 0.9, "small transfers may still cross: %f", share)
}

// After an attempt that got no frame from another area, requests must stay in their own one
// for some time, whatever its load: each of the hosts there would cost another request.
func TestLossOfOtherAreaKeepsRequestsInTheirs(t *testing.T) {
	c := newAreaChoice(150*time.Millisecond, 600*time.Millisecond, 1<<10)
	c.cfg.areas.lostAt.Store(c.now.Add(3 * time.Second).UnixNano())
	assert.Equal(t, c.remoteShare(queue(200*time.Millisecond)), 0.0)
	share := c.remoteShare(queue(200 * time.Millisecond))
	assert.Assert(t, share > 0.5 && share < 0.8, "after the pause they leave again: %f", share)
}

// Without a usable target in the own area, requests must leave it whatever they transfer, also
// while the other one may be lost.
func TestLossOfOwnAreaSendsRequestsToTheOther(t *testing.T) {
	c := newAreaChoice(400*time.Millisecond, 2500*time.Millisecond, 90<<10)
	c.cfg.areas.lostAt.Store(c.now.UnixNano())
	for _, target := range c.req.state.targets {
		target.Host.Alive = target.distance == area.Remote
	}
	c.req.state.refreshCandidates(c.now, c.req.service, c.paths, c.cfg)
	assert.Equal(t, c.remoteShare(msg.Load{}), 1.0)
}

// Instances that are likely to fail requests have free slots: they must neither hide that the
// area has no room nor keep a request in it, unless all of the service are. The candidates of a retry are those left over and
// must not make other requests leave.
func TestFailingInstancesAreNoRoom(t *testing.T) {
	c := newAreaChoice(150*time.Millisecond, 600*time.Millisecond, 1<<10)
	failing := msg.Load{FailureEstimate: 900}
	assert.Equal(t, c.remoteShare(failing), 1.0)
	assert.Assert(t, !c.req.state.routeArea("").spill.Spilled(c.now))
	refusing := newAreaChoice(150*time.Millisecond, 600*time.Millisecond, 1<<10)
	refusing.remote = msg.Load{FailureEstimate: 200, ShedShare: 550}
	assert.Equal(t, refusing.remoteShare(msg.Load{FailureEstimate: 250, ShedShare: 600}), 0.0)
	retry := newAreaChoice(150*time.Millisecond, 600*time.Millisecond, 1<<10)
	retry.remoteShare(queue(time.Second), retry.req.state.targets[0])
	assert.Assert(t, !retry.req.state.routeArea("").spill.Spilled(retry.now))
	assert.Equal(t, retry.cfg.areas.changes.Get(), uint64(0))
}

// The bytes of a route must be learned from both directions and counted by distance, and a
// lost link must be noticed: the price and the bound depend on them.
func TestTransfersAreLearnedAndCounted(t *testing.T) {
	c := newAreaChoice(150*time.Millisecond, 600*time.Millisecond, 0)
	f := &Front{cfg: c.cfg, paths: c.paths}
	c.req.http, c.req.length = httptest.NewRequest("POST", "/submit/1", nil), 5000
	remote := c.req.state.targets[2]
	f.paths.recordReply(remote.Host.Name, 80*time.Millisecond)
	f.recordTransfer(c.req, remote, &outcome{response: &response{head: &msg.Head{Length: 90000}, length: 70000}})
	mean := c.req.state.routeArea("").transfer.Mean()
	assert.Assert(t, mean >= 95000 && mean < 96000, "%f", mean)
	counted := c.cfg.areas.bytes[area.Remote].Get()
	assert.Assert(t, counted >= 75000 && counted < 76000, "%d", counted)
	assert.Equal(t, c.cfg.areas.bytes[area.SameDC].Get(), uint64(0))
	sent, received := c.cfg.areas.link.Use(time.Now())
	assert.Assert(t, sent > 0 && received > 10*sent, "%f %f", sent, received)
	assert.Assert(t, c.cfg.areas.roundTrip.Load() > int64(initialRoundTrip))
	assert.Assert(t, !c.cfg.areas.lossSuspected(time.Now()))
	f.recordTransfer(c.req, remote, &outcome{fail: verdict.New(verdict.NotRun, verdict.ReasonLinkLost, "")})
	assert.Assert(t, c.cfg.areas.lossSuspected(time.Now()))
}

// Guards against a declared length that overflows the mean transfer of a route: a negative price drew
// its requests to other areas, an absurd one kept them from there.
func TestAbsurdDeclaredLengthIsBoundedInTransfer(t *testing.T) {
	c := newAreaChoice(150*time.Millisecond, 600*time.Millisecond, 1<<10)
	f := &Front{cfg: c.cfg, paths: c.paths}
	c.req.http, c.req.length = httptest.NewRequest("GET", "/notes/1", nil), 0
	add := func(declared int64) {
		f.recordTransfer(c.req, c.req.state.targets[0], &outcome{response: &response{head: &msg.Head{Length: declared}, length: 1000}})
	}
	add(math.MaxInt64)
	mean := c.req.state.routeArea("").transfer.Mean()
	assert.Assert(t, mean > 0 && mean <= area.MaxDeclaredBytes, "%f", mean)
	for range 200 {
		add(1000)
	}
	assert.Assert(t, !c.req.state.routeArea("").transfer.Large())
}

// Guards against choices among targets of the wrong distance: the groups by distance are cached for
// the usual list of eligible targets, and another list may have the same length.
func TestDistancesOfFinishingTargetsAreNotCached(t *testing.T) {
	c := newAreaChoice(150*time.Millisecond, time.Second, 0)
	st := c.req.state
	c.req.idempotent = true
	st.targets[1].Host.Leaving, st.targets[1].State = true, directory.Finishing
	st.candidates.computedAt = time.Time{}
	f := &Front{cfg: c.cfg, paths: c.paths}
	st.sample(c.now, c.req, []*target{st.targets[0]}, false, c.rng, f)
	st.sample(c.now, c.req, nil, false, c.rng, f)
	c.req.idempotent = false
	st.sample(c.now, c.req, nil, false, c.rng, f)
	for distance, positions := range st.groups.byDistance {
		for _, k := range positions {
			assert.Equal(t, int(st.targets[st.candidates.eligible[k]].distance), distance)
		}
	}
}
