// Package losses sums up, from the daemons' logs, which requests callers lost and
// why: by route, by cause and over time, each with a request to look at.
//
// Every failure is logged, by its front and by the guards that it reached;
// ordinary successes are sampled. What is counted here are therefore losses, not
// shares of all requests. A line that was left out over a rate is missing here
// too, and counted.
package losses

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// Cause says why a request was lost.
type Cause string

// The causes. A failure of an instance is told apart by what was believed of the
// instance when it was chosen, because each asks for another remedy.
const (
	// KnownSick: it was sent where a failure was to be expected; nothing better had
	// room, or no repeat was left.
	KnownSick Cause = "failed at an instance known to be sick"
	// Doubtful: the instance was in doubt.
	Doubtful Cause = "failed at an instance in doubt"
	// BelievedWell: the instance was believed well and failed at once.
	BelievedWell Cause = "failed at an instance believed well"
	// FailedLate: the instance failed the request at the end of its run.
	FailedLate Cause = "failed at the end of its run"
	// CallFailed: one of the calls that the instance made failed.
	CallFailed Cause = "a call of the instance failed"
	// TimeUp: the instance ran until the deadline.
	TimeUp Cause = "the instance ran until the deadline"
	// CallerLeft: the caller gave up.
	CallerLeft Cause = "the caller left"
)

// refused is the cause of a request that this system ended itself.
func refused(reason string) Cause {
	if reason == "cancelled" {
		return CallerLeft
	}
	return Cause("ended here: " + reason)
}

const (
	// sickFrom and doubtFrom bound what is known of an instance: well instances are
	// at 0.03, one failure takes the estimate to about 0.5.
	sickFrom, doubtFrom = 0.5, 0.1
	// atOnce is up to when a failure came at once, in milliseconds: sick instances
	// fail within 2 ms, and links take some more.
	atOnce = 50
)

// Example is one request to look at with `radishhoist trace`.
type Example struct {
	Request string    `json:"request"`
	At      time.Time `json:"at"`
}

// Row counts the losses of one route by one cause.
type Row struct {
	Route   string  `json:"route"`
	Service string  `json:"service"`
	Cause   Cause   `json:"cause"`
	Lost    int     `json:"lost"`
	Example Example `json:"example"`
	// Calls is how many of them were calls of an instance, whose own caller lost
	// its request with them.
	Calls int `json:"calls"`
}

// Window counts the losses of one span of time by cause.
type Window struct {
	From   time.Time     `json:"from"`
	Lost   int           `json:"lost"`
	Causes map[Cause]int `json:"causes"`
}

// Repeats are what repeats were spent and missed by lost requests.
type Repeats struct {
	// Sent were sent to a second instance and further ones.
	Sent int `json:"sent"`
	// Unpaid are requests that could have been sent again but for the budget, and
	// Refused the guards' refusals for it.
	Unpaid  int     `json:"unpaid"`
	Refused int     `json:"refused"`
	Example Example `json:"example"`
}

// Waits are requests that waited in a queue and were refused in the end.
type Waits struct {
	Service string        `json:"service"`
	Count   int           `json:"count"`
	Longest time.Duration `json:"longest"`
	Example Example       `json:"example"`
}

// Report is the sum of some logs.
type Report struct {
	Lost    int      `json:"lost"`
	Rows    []Row    `json:"rows"`
	Windows []Window `json:"windows"`
	Repeats Repeats  `json:"repeats"`
	Waits   []Waits  `json:"waits"`
	// LinesLeftOut counts lines that the daemons did not write over their rate, and
	// Unreadable lines that are none of theirs.
	LinesLeftOut uint64 `json:"linesLeftOut"`
	Unreadable   int    `json:"unreadable"`
}

// Collector takes log lines in any order.
type Collector struct {
	window time.Duration
	ends   []line
	// excused holds requests by instance that failed with a call of the instance.
	excused map[string]bool
	waits   map[string]*Waits
	report  Report
}

// NewCollector makes a Collector whose windows are so long.
func NewCollector(window time.Duration) *Collector {
	return &Collector{window: window, excused: make(map[string]bool), waits: make(map[string]*Waits)}
}

// Report sums up what was taken.
func (c *Collector) Report() Report {
	out := c.report
	rows := make(map[[2]string]*Row)
	windows := make(map[time.Time]*Window)
	for i := range c.ends {
		l := &c.ends[i]
		cause := c.cause(l)
		out.Lost++
		out.Repeats.take(l)
		addRow(rows, l, cause)
		from := l.At.Truncate(c.window)
		w, ok := windows[from]
		if !ok {
			w = &Window{From: from, Causes: make(map[Cause]int)}
			windows[from] = w
		}
		w.Lost++
		w.Causes[cause]++
	}
	for _, r := range rows {
		out.Rows = append(out.Rows, *r)
	}
	slices.SortFunc(out.Rows, func(a, b Row) int {
		return cmp.Or(cmp.Compare(a.Route, b.Route), cmp.Compare(b.Lost, a.Lost), cmp.Compare(a.Cause, b.Cause))
	})
	for _, w := range windows {
		out.Windows = append(out.Windows, *w)
	}
	slices.SortFunc(out.Windows, func(a, b Window) int { return a.From.Compare(b.From) })
	for _, w := range c.waits {
		out.Waits = append(out.Waits, *w)
	}
	slices.SortFunc(out.Waits, func(a, b Waits) int { return cmp.Compare(a.Service, b.Service) })
	return out
}

func addRow(rows map[[2]string]*Row, l *line, cause Cause) {
	key := [2]string{l.Route, string(cause)}
	r, ok := rows[key]
	if !ok {
		r = &Row{Route: l.Route, Service: l.Service, Cause: cause, Example: Example{l.Request, l.At}}
		rows[key] = r
	}
	r.Lost++
	if isCall(l.Request) {
		r.Calls++
	}
}

// isCall says that an instance made the request: it adds to its own one's id after
// a dot.
func isCall(request string) bool { return strings.Contains(request, ".") }

// cause says why a request was lost.
func (c *Collector) cause(l *line) Cause {
	if l.Event == requestFailed {
		return refused(l.Reason)
	}
	last := l.last()
	switch {
	case l.Status == statusTimeUp:
		return TimeUp
	case c.excused[l.Request+"@"+last.Target]:
		return CallFailed
	case last.MS > atOnce:
		return FailedLate
	case last.Sick >= sickFrom:
		return KnownSick
	case last.Sick >= doubtFrom:
		return Doubtful
	default:
		return BelievedWell
	}
}

// take counts the repeats of one lost request.
func (r *Repeats) take(l *line) {
	arrived := false
	for _, a := range l.Attempts {
		ran := !strings.HasSuffix(a.Outcome, " not-run")
		if arrived && ran {
			r.Sent++
		}
		arrived = arrived || ran
	}
	if !l.RepeatUnpaid {
		return
	}
	if r.Unpaid++; r.Unpaid == 1 {
		r.Example = Example{l.Request, l.At}
	}
}
