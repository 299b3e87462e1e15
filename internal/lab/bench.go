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

// The shape of the speed measurement: one front host, one target host, and a
// target without service time, so that all that is measured is the system's.
const (
	benchService = "bench"
	benchSlots   = 512
	benchFor     = 5 * time.Second
	benchIdle    = 2000
	// clockTicks is the kernel's unit of processor time, per second.
	clockTicks = 100
)

// Bench measures what front and guard add to a request, in one run on one
// machine: latency against calling the target directly at the same rate,
// processor time a request, and memory an idle connection.
func Bench(ctx context.Context, out io.Writer, bin string, rates []int) error {
	dir, err := os.MkdirTemp("", "radishhoist-bench")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	f := NewFleet(ctx, bin, dir, io.Discard)
	defer f.Stop()
	fronts, direct, err := startBench(ctx, f)
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "%8s  %-22s %-22s %-22s %s\n", "rate/s", "direct p50 / p99", "through p50 / p99", "added p50 / p99", "daemons' CPU a request")
	for _, rate := range rates {
		if err := benchRate(ctx, out, f, fronts, direct, rate); err != nil {
			return err
		}
	}
	return benchConnections(out, f.Hosts[0])
}

func startBench(ctx context.Context, f *Fleet) (through, direct string, err error) {
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

// histograms are the latencies of the two ways, from many goroutines.
type histograms struct {
	mu  sync.Mutex
	url map[string]*hdrhistogram.Histogram
}

func (h *histograms) add(r Result) {
	h.mu.Lock()
	defer h.mu.Unlock()
	one, ok := h.url[r.URL]
	if !ok {
		one = hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
		h.url[r.URL] = one
	}
	_ = one.RecordValue(max(r.FromSend.Microseconds(), 1))
}

func (h *histograms) at(url string, q float64) time.Duration {
	return time.Duration(h.url[url].ValueAtQuantile(q)) * time.Microsecond
}

// benchRate sends to both ways in turn, so that both meet the same machine.
func benchRate(ctx context.Context, out io.Writer, f *Fleet, through, direct string, rate int) error {
	h := &histograms{url: make(map[string]*hdrhistogram.Histogram)}
	cfg := LoadConfig{URLs: []string{direct, through}, Method: http.MethodGet, Rate: 2 * rate, Duration: time.Second}
	if _, err := Load(ctx, cfg); err != nil {
		return err
	}
	before := f.cpu()
	cfg.Duration, cfg.Each = benchFor, h.add
	r, err := Load(ctx, cfg)
	if err != nil {
		return err
	}
	spent := f.cpu() - before
	if r.Whole != r.Sent {
		return errors.Errorf("%d of %d requests were not answered whole", r.Sent-r.Whole, r.Sent)
	}
	pair := func(a, b time.Duration) string { return fmt.Sprintf("%s / %s", a, b) }
	d50, d99, t50, t99 := h.at(direct, 50), h.at(direct, 99), h.at(through, 50), h.at(through, 99)
	fmt.Fprintf(out, "%8d  %-22s %-22s %-22s %s\n", rate, pair(d50, d99), pair(t50, t99), pair(t50-d50, t99-d99),
		(spent / time.Duration(r.Sent/2)).Round(time.Microsecond))
	return nil
}

// cpu is the processor time that all daemons have used.
func (f *Fleet) cpu() time.Duration {
	var sum time.Duration
	for _, h := range f.Hosts {
		sum += h.Daemon.CPU()
	}
	return sum
}

// CPU is the processor time the process has used, from /proc.
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
	return time.Duration(u+s) * time.Second / clockTicks
}

// RSS is the process's resident memory in bytes, from /proc.
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

// benchConnections measures the memory of idle callers' connections, each
// after one request.
func benchConnections(out io.Writer, h *Host) error {
	before := h.Daemon.RSS()
	conns := make([]net.Conn, 0, benchIdle)
	defer func() {
		for _, c := range conns {
			_ = c.Close()
		}
	}()
	buf := make([]byte, 4096)
	for range benchIdle {
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
	fmt.Fprintf(out, "idle connection of a caller: %d bytes of resident memory each, over %d\n", (h.Daemon.RSS()-before)/benchIdle, benchIdle)
	return nil
}
