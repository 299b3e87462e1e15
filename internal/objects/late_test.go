package objects_test

import (
	"context"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/radishhoist/radishhoist/internal/objects"
	"github.com/radishhoist/radishhoist/internal/standin/memnet"
	"github.com/radishhoist/radishhoist/internal/standin/platformd"
)

// testWatchWait is the watchWait of the clients under test.
const testWatchWait = time.Second

// lateCallRecorder records the late calls that a client reports.
type lateCallRecorder struct {
	mu  sync.Mutex
	all []objects.CallReport
}

func (r *lateCallRecorder) record(c objects.CallReport) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.all = append(r.all, c)
}

func (r *lateCallRecorder) drain() []objects.CallReport {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := r.all
	r.all = nil
	return out
}

// startPlatform starts a platform on an in-memory listener and a client for it.
func startPlatform(t *testing.T) (*platformd.Server, *objects.Client, *lateCallRecorder, func()) {
	t.Helper()
	platform := platformd.NewServer()
	listener := memnet.Listen()
	server := &http.Server{Handler: platform.Handler()}
	go func() { _ = server.Serve(listener) }()
	client := objects.NewClient("http://platform", testWatchWait)
	client.SetDial(listener.Dial)
	recorder := &lateCallRecorder{}
	client.Observe(recorder.record)
	return platform, client, recorder, func() {
		client.Close()
		_ = server.Close()
		// Calls that the platform delays must end within the synctest bubble.
		time.Sleep(time.Minute)
	}
}

// A call to an unresponsive platform is reported twice: when it becomes late, and with its
// cause when it fails. Calls that succeed in time are not reported.
func TestLateCallsAreReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		platform, client, recorder, stop := startPlatform(t)
		defer stop()
		ctx := context.Background()
		_, err := client.List(ctx)
		assert.NilError(t, err)
		_, err = client.Watch(ctx, "", 0, 1)
		assert.NilError(t, err)
		assert.Equal(t, len(recorder.drain()), 0)

		platform.SetFaults(platformd.Faults{Silent: true})
		_, err = client.List(ctx)
		assert.ErrorContains(t, err, "platform unavailable")
		calls := recorder.drain()
		assert.Equal(t, len(calls), 2)
		assert.Equal(t, calls[0], objects.CallReport{Call: "GET /v1/objects", Elapsed: objects.LateThreshold})
		assert.Assert(t, calls[1].Ended && calls[1].Cause != nil && calls[1].Elapsed >= objects.LateThreshold)
	})
}

// A slow call is reported when it becomes late and when it succeeds. A call that is refused
// immediately is reported once.
func TestSlowAndRefusedCallsAreReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		platform, client, recorder, stop := startPlatform(t)
		defer stop()
		platform.SetFaults(platformd.Faults{SlowMS: 1000})
		_, err := client.List(context.Background())
		assert.NilError(t, err)
		calls := recorder.drain()
		assert.Equal(t, len(calls), 2)
		assert.Assert(t, calls[1].Ended && calls[1].Cause == nil && calls[1].Attempts == 2)
		assert.Equal(t, calls[1].Elapsed, time.Second)

		platform.SetFaults(platformd.Faults{Outage: true})
		_, err = client.List(context.Background())
		assert.ErrorContains(t, err, "503")
		calls = recorder.drain()
		assert.Equal(t, len(calls), 1)
		assert.Assert(t, calls[0].Ended && calls[0].Cause != nil)
	})
}
