package guard

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"gotest.tools/v3/assert"

	"github.com/radishhoist/radishhoist/internal/core/header"
	"github.com/radishhoist/radishhoist/internal/core/once"
	"github.com/radishhoist/radishhoist/internal/msg"
	"github.com/radishhoist/radishhoist/internal/wire"
	"github.com/radishhoist/radishhoist/verdict"
)

// targetBehaviour describes what a scripted target does with a request.
type targetBehaviour struct {
	name string
	// executes reports that the target starts to work on the request.
	executes bool
	// complete reports that its response is complete.
	complete bool
	// response is what the target writes. The connection is closed after it if close
	// is set, and reset if reset is set.
	response string
	// beforeBody makes the target respond before it reads the body.
	beforeBody bool
	close      bool
	reset      bool
}

const wholeBody = "0123456789"

var behaviours = []targetBehaviour{
	{name: "ok", executes: true, complete: true, response: "200 OK\r\nContent-Length: 10\r\n\r\n" + wholeBody},
	{name: "not executed", response: "503 Full\r\nRadishhoist-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"},
	{name: "another instance", response: "421 Misdirected\r\nContent-Length: 0\r\n\r\n"},
	{name: "refused without the not-run header", executes: true, response: "503 Full\r\nContent-Length: 10\r\n\r\n" + wholeBody},
	{name: "failed", executes: true, response: "500 Failed\r\nContent-Length: 10\r\n\r\n" + wholeBody},
	{name: "no response", executes: true, close: true},
	{name: "reset", executes: true, close: true, reset: true},
	{name: "cut short", executes: true, response: "200 OK\r\nContent-Length: 10\r\n\r\n01234", close: true},
	{name: "no length", executes: true, complete: true, response: "200 OK\r\nConnection: close\r\n\r\n" + wholeBody, close: true},
	{name: "no length, reset", executes: true, response: "200 OK\r\nConnection: close\r\n\r\n01234", close: true, reset: true},
	{name: "response before the body", executes: true, complete: true, beforeBody: true, response: "200 OK\r\nContent-Length: 10\r\n\r\n" + wholeBody},
}

// interruption is an event during a request, and stage the point at which it occurs.
type interruption string

type stage string

const (
	noInterruption interruption = "nothing"
	frontCancels   interruption = "the front cancels"
	hostDrains     interruption = "the host stops"
	instanceLeaves interruption = "the instance leaves"

	beforeRequest stage = "before the request"
	onGrant       stage = "at the grant"
	afterSend     stage = "when it is sent"
)

// scriptedTarget is a target with one behaviour.
type scriptedTarget struct {
	behaviour targetBehaviour
	listener  net.Listener
	runs      atomic.Int64
	serving   sync.WaitGroup
}

func startScriptedTarget(t *testing.T, m targetBehaviour) *scriptedTarget {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := &scriptedTarget{behaviour: m, listener: l}
	s.serving.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s.serving.Go(func() { s.serve(c) })
		}
	})
	return s
}

func (s *scriptedTarget) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if s.behaviour.executes {
			s.runs.Add(1)
		}
		if !s.behaviour.beforeBody {
			_, _ = io.Copy(io.Discard, req.Body)
		}
		if s.behaviour.response != "" {
			_, _ = io.WriteString(c, "HTTP/1.1 "+s.behaviour.response)
		}
		if s.behaviour.beforeBody {
			_, _ = io.Copy(io.Discard, req.Body)
		}
		if s.behaviour.reset {
			_ = c.(*net.TCPConn).SetLinger(0)
		}
		if s.behaviour.close {
			return
		}
	}
}

// stop closes the target after all connections to it have ended and returns the
// number of executed requests.
func (s *scriptedTarget) stop() int {
	_ = s.listener.Close()
	s.serving.Wait()
	return int(s.runs.Load())
}

// scenario sends one request through the front's state machine, the guard and a
// scripted target.
type scenario struct {
	t            *testing.T
	guard        *Guard
	address      string
	near         wire.Stream
	attempt      once.Attempt
	idempotent   bool
	interruption interruption
	stage        stage
	body         []byte
	last         *msg.Fail
}

func (e *scenario) interruptAt(m stage) {
	if m != e.stage {
		return
	}
	switch e.interruption {
	case hostDrains:
		e.guard.Drain()
	case instanceLeaves:
		a := Announcement{Service: "s", Address: e.address, Slots: 2, Connections: 4, State: stateDraining}
		assert.NilError(e.t, e.guard.Announce(time.Now(), "i", a))
	case frontCancels:
		if e.attempt.Abort() == once.SendCancel {
			// The stream may have ended concurrently.
			_ = e.near.Send(context.Background(), &msg.Cancel{})
		}
	}
}

const requestBody = "the request's body"

func (e *scenario) runMessage() *msg.Run {
	return &msg.Run{
		RequestID: "r", Service: "s", Instance: "i", TimeoutMS: 20000, Reserved: !e.idempotent, Idempotent: e.idempotent,
		Method: "POST", URI: "/", Host: "x", BodyLength: int64(len(requestBody)),
	}
}

// sendBody ignores send errors, since the guard may have ended the stream.
func (e *scenario) sendBody() {
	end := &msg.End{Length: uint64(len(requestBody)), Hash: xxhash.Sum64String(requestBody)}
	_ = e.near.Send(context.Background(), &msg.Data{Bytes: []byte(requestBody)}, end)
	e.interruptAt(afterSend)
}

func (e *scenario) execute() {
	near, far := wire.Pipe()
	e.near = near
	e.interruptAt(beforeRequest)
	var first msg.Message = &msg.Reserve{RequestID: "r", Service: "s", Instance: "i", TimeoutMS: 20000}
	if e.attempt.Begin(e.idempotent, false) == once.SendRun {
		first = e.runMessage()
	}
	served := make(chan struct{})
	go func() {
		defer close(served)
		e.guard.Serve(far, first)
	}()
	if e.idempotent {
		e.sendBody()
	}
	for e.attempt.Phase() != once.Done {
		m, err := near.Recv(context.Background())
		if err != nil {
			e.attempt.Abort()
			break
		}
		e.receive(m)
	}
	near.Close()
	<-served
}

func (e *scenario) receive(m msg.Message) {
	switch m := m.(type) {
	case *msg.Grant:
		e.interruptAt(onGrant)
		if e.attempt.HandleGrant() == once.SendRun {
			_ = e.near.Send(context.Background(), e.runMessage())
			e.sendBody()
		}
	case *msg.Head:
		e.attempt.HandleResponseStart()
	case *msg.Data:
		e.body = append(e.body, m.Bytes...)
	case *msg.End:
		e.attempt.HandleResponseEnd(m.Length == uint64(len(e.body)) && m.Hash == xxhash.Sum64(e.body))
	case *msg.Fail:
		e.last = m
		e.attempt.HandleFailure(m.Verdict)
	}
}

// Combines every target behaviour with a cancellation, a drain of the host or the
// instance leaving, at every stage. A request reported as not run must never have
// run, work that is not idempotent must run at most once, an incomplete response must
// not look complete, and no request may reach an instance whose leaving was
// acknowledged.
func TestVerdictIsTrueForEveryTargetBehaviour(t *testing.T) {
	for _, m := range behaviours {
		for _, idempotent := range []bool{false, true} {
			for _, ev := range []interruption{noInterruption, frontCancels, hostDrains, instanceLeaves} {
				for _, at := range []stage{beforeRequest, onGrant, afterSend} {
					if ev == noInterruption && at != beforeRequest {
						continue
					}
					t.Run(fmt.Sprintf("%s/idempotent=%v/%s/%s", m.name, idempotent, ev, at), func(t *testing.T) {
						runScenario(t, m, idempotent, ev, at)
					})
				}
			}
		}
	}
}

func runScenario(t *testing.T, m targetBehaviour, idempotent bool, ev interruption, at stage) {
	target := startScriptedTarget(t, m)
	g := newTestGuard(t, target.listener.Addr().String())
	g.cfg.Dialect = header.Default()
	e := &scenario{t: t, guard: g, address: target.listener.Addr().String(), idempotent: idempotent, interruption: ev, stage: at}
	e.execute()
	assert.Assert(t, g.Wait(nil))
	for _, inst := range g.all() {
		inst.client.Close()
	}
	runs := target.stop()

	if !idempotent {
		assert.Assert(t, runs <= 1, "ran %d times", runs)
	}
	if e.attempt.Verdict() == verdict.NotRun {
		assert.Equal(t, runs, 0, "reported as not run")
	}
	if e.attempt.ResponseComplete() {
		assert.Equal(t, string(e.body), wholeBody)
		assert.Assert(t, m.complete || slices.Contains([]string{"failed", "refused without the not-run header"}, m.name), "a truncated response looks complete")
	}
	if e.last != nil {
		status := verdict.New(e.last.Verdict, e.last.Reason, "").Status()
		promises := status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests
		assert.Assert(t, !promises || e.last.Verdict == verdict.NotRun)
	}
	if at == beforeRequest && (ev == hostDrains || ev == instanceLeaves) {
		assert.Equal(t, runs, 0)
		assert.Equal(t, e.attempt.Verdict(), verdict.NotRun)
	}
	if ev == noInterruption {
		assert.Equal(t, e.attempt.ResponseComplete(), m.complete || m.name == "failed" || m.name == "refused without the not-run header" && idempotent)
	}
}
