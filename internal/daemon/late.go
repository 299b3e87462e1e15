package daemon

import (
	"log/slog"
	"time"

	"github.com/radishhoist/radishhoist/internal/event"
	"github.com/radishhoist/radishhoist/internal/objects"
)

// callReportLogger logs platform calls that are late or fail, up to a rate limit.
type callReportLogger struct {
	log   *slog.Logger
	limit event.Limiter
}

func newCallReportLogger(log *slog.Logger) *callReportLogger { return &callReportLogger{log: log} }

func (l *callReportLogger) report(call objects.CallReport) {
	suppressed, ok := l.limit.Allow(time.Now())
	if !ok {
		return
	}
	attrs := []slog.Attr{
		slog.String("call", call.Call), slog.Int64("askedMS", call.HoldTime.Milliseconds()),
		slog.Int64("waitedMS", call.Elapsed.Milliseconds()), slog.Uint64("linesLeftOut", suppressed),
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
