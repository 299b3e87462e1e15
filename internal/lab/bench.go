package lab

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/pkg/errors"

	"github.com/radishhoist/radishhoist/record"
)

// Parameters of the benchmark: one front host, one target host, and a target without
// service time, so that only the cost of the system is measured.
const (
	benchService   = "bench"
	benchSlots     = 512
	benchDuration  = 5 * time.Second
	benchIdleConns = 2000
	// clockTicksPerSecond is the unit of CPU time in /proc (USER_HZ).
	clockTicksPerSecond = 100
)

// Bench measures the overhead of front and guard in one run on one machine: latency
// compared with direct calls to the target at the same rate, CPU time per request, and
// memory per idle connection.
func Bench(ctx context.Context, out io.Writer, bin string, rates []int) error {
	dir, err := os.MkdirTemp("", "radishhoist-bench")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	f := NewFleet(ctx, bin, dir, io.Discard)
	defer f.Stop()
	proxied, direct, err := startBench(ctx, f)
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "%8s  %-22s %-22s %-22s %s\n", "rate/s", "direct p50 / p99", "proxied p50 / p99", "overhead p50 / p99", "daemon CPU per request")
	for _, rate := range rates {
		if err := benchRate(ctx, out, f, proxied, direct, rate); err != nil {
			return err
		}
	}
	return benchConnections(out, f.Hosts[0])
}

// startBench starts the fleet and returns the URL of the target through the front and its
// direct URL.
func startBench(ctx context.Context, f *Fleet) (proxied, direct string, err error) {
	if err := f.StartPlatform("127.0.0.1"); err != nil {
		return "", "", err
	}
	service := &record.Service{Office: "lab", Preset: record.PresetCareful, Floor: record.Floor{Percent: 50}}
	if err := f.Put(ctx, record.Key{Kind: record.KindService, Name: benchService}, service); err != nil {
		return "", "", err
	}
	route := &record.Route{PathPrefix: "/", Service: benchService}
	if err := f.Put(ctx, record.Key{Kind: record.KindRoute, Name: benchService}, route); err != nil {
		return "", "", err
	}
	for i, dc := range []string{"a", "b"} {
		if _, err := f.StartHost("b"+strconv.Itoa(i+1), dc, fmt.Sprintf("127.0.0.%d", 51+i), ""); err != nil {
			return "", "", err
		}
	}
	t, err := f.StartTarget(f.Hosts[1], benchService, 1, benchSlots, 0)
	if err != nil {
		return "", "", err
	}
	err = f.WaitUntilServing(20*time.Second, map[string]int{benchService: 1})
	return "http://" + f.Hosts[0].CallersAddress() + "/x", "http://" + t.Address + "/x", err
}

// histograms records latencies by URL. It is safe for concurrent use.
type histograms struct {
	mu    sync.Mutex
	byURL map[string]*hdrhistogram.Histogram
}

func (h *histograms) add(r Result) {
	h.mu.Lock()
	defer h.mu.Unlock()
	histogram, ok := h.byURL[r.URL]
	if !ok {
		histogram = hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
		h.byURL[r.URL] = histogram
	}
	_ = histogram.RecordValue(max(r.SinceSent.Microseconds(), 1))
}

func (h *histograms) quantile(url string, q float64) time.Duration {
	return time.Duration(h.byURL[url].ValueAtQuantile(q)) * time.Microsecond
}

// benchRate measures one rate. It alternates between the two URLs, so that both are
// measured under the same conditions on the machine.
func benchRate(ctx context.Context, out io.Writer, f *Fleet, proxied, direct string, rate int) error {
	h := &histograms{byURL: make(map[string]*hdrhistogram.Histogram)}
	cfg := LoadConfig{URLs: []string{direct, proxied}, Method: http.MethodGet, Rate: 2 * rate, Duration: time.Second}
	if _, err := Load(ctx, cfg); err != nil {
		return err
	}
	before := f.cpu()
	cfg.Duration, cfg.Each = benchDuration, h.add
	r, err := Load(ctx, cfg)
	if err != nil {
		return err
	}
	cpuUsed := f.cpu() - before
	if r.Succeeded != r.Sent {
		return errors.Errorf("%d of %d requests failed", r.Sent-r.Succeeded, r.Sent)
	}
	formatPair := func(a, b time.Duration) string { return fmt.Sprintf("%s / %s", a, b) }
	direct50, direct99, proxied50, proxied99 := h.quantile(direct, 50), h.quantile(direct, 99), h.quantile(proxied, 50), h.quantile(proxied, 99)
	fmt.Fprintf(out, "%8d  %-22s %-22s %-22s %s\n", rate, formatPair(direct50, direct99), formatPair(proxied50, proxied99),
		formatPair(proxied50-direct50, proxied99-direct99), (cpuUsed / time.Duration(r.Sent/2)).Round(time.Microsecond))
	return nil
}

// cpu returns the CPU time that all daemons have used.
func (f *Fleet) cpu() time.Duration {
	var sum time.Duration
	for _, h := range f.Hosts {
		sum += h.Daemon.CPU()
	}
	return sum
}

// CPU returns the CPU time that the process has used, from /proc.
func (p *Process) CPU() time.Duration {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(text), ") ")
	fields := strings.Fields(rest)
	const user, system = 11, 12
	if len(fields) <= system {
		return 0
	}
	u, _ := strconv.Atoi(fields[user])
	s, _ := strconv.Atoi(fields[system])
	return time.Duration(u+s) * time.Second / clockTicksPerSecond
}

// RSS returns the resident memory of the process in bytes, from /proc.
func (p *Process) RSS() int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", p.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(text))
	if len(fields) < 2 {
		return 0
	}
	pages, _ := strconv.Atoi(fields[1])
	return pages * os.Getpagesize()
}

// benchConnections measures the memory per idle caller connection that has carried one
// request.
func benchConnections(out io.Writer, h *Host) error {
	before := h.Daemon.RSS()
	conns := make([]net.Conn, 0, benchIdleConns)
	defer func() {
		for _, c := range conns {
			_ = c.Close()
		}
	}()
	buf := make([]byte, 4096)
	for range benchIdleConns {
		c, err := net.Dial("tcp", h.CallersAddress())
		if err != nil {
			return err
		}
		conns = append(conns, c)
		if _, err := c.Write([]byte("GET /x HTTP/1.1\r\nHost: x\r\n\r\n")); err != nil {
			return err
		}
		if _, err := c.Read(buf); err != nil {
			return err
		}
	}
	time.Sleep(time.Second)
	fmt.Fprintf(out, "idle caller connection: %d bytes of resident memory each, over %d connections\n", (h.Daemon.RSS()-before)/benchIdleConns, benchIdleConns)
	return nil
}
