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

// A request that may end the instances that run it is repeated once after an end,
// since most that ran beside another's crash are innocent, and never hedged: each
// further attempt of the one that is not ends another instance. All hosts send it to
// one instance of its service, so that it puts no other at risk.

// suspected says that an instance has ended under the request, as far as is known.
// The caller holds the lock, or is alone.
func (c *race) suspected() bool { return c.ends() > 0 }

// ends counts the moments at which instances have ended under the request: those that the
// fleet knows of, or those of its own attempts, whose news may still be under way. The
// caller holds the lock, or is alone.
func (c *race) ends() int {
	own := 0
	for _, fail := range c.failures {
		if fail.Reason == verdict.ReasonTargetEnded {
			own++
		}
	}
	return max(own, c.front.guard.CrashAssessment(c.req.print).Incidents)
}

// heldBack says that a guard has refused the request as one that crashes its targets: it
// knows of ends that this host has not heard of. The caller holds the lock, or is alone.
func (c *race) heldBack() bool {
	return slices.ContainsFunc(c.failures, func(fail *verdict.Error) bool { return fail.Reason == verdict.ReasonCrashesTargets })
}

// awaitNews waits while news that clears the request may be under way: one that was lost
// with several instances at once is repeated just when all hosts hear of their ends.
func (c *race) awaitNews(ctx context.Context) {
	for {
		v := c.front.guard.CrashAssessment(c.req.print)
		wait := v.ClearanceTimeLeft(time.Now())
		if wait <= 0 || !sleep.For(ctx, wait) {
			return
		}
	}
}

// pickForSuspect chooses where a suspected request goes: of the instances that it may reach
// the one that follows from its print and their names, on every host the same. The
// service's lock is held.
func (st *serviceState) pickForSuspect(now time.Time, p crash.Fingerprint, v *crash.Assessment, tried []*target, repeat bool) *target {
	var one *target
	least := uint64(0)
	for _, i := range st.without(st.choice.usable, tried) {
		t := st.targets[i]
		if v.Blocked(now, t.software()) || repeat && !t.seen.mayRepeat(now) {
			continue
		}
		if rank := rankFor(p, t); one == nil || rank < least {
			one, least = t, rank
		}
	}
	return one
}

// rankFor orders the instances of a service for one request.
func rankFor(p crash.Fingerprint, t *target) uint64 {
	var both [16]byte
	binary.LittleEndian.PutUint64(both[:8], uint64(p))
	binary.LittleEndian.PutUint64(both[8:], t.hash)
	return xxhash.Sum64(both[:])
}

// software is what the instance runs.
func (t *target) software() crash.Software {
	return crash.Software{Service: t.Service, Version: t.Version}
}

// succeeded says that the whole answer has come and is a success: the request has run to
// its end.
func (o *outcome) succeeded() bool {
	return o.fail == nil && !o.answer.open && o.answer.head.Status < http.StatusBadRequest
}
