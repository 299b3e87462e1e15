package lab

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/radishhoist/radishhoist/internal/standin/target"
	"github.com/radishhoist/radishhoist/record"
)

// The demo's shape: the Bureau's plans service on six hosts in three data
// centres.
const (
	demoHosts   = 6
	demoDCs     = 3
	demoService = "plans"
	demoSlots   = 7
	demoRate    = 240
	demoGray    = 8 * time.Second
	demoTime    = 15 * time.Millisecond
	// demoGood is how long all targets are good, and leastShare the part of its even
	// share that each gets meanwhile at the least.
	demoGood   = 5 * time.Second
	leastShare = 0.5
)

// DemoConfig describes a run of the demo.
type DemoConfig struct {
	// Bin is the directory of the built programs.
	Bin string
	// AddressOctet is the third number of the addresses, 127.0.AddressOctet.x.
	AddressOctet int
	// Verbose shows what the processes log.
	Verbose bool
}

// Demo runs the main job for a newcomer to watch.
func Demo(ctx context.Context, out io.Writer, cfg DemoConfig) error {
	dir, err := os.MkdirTemp("", "radishhoist-demo")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	logs := io.Discard
	if cfg.Verbose {
		logs = out
	}
	f := NewFleet(ctx, cfg.Bin, dir, logs)
	defer f.Stop()
	say := func(format string, args ...any) { fmt.Fprintf(out, format+"\n", args...) }

	say("1. platform stand-in, %d daemons in %d data centres, one target stand-in beside each", demoHosts, demoDCs)
	targets, err := startDemoFleet(ctx, f, cfg.AddressOctet)
	if err != nil {
		return err
	}
	if err := f.WaitUntilServing(20*time.Second, map[string]int{demoService: demoHosts}); err != nil {
		return err
	}
	say("   every daemon has the records and knows all %d targets", demoHosts)

	before, err := f.load(ctx, demoGood)
	if err != nil {
		return err
	}
	say("2. all targets good, %d requests a second through every daemon\n%s", demoRate, indent(before.String()))
	starved, least := before.leastServed(targets)
	say("   the even share is %d; %s, with the least, answered %.2f of it", before.Whole/len(targets), starved, least)
	if least < leastShare {
		return errors.Errorf("the good target %s answered %.2f of its even share; %.2f is the least", starved, least, leastShare)
	}

	gray := targets[0]
	say("3. target %s turns gray: five times slower, health unchanged", gray.Name)
	if err := gray.SetBehaviour(target.Behaviour{Mode: target.Slow, Factor: 5}); err != nil {
		return err
	}
	during, leftOut, err := f.loadAndWatch(ctx, gray.Name)
	if err != nil {
		return err
	}
	say("%s", indent(during.String()))
	if leftOut == 0 {
		return errors.Errorf("the gray target %s was not left out within %s", gray.Name, demoGray)
	}
	say("   left out by every daemon %s after it turned gray", leftOut.Round(10*time.Millisecond))
	f.sayStatus(say)
	if failed := before.Sent - before.Whole + during.Sent - during.Whole; failed > 0 {
		return errors.Errorf("%d callers did not get a whole answer", failed)
	}
	say("4. no caller failed; p99 was %s with all good, %s with one gray", before.Quantile(99), during.Quantile(99))
	return nil
}

// leastServed gives the target that answered the fewest requests, and which part of an
// even share that was.
func (r *Report) leastServed(targets []*Target) (name string, part float64) {
	fewest := slices.MinFunc(targets, func(a, b *Target) int { return cmp.Compare(r.ByTarget[a.Name], r.ByTarget[b.Name]) })
	return fewest.Name, float64(r.ByTarget[fewest.Name]*len(targets)) / float64(max(r.Whole, 1))
}

// startDemoFleet starts every process and writes the records.
func startDemoFleet(ctx context.Context, f *Fleet, network int) ([]*Target, error) {
	if err := f.StartPlatform(fmt.Sprintf("127.0.%d.1", network)); err != nil {
		return nil, err
	}
	if err := f.PutDemoRecords(ctx); err != nil {
		return nil, err
	}
	var targets []*Target
	for i := range demoHosts {
		h, err := f.StartHost(fmt.Sprintf("h%d", i+1), fmt.Sprintf("ub%d", i%demoDCs+1), fmt.Sprintf("127.0.%d.%d", network, 11+i), "")
		if err != nil {
			return nil, err
		}
		t, err := f.StartTarget(h, demoService, 1, demoSlots, demoTime)
		if err != nil {
			return nil, err
		}
		targets = append(targets, t)
	}
	return targets, nil
}

// PutDemoRecords writes the service and the route of the demo.
func (f *Fleet) PutDemoRecords(ctx context.Context) error {
	service := &record.Service{Office: "bureau", Preset: record.PresetQuick, Floor: record.Floor{Percent: 60}}
	if err := f.Put(ctx, record.Key{Kind: record.KindService, Name: demoService}, service); err != nil {
		return err
	}
	route := &record.Route{PathPrefix: "/plans", Service: demoService, TimeoutMS: 2000}
	return f.Put(ctx, record.Key{Kind: record.KindRoute, Name: demoService}, route)
}

func (f *Fleet) urls(path string) []string {
	var out []string
	for _, h := range f.Hosts {
		out = append(out, "http://"+h.CallersAddress()+path)
	}
	return out
}

func (f *Fleet) load(ctx context.Context, d time.Duration) (*Report, error) {
	return Load(ctx, LoadConfig{URLs: f.urls("/plans/42"), Method: http.MethodGet, Rate: demoRate, Duration: d})
}

// loadAndWatch sends load and notes when every host leaves a target out; 0
// means that some never did.
func (f *Fleet) loadAndWatch(ctx context.Context, gray string) (*Report, time.Duration, error) {
	start := time.Now()
	out := make(chan time.Duration, 1)
	watchCtx, cancel := context.WithTimeout(ctx, demoGray)
	defer cancel()
	go func() {
		for watchCtx.Err() == nil {
			if f.allLeaveOut(gray) {
				out <- time.Since(start)
				return
			}
			time.Sleep(pollInterval)
		}
		out <- 0
	}()
	r, err := f.load(ctx, demoGray)
	return r, <-out, err
}

func (f *Fleet) allLeaveOut(name string) bool {
	for _, h := range f.Hosts {
		s, err := h.Status()
		if err != nil || !leavesOut(s.Services, name) {
			return false
		}
	}
	return true
}

func (f *Fleet) sayStatus(say func(string, ...any)) {
	s, err := f.Hosts[0].Status()
	if err != nil {
		return
	}
	for _, svc := range s.Services {
		say("   as %s sees %s: %d of %d slots in use, the floor is %d", f.Hosts[0].Name, svc.Name, svc.HealthySlots, svc.KnownSlots, svc.RequiredSlots)
		for _, t := range svc.Targets {
			say("     %-14s %-4s %-9s %s", t.Name, t.DC, t.Use, t.Why)
		}
	}
}

func indent(s string) string {
	return "   " + strings.ReplaceAll(strings.TrimSpace(s), "\n", "\n   ")
}
