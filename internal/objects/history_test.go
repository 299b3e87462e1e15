package objects

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"
)

func TestHistoryOfResponse(t *testing.T) {
	transport := &Transport{HistoryHeader: "H"}
	for value, want := range map[string]int64{
		"": 0, "0": 0, "3": 3, "-1": 0, "many": 0, "9000000000": maxHistory, "99999999999999999999": 0,
	} {
		got := transport.history(http.Header{"H": {value}})
		assert.Equal(t, got, want, value)
		assert.Assert(t, VersionAt(got, revisionsPerHistory-1) >= 0)
	}
	version := VersionAt(2, 31)
	assert.Equal(t, HistoryOf(version), int64(2))
	assert.Equal(t, RevisionOf(version), int64(31))
	assert.Equal(t, VersionAt(0, 31), int64(31))
}
