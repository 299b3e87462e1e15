package objects

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

// LateCall tells of a call to the platform that is late, that ended after it was,
// or that failed.
type LateCall struct {
	// Call is the method, path and query.
	Call string
	// Asked is how long the platform was asked to hold the call, 0 for none.
	Asked time.Duration
	// Waited is the time since the call began.
	Waited time.Duration
	// Tries counts the times the call was sent, once it has ended.
	Tries int
	// Ended is false while the call still waits.
	Ended bool
	// Cause is why an ended call failed, nil where it was answered.
	Cause error
}

// lateness follows one call.
type lateness struct {
	report func(LateCall)
	call   LateCall
	start  time.Time
	timer  *time.Timer
}

// follow begins to follow a call; end must be called once.
func (t *Transport) follow(r *http.Request, hold time.Duration) *lateness {
	l := &lateness{report: t.report, start: time.Now()}
	if l.report == nil {
		return l
	}
	l.call = LateCall{Call: r.Method + " " + r.URL.RequestURI(), Asked: hold}
	late := l.call
	late.Waited = hold + UsualAnswer
	l.timer = time.AfterFunc(late.Waited, func() { l.report(late) })
	return l
}

// end tells how a call ended that was late or has failed. One that its caller has
// given up in time is no news.
func (l *lateness) end(tries int, err error) {
	if l.report == nil {
		return
	}
	inTime := l.timer.Stop()
	if inTime && (err == nil || errors.Is(err, context.Canceled)) {
		return
	}
	l.call.Waited, l.call.Tries, l.call.Ended, l.call.Cause = time.Since(l.start), tries, true, err
	l.report(l.call)
}
