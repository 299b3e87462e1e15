package front

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestHedgeDelayExceedsUsualServiceTimes(t *testing.T) {
	var l latency
	for i := range 4 * latencyWindow {
		l.add(time.Duration(10+i%20) * time.Millisecond)
	}
	assert.Assert(t, l.hedgeDelay(time.Second) > 29*time.Millisecond, "hedge delay %s is within the usual service times", l.hedgeDelay(time.Second))
}
