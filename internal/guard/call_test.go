package guard

import (
	"bufio"
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"runtime"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/radishhoist/radishhoist/internal/core/loadreport"
	"github.com/radishhoist/radishhoist/internal/msg"
	"github.com/radishhoist/radishhoist/internal/wire"
	"github.com/radishhoist/radishhoist/verdict"
)

// allowAllFence is a Fence that lets every run start.
type allowAllFence struct{}

func (allowAllFence) MayRun(string, uint32, uint64) bool { return true }

// newTestGuard returns a guard with the instance i of service s at the address.
func newTestGuard(t *testing.T, address string) *Guard {
	t.Helper()
	g := New(Config{Host: "h", QueuePerSlot: 2, GrantTTL: time.Minute, TargetIdleTimeout: time.Minute}, Limits{AnnounceExpiry: time.Hour},
		slog.New(slog.NewTextHandler(io.Discard, nil)), allowAllFence{}, Hooks{Changed: func() {}, LoadReport: func(*msg.LoadReport, loadreport.Scope) {}})
	a := Announcement{Service: "s", Address: address, Slots: 2, Connections: 4}
	assert.NilError(t, g.Announce(time.Now(), "i", a))
	return g
}

// reserveAndRun sends one request that is not idempotent and returns the guard's last
// message.
func reserveAndRun(t *testing.T, g *Guard, run *msg.Run) msg.Message {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	near, far := wire.Pipe()
	defer near.Close()
	first := &msg.Reserve{RequestID: run.RequestID, Service: "s", Instance: "i", TimeoutMS: 20000}
	go g.Serve(far, first)
	for {
		m, err := near.Recv(ctx)
		assert.NilError(t, err)
		switch m.(type) {
		case *msg.Grant:
			assert.NilError(t, near.Send(ctx, run))
		case *msg.End, *msg.Fail:
			return m
		}
	}
}

// When a kept-alive connection breaks, Go's HTTP client resends requests that it considers
// replayable, such as those with an Idempotency-Key header. The guard must prevent this:
// the target may already have run the request.
func TestRequestIsNotResentOnBrokenConnection(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = l.Close() }()
	var received atomic.Int64
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				r := bufio.NewReader(c)
				for responded := false; ; responded = true {
					req, err := http.ReadRequest(r)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, req.Body)
					received.Add(1)
					if responded {
						_ = c.Close()
						return
					}
					_, _ = c.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"))
				}
			}()
		}
	}()
	g := newTestGuard(t, l.Addr().String())
	run := func(id string) msg.Message {
		return reserveAndRun(t, g, &msg.Run{
			RequestID: id, Service: "s", Instance: "i", TimeoutMS: 20000, Reserved: true, Method: "POST", URI: "/book", Host: "x",
			Header: []msg.Field{{Name: "Idempotency-Key", Value: "k"}},
		})
	}
	_, completed := run("one").(*msg.End)
	assert.Assert(t, completed)
	f, failed := run("two").(*msg.Fail)
	assert.Assert(t, failed, "the second request got a response, so it was resent")
	assert.Equal(t, f.Verdict, verdict.MayHaveRun)
	assert.Equal(t, received.Load(), int64(2), "the target must get each request once")
}

func TestRefusedConnectionMeansNotRun(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	address := l.Addr().String()
	assert.NilError(t, l.Close())
	m := reserveAndRun(t, newTestGuard(t, address), &msg.Run{
		RequestID: "r", Service: "s", Instance: "i", TimeoutMS: 20000, Reserved: true, Method: "POST", URI: "/", Host: "x",
	})
	f, ok := m.(*msg.Fail)
	assert.Assert(t, ok)
	assert.Equal(t, f.Verdict, verdict.NotRun)
}

// Guards against goroutines that only wait for the front of a running request, of which an instance
// with many slots has as many, and against an idempotent run that goes on after its front has
// cancelled it.
func TestRunningRequestsUseFewGoroutines(t *testing.T) {
	// Of the goroutines of a request, Serve and read belong to the guard, one to the stand-in for
	// the instance.
	const requests, perRequest = 4, 3
	synctest.Test(t, func(t *testing.T) {
		g := New(Config{
			Host: "h", QueuePerSlot: 2, GrantTTL: time.Minute, TargetIdleTimeout: time.Minute,
			Dial: func(context.Context, string) (net.Conn, error) {
				near, far := net.Pipe()
				go func() { _, _ = io.Copy(io.Discard, far) }()
				context.AfterFunc(t.Context(), func() { _ = far.Close() })
				return near, nil
			},
		}, Limits{AnnounceExpiry: time.Hour},
			slog.New(slog.NewTextHandler(io.Discard, nil)), allowAllFence{}, Hooks{Changed: func() {}, LoadReport: func(*msg.LoadReport, loadreport.Scope) {}})
		assert.NilError(t, g.Announce(time.Now(), "i", Announcement{Service: "s", Address: "10.0.0.1:80", Slots: requests, Connections: requests}))
		before := runtime.NumGoroutine()
		var fronts []wire.Stream
		for range requests {
			near, far := wire.Pipe()
			fronts = append(fronts, near)
			go g.Serve(far, &msg.Run{RequestID: "r", Service: "s", Instance: "i", TimeoutMS: 20000, Idempotent: true, Method: "GET", URI: "/", Host: "s.example"})
		}
		synctest.Wait()
		assert.Check(t, runtime.NumGoroutine()-before <= requests*perRequest, "%d goroutines", runtime.NumGoroutine()-before)
		assert.Check(t, g.instances["i"].load().Running == requests, "%d running", g.instances["i"].load().Running)
		for _, s := range fronts {
			s.Close()
		}
		synctest.Wait()
		assert.Check(t, g.instances["i"].load().Running == 0, "%d running", g.instances["i"].load().Running)
	})
}
