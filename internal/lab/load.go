// Package lab provides the load generator, the demo, measurements, and a small fleet of
// real processes on loopback addresses, which the end-to-end tests use as well.
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

// LoadConfig describes an open-loop load: requests are sent on schedule whether or not
// earlier ones have completed.
type LoadConfig struct {
	URLs   []string
	Method string
	// Rate is in requests per second.
	Rate     int
	Duration time.Duration
	// BodyBytes is the size of the request body in bytes.
	BodyBytes int
	// Header is added to every request.
	Header http.Header
	// Each, if set, is called with every result, concurrently.
	Each func(Result)
}

// Result is the outcome of one request.
type Result struct {
	Status  int
	Verdict string
	Target  string
	URL     string
	// SinceDue is the time from when the request was due until the end of its response,
	// SinceSent the time from when it was sent. They differ by the delay of the timer and
	// by the wait of the schedule if maxInFlight requests are in progress.
	SinceDue  time.Duration
	SinceSent time.Duration
	Err       error
}

// Report aggregates the results of a load.
type Report struct {
	mu   sync.Mutex
	Sent int
	// Succeeded is the number of requests with a complete response and a status below 400.
	Succeeded int
	ByStatus  map[string]int
	ByTarget  map[string]int
	Latency   *hdrhistogram.Histogram
}

const (
	// maxRate is in requests per second.
	maxRate     = 50000
	maxDuration = 10 * time.Minute
	// maxInFlight bounds the number of concurrent requests.
	maxInFlight = 10000
)

// Load sends requests at a fixed rate and waits for their responses. It accepts only
// URLs with a loopback IP address.
func Load(ctx context.Context, cfg LoadConfig) (*Report, error) {
	for _, u := range cfg.URLs {
		if err := requireLoopback(u); err != nil {
			return nil, err
		}
	}
	if cfg.Rate < 1 || cfg.Rate > maxRate || cfg.Duration <= 0 || cfg.Duration > maxDuration || len(cfg.URLs) == 0 {
		return nil, errors.Errorf("load: need at least one URL, a rate of 1 to %d requests per second and a duration of up to %s", maxRate, maxDuration)
	}
	r := &Report{ByStatus: map[string]int{}, ByTarget: map[string]int{}, Latency: hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)}
	transport := &http.Transport{MaxIdleConnsPerHost: 1024, MaxConnsPerHost: 2048}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport, Timeout: time.Minute}
	inFlight := make(chan struct{}, maxInFlight)
	var wg sync.WaitGroup
	start := time.Now()
	interval := time.Second / time.Duration(cfg.Rate)
	for n := 0; ctx.Err() == nil; n++ {
		due := start.Add(time.Duration(n) * interval)
		if due.Sub(start) >= cfg.Duration {
			break
		}
		time.Sleep(time.Until(due))
		inFlight <- struct{}{}
		wg.Add(1)
		go func() {
			defer wg.Done()
			res := sendOne(ctx, client, cfg, cfg.URLs[n%len(cfg.URLs)], due)
			r.add(res)
			if cfg.Each != nil {
				cfg.Each(res)
			}
			<-inFlight
		}()
	}
	wg.Wait()
	return r, nil
}

func requireLoopback(raw string) error {
	u, err := url.Parse(raw)
	if err != nil {
		return errors.Wrap(err, "load")
	}
	if ip := net.ParseIP(u.Hostname()); ip == nil || !ip.IsLoopback() {
		return errors.Errorf("load: %q is not a loopback IP address; the load generator accepts no others", u.Hostname())
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
		return Result{Err: err, URL: url, SinceDue: time.Since(due), SinceSent: time.Since(sent)}
	}
	defer func() { _ = resp.Body.Close() }()
	_, err = io.Copy(io.Discard, resp.Body)
	return Result{
		Status: resp.StatusCode, Verdict: resp.Header.Get(verdict.Header),
		Target: resp.Header.Get(header.Target), URL: url, SinceDue: time.Since(due), SinceSent: time.Since(sent), Err: err,
	}
}

func (r *Report) add(res Result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Sent++
	switch {
	case res.Err != nil:
		r.ByStatus["no complete response"]++
	case res.Verdict != "":
		r.ByStatus[fmt.Sprintf("%d %s", res.Status, res.Verdict)]++
	default:
		r.ByStatus[fmt.Sprint(res.Status)]++
	}
	if res.Err == nil && res.Status < http.StatusBadRequest {
		r.Succeeded++
	}
	if res.Target != "" {
		r.ByTarget[res.Target]++
	}
	_ = r.Latency.RecordValue(max(res.SinceDue.Microseconds(), 1))
}

// Quantile returns a latency percentile, q from 0 to 100, measured from when requests
// were due.
func (r *Report) Quantile(q float64) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Duration(r.Latency.ValueAtQuantile(q)) * time.Microsecond
}

// String formats the report for a terminal.
func (r *Report) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "sent %d, succeeded %d\n", r.Sent, r.Succeeded)
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
