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
	"github.com/radishhoist/radishhoist/internal/core/pulse"
	"github.com/radishhoist/radishhoist/internal/core/route"
	"github.com/radishhoist/radishhoist/internal/guard"
	"github.com/radishhoist/radishhoist/internal/msg"
	"github.com/radishhoist/radishhoist/internal/wire"
	"github.com/radishhoist/radishhoist/verdict"
)

// A guard on the own host that refuses a request closes its end while the front
// still sends the body: the caller is told what the guard said, not that the
// request may have run.
func TestARefusalBeforeTheBodyIsSentIsHeard(t *testing.T) {
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	g := guard.New(guard.Config{Host: "h"}, guard.Limits{}, log, nil, guard.Hooks{Changed: func() {}, Pulse: func(*msg.LoadReport, pulse.Reach) {}})
	f := New(Config{Host: "h"}, Limits{}, log, nil, g, nil)
	req := &request{
		id: "r", arrived: time.Now(), deadline: time.Now().Add(time.Minute), idempotent: true,
		route: &route.Route{Name: "r"}, state: &serviceState{routes: map[string]*latency{}},
		http: httptest.NewRequest("POST", "/a", strings.NewReader("body")), body: []byte("body"), length: 4,
	}
	near, far := wire.Pipe()
	assert.NilError(t, far.Send(context.Background(), &msg.Fail{Verdict: verdict.NotRun, Reason: verdict.ReasonDraining}))
	far.Close()
	host := &directory.Host{Name: "h"}
	y := &try{front: f, req: req, stream: near, sent: time.Now(), target: &target{Target: &directory.Target{Instance: &directory.Instance{Name: "i"}, Host: host}, seen: &observed{}}}
	o := y.proceed(context.Background(), y.state.Begin(true, false))
	assert.Assert(t, o == nil, "%+v", o)
	o = y.receive(context.Background())
	assert.Equal(t, o.fail.Reason, verdict.ReasonDraining)
	assert.Equal(t, o.fail.Verdict, verdict.NotRun)
}
