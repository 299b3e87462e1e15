package front

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/radishhoist/radishhoist/internal/msg"
)

// Guards against a front whose own host is paused for longer than a choice waits for replies:
// no host of its data centre replies in time, which says nothing about any of them, and its
// requests must not all leave the data centre.
func TestPauseOfOwnHostDoesNotSendRequestsAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, req, guards := newQueryingFront(3)
		req.state.targets[0].Host.DC = "far"
		guards.delays["h0"] = 30 * time.Millisecond
		for host := range guards.loads {
			guards.loads[host] = msg.Load{Slots: 4, Running: 1}
		}
		_, _ = chooseHost(f, req)
		time.Sleep(2 * localLoadMaxAge)
		host, _ := chooseHost(f, req)
		assert.Assert(t, host != "h0", "all reply in time")
		guards.delays["h1"], guards.delays["h2"] = 5*time.Millisecond, 5*time.Millisecond
		time.Sleep(2 * localLoadMaxAge)
		host, _ = chooseHost(f, req)
		assert.Assert(t, host != "h0", "all replies of this data centre are late")
	})
}
