package chance

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestDecayingShareFollowsOutcomesAndDecays(t *testing.T) {
	now := time.Unix(1000, 0)
	var s DecayingShare
	assert.Equal(t, s.At(now), 0.0)
	for range 30 {
		s.Observe(now, true)
	}
	assert.Assert(t, s.At(now) > 0.9)
	for range 10 {
		s.Observe(now, false)
	}
	assert.Assert(t, s.At(now) < 0.4)
	reported := DecayingShareAt(now, 0.8)
	assert.Assert(t, reported.At(now.Add(3*time.Second)) < 0.41)
	assert.Assert(t, reported.At(now.Add(-time.Second)) <= 0.8, "a time before the report must not raise the value")
}
