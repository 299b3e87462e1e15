package front

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/radishhoist/radishhoist/verdict"
)

// A caller is told why its request failed, not that the repeat which might have
// saved it was not to be had; and that it may have run where an attempt had.
func TestARefusedRepeatDoesNotHideTheFailure(t *testing.T) {
	c := &race{req: &request{}}
	c.failed(verdict.New(verdict.MayHaveRun, verdict.ReasonTargetBroke, "broke"))
	assert.Assert(t, c.sent, "whatever follows is a repeat")
	c.failed(verdict.New(verdict.NotRun, verdict.ReasonRetryBudget, ""))
	got := c.verdict()
	assert.Equal(t, got.Reason, verdict.ReasonTargetBroke)
	assert.Equal(t, got.Verdict, verdict.MayHaveRun)

	c = &race{req: &request{}}
	c.failed(verdict.New(verdict.NotRun, verdict.ReasonQueueFull, ""))
	assert.Assert(t, !c.sent, "a guard's refusal is no arrival")
	c.failed(verdict.New(verdict.NotRun, verdict.ReasonTargetShed, ""))
	assert.Assert(t, c.sent)
	c.failed(verdict.New(verdict.NotRun, verdict.ReasonRetryBudget, ""))
	assert.Equal(t, c.verdict().Reason, verdict.ReasonTargetShed)
	assert.Equal(t, c.verdict().Verdict, verdict.NotRun)
}
