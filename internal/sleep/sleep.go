// Package sleep waits for a time that a context can end sooner.
package sleep

import (
	"context"
	"time"
)

// For waits for d and reports whether it has passed: false where the context ended
// before.
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
