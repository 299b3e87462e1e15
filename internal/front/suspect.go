package front

import (
	"context"
	"encoding/binary"
	"net/http"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/radishhoist/radishhoist/internal/core/crash"
	"github.com/radishhoist/radishhoist/internal/sleep"
	"github.com/radishhoist/radishhoist/verdict"
)

// A request that is suspected of crashing its instances is retried once after an instance
// has crashed, because most requests that were running during a crash did not cause it. It
// is never hedged, and not retried further: each attempt of the request that does cause
// crashes takes down another instance. All hosts send it to the same instance of its
// service, so that others are not put at risk. There are two exceptions: a retry goes to
// another instance, and if no usable instance may get the request, choose takes a fallback.

// suspectedOfCrashing reports whether an instance is known to have crashed while running
// the request. Unlike the test in choose, it also counts crashes in the request's own
// attempts. The caller must hold e.mu or have exclusive access.
func (e *execution) suspectedOfCrashing() bool { return e.incidents() > 0 }

// incidents counts the incidents in which instances have crashed while running the
// request. It is the higher of the number known to all hosts and that of this request's
// own attempts, which may not have been reported yet. The caller must hold e.mu or have
// exclusive access.
func (e *execution) incidents() int {
	own := 0
	for _, fail := range e.failures {
		if fail.Reason == verdict.ReasonTargetCrashed {
			own++
		}
	}
	return max(own, e.front.guard.CrashAssessment(e.req.fingerprint).Incidents)
}

// refusedAsCrashing reports whether a guard has refused the request because it crashes its
// targets. The guard may know of crashes that have not been reported to this host yet. The
// caller must hold e.mu or have exclusive access.
func (e *execution) refusedAsCrashing() bool {
	return slices.ContainsFunc(e.failures, func(fail *verdict.Error) bool { return fail.Reason == verdict.ReasonCrashesTargets })
}

// awaitClearance waits while reports that would clear the request may still arrive. A
// request that was lost with several instances at once is retried just as the hosts learn
// of their crashes.
func (e *execution) awaitClearance(ctx context.Context) {
	for {
		a := e.front.guard.CrashAssessment(e.req.fingerprint)
		wait := a.ClearanceTimeLeft(time.Now())
		if wait <= 0 || !sleep.For(ctx, wait) {
			return
		}
	}
}

// pickForCrashSuspect chooses the target of a suspected request among the instances that it
// may reach. The choice depends only on the request's fingerprint and the instances' names,
// so that all hosts agree. The caller must hold st.mu.
func (st *serviceState) pickForCrashSuspect(now time.Time, fp crash.Fingerprint, a *crash.Assessment, tried []*target, usesRetryBudget bool) *target {
	var best *target
	lowest := uint64(0)
	for _, i := range st.untried(st.candidates.eligible, tried) {
		t := st.targets[i]
		if a.Blocked(now, t.softwareVersion()) || usesRetryBudget && !t.observed.retryBudgetLeft(now) {
			continue
		}
		if rank := rendezvousRank(fp, t); best == nil || rank < lowest {
			best, lowest = t, rank
		}
	}
	return best
}

// rendezvousRank ranks the instances of a service for one request by rendezvous hashing.
func rendezvousRank(fp crash.Fingerprint, t *target) uint64 {
	var key [16]byte
	binary.LittleEndian.PutUint64(key[:8], uint64(fp))
	binary.LittleEndian.PutUint64(key[8:], t.hash)
	return xxhash.Sum64(key[:])
}

// softwareVersion returns the service and version that the instance runs.
func (t *target) softwareVersion() crash.Software {
	return crash.Software{Service: t.Service, Version: t.SoftwareVersion}
}

// succeeded reports whether a complete response with a success status was received, which
// proves that the request has run to completion.
func (o *outcome) succeeded() bool {
	return o.fail == nil && !o.response.streaming && o.response.head.Status < http.StatusBadRequest
}
