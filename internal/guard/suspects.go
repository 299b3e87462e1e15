package guard

import (
	"fmt"
	"math/bits"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/radishhoist/radishhoist/internal/core/crash"
	"github.com/radishhoist/radishhoist/verdict"
)

const (
	// completedSlots is how many completed requests a host remembers, one in each
	// slot: 32 KB, and a path that comes a few times a minute stays known.
	completedSlots = 4096
	// maxOwn bounds the own ends whose requests are remembered.
	maxOwn = 64
)

// suspects is what this host knows of requests that end instances: its share of
// the fleet's crash.Book.
type suspects struct {
	mu   sync.Mutex
	book *crash.Book
	// verdicts are read by every request, without the lock.
	verdicts atomic.Pointer[crash.Verdicts]
	// own are the ends of this host's instances: what each request looked like that ran
	// there.
	own map[string]map[crash.Print]string
	// completed holds requests that have completed here, by hash: they do not end
	// instances of that software.
	completed [completedSlots]atomic.Uint64
}

func newSuspects() *suspects {
	s := &suspects{book: crash.NewBook(), own: make(map[string]map[crash.Print]string)}
	s.verdicts.Store(&crash.Verdicts{})
	return s
}

// verdict gives what is known of a request.
func (s *suspects) verdict(p crash.Print) crash.Verdict { return (*s.verdicts.Load())[p] }

// change changes the book and gives the requests that are stopped by it. f reports
// whether it has changed anything.
func (s *suspects) change(now time.Time, f func(*crash.Book) bool) []crash.Print {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !f(s.book) {
		return nil
	}
	was, is := *s.verdicts.Load(), s.book.Verdicts(now)
	s.verdicts.Store(&is)
	var stopped []crash.Print
	for p, v := range is {
		if before := was[p]; !v.Until.IsZero() && before.Until.IsZero() {
			stopped = append(stopped, p)
		}
	}
	slices.Sort(stopped)
	return stopped
}

// endsOf lists the ends for which a request is suspected.
func (s *suspects) endsOf(p crash.Print) []crash.End {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.book.EndsOf(p)
}

// remember keeps what the requests of an own end looked like.
func (s *suspects) remember(end string, looks map[crash.Print]string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.own) >= maxOwn {
		clear(s.own)
	}
	s.own[end] = looks
}

// look gives what a request looked like at an own end; false where the end is not one
// of this host's.
func (s *suspects) look(end string, p crash.Print) (string, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	looks, ok := s.own[end]
	return looks[p], ok
}

// slot is where a completed request is remembered, and the mark that it has there.
// The mark holds the software: what completes at one version may end another.
func (s *suspects) slot(p crash.Print, software crash.Software) (*atomic.Uint64, uint64) {
	mark := uint64(p) ^ InstanceHash(software.Service) ^ bits.RotateLeft64(InstanceHash(software.Version), 1)
	return &s.completed[mark%completedSlots], mark
}

// HearEnd takes the end of an instance of any host.
func (g *Guard) HearEnd(e crash.End) {
	now := time.Now()
	g.stop(g.suspects.change(now, func(b *crash.Book) bool { return b.Add(now, e) }))
}

// HearCleared takes the word that a request had no part in an end.
func (g *Guard) HearCleared(end string, p crash.Print) {
	now := time.Now()
	g.stop(g.suspects.change(now, func(b *crash.Book) bool { return b.Clear(now, end, p) }))
}

// Lift clears a request of all ends that are known here: it may run again.
func (g *Guard) Lift(p crash.Print) {
	for _, e := range g.suspects.endsOf(p) {
		g.HearCleared(e.ID, p)
	}
}

// stop tells of requests that are stopped from now on.
func (g *Guard) stop(prints []crash.Print) {
	for _, p := range prints {
		g.logStopped(p)
		g.keep(p)
	}
}

// keep has a stopped request kept where this host is that of its end which is the last
// by name, so that one host does.
func (g *Guard) keep(p crash.Print) {
	ends := g.suspects.endsOf(p)
	if len(ends) == 0 {
		return // cleared meanwhile
	}
	if look, own := g.suspects.look(ends[len(ends)-1].ID, p); own {
		g.stopped(Stopped{Print: p, Request: look, Ends: ends})
	}
}

// Stopped is a request that is kept from instances.
type Stopped struct {
	Print crash.Print
	// Request is the request as this host saw it: method, host and path.
	Request string
	// Ends are those that it explains.
	Ends []crash.End
}

// Suspect gives what is known of a request that may end the instances that run it.
func (g *Guard) Suspect(p crash.Print) crash.Verdict { return g.suspects.verdict(p) }

// StopRefusal is the refusal of a request that is kept from instances.
func StopRefusal(now time.Time, p crash.Print, v *crash.Verdict) *verdict.Error {
	e := refusal(verdict.ReasonCrashesTargets, fmt.Sprintf("%d instances that ran this request have ended; it is known as %s", v.Ends, p))
	e.RetryAfterMS = v.Until.Sub(now).Milliseconds()
	return e
}

// stopRefusal refuses a request that must not reach the instance, nil for any other. It
// is asked when the request comes and again when it has waited for its slot.
func (x *exchange) stopRefusal() *verdict.Error {
	v := x.guard.Suspect(x.print)
	now := time.Now()
	if v.Until.IsZero() || !v.Stopped(now, x.inst.software()) {
		return nil
	}
	return StopRefusal(now, x.print, &v)
}

// completed notes that a request has completed at the instance: it is cleared of the
// ends for which it is suspected. An answer that is no success may have come before the
// request was run.
func (x *exchange) completed() {
	if x.print == 0 {
		return
	}
	s, software := x.guard.suspects, x.inst.software()
	slot, mark := s.slot(x.print, software)
	slot.Store(mark)
	if s.verdict(x.print).Ends == 0 {
		return
	}
	for _, e := range s.endsOf(x.print) {
		if e.Software == software {
			x.guard.HearCleared(e.ID, x.print)
			x.guard.cleared(e.ID, x.print)
		}
	}
}
