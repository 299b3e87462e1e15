package daemon

import (
	"log/slog"
	"time"

	"github.com/radishhoist/radishhoist/internal/event"
	"github.com/radishhoist/radishhoist/internal/objects"
)

// lateCalls logs the calls to the platform that are late or fail, up to a rate.
type lateCalls struct {
	log   *slog.Logger
	limit event.Limiter
}

func newLateCalls(log *slog.Logger) *lateCalls { return &lateCalls{log: log} }

func (l *lateCalls) tell(call objects.LateCall) {
	leftOut, ok := l.limit.Allow(time.Now())
	if !ok {
		return
	}
	attrs := []slog.Attr{
		slog.String("call", call.Call), slog.Int64("askedMS", call.HoldTime.Milliseconds()),
		slog.Int64("waitedMS", call.Elapsed.Milliseconds()), slog.Uint64("linesLeftOut", leftOut),
	}
	if !call.Ended {
		event.Log(l.log, event.PlatformLate, attrs...)
		return
	}
	attrs = append(attrs, slog.Int("tries", call.Attempts))
	if call.Cause != nil {
		attrs = append(attrs, slog.String("cause", call.Cause.Error()))
	}
	event.Log(l.log, event.PlatformCallEnded, attrs...)
}
