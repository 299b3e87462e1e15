package pipeline

import (
	"io"
	"log"
	"math/rand/v2"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// slowWriter takes 20 s for each write and keeps the time that was left for it.
type slowWriter struct {
	deadlineWriter
	left []time.Duration
}

func (w *slowWriter) WriteHeader(int) {}
func (w *slowWriter) Write(p []byte) (int, error) {
	w.left = append(w.left, time.Until(w.deadline))
	time.Sleep(20 * time.Second)
	return len(p), nil
}

// Guards against a write deadline that the handler sets while the recorded part is being
// forwarded and that is then lost: the rest of the response of a slow caller is cut off early.
func TestWriteDeadlineSetDuringForwardIsKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rec, w := newRecorder(testRecordBytes), &slowWriter{}
		write := func() {
			assert.NilError(t, http.NewResponseController(rec).SetWriteDeadline(time.Now().Add(30*time.Second)))
			_, err := rec.Write([]byte("x"))
			assert.NilError(t, err)
		}
		write()
		done := make(chan error)
		go func() { done <- rec.forward(w) }()
		time.Sleep(15 * time.Second)
		write()
		assert.NilError(t, <-done)
		assert.DeepEqual(t, w.left, []time.Duration{30 * time.Second, 30 * time.Second})
	})
}

// Guards against reservations that are not returned, after which no request starts ahead any
// more, and against more of them than the bound permits over all connections.
func TestReservedBytesAreBoundedAndReturned(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const bound = 3 * testRecordBytes
		p := New(Config{
			Depth: testDepth, MaxHeaderBytes: testHeaderBytes, MaxRecordBytes: bound, Started: func() {},
			MayOverlap: func(*http.Request) (int, bool) { return testRecordBytes, true },
		}, http.HandlerFunc(randomHandler))
		s := &server{listener: &pipeListener{conns: make(chan net.Conn)}, http: &http.Server{Handler: p, ConnContext: p.ConnContext, ErrorLog: log.New(io.Discard, "", 0)}}
		go func() { _ = s.http.Serve(p.Listener(s.listener)) }()
		defer s.stop()
		reached := false
		for seed := range uint64(200) {
			nc := s.send(randomRequests(rand.New(rand.NewPCG(seed, 5)))...)
			go func() {
				if seed%3 == 0 {
					time.Sleep(time.Duration(seed) * time.Millisecond / 4)
					_ = nc.Close()
				}
				_, _ = io.Copy(io.Discard, nc)
			}()
			time.Sleep(5 * time.Millisecond)
			assert.Assert(t, p.reserved.Load() <= bound)
			reached = reached || p.reserved.Load() == bound
		}
		time.Sleep(time.Minute)
		assert.Assert(t, reached)
		assert.Equal(t, p.reserved.Load(), int64(0))
	})
}
