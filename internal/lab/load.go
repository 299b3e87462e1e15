// Package lab has the load tool, the demo, and what end-to-end tests share:
// a small fleet of real processes on loopback addresses.
package lab

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/pkg/errors"

	"github.com/radishhoist/radishhoist/internal/core/header"
	"github.com/radishhoist/radishhoist/verdict"
)

// LoadConfig describes an open-loop load: requests start on time whether or
// not earlier ones have been answered.
type LoadConfig struct {
	URLs   []string
	Method string
	// Rate is in requests a second.
	Rate     int
	Duration time.Duration
	// BodyBytes is the size of the request body in bytes.
	BodyBytes int
	// Header is added to every request.
	Header http.Header
	// Each is called with every result, where set, from many goroutines.
	Each func(Result)
}

// Result is one request's outcome.
type Result struct {
	Status  int
	Verdict string
	Target  string
	// URL is where it was sent.
	URL string
	// Took counts from when the request was due, FromSend from when it was
	// sent: the timer's lateness lies between them.
	Took     time.Duration
	FromSend time.Duration
	Err      error
}

// Report sums up a load.
type Report struct {
	mu       sync.Mutex
	Sent     int
	Whole    int
	ByStatus map[string]int
	ByTarget map[string]int
	Latency  *hdrhistogram.Histogram
}

const (
	maxRate     = 50000
	maxDuration = 10 * time.Minute
	// maxInFlight bounds the requests under way.
	maxInFlight = 10000
)

// Load sends requests to loopback addresses only.
func Load(ctx context.Context, cfg LoadConfig) (*Report, error) {
	for _, u := range cfg.URLs {
		if err := loopbackOnly(u); err != nil {
			return nil, err
		}
	}
	if cfg.Rate < 1 || cfg.Rate > maxRate || cfg.Duration <= 0 || cfg.Duration > maxDuration || len(cfg.URLs) == 0 {
		return nil, errors.Errorf("load: write at least one URL, a rate of 1 to %d and a time up to %s", maxRate, maxDuration)
	}
	r := &Report{ByStatus: map[string]int{}, ByTarget: map[string]int{}, Latency: hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)}
	transport := &http.Transport{MaxIdleConnsPerHost: 1024, MaxConnsPerHost: 2048}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport, Timeout: time.Minute}
	slots := make(chan struct{}, maxInFlight)
	var wg sync.WaitGroup
	start := time.Now()
	interval := time.Second / time.Duration(cfg.Rate)
	for n := 0; ctx.Err() == nil; n++ {
		due := start.Add(time.Duration(n) * interval)
		if due.Sub(start) >= cfg.Duration {
			break
		}
		time.Sleep(time.Until(due))
		slots <- struct{}{}
		wg.Add(1)
		go func() {
			defer wg.Done()
			res := sendOne(ctx, client, cfg, cfg.URLs[n%len(cfg.URLs)], due)
			r.add(res)
			if cfg.Each != nil {
				cfg.Each(res)
			}
			<-slots
		}()
	}
	wg.Wait()
	return r, nil
}

func loopbackOnly(raw string) error {
	u, err := url.Parse(raw)
	if err != nil {
		return errors.Wrap(err, "load")
	}
	if ip := net.ParseIP(u.Hostname()); ip == nil || !ip.IsLoopback() {
		return errors.Errorf("load: %q is not a loopback IP number; the load tool sends nowhere else", u.Hostname())
	}
	return nil
}

func sendOne(ctx context.Context, client *http.Client, cfg LoadConfig, url string, due time.Time) Result {
	req, err := http.NewRequestWithContext(ctx, cfg.Method, url, bytes.NewReader(make([]byte, cfg.BodyBytes)))
	if err != nil {
		return Result{Err: err}
	}
	for name, values := range cfg.Header {
		req.Header[name] = values
	}
	sent := time.Now()
	resp, err := client.Do(req)
	if err != nil {
		return Result{Err: err, URL: url, Took: time.Since(due), FromSend: time.Since(sent)}
	}
	defer func() { _ = resp.Body.Close() }()
	_, err = io.Copy(io.Discard, resp.Body)
	return Result{
		Status: resp.StatusCode, Verdict: resp.Header.Get(verdict.Header),
		Target: resp.Header.Get(header.Target), URL: url, Took: time.Since(due), FromSend: time.Since(sent), Err: err,
	}
}

func (r *Report) add(res Result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Sent++
	switch {
	case res.Err != nil:
		r.ByStatus["broken connection"]++
	case res.Verdict != "":
		r.ByStatus[fmt.Sprintf("%d %s", res.Status, res.Verdict)]++
	default:
		r.ByStatus[fmt.Sprint(res.Status)]++
	}
	if res.Err == nil && res.Status < http.StatusBadRequest {
		r.Whole++
	}
	if res.Target != "" {
		r.ByTarget[res.Target]++
	}
	_ = r.Latency.RecordValue(max(res.Took.Microseconds(), 1))
}

// Quantile gives a latency quantile, q from 0 to 100.
func (r *Report) Quantile(q float64) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Duration(r.Latency.ValueAtQuantile(q)) * time.Microsecond
}

// String is the report for a terminal.
func (r *Report) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "sent %d, answered whole %d\n", r.Sent, r.Whole)
	fmt.Fprintf(&b, "latency p50 %s  p90 %s  p99 %s  max %s\n", r.Quantile(50), r.Quantile(90), r.Quantile(99), r.Quantile(100))
	writeCounts(&b, "by status", r.ByStatus)
	writeCounts(&b, "by target", r.ByTarget)
	return b.String()
}

func writeCounts(b *strings.Builder, title string, counts map[string]int) {
	var names []string
	for name := range counts {
		names = append(names, name)
	}
	sort.Strings(names)
	fmt.Fprintf(b, "%s:", title)
	for _, name := range names {
		fmt.Fprintf(b, "  %s=%d", name, counts[name])
	}
	b.WriteByte('\n')
}
