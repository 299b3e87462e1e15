package control

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/radishhoist/radishhoist/internal/core/config"
	"github.com/radishhoist/radishhoist/internal/core/crash"
	"github.com/radishhoist/radishhoist/internal/core/directory"
	"github.com/radishhoist/radishhoist/internal/core/member"
	"github.com/radishhoist/radishhoist/internal/msg"
	"github.com/radishhoist/radishhoist/internal/objects"
	"github.com/radishhoist/radishhoist/internal/standin/memnet"
	"github.com/radishhoist/radishhoist/internal/standin/platformd"
	"github.com/radishhoist/radishhoist/record"
)

// testRepairInterval is what the settings derive from testApplyLimit.
const testRepairInterval = 600 * time.Millisecond

// fleet runs the control planes of several hosts, and a platform that may turn some of them away,
// in virtual time.
type fleet struct {
	t        *testing.T
	platform *platformd.Server
	hosts    map[string]*fleetHost
	byAddr   map[string]*fleetHost
	stop     func()
}

// fleetHost is one host of a fleet. As a MessageSender and packetConn it delivers to other hosts.
type fleetHost struct {
	fleet   *fleet
	name    string
	dc      string
	addr    netip.AddrPort
	control *Control
	packets chan fleetPacket
	closed  chan struct{}

	mu sync.Mutex
	// turnedAway is the form in which the platform turns this host away, empty if it serves it.
	turnedAway turnedAway
	calls      int
	// cutOff is closed when the platform ends the calls in progress of this host.
	cutOff chan struct{}
}

type fleetPacket struct {
	data []byte
	from netip.AddrPort
}

// turnedAway is a form in which a platform turns a host away.
type turnedAway string

const (
	unavailable     turnedAway = "503"
	tooManyRequests turnedAway = "429"
	reset           turnedAway = "reset"
	silent          turnedAway = "silence"
)

// newFleet starts a fleet of hosts in three data centres, once all hosts know each other.
func newFleet(t *testing.T, hosts int) *fleet {
	f := &fleet{t: t, platform: platformd.NewServer(), hosts: make(map[string]*fleetHost), byAddr: make(map[string]*fleetHost)}
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	var stops []func()
	for i := range hosts {
		h := &fleetHost{
			fleet: f, name: fmt.Sprintf("h%02d", i), dc: fmt.Sprintf("dc%d", i%3), packets: make(chan fleetPacket, 1024), closed: make(chan struct{}), cutOff: make(chan struct{}),
			addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)}), 7300),
		}
		f.hosts[h.name], f.byAddr[h.addr.String()] = h, h
		listener := memnet.Listen()
		server := &http.Server{Handler: h.limitCalls(f.platform.Handler())}
		go func() { _ = server.Serve(listener) }()
		client := objects.NewClient("http://platform", testWatchWait)
		client.SetDial(listener.Dial)
		stops = append(stops, func() { client.Close(); _ = server.Close() })
		m := member.DefaultConfig(h.name)
		replica := config.DefaultConfig()
		replica.RepairInterval = testRepairInterval
		h.control = New(Config{
			Host: h.name, DC: h.dc, PeerAddr: h.addr.String(), Incarnation: uint64(i + 1), MaxRetryInterval: testMaxRetryInterval,
			Member: m, Replica: replica, WatchersPerDC: 2, StatusInterval: time.Hour,
		}, Hooks{
			Directory: func(*directory.Directory) {}, Instances: noInstances, LoadReport: func(*msg.LoadReport) {},
			Crashed: func(crash.Crash) {}, Unblocked: func(crash.Fingerprint) {},
		}, client, slog.New(slog.NewTextHandler(io.Discard, nil)))
		h.control.SetSender(h)
		h.control.udp = h
	}
	for _, h := range f.hosts {
		running.Go(func() { h.control.Run(ctx) })
	}
	f.stop = func() {
		cancel()
		for _, h := range f.hosts {
			h.setTurnedAway("")
		}
		running.Wait()
		for _, stop := range stops {
			stop()
		}
	}
	time.Sleep(10 * time.Second)
	return f
}

// limitCalls counts the calls of a host and applies the form in which it is turned away.
func (h *fleetHost) limitCalls(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		h.mu.Lock()
		h.calls++
		form, cutOff := h.turnedAway, h.cutOff
		h.mu.Unlock()
		if form == "" {
			ctx, cancel := context.WithCancel(r.Context())
			defer cancel()
			done := make(chan struct{})
			defer close(done)
			go func() {
				select {
				case <-cutOff:
					cancel()
				case <-done:
				}
			}()
			// The stand-in responds to the end of the context with an empty watch.
			recorder := newHeldResponse(w, func() bool { return h.form() == "" })
			next.ServeHTTP(recorder, r.WithContext(ctx))
			form = h.form()
		}
		switch form {
		case unavailable:
			w.WriteHeader(http.StatusServiceUnavailable)
		case tooManyRequests:
			w.WriteHeader(http.StatusTooManyRequests)
		case reset:
			panic(http.ErrAbortHandler)
		case silent:
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		}
	})
}

// heldResponse drops a response that ends after its host has been turned away.
type heldResponse struct {
	http.ResponseWriter
	pass func() bool
}

func newHeldResponse(w http.ResponseWriter, pass func() bool) *heldResponse {
	return &heldResponse{ResponseWriter: w, pass: pass}
}

// WriteHeader implements http.ResponseWriter.
func (r *heldResponse) WriteHeader(status int) {
	if r.pass() {
		r.ResponseWriter.WriteHeader(status)
	}
}

// Write implements http.ResponseWriter.
func (r *heldResponse) Write(b []byte) (int, error) {
	if r.pass() {
		return r.ResponseWriter.Write(b)
	}
	return len(b), nil
}

func (h *fleetHost) form() turnedAway {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.turnedAway
}

// setTurnedAway changes how the platform treats a host, and ends its calls in progress if it is
// turned away.
func (h *fleetHost) setTurnedAway(form turnedAway) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.turnedAway = form
	if form != "" {
		close(h.cutOff)
		h.cutOff = make(chan struct{})
	}
}

// SendControl implements MessageSender.
func (h *fleetHost) SendControl(_ context.Context, addr string, m msg.Message) error {
	to, ok := h.fleet.byAddr[addr]
	if !ok {
		return net.ErrClosed
	}
	to.control.HandleControl(&msg.Hello{Host: h.name, DC: h.dc}, m)
	return nil
}

// SendLossy implements MessageSender.
func (h *fleetHost) SendLossy(ctx context.Context, addr string, m msg.Message) error {
	return h.SendControl(ctx, addr, m)
}

// ReadFromUDP implements packetConn.
func (h *fleetHost) ReadFromUDP(buf []byte) (int, *net.UDPAddr, error) {
	select {
	case p := <-h.packets:
		return copy(buf, p.data), net.UDPAddrFromAddrPort(p.from), nil
	case <-h.closed:
		return 0, nil, net.ErrClosed
	}
}

// WriteToUDP implements packetConn.
func (h *fleetHost) WriteToUDP(buf []byte, to *net.UDPAddr) (int, error) {
	return h.WriteToUDPAddrPort(buf, to.AddrPort())
}

// WriteToUDPAddrPort implements packetConn.
func (h *fleetHost) WriteToUDPAddrPort(buf []byte, to netip.AddrPort) (int, error) {
	other, ok := h.fleet.byAddr[netip.AddrPortFrom(to.Addr().Unmap(), to.Port()).String()]
	if !ok {
		return 0, net.ErrClosed
	}
	select {
	case other.packets <- fleetPacket{append([]byte{}, buf...), h.addr}:
	default:
	}
	return len(buf), nil
}

// LocalAddr implements packetConn.
func (h *fleetHost) LocalAddr() net.Addr { return net.UDPAddrFromAddrPort(h.addr) }

// Close implements packetConn.
func (h *fleetHost) Close() error {
	close(h.closed)
	return nil
}

// watchers returns the hosts that watch the platform.
func (f *fleet) watchers() []*fleetHost {
	var out []*fleetHost
	for _, h := range f.hosts {
		if h.control.State().Watching {
			out = append(out, h)
		}
	}
	return out
}

// change stores a record in the platform and returns the time until all hosts have it, limit if
// that takes longer.
func (f *fleet) change(name string, limit time.Duration) time.Duration {
	key := record.Key{Kind: record.KindService, Name: name}
	value, err := record.Marshal(key, &record.Service{Office: "o", Preset: record.PresetQuick, Floor: record.Floor{Percent: 50}})
	assert.NilError(f.t, err)
	_, ok := f.platform.Store.Put(key, value, 0)
	assert.Assert(f.t, ok)
	start := time.Now()
	for time.Since(start) < limit {
		time.Sleep(10 * time.Millisecond)
		missing := 0
		for _, h := range f.hosts {
			if !h.has(key) {
				missing++
			}
		}
		if missing == 0 {
			break
		}
	}
	return time.Since(start)
}

func (h *fleetHost) has(key record.Key) bool {
	h.control.mu.Lock()
	defer h.control.mu.Unlock()
	_, ok := h.control.replica.Set(msg.SetRecords).Get(config.Key{Kind: string(key.Kind), Name: key.Name})
	return ok
}

func (f *fleet) calls() int {
	sum := 0
	for _, h := range f.hosts {
		h.mu.Lock()
		sum += h.calls
		h.mu.Unlock()
	}
	return sum
}

// maxStretch is the time by which a platform that turns some hosts away may delay a change beyond
// testApplyLimit.
const maxStretch = 5 * time.Second

// Guards against a platform that turns away just the hosts that watch it: no other host read it, so
// that the whole fleet stayed at an old configuration until they were served again.
func TestChangeIsAppliedWhileWatchersAreTurnedAway(t *testing.T) {
	// The platform turns away 0.35 of the hosts at most.
	const hosts, mostTurnedAway = 24, 8
	for _, form := range []turnedAway{unavailable, tooManyRequests, reset, silent} {
		for _, whoever := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, whoever takes over %t", form, whoever), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					f := newFleet(t, hosts)
					defer f.stop()
					assert.Assert(t, f.change("before", time.Minute) <= testApplyLimit)
					away := f.watchers()
					assert.Equal(t, len(away), 6)
					for _, h := range away {
						h.setTurnedAway(form)
					}
					successors := make(chan []*fleetHost, 1)
					go func() {
						n := 0
						if whoever {
							n = mostTurnedAway - len(away)
						}
						successors <- f.turnAwayWhoever(n, form)
					}()
					time.Sleep(200 * time.Millisecond)
					late := f.change("during", 30*time.Second)
					away = append(away, <-successors...)
					t.Logf("in force everywhere after %s, %d hosts turned away", late, len(away))
					assert.Check(t, late <= testApplyLimit+maxStretch, "in force after %s", late)
					assert.Check(t, f.change("later", time.Minute) <= testApplyLimit, "the substitutes watch")
					for _, h := range away {
						h.setTurnedAway("")
					}
					time.Sleep(10 * time.Second)
					assert.Equal(t, len(f.watchers()), 6, "the substitutes no longer watch")
				})
			})
		}
	}
}

// turnAwayWhoever turns away the next n hosts that begin to watch.
func (f *fleet) turnAwayWhoever(n int, form turnedAway) []*fleetHost {
	var out []*fleetHost
	for deadline := time.Now().Add(20 * time.Second); len(out) < n && time.Now().Before(deadline); {
		time.Sleep(time.Millisecond)
		for _, h := range f.watchers() {
			if h.form() == "" && len(out) < n {
				h.setTurnedAway(form)
				out = append(out, h)
			}
		}
	}
	return out
}

// Guards against a handover that costs more than the fault: calls while the platform serves all
// hosts, or none.
func TestHandoverCausesFewCalls(t *testing.T) {
	const hosts, span = 24, 30 * time.Second
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, hosts)
		defer f.stop()
		before := f.calls()
		time.Sleep(span)
		sound := f.calls() - before
		assert.Equal(t, len(f.watchers()), 6)
		for _, h := range f.hosts {
			h.setTurnedAway(unavailable)
		}
		before = f.calls()
		time.Sleep(span)
		out := f.calls() - before
		for _, h := range f.hosts {
			h.setTurnedAway("")
		}
		before = f.calls()
		time.Sleep(time.Second)
		returned := f.calls() - before
		t.Logf("calls in %s: %d while all hosts are served, %d while none is; %d in the first second after it", span, sound, out, returned)
		// Each watcher pauses for half of the longest pause at least, and asks a host a second at
		// most on average.
		ownCalls := 6 * int(span/(testMaxRetryInterval/2))
		assert.Check(t, out <= ownCalls+6*int(span/time.Second), "%d calls", out)
		assert.Check(t, returned <= 6*10, "%d calls", returned)
	})
}
