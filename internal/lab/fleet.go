package lab

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/radishhoist/radishhoist/internal/front"
	"github.com/radishhoist/radishhoist/internal/objects"
	"github.com/radishhoist/radishhoist/internal/settings"
	"github.com/radishhoist/radishhoist/internal/sleep"
	"github.com/radishhoist/radishhoist/internal/standin/platformd"
	"github.com/radishhoist/radishhoist/internal/standin/target"
	"github.com/radishhoist/radishhoist/internal/state"
	"github.com/radishhoist/radishhoist/record"
)

// Fleet is a small fleet of real processes on loopback addresses.
type Fleet struct {
	ctx context.Context
	// binDir is the directory of the programs, settingsDir that of the settings files.
	binDir      string
	settingsDir string
	// logs receives the output of all processes.
	logs io.Writer
	// Platform is the URL of the platform stand-in.
	Platform string
	// PlatformURL is the platform URL in the settings of hosts started from now on, for
	// example that of a proxy; empty means Platform.
	PlatformURL string
	// OnOutput, if set, is called with each line of the output of processes started from now
	// on. Calls for the same process do not overlap.
	OnOutput func(process string, line []byte)
	Hosts    []*Host

	mu    sync.Mutex
	procs []*Process
}

// Host is one host of a Fleet: a loopback address of its own with a daemon.
type Host struct {
	Name, DC string
	IP       string
	// SettingsPath is the path of the settings file.
	SettingsPath string
	Daemon       *Process
}

// The ports of every host of a Fleet.
const (
	CallersPort     = 18080
	PeerPort        = 17300
	AnnouncePort    = 17700
	AdminPort       = 17900
	PlatformPort    = 17000
	firstTargetPort = 18100
)

// CallersAddress returns the address for requests of callers.
func (h *Host) CallersAddress() string { return fmt.Sprintf("%s:%d", h.IP, CallersPort) }

// AdminAddress returns the address of the admin endpoints.
func (h *Host) AdminAddress() string { return fmt.Sprintf("%s:%d", h.IP, AdminPort) }

// NewFleet returns a fleet without processes. It runs programs from binDir and writes
// settings files to settingsDir. Cancelling ctx ends every wait, but no process; Stop
// kills the processes.
func NewFleet(ctx context.Context, binDir, settingsDir string, logs io.Writer) *Fleet {
	return &Fleet{ctx: ctx, binDir: binDir, settingsDir: settingsDir, logs: logs}
}

// startUniformFleet starts the platform and n hosts in three data centres, each with one
// target of the demo service, and waits until all serve. The returned function kills all
// processes and removes the settings files.
func startUniformFleet(ctx context.Context, bin string, n int, ip func(int) string) (*Fleet, func(), error) {
	dir, err := os.MkdirTemp("", "radishhoist-lab")
	if err != nil {
		return nil, nil, err
	}
	f := NewFleet(ctx, bin, dir, io.Discard)
	stop := func() {
		f.Stop()
		_ = os.RemoveAll(dir)
	}
	if err := f.startHosts(ctx, n, ip); err != nil {
		stop()
		return nil, nil, err
	}
	return f, stop, nil
}

func (f *Fleet) startHosts(ctx context.Context, n int, ip func(int) string) error {
	if err := f.StartPlatform("127.0.0.1"); err != nil {
		return err
	}
	if err := f.PutDemoRecords(ctx); err != nil {
		return err
	}
	for i := range n {
		h, err := f.StartHost(fmt.Sprintf("p%03d", i), fmt.Sprintf("dc%d", i%3), ip(i), "")
		if err != nil {
			return err
		}
		if _, err := f.StartTarget(h, demoService, 1, demoSlots, demoServiceTime); err != nil {
			return err
		}
	}
	return f.WaitUntilServing(time.Minute, map[string]int{demoService: n})
}

// StartPlatform starts the platform stand-in on the given address.
func (f *Fleet) StartPlatform(ip string) error {
	f.Platform = fmt.Sprintf("http://%s:%d", ip, PlatformPort)
	p, err := f.start("platform", "radishhoist-lab", "platform", "--listen", fmt.Sprintf("%s:%d", ip, PlatformPort))
	if err != nil {
		return err
	}
	return f.WaitFor(5*time.Second, "the platform stand-in", func() bool {
		var counts platformd.Counts
		return getJSON(f.Platform+"/standin/counts", &counts) == nil && counts.PID == p.PID()
	})
}

// StartHost writes the settings file of a host, with extra appended, and starts its daemon.
func (f *Fleet) StartHost(name, dc, ip string, extra string) (*Host, error) {
	platform := f.Platform
	if f.PlatformURL != "" {
		platform = f.PlatformURL
	}
	h := &Host{Name: name, DC: dc, IP: ip, SettingsPath: filepath.Join(f.settingsDir, name+".ini")}
	text := fmt.Sprintf(`[host]
name = %s
dc = %s

[listen]
callers = %s
peer = %s:%d
announce = %s:%d
admin = %s

[platform]
url = %s

%s
`, name, dc, h.CallersAddress(), ip, PeerPort, ip, AnnouncePort, h.AdminAddress(), platform, extra)
	if err := os.WriteFile(h.SettingsPath, []byte(text), 0o600); err != nil {
		return nil, errors.Wrap(err, "write settings of "+name)
	}
	f.Hosts = append(f.Hosts, h)
	return h, f.Restart(h)
}

// Restart starts the daemon of a host, which must not be running.
func (f *Fleet) Restart(h *Host) error {
	p, err := f.start(h.Name, "radishhoistd", "-config", h.SettingsPath)
	h.Daemon = p
	return err
}

// StartTarget starts a target stand-in on a host once the host accepts announcements. A
// target whose first announcement fails repeats it after a second, and the daemons then
// take it for younger and less warmed up than the other targets.
func (f *Fleet) StartTarget(h *Host, service string, index, slots int, serviceTime time.Duration) (*Target, error) {
	if err := f.WaitFor(startTimeout, "the announce address of "+h.Name, h.acceptsAnnouncements); err != nil {
		return nil, err
	}
	t := &Target{Name: fmt.Sprintf("%s-%s-%d", service, h.Name, index), Address: fmt.Sprintf("%s:%d", h.IP, firstTargetPort+len(f.processes()))}
	p, err := f.start(t.Name, "radishhoist-lab", "target", "--name", t.Name, "--service", service,
		"--listen", t.Address, "--announce", fmt.Sprintf("%s:%d", h.IP, AnnouncePort),
		"--slots", fmt.Sprint(slots), "--service-time", serviceTime.String())
	if err != nil {
		return nil, err
	}
	t.Process = p
	return t, f.WaitFor(startTimeout, "target "+t.Name, func() bool {
		runs, err := t.Runs()
		return err == nil && runs.PID == p.PID()
	})
}

// Target is a stand-in for one instance.
type Target struct {
	Name    string
	Address string
	Process *Process
}

// SetBehaviour changes the behaviour of the stand-in.
func (t *Target) SetBehaviour(b target.Behaviour) error {
	return putJSON("http://"+t.Address+"/standin/behaviour", b)
}

// Runs returns the counters of the stand-in.
func (t *Target) Runs() (target.Runs, error) {
	var r target.Runs
	return r, getJSON("http://"+t.Address+"/standin/runs", &r)
}

// SetPlatformFaults replaces the faults that the platform stand-in injects.
func (f *Fleet) SetPlatformFaults(faults platformd.Faults) error {
	return putJSON(f.Platform+"/standin/faults", faults)
}

// RewindPlatform restores the platform stand-in as it was before its latest revisions.
func (f *Fleet) RewindPlatform(revisions int) error {
	return putJSON(f.Platform+"/standin/rewind", platformd.Rewind{Revisions: revisions})
}

// Put writes a record, replacing an existing one.
func (f *Fleet) Put(ctx context.Context, key record.Key, spec record.Spec) error {
	value, err := record.Marshal(key, spec)
	if err != nil {
		return err
	}
	client := objects.NewClient(f.Platform, settings.Default().WatchWait)
	defer client.Close()
	current, _ := client.Get(ctx, key)
	_, err = client.Put(ctx, key, value, current.Version)
	return err
}

// Delete deletes a record.
func (f *Fleet) Delete(ctx context.Context, key record.Key) error {
	client := objects.NewClient(f.Platform, settings.Default().WatchWait)
	defer client.Close()
	current, err := client.Get(ctx, key)
	if err != nil {
		return err
	}
	_, err = client.Delete(ctx, key, current.Version)
	return err
}

// Status returns the status that the daemon reports.
func (h *Host) Status() (*state.Status, error) {
	var s state.Status
	return &s, getJSON("http://"+h.AdminAddress()+state.StatusPath, &s)
}

// Explain returns how the daemon would handle a request of a team.
func (h *Host) Explain(method, target, team string) (*front.Explanation, error) {
	var e front.Explanation
	query := url.Values{"method": {method}, "url": {target}, "team": {team}}
	return &e, getJSON("http://"+h.AdminAddress()+state.ExplainPath+"?"+query.Encode(), &e)
}

// Dump returns the complete state that the daemon reports.
func (h *Host) Dump() (*state.Dump, error) {
	var d state.Dump
	return &d, getJSON("http://"+h.AdminAddress()+state.StatePath, &d)
}

// WaitUntilServing waits until every host serves every service with at least the
// given number of targets in use.
func (f *Fleet) WaitUntilServing(timeout time.Duration, targets map[string]int) error {
	for _, h := range f.Hosts {
		err := f.WaitFor(timeout, "host "+h.Name, func() bool {
			s, err := h.Status()
			return err == nil && s.PID == h.Daemon.PID() && servesAll(s, targets)
		})
		if err != nil {
			return err
		}
	}
	return nil
}

func servesAll(s *state.Status, targets map[string]int) bool {
	if s.Phase == "starting" {
		return false
	}
	found := 0
	for _, svc := range s.Services {
		used := 0
		for _, t := range svc.Targets {
			if t.Use == "used" {
				used++
			}
		}
		if want, ok := targets[svc.Name]; ok && used >= want {
			found++
		}
	}
	return found == len(targets)
}

const (
	pollInterval = 50 * time.Millisecond
	// startTimeout bounds the wait until a new process is ready.
	startTimeout = 20 * time.Second
)

// acceptsAnnouncements reports whether the announce address accepts connections.
func (h *Host) acceptsAnnouncements() bool {
	c, err := net.DialTimeout("tcp", fmt.Sprintf("%s:%d", h.IP, AnnouncePort), time.Second)
	if err != nil {
		return false
	}
	_ = c.Close()
	return true
}

// WaitFor polls a condition until it holds. Its errors name what it waited for. It fails
// immediately if a process of the fleet has exited unexpectedly.
func (f *Fleet) WaitFor(timeout time.Duration, what string, condition func() bool) error {
	for end := time.Now().Add(timeout); time.Now().Before(end); sleep.For(f.ctx, pollInterval) {
		if err := f.ctx.Err(); err != nil {
			return errors.Wrapf(err, "waiting for %s", what)
		}
		for _, p := range f.processes() {
			if err := p.unexpectedExit(); err != nil {
				return errors.Wrapf(err, "waiting for %s", what)
			}
		}
		if condition() {
			return nil
		}
	}
	return errors.Errorf("timed out after %s waiting for %s", timeout, what)
}

// httpClient is used for admin and stand-in endpoints and for single requests.
var httpClient = &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{
	DialContext:       (&net.Dialer{Timeout: time.Second}).DialContext,
	DisableKeepAlives: true,
}}

func getJSON(url string, into any) error {
	resp, err := httpClient.Get(url)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	return json.NewDecoder(resp.Body).Decode(into)
}

func putJSON(url string, v any) error {
	body, err := json.Marshal(v)
	if err != nil {
		return err
	}
	req, err := http.NewRequest(http.MethodPut, url, bytes.NewReader(body))
	if err != nil {
		return err
	}
	resp, err := httpClient.Do(req)
	if err != nil {
		return err
	}
	_ = resp.Body.Close()
	if resp.StatusCode >= http.StatusBadRequest {
		return errors.Errorf("PUT %s: status %d", url, resp.StatusCode)
	}
	return nil
}

// isLeftOut reports whether a target is shown as left out.
func isLeftOut(services []front.ServiceStatus, name string) bool {
	for _, svc := range services {
		for _, t := range svc.Targets {
			if t.Name == name {
				return t.Use == "left out"
			}
		}
	}
	return false
}
