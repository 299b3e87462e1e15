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

// Settings of a deployment in which a configuration must be applied within 2 s of its
// acknowledgement by the platform.
const (
	testApplyLimit       = 2 * time.Second
	testWatchWait        = time.Second
	testMaxRetryInterval = time.Second
	// testReplicationMargin is the part of testApplyLimit that is reserved for replication
	// from a watcher to all hosts.
	testReplicationMargin = 500 * time.Millisecond
)

// watcherTest runs one host as a watcher of a platform in virtual time.
type watcherTest struct {
	t        *testing.T
	control  *Control
	platform *platformd.Server
	key      record.Key
	version  int64
	stop     func()
}

// startWatcherTest starts a platform and a host that runs only the watch loop.
func startWatcherTest(t *testing.T, maxRetryInterval time.Duration) *watcherTest {
	t.Helper()
	w := &watcherTest{t: t, platform: platformd.NewServer(), key: record.Key{Kind: record.KindService, Name: "plans"}}
	listener := memnet.Listen()
	server := &http.Server{Handler: w.platform.Handler()}
	go func() { _ = server.Serve(listener) }()
	client := objects.NewClient("http://platform", testWatchWait)
	client.SetDial(listener.Dial)
	w.control = newControlWithStore(client, func(*directory.Directory) {})
	w.control.cfg.MaxRetryInterval = maxRetryInterval
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

// changeRecord stores a new version of the record in the platform.
func (w *watcherTest) changeRecord() {
	w.t.Helper()
	value, err := record.Marshal(w.key, &record.Service{Office: "o", Preset: record.PresetQuick, Floor: record.Floor{Percent: 50}})
	assert.NilError(w.t, err)
	obj, ok := w.platform.Store.Put(w.key, value, w.version)
	assert.Assert(w.t, ok)
	w.version = obj.Version
}

// isApplied reports whether the host has applied the newest version.
func (w *watcherTest) isApplied() bool {
	w.control.mu.Lock()
	defer w.control.mu.Unlock()
	e, ok := w.control.replica.Set(msg.SetRecords).Get(config.Key{Kind: string(w.key.Kind), Name: w.key.Name})
	return ok && e.Version >= w.version
}

// waitUntilApplied waits until the newest version is applied, for at most a minute, and
// returns the time waited.
func (w *watcherTest) waitUntilApplied() time.Duration {
	start := time.Now()
	for !w.isApplied() && time.Since(start) < time.Minute {
		time.Sleep(5 * time.Millisecond)
	}
	return time.Since(start)
}

// setSilent sets whether the platform accepts calls without responding to them.
func (w *watcherTest) setSilent(silent bool) {
	w.platform.SetFaults(platformd.Faults{Silent: silent})
}
