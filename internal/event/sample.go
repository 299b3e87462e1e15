package event

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// One in sampleDivisor ordinary requests is logged. The selection depends only on the
// request ID, so that every host that handles a request logs it, or none does.
const sampleDivisor = 32

// Sampled reports whether the ordinary request with this ID is logged.
func Sampled(requestID string) bool { return xxhash.Sum64String(requestID)%sampleDivisor == 0 }

const (
	// maxLinesPerSecond limits the lines that one Limiter allows. At a host's peak of 81
	// requests per second, every failed request can be logged. At the limit, logging costs
	// about 1 % of a core.
	maxLinesPerSecond = 200
)

// Limiter limits the log lines of one kind per second and counts those it suppresses.
type Limiter struct {
	mu sync.Mutex
	// windowEnd is when the current one-second window ends, and remaining the number
	// of lines still allowed in it.
	windowEnd time.Time
	remaining int
	// unreported counts the suppressed lines that Allow has not yet returned.
	unreported uint64
}

// Allow reports whether a line may be logged. If so, suppressed is the number of lines
// suppressed since the last allowed one, which the caller includes in the line.
func (l *Limiter) Allow(now time.Time) (suppressed uint64, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !now.Before(l.windowEnd) {
		l.windowEnd, l.remaining = now.Add(time.Second), maxLinesPerSecond
	}
	if l.remaining == 0 {
		l.unreported++
		return 0, false
	}
	l.remaining--
	suppressed, l.unreported = l.unreported, 0
	return suppressed, true
}
