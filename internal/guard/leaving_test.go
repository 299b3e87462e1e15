package guard

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/radishhoist/radishhoist/internal/core/directory"
	"github.com/radishhoist/radishhoist/internal/core/header"
)

// A delayed announcement must not bring back an instance whose responses say that it is
// leaving. Another start of it is not affected.
func TestStatedLeavingOutlastsAnnouncements(t *testing.T) {
	const address = "127.0.0.1:1"
	g := newTestGuard(t, address)
	g.cfg.Dialect = header.Default()
	state := func() directory.InstanceState {
		inst, ok := g.find("s", "n")
		assert.Assert(t, ok)
		return inst.announced().State
	}
	assert.Equal(t, sendAnnouncement(g, http.MethodPut, "n", readyBody(address, 1000, 1)), http.StatusOK)
	inst, _ := g.find("s", "n")
	inst.observeLeaving(http.Header{})
	assert.Equal(t, state(), directory.Serving)
	changes := 0
	g.onChanged = func() { changes++ }
	stated := http.Header{header.Default().Leaving: {"1"}}
	inst.observeLeaving(stated)
	inst.observeLeaving(stated)
	assert.Equal(t, changes, 1)
	assert.Equal(t, state(), directory.Leaving)
	assert.Equal(t, inst.queue.Offer(time.Now(), requestOf(time.Now(), &inst.nextID))[0].RetryAfter, time.Duration(0))

	assert.Equal(t, sendAnnouncement(g, http.MethodPut, "n", readyBody(address, 1000, 2)), http.StatusOK)
	assert.Equal(t, state(), directory.Leaving)
	assert.Equal(t, sendAnnouncement(g, http.MethodPut, "n", readyBody("127.0.0.1:2", 1000, 3)), http.StatusOK)
	assert.Equal(t, state(), directory.Leaving, "the same start at another address")
	assert.Equal(t, sendAnnouncement(g, http.MethodPut, "n", readyBody(address, 5000, 1)), http.StatusOK)
	assert.Equal(t, state(), directory.Serving)
}
