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
	"github.com/radishhoist/radishhoist/internal/core/pulse"
	"github.com/radishhoist/radishhoist/internal/core/route"
	"github.com/radishhoist/radishhoist/internal/guard"
	"github.com/radishhoist/radishhoist/internal/msg"
	"github.com/radishhoist/radishhoist/internal/wire"
	"github.com/radishhoist/radishhoist/verdict"
)

// lateStream is a stream whose one word comes when the test says so, whatever its
// reader has given up.
type lateStream struct{ word chan msg.Message }

func (s lateStream) Send(context.Context, ...msg.Message) error { return nil }
func (s lateStream) Recv(context.Context) (msg.Message, error)  { return <-s.word, nil }
func (s lateStream) Close()                                     {}
func (s lateStream) Open(context.Context, string) (wire.Stream, *wire.Conn, error) {
	return s, nil, nil
}

// racing makes a request that is sent to a guard with a late word.
func racing(t *testing.T) (*race, pick, lateStream) {
	t.Helper()
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	g := guard.New(guard.Config{Host: "h"}, guard.Limits{}, log, nil, guard.Hooks{Changed: func() {}, Pulse: func(*msg.LoadReport, pulse.Reach) {}})
	stream := lateStream{word: make(chan msg.Message)}
	f := New(Config{Host: "h"}, Limits{}, log, stream, g, nil)
	req := &request{
		id: "r", arrived: time.Now(), deadline: time.Now().Add(time.Minute), idempotent: true,
		route: &route.Route{Name: "r"}, service: &directory.Service{Name: "s"}, state: &serviceState{routes: map[string]*latency{}},
		http: httptest.NewRequest("GET", "/a", nil),
	}
	at := &target{Target: &directory.Target{Instance: &directory.Instance{Name: "i"}, Host: &directory.Host{Name: "other"}}, seen: &observed{}}
	return &race{front: f, req: req}, pick{target: at}, stream
}

// What operators saw: nothing yet; the race detector saw it once in a fleet in
// virtual time, where a request's last line was written.
//
// Order of events: a request's second attempt, made beside a slow first one, is
// under way when the first has its answer. The answer goes out, and its line is
// written, while the second attempt's guard says that no repeat is left, which is
// noted with the request.
//
// Cause: what comes of a request's attempts stood with the request and was read at
// its end, though an attempt may outlive the request.
//
// Evidence: the detector's report names the write after the guard's word and the
// read for the line. Here the word always comes after the end.
func TestALateAttemptChangesNothingOfItsRequest(t *testing.T) {
	c, p, stream := racing(t)
	done := make(chan struct{})
	go func() {
		defer close(done)
		c.try(context.Background(), p, nil)
	}()
	c.finish()
	stream.word <- &msg.Fail{Verdict: verdict.NotRun, Reason: verdict.ReasonRetryBudget}
	c.front.logAnswer(c.req, 500)
	<-done
}

// The same for what an attempt's choice changes: a hedge whose time comes while the
// request's failures are summed up.
func TestAHedgeThatComesAsTheRequestEndsStaysOut(t *testing.T) {
	c, _, _ := racing(t)
	c.failed(verdict.New(verdict.NotRun, verdict.ReasonQueueFull, ""))
	var hedge sync.WaitGroup
	hedge.Go(func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		if !c.over {
			c.failed(verdict.New(verdict.NotRun, verdict.ReasonDraining, ""))
		}
	})
	_, fail := c.settle()
	assert.Assert(t, fail != nil)
	hedge.Wait()
	assert.Assert(t, c.over, "a hedge may still begin")
}

// A body that is too large to keep can be sent by one attempt alone, also where two
// come to send it at once.
func TestABodyThatIsNotKeptIsSentByOneAttempt(t *testing.T) {
	req := &request{rest: strings.NewReader("rest"), body: []byte("kept")}
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
	assert.Assert(t, !req.repeatable())
}
