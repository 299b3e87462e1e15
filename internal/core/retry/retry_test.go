package retry

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func TestBudgetBoundsTheWork(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		share := float64(rapid.IntRange(1, 50).Draw(t, "percent")) / 100
		b := NewBudget(share)
		fresh, retries := 0, 0
		for range rapid.IntRange(1, 2000).Draw(t, "requests") {
			fresh++
			b.Fresh()
			for b.Take() {
				retries++
			}
		}
		assert.Assert(t, float64(retries) <= share*float64(fresh)+initialTokens)
	})
}
