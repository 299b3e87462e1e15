// Package retry bounds the work that retries and hedges add.
package retry

// Budget is a token bucket that fresh requests fill: with a share of 0.1, ten
// fresh requests pay for one retry. It starts almost empty and holds little,
// so that under total failure the work sent stays within 1+share of the fresh
// requests, plus the initial tokens once. It is not safe for concurrent use.
type Budget struct {
	share  float64
	tokens float64
}

const (
	// initialTokens lets a front that has just started retry once.
	initialTokens = 1
	// maxTokens bounds the retries that can come at once after a calm time.
	maxTokens = 10
)

// NewBudget makes a budget of share retries a fresh request.
func NewBudget(share float64) *Budget {
	return &Budget{share: share, tokens: initialTokens}
}

// SetShare changes the share.
func (b *Budget) SetShare(share float64) { b.share = share }

// Fresh records one fresh request.
func (b *Budget) Fresh() { b.tokens = min(b.tokens+b.share, maxTokens) }

// Take pays for one retry and reports whether there was a token.
func (b *Budget) Take() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
