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
// has ended, because most requests that ran beside another one's crash did not cause it. It
// is never hedged, and not retried further: each attempt of the request that does cause
// crashes ends another instance. All hosts send it to the same instance of its service, so
// that no other is put at risk.

// suspectedOfCrashing reports whether an instance is known to have ended while running the
// request. The caller must hold e.mu or have exclusive access.
func (e *execution) suspectedOfCrashing() bool { return e.endMoments() > 0 }

// endMoments counts the distinct moments at which instances have ended while running the
// request. It is the higher of the number known to all hosts and that of this request's own
// attempts, which may not have been reported yet. The caller must hold e.mu or have
// exclusive access.
func (e *execution) endMoments() int {
	own := 0
	for _, fail := range e.failures {
		if fail.Reason == verdict.ReasonTargetCrashed {
			own++
		}
	}
	return max(own, e.front.guard.CrashAssessment(e.req.fingerprint).Incidents)
}

// refusedAsCrashing reports whether a guard has refused the request because it crashes its
// targets. The guard may know of ends that this host has not heard of. The caller must hold
// e.mu or have exclusive access.
func (e *execution) refusedAsCrashing() bool {
	return slices.ContainsFunc(e.failures, func(fail *verdict.Error) bool { return fail.Reason == verdict.ReasonCrashesTargets })
}

// awaitEndReports waits while reports that would clear the request may still arrive. A
// request that was lost with several instances at once is retried just as the hosts learn
// of their ends.
func (e *execution) awaitEndReports(ctx context.Context) {
	for {
		v := e.front.guard.CrashAssessment(e.req.fingerprint)
		wait := v.ClearanceTimeLeft(time.Now())
		if wait <= 0 || !sleep.For(ctx, wait) {
			return
		}
	}
}

// pickForSuspect chooses the target of a suspected request among the instances that it may
// reach. The choice depends only on the request's fingerprint and the instances' names, so
// that all hosts agree. The caller must hold st.mu.
func (st *serviceState) pickForSuspect(now time.Time, fingerprint crash.Fingerprint, v *crash.Assessment, tried []*target, repeat bool) *target {
	var best *target
	lowest := uint64(0)
	for _, i := range st.untried(st.candidates.usable, tried) {
		t := st.targets[i]
		if v.Blocked(now, t.softwareVersion()) || repeat && !t.observed.retryBudgetLeft(now) {
			continue
		}
		if rank := rendezvousRank(fingerprint, t); best == nil || rank < lowest {
			best, lowest = t, rank
		}
	}
	return best
}

// rendezvousRank ranks the instances of a service for one request by rendezvous hashing.
func rendezvousRank(fingerprint crash.Fingerprint, t *target) uint64 {
	var key [16]byte
	binary.LittleEndian.PutUint64(key[:8], uint64(fingerprint))
	binary.LittleEndian.PutUint64(key[8:], t.hash)
	return xxhash.Sum64(key[:])
}

// softwareVersion returns the service and version that the instance runs.
func (t *target) softwareVersion() crash.Software {
	return crash.Software{Service: t.Service, Version: t.Version}
}

// succeeded reports whether a complete answer with a success status was received, which
// proves that the request has run to its end.
func (o *outcome) succeeded() bool {
	return o.fail == nil && !o.answer.streaming && o.answer.head.Status < http.StatusBadRequest
}
