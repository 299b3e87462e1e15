package target

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against refused requests that count as runs, and against slots that look free while
// they are in use: the soak compares both with what hosts report.
func TestArrivalsAndFullSlots(t *testing.T) {
	s, err := Start(Config{Name: "a", Address: "127.0.74.1:0", Slots: 1, ServiceTime: 50 * time.Millisecond})
	assert.NilError(t, err)
	defer s.Stop()
	for i, status := range []int{http.StatusOK, http.StatusServiceUnavailable} {
		s.SetBehaviour(Behaviour{Mode: []Mode{Good, Refuse}[i], Share: 1})
		req, err := http.NewRequest(http.MethodPost, "http://"+s.Address()+"/x", nil)
		assert.NilError(t, err)
		req.Header.Set(MarkHeader, "m")
		resp, err := http.DefaultClient.Do(req)
		assert.NilError(t, err)
		_ = resp.Body.Close()
		assert.Equal(t, resp.StatusCode, status)
	}
	runs := s.Runs()
	assert.Equal(t, runs.ByMark["m"], 1)
	assert.Equal(t, len(runs.Arrivals["m"]), 2)
	assert.Equal(t, len(runs.Full), 1)
	assert.Assert(t, runs.Full[0].To-runs.Full[0].From >= 45, "%v", runs.Full)
}
