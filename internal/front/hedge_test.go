package front

import (
	"context"
	"io"
	"log/slog"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/radishhoist/radishhoist/internal/core/directory"
	"github.com/radishhoist/radishhoist/internal/core/loadreport"
	"github.com/radishhoist/radishhoist/internal/core/route"
	"github.com/radishhoist/radishhoist/internal/guard"
	"github.com/radishhoist/radishhoist/internal/msg"
	"github.com/radishhoist/radishhoist/internal/wire"
	"github.com/radishhoist/radishhoist/verdict"
)

// delayedStream is a stream whose only message arrives when the test sends it, even after
// its reader's context has ended.
type delayedStream struct{ message chan msg.Message }

func (s delayedStream) Send(context.Context, ...msg.Message) error { return nil }
func (s delayedStream) Recv(context.Context) (msg.Message, error)  { return <-s.message, nil }
func (s delayedStream) Close()                                     {}
func (s delayedStream) Open(context.Context, string) (wire.Stream, *wire.Conn, error) {
	return s, nil, nil
}

// newDelayedExecution returns an execution and a target whose guard replies late.
func newDelayedExecution(t *testing.T) (*execution, pick, delayedStream) {
	t.Helper()
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	g := guard.New(guard.Config{Host: "h"}, guard.Limits{}, log, nil, guard.Hooks{Changed: func() {}, LoadReport: func(*msg.LoadReport, loadreport.Scope) {}})
	stream := delayedStream{message: make(chan msg.Message)}
	f := New(Config{Host: "h"}, Limits{}, log, stream, g, nil)
	req := &request{
		id: "r", arrived: time.Now(), deadline: time.Now().Add(time.Minute), idempotent: true,
		route: &route.Route{Name: "r"}, service: &directory.Service{Name: "s"}, state: &serviceState{latencies: map[string]*latency{}},
		http: httptest.NewRequest("GET", "/a", nil),
	}
	otherHost := &target{Target: &directory.Target{Instance: &directory.Instance{Name: "i"}, Host: &directory.Host{Name: "other"}}, observed: &observations{}}
	return &execution{front: f, req: req}, pick{target: otherHost}, stream
}

// An attempt may outlive its request. If both share one summary, a late attempt can record
// its refusal by the retry budget there while the request's log line is written; the race
// detector has reported this. The request must therefore get a copy that late attempts do
// not change. Here the guard's refusal always arrives after the request's end.
func TestLateAttemptDoesNotChangeRequestSummary(t *testing.T) {
	exec, p, stream := newDelayedExecution(t)
	done := make(chan struct{})
	go func() {
		defer close(done)
		exec.runAttempt(context.Background(), p, nil)
	}()
	exec.finish()
	stream.message <- &msg.Fail{Verdict: verdict.NotRun, Reason: verdict.ReasonRetryBudget}
	exec.front.logResponse(exec.req, 500)
	<-done
}

// A hedge that becomes due while the request's failures are combined must not start: its
// choice of a target could add a failure.
func TestHedgeDoesNotStartAfterRequestEnd(t *testing.T) {
	exec, _, _ := newDelayedExecution(t)
	exec.addFailure(verdict.New(verdict.NotRun, verdict.ReasonQueueFull, ""))
	var hedge sync.WaitGroup
	hedge.Go(func() {
		exec.mu.Lock()
		defer exec.mu.Unlock()
		if !exec.done {
			exec.addFailure(verdict.New(verdict.NotRun, verdict.ReasonDraining, ""))
		}
	})
	_, fail := exec.finalResult()
	assert.Assert(t, fail != nil)
	hedge.Wait()
	assert.Assert(t, exec.done, "a hedge may still start")
}

// A body that is too large to buffer is sent by one attempt only, even if several try to
// send it at once.
func TestUnbufferedBodyIsSentByOneAttempt(t *testing.T) {
	req := &request{unbuffered: &callerBody{src: strings.NewReader("rest")}, body: []byte("kept")}
	var attempts sync.WaitGroup
	var mu sync.Mutex
	senders := 0
	for range 8 {
		attempts.Go(func() {
			if _, ok := req.bodyReader(); ok {
				mu.Lock()
				defer mu.Unlock()
				senders++
			}
		})
	}
	attempts.Wait()
	assert.Equal(t, senders, 1)
	assert.Assert(t, !req.canResend())
}
