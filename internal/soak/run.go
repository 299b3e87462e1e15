package soak

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/radishhoist/radishhoist/internal/core/header"
	"github.com/radishhoist/radishhoist/internal/lab"
	"github.com/radishhoist/radishhoist/internal/objects"
	"github.com/radishhoist/radishhoist/internal/sleep"
	"github.com/radishhoist/radishhoist/internal/standin/platformd"
	"github.com/radishhoist/radishhoist/internal/standin/target"
	"github.com/radishhoist/radishhoist/record"
	"github.com/radishhoist/radishhoist/verdict"
)

// Config describes one run.
type Config struct {
	// Bin is the directory of the built programs.
	Bin      string
	Seed     uint64
	Hosts    int
	Duration time.Duration
	// NetOctet is the third octet of the addresses, 127.0.NetOctet.x. Concurrent runs and tests
	// need different ones.
	NetOctet int
	// Logs receives the output of the processes.
	Logs io.Writer
}

const (
	service     = "plans"
	slots       = 4
	serviceTime = 20 * time.Millisecond
	dataCentres = 3
	// callersPerHost is the number of callers per host, callInterval the pause between two requests
	// of a caller. Together they make about 20 requests per second and host.
	callersPerHost = 2
	callInterval   = 80 * time.Millisecond
	callerTimeout  = 8 * time.Second
	// sampleInterval is the time between two queries of the version in force at a host.
	sampleInterval = 100 * time.Millisecond
	// stallInterval is the length of the timer whose delay is measured.
	stallInterval = 20 * time.Millisecond
	// changeInterval is the time between two changes of a record.
	changeInterval = 700 * time.Millisecond
	// stopTimeout limits the wait for a graceful stop.
	stopTimeout = 10 * time.Second
	// secondSignalDelay is the time from the first to the second signal of a graceful stop.
	secondSignalDelay = 1200 * time.Millisecond
	// longPath is the path of a route whose timeout outlasts a graceful stop.
	longPath = "/plans/long"
	// longRequestHeadStart is the time from the start of a long request to the first signal.
	longRequestHeadStart = 200 * time.Millisecond
	// startTimeout limits the wait until the whole fleet serves.
	startTimeout = time.Minute
	// applyWithin and drainTimeout are settings of the daemons.
	applyWithin  = 2 * time.Second
	drainTimeout = 5 * time.Second
)

// node is one host of a run.
type node struct {
	host   *lab.Host
	target *lab.Target
	// contended is the host's instance of contendedService, nil if it has none.
	contended *lab.Target
	// platformProxy forwards the daemon's connections to the platform.
	platformProxy *proxy
	// daemonMu is held from the start of a daemon fault until the daemon runs again. A stop may
	// take longer than scheduled, and the next fault must not hit the process before the restart.
	daemonMu sync.Mutex
}

// run is the state of a run in progress. mu protects incarnations, refusals and observed.
type run struct {
	cfg       Config
	fleet     *lab.Fleet
	nodes     []*node
	startTime time.Time
	// surge is set while heavyTeam sends too much.
	surge atomic.Bool

	mu       sync.Mutex
	refusals []refusalLine
	// incarnations counts the restarts of each host's process.
	incarnations []int
	observed     Observations
}

// Run runs one seed and returns the observations.
func Run(ctx context.Context, cfg Config) (*Observations, error) {
	dir, err := os.MkdirTemp("", "radishhoist-soak")
	if err != nil {
		return nil, errors.Wrap(err, "create soak settings directory")
	}
	defer func() { _ = os.RemoveAll(dir) }()
	r := &run{cfg: cfg, fleet: lab.NewFleet(ctx, cfg.Bin, dir, cfg.Logs), incarnations: make([]int, cfg.Hosts)}
	r.fleet.OnOutput = r.observeLine
	r.observed = Observations{Runs: make(map[string]int), Instances: make(map[string]Instance), Length: cfg.Duration, ApplyWithin: applyWithin}
	defer r.stop()
	if err := r.startFleet(ctx); err != nil {
		return nil, err
	}
	r.runTraffic(ctx)
	if ctx.Err() != nil {
		return nil, errors.Wrap(ctx.Err(), "soak run cancelled")
	}
	r.collectRefusals()
	return &r.observed, r.collectRuns()
}

func (r *run) stop() {
	r.fleet.Stop()
	for _, n := range r.nodes {
		n.platformProxy.close()
	}
}

// startFleet starts the platform and the hosts and waits until all of them serve.
func (r *run) startFleet(ctx context.Context) error {
	if err := r.fleet.StartPlatform(r.address(1)); err != nil {
		return err
	}
	if err := r.fleet.PutDemoRecords(ctx); err != nil {
		return err
	}
	if err := r.putLoadRecords(ctx); err != nil {
		return err
	}
	platform := strings.TrimPrefix(r.fleet.Platform, "http://")
	settings := fmt.Sprintf("[control]\napply_within = %s\n[guard]\ndrain_timeout = %s\n", applyWithin, drainTimeout) + loadSettings
	for i := range r.cfg.Hosts {
		platformProxy, err := startProxy(fmt.Sprintf("%s:%d", r.address(100+i), lab.PlatformPort), platform)
		if err != nil {
			return err
		}
		n := &node{platformProxy: platformProxy}
		r.nodes = append(r.nodes, n)
		r.fleet.PlatformURL = "http://" + platformProxy.listener.Addr().String()
		if n.host, err = r.fleet.StartHost(fmt.Sprintf("h%02d", i), fmt.Sprintf("dc%d", i%dataCentres), r.address(10+i), settings); err != nil {
			return err
		}
		if n.target, err = r.fleet.StartTarget(n.host, service, 1, slots, serviceTime); err != nil {
			return err
		}
		if i >= contendedInstances {
			continue
		}
		if n.contended, err = r.fleet.StartTarget(n.host, contendedService, 1, contendedSlots, contendedServiceTime); err != nil {
			return err
		}
	}
	return r.fleet.WaitUntilServing(startTimeout, map[string]int{service: r.cfg.Hosts, contendedService: contendedInstances})
}

func (r *run) address(n int) string { return fmt.Sprintf("127.0.%d.%d", r.cfg.NetOctet, n) }

// runTraffic sends requests, writes changes and injects faults for the length of the run. If a fault
// ends late, such as a graceful stop, it continues until faultFreeEnd after that.
func (r *run) runTraffic(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r.startTime = time.Now()
	var wg sync.WaitGroup
	for i := range r.nodes {
		for c := range callersPerHost {
			wg.Go(func() { r.sendRequests(ctx, i, c) })
		}
		wg.Go(func() { r.sampleVersions(ctx, i) })
	}
	for _, team := range teamNames() {
		wg.Go(func() { r.sendTeamRequests(ctx, team) })
	}
	wg.Go(func() { r.measureStalls(ctx) })
	wg.Go(func() { r.writeChanges(ctx) })
	wg.Go(func() { r.sendCrashingRequests(ctx) })
	wg.Go(func() { r.sendUploads(ctx) })
	var faults sync.WaitGroup
	for _, f := range Schedule(r.cfg.Seed, r.cfg.Hosts, r.cfg.Duration) {
		faults.Go(func() { r.inject(ctx, f) })
	}
	faults.Wait()
	r.inject(ctx, lastSurge(r.elapsed(), r.cfg.Duration))
	r.observed.Length = r.elapsed()
	cancel()
	wg.Wait()
}

// measureStalls records the largest delay of a timer. Only this goroutine writes Stall.
func (r *run) measureStalls(ctx context.Context) {
	for before := r.elapsed(); sleep.For(ctx, stallInterval); before = r.elapsed() {
		r.observed.Stall = max(r.observed.Stall, r.elapsed()-before-stallInterval)
	}
}

func (r *run) elapsed() time.Duration { return time.Since(r.startTime) }

// inject starts and ends a fault and records its actual times. It does nothing if an earlier fault of
// the same daemon lasts beyond the scheduled end.
func (r *run) inject(ctx context.Context, f Fault) {
	endAt := f.End()
	if !sleep.For(ctx, f.At-r.elapsed()) {
		return
	}
	if f.Kind.affectsDaemon() {
		n := r.nodes[f.Host]
		n.daemonMu.Lock()
		defer n.daemonMu.Unlock()
	}
	if r.elapsed() >= endAt {
		return
	}
	if f.Kind == Terminate {
		// A request that outlasts the stop must get a response before the kill.
		go r.sendLongRequest(f.Host)
		time.Sleep(longRequestHeadStart)
	}
	f.At = r.elapsed()
	end := r.applyFault(f)
	r.mu.Lock()
	index := len(r.observed.Faults)
	// The fault counts as active until its actual end is recorded.
	ongoing := f
	ongoing.Length = r.cfg.Duration
	r.observed.Faults = append(r.observed.Faults, ongoing)
	r.mu.Unlock()
	sleep.For(ctx, endAt-f.At)
	end()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.observed.Faults[index].Length = r.elapsed() - f.At
}

// applyFault starts a fault and returns the function that ends it.
func (r *run) applyFault(f Fault) (end func()) {
	n := r.nodes[f.Host]
	switch f.Kind {
	case Kill:
		_ = n.host.Daemon.Signal(syscall.SIGKILL)
		return func() { r.restart(f.Host, stopTimeout) }
	case Terminate:
		return r.terminate(f.Host)
	case Pause:
		_ = n.host.Daemon.Signal(syscall.SIGSTOP)
		return func() { _ = n.host.Daemon.Signal(syscall.SIGCONT) }
	case CutSilent, CutReset, CutSlow:
		n.platformProxy.setMode(f.Kind)
		return func() { n.platformProxy.setMode("") }
	case TargetFails, TargetSlow, TargetCuts, TargetLimits, TargetLeaves, TargetRefuses, TargetDeclares, TargetDeparts, TargetResets:
		_ = n.target.SetBehaviour(behaviours[f.Kind])
		return func() { resetBehaviour(n.target) }
	case ServiceRefuses:
		r.setContended(behaviours[f.Kind])
		return func() { r.setContended(target.Behaviour{Mode: target.Good}) }
	case TeamSurge:
		r.surge.Store(true)
		return func() { r.surge.Store(false) }
	case PlatformRestored:
		_ = r.fleet.SetPlatformFaults(platformd.Faults{Outage: true})
		return func() {
			_ = r.fleet.RewindPlatform(lostRevisions)
			_ = r.fleet.SetPlatformFaults(platformd.Faults{})
		}
	default:
		_ = r.fleet.SetPlatformFaults(platformFaults[f.Kind])
		return func() { _ = r.fleet.SetPlatformFaults(platformd.Faults{}) }
	}
}

// resetBehaviour ends the fault of an instance. The instance may be down, because a request has
// crashed it, and would go on with the fault once it is back.
func resetBehaviour(t *lab.Target) {
	for deadline := time.Now().Add(2 * downtime); t.SetBehaviour(target.Behaviour{Mode: target.Good}) != nil && time.Now().Before(deadline); {
		time.Sleep(sampleInterval)
	}
}

var behaviours = map[FaultKind]target.Behaviour{
	TargetFails: {Mode: target.Errors, Share: 0.8},
	TargetSlow:  {Mode: target.Slow, Factor: 20},
	TargetCuts:  {Mode: target.Truncate, Share: 0.5},

	TargetDeclares: {Mode: target.Oversize, Share: 0.5},

	TargetLimits: {Mode: target.Good, RateLimit: 2},
	TargetLeaves: {Mode: target.Good, Leaving: true},

	TargetDeparts: {Mode: target.Good, Departs: true},
	TargetResets:  {Mode: target.ResetEarly},

	TargetRefuses:  {Mode: target.Refuse, Share: refusedShare},
	ServiceRefuses: {Mode: target.Refuse, Share: refusedShare},
}

// lostRevisions is the number of writes that a restored platform has lost: some seconds of
// changes, and records that hosts have written in between.
const lostRevisions = 5

var platformFaults = map[FaultKind]platformd.Faults{
	PlatformSilent:  {Silent: true},
	PlatformRefuses: {Outage: true},
	PlatformSlow:    {SlowMS: 200},
}

// terminate stops a daemon gracefully and repeats the signal. The function that it returns kills
// the daemon one drain timeout after the first signal if it still runs, and starts it again.
func (r *run) terminate(host int) (end func()) {
	daemon := r.nodes[host].host.Daemon
	_ = daemon.Signal(syscall.SIGTERM)
	killAt := time.Now().Add(drainTimeout + clockSlack)
	time.AfterFunc(secondSignalDelay, func() { _ = daemon.Signal(syscall.SIGTERM) })
	return func() {
		r.restart(host, time.Until(killAt))
	}
}

// sendLongRequest sends a request that runs longer than a graceful stop takes.
func (r *run) sendLongRequest(host int) {
	client := &http.Client{Timeout: callerTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	at := r.elapsed()
	req := Request{Mark: fmt.Sprintf("long-%d-%d", host, at.Milliseconds()), Host: host, Service: service, Idempotent: true, Sent: at}
	r.sendAndRecord(client, req, fmt.Sprintf("%s?workMS=%d", longPath, (2*drainTimeout).Milliseconds()), nil)
}

// restart starts a host's daemon again once the old process has exited. It kills that process if it
// does not exit within the timeout.
func (r *run) restart(host int, timeout time.Duration) {
	h := r.nodes[host].host
	if ended, _ := h.Daemon.Wait(timeout); !ended {
		_ = h.Daemon.Signal(syscall.SIGKILL)
		_, _ = h.Daemon.Wait(stopTimeout)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.incarnations[host]++
	if err := r.fleet.Restart(h); err != nil {
		fmt.Fprintln(r.cfg.Logs, "soak:", err)
	}
}

func (r *run) incarnation(host int) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.incarnations[host]
}

// sampleVersions polls the record version in force at a host. It discards a sample if the daemon was
// restarted during the query.
func (r *run) sampleVersions(ctx context.Context, host int) {
	for sleep.For(ctx, sampleInterval) {
		incarnation, queriedAt := r.incarnation(host), r.elapsed()
		status, err := r.nodes[host].host.Status()
		if err != nil {
			continue
		}
		explained, err := r.nodes[host].host.Explain(http.MethodGet, "http://soak/plans/7", changedTeam)
		if err != nil || r.incarnation(host) != incarnation {
			continue
		}
		r.mu.Lock()
		r.observed.Samples = append(r.observed.Samples, Sample{Host: host, Incarnation: incarnation, QueriedAt: queriedAt, Version: status.Control.Newest, Number: int(explained.TeamRate) - changedRateBase})
		r.mu.Unlock()
	}
}

const (
	// changedTeam is the team whose record the operator changes. Its rate is changedRateBase
	// plus the number of the change.
	changedTeam     = "soak"
	changedRateBase = 1000
)

// writeChanges repeatedly writes a record to the platform, as an operator on another machine does,
// bypassing the proxies. Only changes that the platform acknowledges must be in force in time.
func (r *run) writeChanges(ctx context.Context) {
	client := objects.NewClient(r.fleet.Platform, time.Second)
	defer client.Close()
	key := record.Key{Kind: record.KindTeam, Name: changedTeam}
	for n := 1; sleep.For(ctx, changeInterval); n++ {
		value, err := record.Marshal(key, &record.Team{Office: "soak", RatePerSecond: float64(changedRateBase + n)})
		if err != nil {
			panic("soak: " + err.Error())
		}
		current, err := client.Get(ctx, key)
		var missing *objects.NotFoundError
		if err != nil && !errors.As(err, &missing) {
			continue
		}
		written, err := client.Put(ctx, key, value, current.Version)
		if err != nil {
			continue
		}
		r.mu.Lock()
		r.observed.Acked = append(r.observed.Acked, AckedChange{Version: written.Version, Number: n, At: r.elapsed()})
		r.mu.Unlock()
	}
}

// sendRequests sends requests sequentially over a persistent connection, which it keeps until the
// host closes it.
func (r *run) sendRequests(ctx context.Context, host, caller int) {
	client := &http.Client{Timeout: callerTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
	defer client.CloseIdleConnections()
	for n := 0; sleep.For(ctx, callInterval); n++ {
		req := Request{Mark: fmt.Sprintf("h%d-c%d-%d", host, caller, n), Host: host, Service: service, Idempotent: n%2 == 0, Sent: r.elapsed()}
		r.sendAndRecord(client, req, "/plans/7", nil)
	}
}

const (
	// meanCrashingInterval is the mean time between two sends of the crashing request.
	// crashingStartShare is the share of the run that passes before the first one.
	meanCrashingInterval = 300 * time.Millisecond
	crashingStartShare   = 0.15
)

// sendCrashingRequests repeatedly sends the request that crashes the instances that run it, each
// time to a random host.
func (r *run) sendCrashingRequests(ctx context.Context) {
	rng := rand.New(rand.NewPCG(r.cfg.Seed, 2))
	client := &http.Client{Timeout: callerTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	if !sleep.For(ctx, time.Duration(crashingStartShare*float64(r.cfg.Duration))) {
		return
	}
	var wg sync.WaitGroup
	for n := 0; sleep.For(ctx, time.Duration(rng.ExpFloat64()*float64(meanCrashingInterval))); n++ {
		req := Request{Mark: fmt.Sprintf("fatal-%d", n), Host: rng.IntN(r.cfg.Hosts), Service: service, Crashing: true, Idempotent: true, Sent: r.elapsed()}
		wg.Go(func() { r.sendAndRecord(client, req, "/plans"+target.CrashPathSuffix, nil) })
	}
	wg.Wait()
}

// uploadInterval is the mean time between two uploads.
const uploadInterval = 300 * time.Millisecond

// sendUploads repeatedly sends an upload to a random host, one at a time.
func (r *run) sendUploads(ctx context.Context) {
	rng := rand.New(rand.NewPCG(r.cfg.Seed, 20))
	client := &http.Client{Timeout: callerTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	body := make([]byte, target.LongUploadBytes+1)
	for n := 0; sleep.For(ctx, time.Duration(rng.ExpFloat64()*float64(uploadInterval))); n++ {
		req := Request{Mark: fmt.Sprintf("upload-%d", n), Host: rng.IntN(r.cfg.Hosts), Service: service, Sent: r.elapsed()}
		r.sendAndRecord(client, req, "/plans/7", body)
	}
}

// send sends one request and records its response. It does not use the context of the run, so that
// the end of the run does not cancel requests in flight.
func (r *run) send(client *http.Client, req *Request, path string, body []byte) {
	method := http.MethodPost
	if req.Idempotent {
		method = http.MethodGet
	}
	out, err := http.NewRequest(method, "http://"+r.nodes[req.Host].host.CallersAddress()+path, bytes.NewReader(body))
	if err != nil {
		panic("soak: " + err.Error())
	}
	out.Header.Set(target.MarkHeader, req.Mark)
	if req.Team != "" {
		out.Header.Set(header.Team, req.Team)
	}
	resp, err := client.Do(out)
	if err != nil {
		return
	}
	defer func() { _ = resp.Body.Close() }()
	received, err := io.ReadAll(resp.Body)
	if err != nil {
		return
	}
	req.Status, req.Verdict = resp.StatusCode, resp.Header.Get(verdict.Header)
	req.Blocked = strings.Contains(string(received), string(verdict.ReasonCrashesTargets))
	req.Served = resp.StatusCode == http.StatusOK && strings.Contains(string(received), "mark="+req.Mark+" ")
}

// collectRuns collects what the instances observed.
func (r *run) collectRuns() error {
	for i, n := range r.nodes {
		if err := r.collectInstance(i, service, n.target); err != nil {
			return errors.Wrapf(err, "get runs of %s", n.target.Name)
		}
		if n.contended == nil {
			continue
		}
		if err := r.collectInstance(i, contendedService, n.contended); err != nil {
			return errors.Wrapf(err, "get runs of %s", n.contended.Name)
		}
	}
	return nil
}
