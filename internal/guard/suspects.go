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
	// completedSlots is the size of the table of recently completed requests, one
	// request per slot, 32 KB in total.
	completedSlots = 4096
	// completionLifetime is how long a success counts in favour of a request. Later, the
	// data that the request refers to may have changed. Requests in frequent use succeed
	// at shorter intervals.
	completionLifetime = 10 * time.Second
	// secondBits is the number of bits of a slot that hold the time of the success, in
	// seconds; the others hold the hash of the request. The seconds wrap around after
	// half a year.
	secondBits = 24
	// maxLocalCrashes limits the number of crashes on this host whose requests are
	// remembered.
	maxLocalCrashes = 64
)

// suspects tracks the requests suspected of crashing instances, as known on this host:
// each host has a crash.Tracker of its own.
type suspects struct {
	mu      sync.Mutex
	tracker *crash.Tracker
	// assessments holds the tracker's latest assessments. It is read for every request,
	// without the lock.
	assessments atomic.Pointer[crash.Assessments]
	// localCrashes maps each crash of an instance on this host to the descriptions of
	// the requests that ran there.
	localCrashes map[string]map[crash.Fingerprint]string
	// completed holds the hashes and times of requests that this host has seen complete,
	// as guard or as front, and which therefore do not crash instances of that software.
	completed [completedSlots]atomic.Uint64
}

func newSuspects() *suspects {
	s := &suspects{tracker: crash.NewTracker(), localCrashes: make(map[string]map[crash.Fingerprint]string)}
	s.assessments.Store(&crash.Assessments{})
	return s
}

// assessment returns the assessment of a request.
func (s *suspects) assessment(fp crash.Fingerprint) crash.Assessment {
	return (*s.assessments.Load())[fp]
}

// update calls f, which changes the tracker and reports whether it has changed anything,
// and returns the requests that are blocked as a result.
func (s *suspects) update(now time.Time, f func(*crash.Tracker) bool) []crash.Fingerprint {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !f(s.tracker) {
		return nil
	}
	previous, current := *s.assessments.Load(), s.tracker.Assess(now)
	s.assessments.Store(&current)
	var blocked []crash.Fingerprint
	for fp, a := range current {
		if before := previous[fp]; !a.BlockedUntil.IsZero() && before.BlockedUntil.IsZero() {
			blocked = append(blocked, fp)
		}
	}
	slices.Sort(blocked)
	return blocked
}

// crashesOf returns the crashes of which a request is suspected.
func (s *suspects) crashesOf(fp crash.Fingerprint) []crash.Crash {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.tracker.CrashesOf(fp)
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
func (s *suspects) description(id string, fp crash.Fingerprint) (string, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	descriptions, ok := s.localCrashes[id]
	return descriptions[fp], ok
}

// completionHash hashes a request together with the software that completed it: a
// request that completes at one version may crash another.
func completionHash(fp crash.Fingerprint, software crash.Software) uint64 {
	return uint64(fp) ^ NameHash(software.Service) ^ bits.RotateLeft64(NameHash(software.Version), 1)
}

// recordCompletion records that a request has completed.
func (s *suspects) recordCompletion(now time.Time, fp crash.Fingerprint, software crash.Software) {
	h := completionHash(fp, software)
	s.completed[h%completedSlots].Store(h>>secondBits<<secondBits | uint64(now.Unix())&(1<<secondBits-1))
}

// completedRecently reports whether this host has recently seen the request complete.
func (s *suspects) completedRecently(now time.Time, fp crash.Fingerprint, software crash.Software) bool {
	h := completionHash(fp, software)
	seen := s.completed[h%completedSlots].Load()
	age := (uint64(now.Unix()) - seen) & (1<<secondBits - 1)
	return seen>>secondBits == h>>secondBits && age <= uint64(completionLifetime/time.Second)
}

// ApplyCrash applies the crash of an instance on any host. Requests that this host has
// recently seen complete did not cause it, on whichever host the instance ran: if
// instances are lost for another reason, the guards on their hosts may not have seen
// these requests complete yet.
func (g *Guard) ApplyCrash(c crash.Crash) {
	now := time.Now()
	var cleared []crash.Fingerprint
	for _, fp := range c.Fingerprints {
		if g.suspects.completedRecently(now, fp, c.Software) {
			cleared = append(cleared, fp)
		}
	}
	shouldReport := len(cleared) > 0 && g.runsSoftware(c.Software)
	g.handleBlocked(g.suspects.update(now, func(t *crash.Tracker) bool {
		changed := t.Add(now, c)
		if shouldReport {
			return changed // reportClearances clears them, unless another host has done so by then
		}
		for _, fp := range cleared {
			if t.AddClearance(now, c.ID, fp) {
				changed = true
			}
		}
		return changed
	}))
	if shouldReport {
		time.AfterFunc(g.clearanceDelay(c.ID), func() { g.reportClearances(c.ID, cleared) })
	}
}

// clearanceDelay returns how long this host waits before it reports clearances. Guards with
// the same information get different delays, spread over part of the time for which the
// request waits, so that the first guards report and the others receive that in time to
// send nothing.
func (g *Guard) clearanceDelay(id string) time.Duration {
	return time.Duration(xxhash.Sum64String(g.cfg.Host+" "+id) % uint64(crash.ClearanceWait/3))
}

// reportClearances reports to the fleet the requests that did not cause a crash, except
// those that another host has already reported.
func (g *Guard) reportClearances(id string, fingerprints []crash.Fingerprint) {
	for _, fp := range fingerprints {
		if g.addClearance(id, fp) {
			g.onCleared(id, fp)
		}
	}
}

// runsSoftware reports whether an instance on this host runs the software.
func (g *Guard) runsSoftware(software crash.Software) bool {
	return slices.ContainsFunc(g.all(), func(i *instance) bool { return i.software() == software })
}

// ApplyClearance applies a reported clearance: the request did not cause the crash.
func (g *Guard) ApplyClearance(id string, fp crash.Fingerprint) { g.addClearance(id, fp) }

// addClearance records that a request did not cause a crash and reports whether that was
// new.
func (g *Guard) addClearance(id string, fp crash.Fingerprint) (changed bool) {
	now := time.Now()
	g.handleBlocked(g.suspects.update(now, func(t *crash.Tracker) bool {
		changed = t.AddClearance(now, id, fp)
		return changed
	}))
	return changed
}

// ClearSuspect clears a request of all crashes known on this host, so that it may run
// again.
func (g *Guard) ClearSuspect(fp crash.Fingerprint) {
	for _, c := range g.suspects.crashesOf(fp) {
		g.ApplyClearance(c.ID, fp)
	}
}

// handleBlocked logs requests that have just become blocked and schedules their storage.
func (g *Guard) handleBlocked(fingerprints []crash.Fingerprint) {
	for _, fp := range fingerprints {
		g.logBlocked(fp)
		g.scheduleStore(fp)
	}
}

// scheduleStore stores a request if it is still blocked after the time in which reports
// that clear it would arrive. It waits because a stored block survives a restart of all
// processes, and a request that is blocked everywhere cannot complete and so cannot be
// cleared.
func (g *Guard) scheduleStore(fp crash.Fingerprint) {
	time.AfterFunc(crash.ClearanceWait, func() { g.storeBlocked(fp) })
}

// storeBlocked stores a blocked request if the last of its crashes, ordered by id,
// was on this host, so that exactly one host does so.
func (g *Guard) storeBlocked(fp crash.Fingerprint) {
	a, crashes := g.CrashAssessment(fp), g.suspects.crashesOf(fp)
	if a.BlockedUntil.IsZero() || len(crashes) == 0 {
		return // cleared meanwhile
	}
	if description, local := g.suspects.description(crashes[len(crashes)-1].ID, fp); local {
		g.onBlocked(BlockedRequest{Fingerprint: fp, Request: description, Crashes: crashRecords(crashes)})
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
	for _, c := range crashes {
		out = append(out, record.InstanceCrash{
			ID: c.ID, Service: c.Software.Service, Version: c.Software.Version, Host: c.Host, AtMS: c.DetectedAt.UnixMilli(),
		})
	}
	return out
}

// CrashAssessment returns this host's assessment of a request, the zero value if the
// request is not suspected of crashing instances.
func (g *Guard) CrashAssessment(fp crash.Fingerprint) crash.Assessment {
	return g.suspects.assessment(fp)
}

// BlockedRefusal returns the error with which a blocked request is refused.
func BlockedRefusal(now time.Time, fp crash.Fingerprint, a *crash.Assessment) *verdict.Error {
	e := refusal(verdict.ReasonCrashesTargets, fmt.Sprintf("%d instances crashed while running this request; its fingerprint is %s", a.Crashes, fp))
	e.RetryAfterMS = a.BlockedUntil.Sub(now).Milliseconds()
	return e
}

// awaitClearance waits while a report that clears the request may still arrive, but no
// longer than the front waits.
func (x *exchange) awaitClearance() {
	for {
		a := x.guard.CrashAssessment(x.fingerprint)
		wait := a.ClearanceTimeLeft(time.Now())
		if wait <= 0 {
			return
		}
		select {
		case <-time.After(wait):
		case <-x.frontCtx.Done():
			return
		case <-x.ctx.Done():
			return
		}
	}
}

// checkBlocked returns an error if the request must not reach the instance, nil otherwise.
// It is called when the request arrives and again when it gets its slot.
func (x *exchange) checkBlocked() *verdict.Error {
	x.awaitClearance()
	a := x.guard.CrashAssessment(x.fingerprint)
	now := time.Now()
	if !a.Blocked(now, x.inst.software()) {
		return nil
	}
	return BlockedRefusal(now, x.fingerprint, &a)
}

// RecordCompletion records that this host's front has seen a request complete.
func (g *Guard) RecordCompletion(fp crash.Fingerprint, software crash.Software) {
	g.suspects.recordCompletion(time.Now(), fp, software)
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
	for _, c := range s.crashesOf(x.fingerprint) {
		if c.Software == software {
			x.guard.reportClearances(c.ID, []crash.Fingerprint{x.fingerprint})
		}
	}
}
