package guard

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/radishhoist/radishhoist/internal/core/directory"
	"github.com/radishhoist/radishhoist/internal/msg"
	"github.com/radishhoist/radishhoist/internal/wire"
	"github.com/radishhoist/radishhoist/verdict"
)

// A guard that drains must not accept requests again when a directory is applied: a
// configuration that changes while the host stops would otherwise admit requests that the
// exit of the process cuts off. The same holds for an instance that announces itself while
// the host stops.
func TestDrainedGuardRefusesRequestsAfterNewDirectory(t *testing.T) {
	address := startHungTarget(t)
	g := newTestGuard(t, address)
	g.Drain()
	g.Apply(&directory.Directory{})
	other := startHungTarget(t)
	assert.NilError(t, g.Announce(time.Now(), "late", Announcement{Service: "s", Address: other, Slots: 2, Connections: 4}))
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	for _, name := range []string{"i", "late"} {
		near, far := wire.Pipe()
		defer near.Close()
		go g.Serve(far, &msg.Run{RequestID: name, Service: "s", Instance: name, TimeoutMS: 60000, Method: "GET", URI: "/", Host: "a"})
		m, err := near.Recv(ctx)
		assert.NilError(t, err, "the request to %s was admitted", name)
		fail, ok := m.(*msg.Fail)
		assert.Assert(t, ok)
		assert.Equal(t, fail.Verdict, verdict.NotRun)
		assert.Equal(t, fail.Reason, verdict.ReasonDraining)
	}
	for _, i := range g.Instances() {
		assert.Equal(t, i.State, directory.Leaving, i.Name)
	}
}

// Guards against free slots that get no request for seconds while their host waits for the end of a
// long one: a draining guard refused all requests until the process exited. What could be cut off by
// the exit, or not be sent again after that, must still be refused.
func TestDrainingGuardAcceptsShortRequestsWhileItWaits(t *testing.T) {
	release, received := make(chan struct{}), make(chan struct{})
	target := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/long" {
			close(received)
			<-release
		}
	}))
	defer target.Close()
	g := newTestGuard(t, strings.TrimPrefix(target.URL, "http://"))
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	send := func(first msg.Message) wire.Stream {
		near, far := wire.Pipe()
		go g.Serve(far, first)
		return near
	}
	reason := func(first msg.Message) verdict.Reason {
		s := send(first)
		defer s.Close()
		for {
			switch m, err := s.Recv(ctx); m := m.(type) {
			case *msg.Fail:
				assert.Equal(t, m.Verdict, verdict.NotRun)
				return m.Reason
			case *msg.End, *msg.Grant:
				return ""
			case nil:
				t.Fatal(err)
			}
		}
	}
	run := func(uri string, expectedMS uint32) *msg.Run {
		return &msg.Run{RequestID: uri, Service: "s", Instance: "i", TimeoutMS: 60000, Method: "GET", URI: uri, Host: "a", Idempotent: true, Hints: msg.AdmissionHints{ExpectedMS: expectedMS}}
	}
	long := send(run("/long", 1000))
	defer long.Close()
	<-received
	g.SetShutdownTime(time.Now().Add(3 * time.Second))
	g.Drain()
	assert.Equal(t, g.Instances()[0].State, directory.Finishing)
	assert.Equal(t, reason(run("/short", 200)), verdict.Reason(""))
	assert.Equal(t, reason(run("/medium", 1100)), verdict.ReasonDraining, "may be cut off by the exit")
	assert.Equal(t, reason(&msg.Reserve{RequestID: "r", Service: "s", Instance: "i", TimeoutMS: 60000, Hints: msg.AdmissionHints{ExpectedMS: 200}}), verdict.ReasonDraining, "cannot be sent again")

	close(release)
	waitFor(t, func() bool { return g.Instances()[0].State == directory.Leaving })
	assert.Equal(t, reason(run("/late", 200)), verdict.ReasonDraining)
	assert.Assert(t, g.Wait(nil))
}
