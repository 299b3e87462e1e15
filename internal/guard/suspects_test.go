package guard

import (
	"bufio"
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/radishhoist/radishhoist/internal/core/crash"
	"github.com/radishhoist/radishhoist/internal/core/directory"
	"github.com/radishhoist/radishhoist/internal/core/pulse"
	"github.com/radishhoist/radishhoist/internal/msg"
	"github.com/radishhoist/radishhoist/internal/wire"
	"github.com/radishhoist/radishhoist/verdict"
)

// crashingTarget is a target that terminates, or only closes a connection, on some
// paths.
type crashingTarget struct {
	listener net.Listener
	mu       sync.Mutex
	conns    []net.Conn
}

func startCrashingTarget(t *testing.T) *crashingTarget {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	f := &crashingTarget{listener: l}
	t.Cleanup(f.crash)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			f.mu.Lock()
			f.conns = append(f.conns, c)
			f.mu.Unlock()
			go f.serve(c)
		}
	}()
	return f
}

func (f *crashingTarget) serve(c net.Conn) {
	in := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		switch r.URL.Path {
		case "/end":
			f.crash()
		case "/break":
			_ = c.Close()
		case "/wait":
			time.Sleep(time.Hour)
		default:
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		}
	}
}

// crash closes everything at once, like a terminating process.
func (f *crashingTarget) crash() {
	_ = f.listener.Close()
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, c := range f.conns {
		_ = c.Close()
	}
}

// fleetReports collects what a guard reported to the fleet.
type fleetReports struct {
	crashes chan crash.Crash
	cleared chan string
	stopped chan BlockedRequest
}

func newSuspectGuard(t *testing.T, address, service string) (*Guard, fleetReports) {
	t.Helper()
	n := fleetReports{crashes: make(chan crash.Crash, 4), cleared: make(chan string, 4), stopped: make(chan BlockedRequest, 4)}
	g := New(Config{Host: "h", QueuePerSlot: 2, GrantLife: time.Minute, TargetIdle: time.Minute}, Limits{AnnounceExpiry: time.Hour},
		slog.New(slog.NewTextHandler(io.Discard, nil)), allowAllFence{}, Hooks{
			Changed: func() {}, LoadReport: func(*msg.LoadReport, pulse.Reach) {},
			Crashed: func(e crash.Crash) { n.crashes <- e }, Cleared: func(end string, _ crash.Fingerprint) { n.cleared <- end },
			Blocked: func(s BlockedRequest) { n.stopped <- s },
		})
	a := Announcement{Service: service, Address: address, Slots: 4, Connections: 8, Version: "1"}
	assert.NilError(t, g.Announce(time.Now(), "i", a))
	return g, n
}

// send runs one request to completion and returns the guard's last message.
func send(t *testing.T, g *Guard, path string, print crash.Fingerprint) msg.Message {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	near, far := wire.Pipe()
	defer near.Close()
	go g.Serve(far, &msg.Run{
		RequestID: path, Service: "s", Instance: "i", TimeoutMS: 20000, Idempotent: true, Method: "GET", URI: path, Host: "s.example",
		Hints: msg.AdmissionHints{Fingerprint: uint64(print)},
	})
	for {
		m, err := near.Recv(ctx)
		assert.NilError(t, err)
		switch m.(type) {
		case *msg.End, *msg.Fail:
			return m
		}
	}
}

// startWaiting starts a request with the fingerprint 5 that gets no response, and
// returns a channel with the guard's last message on it.
func startWaiting(t *testing.T, g *Guard) <-chan msg.Message {
	t.Helper()
	waits := make(chan msg.Message, 1)
	go func() { waits <- send(t, g, "/wait", 5) }()
	for len(g.all()[0].inFlight()) == 0 {
		time.Sleep(time.Millisecond)
	}
	return waits
}

// All requests in flight when an instance crashes are reported to the fleet once, and
// each caller gets the reason target-ended.
func TestCrashReportNamesInFlightRequests(t *testing.T) {
	f := startCrashingTarget(t)
	g, n := newSuspectGuard(t, f.listener.Addr().String(), "s")
	waits := startWaiting(t, g)
	fail, ok := send(t, g, "/end", 7).(*msg.Fail)
	assert.Assert(t, ok)
	assert.Equal(t, fail.Reason, verdict.ReasonTargetCrashed)
	assert.Equal(t, fail.Verdict, verdict.MayHaveRun)
	e := <-n.crashes
	assert.DeepEqual(t, e.Fingerprints, []crash.Fingerprint{7, 5})
	assert.Equal(t, e.Software, crash.Software{Service: "s", Version: "1"})
	assert.Equal(t, (<-waits).(*msg.Fail).Reason, verdict.ReasonTargetCrashed)
	assert.Equal(t, len(n.crashes), 0, "a crash is reported once")
}

// A broken connection is not a crash if the instance still accepts others.
func TestBrokenConnectionIsNotACrash(t *testing.T) {
	f := startCrashingTarget(t)
	g, n := newSuspectGuard(t, f.listener.Addr().String(), "s")
	fail, ok := send(t, g, "/break", 7).(*msg.Fail)
	assert.Assert(t, ok)
	assert.Equal(t, fail.Reason, verdict.ReasonTargetBroke)
	assert.Equal(t, len(n.crashes), 0)
}

// A request that has completed at the instance before is not suspected of crashing
// it.
func TestCompletedRequestIsNotSuspected(t *testing.T) {
	f := startCrashingTarget(t)
	g, n := newSuspectGuard(t, f.listener.Addr().String(), "s")
	_, whole := send(t, g, "/", 5).(*msg.End)
	assert.Assert(t, whole)
	startWaiting(t, g)
	send(t, g, "/end", 7)
	assert.DeepEqual(t, (<-n.crashes).Fingerprints, []crash.Fingerprint{7})
}

// An instance that announced its shutdown was not crashed by its requests.
func TestAnnouncedShutdownSuspectsNoRequest(t *testing.T) {
	f := startCrashingTarget(t)
	g, n := newSuspectGuard(t, f.listener.Addr().String(), "s")
	waits := startWaiting(t, g)
	assert.NilError(t, g.Announce(time.Now(), "i", Announcement{
		Service: "s", Address: f.listener.Addr().String(), Slots: 4, Connections: 8, Version: "1", Leaving: true,
	}))
	f.crash()
	assert.Equal(t, (<-waits).(*msg.Fail).Reason, verdict.ReasonTargetCrashed)
	assert.Equal(t, len(n.crashes), 0)
}

// crashAt returns a crash on another host at the given second with one suspected
// request.
func crashAt(second int, p crash.Fingerprint) crash.Crash {
	return crash.Crash{
		ID: string(rune('a' + second)), Software: crash.Software{Service: "s", Version: "1"},
		DetectedAt: time.Unix(int64(second), 0), Fingerprints: []crash.Fingerprint{p},
	}
}

// reportThreeCrashes reports three crashes on other hosts with the suspected request
// 5.
func reportThreeCrashes(g *Guard) {
	for second := range 3 {
		g.ApplyCrash(crashAt(second, 5))
	}
}

// A request that this host's front or guard has recently seen complete is not blocked
// when instances crash elsewhere. Guards of the service report it to the fleet, other
// hosts only note it locally; an old success has no effect.
func TestRecentlyCompletedRequestIsNotBlocked(t *testing.T) {
	for name, c := range map[string]struct {
		service string
		ago     time.Duration
		told    int
		stopped bool
	}{
		"by a guard of the service": {service: "s", told: 3},
		"by another host":           {service: "other"},
		"long ago":                  {service: "s", ago: completionLifetime + 2*time.Second, stopped: true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g, n := newSuspectGuard(t, "10.0.0.1:80", c.service)
				g.RecordCompletion(5, crash.Software{Service: "s", Version: "1"})
				time.Sleep(c.ago)
				reportThreeCrashes(g)
				time.Sleep(crash.ClearanceWait)
				v := g.CrashAssessment(5)
				assert.Equal(t, v.BlockedEverywhere(time.Now()), c.stopped)
				assert.Equal(t, len(n.cleared), c.told)
			})
		})
	}
}

// A guard that knows a request to complete reports nothing if another host has
// reported it by then.
func TestClearingIsReportedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, n := newSuspectGuard(t, "10.0.0.1:80", "s")
		g.RecordCompletion(5, crash.Software{Service: "s", Version: "1"})
		reportThreeCrashes(g)
		g.ApplyCleared("a", 5)
		g.ApplyCleared("b", 5)
		time.Sleep(crash.ClearanceWait)
		assert.Equal(t, len(n.cleared), 1)
		assert.Equal(t, g.CrashAssessment(5).Crashes, 0)
	})
}

// A request that arrives just as it would be blocked waits for a report that clears
// it.
func TestNewSuspectWaitsForClearance(t *testing.T) {
	f := startCrashingTarget(t)
	g, _ := newSuspectGuard(t, f.listener.Addr().String(), "s")
	reportThreeCrashes(g)
	time.AfterFunc(crash.ClearanceWait/3, func() {
		for _, id := range []string{"a", "b", "c"} {
			g.ApplyCleared(id, 5)
		}
	})
	_, whole := send(t, g, "/", 5).(*msg.End)
	assert.Assert(t, whole)
}

// A blocked request is stored only if it has not been cleared for a while. A request
// stored without cause would stay blocked after a restart of all processes, when no
// host is left on which it could complete.
func TestPromptlyClearedRequestIsNotStored(t *testing.T) {
	for name, cleared := range map[string]bool{"cleared": true, "not cleared": false} {
		t.Run(name, func(t *testing.T) {
			f := startCrashingTarget(t)
			g, n := newSuspectGuard(t, f.listener.Addr().String(), "s")
			g.ApplyCrash(crashAt(0, 5))
			g.ApplyCrash(crashAt(1, 5))
			waits := startWaiting(t, g)
			send(t, g, "/end", 7)
			<-waits
			assert.Equal(t, g.CrashAssessment(5).Crashes, 3)
			if cleared {
				g.ApplyCleared("a", 5)
			}
			time.Sleep(2 * crash.ClearanceWait)
			assert.Equal(t, len(n.stopped) == 0, cleared)
		})
	}
}

// A request suspected of three crashes anywhere reaches no instance here, whatever the
// state of the queue; one that completes here is cleared of its crashes.
func TestBlockedRequestReachesNoInstance(t *testing.T) {
	f := startCrashingTarget(t)
	g, n := newSuspectGuard(t, f.listener.Addr().String(), "s")
	for second := range 3 {
		g.ApplyCrash(crashAt(second, 7))
	}
	g.ApplyCrash(crashAt(3, 5))
	fail, ok := send(t, g, "/end", 7).(*msg.Fail)
	assert.Assert(t, ok)
	assert.Equal(t, fail.Reason, verdict.ReasonCrashesTargets)
	assert.Equal(t, fail.Verdict, verdict.NotRun)
	assert.Assert(t, fail.RetryAfterMS > 60_000)
	_, whole := send(t, g, "/", 5).(*msg.End)
	assert.Assert(t, whole, "one crash does not block a request")
	assert.Equal(t, <-n.cleared, "d")
	assert.Equal(t, g.CrashAssessment(5).Crashes, 0)
}

func BenchmarkSuspectLookup(b *testing.B) {
	g := New(Config{}, Limits{}, slog.New(slog.NewTextHandler(io.Discard, nil)), allowAllFence{}, Hooks{})
	b.ReportAllocs()
	for b.Loop() {
		if v := g.CrashAssessment(7); v.BlockedEverywhere(time.Time{}) {
			b.Fatal("stopped")
		}
	}
}

// Measures the cost of each success at a front and at a guard.
func BenchmarkCompleted(b *testing.B) {
	g := New(Config{}, Limits{}, slog.New(slog.NewTextHandler(io.Discard, nil)), allowAllFence{}, Hooks{})
	software := crash.Software{Service: "desk", Version: "1.4.2"}
	b.ReportAllocs()
	for n := crash.Fingerprint(1); b.Loop(); n++ {
		g.RecordCompletion(n, software)
	}
}

// Regression test for a crashed instance being offered to fronts until its
// announcements expire: each request sent there was refused and lost one of its
// attempts. Only missing announcements took an instance out of service, so its host
// kept announcing it as available. In ten seconds of the incident, 217 requests were
// sent to a port that refused connections, up to 3.4 s after the crash.
func TestTerminatedInstanceIsNotOffered(t *testing.T) {
	f := startCrashingTarget(t)
	g, _ := newSuspectGuard(t, f.listener.Addr().String(), "s")
	assert.Equal(t, g.Instances()[0].State, directory.Serving)
	send(t, g, "/end", 7)
	assert.Equal(t, g.Instances()[0].State, directory.Leaving)
	fail, ok := send(t, g, "/", 5).(*msg.Fail)
	assert.Assert(t, ok)
	assert.Equal(t, fail.Verdict, verdict.NotRun)
	assert.Equal(t, fail.Reason, verdict.ReasonDraining, "no connection is attempted")
	assert.NilError(t, g.Announce(time.Now(), "i", Announcement{Service: "s", Address: f.listener.Addr().String(), Slots: 4, Connections: 8, Version: "1"}))
	assert.Equal(t, g.Instances()[0].State, directory.Serving, "it has announced itself again")
}

// A port that refuses connections from the start counts like a connection that
// breaks.
func TestUnreachableInstanceIsNotOffered(t *testing.T) {
	f := startCrashingTarget(t)
	g, n := newSuspectGuard(t, f.listener.Addr().String(), "s")
	f.crash()
	fail, ok := send(t, g, "/", 5).(*msg.Fail)
	assert.Assert(t, ok)
	assert.Equal(t, fail.Reason, verdict.ReasonTargetDown)
	assert.Equal(t, fail.Verdict, verdict.NotRun)
	assert.Equal(t, g.Instances()[0].State, directory.Leaving)
	assert.Equal(t, len(n.crashes), 0, "nothing ran")
}
