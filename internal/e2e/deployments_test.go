package e2e

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/radishhoist/radishhoist/internal/standin/target"
	"github.com/radishhoist/radishhoist/record"
	"github.com/radishhoist/radishhoist/verdict"
)

// deployment describes a deployment that differs from those of the offices. It guards
// against decisions that are tuned to these.
type deployment struct {
	name string
	// octet is the third octet of the loopback addresses.
	octet int
	// hosts and dcs are the numbers of hosts and data centres. Every host runs
	// targetsPerHost targets with the given number of slots. The services are assigned to
	// the hosts in turn.
	hosts, dcs, targetsPerHost, slots int
	services                          []string
	split                             []record.WeightedService
	serviceTime                       time.Duration
	maxAttempts                       int
	retryPercent                      int
	reserve                           float64
	window                            time.Duration
	// requestCount requests are sent, one per requestInterval, half of them idempotent.
	requestCount    int
	requestInterval time.Duration
}

var deployments = []deployment{
	{
		name: "many data centres, one slot", octet: 61, hosts: 10, dcs: 5, targetsPerHost: 1, slots: 1,
		services: []string{"a", "b"}, split: []record.WeightedService{{Service: "a", Weight: 70}, {Service: "b", Weight: 30}},
		serviceTime: 30 * time.Millisecond, maxAttempts: 3, retryPercent: 30, reserve: 4, window: 2 * time.Second,
		requestCount: 600, requestInterval: 10 * time.Millisecond,
	},
	{
		name: "one data centre, many slots", octet: 62, hosts: 3, dcs: 1, targetsPerHost: 3, slots: 32,
		services: []string{"a"}, split: []record.WeightedService{{Service: "a", Weight: 1}},
		serviceTime: 150 * time.Millisecond, maxAttempts: 2, retryPercent: 5, reserve: 12, window: 4 * time.Second,
		requestCount: 800, requestInterval: 7 * time.Millisecond,
	},
}

// The invariants hold on deployments of other sizes while a third of the targets fail most
// requests and a host is killed halfway: a request that is not idempotent runs at most once,
// a request reported as not run has not run, no request runs on more targets than its route
// allows, retries stay within the budget, and traffic is split as configured.
func TestInvariantsHoldOnOtherDeployments(t *testing.T) {
	for _, d := range deployments {
		t.Run(d.name, func(t *testing.T) {
			fleet := d.startFleet(t)
			for i, tg := range fleet.targets {
				if i%3 == 0 {
					assert.NilError(t, tg.SetBehaviour(target.Behaviour{Mode: target.Errors, Share: 0.8}))
				}
			}
			// A retry budget has no reserve in its first window.
			time.Sleep(d.window)
			started := time.Now()
			responses := d.load(t, fleet)
			d.check(t, fleet, responses, time.Since(started))
		})
	}
}

func (d deployment) startFleet(t *testing.T) *testFleet {
	t.Helper()
	ctx := context.Background()
	f := newFleet(t, d.octet)
	want := map[string]int{}
	for _, name := range d.services {
		svc := &record.Service{Office: "lab", Preset: record.PresetCareful, Floor: record.Floor{Percent: 50}, RetryPercent: d.retryPercent}
		assert.NilError(t, f.Put(ctx, record.Key{Kind: record.KindService, Name: name}, svc))
		want[name] = 1
	}
	route := &record.Route{PathPrefix: "/x", Split: d.split, TimeoutMS: 5000, ObjectiveMS: 1000, MaxAttempts: d.maxAttempts}
	assert.NilError(t, f.Put(ctx, record.Key{Kind: record.KindRoute, Name: "x"}, route))
	fleet := &testFleet{Fleet: f, t: t}
	retry := fmt.Sprintf("[retry]\nreserve = %g\nwindow = %s\n", d.reserve, d.window)
	for i := range d.hosts {
		h, err := f.StartHost(fmt.Sprintf("h%d", i+1), fmt.Sprintf("dc%d", i%d.dcs+1), fmt.Sprintf("127.0.%d.%d", d.octet, 11+i), retry)
		assert.NilError(t, err)
		for k := range d.targetsPerHost {
			tg, err := f.StartTarget(h, d.services[i%len(d.services)], k+1, d.slots, d.serviceTime)
			assert.NilError(t, err)
			fleet.targets = append(fleet.targets, tg)
		}
	}
	for i := range d.hosts {
		want[d.services[i%len(d.services)]] = d.hosts / len(d.services) * d.targetsPerHost
	}
	assert.NilError(t, f.WaitUntilServing(waitTimeout, want))
	return fleet
}

// load sends the requests to all hosts but the last one, which is killed halfway.
func (d deployment) load(t *testing.T, fleet *testFleet) map[string]response {
	t.Helper()
	var mu sync.Mutex
	var wg sync.WaitGroup
	responses := make(map[string]response, d.requestCount)
	for i := range d.requestCount {
		if i == d.requestCount/2 {
			assert.NilError(t, fleet.Hosts[d.hosts-1].Daemon.Signal(syscall.SIGKILL))
		}
		method := []string{http.MethodGet, http.MethodPost}[i%2]
		mark := fmt.Sprintf("%s-%d", method, i)
		wg.Add(1)
		go func() {
			defer wg.Done()
			r := sendRequest(method, "http://"+fleet.Hosts[i%(d.hosts-1)].CallersAddress()+"/x/1", mark, "")
			mu.Lock()
			defer mu.Unlock()
			responses[mark] = r
		}()
		time.Sleep(d.requestInterval)
	}
	wg.Wait()
	return responses
}

func (d deployment) check(t *testing.T, fleet *testFleet, responses map[string]response, took time.Duration) {
	t.Helper()
	runs := map[string]int{}
	byService := map[string]int{}
	for i, tg := range fleet.targets {
		r, err := tg.Runs()
		assert.NilError(t, err)
		for mark, n := range r.ByMark {
			runs[mark] += n
			byService[d.services[i/d.targetsPerHost%len(d.services)]]++
		}
	}
	retries, succeeded := 0, 0
	for mark, r := range responses {
		assert.NilError(t, r.err)
		n := runs[mark]
		retries += max(n-1, 0)
		assert.Assert(t, n <= d.maxAttempts, "%s ran on %d targets", mark, n)
		if strings.HasPrefix(mark, http.MethodPost) {
			assert.Assert(t, n <= 1, "%s ran %d times", mark, n)
		}
		if r.verdict == verdict.NotRun.String() {
			assert.Equal(t, n, 0, "%s was reported as not run but ran", mark)
		}
		if r.status == http.StatusOK {
			succeeded++
		}
	}
	windows := float64(took/d.window) + 2
	bound := float64(d.retryPercent)/100*float64(d.requestCount) + windows*d.reserve*float64(len(d.services))
	assert.Assert(t, float64(retries) <= bound, "%d retries, but only %.0f are allowed", retries, bound)
	assert.Assert(t, succeeded > d.requestCount/2, "%d of %d succeeded", succeeded, d.requestCount)
	t.Logf("%d of %d succeeded, %d retries of at most %.0f, runs by service %v", succeeded, d.requestCount, retries, bound, byService)
	if len(d.services) < 2 {
		return
	}
	total := byService["a"] + byService["b"]
	share := float64(byService["a"]) / float64(total)
	assert.Assert(t, share > 0.6 && share < 0.8, "service a has %.2f of the runs", share)
}
