package front

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/radishhoist/radishhoist/internal/core/refusal"
	"github.com/radishhoist/radishhoist/internal/msg"
	"github.com/radishhoist/radishhoist/verdict"
)

// Guards against a retry that is given up because one of many guards has no budget left and
// the others have not reported lately: docs/hard-load.md asks that the sampled guards and two
// others report it.
func TestOneSpentGuardDoesNotEndRetries(t *testing.T) {
	now := time.Now()
	guards := []*refusal.GuardBudget{{}, {}, {}, {}, {}, {}}
	guards[0].Report(now, 0)
	ask := make([]bool, len(guards))
	assert.Assert(t, refusal.Askable(now, 0, guards, ask), "five guards of which nothing is known")
}

// Guards against a retry that is given up because three guards had no room in their queue:
// none of them lacked budget.
func TestFullQueuesDoNotCountAsLackOfBudget(t *testing.T) {
	m := newModelService(1, 10, 0, true)
	front := m.fronts[0]
	for _, tg := range front.template.state.targets {
		tg.observed.updateLoad(time.Now(), msg.Load{Slots: 8, RetryBudgetLeft: 5})
	}
	front.template.idempotent = true
	for _, learn := range []bool{false, true} {
		front.cfg.LearnRefusals = learn
		e := &execution{front: front.Front, req: front.template, rng: rand.New(rand.NewPCG(1, 1))}
		e.addFailure(verdict.New(verdict.Ran, verdict.ReasonTargetBroke, ""))
		e.reachedInstance, e.summary.attempts = true, 1
		asked := 0
		for {
			p, ok := e.nextPick(front.template.state.targets, false)
			if !ok {
				break
			}
			asked++
			e.addFailure(verdict.New(verdict.NotRun, verdict.ReasonQueueFull, fmt.Sprint(p.target.Name)))
		}
		t.Logf("learn=%v: %d guards asked, attempts allowed %d", learn, asked, front.template.route.Attempts())
		assert.Equal(t, asked, maxGuardRefusals)
	}
}
