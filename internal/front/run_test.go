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

// A retry refused by the retry budget must not hide the original failure, nor the fact that
// an earlier attempt may have run.
func TestRetryBudgetRefusalDoesNotHideFailure(t *testing.T) {
	exec := &execution{req: &request{}}
	exec.addFailure(verdict.New(verdict.MayHaveRun, verdict.ReasonTargetBroke, "broke"))
	assert.Assert(t, exec.reachedInstance, "further attempts draw on the retry budget")
	exec.addFailure(verdict.New(verdict.NotRun, verdict.ReasonRetryBudget, ""))
	got := exec.combinedFailure()
	assert.Equal(t, got.Reason, verdict.ReasonTargetBroke)
	assert.Equal(t, got.Verdict, verdict.MayHaveRun)

	exec = &execution{req: &request{}}
	exec.addFailure(verdict.New(verdict.NotRun, verdict.ReasonQueueFull, ""))
	assert.Assert(t, !exec.reachedInstance, "a request that its guard refused has not reached the instance")
	exec.addFailure(verdict.New(verdict.NotRun, verdict.ReasonTargetShed, ""))
	assert.Assert(t, exec.reachedInstance)
	exec.addFailure(verdict.New(verdict.NotRun, verdict.ReasonRetryBudget, ""))
	assert.Equal(t, exec.combinedFailure().Reason, verdict.ReasonTargetShed)
	assert.Equal(t, exec.combinedFailure().Verdict, verdict.NotRun)
}

// A host that is shutting down makes no attempt that shutdown is expected to interrupt. The
// caller is told at once that nothing ran and when to retry.
func TestNoAttemptStartsThatShutdownWouldInterrupt(t *testing.T) {
	now := time.Now()
	st := &serviceState{latencies: map[string]*latency{"r": {mean: 2 * time.Second}}}
	req := &request{state: st, route: &route.Route{Name: "r"}}
	f := &Front{guard: guard.New(guard.Config{Host: "h"}, guard.Limits{}, slog.Default(), nil, guard.Hooks{})}
	assert.Assert(t, f.fitsBeforeShutdown(now, req), "the host is not shutting down")
	f.guard.SetShutdownTime(now.Add(3100 * time.Millisecond))
	assert.Assert(t, f.fitsBeforeShutdown(now, req))
	assert.Assert(t, !f.fitsBeforeShutdown(now.Add(200*time.Millisecond), req))

	f.guard.SetShutdownTime(now.Add(time.Second))
	exec := &execution{front: f, req: req}
	_, ok := exec.nextPick(nil, false)
	assert.Assert(t, !ok)
	got := exec.combinedFailure()
	assert.Equal(t, got.Reason, verdict.ReasonDraining)
	assert.Equal(t, got.Status(), http.StatusServiceUnavailable)
	assert.Assert(t, got.RetryAfterMS > 0)
}
