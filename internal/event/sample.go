package event

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// sampleInterval means that one in sampleInterval ordinary requests is logged. All hosts
// select the same requests, so that the log lines of a request are complete.
const sampleInterval = 32

// Sampled reports whether the ordinary request with this ID is logged.
func Sampled(requestID string) bool { return xxhash.Sum64String(requestID)%sampleInterval == 0 }

const (
	// maxLinesPerSecond bounds the lines that one Limiter allows. It lets every failed
	// request be logged at a host's peak of 81 requests per second, and costs about 1 %
	// of a core when the limit is reached.
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

// Allow reports whether a line may be logged and how many lines were suppressed since
// the last one allowed, which the caller logs with the line.
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
