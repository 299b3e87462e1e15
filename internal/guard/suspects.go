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
	// completedSlots is how many completed requests a host remembers, one in each
	// slot, in 32 KB.
	completedSlots = 4096
	// completedFor is how long a success speaks for a request: what it asks for may
	// have changed since. A path that many send succeeds more often.
	completedFor = 10 * time.Second
	// secondBits is how much of a slot holds the second of the success, the rest what
	// has succeeded. The seconds begin again after half a year.
	secondBits = 24
	// maxOwn bounds the own ends whose requests are remembered.
	maxOwn = 64
)

// suspects is what this host knows of requests that end instances: its share of
// the fleet's crash.Book.
type suspects struct {
	mu   sync.Mutex
	book *crash.Tracker
	// verdicts are read by every request, without the lock.
	verdicts atomic.Pointer[crash.Assessments]
	// own are the ends of this host's instances: what each request looked like that ran
	// there.
	own map[string]map[crash.Fingerprint]string
	// completed holds requests that this host has seen complete, as its guard or as its
	// front, by hash, with the second: they do not end instances of that software.
	completed [completedSlots]atomic.Uint64
}

func newSuspects() *suspects {
	s := &suspects{book: crash.NewTracker(), own: make(map[string]map[crash.Fingerprint]string)}
	s.verdicts.Store(&crash.Assessments{})
	return s
}

// verdict gives what is known of a request.
func (s *suspects) verdict(p crash.Fingerprint) crash.Assessment { return (*s.verdicts.Load())[p] }

// change changes the book and gives the requests that are stopped by it. f reports
// whether it has changed anything.
func (s *suspects) change(now time.Time, f func(*crash.Tracker) bool) []crash.Fingerprint {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !f(s.book) {
		return nil
	}
	was, is := *s.verdicts.Load(), s.book.Assess(now)
	s.verdicts.Store(&is)
	var stopped []crash.Fingerprint
	for p, v := range is {
		if before := was[p]; !v.BlockedUntil.IsZero() && before.BlockedUntil.IsZero() {
			stopped = append(stopped, p)
		}
	}
	slices.Sort(stopped)
	return stopped
}

// endsOf lists the ends for which a request is suspected.
func (s *suspects) endsOf(p crash.Fingerprint) []crash.Crash {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.book.CrashesOf(p)
}

// remember keeps what the requests of an own end looked like.
func (s *suspects) remember(end string, looks map[crash.Fingerprint]string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.own) >= maxOwn {
		clear(s.own)
	}
	s.own[end] = looks
}

// look gives what a request looked like at an own end; false where the end is not one
// of this host's.
func (s *suspects) look(end string, p crash.Fingerprint) (string, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	looks, ok := s.own[end]
	return looks[p], ok
}

// completion hashes a request with the software that completes it: what completes at one
// version may end another.
func completion(p crash.Fingerprint, software crash.Software) uint64 {
	return uint64(p) ^ InstanceHash(software.Service) ^ bits.RotateLeft64(InstanceHash(software.Version), 1)
}

// noteCompleted remembers that a request has completed.
func (s *suspects) noteCompleted(now time.Time, p crash.Fingerprint, software crash.Software) {
	h := completion(p, software)
	s.completed[h%completedSlots].Store(h>>secondBits<<secondBits | uint64(now.Unix())&(1<<secondBits-1))
}

// completedLately says that this host has seen the request complete a short time ago.
func (s *suspects) completedLately(now time.Time, p crash.Fingerprint, software crash.Software) bool {
	h := completion(p, software)
	seen := s.completed[h%completedSlots].Load()
	age := (uint64(now.Unix()) - seen) & (1<<secondBits - 1)
	return seen>>secondBits == h>>secondBits && age <= uint64(completedFor/time.Second)
}

// ApplyCrash takes the end of an instance of any host. What this host has just seen complete
// had no part in it, wherever it ran when the instance ended: where instances are lost
// for another cause, the guards beside them may not have seen it complete yet.
func (g *Guard) ApplyCrash(e crash.Crash) {
	now := time.Now()
	var innocent []crash.Fingerprint
	for _, p := range e.Fingerprints {
		if g.suspects.completedLately(now, p, e.Software) {
			innocent = append(innocent, p)
		}
	}
	tells := len(innocent) > 0 && g.runs(e.Software)
	g.stop(g.suspects.change(now, func(b *crash.Tracker) bool {
		news := b.Add(now, e)
		if tells {
			return news // they are cleared with the telling, where nobody else has told
		}
		for _, p := range innocent {
			if b.Clear(now, e.ID, p) {
				news = true
			}
		}
		return news
	}))
	if tells {
		time.AfterFunc(g.tellDelay(e.ID), func() { g.tellInnocent(e.ID, innocent) })
	}
}

// tellDelay spreads the guards that know the same over part of the time for which the
// request waits, so that the first ones tell and the rest have heard it by then.
func (g *Guard) tellDelay(end string) time.Duration {
	return time.Duration(xxhash.Sum64String(g.cfg.Host+" "+end) % uint64(crash.ClearanceWait/3))
}

// tellInnocent tells the fleet of requests that had no part in an end, those that nobody
// else has told of.
func (g *Guard) tellInnocent(end string, prints []crash.Fingerprint) {
	for _, p := range prints {
		if g.clear(end, p) {
			g.cleared(end, p)
		}
	}
}

// runs says whether an instance of this host runs the software.
func (g *Guard) runs(software crash.Software) bool {
	return slices.ContainsFunc(g.all(), func(i *instance) bool { return i.software() == software })
}

// ApplyCleared takes the word that a request had no part in an end.
func (g *Guard) ApplyCleared(end string, p crash.Fingerprint) { g.clear(end, p) }

// clear clears a request of an end and reports whether that was news.
func (g *Guard) clear(end string, p crash.Fingerprint) (news bool) {
	now := time.Now()
	g.stop(g.suspects.change(now, func(b *crash.Tracker) bool {
		news = b.Clear(now, end, p)
		return news
	}))
	return news
}

// ClearSuspect clears a request of all ends that are known here: it may run again.
func (g *Guard) ClearSuspect(p crash.Fingerprint) {
	for _, e := range g.suspects.endsOf(p) {
		g.ApplyCleared(e.ID, p)
	}
}

// stop tells of requests that are stopped from now on.
func (g *Guard) stop(prints []crash.Fingerprint) {
	for _, p := range prints {
		g.logStopped(p)
		g.keepSettled(p)
	}
}

// keepSettled has a request kept that is still stopped once news that clears it would be
// here: what is kept outlives all processes, and who is stopped then completes nowhere.
func (g *Guard) keepSettled(p crash.Fingerprint) {
	time.AfterFunc(crash.ClearanceWait, func() { g.keep(p) })
}

// keep has a stopped request kept where this host is that of its end which is the last
// by name, so that one host does.
func (g *Guard) keep(p crash.Fingerprint) {
	v, ends := g.CrashAssessment(p), g.suspects.endsOf(p)
	if v.BlockedUntil.IsZero() || len(ends) == 0 {
		return // cleared meanwhile
	}
	if look, own := g.suspects.look(ends[len(ends)-1].ID, p); own {
		g.stopped(BlockedRequest{Fingerprint: p, Request: look, Crashes: records(ends)})
	}
}

// BlockedRequest is a request that is kept from instances.
type BlockedRequest struct {
	Fingerprint crash.Fingerprint
	// Request is the request as this host saw it: method, host and path.
	Request string
	// Crashes are those that it explains.
	Crashes []record.InstanceEnd
}

// records gives ends as they are kept and shown.
func records(ends []crash.Crash) []record.InstanceEnd {
	out := make([]record.InstanceEnd, 0, len(ends))
	for _, e := range ends {
		out = append(out, record.InstanceEnd{
			ID: e.ID, Service: e.Software.Service, Version: e.Software.Version, Host: e.Host, AtMS: e.DetectedAt.UnixMilli(),
		})
	}
	return out
}

// CrashAssessment gives what is known of a request that may end the instances that run it.
func (g *Guard) CrashAssessment(p crash.Fingerprint) crash.Assessment { return g.suspects.verdict(p) }

// BlockedRefusal is the refusal of a request that is kept from instances.
func BlockedRefusal(now time.Time, p crash.Fingerprint, v *crash.Assessment) *verdict.Error {
	e := refusal(verdict.ReasonCrashesTargets, fmt.Sprintf("%d instances that ran this request have ended; it is known as %s", v.Crashes, p))
	e.RetryAfterMS = v.BlockedUntil.Sub(now).Milliseconds()
	return e
}

// awaitNews waits while news that clears the request may be under way, at most as long as
// its front does.
func (x *exchange) awaitNews() {
	for {
		v := x.guard.CrashAssessment(x.print)
		wait := v.ClearanceTimeLeft(time.Now())
		if wait <= 0 {
			return
		}
		select {
		case <-time.After(wait):
		case <-x.lost:
			return
		case <-x.ctx.Done():
			return
		}
	}
}

// stopRefusal refuses a request that must not reach the instance, nil for any other. It
// is asked when the request comes and again when it has waited for its slot.
func (x *exchange) stopRefusal() *verdict.Error {
	x.awaitNews()
	v := x.guard.CrashAssessment(x.print)
	now := time.Now()
	if !v.Blocked(now, x.inst.software()) {
		return nil
	}
	return BlockedRefusal(now, x.print, &v)
}

// RecordCompletion notes that this host's front has seen a request complete.
func (g *Guard) RecordCompletion(p crash.Fingerprint, software crash.Software) {
	g.suspects.noteCompleted(time.Now(), p, software)
}

// completed notes that a request has completed at the instance: it is cleared of the
// ends for which it is suspected. An answer that is no success may have come before the
// request was run.
func (x *exchange) completed() {
	if x.print == 0 {
		return
	}
	s, software := x.guard.suspects, x.inst.software()
	s.noteCompleted(time.Now(), x.print, software)
	if s.verdict(x.print).Crashes == 0 {
		return
	}
	for _, e := range s.endsOf(x.print) {
		if e.Software == software {
			x.guard.tellInnocent(e.ID, []crash.Fingerprint{x.print})
		}
	}
}
