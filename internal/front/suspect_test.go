package front

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/radishhoist/radishhoist/internal/core/crash"
	"github.com/radishhoist/radishhoist/internal/core/directory"
	"github.com/radishhoist/radishhoist/internal/guard"
	"github.com/radishhoist/radishhoist/internal/msg"
)

// newServiceView returns a service with instances of versions 0 and 1, in random order and
// with random loads.
func newServiceView(instances int, rng *rand.Rand) *serviceState {
	st := &serviceState{}
	for index, n := range rng.Perm(instances) {
		i := &directory.Instance{Name: fmt.Sprint("i", n), Service: "s", SoftwareVersion: fmt.Sprint(n % 2)}
		observed := &observations{}
		observed.updateLoad(time.Unix(1000, 0), msg.Load{Slots: 4, Running: uint32(rng.IntN(5)), RetryBudgetLeft: uint16(rng.IntN(2))})
		st.targets = append(st.targets, &target{Target: &directory.Target{Instance: i, Host: &directory.Host{}}, hash: guard.NameHash(i.Name), observed: observed})
		st.candidates.eligible = append(st.candidates.eligible, index)
	}
	return st
}

// All hosts send a request suspected of crashing its targets to the same instance, whatever
// loads they know of. The instance must be untried and run a version that the request may
// reach. No target is chosen only if no such instance is left.
func TestAllHostsChooseSameInstanceForSuspect(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		instances := rapid.IntRange(1, 12).Draw(t, "instances")
		rng := rand.New(rand.NewPCG(1, rapid.Uint64().Draw(t, "seed")))
		fp := crash.Fingerprint(rapid.Uint64().Draw(t, "fingerprint"))
		a := &crash.Assessment{Crashes: 3, BlockedUntil: now.Add(time.Minute), CrashedSoftware: []crash.Software{{Service: "s", Version: "0"}}}
		one, other := newServiceView(instances, rng), newServiceView(instances, rng)

		var tried []*target
		for left := instances / 2; ; left-- {
			first, second := one.pickForCrashSuspect(now, fp, a, tried, false), other.pickForCrashSuspect(now, fp, a, sameTargets(other, tried), false)
			if first == nil {
				assert.Equal(t, left, 0, "no target chosen although an untried one of the other version is left")
				assert.Assert(t, second == nil)
				return
			}
			assert.Equal(t, first.Name, second.Name)
			assert.Equal(t, first.SoftwareVersion, "1")
			tried = append(tried, first)
		}
	})
}

// sameTargets returns the targets of the same names in another host's view.
func sameTargets(st *serviceState, targets []*target) []*target {
	var out []*target
	for _, t := range targets {
		for _, other := range st.targets {
			if other.Name == t.Name {
				out = append(out, other)
			}
		}
	}
	return out
}

// A request suspected of crashing its targets is retried only where retry budget is left.
func TestSuspectIsRetriedOnlyWithinRetryBudget(t *testing.T) {
	now := time.Unix(1000, 0)
	a := &crash.Assessment{Crashes: 1}
	for seed := range uint64(50) {
		st := newServiceView(8, rand.New(rand.NewPCG(1, seed)))
		if picked := st.pickForCrashSuspect(now, 7, a, nil, true); picked != nil {
			assert.Assert(t, picked.observed.retryBudgetLeft(now))
		}
	}
}
