package main

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// host is one sidecar machine: the daemon's process and its addresses.
type host struct {
	name, zone, service                   string
	callers, announce, ready, peer, admin string
	settings, output                      string
	cmd                                   *exec.Cmd
	exited                                chan struct{}
}

const program = "target/radishhoistd"

// settingsText is deploy/settings.ini.tmpl rendered for one machine of a small deployment.
const settingsText = `[host]
name = %s
dc = %s
service = %s
[listen]
callers = %s
announce = %s
ready = %s
peer = %s
admin = %s
[platform]
adapter = bureau
url = http://%s
terms = base,drain,config,cost,retry,recover,health,platform
[peers]
areas = %s
[limits]
header_timeout = 1m
idle_timeout = 1h
pipeline_depth = 8
memory_mb = 284
max_fds = 4100
[guard]
announce_expiry = 30s
strict_announcements = yes
target_idle = 9s
drain_timeout = 6s
[control]
apply_within = 2000ms
status_interval = 1m
[retry]
window = 10s
reserve = 60
[teams]
[defaults]
preset = quick
floor_share = 0.7
retry_share = 0.2
`

// loopback is a loopback address of this process's own, so that cases that run at the same time do
// not take each other's ports.
func loopback() string {
	const numbers = 250
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.1", 1+pid/numbers%numbers, 1+pid%numbers)
}

// Daemons listen on ports below those that the kernel gives to connections.
const (
	firstPort = 12000
	lastPort  = 30000
)

// nextPort is the next port to try. Each port is handed out once.
var nextPort = firstPort + os.Getpid()%1000*10

// freeAddresses returns n loopback addresses whose ports are free now.
func freeAddresses(n int) ([]string, error) {
	var out []string
	for len(out) < n {
		if nextPort++; nextPort > lastPort {
			return nil, errors.New("no free port")
		}
		address := fmt.Sprintf("%s:%d", loopback(), nextPort)
		l, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		_ = l.Close()
		out = append(out, address)
	}
	return out, nil
}

func newHost(dir, name, zone, service, areas, platform string) (*host, error) {
	a, err := freeAddresses(5)
	if err != nil {
		return nil, err
	}
	h := &host{name: name, zone: zone, service: service, callers: a[0], announce: a[1], ready: a[2], peer: a[3], admin: a[4]}
	h.settings, h.output = filepath.Join(dir, name+".ini"), filepath.Join(dir, name+".log")
	text := fmt.Sprintf(settingsText, name, zone, service, h.callers, h.announce, h.ready, h.peer, h.admin, platform, areas)
	return h, os.WriteFile(h.settings, []byte(text), 0o600)
}

func (h *host) start() error {
	out, err := os.OpenFile(h.output, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = out.Close() }()
	cmd := exec.Command(program, "-config", h.settings)
	cmd.Stdout, cmd.Stderr = out, out
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	h.cmd, h.exited = cmd, exited
	go func() { _ = cmd.Wait(); close(exited) }()
	return nil
}

func (h *host) signal(s syscall.Signal) {
	if h.cmd != nil {
		_ = h.cmd.Process.Signal(s)
	}
}

// kill ends the process at once and waits for its end.
func (h *host) kill() {
	if h.cmd == nil {
		return
	}
	h.signal(syscall.SIGKILL)
	<-h.exited
}

func (h *host) isReady() bool {
	c := http.Client{Timeout: time.Second}
	resp, err := c.Get("http://" + h.ready + "/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// awaitReady waits until the readiness check succeeds.
func (h *host) awaitReady(timeout time.Duration) bool {
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if h.isReady() {
			return true
		}
	}
	return false
}
