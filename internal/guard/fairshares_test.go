package guard

import (
	"context"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/radishhoist/radishhoist/internal/msg"
	"github.com/radishhoist/radishhoist/internal/wire"
	"github.com/radishhoist/radishhoist/verdict"
)

// Guards against teams that share a class because only the remainder of the hash reaches
// the queue, and against a refusal for a team's share that does not arrive as not run.
func TestTeamOverItsShareIsRefusedForAnother(t *testing.T) {
	const heavy, light = 7, 7 + 64
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	for refusedIndex, fairShares := range []bool{false, true} {
		g := newTestGuard(t, startHungTarget(t))
		g.cfg.FairShares = fairShares
		g.remove("i", "replaced by one with the setting")
		assert.NilError(t, g.Announce(time.Now(), "i", Announcement{Service: "s", Address: startHungTarget(t), Slots: 2, Connections: 4}))
		// Two slots and four places in the queue: the seventh request finds them full.
		streams := make([]wire.Stream, 7)
		for i, team := range []uint32{heavy, heavy, heavy, heavy, heavy, heavy, light} {
			near, far := wire.Pipe()
			defer near.Close()
			streams[len(streams)-1-i] = near
			go g.Serve(far, &msg.Run{
				RequestID: fmt.Sprint(i), Service: "s", Instance: "i", TimeoutMS: 60000, Method: "GET", URI: "/", Host: "a", Class: team,
				Hints: msg.AdmissionHints{ExpectedMS: 1000},
			})
			for l := g.all()[0].load(); int(l.Running+l.Queued) < min(i+1, 6); l = g.all()[0].load() {
				assert.NilError(t, ctx.Err())
				time.Sleep(time.Millisecond)
			}
		}
		m, err := streams[refusedIndex].Recv(ctx)
		assert.NilError(t, err)
		fail, ok := m.(*msg.Fail)
		assert.Assert(t, ok && fail.Verdict == verdict.NotRun && fail.RetryAfterMS > 0)
		assert.Equal(t, fail.Reason == verdict.ReasonTeamShare, fairShares)
	}
}
