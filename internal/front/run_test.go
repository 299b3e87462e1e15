package front

import (
	"log/slog"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/radishhoist/radishhoist/internal/core/route"
	"github.com/radishhoist/radishhoist/internal/guard"
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

// A host that is stopping makes no attempt that is expected to be broken off at
// its end: the caller is told at once that nothing ran, and to go elsewhere.
func TestNoAttemptIsMadeThatTheEndWouldBreakOff(t *testing.T) {
	now := time.Now()
	st := &serviceState{routes: map[string]*latency{"r": {mean: 2 * time.Second}}}
	req := &request{state: st, route: &route.Route{Name: "r"}}
	f := &Front{guard: guard.New(guard.Config{Host: "h"}, guard.Limits{}, slog.Default(), nil, guard.Hooks{})}
	assert.Assert(t, f.fits(now, req), "it is not stopping")
	f.guard.SetShutdownTime(now.Add(3100 * time.Millisecond))
	assert.Assert(t, f.fits(now, req))
	assert.Assert(t, !f.fits(now.Add(200*time.Millisecond), req))

	f.guard.SetShutdownTime(now.Add(time.Second))
	c := &race{front: f, req: req}
	_, ok := c.next(false)
	assert.Assert(t, !ok)
	got := c.verdict()
	assert.Equal(t, got.Reason, verdict.ReasonDraining)
	assert.Equal(t, got.Status(), http.StatusServiceUnavailable)
	assert.Assert(t, got.RetryAfterMS > 0)
}
