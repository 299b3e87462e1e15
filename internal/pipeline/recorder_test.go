package pipeline

import (
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
