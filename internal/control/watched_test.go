package control

import (
	"context"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/radishhoist/radishhoist/internal/core/config"
	"github.com/radishhoist/radishhoist/internal/core/directory"
	"github.com/radishhoist/radishhoist/internal/msg"
	"github.com/radishhoist/radishhoist/internal/objects"
	"github.com/radishhoist/radishhoist/internal/standin/memnet"
	"github.com/radishhoist/radishhoist/internal/standin/platformd"
	"github.com/radishhoist/radishhoist/record"
)

// The figures of a deployment whose configurations are to be in force within 2 s of
// their acknowledgement.
const (
	testBound     = 2 * time.Second
	testWatchWait = time.Second
	testAwayMax   = time.Second
	// testFleetPart is left of the bound for the way from a watcher to all hosts.
	testFleetPart = 500 * time.Millisecond
)

// watched is a host that watches a platform in virtual time.
type watched struct {
	t        *testing.T
	control  *Control
	platform *platformd.Server
	key      record.Key
	version  int64
	stop     func()
}

// startWatched starts a platform and one host that watches it; the host does what
// happens between the two and nothing else.
func startWatched(t *testing.T, awayMax time.Duration) *watched {
	t.Helper()
	w := &watched{t: t, platform: platformd.NewServer(), key: record.Key{Kind: record.KindService, Name: "plans"}}
	listener := memnet.Listen()
	server := &http.Server{Handler: w.platform.Handler()}
	go func() { _ = server.Serve(listener) }()
	client := objects.NewClient("http://platform", testWatchWait)
	client.SetDial(listener.Dial)
	w.control = newOver(client, func(*directory.Directory) {})
	w.control.cfg.MaxRetryInterval = awayMax
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		w.control.watch(ctx)
	}()
	w.stop = func() {
		cancel()
		<-done
		client.Close()
		_ = server.Close()
	}
	return w
}

// change acknowledges a new version of the record.
func (w *watched) change() {
	w.t.Helper()
	value, err := record.Marshal(w.key, &record.Service{Office: "o", Preset: record.PresetQuick, Floor: record.Floor{Percent: 50}})
	assert.NilError(w.t, err)
	obj, ok := w.platform.Store.Put(w.key, value, w.version)
	assert.Assert(w.t, ok)
	w.version = obj.Version
}

// inForce says that the newest acknowledged version is in force at the host.
func (w *watched) inForce() bool {
	w.control.mu.Lock()
	defer w.control.mu.Unlock()
	e, ok := w.control.replica.Set(msg.SetRecords).Get(config.Key{Kind: string(w.key.Kind), Name: w.key.Name})
	return ok && e.Version >= w.version
}

// late waits until the newest version is in force and gives how long that took.
func (w *watched) late() time.Duration {
	start := time.Now()
	for !w.inForce() && time.Since(start) < time.Minute {
		time.Sleep(5 * time.Millisecond)
	}
	return time.Since(start)
}

func (w *watched) silent(silent bool) {
	w.platform.SetFaults(platformd.Faults{Silent: silent})
}
