package front

import (
	"io"
	"log/slog"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/radishhoist/radishhoist/internal/core/route"
	"github.com/radishhoist/radishhoist/internal/event"
)

// BenchmarkRequestLog measures the cost of logging for a request that is not sampled, and
// for one that is logged with two attempts.
func BenchmarkRequestLog(b *testing.B) {
	sink := event.NewSink(io.Discard)
	defer sink.Close()
	f := &Front{log: slog.New(slog.NewJSONHandler(sink, nil))}
	req := &request{
		id: "b82bd3c72d3d0916", arrived: time.Now(), http: httptest.NewRequest("GET", "/a/b", nil), route: &route.Route{Name: "r"},
		summary: attemptSummary{entries: []attemptEntry{{Target: "i-1", Host: "h1", Why: whyCost, Outcome: "status 500"}, {Target: "i-2", Host: "h2", Why: whyCost, Outcome: "status 200"}}},
	}
	b.Run("unsampled", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			f.logResponse(req, 200)
		}
	})
	b.Run("failure", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			f.logLimiter = event.Limiter{}
			f.logResponse(req, 500)
		}
	})
}
