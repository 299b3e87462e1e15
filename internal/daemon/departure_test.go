package daemon

import (
	"bytes"
	"encoding/json"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/radishhoist/radishhoist/internal/guard"
	"github.com/radishhoist/radishhoist/internal/settings"
	"github.com/radishhoist/radishhoist/internal/standin/platformd"
)

// manualInstance is an instance whose announcements the test sends.
type manualInstance struct {
	t        *testing.T
	name     string
	address  string
	host     *settings.Config
	sequence uint64
	arrived  atomic.Int64
}

func newManualInstance(t *testing.T, name string, host *settings.Config) *manualInstance {
	t.Helper()
	i := &manualInstance{t: t, name: name, host: host}
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { i.arrived.Add(1) }))
	t.Cleanup(server.Close)
	i.address = strings.TrimPrefix(server.URL, "http://")
	return i
}

// announcement returns the next announcement.
func (i *manualInstance) announcement(state string) []byte {
	i.t.Helper()
	i.sequence++
	body, err := json.Marshal(guard.Announcement{Service: "s", Address: i.address, Slots: 4, State: state, Sequence: i.sequence})
	assert.NilError(i.t, err)
	return body
}

// call sends a call to the host, and returns the status and the time until the response.
func (i *manualInstance) call(method string, body []byte) (status int, took time.Duration) {
	i.t.Helper()
	req, err := http.NewRequest(method, "http://"+i.host.Announce+"/v1/instances/"+i.name, bytes.NewReader(body))
	assert.NilError(i.t, err)
	began := time.Now()
	resp, err := http.DefaultClient.Do(req)
	assert.NilError(i.t, err)
	_ = resp.Body.Close()
	return resp.StatusCode, time.Since(began)
}

// announceTimes announces the instance several times.
func (i *manualInstance) announceTimes(n int) {
	i.t.Helper()
	for range n {
		status, _ := i.call(http.MethodPut, i.announcement("ready"))
		assert.Equal(i.t, status, http.StatusOK)
	}
}

// killAll ends daemons without a drain.
func killAll(daemons []*Daemon) {
	for _, d := range daemons {
		d.close(time.Second)
	}
}

// startAgain starts a daemon with the settings of one that has ended.
func startAgain(t *testing.T, ended *Daemon) *Daemon {
	t.Helper()
	cfg := ended.cfg.Load()
	for end := time.Now().Add(10 * time.Second); ; time.Sleep(10 * time.Millisecond) {
		d, err := Start(cfg, OwnAdapter(cfg), slog.New(slog.NewTextHandler(io.Discard, nil)))
		if err == nil {
			return d
		}
		assert.Assert(t, time.Now().Before(end), "%v", err)
	}
}

// Guards against an announcement from before an acknowledged departure that arrives, delayed, after
// a restart of the host: the process that acknowledged it is gone, and the instance must get no
// requests all the same.
func TestAcknowledgedDepartureSurvivesRestart(t *testing.T) {
	const up, down = false, true
	for _, c := range []struct {
		name string
		// The platform is down while the instance leaves, and from then on.
		downAtLeave, downAfter bool
		draining, all          bool
		restarts               int
	}{
		{name: "withdrawn", restarts: 1},
		{name: "draining", draining: true, restarts: 1},
		{name: "second restart", restarts: 2},
		{name: "restart of all hosts", all: true, restarts: 1},
		{name: "second restart of all hosts", all: true, restarts: 2},
		{name: "platform down from before the departure", downAtLeave: down, downAfter: down, restarts: 1},
		{name: "platform down at the restart", downAtLeave: up, downAfter: down, restarts: 1},
		{name: "platform down at the departure", downAtLeave: down, downAfter: up, restarts: 1},
		{name: "platform down, second restart", downAtLeave: down, downAfter: down, restarts: 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			platform := platformd.NewServer()
			daemons := startDaemons(t, startPlatformOn(t, platform))
			defer func() { killAll(daemons) }()
			leaving := newManualInstance(t, "leaving", daemons[1].cfg.Load())
			staying := newManualInstance(t, "staying", daemons[1].cfg.Load())
			leaving.announceTimes(4)
			staying.announceTimes(4)
			waitUntilServed(t, daemons[0])

			platform.SetFaults(platformd.Faults{Outage: c.downAtLeave})
			late := leaving.announcement("ready")
			method, body := http.MethodDelete, []byte(nil)
			if c.draining {
				method, body = http.MethodPut, leaving.announcement("draining")
			}
			status, took := leaving.call(method, body)
			assert.Equal(t, status/100, 2)
			assert.Assert(t, took < time.Second, "the instance waits a second for the acknowledgement, which took %s", took)

			platform.SetFaults(platformd.Faults{Outage: c.downAfter})
			for range c.restarts {
				restarted := daemons[1:]
				if c.all {
					restarted = daemons
				}
				killAll(restarted)
				for n, d := range restarted {
					restarted[n] = startAgain(t, d)
				}
				time.Sleep(500 * time.Millisecond)
			}
			status, took = leaving.call(http.MethodPut, late)
			assert.Equal(t, status, http.StatusOK)
			assert.Assert(t, took < time.Second)
			staying.announceTimes(1)
			time.Sleep(1500 * time.Millisecond)
			waitUntilServed(t, daemons[0])
			before, served := leaving.arrived.Load(), staying.arrived.Load()
			for range 40 {
				assert.NilError(t, get(http.DefaultClient, "http://"+daemons[0].cfg.Load().Callers+"/"))
			}
			assert.Equal(t, leaving.arrived.Load(), before, "requests reached the instance that has left")
			assert.Assert(t, staying.arrived.Load() >= served+40)
		})
	}
}

// The acknowledgement is a promise, so a host that reaches neither the platform nor another host
// must not give it. The instance gets no requests all the same, and is asked to repeat the call.
func TestUnrecordedDepartureIsNotAcknowledged(t *testing.T) {
	platform := platformd.NewServer()
	daemons := startDaemons(t, startPlatformOn(t, platform))
	defer func() { killAll(daemons) }()
	leaving := newManualInstance(t, "leaving", daemons[1].cfg.Load())
	leaving.announceTimes(3)
	waitUntilServed(t, daemons[0])
	killAll(daemons[:1])
	platform.SetFaults(platformd.Faults{Silent: true})
	status, took := leaving.call(http.MethodDelete, nil)
	assert.Equal(t, status, http.StatusServiceUnavailable)
	assert.Assert(t, took < time.Second, "%s", took)
	assert.Equal(t, len(daemons[1].guard.Instances()), 0)

	platform.SetFaults(platformd.Faults{})
	for end := time.Now().Add(20 * time.Second); status != http.StatusNoContent; status, _ = leaving.call(http.MethodDelete, nil) {
		assert.Assert(t, time.Now().Before(end), "status %d", status)
	}
	daemons = daemons[1:]
}

// The calls to the platform must not grow with the calls of an instance that leaves.
func TestDepartureTakesOneWrite(t *testing.T) {
	platform := platformd.NewServer()
	daemons := startDaemons(t, startPlatformOn(t, platform))
	defer killAll(daemons)
	leaving := newManualInstance(t, "leaving", daemons[1].cfg.Load())
	leaving.announceTimes(3)
	waitUntilServed(t, daemons[0])
	time.Sleep(time.Second)
	before := platform.Counts().Writes
	for range 4 {
		status, _ := leaving.call(http.MethodPut, leaving.announcement("draining"))
		assert.Equal(t, status, http.StatusOK)
	}
	status, _ := leaving.call(http.MethodDelete, nil)
	assert.Equal(t, status, http.StatusNoContent)
	assert.Equal(t, platform.Counts().Writes-before, int64(1))
}

// An instance that starts beside a restarted host must not wait for the departures of others,
// whether or not the platform responds.
func TestNewInstanceIsNotDelayedByDepartures(t *testing.T) {
	platform := platformd.NewServer()
	daemons := startDaemons(t, startPlatformOn(t, platform))
	defer func() { killAll(daemons) }()
	platform.SetFaults(platformd.Faults{Silent: true})
	killAll(daemons[1:])
	daemons[1] = startAgain(t, daemons[1])
	started := newManualInstance(t, "started", daemons[1].cfg.Load())
	status, took := started.call(http.MethodPut, started.announcement("ready"))
	assert.Equal(t, status, http.StatusOK)
	assert.Assert(t, took < 300*time.Millisecond, "%s", took)
	platform.SetFaults(platformd.Faults{})
}

// A withdrawal of a long name, which no instance can have, must not fill the Host record or the
// notices to other hosts, so that no departure of this host could be recorded any more.
func TestWithdrawalOfLongNameIsRefused(t *testing.T) {
	daemons := startDaemons(t, startPlatform(t))
	defer killAll(daemons)
	i := newManualInstance(t, strings.Repeat("x", 1000), daemons[1].cfg.Load())
	status, _ := i.call(http.MethodDelete, nil)
	assert.Equal(t, status, http.StatusBadRequest)
}

// An instance that does not number its announcements, drains and is ready again must be accepted
// after a restart of its host.
func TestUnnumberedInstanceReturnsAfterRestart(t *testing.T) {
	daemons := startDaemons(t, startPlatform(t))
	defer func() { killAll(daemons) }()
	i := newManualInstance(t, "i", daemons[1].cfg.Load())
	announce := func(state string) {
		body, err := json.Marshal(guard.Announcement{Service: "s", Address: i.address, Slots: 4, State: state})
		assert.NilError(t, err)
		status, _ := i.call(http.MethodPut, body)
		assert.Equal(t, status, http.StatusOK)
	}
	announce("ready")
	waitUntilServed(t, daemons[0])
	announce("draining")
	announce("ready")
	killAll(daemons[1:])
	daemons[1] = startAgain(t, daemons[1])
	time.Sleep(500 * time.Millisecond)
	announce("ready")
	assert.Equal(t, len(daemons[1].guard.Instances()), 1)
}
