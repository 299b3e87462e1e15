package losses

import (
	"encoding/json"
	"io"
	"time"

	"github.com/radishhoist/radishhoist/internal/event"
	"github.com/radishhoist/radishhoist/verdict"
)

// The events that are read.
var (
	requestFailed   = event.RequestFailed.Number
	requestAnswered = event.RequestAnswered.Number
	requestEnded    = event.RequestEnded.Number
	requestRefused  = event.RequestRefused.Number
)

const (
	// statusFailed is the least status that tells of a failure, and statusTimeUp
	// that of an instance whose time was up.
	statusFailed = 500
	statusTimeUp = 504
)

// line is a line about a request: a front's when it has ended, or a guard's.
type line struct {
	At           time.Time `json:"time"`
	Event        int       `json:"event"`
	Request      string    `json:"request"`
	Route        string    `json:"route"`
	Service      string    `json:"service"`
	Status       int       `json:"status"`
	Reason       string    `json:"reason"`
	RepeatUnpaid bool      `json:"repeatUnpaid"`
	Attempts     []attempt `json:"attempts"`
	// Instance, ExcusedByCall and WaitedMS are of guards' lines.
	Instance      string `json:"instance"`
	ExcusedByCall bool   `json:"excusedByCall"`
	WaitedMS      int64  `json:"waitedMS"`
	LinesLeftOut  uint64 `json:"linesLeftOut"`
}

// attempt is one attempt as the front logs it.
type attempt struct {
	Target  string  `json:"target"`
	Sick    float64 `json:"sick"`
	Outcome string  `json:"outcome"`
	MS      int64   `json:"ms"`
}

// last is the attempt that decided.
func (l *line) last() attempt {
	if len(l.Attempts) == 0 {
		return attempt{}
	}
	return l.Attempts[len(l.Attempts)-1]
}

// Read takes every line of a log. Other text on a line before its first brace is
// passed over; a line without one counts as unreadable.
func (c *Collector) Read(r io.Reader) error { return event.ReadLines(r, c.take) }

func (c *Collector) take(text []byte) {
	var l line
	if json.Unmarshal(text, &l) != nil {
		c.report.Unreadable++
		return
	}
	c.report.LinesLeftOut += l.LinesLeftOut
	switch l.Event {
	case requestFailed:
		c.ends = append(c.ends, l)
	case requestAnswered:
		if l.Status >= statusFailed {
			c.ends = append(c.ends, l)
		}
	case requestEnded:
		if l.ExcusedByCall {
			c.excused[l.Request+"@"+l.Instance] = true
		}
	case requestRefused:
		c.refusal(&l)
	}
}

// refusal takes a guard's line about a request that got no slot.
func (c *Collector) refusal(l *line) {
	if l.Reason == string(verdict.ReasonRetryBudget) {
		c.report.Repeats.Refused++
	}
	if l.WaitedMS <= atOnce || l.Reason == string(verdict.ReasonCancelled) {
		return
	}
	w, ok := c.waits[l.Service]
	if !ok {
		w = &Waits{Service: l.Service}
		c.waits[l.Service] = w
	}
	w.Count++
	if waited := time.Duration(l.WaitedMS) * time.Millisecond; waited > w.Longest {
		w.Longest, w.Example = waited, Example{l.Request, l.At}
	}
}
