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

// A read that was sent into a silence is answered as soon as the platform answers new
// connections, though the connection it went out on never answers again.
func TestAReadIsAnsweredSoonAfterASilence(t *testing.T) {
	for silence := 100 * time.Millisecond; silence < objects.ReadTimeout-objects.RetryInterval; silence += 100 * time.Millisecond {
		synctest.Test(t, func(t *testing.T) {
			platform, client, _, stop := startPlatform(t)
			defer stop()
			platform.SetFaults(platformd.Faults{Silent: true})
			go func() {
				time.Sleep(silence)
				platform.SetFaults(platformd.Faults{})
			}()
			start := time.Now()
			_, err := client.List(context.Background())
			assert.NilError(t, err, "%s", silence)
			waited := time.Since(start) - silence
			assert.Assert(t, waited <= objects.RetryInterval, "silent for %s, answered %s later", silence, waited)
		})
	}
}

// A platform that only answers slowly is heard, and pays for it with at most four
// calls in place of one.
func TestASlowPlatformIsHeard(t *testing.T) {
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

// A silent platform is not asked for ever: the call ends, and its tries with it.
func TestAReadEndsWhileThePlatformIsSilent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		platform, client, _, stop := startPlatform(t)
		defer stop()
		platform.SetFaults(platformd.Faults{Silent: true})
		start := time.Now()
		_, err := client.List(context.Background())
		assert.ErrorContains(t, err, "no byte")
		assert.Equal(t, time.Since(start), objects.ReadTimeout)
		assert.Equal(t, platform.Counts().Reads, int64(5))

		start = time.Now()
		_, err = client.Watch(context.Background(), "", 0, 1)
		assert.ErrorContains(t, err, "no byte")
		assert.Equal(t, time.Since(start), testWatchWait+objects.ReadTimeout)
	})
}

// A write is sent once, whatever becomes of its answer.
func TestAWriteIsSentOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		platform, client, _, stop := startPlatform(t)
		defer stop()
		platform.SetFaults(platformd.Faults{Silent: true})
		start := time.Now()
		_, err := client.Put(context.Background(), record.Key{Kind: record.KindTeam, Name: "a"}, []byte("{}"), 0)
		assert.ErrorContains(t, err, "no byte")
		assert.Equal(t, time.Since(start), objects.WriteTimeout)
		assert.Equal(t, platform.Counts().Writes, int64(1))
	})
}

// A refusal is an answer: nothing is tried again beside it.
func TestARefusalIsNotTriedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		platform, client, _, stop := startPlatform(t)
		defer stop()
		platform.SetFaults(platformd.Faults{Outage: true})
		_, err := client.List(context.Background())
		assert.ErrorContains(t, err, "503")
		assert.Equal(t, platform.Counts().Reads, int64(1))
	})
}

// dripping serves a list in pieces, the pause between them given; stalls are how many
// of its first answers stop after their first piece.
type dripping struct {
	pieces int
	pause  time.Duration
	stalls int64
	calls  atomic.Int64
}

func (d *dripping) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	call := d.calls.Add(1)
	flush := w.(http.Flusher).Flush
	_, _ = w.Write([]byte(`{"revision":7,"objects":[`))
	flush()
	if call <= d.stalls {
		<-r.Context().Done()
		return
	}
	for range d.pieces {
		time.Sleep(d.pause)
		_, _ = w.Write([]byte(" "))
		flush()
	}
	_, _ = w.Write([]byte("]}"))
}

func startDripping(d *dripping) (*objects.Client, func()) {
	listener := memnet.Listen()
	server := &http.Server{Handler: d}
	go func() { _ = server.Serve(listener) }()
	client := objects.NewClient("http://platform", testWatchWait)
	client.SetDial(listener.Dial)
	return client, func() {
		client.Close()
		_ = server.Close()
		time.Sleep(time.Minute)
	}
}

// The list of a large fleet flows for longer than any limit: it is neither sent again
// nor given up. One that stops midway is.
func TestALongListIsLeftToFlow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := &dripping{pieces: 100, pause: objects.UsualAnswer - time.Millisecond}
		client, stop := startDripping(d)
		defer stop()
		page, err := client.List(context.Background())
		assert.NilError(t, err)
		assert.Equal(t, page.Revision, int64(7))
		assert.Equal(t, d.calls.Load(), int64(1))
	})
	synctest.Test(t, func(t *testing.T) {
		d := &dripping{pieces: 3, pause: 10 * time.Millisecond, stalls: 1}
		client, stop := startDripping(d)
		defer stop()
		start := time.Now()
		_, err := client.List(context.Background())
		assert.NilError(t, err)
		assert.Equal(t, d.calls.Load(), int64(2))
		assert.Assert(t, time.Since(start) <= objects.UsualAnswer+50*time.Millisecond)
	})
}
