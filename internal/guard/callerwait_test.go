package guard

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"gotest.tools/v3/assert"

	"github.com/radishhoist/radishhoist/internal/msg"
	"github.com/radishhoist/radishhoist/internal/wire"
	"github.com/radishhoist/radishhoist/verdict"
)

// partialUpload is an upload of which only the first chunk has been sent.
type partialUpload struct {
	near wire.Stream
}

// startPartialUpload starts an upload that gets a slot.
func startPartialUpload(t *testing.T, g *Guard) partialUpload {
	t.Helper()
	near, far := wire.Pipe()
	t.Cleanup(near.Close)
	go g.Serve(far, &msg.Reserve{RequestID: "upload", Service: "s", Instance: "i", TimeoutMS: 60000, Hints: msg.AdmissionHints{ObjectiveMS: 1}})
	_, ok := recv(t, near).(*msg.Grant)
	assert.Assert(t, ok)
	run := &msg.Run{
		RequestID: "upload", Service: "s", Instance: "i", TimeoutMS: 60000, Reserved: true,
		Method: http.MethodPost, URI: "/", Host: "x", BodyLength: 1 << 20,
	}
	assert.NilError(t, near.Send(context.Background(), run, &msg.Data{Bytes: make([]byte, wire.ChunkSize)}))
	return partialUpload{near: near}
}

// recv receives the next message.
func recv(t *testing.T, s wire.Stream) msg.Message {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	m, err := s.Recv(ctx)
	assert.NilError(t, err)
	return m
}

// awaitCallerWaits waits until n running requests wait for their callers.
func awaitCallerWaits(t *testing.T, inst *instance, n int) {
	t.Helper()
	waits := func() (count int) {
		inst.mu.Lock()
		defer inst.mu.Unlock()
		for _, w := range inst.waiters {
			if !w.caller.since.IsZero() {
				count++
			}
		}
		return count
	}
	for end := time.Now().Add(20 * time.Second); waits() != n; time.Sleep(time.Millisecond) {
		assert.Assert(t, time.Now().Before(end))
	}
}

// Guards against uploads that stop short and keep all slots of an instance until their deadline:
// for each request that waits for a slot, one is aborted. The instance may have begun with it, and
// did nothing wrong.
func TestStalledUploadGivesItsSlotToWaitingRequest(t *testing.T) {
	target := startScriptedTarget(t, targetBehaviour{executes: true, response: "200 OK\r\nContent-Length: 10\r\n\r\n" + completeBody})
	g := newTestGuard(t, target.listener.Addr().String())
	uploads := []partialUpload{startPartialUpload(t, g), startPartialUpload(t, g)}
	inst := g.all()[0]
	awaitCallerWaits(t, inst, len(uploads))
	later := time.Now().Add(stallTimeout + time.Second)
	inst.tick(later)
	awaitCallerWaits(t, inst, len(uploads)) // nobody needs the slots

	end := make(chan msg.Message, 1)
	go func() {
		end <- reserveAndRun(t, g, &msg.Run{RequestID: "r", Service: "s", Instance: "i", TimeoutMS: 20000, Reserved: true, Method: http.MethodGet, URI: "/", Host: "x"})
	}()
	for queued := 0; queued == 0; time.Sleep(time.Millisecond) {
		inst.mu.Lock()
		queued = inst.queue.Queued()
		inst.mu.Unlock()
	}
	inst.tick(time.Now())
	awaitCallerWaits(t, inst, len(uploads)) // not long enough
	inst.tick(later)
	_, ok := (<-end).(*msg.End)
	assert.Assert(t, ok)
	awaitCallerWaits(t, inst, 1)

	inst.mu.Lock()
	failed, estimate := inst.counts.Failed, inst.failureEstimate.SickForSelection(time.Now(), g.model)
	inst.mu.Unlock()
	assert.Equal(t, failed, uint64(0))
	assert.Assert(t, estimate < trialFailureThreshold, "%v", estimate)
	assert.Equal(t, g.counts.stalledCallers.Get(), uint64(1))
}

// An upload that its caller breaks off is no failure of the instance, and may have run.
func TestUploadThatBreaksOffIsNoFailureOfInstance(t *testing.T) {
	target := startScriptedTarget(t, targetBehaviour{executes: true, response: "200 OK\r\nContent-Length: 0\r\n\r\n"})
	g := newTestGuard(t, target.listener.Addr().String())
	upload := startPartialUpload(t, g)
	inst := g.all()[0]
	awaitCallerWaits(t, inst, 1)
	assert.NilError(t, upload.near.Send(context.Background(), &msg.Cancel{}))
	fail, ok := recv(t, upload.near).(*msg.Fail)
	assert.Assert(t, ok)
	assert.Equal(t, fail.Verdict, verdict.MayHaveRun)
	assert.Equal(t, fail.Reason, verdict.ReasonCancelled)
	inst.mu.Lock()
	defer inst.mu.Unlock()
	assert.Equal(t, inst.counts.Failed, uint64(0))
}

// A body with the wrong hash does not reach the instance as a whole one.
func TestCorruptedUploadIsAborted(t *testing.T) {
	target := startScriptedTarget(t, targetBehaviour{executes: true, response: "200 OK\r\nContent-Length: 0\r\n\r\n"})
	g := newTestGuard(t, target.listener.Addr().String())
	upload := startPartialUpload(t, g)
	assert.NilError(t, upload.near.Send(context.Background(), &msg.End{Length: 1 << 20, Hash: xxhash.Sum64(nil)}))
	fail, ok := recv(t, upload.near).(*msg.Fail)
	assert.Assert(t, ok)
	assert.Equal(t, fail.Verdict, verdict.MayHaveRun)
}
