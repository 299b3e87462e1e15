package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

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
	// NetOctet is the third number of the addresses, 127.0.NetOctet.x, so that runs and tests do
	// not meet.
	NetOctet int
	// Logs takes what the processes write.
	Logs io.Writer
}

const (
	service     = "plans"
	slots       = 4
	serviceTime = 20 * time.Millisecond
	dcs         = 3
	// callers is how many callers each host has, and callPause their pause between two
	// requests: some 20 requests a second and host.
	callers   = 2
	callPause = 80 * time.Millisecond
	// callerPatience is how long a caller waits.
	callerPatience = 8 * time.Second
	// samplePause is the time between two looks at what a host has in force.
	samplePause = 100 * time.Millisecond
	// changePause is the time between two changes.
	changePause = 700 * time.Millisecond
	// stopPatience bounds the wait for a planned stop.
	stopPatience = 10 * time.Second
	// startPatience bounds the start of the fleet.
	startPatience = time.Minute
	// applyWithin and drainTimeout are what the daemons are told.
	applyWithin  = 2 * time.Second
	drainTimeout = 5 * time.Second
)

// node is one host of a run.
type node struct {
	host   *lab.Host
	target *lab.Target
	link   *proxy
	// process is held by a fault of the daemon until it runs again: a stop may take
	// longer than planned, and the next fault must not meet the process in between.
	process sync.Mutex
}

// run is a run under way.
type run struct {
	cfg   Config
	fleet *lab.Fleet
	nodes []*node
	start time.Time

	mu sync.Mutex
	// lives counts the starts of each host's process.
	lives  []int
	record Record
}

// Run plays one seed and gives what was seen.
func Run(ctx context.Context, cfg Config) (*Record, error) {
	dir, err := os.MkdirTemp("", "radishhoist-soak")
	if err != nil {
		return nil, errors.Wrap(err, "settings of a soak")
	}
	defer func() { _ = os.RemoveAll(dir) }()
	r := &run{cfg: cfg, fleet: lab.NewFleet(ctx, cfg.Bin, dir, cfg.Logs), lives: make([]int, cfg.Hosts)}
	r.record = Record{Runs: make(map[string]int), Length: cfg.Duration, Bound: applyWithin}
	defer r.stop()
	if err := r.begin(ctx); err != nil {
		return nil, err
	}
	r.play(ctx)
	if ctx.Err() != nil {
		return nil, errors.Wrap(ctx.Err(), "the run was broken off")
	}
	return &r.record, r.countRuns()
}

func (r *run) stop() {
	r.fleet.Stop()
	for _, n := range r.nodes {
		n.link.close()
	}
}

// begin starts the platform and the fleet, and waits until all serve.
func (r *run) begin(ctx context.Context) error {
	if err := r.fleet.StartPlatform(r.address(1)); err != nil {
		return err
	}
	if err := r.fleet.PutDemoRecords(ctx); err != nil {
		return err
	}
	platform := strings.TrimPrefix(r.fleet.Platform, "http://")
	settings := fmt.Sprintf("[control]\napply_within = %s\n[guard]\ndrain_timeout = %s\n", applyWithin, drainTimeout)
	for i := range r.cfg.Hosts {
		link, err := startProxy(fmt.Sprintf("%s:%d", r.address(100+i), lab.PlatformPort), platform)
		if err != nil {
			return err
		}
		n := &node{link: link}
		r.nodes = append(r.nodes, n)
		r.fleet.PlatformURL = "http://" + link.listener.Addr().String()
		if n.host, err = r.fleet.StartHost(fmt.Sprintf("h%02d", i), fmt.Sprintf("dc%d", i%dcs), r.address(10+i), settings); err != nil {
			return err
		}
		if n.target, err = r.fleet.StartTarget(n.host, service, 1, slots, serviceTime); err != nil {
			return err
		}
	}
	return r.fleet.WaitUntilServing(startPatience, map[string]int{service: r.cfg.Hosts})
}

func (r *run) address(n int) string { return fmt.Sprintf("127.0.%d.%d", r.cfg.NetOctet, n) }

// play lets traffic, changes and faults go on for the length of the run.
func (r *run) play(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, r.cfg.Duration)
	defer cancel()
	r.start = time.Now()
	var wg sync.WaitGroup
	for i := range r.nodes {
		for c := range callers {
			wg.Go(func() { r.call(ctx, i, c) })
		}
		wg.Go(func() { r.sample(ctx, i) })
	}
	wg.Go(func() { r.change(ctx) })
	wg.Go(func() { r.callFatal(ctx) })
	for _, f := range Schedule(r.cfg.Seed, r.cfg.Hosts, r.cfg.Duration) {
		wg.Go(func() { r.inject(ctx, f) })
	}
	wg.Wait()
}

func (r *run) now() time.Duration { return time.Since(r.start) }

// inject brings a fault about, and its end, and notes when both were.
func (r *run) inject(ctx context.Context, f Fault) {
	over := f.End()
	if !sleep.For(ctx, f.At-r.now()) {
		return
	}
	if f.Kind.ofDaemon() {
		n := r.nodes[f.Host]
		n.process.Lock()
		defer n.process.Unlock()
	}
	f.At = r.now()
	if f.At >= over {
		return // the fault before has taken its whole time
	}
	end := r.begins(f)
	r.mu.Lock()
	index := len(r.record.Faults)
	// Until its end is known it lasts.
	lasting := f
	lasting.For = r.cfg.Duration
	r.record.Faults = append(r.record.Faults, lasting)
	r.mu.Unlock()
	sleep.For(ctx, over-f.At)
	end()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.record.Faults[index].For = r.now() - f.At
}

// begins brings a fault about and gives what ends it.
func (r *run) begins(f Fault) (end func()) {
	n := r.nodes[f.Host]
	switch f.Kind {
	case Kill, Terminate:
		sig := syscall.SIGKILL
		if f.Kind == Terminate {
			sig = syscall.SIGTERM
		}
		_ = n.host.Daemon.Signal(sig)
		return func() { r.startAgain(f.Host) }
	case Pause:
		_ = n.host.Daemon.Signal(syscall.SIGSTOP)
		return func() { _ = n.host.Daemon.Signal(syscall.SIGCONT) }
	case CutSilent, CutReset, CutSlow:
		n.link.set(f.Kind)
		return func() { n.link.set("") }
	case TargetFails, TargetSlow, TargetCuts:
		_ = n.target.SetBehaviour(behaviours[f.Kind])
		return func() { _ = n.target.SetBehaviour(target.Behaviour{Mode: target.Good}) }
	default:
		_ = r.fleet.SetPlatformFaults(platformFaults[f.Kind])
		return func() { _ = r.fleet.SetPlatformFaults(platformd.Faults{}) }
	}
}

var behaviours = map[Kind]target.Behaviour{
	TargetFails: {Mode: target.Errors, Share: 0.8},
	TargetSlow:  {Mode: target.Slow, Factor: 20},
	TargetCuts:  {Mode: target.Truncate, Share: 0.5},
}

var platformFaults = map[Kind]platformd.Faults{
	PlatformSilent:  {Silent: true},
	PlatformRefuses: {Outage: true},
	PlatformSlow:    {SlowMS: 200},
}

// startAgain starts a host's daemon again, once it has ended.
func (r *run) startAgain(host int) {
	h := r.nodes[host].host
	if ended, _ := h.Daemon.Wait(stopPatience); !ended {
		_ = h.Daemon.Signal(syscall.SIGKILL)
		_, _ = h.Daemon.Wait(stopPatience)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lives[host]++
	if err := r.fleet.Restart(h); err != nil {
		fmt.Fprintln(r.cfg.Logs, "soak:", err)
	}
}

func (r *run) life(host int) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lives[host]
}

// sample looks at what a host has in force, again and again. A look in which the
// process was started again counts for nothing.
func (r *run) sample(ctx context.Context, host int) {
	for sleep.For(ctx, samplePause) {
		life, asked := r.life(host), r.now()
		status, err := r.nodes[host].host.Status()
		if err != nil || r.life(host) != life {
			continue
		}
		r.mu.Lock()
		r.record.Samples = append(r.record.Samples, Sample{Host: host, Life: life, Asked: asked, Version: status.Control.Newest})
		r.mu.Unlock()
	}
}

// change writes one record after the other, past the proxies, as an operator elsewhere
// would. What was not acknowledged binds nobody.
func (r *run) change(ctx context.Context) {
	client := objects.NewClient(r.fleet.Platform, time.Second)
	defer client.Close()
	key := record.Key{Kind: record.KindTeam, Name: "soak"}
	for n := 1; sleep.For(ctx, changePause); n++ {
		value, err := record.Marshal(key, &record.Team{Office: "soak", RatePerSecond: float64(1000 + n)})
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
		r.record.Acked = append(r.record.Acked, Acked{Version: written.Version, At: r.now()})
		r.mu.Unlock()
	}
}

// call sends one request after the other over a connection that is kept for as long as
// the host keeps it.
func (r *run) call(ctx context.Context, host, caller int) {
	client := &http.Client{Timeout: callerPatience, Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
	defer client.CloseIdleConnections()
	for n := 0; sleep.For(ctx, callPause); n++ {
		req := Request{Mark: fmt.Sprintf("h%d-c%d-%d", host, caller, n), Host: host, Idempotent: n%2 == 0, Sent: r.now()}
		r.send(client, &req, "/plans/7")
		req.Done = r.now()
		r.mu.Lock()
		r.record.Requests = append(r.record.Requests, req)
		r.mu.Unlock()
	}
}

const (
	// fatalPause is the mean pause between two sends of the request that ends its
	// instances, and fatalPart the part of the run at whose begin it comes first.
	fatalPause = 300 * time.Millisecond
	fatalPart  = 0.15
)

// callFatal sends the request that ends the instances that run it, again and again, from
// one host after the other.
func (r *run) callFatal(ctx context.Context) {
	rng := rand.New(rand.NewPCG(r.cfg.Seed, 2))
	client := &http.Client{Timeout: callerPatience, Transport: &http.Transport{DisableKeepAlives: true}}
	if !sleep.For(ctx, time.Duration(fatalPart*float64(r.cfg.Duration))) {
		return
	}
	var wg sync.WaitGroup
	for n := 0; sleep.For(ctx, time.Duration(rng.ExpFloat64()*float64(fatalPause))); n++ {
		req := Request{Mark: fmt.Sprintf("fatal-%d", n), Host: rng.IntN(r.cfg.Hosts), Fatal: true, Idempotent: true, Sent: r.now()}
		wg.Go(func() {
			r.send(client, &req, "/plans"+target.CrashPathSuffix)
			req.Done = r.now()
			r.mu.Lock()
			defer r.mu.Unlock()
			r.record.Requests = append(r.record.Requests, req)
		})
	}
	wg.Wait()
}

// send makes one request and notes its answer. It is not cut short by the end of the
// run.
func (r *run) send(client *http.Client, req *Request, path string) {
	method := http.MethodPost
	if req.Idempotent {
		method = http.MethodGet
	}
	out, err := http.NewRequest(method, "http://"+r.nodes[req.Host].host.CallersAddress()+path, nil)
	if err != nil {
		panic("soak: " + err.Error())
	}
	out.Header.Set(target.MarkHeader, req.Mark)
	resp, err := client.Do(out)
	if err != nil {
		return
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return
	}
	req.Status, req.Verdict = resp.StatusCode, resp.Header.Get(verdict.Header)
	req.Stopped = strings.Contains(string(body), string(verdict.ReasonCrashesTargets))
	req.Own = resp.StatusCode == http.StatusOK && strings.Contains(string(body), "mark="+req.Mark+" ")
}

// countRuns adds up the runs of each request at the instances.
func (r *run) countRuns() error {
	for _, n := range r.nodes {
		runs, err := n.target.Runs()
		if err != nil {
			return errors.Wrapf(err, "runs of %s", n.target.Name)
		}
		for mark, count := range runs.ByMark {
			r.record.Runs[mark] += count
		}
		for _, ms := range runs.CrashTimes {
			r.record.Ends = append(r.record.Ends, time.UnixMilli(ms).Sub(r.start))
		}
	}
	return nil
}
