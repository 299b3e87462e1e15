package front

import (
	"context"
	"io"
	"log/slog"
	"net/http/httptest"
	"strings"
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

// A guard on the same host that refuses a request closes its stream while the front is
// still sending the body. The caller must get the guard's reason and the verdict not-run,
// not may-have-run.
func TestGuardRefusalBeforeBodySentIsReported(t *testing.T) {
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	g := guard.New(guard.Config{Host: "h"}, guard.Limits{}, log, nil, guard.Hooks{Changed: func() {}, LoadReport: func(*msg.LoadReport, loadreport.Scope) {}})
	f := New(Config{Host: "h"}, Limits{}, log, nil, g, nil)
	req := &request{
		id: "r", arrived: time.Now(), deadline: time.Now().Add(time.Minute), idempotent: true,
		route: &route.Route{Name: "r"}, state: &serviceState{latencies: map[string]*latency{}},
		http: httptest.NewRequest("POST", "/a", strings.NewReader("body")), body: []byte("body"), length: 4,
	}
	client, server := wire.Pipe()
	assert.NilError(t, server.Send(context.Background(), &msg.Fail{Verdict: verdict.NotRun, Reason: verdict.ReasonDraining}))
	server.Close()
	host := &directory.Host{Name: "h"}
	a := &attempt{front: f, req: req, stream: client, startedAt: time.Now(), target: &target{Target: &directory.Target{Instance: &directory.Instance{Name: "i"}, Host: host}, observed: &observations{}}}
	o := a.proceed(context.Background(), a.state.Begin(true, false))
	assert.Assert(t, o == nil, "%+v", o)
	o = a.receive(context.Background())
	assert.Equal(t, o.fail.Reason, verdict.ReasonDraining)
	assert.Equal(t, o.fail.Verdict, verdict.NotRun)
}

// Another host may pass on a status that is none, for which the HTTP server panics.
func TestInvalidStatusFromGuardIsRejected(t *testing.T) {
	for _, status := range []uint16{0, 99, 101, 199, 600, 999, 1000, 65535} {
		client, _ := wire.Pipe()
		a := &attempt{req: &request{id: "r"}, stream: client}
		o := a.handle(context.Background(), &msg.Head{RequestID: "r", Status: status})
		assert.Assert(t, o != nil, "%d", status)
		assert.Equal(t, o.fail.Reason, verdict.ReasonTargetBroke)
		assert.Assert(t, o.failed)
	}
}
