package event

import (
	"io"
	"sync"
	"sync/atomic"
)

// sinkQueueSize is the capacity of a Sink's queue, in lines. It holds about two seconds
// of output of the busiest host, at most 2 MB.
const sinkQueueSize = 4096

// Sink is an asynchronous line writer with a bounded queue. Write never blocks: if the
// queue is full, the line is dropped and counted.
type Sink struct {
	lines   chan []byte
	done    chan struct{}
	dropped atomic.Uint64

	mu     sync.RWMutex
	closed bool
}

// NewSink starts a Sink that writes to w.
func NewSink(w io.Writer) *Sink {
	s := &Sink{lines: make(chan []byte, sinkQueueSize), done: make(chan struct{})}
	go func() {
		defer close(s.done)
		for line := range s.lines {
			if _, err := w.Write(line); err != nil {
				// The error cannot be logged, because this is the log output.
				s.dropped.Add(1)
			}
		}
	}()
	return s
}

// Write implements io.Writer. It never returns an error, even if it drops the line.
func (s *Sink) Write(line []byte) (int, error) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	if s.closed {
		s.dropped.Add(1)
		return len(line), nil
	}
	// The caller reuses its buffer after Write returns.
	lineCopy := append([]byte(nil), line...)
	select {
	case s.lines <- lineCopy:
	default:
		s.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines dropped since the start.
func (s *Sink) Dropped() uint64 { return s.dropped.Load() }

// Close writes the queued lines and stops the writing goroutine. Lines written to the Sink
// later are dropped.
func (s *Sink) Close() {
	s.mu.Lock()
	if !s.closed {
		s.closed = true
		close(s.lines)
	}
	s.mu.Unlock()
	<-s.done
}
