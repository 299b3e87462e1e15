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
	// response is what the target writes. If close is set, the connection is closed
	// after it, with a TCP reset if reset is set as well.
	response string
	// beforeBody makes the target respond before it reads the body.
	beforeBody bool
	close      bool
	reset      bool
}

const completeBody = "0123456789"

var behaviours = []targetBehaviour{
	{name: "ok", executes: true, complete: true, response: "200 OK\r\nContent-Length: 10\r\n\r\n" + completeBody},
	{name: "marked as not run", response: "503 Full\r\nRadishhoist-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"},
	{name: "misdirected", response: "421 Misdirected\r\nContent-Length: 0\r\n\r\n"},
	{name: "refused without the not-run header", executes: true, response: "503 Full\r\nContent-Length: 10\r\n\r\n" + completeBody},
	{name: "failed", executes: true, response: "500 Failed\r\nContent-Length: 10\r\n\r\n" + completeBody},
	{name: "no response", executes: true, close: true},
	{name: "reset", executes: true, close: true, reset: true},
	{name: "truncated body", executes: true, response: "200 OK\r\nContent-Length: 10\r\n\r\n01234", close: true},
	{name: "no content length", executes: true, complete: true, response: "200 OK\r\nConnection: close\r\n\r\n" + completeBody, close: true},
	{name: "no content length, reset", executes: true, response: "200 OK\r\nConnection: close\r\n\r\n01234", close: true, reset: true},
	{name: "response before the body", executes: true, complete: true, beforeBody: true, response: "200 OK\r\nContent-Length: 10\r\n\r\n" + completeBody},
}

// interruption is an event that interferes with a request, and stage the point at which it
// occurs.
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

func startScriptedTarget(t *testing.T, behaviour targetBehaviour) *scriptedTarget {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := &scriptedTarget{behaviour: behaviour, listener: l}
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
	// body is the response body received so far, and failure the last Fail received.
	body    []byte
	failure *msg.Fail
}

func (s *scenario) interruptAt(at stage) {
	if at != s.stage {
		return
	}
	switch s.interruption {
	case hostDrains:
		s.guard.Drain()
	case instanceLeaves:
		a := Announcement{Service: "s", Address: s.address, Slots: 2, Connections: 4, State: stateDraining}
		assert.NilError(s.t, s.guard.Announce(time.Now(), "i", a))
	case frontCancels:
		if s.attempt.Abort() == once.SendCancel {
			// The stream may have ended concurrently.
			_ = s.near.Send(context.Background(), &msg.Cancel{})
		}
	}
}

const requestBody = "the request's body"

func (s *scenario) runMessage() *msg.Run {
	return &msg.Run{
		RequestID: "r", Service: "s", Instance: "i", TimeoutMS: 20000, Reserved: !s.idempotent, Idempotent: s.idempotent,
		Method: "POST", URI: "/", Host: "x", BodyLength: int64(len(requestBody)),
	}
}

// sendBody ignores send errors, since the guard may have ended the stream.
func (s *scenario) sendBody() {
	end := &msg.End{Length: uint64(len(requestBody)), Hash: xxhash.Sum64String(requestBody)}
	_ = s.near.Send(context.Background(), &msg.Data{Bytes: []byte(requestBody)}, end)
	s.interruptAt(afterSend)
}

func (s *scenario) execute() {
	near, far := wire.Pipe()
	s.near = near
	s.interruptAt(beforeRequest)
	var first msg.Message = &msg.Reserve{RequestID: "r", Service: "s", Instance: "i", TimeoutMS: 20000}
	if s.attempt.Begin(s.idempotent, false) == once.SendRun {
		first = s.runMessage()
	}
	served := make(chan struct{})
	go func() {
		defer close(served)
		s.guard.Serve(far, first)
	}()
	if s.idempotent {
		s.sendBody()
	}
	for s.attempt.Phase() != once.Done {
		m, err := near.Recv(context.Background())
		if err != nil {
			s.attempt.Abort()
			break
		}
		s.receive(m)
	}
	near.Close()
	<-served
}

func (s *scenario) receive(m msg.Message) {
	switch m := m.(type) {
	case *msg.Grant:
		s.interruptAt(onGrant)
		if s.attempt.HandleGrant() == once.SendRun {
			_ = s.near.Send(context.Background(), s.runMessage())
			s.sendBody()
		}
	case *msg.Head:
		s.attempt.HandleResponseStart()
	case *msg.Data:
		s.body = append(s.body, m.Bytes...)
	case *msg.End:
		s.attempt.HandleResponseEnd(m.Length == uint64(len(s.body)) && m.Hash == xxhash.Sum64(s.body))
	case *msg.Fail:
		s.failure = m
		s.attempt.HandleFailure(m.Verdict)
	}
}

// Combines every target behaviour with a cancellation, a drain of the host or the
// instance leaving, at every stage. A request reported as not run must never have
// run, a request that is not idempotent must run at most once, an incomplete response
// must not look complete, and no request may reach an instance after its announcement
// of leaving was acknowledged.
func TestVerdictIsTrueForEveryTargetBehaviour(t *testing.T) {
	for _, behaviour := range behaviours {
		for _, idempotent := range []bool{false, true} {
			for _, event := range []interruption{noInterruption, frontCancels, hostDrains, instanceLeaves} {
				for _, at := range []stage{beforeRequest, onGrant, afterSend} {
					if event == noInterruption && at != beforeRequest {
						continue
					}
					t.Run(fmt.Sprintf("%s/idempotent=%v/%s/%s", behaviour.name, idempotent, event, at), func(t *testing.T) {
						runScenario(t, behaviour, idempotent, event, at)
					})
				}
			}
		}
	}
}

func runScenario(t *testing.T, behaviour targetBehaviour, idempotent bool, event interruption, at stage) {
	target := startScriptedTarget(t, behaviour)
	g := newTestGuard(t, target.listener.Addr().String())
	g.cfg.Dialect = header.Default()
	s := &scenario{t: t, guard: g, address: target.listener.Addr().String(), idempotent: idempotent, interruption: event, stage: at}
	s.execute()
	assert.Assert(t, g.Wait(nil))
	for _, inst := range g.all() {
		inst.client.Close()
	}
	runs := target.stop()

	if !idempotent {
		assert.Assert(t, runs <= 1, "ran %d times", runs)
	}
	if s.attempt.Verdict() == verdict.NotRun {
		assert.Equal(t, runs, 0, "reported as not run")
	}
	if s.attempt.ResponseComplete() {
		assert.Equal(t, string(s.body), completeBody)
		assert.Assert(t, behaviour.complete || slices.Contains([]string{"failed", "refused without the not-run header"}, behaviour.name), "a truncated response looks complete")
	}
	if s.failure != nil {
		status := verdict.New(s.failure.Verdict, s.failure.Reason, "").Status()
		impliesNotRun := status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests || status == http.StatusRequestTimeout
		assert.Assert(t, !impliesNotRun || s.failure.Verdict == verdict.NotRun)
	}
	if at == beforeRequest && (event == hostDrains || event == instanceLeaves) {
		assert.Equal(t, runs, 0)
		assert.Equal(t, s.attempt.Verdict(), verdict.NotRun)
	}
	if event == noInterruption {
		assert.Equal(t, s.attempt.ResponseComplete(), behaviour.complete || behaviour.name == "failed" || behaviour.name == "refused without the not-run header" && idempotent)
	}
}
