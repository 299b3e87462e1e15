package guard

import (
	"context"
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
