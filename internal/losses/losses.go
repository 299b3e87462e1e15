// Package losses summarises failed requests from the daemons' logs by route, by cause and
// over time, each with an example request.
//
// Every failed request is logged, by its front and by the guards that it reached, while
// successful ones are sampled. The report therefore has numbers of failed requests, not
// failure rates. Failures whose log lines were dropped by the rate limit are missing; the
// report has the number of dropped lines.
package losses

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// Cause is the reason why a request failed.
type Cause string

// Causes of failed requests. Failures at an instance are distinguished by the health
// estimate of the instance when it was selected, because each needs another remedy.
const (
	// CauseUnhealthy: the instance was known to be unhealthy, but no better one had
	// capacity, or no retry was left.
	CauseUnhealthy Cause = "failed at an instance known to be sick"
	// CauseSuspect: the health of the instance was uncertain.
	CauseSuspect Cause = "failed at an instance in doubt"
	// CauseHealthy: the instance was considered healthy and failed at once.
	CauseHealthy Cause = "failed at an instance believed well"
	// CauseLateFailure: the instance failed the request after it had run for longer
	// than immediateMS.
	CauseLateFailure Cause = "failed at the end of its run"
	// CauseCallFailed: a call that the instance made to another service failed.
	CauseCallFailed Cause = "a call of the instance failed"
	// CauseTimeout: the instance ran until the deadline.
	CauseTimeout Cause = "the instance ran until the deadline"
	// CauseCancelled: the caller cancelled the request.
	CauseCancelled Cause = "the caller left"
)

// rejectedCause returns the cause of a request for which the caller received an error of
// the proxy instead of a response from an instance.
func rejectedCause(reason string) Cause {
	if reason == "cancelled" {
		return CauseCancelled
	}
	return Cause("ended here: " + reason)
}

const (
	// unhealthyThreshold and suspectThreshold apply to the logged probability that an
	// instance is unhealthy. It is 0.03 for healthy instances; one failure raises it to
	// about 0.5.
	unhealthyThreshold, suspectThreshold = 0.5, 0.1
	// immediateMS is the longest time of an immediate failure, in milliseconds.
	// Unhealthy instances fail within 2 ms; the rest allows for network latency. A
	// request that is refused within this time does not count as having waited.
	immediateMS = 50
)

// Example is one request to inspect with `radishhoist trace`.
type Example struct {
	Request string    `json:"request"`
	At      time.Time `json:"at"`
}

// Row counts the failed requests of one route with one cause.
type Row struct {
	Route   string  `json:"route"`
	Service string  `json:"service"`
	Cause   Cause   `json:"cause"`
	Failed  int     `json:"lost"`
	Example Example `json:"example"`
	// Calls is the number of these requests that were made by an instance. Each of them
	// also fails the request that the instance was serving.
	Calls int `json:"calls"`
}

// Window counts the failed requests of one time window by cause.
type Window struct {
	From   time.Time     `json:"from"`
	Failed int           `json:"lost"`
	Causes map[Cause]int `json:"causes"`
}

// Retries counts the retries of failed requests.
type Retries struct {
	// Sent is the number of attempts that reached an instance, not counting the first
	// such attempt of each request.
	Sent int `json:"sent"`
	// OverBudget is the number of requests that were not retried because the retry budget
	// was exhausted, and Refused the number of refusals by guards for that reason.
	OverBudget int     `json:"unpaid"`
	Refused    int     `json:"refused"`
	Example    Example `json:"example"`
}

// RefusedWaits counts the requests of one service that were refused after waiting in a queue.
type RefusedWaits struct {
	Service string        `json:"service"`
	Count   int           `json:"count"`
	Longest time.Duration `json:"longest"`
	Example Example       `json:"example"`
}

// Report is the summary of the logs that a Collector has read.
type Report struct {
	Failed  int            `json:"lost"`
	Rows    []Row          `json:"rows"`
	Windows []Window       `json:"windows"`
	Retries Retries        `json:"repeats"`
	Waits   []RefusedWaits `json:"waits"`
	// LinesDropped is the number of lines that the daemons dropped at their log rate
	// limit, and Unreadable the number of lines that are not in the daemons' format.
	LinesDropped uint64 `json:"linesLeftOut"`
	Unreadable   int    `json:"unreadable"`
}

// Collector reads log lines, in any order, for a Report.
type Collector struct {
	window   time.Duration
	failures []logLine
	// failedByCall has "request@instance" for each request that failed because a call
	// made by the instance failed.
	failedByCall map[string]bool
	waits        map[string]*RefusedWaits
	report       Report
}

// NewCollector returns a Collector whose report has windows of the given length.
func NewCollector(window time.Duration) *Collector {
	return &Collector{window: window, failedByCall: make(map[string]bool), waits: make(map[string]*RefusedWaits)}
}

// Report returns the summary of all lines read so far.
func (c *Collector) Report() Report {
	out := c.report
	rows := make(map[[2]string]*Row)
	windows := make(map[time.Time]*Window)
	for i := range c.failures {
		l := &c.failures[i]
		cause := c.classify(l)
		out.Failed++
		out.Retries.add(l)
		addRow(rows, l, cause)
		from := l.At.Truncate(c.window)
		w, ok := windows[from]
		if !ok {
			w = &Window{From: from, Causes: make(map[Cause]int)}
			windows[from] = w
		}
		w.Failed++
		w.Causes[cause]++
	}
	for _, r := range rows {
		out.Rows = append(out.Rows, *r)
	}
	slices.SortFunc(out.Rows, func(a, b Row) int {
		return cmp.Or(cmp.Compare(a.Route, b.Route), cmp.Compare(b.Failed, a.Failed), cmp.Compare(a.Cause, b.Cause))
	})
	for _, w := range windows {
		out.Windows = append(out.Windows, *w)
	}
	slices.SortFunc(out.Windows, func(a, b Window) int { return a.From.Compare(b.From) })
	for _, w := range c.waits {
		out.Waits = append(out.Waits, *w)
	}
	slices.SortFunc(out.Waits, func(a, b RefusedWaits) int { return cmp.Compare(a.Service, b.Service) })
	return out
}

func addRow(rows map[[2]string]*Row, l *logLine, cause Cause) {
	key := [2]string{l.Route, string(cause)}
	r, ok := rows[key]
	if !ok {
		r = &Row{Route: l.Route, Service: l.Service, Cause: cause, Example: Example{l.Request, l.At}}
		rows[key] = r
	}
	r.Failed++
	if isInstanceCall(l.Request) {
		r.Calls++
	}
}

// isInstanceCall reports whether the request was made by an instance. Its ID is the ID of
// the request that the instance was serving, a dot and a suffix.
func isInstanceCall(request string) bool { return strings.Contains(request, ".") }

// classify returns the cause of a failed request.
func (c *Collector) classify(l *logLine) Cause {
	if l.Event == requestFailed {
		return rejectedCause(l.Reason)
	}
	last := l.lastAttempt()
	switch {
	case l.Status == statusTimeout:
		return CauseTimeout
	case c.failedByCall[l.Request+"@"+last.Target]:
		return CauseCallFailed
	case last.MS > immediateMS:
		return CauseLateFailure
	case last.FailureEstimate >= unhealthyThreshold:
		return CauseUnhealthy
	case last.FailureEstimate >= suspectThreshold:
		return CauseSuspect
	default:
		return CauseHealthy
	}
}

// add counts the retries of one failed request.
func (r *Retries) add(l *logLine) {
	ranBefore := false
	for _, a := range l.Attempts {
		ran := !strings.HasSuffix(a.Outcome, " not-run")
		if ranBefore && ran {
			r.Sent++
		}
		ranBefore = ranBefore || ran
	}
	if !l.RetryOverBudget {
		return
	}
	if r.OverBudget++; r.OverBudget == 1 {
		r.Example = Example{l.Request, l.At}
	}
}
