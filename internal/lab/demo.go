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

// Parameters of the demo: the Bureau's plans service on six hosts in three data centres.
const (
	demoHosts   = 6
	demoDCs     = 3
	demoService = "plans"
	demoSlots   = 7
	// demoRate is in requests per second.
	demoRate         = 240
	demoGrayDuration = 8 * time.Second
	demoServiceTime  = 15 * time.Millisecond
	// demoGoodDuration is how long all targets stay good. During this time each has to
	// serve at least the fraction minEvenShare of an even share of the requests.
	demoGoodDuration = 5 * time.Second
	minEvenShare     = 0.5
)

// DemoConfig describes a run of the demo.
type DemoConfig struct {
	// Bin is the directory of the built programs.
	Bin string
	// AddressOctet is the third octet of the addresses, 127.0.AddressOctet.x.
	AddressOctet int
	// Verbose prints the logs of the processes.
	Verbose bool
}

// Demo starts a fleet, injects a gray failure into one target under load, and prints how the
// daemons route around it. It returns an error if a request failed, if the target was not left
// out, or if load was distributed too unevenly while all targets were good.
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
	printf := func(format string, args ...any) { fmt.Fprintf(out, format+"\n", args...) }

	printf("1. platform stand-in, %d daemons in %d data centres, one target stand-in per daemon", demoHosts, demoDCs)
	targets, err := startDemoFleet(ctx, f, cfg.AddressOctet)
	if err != nil {
		return err
	}
	if err := f.WaitUntilServing(20*time.Second, map[string]int{demoService: demoHosts}); err != nil {
		return err
	}
	printf("   every daemon has the records and knows all %d targets", demoHosts)

	before, err := f.load(ctx, demoGoodDuration)
	if err != nil {
		return err
	}
	printf("2. all targets good, %d requests per second, sent to all daemons in turn\n%s", demoRate, indent(before.String()))
	name, share := before.leastUsedTarget(targets)
	printf("   an even share is %d requests; %s served the fewest, %.2f of that", before.Succeeded/len(targets), name, share)
	if share < minEvenShare {
		return errors.Errorf("the good target %s served %.2f of an even share; the minimum is %.2f", name, share, minEvenShare)
	}

	gray := targets[0]
	printf("3. gray failure of target %s: five times slower, announcements unchanged", gray.Name)
	if err := gray.SetBehaviour(target.Behaviour{Mode: target.Slow, Factor: 5}); err != nil {
		return err
	}
	during, leftOut, err := f.loadWhileGray(ctx, gray.Name)
	if err != nil {
		return err
	}
	printf("%s", indent(during.String()))
	if leftOut == 0 {
		return errors.Errorf("the gray target %s was not left out within %s", gray.Name, demoGrayDuration)
	}
	printf("   left out by every daemon %s after the failure began", leftOut.Round(10*time.Millisecond))
	f.printStatus(printf)
	if failed := before.Sent - before.Succeeded + during.Sent - during.Succeeded; failed > 0 {
		return errors.Errorf("%d requests failed", failed)
	}
	printf("4. no request failed; p99 was %s with all targets good, %s with one gray", before.Quantile(99), during.Quantile(99))
	return nil
}

// leastUsedTarget returns the name of the target that served the fewest requests, and
// their number as a fraction of an even share.
func (r *Report) leastUsedTarget(targets []*Target) (name string, share float64) {
	fewest := slices.MinFunc(targets, func(a, b *Target) int { return cmp.Compare(r.ByTarget[a.Name], r.ByTarget[b.Name]) })
	return fewest.Name, float64(r.ByTarget[fewest.Name]*len(targets)) / float64(max(r.Succeeded, 1))
}

// startDemoFleet starts all processes and writes the records.
func startDemoFleet(ctx context.Context, f *Fleet, addressOctet int) ([]*Target, error) {
	if err := f.StartPlatform(fmt.Sprintf("127.0.%d.1", addressOctet)); err != nil {
		return nil, err
	}
	if err := f.PutDemoRecords(ctx); err != nil {
		return nil, err
	}
	var targets []*Target
	for i := range demoHosts {
		h, err := f.StartHost(fmt.Sprintf("h%d", i+1), fmt.Sprintf("ub%d", i%demoDCs+1), fmt.Sprintf("127.0.%d.%d", addressOctet, 11+i), "")
		if err != nil {
			return nil, err
		}
		t, err := f.StartTarget(h, demoService, 1, demoSlots, demoServiceTime)
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

// loadWhileGray sends load for demoGrayDuration and returns the time until every host had
// left the gray target out, or 0 if that did not happen.
func (f *Fleet) loadWhileGray(ctx context.Context, gray string) (*Report, time.Duration, error) {
	start := time.Now()
	out := make(chan time.Duration, 1)
	watchCtx, cancel := context.WithTimeout(ctx, demoGrayDuration)
	defer cancel()
	go func() {
		for watchCtx.Err() == nil {
			if f.leftOutByAll(gray) {
				out <- time.Since(start)
				return
			}
			time.Sleep(pollInterval)
		}
		out <- 0
	}()
	r, err := f.load(ctx, demoGrayDuration)
	return r, <-out, err
}

func (f *Fleet) leftOutByAll(name string) bool {
	for _, h := range f.Hosts {
		s, err := h.Status()
		if err != nil || !isLeftOut(s.Services, name) {
			return false
		}
	}
	return true
}

func (f *Fleet) printStatus(printf func(string, ...any)) {
	s, err := f.Hosts[0].Status()
	if err != nil {
		return
	}
	for _, svc := range s.Services {
		printf("   on %s, service %s: %d of %d slots in use, the floor is %d", f.Hosts[0].Name, svc.Name, svc.HealthySlots, svc.KnownSlots, svc.RequiredSlots)
		for _, t := range svc.Targets {
			printf("     %-14s %-4s %-9s %s", t.Name, t.DC, t.Use, t.Reason)
		}
	}
}

func indent(s string) string {
	return "   " + strings.ReplaceAll(strings.TrimSpace(s), "\n", "\n   ")
}
