package front

import (
	"io"
	"log/slog"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/radishhoist/radishhoist/internal/core/directory"
	"github.com/radishhoist/radishhoist/record"
)

// newLeavingTest returns a service with one instance, and a function that applies a directory in
// which the given process of its host announces the given start of the instance.
func newLeavingTest() (*serviceState, func(incarnation uint64, startedMS int64) *target) {
	st := &serviceState{latencies: make(map[string]*latency), leaving: make(map[string]leavingMark)}
	p := newPaths(slog.New(slog.NewTextHandler(io.Discard, nil)))
	return st, func(incarnation uint64, startedMS int64) *target {
		host := &directory.Host{Name: "h", Alive: true, Incarnation: incarnation}
		st.update(&directory.Service{Record: &record.Service{}, Targets: []*directory.Target{
			{Instance: &directory.Instance{Name: "i", Service: "s", Slots: 4, StartedMS: startedMS}, Host: host},
		}}, p, Config{})
		return st.targets[0]
	}
}

// An instance that has stated to this host that it is leaving must not look ready again because
// its host's process has restarted and received a delayed announcement. A new start of the
// instance gets requests.
func TestLeavingInstanceIsRememberedAcrossHostRestart(t *testing.T) {
	st, update := newLeavingTest()
	first := update(1, 100)
	assert.Assert(t, first.Usable())
	st.recordLeaving(time.Now(), first)
	assert.Assert(t, !update(1, 100).Usable())
	assert.Assert(t, !update(2, 900).Usable(), "announced again by a new process of the host")
	assert.Assert(t, !update(2, 900).Usable())
	assert.Equal(t, len(st.candidates.eligible), 0)
	assert.Assert(t, update(2, 1500).Usable(), "a new start")
	assert.Equal(t, len(st.candidates.eligible), 1)

	st.recordLeaving(time.Now().Add(-leavingMemory-time.Second), st.targets[0])
	assert.Assert(t, update(3, 2000).Usable(), "longer ago than announcements are delayed")
}

// The response that states the leaving may arrive after its host's process has restarted.
func TestLeavingIsRecordedForLaterDirectory(t *testing.T) {
	st, update := newLeavingTest()
	first := update(1, 100)
	second := update(2, 900)
	st.recordLeaving(time.Now(), first)
	assert.Assert(t, !second.Usable())
}
