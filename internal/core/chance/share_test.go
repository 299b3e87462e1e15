package chance

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestAShareFollowsOutcomesAndIsForgotten(t *testing.T) {
	now := time.Unix(1000, 0)
	var s Share
	assert.Equal(t, s.At(now), 0.0)
	for range 30 {
		s.Observe(now, true)
	}
	assert.Assert(t, s.At(now) > 0.9)
	for range 10 {
		s.Observe(now, false)
	}
	assert.Assert(t, s.At(now) < 0.4)
	told := ShareAt(now, 0.8)
	assert.Assert(t, told.At(now.Add(3*time.Second)) < 0.41)
	assert.Assert(t, told.At(now.Add(-time.Second)) <= 0.8, "a clock that is behind does not raise it")
}
