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

// patience bounds every wait; it is far above what the steps take.
const patience = 60 * time.Second

var bin string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "radishhoist-e2e")
	if err != nil {
		panic(err)
	}
	bin = dir
	out, err := exec.Command("go", "build", "-o", dir, "../../cmd/...").CombinedOutput()
	if err != nil {
		fmt.Println(string(out))
		os.Exit(1)
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// world is one fleet under test.
type world struct {
	*lab.Fleet
	t       *testing.T
	targets []*lab.Target
}

// newFleet starts a platform at 127.0.net.1 and ends the whole fleet with the test.
func newFleet(t *testing.T, net int) *lab.Fleet {
	t.Helper()
	logs := &logtest.Buffer{}
	f := lab.NewFleet(context.Background(), bin, t.TempDir(), logs)
	t.Cleanup(func() {
		f.Stop()
		if t.Failed() {
			t.Log(logs.String())
		}
	})
	assert.NilError(t, f.StartPlatform(fmt.Sprintf("127.0.%d.1", net)))
	return f
}

// start runs a platform and hosts, each with one target of service "plans",
// on 127.0.net.x.
func start(t *testing.T, net, hosts int, serviceTime time.Duration) *world {
	t.Helper()
	f := newFleet(t, net)
	assert.NilError(t, f.PutDemoRecords(context.Background()))
	w := &world{Fleet: f, t: t}
	for i := range hosts {
		h, err := f.StartHost(fmt.Sprintf("h%d", i+1), fmt.Sprintf("dc%d", i%2+1), fmt.Sprintf("127.0.%d.%d", net, 11+i), "")
		assert.NilError(t, err)
		tg, err := f.StartTarget(h, "plans", 1, 4, serviceTime)
		assert.NilError(t, err)
		w.targets = append(w.targets, tg)
	}
	assert.NilError(t, f.WaitUntilServing(patience, map[string]int{"plans": hosts}))
	return w
}

// cli runs the operators' command line against the first host.
func (w *world) cli(args ...string) (string, error) { return w.cliAt(w.Hosts[0], args...) }

// cliAt runs the operators' command line against one host.
func (w *world) cliAt(h *lab.Host, args ...string) (string, error) {
	var out bytes.Buffer
	all := append([]string{"radishhoist", "--platform", w.Platform, "--admin", h.AdminAddress()}, args...)
	err := cli.New(strings.NewReader(""), &out, nil).Run(context.Background(), all)
	return out.String(), err
}

type reply struct {
	status  int
	verdict string
	target  string
	body    string
	err     error
}

func call(method, url, mark string, body string) reply {
	req, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		return reply{err: err}
	}
	req.Header.Set(target.MarkHeader, mark)
	client := &http.Client{Timeout: patience, Transport: &http.Transport{DisableKeepAlives: true}}
	return do(client, req)
}

func do(client *http.Client, req *http.Request) reply {
	resp, err := client.Do(req)
	if err != nil {
		return reply{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	got, err := io.ReadAll(resp.Body)
	return reply{resp.StatusCode, resp.Header.Get(verdict.Header), resp.Header.Get("Radishhoist-Target"), string(got), err}
}

// More requests come to one host at once than its own target has slots: the others'
// targets answer the rest, each request with its own body. Requests sent one after the
// other find a free target beside their front, which costs least
// once the paths to other hosts are known: in one of 26 runs none crossed.
func TestRequestsAreForwardedToOtherHosts(t *testing.T) {
	const hosts, atOnce, size = 4, 20, 1000
	w := start(t, 31, hosts, 100*time.Millisecond)
	for _, h := range w.Hosts {
		replies := make([]reply, atOnce)
		var wg sync.WaitGroup
		for i := range replies {
			wg.Go(func() {
				replies[i] = call(http.MethodGet, fmt.Sprintf("http://%s/plans/7?size=%d", h.CallersAddress(), size), markOf(h, i), "")
			})
		}
		wg.Wait()
		crossed := 0
		for i, r := range replies {
			assert.NilError(t, r.err)
			assert.Equal(t, r.status, http.StatusOK)
			assert.Assert(t, strings.Contains(r.body, "mark="+markOf(h, i)+" "), r.body)
			assert.Equal(t, len(r.body), size)
			if !strings.Contains(r.target, "-"+h.Name+"-") {
				crossed++
			}
		}
		assert.Assert(t, crossed > 0, "no request of %s was answered by another host's target", h.Name)
	}

	large := call(http.MethodPost, "http://"+w.Hosts[0].CallersAddress()+"/plans/7?size=3000000", "large", strings.Repeat("x", 1<<20))
	assert.NilError(t, large.err)
	assert.Equal(t, len(large.body), 3000000)
	none := call(http.MethodGet, "http://"+w.Hosts[0].CallersAddress()+"/nowhere", "x", "")
	assert.Equal(t, none.status, http.StatusNotFound)
	assert.Equal(t, none.verdict, verdict.NotRun.String())
}

// markOf tells the requests to one host apart.
func markOf(h *lab.Host, i int) string { return fmt.Sprintf("%s-m%d", h.Name, i) }

func TestTerminatedHostDrainsRequests(t *testing.T) {
	w := start(t, 32, 3, 600*time.Millisecond)
	route := &record.Route{PathPrefix: "/plans", Service: "plans", TimeoutMS: 30000}
	assert.NilError(t, w.Put(context.Background(), record.Key{Kind: record.KindRoute, Name: "plans"}, route))
	for _, h := range w.Hosts {
		assert.NilError(t, w.WaitFor(patience, "the longer deadline on "+h.Name, func() bool {
			out, err := w.cliAt(h, "explain", "POST", "http://x/plans/7")
			return err == nil && strings.Contains(out, "30000 ms")
		}))
	}
	var wg sync.WaitGroup
	replies := make([]reply, 24)
	for i := range replies {
		wg.Add(1)
		go func() {
			defer wg.Done()
			replies[i] = call(http.MethodPost, "http://"+w.Hosts[1+i%2].CallersAddress()+"/plans/7", fmt.Sprintf("m%d", i), "book")
		}()
	}
	assert.NilError(t, w.WaitFor(patience, "requests on the target", func() bool {
		r, err := w.targets[0].Runs()
		return err == nil && r.Total > 0
	}))
	assert.NilError(t, w.Hosts[0].Daemon.Signal(syscall.SIGTERM))
	ended, err := w.Hosts[0].Daemon.Wait(patience)
	assert.Assert(t, ended)
	assert.NilError(t, err)
	wg.Wait()
	for i, r := range replies {
		assert.NilError(t, r.err)
		if r.status != http.StatusOK {
			assert.Equal(t, r.verdict, verdict.NotRun.String(), "request %d: %+v", i, r)
		}
	}
	assertAtMostOnce(t, w)
}

// assertAtMostOnce checks that no mark ran twice over all targets.
func assertAtMostOnce(t *testing.T, w *world) map[string]int {
	t.Helper()
	total := map[string]int{}
	for _, tg := range w.targets {
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
		name string
		net  int
		sig  syscall.Signal
	}{{"killed", 33, syscall.SIGKILL}, {"frozen", 34, syscall.SIGSTOP}} {
		t.Run(c.name, func(t *testing.T) {
			w := start(t, c.net, 4, 20*time.Millisecond)
			var mu sync.Mutex
			verdicts := map[string]reply{}
			var wg sync.WaitGroup
			for i := range 160 {
				wg.Add(1)
				go func() {
					defer wg.Done()
					time.Sleep(time.Duration(i) * 10 * time.Millisecond)
					mark := fmt.Sprintf("m%d", i)
					r := call(http.MethodPost, "http://"+w.Hosts[1+i%3].CallersAddress()+"/plans/7", mark, "book")
					mu.Lock()
					verdicts[mark] = r
					mu.Unlock()
				}()
				if i == 60 {
					assert.NilError(t, w.Hosts[0].Daemon.Signal(c.sig))
				}
			}
			wg.Wait()
			ran := assertAtMostOnce(t, w)
			answered := 0
			for mark, r := range verdicts {
				assert.NilError(t, r.err)
				switch {
				case r.status == http.StatusOK:
					answered++
					assert.Equal(t, ran[mark], 1, mark)
				case r.verdict == verdict.NotRun.String():
					assert.Equal(t, ran[mark], 0, "%s was told not-run and ran: %+v", mark, r)
				}
			}
			assert.Assert(t, answered > 80, "only %d of 160 answered", answered)
		})
	}
}

func TestPlatformOutageServesTrafficAndHostsStartFromPeers(t *testing.T) {
	w := start(t, 35, 3, 2*time.Millisecond)
	assert.NilError(t, w.SetPlatformFaults(platformd.Faults{Outage: true}))
	r := call(http.MethodGet, "http://"+w.Hosts[0].CallersAddress()+"/plans/7", "m", "")
	assert.Equal(t, r.status, http.StatusOK)

	seeds := fmt.Sprintf("[peers]\nseeds = %s:%d", w.Hosts[0].IP, lab.PeerPort)
	_, err := w.StartHost("late", "dc1", "127.0.35.40", seeds)
	assert.NilError(t, err)
	assert.NilError(t, w.WaitUntilServing(patience, map[string]int{"plans": 3}))
	r = call(http.MethodGet, "http://127.0.35.40:18080/plans/7", "m", "")
	assert.Equal(t, r.status, http.StatusOK)

	assert.NilError(t, w.SetPlatformFaults(platformd.Faults{}))
	route := &record.Route{PathPrefix: "/late", Service: "plans"}
	assert.NilError(t, w.Put(context.Background(), record.Key{Kind: record.KindRoute, Name: "late"}, route))
	for _, h := range w.Hosts {
		assert.NilError(t, w.WaitFor(patience, "the new route on "+h.Name, func() bool {
			return call(http.MethodGet, "http://"+h.CallersAddress()+"/late/1", "m", "").status == http.StatusOK
		}))
	}
	assert.NilError(t, w.Delete(context.Background(), record.Key{Kind: record.KindRoute, Name: "late"}))
	for _, h := range w.Hosts {
		assert.NilError(t, w.WaitFor(patience, "the route gone on "+h.Name, func() bool {
			return call(http.MethodGet, "http://"+h.CallersAddress()+"/late/1", "m", "").status == http.StatusNotFound
		}))
	}
}

func TestOperatorDrainsHost(t *testing.T) {
	w := start(t, 36, 4, 2*time.Millisecond)
	out, err := w.cli("status")
	assert.NilError(t, err)
	assert.Assert(t, strings.Contains(out, "plans"), out)

	out, err = w.cli("stop", "--reason", "disk swap", "--wait", "h2")
	assert.NilError(t, err, out)
	assert.Assert(t, strings.Contains(out, "drained"), out)
	for _, h := range w.Hosts {
		assert.NilError(t, w.WaitFor(patience, h.Name+" to leave the stopped host out", func() bool {
			s, err := h.Status()
			return err == nil && !usesHost(s.Services[0].Targets, "h2")
		}))
	}
	before, err := w.targets[1].Runs()
	assert.NilError(t, err)
	for i := range 60 {
		r := call(http.MethodGet, "http://"+w.Hosts[i%4].CallersAddress()+"/plans/7", "m", "")
		assert.Equal(t, r.status, http.StatusOK)
	}
	after, err := w.targets[1].Runs()
	assert.NilError(t, err)
	assert.Equal(t, after.Total, before.Total, "a stopped host's target got new work")

	out, err = w.cli("stop", "--reason", "one too many", "h3")
	assert.Equal(t, cli.ExitCode(err), cli.ExitUnsafe, out)

	_, err = w.cli("stop", "--undo", "h2")
	assert.NilError(t, err)
	assert.NilError(t, w.WaitUntilServing(patience, map[string]int{"plans": 4}))
}
