package losses

import (
	"encoding/json"
	"io"
	"time"

	"github.com/radishhoist/radishhoist/internal/event"
	"github.com/radishhoist/radishhoist/verdict"
)

// Numbers of the log events that are evaluated.
var (
	requestFailed   = event.RequestFailed.Number
	requestAnswered = event.RequestAnswered.Number
	requestEnded    = event.RequestEnded.Number
	requestRefused  = event.RequestRefused.Number
)

const (
	// minFailureStatus is the lowest HTTP status that counts as a failure, and
	// statusTimeout the status for an instance that ran until the deadline.
	minFailureStatus = 500
	statusTimeout    = 504
)

// logLine is a log line about a request, written by a front or a guard when the request
// ends or is refused.
type logLine struct {
	At              time.Time `json:"time"`
	Event           int       `json:"event"`
	Request         string    `json:"request"`
	Route           string    `json:"route"`
	Service         string    `json:"service"`
	Status          int       `json:"status"`
	Reason          string    `json:"reason"`
	RetryOverBudget bool      `json:"repeatUnpaid"`
	Attempts        []attempt `json:"attempts"`
	// Instance, FailedByCall and WaitedMS are set only in lines written by guards.
	// FailedByCall reports that the request failed because a call that the instance made
	// to another service failed.
	Instance     string `json:"instance"`
	FailedByCall bool   `json:"excusedByCall"`
	WaitedMS     int64  `json:"waitedMS"`
	LinesDropped uint64 `json:"linesLeftOut"`
}

// attempt is one attempt as logged by the front. FailureEstimate is the probability, when
// the target was selected, that it was failing most requests.
type attempt struct {
	Target          string  `json:"target"`
	FailureEstimate float64 `json:"sick"`
	Outcome         string  `json:"outcome"`
	MS              int64   `json:"ms"`
}

// lastAttempt returns the attempt that determined the outcome, the zero value if there
// was none.
func (l *logLine) lastAttempt() attempt {
	if len(l.Attempts) == 0 {
		return attempt{}
	}
	return l.Attempts[len(l.Attempts)-1]
}

// Read adds every line of a log. Text before the first brace of a line is ignored; a line
// without a brace counts as unreadable.
func (c *Collector) Read(r io.Reader) error { return event.ReadLines(r, c.addLine) }

func (c *Collector) addLine(text []byte) {
	var l logLine
	if json.Unmarshal(text, &l) != nil {
		c.report.Unreadable++
		return
	}
	c.report.LinesDropped += l.LinesDropped
	switch l.Event {
	case requestFailed:
		c.failures = append(c.failures, l)
	case requestAnswered:
		if l.Status >= minFailureStatus {
			c.failures = append(c.failures, l)
		}
	case requestEnded:
		if l.FailedByCall {
			c.failedByCall[l.Request+"@"+l.Instance] = true
		}
	case requestRefused:
		c.addRefusal(&l)
	}
}

// addRefusal adds a guard's line about a request that got no slot.
func (c *Collector) addRefusal(l *logLine) {
	if l.Reason == string(verdict.ReasonRetryBudget) {
		c.report.Retries.Refused++
	}
	if l.WaitedMS <= immediateMS || l.Reason == string(verdict.ReasonCancelled) {
		return
	}
	w, ok := c.waits[l.Service]
	if !ok {
		w = &RefusedWaits{Service: l.Service}
		c.waits[l.Service] = w
	}
	w.Count++
	if waited := time.Duration(l.WaitedMS) * time.Millisecond; waited > w.Longest {
		w.Longest, w.Example = waited, Example{l.Request, l.At}
	}
}
