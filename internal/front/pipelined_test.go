package front

import (
	"net/http/httptest"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/radishhoist/radishhoist/record"
)

// Only requests that are idempotent by their route may overlap, and none once the host drains:
// its responses close their connections, and what has started behind them ran in vain.
func TestOnlyIdempotentRequestsOverlap(t *testing.T) {
	f, _ := serveFront(t, record.Limits{}, 8)
	overlaps := func(method, path string) bool {
		recordBytes, ok := f.mayOverlap(httptest.NewRequest(method, path, nil))
		assert.Equal(t, ok, recordBytes > 0)
		return ok
	}
	assert.Assert(t, overlaps("GET", "/a/x"))
	assert.Assert(t, !overlaps("GET", "/none"))
	assert.Assert(t, !overlaps("GET", "/unsafe/x"))
	f.Drain()
	assert.Assert(t, !overlaps("GET", "/a/x"))
}
