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

// shape is a deployment unlike the offices': nothing that the product decides may
// be fitted to theirs.
type shape struct {
	name string
	net  int
	// hosts and dcs are counted; every host runs perHost targets with slots each,
	// of the services in turn.
	hosts, dcs, perHost, slots int
	services                   []string
	split                      []record.WeightedService
	serviceTime                time.Duration
	maxAttempts                int
	retryPercent               int
	reserve                    float64
	window                     time.Duration
	// requests are sent every pause, half of them idempotent.
	requests int
	pause    time.Duration
}

var shapes = []shape{
	{
		name: "many data centres, one slot", net: 61, hosts: 10, dcs: 5, perHost: 1, slots: 1,
		services: []string{"a", "b"}, split: []record.WeightedService{{Service: "a", Weight: 70}, {Service: "b", Weight: 30}},
		serviceTime: 30 * time.Millisecond, maxAttempts: 3, retryPercent: 30, reserve: 4, window: 2 * time.Second,
		requests: 600, pause: 10 * time.Millisecond,
	},
	{
		name: "one data centre, many slots", net: 62, hosts: 3, dcs: 1, perHost: 3, slots: 32,
		services: []string{"a"}, split: []record.WeightedService{{Service: "a", Weight: 1}},
		serviceTime: 150 * time.Millisecond, maxAttempts: 2, retryPercent: 5, reserve: 12, window: 4 * time.Second,
		requests: 800, pause: 7 * time.Millisecond,
	},
}

// The promises hold on deployments of other sizes, with a third of the targets
// failing most requests and a host killed in the middle: work that is not
// idempotent runs once at most, "not run" is true, no request runs on more targets
// than its route allows, repeats stay within the budget, and a split is kept.
func TestInvariantsHoldOnOtherDeployments(t *testing.T) {
	for _, s := range shapes {
		t.Run(s.name, func(t *testing.T) {
			w := s.start(t)
			for i, tg := range w.targets {
				if i%3 == 0 {
					assert.NilError(t, tg.SetBehaviour(target.Behaviour{Mode: target.Errors, Share: 0.8}))
				}
			}
			// A keeper of a budget has no reserve in its first window.
			time.Sleep(s.window)
			begun := time.Now()
			replies := s.load(t, w)
			s.check(t, w, replies, time.Since(begun))
		})
	}
}

func (s shape) start(t *testing.T) *world {
	t.Helper()
	ctx := context.Background()
	f := newFleet(t, s.net)
	want := map[string]int{}
	for _, name := range s.services {
		svc := &record.Service{Office: "lab", Preset: record.PresetCareful, Floor: record.Floor{Percent: 50}, RetryPercent: s.retryPercent}
		assert.NilError(t, f.Put(ctx, record.Key{Kind: record.KindService, Name: name}, svc))
		want[name] = 1
	}
	route := &record.Route{PathPrefix: "/x", Split: s.split, TimeoutMS: 5000, ObjectiveMS: 1000, MaxAttempts: s.maxAttempts}
	assert.NilError(t, f.Put(ctx, record.Key{Kind: record.KindRoute, Name: "x"}, route))
	w := &world{Fleet: f, t: t}
	retry := fmt.Sprintf("[retry]\nreserve = %g\nwindow = %s\n", s.reserve, s.window)
	for i := range s.hosts {
		h, err := f.StartHost(fmt.Sprintf("h%d", i+1), fmt.Sprintf("dc%d", i%s.dcs+1), fmt.Sprintf("127.0.%d.%d", s.net, 11+i), retry)
		assert.NilError(t, err)
		for k := range s.perHost {
			tg, err := f.StartTarget(h, s.services[i%len(s.services)], k+1, s.slots, s.serviceTime)
			assert.NilError(t, err)
			w.targets = append(w.targets, tg)
		}
	}
	for i := range s.hosts {
		want[s.services[i%len(s.services)]] = s.hosts / len(s.services) * s.perHost
	}
	assert.NilError(t, f.WaitUntilServing(patience, want))
	return w
}

// load sends the requests to all hosts but the last, which is killed half way.
func (s shape) load(t *testing.T, w *world) map[string]reply {
	t.Helper()
	var mu sync.Mutex
	var wg sync.WaitGroup
	replies := make(map[string]reply, s.requests)
	for i := range s.requests {
		if i == s.requests/2 {
			assert.NilError(t, w.Hosts[s.hosts-1].Daemon.Signal(syscall.SIGKILL))
		}
		method := []string{http.MethodGet, http.MethodPost}[i%2]
		mark := fmt.Sprintf("%s-%d", method, i)
		wg.Add(1)
		go func() {
			defer wg.Done()
			r := call(method, "http://"+w.Hosts[i%(s.hosts-1)].CallersAddress()+"/x/1", mark, "")
			mu.Lock()
			defer mu.Unlock()
			replies[mark] = r
		}()
		time.Sleep(s.pause)
	}
	wg.Wait()
	return replies
}

func (s shape) check(t *testing.T, w *world, replies map[string]reply, took time.Duration) {
	t.Helper()
	runs := map[string]int{}
	byService := map[string]int{}
	for i, tg := range w.targets {
		r, err := tg.Runs()
		assert.NilError(t, err)
		for mark, n := range r.ByMark {
			runs[mark] += n
			byService[s.services[i/s.perHost%len(s.services)]]++
		}
	}
	repeats, answered := 0, 0
	for mark, r := range replies {
		assert.NilError(t, r.err)
		n := runs[mark]
		repeats += max(n-1, 0)
		assert.Assert(t, n <= s.maxAttempts, "%s ran on %d targets", mark, n)
		if strings.HasPrefix(mark, http.MethodPost) {
			assert.Assert(t, n <= 1, "%s ran %d times", mark, n)
		}
		if r.verdict == verdict.NotRun.String() {
			assert.Equal(t, n, 0, "%s was told not-run and ran", mark)
		}
		if r.status == http.StatusOK {
			answered++
		}
	}
	windows := float64(took/s.window) + 2
	bound := float64(s.retryPercent)/100*float64(s.requests) + windows*s.reserve*float64(len(s.services))
	assert.Assert(t, float64(repeats) <= bound, "%d repeats where %.0f are allowed", repeats, bound)
	assert.Assert(t, answered > s.requests/2, "%d of %d answered", answered, s.requests)
	t.Logf("%d of %d answered, %d repeats of at most %.0f, runs by service %v", answered, s.requests, repeats, bound, byService)
	if len(s.services) < 2 {
		return
	}
	total := byService["a"] + byService["b"]
	share := float64(byService["a"]) / float64(total)
	assert.Assert(t, share > 0.6 && share < 0.8, "service a has %.2f of the runs", share)
}
