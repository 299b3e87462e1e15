package front

import (
	"fmt"
	"log/slog"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/radishhoist/radishhoist/internal/core/directory"
	"github.com/radishhoist/radishhoist/internal/msg"
	"github.com/radishhoist/radishhoist/record"
)

// newServiceInDCs returns a request to a service with n instances of 11 slots, spread over four
// data centres, with current loads.
func newServiceInDCs(n int, now time.Time, cfg Config) *request {
	svc := &directory.Service{Record: &record.Service{}}
	for i := range n {
		h := &directory.Host{Name: fmt.Sprint("h", i), DC: fmt.Sprint("dc", i%4), Alive: true}
		instance := &directory.Instance{Name: fmt.Sprint("i", i), Service: "s", Slots: 11}
		svc.Targets = append(svc.Targets, &directory.Target{Instance: instance, Host: h})
	}
	st := &serviceState{latencies: make(map[string]*latency), leaving: make(map[string]leavingMark)}
	st.update(svc, newPaths(slog.Default()), cfg)
	for i, t := range st.targets {
		t.observed.updateLoad(now, msg.Load{Slots: 11, Running: uint32(i % 9), RetryBudgetLeft: 9})
	}
	req := newRequest(1, 600*time.Millisecond, now)
	req.service, req.state = svc, st
	return req
}

func benchmarkChoice(b *testing.B, n int, cfg Config) {
	now, rng := time.Now(), rand.New(rand.NewPCG(1, 2))
	f := &Front{cfg: cfg, paths: newPaths(slog.Default())}
	req := newServiceInDCs(n, now, cfg)
	b.ReportAllocs()
	for b.Loop() {
		sampled, _ := req.state.sample(now, req, nil, false, rng, f)
		req.state.mu.Lock()
		t := req.state.pickEligible(now, req, sampled, nil, rng, f.paths, cfg)
		req.state.mu.Unlock()
		if t == nil {
			b.Fatal("no target")
		}
	}
}

func BenchmarkChoice(b *testing.B) {
	for _, n := range []int{61, 984} {
		cfg := Config{Host: "front", DC: "dc0"}
		b.Run(fmt.Sprint(n, " instances"), func(b *testing.B) { benchmarkChoice(b, n, cfg) })
		cfg.Areas = map[string]string{"dc0": "north", "dc1": "north", "dc2": "south", "dc3": "south"}
		cfg.areas = newAreas(cfg, metrics.NewSet())
		b.Run(fmt.Sprint(n, " instances in two areas"), func(b *testing.B) { benchmarkChoice(b, n, cfg) })
	}
}
