package front

import (
	"context"
	"io"
	"log/slog"
	"net"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cespare/xxhash/v2"
	"gotest.tools/v3/assert"

	"github.com/radishhoist/radishhoist/internal/core/directory"
	"github.com/radishhoist/radishhoist/internal/core/loadreport"
	"github.com/radishhoist/radishhoist/internal/core/route"
	"github.com/radishhoist/radishhoist/internal/guard"
	"github.com/radishhoist/radishhoist/internal/msg"
	"github.com/radishhoist/radishhoist/internal/wire"
	"github.com/radishhoist/radishhoist/record"
	"github.com/radishhoist/radishhoist/verdict"
)

// pausedConn is the connection of a host that is paused until a time: what it gets is
// read, and what it sends is written, at that time.
type pausedConn struct {
	net.Conn
	until time.Time
}

func (c pausedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	time.Sleep(time.Until(c.until))
	return n, err
}

func (c pausedConn) Write(p []byte) (int, error) {
	time.Sleep(time.Until(c.until))
	return c.Conn.Write(p)
}

// connOpener opens streams on one connection.
type connOpener struct{ conn *wire.Conn }

func (o connOpener) Open(context.Context, string) (wire.Stream, *wire.Conn, error) {
	s, err := o.conn.Open()
	return s, o.conn, err
}

// respondAfter accepts requests and responds to each after a service time.
func respondAfter(serviceTime time.Duration) func(wire.Stream) {
	return func(s wire.Stream) {
		defer s.Close()
		m, err := s.Recv(context.Background())
		if err != nil {
			return
		}
		time.Sleep(serviceTime)
		body := []byte("whole")
		_ = s.Send(context.Background(), &msg.Head{RequestID: m.(*msg.Run).RequestID, Status: 200, Length: int64(len(body))},
			&msg.Data{Bytes: body}, &msg.End{Length: uint64(len(body)), Hash: xxhash.Sum64(body)})
	}
}

// Guards against failing an idempotent request whose host was silent for the two frame checks and
// then responds, when no retry is allowed. A host that stays silent must not hold the caller beyond
// the objective.
func TestResponseOfPausedHostIsDelivered(t *testing.T) {
	const objective = 2500 * time.Millisecond
	for _, c := range []struct {
		name               string
		pause, serviceTime time.Duration
		wantAfter          time.Duration
		delivered          bool
	}{
		{"resumes within the objective", 2 * time.Second, 100 * time.Millisecond, 2100 * time.Millisecond, true},
		{"resumes within the objective, responds late", time.Second, 4 * time.Second, 5 * time.Second, true},
		{"stays silent", time.Minute, 0, objective, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				log := slog.New(slog.NewTextHandler(io.Discard, nil))
				g := guard.New(guard.Config{Host: "h"}, guard.Limits{}, log, nil, guard.Hooks{Changed: func() {}, LoadReport: func(*msg.LoadReport, loadreport.Scope) {}})
				near, far := net.Pipe()
				conn := wire.NewConn(near, wire.Handlers{})
				peer := wire.NewConn(pausedConn{far, time.Now().Add(c.pause)}, wire.Handlers{Accept: respondAfter(c.serviceTime)})
				defer time.Sleep(c.pause) // until the paused read has returned
				defer conn.Close()
				defer peer.Close()
				f := New(Config{Host: "h"}, Limits{}, log, connOpener{conn}, g, nil)
				start := time.Now()
				req := &request{
					id: "r", arrived: start, deadline: start.Add(12 * time.Second), idempotent: true,
					route: &route.Route{Name: "r", Route: record.Route{ObjectiveMS: int(objective.Milliseconds()), MaxAttempts: 1}}, service: &directory.Service{Name: "s", Record: &record.Service{}}, state: &serviceState{latencies: map[string]*latency{}},
					http: httptest.NewRequest("GET", "/a", nil),
				}
				paused := &target{Target: &directory.Target{Instance: &directory.Instance{Name: "i"}, Host: &directory.Host{Name: "other"}}, observed: &observations{}}
				ctx, cancel := context.WithDeadline(t.Context(), req.deadline)
				defer cancel()
				exec := &execution{front: f, req: req, cancelPrimary: func() {}}
				defer exec.finish()

				o := exec.runAttempt(ctx, pick{target: paused}, nil)
				assert.Equal(t, time.Since(start), 2*frameTimeout)
				assert.Assert(t, !exec.accept(o))
				resp, fail := exec.lastResult(ctx)
				assert.Equal(t, time.Since(start), c.wantAfter)
				if c.delivered {
					assert.Assert(t, fail == nil, "%v", fail)
					assert.Equal(t, string(resp.buffered), "whole")
					return
				}
				assert.Equal(t, fail.Reason, verdict.ReasonLinkLost)
				assert.Equal(t, fail.Verdict, verdict.MayHaveRun)
			})
		})
	}
}

// A response of a silent host that arrives after the request's end must be discarded, and an attempt
// that is still running must end.
func TestSilentAttemptEndsWithItsRequest(t *testing.T) {
	exec, p, stream := newDelayedExecution(t)
	a := &attempt{front: exec.front, req: exec.req, target: p.target, stream: stream, startedAt: time.Now(), frameChecks: maxFrameChecks}
	exec.cancelPrimary = func() { t.Error("the request's end was reported to an attempt that follows it") }
	exec.continueSilent(t.Context(), p, a)
	exec.finish()
	stream.message <- &msg.Fail{Verdict: verdict.NotRun, Reason: verdict.ReasonQueueFull}
	<-exec.silent.changed
	assert.Assert(t, exec.silent.started[0].ended)
	assert.Assert(t, exec.takeSilent() == nil)
}

// Guards against a response of a silent host that waits until a hedge has ended, or that does not
// keep a further attempt from starting.
func TestResponseOfSilentHostEndsOtherAttempts(t *testing.T) {
	exec, p, _ := newDelayedExecution(t)
	exec.rng, exec.req.service.Record = exec.front.rng(), &record.Service{}
	primary, hedged := 0, 0
	exec.cancelPrimary = func() { primary++ }
	exec.hedge = &hedge{cancel: func() { hedged++ }, done: make(chan struct{})}
	exec.silent.responses, exec.silent.changed = make(chan *outcome, 2), make(chan struct{}, 1)
	exec.endSilent(&silentAttempt{}, &outcome{response: &response{head: &msg.Head{Status: 500}}})
	assert.Equal(t, primary+hedged, 0, "another attempt may do better")
	exec.endSilent(&silentAttempt{}, &outcome{target: p.target, response: &response{head: &msg.Head{Status: 200}}})
	assert.Equal(t, primary, 1)
	assert.Equal(t, hedged, 1)
	assert.Assert(t, exec.primaryAttempt(t.Context()) == nil)
	resp, fail := exec.lastResult(t.Context())
	assert.Assert(t, fail == nil)
	assert.Equal(t, resp.head.Status, uint16(200))
}
