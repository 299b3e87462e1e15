package objects_test

import (
	"context"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/radishhoist/radishhoist/internal/objects"
	"github.com/radishhoist/radishhoist/internal/standin/memnet"
	"github.com/radishhoist/radishhoist/internal/standin/platformd"
	"github.com/radishhoist/radishhoist/record"
)

// A read that started while the platform was unresponsive must succeed soon after the
// platform responds to new connections, although its first connection never gets a response.
func TestReadSucceedsSoonAfterPlatformRecovers(t *testing.T) {
	for unresponsiveFor := 100 * time.Millisecond; unresponsiveFor < objects.ReadTimeout-objects.RetryInterval; unresponsiveFor += 100 * time.Millisecond {
		synctest.Test(t, func(t *testing.T) {
			platform, client, _, stop := startPlatform(t)
			defer stop()
			platform.SetFaults(platformd.Faults{Silent: true})
			go func() {
				time.Sleep(unresponsiveFor)
				platform.SetFaults(platformd.Faults{})
			}()
			start := time.Now()
			_, err := client.List(context.Background())
			assert.NilError(t, err, "%s", unresponsiveFor)
			waited := time.Since(start) - unresponsiveFor
			assert.Assert(t, waited <= objects.RetryInterval, "unresponsive for %s, read completed %s after recovery", unresponsiveFor, waited)
		})
	}
}

// The response of a slow platform is used. The call then costs up to four attempts instead
// of one.
func TestSlowResponseIsUsed(t *testing.T) {
	for _, c := range []struct {
		slow  time.Duration
		calls int64
	}{{200 * time.Millisecond, 1}, {time.Second, 2}, {1900 * time.Millisecond, 3}, {2100 * time.Millisecond, 4}, {2700 * time.Millisecond, 4}} {
		synctest.Test(t, func(t *testing.T) {
			platform, client, _, stop := startPlatform(t)
			defer stop()
			platform.SetFaults(platformd.Faults{SlowMS: int(c.slow.Milliseconds())})
			start := time.Now()
			_, err := client.List(context.Background())
			assert.NilError(t, err)
			assert.Equal(t, time.Since(start), c.slow)
			assert.Equal(t, platform.Counts().Reads, c.calls, "%s", c.slow)
		})
	}
}

// If the platform is unresponsive, reads and watches time out and are no longer retried.
func TestReadTimesOutWhilePlatformIsUnresponsive(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		platform, client, _, stop := startPlatform(t)
		defer stop()
		platform.SetFaults(platformd.Faults{Silent: true})
		start := time.Now()
		_, err := client.List(context.Background())
		assert.ErrorContains(t, err, "no data received")
		assert.Equal(t, time.Since(start), objects.ReadTimeout)
		assert.Equal(t, platform.Counts().Reads, int64(5))

		start = time.Now()
		_, err = client.Watch(context.Background(), "", 0, 1)
		assert.ErrorContains(t, err, "no data received")
		assert.Equal(t, time.Since(start), testWatchWait+objects.ReadTimeout)
	})
}

// A write is sent only once, even without a response.
func TestWriteIsNotRetried(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		platform, client, _, stop := startPlatform(t)
		defer stop()
		platform.SetFaults(platformd.Faults{Silent: true})
		start := time.Now()
		_, err := client.Put(context.Background(), record.Key{Kind: record.KindTeam, Name: "a"}, []byte("{}"), 0)
		assert.ErrorContains(t, err, "no data received")
		assert.Equal(t, time.Since(start), objects.WriteTimeout)
		assert.Equal(t, platform.Counts().Writes, int64(1))
	})
}

// A refusal is a response, so the read is not retried.
func TestRefusedReadIsNotRetried(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		platform, client, _, stop := startPlatform(t)
		defer stop()
		platform.SetFaults(platformd.Faults{Outage: true})
		_, err := client.List(context.Background())
		assert.ErrorContains(t, err, "503")
		assert.Equal(t, platform.Counts().Reads, int64(1))
	})
}

// trickleServer serves a list in small pieces with a pause before each. The first
// stalledCalls responses stop after the first piece.
type trickleServer struct {
	pieces       int
	pause        time.Duration
	stalledCalls int64
	calls        atomic.Int64
}

func (s *trickleServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	call := s.calls.Add(1)
	flush := w.(http.Flusher).Flush
	_, _ = w.Write([]byte(`{"revision":7,"objects":[`))
	flush()
	if call <= s.stalledCalls {
		<-r.Context().Done()
		return
	}
	for range s.pieces {
		time.Sleep(s.pause)
		_, _ = w.Write([]byte(" "))
		flush()
	}
	_, _ = w.Write([]byte("]}"))
}

func startTrickleServer(s *trickleServer) (*objects.Client, func()) {
	listener := memnet.Listen()
	server := &http.Server{Handler: s}
	go func() { _ = server.Serve(listener) }()
	client := objects.NewClient("http://platform", testWatchWait)
	client.SetDial(listener.Dial)
	return client, func() {
		client.Close()
		_ = server.Close()
		time.Sleep(time.Minute)
	}
}

// A list that takes longer than all timeouts is neither retried nor abandoned while data
// arrives. A list that stalls midway is retried.
func TestListIsRetriedOnlyIfItStalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &trickleServer{pieces: 100, pause: objects.LateThreshold - time.Millisecond}
		client, stop := startTrickleServer(s)
		defer stop()
		page, err := client.List(context.Background())
		assert.NilError(t, err)
		assert.Equal(t, page.Revision, int64(7))
		assert.Equal(t, s.calls.Load(), int64(1))
	})
	synctest.Test(t, func(t *testing.T) {
		s := &trickleServer{pieces: 3, pause: 10 * time.Millisecond, stalledCalls: 1}
		client, stop := startTrickleServer(s)
		defer stop()
		start := time.Now()
		_, err := client.List(context.Background())
		assert.NilError(t, err)
		assert.Equal(t, s.calls.Load(), int64(2))
		assert.Assert(t, time.Since(start) <= objects.LateThreshold+50*time.Millisecond)
	})
}
