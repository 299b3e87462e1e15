package guard

import (
	"context"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/radishhoist/radishhoist/internal/logtest"
	"github.com/radishhoist/radishhoist/internal/msg"
	"github.com/radishhoist/radishhoist/internal/wire"
)

// countLogLines counts the log lines that name a request.
func countLogLines(out *logtest.Buffer, request string) int {
	return strings.Count(out.String(), `"request":"`+request+`"`)
}

// unsampledID is a request id for which successes are not logged.
const unsampledID = "b82bd3c72d3d0916"

// The guard logs every request that does not succeed, so that its failure can be traced
// from the request id.
func TestEveryFailureIsLoggedByTheGuard(t *testing.T) {
	status := http.StatusOK
	target := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
		w.WriteHeader(status)
	}))
	defer target.Close()
	for _, c := range []struct {
		name  string
		act   func(g *Guard, run *msg.Run)
		lines int
	}{
		{name: "success", lines: 0},
		{name: "deadline exceeded", act: func(*Guard, *msg.Run) { status = http.StatusGatewayTimeout }, lines: 1},
		{name: "instance failed", act: func(*Guard, *msg.Run) { status = http.StatusInternalServerError }, lines: 1},
		{name: "unknown instance", act: func(_ *Guard, run *msg.Run) { run.Instance = "other" }, lines: 1},
		{name: "shutting down", act: func(g *Guard, run *msg.Run) {
			g.SetShutdownTime(time.Now().Add(time.Second))
			run.Hints.ExpectedMS = 1000
		}, lines: 1},
		{name: "retry budget used up", act: func(_ *Guard, run *msg.Run) { run.Hints.UsesRetryBudget = true }, lines: 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			status = http.StatusOK
			out := &logtest.Buffer{}
			g := newTestGuard(t, strings.TrimPrefix(target.URL, "http://"))
			g.log = slog.New(slog.NewJSONHandler(out, nil))
			run := &msg.Run{RequestID: unsampledID, Service: "s", Instance: "i", TimeoutMS: 20000, Idempotent: true, Method: "GET", URI: "/", Host: "a"}
			if c.act != nil {
				c.act(g, run)
			}
			near, far := wire.Pipe()
			defer near.Close()
			served := make(chan struct{})
			go func() {
				defer close(served)
				g.Serve(far, run)
			}()
			for {
				m, err := near.Recv(context.Background())
				assert.NilError(t, err)
				if k := m.Kind(); k == (&msg.End{}).Kind() || k == (&msg.Fail{}).Kind() {
					break
				}
			}
			<-served
			assert.Equal(t, countLogLines(out, unsampledID), c.lines)
		})
	}
}

// The guard also logs a request that its front cancels while it holds a slot.
func TestCancelledRequestIsLogged(t *testing.T) {
	out := &logtest.Buffer{}
	g := newTestGuard(t, "127.0.0.1:1")
	g.log = slog.New(slog.NewJSONHandler(out, nil))
	near, far := wire.Pipe()
	served := make(chan struct{})
	go func() {
		defer close(served)
		g.Serve(far, &msg.Reserve{RequestID: unsampledID, Service: "s", Instance: "i", TimeoutMS: 20000})
	}()
	_, err := near.Recv(context.Background())
	assert.NilError(t, err)
	near.Close()
	<-served
	assert.Equal(t, countLogLines(out, unsampledID), 1)
}
