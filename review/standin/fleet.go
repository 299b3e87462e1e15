package main

import (
	"bufio"
	"context"
	"fmt"
	"maps"
	"math/rand"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// route is one route of the configuration; method and deadline are the consumers'.
type route struct {
	Name, Hostname, PathPrefix, Type, Service string
	TimeoutMS, TargetMS, Priority, Attempts   int

	method   string
	deadline time.Duration
}

// fields returns the route as the operator writes it.
func (rt *route) fields() map[string]any {
	return map[string]any{
		"name": rt.Name, "hostname": rt.Hostname, names.PathPrefix: rt.PathPrefix, names.RouteType: rt.Type, "service": rt.Service,
		"timeout-ms": rt.TimeoutMS, names.TargetLatency: rt.TargetMS, "priority": rt.Priority, names.MaxAttempts: rt.Attempts,
	}
}

// host is one machine: a daemon and its application instance.
type host struct {
	name, zone, service               string
	ip, app, outbound, ready, control string
	settings                          string
	// storeAddr is where the host reaches the store.
	storeAddr string
	// turnedAway says that the store refuses the host's calls; watchedAt is the time of its
	// last watch, in Unix milliseconds. endCalls, which mu guards, ends its calls in progress.
	turnedAway atomic.Bool
	watchedAt  atomic.Int64
	endCalls   map[int64]context.CancelFunc
	// in says that consumers use the host.
	in atomic.Bool

	mu sync.Mutex
	// daemon is the running process, nil before the first.
	daemon *process
	// exits counts the processes that ended by themselves.
	exits int
}

// process is one daemon process.
type process struct {
	cmd  *exec.Cmd
	done chan struct{}
	// stopping says that the rig ends the process, so that it is not restarted. The mutex of
	// the host guards it.
	stopping bool
}

// rig runs one case: the platform's store, daemons, instances and consumers.
type rig struct {
	dir, repo, tmp, octets string
	trouble                bool
	start                  time.Time
	store                  *store
	hosts                  []*host
	routes                 []route
	services               []string
	stopConsumers          chan struct{}
	consumers              sync.WaitGroup

	mu       sync.Mutex
	out      *bufio.Writer
	requests []*request
	runs     []run
}

// run is one request that an instance began to work on.
type run struct {
	id, instance, host, caller string
	at                         time.Time
}

// Ports of every host; each host has a loopback address of its own.
const (
	portApp      = 8301
	portOutbound = 8304
	portReady    = 8302
	portControl  = 8306
	portStore    = 8309
)

// restartDelay is the pause before the platform restarts a process that has ended.
const restartDelay = 500 * time.Millisecond

// note writes one line to the record.
func (r *rig) note(format string, args ...any) {
	line := fmt.Sprintf("%8.3f  ", time.Since(r.start).Seconds()) + fmt.Sprintf(format, args...)
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintln(r.out, line)
	fmt.Println(line)
}

// abort ends the case as one that could not run.
func (r *rig) abort(format string, args ...any) {
	r.note("cannot run: "+format, args...)
	r.stopAll()
	r.mu.Lock()
	_ = r.out.Flush()
	os.Exit(2)
}

func (r *rig) ran(in *instance, id string, q *http.Request, _ int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs = append(r.runs, run{id: id, instance: in.id, host: in.host.name, caller: q.Header.Get(names.CallerService), at: time.Now()})
}

func (r *rig) finished(q *request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.requests = append(r.requests, q)
}

// pickOctets finds a part of the loopback range whose addresses are free.
func pickOctets() string {
	for range 50 {
		octets := fmt.Sprintf("127.%d.%d", 20+rand.Intn(200), 1+rand.Intn(250))
		l, err := net.Listen("tcp", octets+".1:"+strconv.Itoa(portStore))
		if err == nil {
			_ = l.Close()
			return octets
		}
	}
	return ""
}

// newRig prepares a case and starts the store.
func newRig(dir, repo string, trouble bool) *rig {
	f, err := os.Create(filepath.Join(dir, "record.txt"))
	if err != nil {
		fmt.Println(err)
		os.Exit(2)
	}
	r := &rig{
		dir: dir, repo: repo, trouble: trouble, start: time.Now(), octets: pickOctets(), store: newStore(),
		stopConsumers: make(chan struct{}), out: bufio.NewWriter(f),
	}
	r.note("trouble %v", trouble)
	return r
}

// addHost adds a machine that runs an instance of a service.
func (r *rig) addHost(name, zone, service string) *host {
	ip := fmt.Sprintf("%s.%d", r.octets, 11+len(r.hosts))
	at := func(port int) string { return ip + ":" + strconv.Itoa(port) }
	h := &host{
		name: name, zone: zone, service: service, ip: ip,
		app: at(portApp), outbound: at(portOutbound), ready: at(portReady), control: at(portControl),
		storeAddr: at(portStore),
	}
	r.hosts = append(r.hosts, h)
	l, err := net.Listen("tcp", h.storeAddr)
	if err != nil {
		r.abort("store for %s: %v", name, err)
	}
	go func() { _ = http.Serve(l, r.storeFor(h)) }()
	return h
}

// storeFor serves the store to one host.
func (r *rig) storeFor(h *host) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		if q.URL.Query().Has("watch") {
			h.watchedAt.Store(time.Now().UnixMilli())
		}
		ctx, end := context.WithCancel(q.Context())
		defer end()
		id := nextID.Add(1)
		h.mu.Lock()
		if h.endCalls == nil {
			h.endCalls = make(map[int64]context.CancelFunc)
		}
		h.endCalls[id] = end
		h.mu.Unlock()
		defer func() {
			h.mu.Lock()
			defer h.mu.Unlock()
			delete(h.endCalls, id)
		}()
		if h.turnedAway.Load() {
			reply(w, http.StatusServiceUnavailable, nil)
			return
		}
		r.store.ServeHTTP(w, q.WithContext(ctx))
	})
}

// turnAway makes the store refuse the host's calls, those in progress too.
func (h *host) turnAway() {
	h.turnedAway.Store(true)
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, end := range h.endCalls {
		end()
	}
}

// configure writes a configuration as the operator.
func (r *rig) configure(version int) {
	services := []map[string]any{}
	for _, s := range r.services {
		services = append(services, map[string]any{"name": s, "health-check-path": "/health", "max-connections": 360, "protocol": "h1", "tls": false})
	}
	routes := []map[string]any{}
	for i := range r.routes {
		routes = append(routes, r.routes[i].fields())
	}
	r.store.put("config", "main", map[string]any{
		"version": version, "routes": routes, "services": services,
		"limits": map[string]any{"max-header-bytes": 16384, "max-body-bytes": 67108864, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
	})
	r.note("configuration %d confirmed", version)
}

// fields returns the settings of a host as the platform gives them, with the names of
// deploy/wire.toml.
func (r *rig) fields(h *host) map[string]any {
	zones := map[string]any{}
	for _, other := range r.hosts {
		zones[other.zone] = "region"
	}
	out := maps.Clone(names.Settings)
	maps.Copy(out, map[string]any{
		"node-name": h.name, "dc": h.zone, "service": h.service, "ip": h.ip,
		"listen-addrs": map[string]any{"outbound": h.outbound, "control": h.control, "ready": h.ready},
		"platform":     map[string]any{"address": h.storeAddr},
		"zones":        zones,
	})
	return out
}

// command returns the start command of the deploy file with the path of the settings file.
func (r *rig) command(settings string) []string {
	raw, err := os.ReadFile(filepath.Join(r.repo, "deploy/system.toml"))
	if err != nil {
		r.abort("%v", err)
	}
	for _, line := range strings.Split(string(raw), "\n") {
		value, ok := strings.CutPrefix(strings.TrimSpace(line), "run = ")
		if !ok {
			continue
		}
		words := strings.Fields(strings.Trim(value, `"`))
		for i, w := range words {
			if strings.HasPrefix(w, "/etc/") {
				words[i] = settings
			}
		}
		words[0] = filepath.Join(r.repo, words[0])
		return words
	}
	r.abort("deploy/system.toml has no run command")
	return nil
}

// startHosts renders the settings, starts all daemons and waits until they are ready.
func (r *rig) startHosts(tmp string) {
	template, err := os.ReadFile(filepath.Join(r.repo, "deploy/settings.ini.tmpl"))
	if err != nil {
		r.abort("%v", err)
	}
	for _, h := range r.hosts {
		h.settings = filepath.Join(tmp, h.name+".ini")
		if err := os.WriteFile(h.settings, []byte(render(string(template), r.fields(h))), 0o600); err != nil {
			r.abort("%v", err)
		}
		r.startDaemon(h)
	}
	go r.checkReadiness()
	r.waitFor(20*time.Second, "all hosts are ready", func() bool {
		for _, h := range r.hosts {
			if !h.in.Load() {
				return false
			}
		}
		return true
	})
}

// startDaemon starts the daemon of a host. A process that ends by itself is started again.
func (r *rig) startDaemon(h *host) {
	words := r.command(h.settings)
	cmd := exec.Command(words[0], words[1:]...)
	cmd.Dir = r.repo
	log, err := os.OpenFile(h.settings+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		r.abort("%v", err)
	}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		r.abort("start %s: %v", h.name, err)
	}
	p := &process{cmd: cmd, done: make(chan struct{})}
	h.mu.Lock()
	h.daemon = p
	h.mu.Unlock()
	go func() {
		err := cmd.Wait()
		_ = log.Close()
		h.mu.Lock()
		stopping := p.stopping
		if !stopping {
			h.exits++
		}
		h.mu.Unlock()
		if !stopping {
			r.note("the daemon of %s ended by itself: %v; %s", h.name, err, panicLine(h.settings+".log"))
			time.Sleep(restartDelay)
		}
		h.mu.Lock()
		stopping = p.stopping
		h.mu.Unlock()
		if !stopping {
			r.startDaemon(h)
		}
		close(p.done)
	}()
}

// panicLine returns the line of a log that says why the process ended.
func panicLine(path string) string {
	raw, _ := os.ReadFile(path)
	for _, line := range strings.Split(string(raw), "\n") {
		if strings.HasPrefix(line, "panic: ") || strings.HasPrefix(line, "fatal error: ") {
			return line
		}
	}
	return "no panic in its log"
}

// kill ends the daemon of a host for good with SIGKILL.
func (h *host) kill() {
	h.mu.Lock()
	p := h.daemon
	if p != nil {
		p.stopping = true
	}
	h.mu.Unlock()
	if p == nil {
		return
	}
	_ = p.cmd.Process.Kill()
	<-p.done
	h.mu.Lock()
	restarted := h.daemon != p
	h.mu.Unlock()
	if restarted {
		// The process had ended by itself and was just being started again.
		h.kill()
	}
}

// checkReadiness asks each host once per second, as the platform does: two misses in a row take
// it out, an answer brings it back.
func (r *rig) checkReadiness() {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	misses := make(map[*host]int)
	for {
		for _, h := range r.hosts {
			resp, err := client.Get("http://" + h.ready + "/ready")
			if err == nil {
				_ = resp.Body.Close()
			}
			if err == nil && resp.StatusCode == http.StatusOK {
				misses[h] = 0
				h.in.Store(true)
				continue
			}
			if misses[h]++; misses[h] >= 2 {
				h.in.Store(false)
			}
		}
		time.Sleep(time.Second)
	}
}

// waitFor waits until a condition holds, and aborts the case if it does not in time.
func (r *rig) waitFor(limit time.Duration, what string, condition func() bool) {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if condition() {
			r.note("%s", what)
			return
		}
	}
	r.abort("not in time: %s", what)
}

// startConsumers starts n consumers of a route on a host.
func (r *rig) startConsumers(h *host, rt route, n int, pause time.Duration) {
	for i := range n {
		c := &consumer{rig: r, host: h, route: rt, pause: pause}
		r.consumers.Add(1)
		go func() {
			defer r.consumers.Done()
			time.Sleep(time.Duration(i) * pause / time.Duration(n))
			c.run()
		}()
	}
}

// stopAll ends all daemons and removes the temporary folder.
func (r *rig) stopAll() {
	for _, h := range r.hosts {
		h.kill()
	}
	if r.tmp != "" && os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(r.tmp)
	}
}

// finish writes the record, ends everything and exits with the result.
func (r *rig) finish(broken bool, verdict string) {
	r.stopAll()
	r.note("result: %s", verdict)
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintln(r.out, "\nrequests: id, host, route, sent, ended, kept, status, failure")
	for _, q := range r.requests {
		fmt.Fprintf(r.out, "%s %s %s %.3f %.3f %v %d %s\n", q.id, q.host, q.route, q.sentAt.Sub(r.start).Seconds(), q.endedAt.Sub(r.start).Seconds(), q.kept, q.status, q.failure)
	}
	fmt.Fprintln(r.out, "\nruns: id, instance, host, caller service, at")
	for _, u := range r.runs {
		fmt.Fprintf(r.out, "%s %s %s %s %.3f\n", u.id, u.instance, u.host, u.caller, u.at.Sub(r.start).Seconds())
	}
	_ = r.out.Flush()
	if broken {
		os.Exit(1)
	}
	os.Exit(0)
}
