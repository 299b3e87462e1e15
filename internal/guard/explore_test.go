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

// manner is what a scripted target does with a request.
type manner struct {
	name string
	// runs says that it begins to work on the request.
	runs bool
	// whole says that its answer is whole.
	whole bool
	// answer writes the answer; the connection is closed after it where it says
	// so, and reset where reset is set.
	answer string
	// early answers before the body is read.
	early bool
	close bool
	reset bool
}

const wholeBody = "0123456789"

var manners = []manner{
	{name: "ok", runs: true, whole: true, answer: "200 OK\r\nContent-Length: 10\r\n\r\n" + wholeBody},
	{name: "not executed", answer: "503 Full\r\nRadishhoist-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"},
	{name: "another instance", answer: "421 Misdirected\r\nContent-Length: 0\r\n\r\n"},
	{name: "refused without a word", runs: true, answer: "503 Full\r\nContent-Length: 10\r\n\r\n" + wholeBody},
	{name: "failed", runs: true, answer: "500 Failed\r\nContent-Length: 10\r\n\r\n" + wholeBody},
	{name: "no answer", runs: true, close: true},
	{name: "reset", runs: true, close: true, reset: true},
	{name: "cut short", runs: true, answer: "200 OK\r\nContent-Length: 10\r\n\r\n01234", close: true},
	{name: "no length", runs: true, whole: true, answer: "200 OK\r\nConnection: close\r\n\r\n" + wholeBody, close: true},
	{name: "no length, reset", runs: true, answer: "200 OK\r\nConnection: close\r\n\r\n01234", close: true, reset: true},
	{name: "answered before the body", runs: true, whole: true, early: true, answer: "200 OK\r\nContent-Length: 10\r\n\r\n" + wholeBody},
}

// incident is what happens beside a request, and moment when.
type incident string

type moment string

const (
	nothing incident = "nothing"
	cancels incident = "the front cancels"
	drains  incident = "the host stops"
	leaves  incident = "the instance leaves"

	atFirst    moment = "before the request"
	whenGrant  moment = "at the grant"
	whenIsSent moment = "when it is sent"
)

// scripted is a target of one manner.
type scripted struct {
	manner   manner
	listener net.Listener
	runs     atomic.Int64
	serving  sync.WaitGroup
}

func startScripted(t *testing.T, m manner) *scripted {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := &scripted{manner: m, listener: l}
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

func (s *scripted) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if s.manner.runs {
			s.runs.Add(1)
		}
		if !s.manner.early {
			_, _ = io.Copy(io.Discard, req.Body)
		}
		if s.manner.answer != "" {
			_, _ = io.WriteString(c, "HTTP/1.1 "+s.manner.answer)
		}
		if s.manner.early {
			_, _ = io.Copy(io.Discard, req.Body)
		}
		if s.manner.reset {
			_ = c.(*net.TCPConn).SetLinger(0)
		}
		if s.manner.close {
			return
		}
	}
}

// stop ends the target once nothing can reach it any more.
func (s *scripted) stop() int {
	_ = s.listener.Close()
	s.serving.Wait()
	return int(s.runs.Load())
}

// exploration is one request through the front's state machine, the guard and a
// scripted target.
type exploration struct {
	t          *testing.T
	guard      *Guard
	address    string
	near       wire.Stream
	attempt    once.Attempt
	idempotent bool
	incident   incident
	moment     moment
	body       []byte
	last       *msg.Fail
}

func (e *exploration) at(m moment) {
	if m != e.moment {
		return
	}
	switch e.incident {
	case drains:
		e.guard.Drain()
	case leaves:
		a := Announcement{Service: "s", Address: e.address, Slots: 2, Connections: 4, State: stateDraining}
		assert.NilError(e.t, e.guard.Announce(time.Now(), "i", a))
	case cancels:
		if e.attempt.Abort() == once.SendCancel {
			// The stream may have ended in the same moment.
			_ = e.near.Send(context.Background(), &msg.Cancel{})
		}
	}
}

const requestBody = "the request's body"

func (e *exploration) run() *msg.Run {
	return &msg.Run{
		RequestID: "r", Service: "s", Instance: "i", TimeoutMS: 20000, Reserved: !e.idempotent, Idempotent: e.idempotent,
		Method: "POST", URI: "/", Host: "x", BodyLength: int64(len(requestBody)),
	}
}

// sendBody may meet a stream that the guard has ended.
func (e *exploration) sendBody() {
	end := &msg.End{Length: uint64(len(requestBody)), Hash: xxhash.Sum64String(requestBody)}
	_ = e.near.Send(context.Background(), &msg.Data{Bytes: []byte(requestBody)}, end)
	e.at(whenIsSent)
}

func (e *exploration) play() {
	near, far := wire.Pipe()
	e.near = near
	e.at(atFirst)
	var first msg.Message = &msg.Reserve{RequestID: "r", Service: "s", Instance: "i", TimeoutMS: 20000}
	if e.attempt.Begin(e.idempotent, false) == once.SendRun {
		first = e.run()
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
		e.step(m)
	}
	near.Close()
	<-served
}

func (e *exploration) step(m msg.Message) {
	switch m := m.(type) {
	case *msg.Grant:
		e.at(whenGrant)
		if e.attempt.HandleGrant() == once.SendRun {
			_ = e.near.Send(context.Background(), e.run())
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

// Every way in which a target may take a request, with a cancel, a stop of the
// host or the leaving of the instance at every step: what is told as not run has
// not run and never does, work that is not idempotent runs once at most, an
// answer that is not whole does not look so, and nothing reaches an instance
// whose leaving was acknowledged.
func TestVerdictIsTrueForEveryTargetBehaviour(t *testing.T) {
	for _, m := range manners {
		for _, idempotent := range []bool{false, true} {
			for _, ev := range []incident{nothing, cancels, drains, leaves} {
				for _, at := range []moment{atFirst, whenGrant, whenIsSent} {
					if ev == nothing && at != atFirst {
						continue
					}
					t.Run(fmt.Sprintf("%s/idempotent=%v/%s/%s", m.name, idempotent, ev, at), func(t *testing.T) {
						explore(t, m, idempotent, ev, at)
					})
				}
			}
		}
	}
}

func explore(t *testing.T, m manner, idempotent bool, ev incident, at moment) {
	target := startScripted(t, m)
	g := newTestGuard(t, target.listener.Addr().String())
	g.cfg.Dialect = header.Default()
	e := &exploration{t: t, guard: g, address: target.listener.Addr().String(), idempotent: idempotent, incident: ev, moment: at}
	e.play()
	assert.Assert(t, g.Wait(nil))
	for _, inst := range g.all() {
		inst.client.CloseIdle()
	}
	runs := target.stop()

	if !idempotent {
		assert.Assert(t, runs <= 1, "ran %d times", runs)
	}
	if e.attempt.Verdict() == verdict.NotRun {
		assert.Equal(t, runs, 0, "told not-run")
	}
	if e.attempt.ResponseComplete() {
		assert.Equal(t, string(e.body), wholeBody)
		assert.Assert(t, m.whole || slices.Contains([]string{"failed", "refused without a word"}, m.name), "an answer that was cut looks whole")
	}
	if e.last != nil {
		status := verdict.New(e.last.Verdict, e.last.Reason, "").Status()
		promises := status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests
		assert.Assert(t, !promises || e.last.Verdict == verdict.NotRun)
	}
	if at == atFirst && (ev == drains || ev == leaves) {
		assert.Equal(t, runs, 0)
		assert.Equal(t, e.attempt.Verdict(), verdict.NotRun)
	}
	if ev == nothing {
		assert.Equal(t, e.attempt.ResponseComplete(), m.whole || m.name == "failed" || m.name == "refused without a word" && idempotent)
	}
}
