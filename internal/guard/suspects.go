package guard

import (
	"fmt"
	"math/bits"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/radishhoist/radishhoist/internal/core/crash"
	"github.com/radishhoist/radishhoist/record"
	"github.com/radishhoist/radishhoist/verdict"
)

const (
	// completedSlots is the number of slots for recently completed requests, one
	// request per slot, 32 KB in total.
	completedSlots = 4096
	// completionLifetime is how long a success clears a request: the data it refers
	// to may have changed since. Paths in frequent use succeed more often than that.
	completionLifetime = 10 * time.Second
	// secondBits is the number of bits of a slot that hold the second of the
	// success; the others hold the hash of the request. The seconds wrap around
	// after half a year.
	secondBits = 24
	// maxLocalCrashes limits the number of crashes on this host whose requests are
	// remembered.
	maxLocalCrashes = 64
)

// suspects holds what this host knows about requests that crash instances: its own
// crash.Tracker, as every host has one.
type suspects struct {
	mu      sync.Mutex
	tracker *crash.Tracker
	// assessments is read for every request, without the lock.
	assessments atomic.Pointer[crash.Assessments]
	// localCrashes maps each crash of an instance on this host to the descriptions of
	// the requests that ran there.
	localCrashes map[string]map[crash.Fingerprint]string
	// completed holds hashes and times of requests that this host has seen complete,
	// as guard or as front: they do not crash instances of that software.
	completed [completedSlots]atomic.Uint64
}

func newSuspects() *suspects {
	s := &suspects{tracker: crash.NewTracker(), localCrashes: make(map[string]map[crash.Fingerprint]string)}
	s.assessments.Store(&crash.Assessments{})
	return s
}

// assessment returns what is known of a request.
func (s *suspects) assessment(p crash.Fingerprint) crash.Assessment {
	return (*s.assessments.Load())[p]
}

// update updates the tracker and returns the requests that are blocked as a result. f
// reports whether it has changed anything.
func (s *suspects) update(now time.Time, f func(*crash.Tracker) bool) []crash.Fingerprint {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !f(s.tracker) {
		return nil
	}
	was, is := *s.assessments.Load(), s.tracker.Assess(now)
	s.assessments.Store(&is)
	var blocked []crash.Fingerprint
	for p, v := range is {
		if before := was[p]; !v.BlockedUntil.IsZero() && before.BlockedUntil.IsZero() {
			blocked = append(blocked, p)
		}
	}
	slices.Sort(blocked)
	return blocked
}

// crashesOf returns the crashes of which a request is suspected.
func (s *suspects) crashesOf(p crash.Fingerprint) []crash.Crash {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.tracker.CrashesOf(p)
}

// storeDescriptions stores the descriptions of the requests of a crash on this host.
func (s *suspects) storeDescriptions(id string, descriptions map[crash.Fingerprint]string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.localCrashes) >= maxLocalCrashes {
		clear(s.localCrashes)
	}
	s.localCrashes[id] = descriptions
}

// description returns the description of a request of a crash, and false if the crash
// was not on this host.
func (s *suspects) description(id string, p crash.Fingerprint) (string, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	descriptions, ok := s.localCrashes[id]
	return descriptions[p], ok
}

// completionHash hashes a request together with the software that completed it: a
// request that completes at one version may crash another.
func completionHash(p crash.Fingerprint, software crash.Software) uint64 {
	return uint64(p) ^ InstanceHash(software.Service) ^ bits.RotateLeft64(InstanceHash(software.Version), 1)
}

// recordCompletion records that a request has completed.
func (s *suspects) recordCompletion(now time.Time, p crash.Fingerprint, software crash.Software) {
	h := completionHash(p, software)
	s.completed[h%completedSlots].Store(h>>secondBits<<secondBits | uint64(now.Unix())&(1<<secondBits-1))
}

// completedRecently reports whether this host has recently seen the request complete.
func (s *suspects) completedRecently(now time.Time, p crash.Fingerprint, software crash.Software) bool {
	h := completionHash(p, software)
	seen := s.completed[h%completedSlots].Load()
	age := (uint64(now.Unix()) - seen) & (1<<secondBits - 1)
	return seen>>secondBits == h>>secondBits && age <= uint64(completionLifetime/time.Second)
}

// ApplyCrash applies the crash of an instance on any host. Requests that this host has
// just seen complete did not cause it, wherever they ran when the instance crashed: if
// instances are lost for another reason, the guards on their hosts may not have seen
// these requests complete yet.
func (g *Guard) ApplyCrash(e crash.Crash) {
	now := time.Now()
	var cleared []crash.Fingerprint
	for _, p := range e.Fingerprints {
		if g.suspects.completedRecently(now, p, e.Software) {
			cleared = append(cleared, p)
		}
	}
	reports := len(cleared) > 0 && g.runsSoftware(e.Software)
	g.handleBlocked(g.suspects.update(now, func(t *crash.Tracker) bool {
		changed := t.Add(now, e)
		if reports {
			return changed // reportCleared clears them, unless another host has reported them by then
		}
		for _, p := range cleared {
			if t.Clear(now, e.ID, p) {
				changed = true
			}
		}
		return changed
	}))
	if reports {
		time.AfterFunc(g.clearDelay(e.ID), func() { g.reportCleared(e.ID, cleared) })
	}
}

// clearDelay spreads the reports of guards with the same information over part of the
// time for which the request waits, so that the first ones report and the others have
// received it by then.
func (g *Guard) clearDelay(id string) time.Duration {
	return time.Duration(xxhash.Sum64String(g.cfg.Host+" "+id) % uint64(crash.ClearanceWait/3))
}

// reportCleared reports to the fleet the requests that did not cause a crash, except
// those that another host has already reported.
func (g *Guard) reportCleared(id string, fingerprints []crash.Fingerprint) {
	for _, p := range fingerprints {
		if g.clear(id, p) {
			g.onCleared(id, p)
		}
	}
}

// runsSoftware reports whether an instance on this host runs the software.
func (g *Guard) runsSoftware(software crash.Software) bool {
	return slices.ContainsFunc(g.all(), func(i *instance) bool { return i.software() == software })
}

// ApplyCleared applies the report that a request did not cause a crash.
func (g *Guard) ApplyCleared(id string, p crash.Fingerprint) { g.clear(id, p) }

// clear clears a request of a crash and reports whether that was new.
func (g *Guard) clear(id string, p crash.Fingerprint) (changed bool) {
	now := time.Now()
	g.handleBlocked(g.suspects.update(now, func(t *crash.Tracker) bool {
		changed = t.Clear(now, id, p)
		return changed
	}))
	return changed
}

// ClearSuspect clears a request of all crashes known here, so that it may run again.
func (g *Guard) ClearSuspect(p crash.Fingerprint) {
	for _, e := range g.suspects.crashesOf(p) {
		g.ApplyCleared(e.ID, p)
	}
}

// handleBlocked handles requests that are blocked from now on.
func (g *Guard) handleBlocked(fingerprints []crash.Fingerprint) {
	for _, p := range fingerprints {
		g.logBlocked(p)
		g.scheduleStore(p)
	}
}

// scheduleStore has a request stored if it is still blocked after the time in which
// reports that clear it would arrive. It waits first because a stored block survives a
// restart of all processes, and a request that is blocked everywhere cannot complete and
// so be cleared.
func (g *Guard) scheduleStore(p crash.Fingerprint) {
	time.AfterFunc(crash.ClearanceWait, func() { g.storeBlocked(p) })
}

// storeBlocked stores a blocked request if the last of its crashes, ordered by id,
// was on this host, so that exactly one host does so.
func (g *Guard) storeBlocked(p crash.Fingerprint) {
	v, crashes := g.CrashAssessment(p), g.suspects.crashesOf(p)
	if v.BlockedUntil.IsZero() || len(crashes) == 0 {
		return // cleared meanwhile
	}
	if description, local := g.suspects.description(crashes[len(crashes)-1].ID, p); local {
		g.onBlocked(BlockedRequest{Fingerprint: p, Request: description, Crashes: crashRecords(crashes)})
	}
}

// BlockedRequest is a request that is blocked from reaching instances.
type BlockedRequest struct {
	Fingerprint crash.Fingerprint
	// Request is the request as this host saw it: method, host and path.
	Request string
	// Crashes are the crashes attributed to it.
	Crashes []record.InstanceCrash
}

// crashRecords converts crashes to the form in which they are stored and displayed.
func crashRecords(crashes []crash.Crash) []record.InstanceCrash {
	out := make([]record.InstanceCrash, 0, len(crashes))
	for _, e := range crashes {
		out = append(out, record.InstanceCrash{
			ID: e.ID, Service: e.Software.Service, Version: e.Software.Version, Host: e.Host, AtMS: e.DetectedAt.UnixMilli(),
		})
	}
	return out
}

// CrashAssessment returns what is known of a request suspected of crashing instances.
func (g *Guard) CrashAssessment(p crash.Fingerprint) crash.Assessment {
	return g.suspects.assessment(p)
}

// BlockedRefusal returns the refusal of a blocked request.
func BlockedRefusal(now time.Time, p crash.Fingerprint, v *crash.Assessment) *verdict.Error {
	e := refusal(verdict.ReasonCrashesTargets, fmt.Sprintf("%d instances crashed while running this request; its fingerprint is %s", v.Crashes, p))
	e.RetryAfterMS = v.BlockedUntil.Sub(now).Milliseconds()
	return e
}

// awaitClearance waits while a report that clears the request may be on its way, but no
// longer than the front waits.
func (x *exchange) awaitClearance() {
	for {
		v := x.guard.CrashAssessment(x.fingerprint)
		wait := v.ClearanceTimeLeft(time.Now())
		if wait <= 0 {
			return
		}
		select {
		case <-time.After(wait):
		case <-x.disconnected:
			return
		case <-x.ctx.Done():
			return
		}
	}
}

// checkBlocked returns the refusal of a request that must not reach the instance, and
// nil for any other. It is called when the request arrives and again when it gets its
// slot.
func (x *exchange) checkBlocked() *verdict.Error {
	x.awaitClearance()
	v := x.guard.CrashAssessment(x.fingerprint)
	now := time.Now()
	if !v.Blocked(now, x.inst.software()) {
		return nil
	}
	return BlockedRefusal(now, x.fingerprint, &v)
}

// RecordCompletion records that this host's front has seen a request complete.
func (g *Guard) RecordCompletion(p crash.Fingerprint, software crash.Software) {
	g.suspects.recordCompletion(time.Now(), p, software)
}

// completed records that a request has completed at the instance and clears it of the
// crashes of which it is suspected. Unsuccessful responses do not count, because they
// may have been sent before the request was run.
func (x *exchange) completed() {
	if x.fingerprint == 0 {
		return
	}
	s, software := x.guard.suspects, x.inst.software()
	s.recordCompletion(time.Now(), x.fingerprint, software)
	if s.assessment(x.fingerprint).Crashes == 0 {
		return
	}
	for _, e := range s.crashesOf(x.fingerprint) {
		if e.Software == software {
			x.guard.reportCleared(e.ID, []crash.Fingerprint{x.fingerprint})
		}
	}
}
