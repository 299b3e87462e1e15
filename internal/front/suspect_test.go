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

// hostView is a service state that has some instances of versions 0 and 1, in an order of
// its own and with loads of its own.
func hostView(instances int, rng *rand.Rand) *serviceState {
	st := &serviceState{}
	for place, n := range rng.Perm(instances) {
		i := &directory.Instance{Name: fmt.Sprint("i", n), Service: "s", Version: fmt.Sprint(n % 2)}
		seen := &observed{}
		seen.hear(time.Unix(1000, 0), msg.Load{Slots: 4, Running: uint32(rng.IntN(5)), RetryBudgetLeft: uint16(rng.IntN(2))})
		st.targets = append(st.targets, &target{Target: &directory.Target{Instance: i, Host: &directory.Host{}}, hash: guard.InstanceHash(i.Name), seen: seen})
		st.choice.usable = append(st.choice.usable, place)
	}
	return st
}

// All hosts send a suspect to the same instance, whatever they believe of loads: one that
// was not tried and whose software the request may reach. None is chosen only where none
// is left.
func TestAllHostsSendASuspectToOnePlace(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		instances := rapid.IntRange(1, 12).Draw(t, "instances")
		rng := rand.New(rand.NewPCG(1, rapid.Uint64().Draw(t, "seed")))
		print := crash.Fingerprint(rapid.Uint64().Draw(t, "print"))
		v := &crash.Assessment{Crashes: 3, BlockedUntil: now.Add(time.Minute), CrashedSoftware: []crash.Software{{Service: "s", Version: "0"}}}
		one, other := hostView(instances, rng), hostView(instances, rng)

		var tried []*target
		for left := instances / 2; ; left-- {
			a, b := one.pickForSuspect(now, print, v, tried, false), other.pickForSuspect(now, print, v, samePlaces(other, tried), false)
			if a == nil {
				assert.Equal(t, left, 0, "every instance of the version that has not ended is tried")
				assert.Assert(t, b == nil)
				return
			}
			assert.Equal(t, a.Name, b.Name)
			assert.Equal(t, a.Version, "1")
			tried = append(tried, a)
		}
	})
}

// samePlaces finds the targets of the same names in another host's view.
func samePlaces(st *serviceState, targets []*target) []*target {
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

// A repeat of a suspect goes only where a repeat is left.
func TestASuspectIsRepeatedWhereARepeatIsLeft(t *testing.T) {
	now := time.Unix(1000, 0)
	v := &crash.Assessment{Crashes: 1}
	for seed := range uint64(50) {
		st := hostView(8, rand.New(rand.NewPCG(1, seed)))
		if picked := st.pickForSuspect(now, 7, v, nil, true); picked != nil {
			assert.Assert(t, picked.seen.mayRepeat(now))
		}
	}
}
