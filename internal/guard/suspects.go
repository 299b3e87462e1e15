package guard

import (
	"context"
	"fmt"
	"log/slog"
	"math/bits"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/radishhoist/radishhoist/internal/core/crash"
	"github.com/radishhoist/radishhoist/internal/event"
	"github.com/radishhoist/radishhoist/verdict"
)

const (
	// probeTimeout bounds the look whether an instance still takes connections: it
	// runs on this host, and the request waits for its verdict.
	probeTimeout = 50 * time.Millisecond
	// completedSlots is how many completed requests a host remembers, one in each
	// slot: 32 KB, and a path that comes a few times a minute stays known.
	completedSlots = 4096
	// maxNamed bounds the requests that the line about an end names.
	maxNamed = 8
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

// maxOwn bounds the own ends whose requests are remembered.
const maxOwn = 64

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

// SuspectState is one suspected request in the state dump.
type SuspectState struct {
	Print string `json:"print"`
	// Ends is in how many ends it had part that no other request explains, or in how many
	// at all where it is stopped.
	Ends int `json:"ends"`
	// Until is when it may reach the software that it has ended again, empty where it
	// is not stopped.
	Until string `json:"until,omitempty"`
	// Instances are the starts that ended.
	Instances []string `json:"instances"`
}

// Suspects lists the requests that are suspected, for the state dump.
func (g *Guard) Suspects() []SuspectState {
	out := []SuspectState{}
	for p, v := range *g.suspects.verdicts.Load() {
		s := SuspectState{Print: p.String(), Ends: v.Ends}
		if !v.Until.IsZero() {
			s.Until = v.Until.UTC().Format(time.RFC3339)
		}
		for _, e := range g.suspects.endsOf(p) {
			s.Instances = append(s.Instances, e.ID)
		}
		out = append(out, s)
	}
	slices.SortFunc(out, func(a, b SuspectState) int { return strings.Compare(a.Print, b.Print) })
	return out
}

// Stops counts the requests that are kept from instances.
func (g *Guard) Stops() int {
	n := 0
	for _, v := range *g.suspects.verdicts.Load() {
		if !v.Until.IsZero() {
			n++
		}
	}
	return n
}

// software is what the instance runs.
func (i *instance) software() crash.Software {
	i.mu.Lock()
	defer i.mu.Unlock()
	return crash.Software{Service: i.service, Version: i.version}
}

// stopped says that the request must not reach the instance. It is asked when the
// request comes and again when it has waited for its slot.
func (x *exchange) stopped() *verdict.Error {
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

// ended says whether the instance has ended, seen by its port, which takes no
// connections. The first to see it takes the instance out of service and tells the
// fleet what ran there.
func (i *instance) ended() bool {
	i.probing.Lock()
	defer i.probing.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	if !errors.Is(i.client.Probe(ctx), syscall.ECONNREFUSED) {
		return false
	}
	announced, first := i.takeOut()
	if first {
		i.guard.counts.ends.Inc()
	}
	if first && !announced {
		i.tellEnd(time.Now())
	}
	if first {
		i.guard.changed()
	}
	return true
}

// takeOut takes the instance out of service, and reports whether it is the first to do
// so. announced says that the instance had said that it would end: then nothing that it
// ran is to blame.
func (i *instance) takeOut() (announced, first bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.over {
		return i.leaving, false
	}
	i.over = true
	i.settle()
	return i.leaving, true
}

// tellEnd tells the fleet that the instance has ended and what it ran.
func (i *instance) tellEnd(now time.Time) {
	software := i.software()
	e := crash.End{ID: endID(i.name, i.started), Software: software, At: now}
	var requests []string
	looks := make(map[crash.Print]string)
	for _, w := range i.underWay() {
		if slot, mark := i.guard.suspects.slot(w.print, software); slot.Load() == mark {
			continue
		}
		e.Prints = append(e.Prints, w.print)
		requests = append(requests, w.request)
		looks[w.print] = w.look
	}
	event.Log(i.guard.log, event.InstanceEnded, slog.String("instance", i.name), slog.String("service", software.Service),
		slog.String("version", software.Version), slog.Int("suspects", len(e.Prints)), slog.Any("requests", requests[:min(len(requests), maxNamed)]))
	if len(e.Prints) == 0 {
		return
	}
	e.Prints = e.Prints[:min(len(e.Prints), crash.MaxPrints)]
	i.guard.suspects.remember(e.ID, looks)
	i.guard.HearEnd(e)
	i.guard.ended(e)
	for _, p := range e.Prints {
		// One that was stopped while it ran here: the hosts of the earlier ends may
		// each have left it to this one to keep.
		if v := i.guard.Suspect(p); !v.Until.IsZero() {
			i.guard.keep(p)
		}
	}
}

// unsent marks a request that was proved not to have run: it had no part in an end.
func (i *instance) unsent(w *waiter) {
	i.mu.Lock()
	defer i.mu.Unlock()
	w.print = 0
}

// underWay lists the requests that were sent to the instance and have no answer,
// those that began last first.
func (i *instance) underWay() []*waiter {
	i.mu.Lock()
	defer i.mu.Unlock()
	var out []*waiter
	for _, w := range i.waiters {
		if !w.started.IsZero() && w.print != 0 {
			out = append(out, w)
		}
	}
	slices.SortFunc(out, func(a, b *waiter) int { return b.started.Compare(a.started) })
	return out
}

// endID names one start of an instance in the fleet.
func endID(name string, started time.Time) string {
	return name + "@" + started.UTC().Format("20060102T150405.000")
}
