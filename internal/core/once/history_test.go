package once_test

import (
	"testing"

	"github.com/anishathalye/porcupine"
	"gotest.tools/v3/assert"

	"github.com/radishhoist/radishhoist/internal/core/once"
)

// keyModel is the sequential promise of one key: at most one run; a replay
// gives the answer of that run and none before it; a run without answer may
// or may not have happened.
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
			return []any{o.answer}
		case o.ran:
			return nil
		case o.lost && ran == "":
			return []any{"", "unanswered"}
		case o.outcome == once.ClaimReplay && o.answer != ran:
			return nil
		default:
			return []any{ran}
		}
	},
}

func TestKeysRunOnceUnderFaults(t *testing.T) {
	const seeds = 6
	total, runs := map[once.ClaimOutcome]int{}, 0
	for a := range faults {
		for b := a; b < faults; b++ {
			for seed := range uint64(seeds) {
				s, wrong := simulate(seed+uint64(a)*100+uint64(b)*1000, a, b, simPlant{})
				assert.Equal(t, wrong, "", "faults %d and %d", a, b)
				runs++
				for o, n := range s.counts {
					total[o] += n
				}
			}
		}
	}
	assert.Assert(t, total[once.ClaimRun] > 100*runs, "too little ran: %v", total)
	assert.Assert(t, total[once.ClaimReplay] > 0 && total[once.ClaimUnknown] > 0, "%v", total)
	t.Logf("%d histories, outcomes by kind %v", runs, total)
}

func TestHistoryCheckDetectsInjectedBugs(t *testing.T) {
	for name, c := range map[string]struct {
		plant simPlant
		fault simFault
	}{
		"owner trusts a stale lease":     {simPlant{staleLease: true}, faultCut},
		"successor trusts that it knows": {simPlant{forget: true}, faultKill},
		"guard promises two epochs":      {simPlant{sharedPromise: true}, faultCut},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(120) {
				if _, wrong := simulate(seed, c.fault, c.fault, c.plant); wrong != "" {
					t.Logf("caught: %s", wrong)
					return
				}
			}
			t.Fatal("the planted fault was not caught by 120 seeds")
		})
	}
}
