// Package crash finds requests that end the instances that run them.
//
// When an instance ends, each request that it ran is suspected. A request that
// ends every instance stands out: it has part in one end after another, while
// those that ran beside it complete elsewhere. A Book keeps the ends of the
// whole fleet and says which requests must not reach another instance, and for
// how long. It is the same on all hosts that know the same ends, whatever the
// order in which they came. The package does no I/O.
package crash

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Print identifies a request by what a target sees of it; 0 is none. Requests
// with one Print are one request that comes again.
type Print uint64

// String gives the print as operators see it.
func (p Print) String() string { return fmt.Sprintf("%016x", uint64(p)) }

// Request is what a Print is made of: the caller's own words, not what differs
// from one send of a request to the next or from host to host.
type Request struct {
	// Host is that of the route, empty where it holds for every host.
	Method, Host, URI string
	// Team is the caller's team, empty for none.
	Team string
	// Body is the body as far as it is kept, and Length its whole length in bytes,
	// -1 where that is not known.
	Body   []byte
	Length int64
}

// Print gives the request's print. Bodies that are too large to keep differ by
// what is kept and by their length.
func (r *Request) Print() Print {
	var d xxhash.Digest
	d.Reset()
	for _, part := range []string{r.Method, strings.ToLower(r.Host), r.URI, r.Team} {
		_, _ = d.WriteString(part)
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write([]byte{byte(r.Length), byte(r.Length >> 8), byte(r.Length >> 16), byte(r.Length >> 24)})
	_, _ = d.Write(r.Body)
	return Print(max(d.Sum64(), 1))
}

// Software is what an instance runs. A request that ends one may do no harm to
// another.
type Software struct {
	Service, Version string
}

// End is the end of one start of an instance.
type End struct {
	// ID names the start in the fleet.
	ID       string
	Software Software
	// At is when it was noticed, by the clock of the host that did, in whole
	// milliseconds.
	At time.Time
	// Prints are the requests that it ran, those that had begun last first, each once.
	Prints []Print
}

const (
	// StopAfter is at how many moments with ends a request is stopped. Fewer would stop
	// one that ran by chance on two instances that ended for another reason.
	StopAfter = 3
	// RepeatBelow is under how many such moments a suspected request is still offered
	// again: the second may be chance, a third instance is not risked for it.
	RepeatBelow = 2
	// OneMoment is how far apart the ends of instances that are lost together are
	// noticed. They have one cause, such as a rack's loss of power, and count once: a
	// request that ends its instances runs for longer than that before each.
	OneMoment = 10 * time.Millisecond
	// SettleFor is how long after the last of its ends a request waits before it is
	// refused or given up: a host that has seen it complete says so by then nearly always.
	SettleFor = 250 * time.Millisecond
	// MaxPrints bounds the suspects of one end. A request that crashes its
	// instance does so soon after it began.
	MaxPrints = 32
	// maxEnds bounds the ends that are remembered; the oldest go first.
	maxEnds = 256
	// Keep is how long an end is remembered, longer than any pause.
	Keep = 2 * time.Hour
)

const (
	// newSoftwarePause is how long after its last end a stopped request may be
	// tried by instances whose software it has not ended.
	newSoftwarePause = time.Minute
	// firstPause is how long it is kept from the software that it has ended. Each
	// further end doubles it, up to maxPause.
	firstPause = 5 * time.Minute
	maxPause   = 40 * time.Minute
)

// Verdict is what is known of one request. The zero value is a request that
// nobody suspects.
type Verdict struct {
	// Ends is in how many ends it had part that no other request explains, and Moments
	// at how many moments these were.
	Ends, Moments int
	// Last is when this host heard of the latest of them.
	Last time.Time
	// Until is when it may reach the software that it has ended again, and
	// UntilOther when it may reach any other; zero where it is not stopped.
	Until, UntilOther time.Time
	// Ended is the software that it has ended.
	Ended []Software
}

// Stopped says that the request must not reach an instance of some software.
func (v *Verdict) Stopped(now time.Time, s Software) bool {
	if slices.Contains(v.Ended, s) {
		return now.Before(v.Until)
	}
	return now.Before(v.UntilOther)
}

// WaitForNews is how much longer a request waits for news that may clear it before it is
// refused or given up: zero or less where there is nothing to wait for.
func (v *Verdict) WaitForNews(now time.Time) time.Duration {
	if v.Moments < RepeatBelow {
		return 0
	}
	return v.Last.Add(SettleFor).Sub(now)
}

// Everywhere says that the request must not reach any instance.
func (v *Verdict) Everywhere(now time.Time) bool { return now.Before(v.UntilOther) }

// Verdicts are the requests that are suspected. They do not change once given.
type Verdicts map[Print]Verdict

// Book holds the ends of the fleet. It is not safe for concurrent use.
type Book struct {
	ends map[string]*entry
	// cleared are the suspects that an end's requests have been cleared of, also
	// where the end is not known yet.
	cleared map[clearing]time.Time
}

// entry is one end, with when it was heard of on this host's clock.
type entry struct {
	End
	heard time.Time
}

// clearing says that a request had no part in an end.
type clearing struct {
	end   string
	print Print
}

// NewBook makes an empty Book.
func NewBook() *Book {
	return &Book{ends: make(map[string]*entry), cleared: make(map[clearing]time.Time)}
}

// Add takes an end, or more of what ran there, and reports whether it was news. What is
// kept of a stopped request names it alone.
func (b *Book) Add(now time.Time, e End) bool {
	if len(e.Prints) == 0 {
		return false
	}
	e.At = e.At.Truncate(time.Millisecond)
	known, ok := b.ends[e.ID]
	if !ok {
		known = &entry{End: e, heard: now}
		known.Prints = nil
		b.ends[e.ID] = known
		b.forget(now)
	}
	before := len(known.Prints)
	known.Prints = distinct(slices.Concat(known.Prints, e.Prints))
	known.Prints = known.Prints[:min(len(known.Prints), MaxPrints)]
	return len(known.Prints) > before
}

// distinct leaves the first of equal prints: an instance that runs a request several times
// ends once under it.
func distinct(prints []Print) []Print {
	seen := make(map[Print]bool, len(prints))
	return slices.DeleteFunc(prints, func(p Print) bool {
		again := seen[p]
		seen[p] = true
		return again
	})
}

// Clear takes the word that a request had no part in an end, because it has
// completed at the same software, and reports whether it was news.
func (b *Book) Clear(now time.Time, end string, p Print) bool {
	c := clearing{end, p}
	if _, known := b.cleared[c]; known {
		return false
	}
	b.cleared[c] = now
	b.forget(now)
	return true
}

// EndsOf lists the ends that a request is suspected of, in order of their names.
func (b *Book) EndsOf(p Print) []End {
	var out []End
	for _, e := range b.ends {
		if b.blames(e, p) {
			out = append(out, e.End)
		}
	}
	slices.SortFunc(out, func(x, y End) int { return cmp.Compare(x.ID, y.ID) })
	return out
}

func (b *Book) blames(e *entry, p Print) bool {
	if !slices.Contains(e.Prints, p) {
		return false
	}
	_, cleared := b.cleared[clearing{e.ID, p}]
	return !cleared
}

// forget drops what is older than Keep, and the oldest ends beyond the bound.
func (b *Book) forget(now time.Time) {
	for id, e := range b.ends {
		if now.Sub(e.heard) > Keep {
			delete(b.ends, id)
		}
	}
	for c, at := range b.cleared {
		if now.Sub(at) > Keep {
			delete(b.cleared, c)
		}
	}
	for len(b.ends) > maxEnds {
		delete(b.ends, b.oldest())
	}
	for len(b.cleared) > maxEnds*MaxPrints {
		clear(b.cleared)
	}
}

func (b *Book) oldest() string {
	var first *entry
	for _, e := range b.ends {
		if first == nil || e.heard.Before(first.heard) || e.heard.Equal(first.heard) && e.ID < first.ID {
			first = e
		}
	}
	return first.ID
}

// Verdicts gives what is known of each suspected request. Of those with part in ends at
// StopAfter moments the one that explains the most is stopped, which clears all that
// ran beside it; then the one that explains most of the rest, and so on. One end
// that nothing else explains is enough: where several such requests come at once,
// each runs beside others. What is left suspects without stopping.
func (b *Book) Verdicts(now time.Time) Verdicts {
	b.forget(now)
	all, left := b.byPrint(), b.byPrint()
	out := make(Verdicts)
	for {
		worst, found := most(all, left)
		if !found {
			break
		}
		out[worst] = stopped(all[worst])
		explain(left, all[worst])
	}
	for p, ends := range left {
		out[p] = Verdict{Ends: len(ends), Moments: moments(ends), Last: lastHeard(ends)}
	}
	return out
}

// byPrint lists the ends that each request is suspected of.
func (b *Book) byPrint() map[Print][]*entry {
	out := make(map[Print][]*entry)
	for _, e := range b.ends {
		for _, p := range e.Prints {
			if b.blames(e, p) {
				out[p] = append(out[p], e)
			}
		}
	}
	return out
}

// most finds the request that explains the most ends of those left, among the ones
// with ends at StopAfter moments; of equals the one whose print is least, which is the
// same on every host.
func most(all, left map[Print][]*entry) (worst Print, found bool) {
	for p, ends := range left {
		if len(all[p]) < StopAfter || moments(all[p]) < StopAfter {
			continue
		}
		if !found || len(ends) > len(left[worst]) || len(ends) == len(left[worst]) && p < worst {
			worst, found = p, true
		}
	}
	return worst, found
}

// explain takes ends off every request that was suspected of them.
func explain(left map[Print][]*entry, ends []*entry) {
	explained := make(map[string]bool, len(ends))
	for _, e := range ends {
		explained[e.ID] = true
	}
	for p, list := range left {
		rest := slices.DeleteFunc(slices.Clone(list), func(e *entry) bool { return explained[e.ID] })
		if len(rest) == 0 {
			delete(left, p)
		} else {
			left[p] = rest
		}
	}
}

// stopped is the verdict on a request that has part in some ends.
func stopped(ends []*entry) Verdict {
	v := Verdict{Ends: len(ends), Moments: moments(ends), Last: lastHeard(ends)}
	v.UntilOther = v.Last.Add(newSoftwarePause)
	v.Until = v.Last.Add(pause(v.Moments))
	for _, e := range ends {
		if !slices.Contains(v.Ended, e.Software) {
			v.Ended = append(v.Ended, e.Software)
		}
	}
	slices.SortFunc(v.Ended, func(x, y Software) int {
		return cmp.Or(cmp.Compare(x.Service, y.Service), cmp.Compare(x.Version, y.Version))
	})
	return v
}

// moments counts the moments at which some ends were noticed.
func moments(ends []*entry) int {
	times := make([]time.Time, 0, len(ends))
	for _, e := range ends {
		times = append(times, e.At)
	}
	slices.SortFunc(times, time.Time.Compare)
	n := 0
	var first time.Time
	for _, at := range times {
		if n == 0 || at.Sub(first) > OneMoment {
			n++
			first = at
		}
	}
	return n
}

// lastHeard is when the latest of some ends was heard of.
func lastHeard(ends []*entry) time.Time {
	return slices.MaxFunc(ends, func(x, y *entry) int { return x.heard.Compare(y.heard) }).heard
}

// pause is how long a request is kept from what it has ended at some moments.
func pause(moments int) time.Duration {
	p := firstPause
	for range moments - StopAfter {
		p = min(2*p, maxPause)
	}
	return p
}
