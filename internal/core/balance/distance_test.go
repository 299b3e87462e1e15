package balance

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A sample must compare the areas with few candidates elsewhere, use what is near first, and
// reach elsewhere only where the area has none.
func TestSampleByDistance(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	group := func(from, n int) []int {
		out := make([]int, n)
		for i := range out {
			out[i] = from + i
		}
		return out
	}
	for _, c := range []struct {
		name    string
		sizes   [3]int
		spilled bool
		want    [3]int
	}{
		{"large groups", [3]int{15, 15, 30}, false, [3]int{6, 4, 2}},
		{"spilled", [3]int{15, 15, 30}, true, [3]int{4, 3, 5}},
		{"a small data centre", [3]int{2, 15, 30}, false, [3]int{2, 8, 2}},
		{"a small area", [3]int{1, 2, 30}, false, [3]int{1, 2, 2}},
		{"the area is lost", [3]int{0, 0, 30}, false, [3]int{0, 0, 12}},
		{"all fit", [3]int{2, 2, 8}, false, [3]int{2, 2, 8}},
	} {
		t.Run(c.name, func(t *testing.T) {
			groups := [3][]int{group(0, c.sizes[0]), group(100, c.sizes[1]), group(200, c.sizes[2])}
			var got [3]int
			for _, i := range SampleByDistance(rng, groups, c.spilled) {
				got[i/100]++
			}
			assert.Equal(t, got, c.want)
		})
	}
}

// A transfer must cost its price, and the wait must count what is queued and running.
func TestTransferPriceAndWait(t *testing.T) {
	near, far := idle(), idle()
	far.TransferPrice = 450 * time.Millisecond
	w := nonRetryable()
	assert.Assert(t, Cost(far, w)-Cost(near, w) > 0.449 && Cost(far, w)-Cost(near, w) < 0.451)
	assert.Equal(t, Wait(near), time.Duration(0))
	near.Running, near.QueuedWork = 4, 800*time.Millisecond
	assert.Equal(t, Wait(near), 300*time.Millisecond)
}
