// Package sleep provides a sleep that ends early when a context is done.
package sleep

import (
	"context"
	"time"
)

// For waits for d and reports whether it has passed. It returns false if ctx is done
// first.
func For(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
