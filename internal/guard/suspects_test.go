package guard

import (
	"bufio"
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/radishhoist/radishhoist/internal/core/crash"
	"github.com/radishhoist/radishhoist/internal/core/directory"
	"github.com/radishhoist/radishhoist/internal/core/loadreport"
	"github.com/radishhoist/radishhoist/internal/msg"
	"github.com/radishhoist/radishhoist/internal/targetconn"
	"github.com/radishhoist/radishhoist/internal/wire"
	"github.com/radishhoist/radishhoist/verdict"
)

// crashingTarget is a target in virtual time that crashes on the path /crash, closes the
// connection on /break and does not respond on /wait.
type crashingTarget struct {
	// waiting receives a value for each request that has arrived on /wait.
	waiting chan struct{}
	mu      sync.Mutex
	conns   []net.Conn
	// crashed is closed by the crash.
	crashed chan struct{}
}

// suspectAddress is the address of a crashingTarget.
const suspectAddress = "10.0.0.1:80"

func startCrashingTarget(t *testing.T) *crashingTarget {
	t.Helper()
	target := &crashingTarget{waiting: make(chan struct{}, 4), crashed: make(chan struct{})}
	t.Cleanup(target.crash)
	return target
}

// dial connects to the target. After a crash, its port refuses connections.
func (t *crashingTarget) dial(context.Context, string) (net.Conn, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.hasCrashed() {
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: syscall.ECONNREFUSED}
	}
	near, far := net.Pipe()
	t.conns = append(t.conns, far)
	go t.serve(far)
	return near, nil
}

func (t *crashingTarget) serve(c net.Conn) {
	in := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		switch r.URL.Path {
		case "/crash":
			t.crash()
		case "/break":
			_ = c.Close()
		case "/wait":
			t.waiting <- struct{}{}
			<-t.crashed
		default:
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		}
	}
}

func (t *crashingTarget) hasCrashed() bool {
	select {
	case <-t.crashed:
		return true
	default:
		return false
	}
}

// crash closes all connections and refuses further ones, like a crashing process.
func (t *crashingTarget) crash() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.hasCrashed() {
		return
	}
	close(t.crashed)
	for _, c := range t.conns {
		_ = c.Close()
	}
}

// fleetReports collects what a guard reported to the fleet.
type fleetReports struct {
	crashes chan crash.Crash
	cleared chan string
	blocked chan BlockedRequest
}

// newSuspectGuard returns a guard with the target as instance i of a service. The target may be nil
// if the test sends nothing.
func newSuspectGuard(t *testing.T, target *crashingTarget, service string) (*Guard, fleetReports) {
	t.Helper()
	reports := fleetReports{crashes: make(chan crash.Crash, 4), cleared: make(chan string, 4), blocked: make(chan BlockedRequest, 4)}
	cfg := Config{Host: "h", QueuePerSlot: 2, GrantTTL: time.Minute, TargetIdleTimeout: time.Minute}
	if target != nil {
		cfg.Dial = target.dial
	}
	g := New(cfg, Limits{AnnounceExpiry: time.Hour},
		slog.New(slog.NewTextHandler(io.Discard, nil)), allowAllFence{}, Hooks{
			Changed: func() {}, LoadReport: func(*msg.LoadReport, loadreport.Scope) {},
			Crashed: func(c crash.Crash) { reports.crashes <- c }, Cleared: func(id string, _ crash.Fingerprint) { reports.cleared <- id },
			Blocked: func(b BlockedRequest) { reports.blocked <- b },
		})
	a := Announcement{Service: service, Address: suspectAddress, Slots: 4, Connections: 8, Version: "1"}
	assert.NilError(t, g.Announce(time.Now(), "i", a))
	return g, reports
}

// send runs one request to completion and returns the guard's last message.
func send(t *testing.T, g *Guard, path string, fp crash.Fingerprint) msg.Message {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	near, far := wire.Pipe()
	defer near.Close()
	go g.Serve(far, &msg.Run{
		RequestID: path, Service: "s", Instance: "i", TimeoutMS: 20000, Idempotent: true, Method: "GET", URI: path, Host: "s.example",
		Hints: msg.AdmissionHints{Fingerprint: uint64(fp)},
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
// returns a channel with the guard's last message on it. It waits until the request has
// arrived at the target: until it is sent, the end of the target leaves it not run, with the
// reason target-down.
func startWaiting(t *testing.T, g *Guard, target *crashingTarget) <-chan msg.Message {
	t.Helper()
	waiting := make(chan msg.Message, 1)
	go func() { waiting <- send(t, g, "/wait", 5) }()
	select {
	case <-target.waiting:
	case <-time.After(20 * time.Second):
		t.Fatal("the request did not arrive at the target")
	}
	time.Sleep(time.Millisecond) // requests are ordered by the time at which they were sent
	return waiting
}

// When an instance crashes, all requests in flight there are reported to the fleet in one
// report, and each caller gets the reason target-ended.
func TestCrashReportNamesInFlightRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		target := startCrashingTarget(t)
		g, reports := newSuspectGuard(t, target, "s")
		waiting := startWaiting(t, g, target)
		fail, ok := send(t, g, "/crash", 7).(*msg.Fail)
		assert.Assert(t, ok)
		assert.Equal(t, fail.Reason, verdict.ReasonTargetCrashed)
		assert.Equal(t, fail.Verdict, verdict.MayHaveRun)
		c := <-reports.crashes
		assert.DeepEqual(t, c.Fingerprints, []crash.Fingerprint{7, 5})
		assert.Equal(t, c.Software, crash.Software{Service: "s", Version: "1"})
		assert.Equal(t, (<-waiting).(*msg.Fail).Reason, verdict.ReasonTargetCrashed)
		assert.Equal(t, len(reports.crashes), 0, "a crash is reported once")
	})
}

// Guards against a crash that is taken for a broken connection because the check of the port timed out
// on a busy host.
func TestCrashIsDetectedAfterSlowProbe(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		target := startCrashingTarget(t)
		g, reports := newSuspectGuard(t, target, "s")
		sound, slow := target.dial, true
		g.all()[0].client = targetconn.New(targetconn.Config{MaxConns: 8, Dial: func(ctx context.Context, address string) (net.Conn, error) {
			if slow && target.hasCrashed() {
				slow = false
				<-ctx.Done()
				return nil, ctx.Err()
			}
			return sound(ctx, address)
		}})
		assert.Equal(t, send(t, g, "/crash", 7).(*msg.Fail).Reason, verdict.ReasonTargetCrashed)
		assert.DeepEqual(t, (<-reports.crashes).Fingerprints, []crash.Fingerprint{7})
	})
}

// The kernel's refusal of a connection to an ended process must be recognised on real sockets.
func TestPortOfEndedProcessRefusesConnections(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	inst := newTestGuard(t, l.Addr().String()).instances["i"]
	assert.Assert(t, !inst.checkTerminated())
	assert.NilError(t, l.Close())
	assert.Assert(t, inst.checkTerminated())
	assert.Equal(t, inst.announced().State, directory.Leaving)
}

// A broken connection is not a crash if the instance still accepts others.
func TestBrokenConnectionIsNotACrash(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		target := startCrashingTarget(t)
		g, reports := newSuspectGuard(t, target, "s")
		fail, ok := send(t, g, "/break", 7).(*msg.Fail)
		assert.Assert(t, ok)
		assert.Equal(t, fail.Reason, verdict.ReasonTargetBroke)
		assert.Equal(t, len(reports.crashes), 0)
	})
}

// A request that has recently completed at the instance is not suspected of crashing it.
func TestCompletedRequestIsNotSuspected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		target := startCrashingTarget(t)
		g, reports := newSuspectGuard(t, target, "s")
		_, completed := send(t, g, "/", 5).(*msg.End)
		assert.Assert(t, completed)
		startWaiting(t, g, target)
		send(t, g, "/crash", 7)
		assert.DeepEqual(t, (<-reports.crashes).Fingerprints, []crash.Fingerprint{7})
	})
}

// announceShutdown announces that the target of newSuspectGuard is leaving.
func announceShutdown(t *testing.T, g *Guard) {
	t.Helper()
	assert.NilError(t, g.Announce(time.Now(), "i", Announcement{
		Service: "s", Address: suspectAddress, Slots: 4, Connections: 8, Version: "1", Leaving: true,
	}))
}

// If an instance announced its shutdown, no request is suspected when it terminates.
func TestAnnouncedShutdownSuspectsNoRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		target := startCrashingTarget(t)
		g, reports := newSuspectGuard(t, target, "s")
		waiting := startWaiting(t, g, target)
		announceShutdown(t, g)
		target.crash()
		assert.Equal(t, (<-waiting).(*msg.Fail).Reason, verdict.ReasonTargetCrashed)
		assert.Equal(t, len(reports.crashes), 0)
	})
}

// An announcement of the shutdown that arrives after the end of the connection does not change
// the reason, but it is too late to clear the request, which is reported as suspected.
func TestShutdownAnnouncedAfterEndReportsRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		target := startCrashingTarget(t)
		g, reports := newSuspectGuard(t, target, "s")
		waiting := startWaiting(t, g, target)
		target.crash()
		crashed := <-reports.crashes
		announceShutdown(t, g)
		assert.Equal(t, (<-waiting).(*msg.Fail).Reason, verdict.ReasonTargetCrashed)
		assert.DeepEqual(t, crashed.Fingerprints, []crash.Fingerprint{5})
		assert.Assert(t, g.all()[0].announced().State == directory.Leaving)
	})
}

// A request that is admitted, but not sent when the instance ends, is known not to have run,
// whenever the shutdown is announced. Its reason must be target-down and it is no suspect.
func TestUnsentRequestAtShutdownDidNotRun(t *testing.T) {
	for _, announced := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			target := startCrashingTarget(t)
			g, reports := newSuspectGuard(t, target, "s")
			dialing, proceed := make(chan struct{}), make(chan struct{})
			g.all()[0].client = targetconn.New(targetconn.Config{
				Address: suspectAddress, MaxConns: 8,
				Dial: func(ctx context.Context, address string) (net.Conn, error) {
					select {
					case dialing <- struct{}{}:
						<-proceed
					case <-proceed:
					}
					return target.dial(ctx, address)
				},
			})
			unsent := make(chan msg.Message, 1)
			go func() { unsent <- send(t, g, "/wait", 5) }()
			<-dialing
			if announced {
				announceShutdown(t, g)
			}
			target.crash()
			close(proceed)
			fail := (<-unsent).(*msg.Fail)
			assert.Equal(t, fail.Reason, verdict.ReasonTargetDown)
			assert.Equal(t, fail.Verdict, verdict.NotRun)
			assert.Equal(t, len(reports.crashes), 0)
		})
	}
}

// crashAt returns a crash on another host at the given second with one suspected
// request.
func crashAt(second int, fp crash.Fingerprint) crash.Crash {
	return crash.Crash{
		ID: string(rune('a' + second)), Software: crash.Software{Service: "s", Version: "1"},
		DetectedAt: time.Unix(int64(second), 0), Fingerprints: []crash.Fingerprint{fp},
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
// when instances crash elsewhere. Hosts with instances of the service report it to the
// fleet, other hosts only record it locally; an old success has no effect.
func TestRecentlyCompletedRequestIsNotBlocked(t *testing.T) {
	for name, c := range map[string]struct {
		service  string
		ago      time.Duration
		reported int
		blocked  bool
	}{
		"by a guard of the service": {service: "s", reported: 3},
		"by another host":           {service: "other"},
		"long ago":                  {service: "s", ago: completionLifetime + 2*time.Second, blocked: true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g, reports := newSuspectGuard(t, nil, c.service)
				g.RecordCompletion(5, crash.Software{Service: "s", Version: "1"})
				time.Sleep(c.ago)
				reportThreeCrashes(g)
				time.Sleep(crash.ClearanceWait)
				a := g.CrashAssessment(5)
				assert.Equal(t, a.BlockedEverywhere(time.Now()), c.blocked)
				assert.Equal(t, len(reports.cleared), c.reported)
			})
		})
	}
}

// A guard that has seen a request complete does not report it as cleared of a crash if
// another host has reported that first.
func TestClearanceIsReportedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, reports := newSuspectGuard(t, nil, "s")
		g.RecordCompletion(5, crash.Software{Service: "s", Version: "1"})
		reportThreeCrashes(g)
		g.ApplyClearance("a", 5)
		g.ApplyClearance("b", 5)
		time.Sleep(crash.ClearanceWait)
		assert.Equal(t, len(reports.cleared), 1)
		assert.Equal(t, g.CrashAssessment(5).Crashes, 0)
	})
}

// A request that arrives just after it was blocked waits for a report that clears it.
func TestNewSuspectWaitsForClearance(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		target := startCrashingTarget(t)
		g, _ := newSuspectGuard(t, target, "s")
		reportThreeCrashes(g)
		time.AfterFunc(crash.ClearanceWait/3, func() {
			for _, id := range []string{"a", "b", "c"} {
				g.ApplyClearance(id, 5)
			}
		})
		_, completed := send(t, g, "/", 5).(*msg.End)
		assert.Assert(t, completed)
	})
}

// A blocked request is stored only if it is not cleared within a short time. A request
// stored without cause would stay blocked after a restart of all processes, when no
// host is left on which it could complete.
func TestPromptlyClearedRequestIsNotStored(t *testing.T) {
	for name, cleared := range map[string]bool{"cleared": true, "not cleared": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				target := startCrashingTarget(t)
				g, reports := newSuspectGuard(t, target, "s")
				g.ApplyCrash(crashAt(0, 5))
				g.ApplyCrash(crashAt(1, 5))
				waiting := startWaiting(t, g, target)
				send(t, g, "/crash", 7)
				<-waiting
				assert.Equal(t, g.CrashAssessment(5).Crashes, 3)
				if cleared {
					g.ApplyClearance("a", 5)
				}
				time.Sleep(2 * crash.ClearanceWait)
				assert.Equal(t, len(reports.blocked) == 0, cleared)
			})
		})
	}
}

// A request suspected of three crashes anywhere reaches no instance on this host, even if
// a slot is free; one that completes here is cleared of its crashes.
func TestBlockedRequestReachesNoInstance(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		target := startCrashingTarget(t)
		g, reports := newSuspectGuard(t, target, "s")
		for second := range 3 {
			g.ApplyCrash(crashAt(second, 7))
		}
		g.ApplyCrash(crashAt(3, 5))
		fail, ok := send(t, g, "/crash", 7).(*msg.Fail)
		assert.Assert(t, ok)
		assert.Equal(t, fail.Reason, verdict.ReasonCrashesTargets)
		assert.Equal(t, fail.Verdict, verdict.NotRun)
		assert.Assert(t, fail.RetryAfterMS > 60_000)
		_, completed := send(t, g, "/", 5).(*msg.End)
		assert.Assert(t, completed, "one crash does not block a request")
		assert.Equal(t, <-reports.cleared, "d")
		assert.Equal(t, g.CrashAssessment(5).Crashes, 0)
	})
}

// BenchmarkSuspectLookup measures the lookup made for each request.
func BenchmarkSuspectLookup(b *testing.B) {
	g := New(Config{}, Limits{}, slog.New(slog.NewTextHandler(io.Discard, nil)), allowAllFence{}, Hooks{})
	b.ReportAllocs()
	for b.Loop() {
		if a := g.CrashAssessment(7); a.BlockedEverywhere(time.Time{}) {
			b.Fatal("blocked")
		}
	}
}

// BenchmarkCompleted measures the cost of recording a success, at a front or at a guard.
func BenchmarkCompleted(b *testing.B) {
	g := New(Config{}, Limits{}, slog.New(slog.NewTextHandler(io.Discard, nil)), allowAllFence{}, Hooks{})
	software := crash.Software{Service: "desk", Version: "1.4.2"}
	b.ReportAllocs()
	for n := crash.Fingerprint(1); b.Loop(); n++ {
		g.RecordCompletion(n, software)
	}
}

// Regression test for a crashed instance being offered to fronts until its
// announcements expired: each request sent there was refused and wasted one of its
// attempts. Only missing announcements took an instance out of service, so its host
// kept announcing it as available. In ten seconds of the incident, 217 requests were
// sent to a port that refused connections, up to 3.4 s after the crash.
func TestTerminatedInstanceIsNotOffered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		target := startCrashingTarget(t)
		g, _ := newSuspectGuard(t, target, "s")
		assert.Equal(t, g.Instances()[0].State, directory.Serving)
		send(t, g, "/crash", 7)
		assert.Equal(t, g.Instances()[0].State, directory.Leaving)
		fail, ok := send(t, g, "/", 5).(*msg.Fail)
		assert.Assert(t, ok)
		assert.Equal(t, fail.Verdict, verdict.NotRun)
		assert.Equal(t, fail.Reason, verdict.ReasonDraining, "no connection is attempted")
		assert.NilError(t, g.Announce(time.Now(), "i", Announcement{Service: "s", Address: suspectAddress, Slots: 4, Connections: 8, Version: "1"}))
		assert.Equal(t, g.Instances()[0].State, directory.Serving, "it has announced itself again")
	})
}

// An instance whose port refuses connections is also taken out of service if no request
// was running there. Without suspects, its termination is not reported as a crash.
func TestUnreachableInstanceIsNotOffered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		target := startCrashingTarget(t)
		g, reports := newSuspectGuard(t, target, "s")
		target.crash()
		fail, ok := send(t, g, "/", 5).(*msg.Fail)
		assert.Assert(t, ok)
		assert.Equal(t, fail.Reason, verdict.ReasonTargetDown)
		assert.Equal(t, fail.Verdict, verdict.NotRun)
		assert.Equal(t, g.Instances()[0].State, directory.Leaving)
		assert.Equal(t, len(reports.crashes), 0, "nothing ran")
	})
}
