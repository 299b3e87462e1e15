package event

import (
	"bytes"
	"fmt"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// blockingWriter blocks every write until it is released.
type blockingWriter struct {
	release chan struct{}
	mu      sync.Mutex
	lines   int
}

func (w *blockingWriter) Write(p []byte) (int, error) {
	<-w.release
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lines++
	return len(p), nil
}

// A blocked output does not block callers, and dropped lines are counted.
func TestBlockedOutputDoesNotBlockCallers(t *testing.T) {
	out := &blockingWriter{release: make(chan struct{})}
	s := NewSink(out)
	const lines = 3 * sinkQueueSize
	for range lines {
		n, err := s.Write([]byte("line\n"))
		assert.NilError(t, err)
		assert.Equal(t, n, 5)
	}
	assert.Assert(t, s.Dropped() >= lines-sinkQueueSize-1)
	close(out.release)
	s.Close()
	assert.Equal(t, uint64(out.lines)+s.Dropped(), uint64(lines))
	_, err := s.Write([]byte("late\n"))
	assert.NilError(t, err)
	s.Close()
}

func TestSinkPreservesOrderAndContent(t *testing.T) {
	var out, want bytes.Buffer
	s := NewSink(&out)
	buf := make([]byte, 0, 64)
	for i := range 100 {
		buf = fmt.Appendf(buf[:0], "line %d\n", i)
		want.Write(buf)
		_, err := s.Write(buf)
		assert.NilError(t, err)
	}
	s.Close()
	assert.Equal(t, out.String(), want.String())
}

func TestLimiterCountsSuppressedLines(t *testing.T) {
	var l Limiter
	now := time.Unix(100, 0)
	for range maxLinesPerSecond {
		_, ok := l.Allow(now)
		assert.Assert(t, ok)
	}
	for range 7 {
		_, ok := l.Allow(now)
		assert.Assert(t, !ok)
	}
	suppressed, ok := l.Allow(now.Add(time.Second))
	assert.Assert(t, ok)
	assert.Equal(t, suppressed, uint64(7))
}

func TestSamplingIsDeterministic(t *testing.T) {
	n := 0
	for i := range 32000 {
		id := fmt.Sprint("request-", i)
		assert.Equal(t, Sampled(id), Sampled(id))
		if Sampled(id) {
			n++
		}
	}
	assert.Assert(t, n > 800 && n < 1200, "%d", n)
}
