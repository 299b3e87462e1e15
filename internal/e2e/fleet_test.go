package e2e

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/radishhoist/radishhoist/internal/cli"
	"github.com/radishhoist/radishhoist/internal/lab"
	"github.com/radishhoist/radishhoist/internal/logtest"
	"github.com/radishhoist/radishhoist/internal/standin/platformd"
	"github.com/radishhoist/radishhoist/internal/standin/target"
	"github.com/radishhoist/radishhoist/record"
	"github.com/radishhoist/radishhoist/verdict"
)

// waitTimeout limits every wait; the steps normally take far less.
const waitTimeout = 60 * time.Second

// binDir is the directory of the built programs.
var binDir string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "radishhoist-e2e")
	if err != nil {
		panic(err)
	}
	binDir = dir
	out, err := exec.Command("go", "build", "-o", dir, "../../cmd/...").CombinedOutput()
	if err != nil {
		fmt.Println(string(out))
		os.Exit(1)
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// testFleet is a fleet under test with its target stand-ins.
type testFleet struct {
	*lab.Fleet
	t       *testing.T
	targets []*lab.Target
}

// newFleet starts a platform at 127.0.octet.1 and stops the whole fleet at the end of the
// test.
func newFleet(t *testing.T, octet int) *lab.Fleet {
	t.Helper()
	logs := &logtest.Buffer{}
	f := lab.NewFleet(context.Background(), binDir, t.TempDir(), logs)
	t.Cleanup(func() {
		f.Stop()
		if t.Failed() {
			t.Log(logs.String())
		}
	})
	assert.NilError(t, f.StartPlatform(fmt.Sprintf("127.0.%d.1", octet)))
	return f
}

// startFleet starts a platform and hosts on 127.0.octet.x, each with one target of the
// service "plans", and waits until all of them serve.
func startFleet(t *testing.T, octet, hosts int, serviceTime time.Duration) *testFleet {
	t.Helper()
	f := newFleet(t, octet)
	assert.NilError(t, f.PutDemoRecords(context.Background()))
	fleet := &testFleet{Fleet: f, t: t}
	for i := range hosts {
		h, err := f.StartHost(fmt.Sprintf("h%d", i+1), fmt.Sprintf("dc%d", i%2+1), fmt.Sprintf("127.0.%d.%d", octet, 11+i), "")
		assert.NilError(t, err)
		tg, err := f.StartTarget(h, "plans", 1, 4, serviceTime)
		assert.NilError(t, err)
		fleet.targets = append(fleet.targets, tg)
	}
	assert.NilError(t, f.WaitUntilServing(waitTimeout, map[string]int{"plans": hosts}))
	return fleet
}

// cli runs the operator command line against the first host.
func (fleet *testFleet) cli(args ...string) (string, error) {
	return fleet.cliAt(fleet.Hosts[0], args...)
}

// cliAt runs the operator command line against the given host.
func (fleet *testFleet) cliAt(h *lab.Host, args ...string) (string, error) {
	var out bytes.Buffer
	all := append([]string{"radishhoist", "--platform", fleet.Platform, "--admin", h.AdminAddress()}, args...)
	err := cli.New(strings.NewReader(""), &out, nil).Run(context.Background(), all)
	return out.String(), err
}

type response struct {
	status  int
	verdict string
	target  string
	body    string
	err     error
}

func sendRequest(method, url, mark string, body string) response {
	req, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		return response{err: err}
	}
	req.Header.Set(target.MarkHeader, mark)
	client := &http.Client{Timeout: waitTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	return do(client, req)
}

func do(client *http.Client, req *http.Request) response {
	resp, err := client.Do(req)
	if err != nil {
		return response{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	got, err := io.ReadAll(resp.Body)
	return response{resp.StatusCode, resp.Header.Get(verdict.Header), resp.Header.Get("Radishhoist-Target"), string(got), err}
}

// A host that receives more concurrent requests than its own target has slots forwards the
// rest to targets on other hosts, and each request gets its own response. The requests are
// concurrent because sequential ones find the local target free, which has the lowest cost
// once the paths to other hosts are known: in 1 of 26 runs with sequential requests
// none was forwarded.
func TestRequestsAreForwardedToOtherHosts(t *testing.T) {
	const hosts, concurrency, size = 4, 20, 1000
	fleet := startFleet(t, 31, hosts, 100*time.Millisecond)
	for _, h := range fleet.Hosts {
		responses := make([]response, concurrency)
		var wg sync.WaitGroup
		for i := range responses {
			wg.Go(func() {
				responses[i] = sendRequest(http.MethodGet, fmt.Sprintf("http://%s/plans/7?size=%d", h.CallersAddress(), size), markOf(h, i), "")
			})
		}
		wg.Wait()
		forwarded := 0
		for i, r := range responses {
			assert.NilError(t, r.err)
			assert.Equal(t, r.status, http.StatusOK)
			assert.Assert(t, strings.Contains(r.body, "mark="+markOf(h, i)+" "), r.body)
			assert.Equal(t, len(r.body), size)
			if !strings.Contains(r.target, "-"+h.Name+"-") {
				forwarded++
			}
		}
		assert.Assert(t, forwarded > 0, "no request to %s was forwarded to a target on another host", h.Name)
	}

	large := sendRequest(http.MethodPost, "http://"+fleet.Hosts[0].CallersAddress()+"/plans/7?size=3000000", "large", strings.Repeat("x", 1<<20))
	assert.NilError(t, large.err)
	assert.Equal(t, len(large.body), 3000000)
	unrouted := sendRequest(http.MethodGet, "http://"+fleet.Hosts[0].CallersAddress()+"/nowhere", "x", "")
	assert.Equal(t, unrouted.status, http.StatusNotFound)
	assert.Equal(t, unrouted.verdict, verdict.NotRun.String())
}

// markOf returns the mark of the i-th request to a host.
func markOf(h *lab.Host, i int) string { return fmt.Sprintf("%s-m%d", h.Name, i) }

func TestTerminatedHostDrainsRequests(t *testing.T) {
	fleet := startFleet(t, 32, 3, 600*time.Millisecond)
	route := &record.Route{PathPrefix: "/plans", Service: "plans", TimeoutMS: 30000}
	assert.NilError(t, fleet.Put(context.Background(), record.Key{Kind: record.KindRoute, Name: "plans"}, route))
	for _, h := range fleet.Hosts {
		assert.NilError(t, fleet.WaitFor(waitTimeout, "the longer timeout on "+h.Name, func() bool {
			out, err := fleet.cliAt(h, "explain", "POST", "http://x/plans/7")
			return err == nil && strings.Contains(out, "30000 ms")
		}))
	}
	var wg sync.WaitGroup
	responses := make([]response, 24)
	for i := range responses {
		wg.Add(1)
		go func() {
			defer wg.Done()
			responses[i] = sendRequest(http.MethodPost, "http://"+fleet.Hosts[1+i%2].CallersAddress()+"/plans/7", fmt.Sprintf("m%d", i), "book")
		}()
	}
	assert.NilError(t, fleet.WaitFor(waitTimeout, "requests on the target", func() bool {
		r, err := fleet.targets[0].Runs()
		return err == nil && r.Total > 0
	}))
	assert.NilError(t, fleet.Hosts[0].Daemon.Signal(syscall.SIGTERM))
	exited, err := fleet.Hosts[0].Daemon.Wait(waitTimeout)
	assert.Assert(t, exited)
	assert.NilError(t, err)
	wg.Wait()
	for i, r := range responses {
		assert.NilError(t, r.err)
		if r.status != http.StatusOK {
			assert.Equal(t, r.verdict, verdict.NotRun.String(), "request %d: %+v", i, r)
		}
	}
	assertAtMostOnce(t, fleet)
}

// assertAtMostOnce checks that the requests of every mark ran at most once on all targets
// together, and returns the numbers of runs by mark.
func assertAtMostOnce(t *testing.T, fleet *testFleet) map[string]int {
	t.Helper()
	total := map[string]int{}
	for _, tg := range fleet.targets {
		r, err := tg.Runs()
		assert.NilError(t, err)
		for mark, n := range r.ByMark {
			total[mark] += n
		}
	}
	for mark, n := range total {
		assert.Assert(t, n <= 1, "mark %s ran %d times", mark, n)
	}
	return total
}

func TestKilledAndFrozenHostsRunRequestsAtMostOnce(t *testing.T) {
	for _, c := range []struct {
		name  string
		octet int
		sig   syscall.Signal
	}{{"killed", 33, syscall.SIGKILL}, {"frozen", 34, syscall.SIGSTOP}} {
		t.Run(c.name, func(t *testing.T) {
			fleet := startFleet(t, c.octet, 4, 20*time.Millisecond)
			var mu sync.Mutex
			responses := map[string]response{}
			var wg sync.WaitGroup
			for i := range 160 {
				wg.Add(1)
				go func() {
					defer wg.Done()
					time.Sleep(time.Duration(i) * 10 * time.Millisecond)
					mark := fmt.Sprintf("m%d", i)
					r := sendRequest(http.MethodPost, "http://"+fleet.Hosts[1+i%3].CallersAddress()+"/plans/7", mark, "book")
					mu.Lock()
					responses[mark] = r
					mu.Unlock()
				}()
				if i == 60 {
					assert.NilError(t, fleet.Hosts[0].Daemon.Signal(c.sig))
				}
			}
			wg.Wait()
			ran := assertAtMostOnce(t, fleet)
			succeeded := 0
			for mark, r := range responses {
				assert.NilError(t, r.err)
				switch {
				case r.status == http.StatusOK:
					succeeded++
					assert.Equal(t, ran[mark], 1, mark)
				case r.verdict == verdict.NotRun.String():
					assert.Equal(t, ran[mark], 0, "%s was reported as not run but ran: %+v", mark, r)
				}
			}
			assert.Assert(t, succeeded > 80, "only %d of 160 succeeded", succeeded)
		})
	}
}

func TestPlatformOutageServesTrafficAndHostsStartFromPeers(t *testing.T) {
	fleet := startFleet(t, 35, 3, 2*time.Millisecond)
	assert.NilError(t, fleet.SetPlatformFaults(platformd.Faults{Outage: true}))
	r := sendRequest(http.MethodGet, "http://"+fleet.Hosts[0].CallersAddress()+"/plans/7", "m", "")
	assert.Equal(t, r.status, http.StatusOK)

	seeds := fmt.Sprintf("[peers]\nseeds = %s:%d", fleet.Hosts[0].IP, lab.PeerPort)
	_, err := fleet.StartHost("late", "dc1", "127.0.35.40", seeds)
	assert.NilError(t, err)
	assert.NilError(t, fleet.WaitUntilServing(waitTimeout, map[string]int{"plans": 3}))
	r = sendRequest(http.MethodGet, "http://127.0.35.40:18080/plans/7", "m", "")
	assert.Equal(t, r.status, http.StatusOK)

	assert.NilError(t, fleet.SetPlatformFaults(platformd.Faults{}))
	route := &record.Route{PathPrefix: "/late", Service: "plans"}
	assert.NilError(t, fleet.Put(context.Background(), record.Key{Kind: record.KindRoute, Name: "late"}, route))
	for _, h := range fleet.Hosts {
		assert.NilError(t, fleet.WaitFor(waitTimeout, "the new route on "+h.Name, func() bool {
			return sendRequest(http.MethodGet, "http://"+h.CallersAddress()+"/late/1", "m", "").status == http.StatusOK
		}))
	}
	assert.NilError(t, fleet.Delete(context.Background(), record.Key{Kind: record.KindRoute, Name: "late"}))
	for _, h := range fleet.Hosts {
		assert.NilError(t, fleet.WaitFor(waitTimeout, "the removal of the route on "+h.Name, func() bool {
			return sendRequest(http.MethodGet, "http://"+h.CallersAddress()+"/late/1", "m", "").status == http.StatusNotFound
		}))
	}
}

func TestOperatorDrainsHost(t *testing.T) {
	fleet := startFleet(t, 36, 4, 2*time.Millisecond)
	out, err := fleet.cli("status")
	assert.NilError(t, err)
	assert.Assert(t, strings.Contains(out, "plans"), out)

	out, err = fleet.cli("stop", "--reason", "disk swap", "--wait", "h2")
	assert.NilError(t, err, out)
	assert.Assert(t, strings.Contains(out, "drained"), out)
	for _, h := range fleet.Hosts {
		assert.NilError(t, fleet.WaitFor(waitTimeout, h.Name+" to stop using the stopped host", func() bool {
			s, err := h.Status()
			return err == nil && !usesHost(s.Services[0].Targets, "h2")
		}))
	}
	before, err := fleet.targets[1].Runs()
	assert.NilError(t, err)
	for i := range 60 {
		r := sendRequest(http.MethodGet, "http://"+fleet.Hosts[i%4].CallersAddress()+"/plans/7", "m", "")
		assert.Equal(t, r.status, http.StatusOK)
	}
	after, err := fleet.targets[1].Runs()
	assert.NilError(t, err)
	assert.Equal(t, after.Total, before.Total, "the target of a stopped host received new requests")

	out, err = fleet.cli("stop", "--reason", "one too many", "h3")
	assert.Equal(t, cli.ExitCode(err), cli.ExitUnsafe, out)

	_, err = fleet.cli("stop", "--undo", "h2")
	assert.NilError(t, err)
	assert.NilError(t, fleet.WaitUntilServing(waitTimeout, map[string]int{"plans": 4}))
}
