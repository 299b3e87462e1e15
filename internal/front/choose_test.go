package front

import (
	"fmt"
	"log/slog"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"gotest.tools/v3/assert"

	"github.com/radishhoist/radishhoist/internal/core/directory"
	"github.com/radishhoist/radishhoist/internal/msg"
)

// Guards against a change of choices in a fleet whose data centres lie in one area. The
// expected hash is that of the choices made by the code before areas were introduced.
func TestChoicesInOneAreaAreUnchanged(t *testing.T) {
	const want = uint64(5540886414430832476)
	now, rng := time.Now(), rand.New(rand.NewPCG(7, 8))
	cfg := Config{Host: "front", DC: "dc0"}
	f := &Front{cfg: cfg, paths: newPaths(slog.Default())}
	hash := xxhash.New()
	for _, n := range []int{5, 61} {
		req := newServiceInDCs(n, now, cfg)
		var tried []*target
		for step := range 2000 {
			now := now.Add(time.Duration(step) * 50 * time.Millisecond)
			req.arrived = now
			changed := req.state.targets[rng.IntN(n)]
			changed.observed.updateLoad(now, msg.Load{
				Slots: 11, Running: uint32(rng.IntN(12)), FailureEstimate: uint16(rng.IntN(1000)), RetryBudgetLeft: uint16(rng.IntN(3)),
				WaitingMS: [4]uint32{uint32(rng.IntN(9000)), uint32(rng.IntN(900))},
			})
			f.paths.recordReply(changed.Host.Name, time.Duration(rng.IntN(4000))*time.Microsecond)
			sampled, _ := req.state.sample(now, req, tried, step%7 == 0, rng, f)
			req.state.mu.Lock()
			chosen := req.state.pickEligible(now, req, sampled, tried, rng, f.paths, cfg)
			req.state.mu.Unlock()
			if tried = nil; chosen != nil {
				_, _ = fmt.Fprintln(hash, chosen.Name)
				tried = []*target{chosen}
			}
			if step%2 == 0 {
				tried = nil
			}
		}
	}
	assert.Equal(t, hash.Sum64(), want)
}

// Guards against requests at an instance whose host is about to exit that the exit would cut off, or
// that cannot be sent again then. Short idempotent requests must reach it.
func TestFinishingTargetsGetShortIdempotentRequestsOnly(t *testing.T) {
	now, rng := time.Now(), rand.New(rand.NewPCG(7, 8))
	cfg := Config{Host: "front", DC: "dc0"}
	f := &Front{cfg: cfg, paths: newPaths(slog.Default())}
	for _, c := range []struct {
		name       string
		idempotent bool
		mean       time.Duration
		want       bool
	}{
		{"short", true, 150 * time.Millisecond, true},
		{"long", true, 2 * time.Second, false},
		{"not idempotent", false, 150 * time.Millisecond, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			req := newServiceInDCs(8, now, cfg)
			req.idempotent = c.idempotent
			req.state.latencies[req.route.Name] = &latency{mean: c.mean}
			for _, target := range req.state.targets[:4] {
				target.Host.Leaving, target.State = true, directory.Finishing
			}
			req.state.candidates.computedAt = time.Time{}
			chosen := 0
			for range 200 {
				sampled, _ := req.state.sample(now, req, nil, false, rng, f)
				req.state.mu.Lock()
				if target := req.state.pickEligible(now, req, sampled, nil, rng, f.paths, cfg); target.State == directory.Finishing {
					chosen++
				}
				req.state.mu.Unlock()
			}
			assert.Equal(t, chosen > 0, c.want, "%d of 200", chosen)
		})
	}
}
