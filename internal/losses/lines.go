package losses

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"time"

	"github.com/pkg/errors"

	"github.com/radishhoist/radishhoist/internal/event"
	"github.com/radishhoist/radishhoist/verdict"
)

// maxLine bounds one log line that is read, in bytes.
const maxLine = 4 << 20

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

// front is a front's line about a request that has ended.
type front struct {
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
func (f *front) last() attempt {
	if len(f.Attempts) == 0 {
		return attempt{}
	}
	return f.Attempts[len(f.Attempts)-1]
}

// Read takes every line of a log. Other text on a line before its first brace is
// passed over; a line without one counts as unreadable.
func (c *Collector) Read(r io.Reader) error {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 0, 64<<10), maxLine)
	for scanner.Scan() {
		c.line(scanner.Bytes())
	}
	return errors.Wrap(scanner.Err(), "read a log")
}

func (c *Collector) line(text []byte) {
	start := bytes.IndexByte(text, '{')
	var f front
	if start < 0 || json.Unmarshal(text[start:], &f) != nil {
		c.report.Unreadable++
		return
	}
	c.report.LinesLeftOut += f.LinesLeftOut
	switch f.Event {
	case requestFailed:
		c.ends = append(c.ends, f)
	case requestAnswered:
		if f.Status >= statusFailed {
			c.ends = append(c.ends, f)
		}
	case requestEnded:
		if f.ExcusedByCall {
			c.excused[f.Request+"@"+f.Instance] = true
		}
	case requestRefused:
		c.refusal(&f)
	}
}

// refusal takes a guard's line about a request that got no slot.
func (c *Collector) refusal(f *front) {
	if f.Reason == string(verdict.ReasonRetryBudget) {
		c.report.Repeats.Refused++
	}
	if f.WaitedMS <= atOnce || f.Reason == string(verdict.ReasonCancelled) {
		return
	}
	w, ok := c.waits[f.Service]
	if !ok {
		w = &Waits{Service: f.Service}
		c.waits[f.Service] = w
	}
	w.Count++
	if waited := time.Duration(f.WaitedMS) * time.Millisecond; waited > w.Longest {
		w.Longest, w.Example = waited, Example{f.Request, f.At}
	}
}
