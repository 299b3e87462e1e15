package objects

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

// CallReport describes a call to the platform that is late, that ended after being late, or
// that failed.
type CallReport struct {
	// Call has the method, path and query.
	Call string
	// HoldTime is the time for which the platform was asked to hold the call, 0 for none.
	HoldTime time.Duration
	// Elapsed is the time since the call started.
	Elapsed time.Duration
	// Attempts is the number of attempts, set once the call has ended.
	Attempts int
	// Ended is false while the call is still pending.
	Ended bool
	// Cause is the error of an ended call, nil if the platform served it. A call that ends
	// in a conflict or finds no object has been served, too.
	Cause error
}

// callTracker reports a call if it is late or fails.
type callTracker struct {
	report func(CallReport)
	call   CallReport
	start  time.Time
	timer  *time.Timer
}

// trackCall starts tracking a call. finish must be called once.
func (t *Transport) trackCall(r *http.Request, hold time.Duration) *callTracker {
	c := &callTracker{report: t.report, start: time.Now()}
	if c.report == nil {
		return c
	}
	c.call = CallReport{Call: r.Method + " " + r.URL.RequestURI(), HoldTime: hold}
	report := c.call
	report.Elapsed = hold + LateThreshold
	c.timer = time.AfterFunc(report.Elapsed, func() { c.report(report) })
	return c
}

// finish reports the outcome of a call if it was late or failed. A call that was cancelled
// by its caller before it was late is not reported.
func (c *callTracker) finish(attempts int, err error) {
	if c.report == nil {
		return
	}
	onTime := c.timer.Stop()
	if onTime && (err == nil || errors.Is(err, context.Canceled)) {
		return
	}
	c.call.Elapsed, c.call.Attempts, c.call.Ended, c.call.Cause = time.Since(c.start), attempts, true, err
	c.report(c.call)
}
