package once_test

import (
	"testing"

	"github.com/anishathalye/porcupine"
	"gotest.tools/v3/assert"

	"github.com/radishhoist/radishhoist/internal/core/once"
)

// keyModel is the sequential specification of one key. The request runs at most once. A
// replay returns the response of that run and cannot precede it. A request whose response
// was lost may or may not have run. The state is the response of the run, "" before it.
var keyModel = porcupine.NondeterministicModel{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byKey := map[string][]porcupine.Operation{}
		for _, op := range history {
			k := op.Input.(keyInput).key
			byKey[k] = append(byKey[k], op)
		}
		var out [][]porcupine.Operation
		for _, ops := range byKey {
			out = append(out, ops)
		}
		return out
	},
	Init: func() []any { return []any{""} },
	Step: func(state, _, output any) []any {
		ran, o := state.(string), output.(keyOutput)
		switch {
		case o.ran && ran == "":
			return []any{o.response}
		case o.ran:
			return nil
		case o.lost && ran == "":
			return []any{"", "response lost"}
		case o.outcome == once.ClaimReplay && o.response != ran:
			return nil
		default:
			return []any{ran}
		}
	},
}

func TestKeysRunOnceUnderFaults(t *testing.T) {
	const seeds = 6
	total, runs := map[once.ClaimOutcome]int{}, 0
	for a := range numFaults {
		for b := a; b < numFaults; b++ {
			for seed := range uint64(seeds) {
				s, violation := simulate(seed+uint64(a)*100+uint64(b)*1000, a, b, simMutation{})
				assert.Equal(t, violation, "", "faults %d and %d", a, b)
				runs++
				for o, n := range s.outcomes {
					total[o] += n
				}
			}
		}
	}
	assert.Assert(t, total[once.ClaimRun] > 100*runs, "too few requests were permitted to run: %v", total)
	assert.Assert(t, total[once.ClaimReplay] > 0 && total[once.ClaimUnknown] > 0, "%v", total)
	t.Logf("%d histories, outcomes by kind %v", runs, total)
}

func TestHistoryCheckDetectsInjectedBugs(t *testing.T) {
	for name, c := range map[string]struct {
		mutation simMutation
		fault    simFault
	}{
		"owner relies on an expired lease": {simMutation{staleLease: true}, faultPartition},
		"successor runs unknown keys":      {simMutation{claimUnknownKeys: true}, faultKill},
		"guard grants two epochs":          {simMutation{conflictingLeases: true}, faultPartition},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(120) {
				if _, violation := simulate(seed, c.fault, c.fault, c.mutation); violation != "" {
					t.Logf("detected: %s", violation)
					return
				}
			}
			t.Fatal("the injected bug was not detected with 120 seeds")
		})
	}
}
