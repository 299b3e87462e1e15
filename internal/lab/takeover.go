package lab

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"github.com/radishhoist/radishhoist/internal/core/header"
	"github.com/radishhoist/radishhoist/verdict"
)

// Parameters of the takeover measurement; the rate is in requests per second.
const (
	takeoverHosts    = 5
	takeoverRate     = 40
	takeoverDuration = 20 * time.Second
)

// keyedRequest is the result of a request with a fresh idempotency key.
type keyedRequest struct {
	// sentAfter is the time from the start of the measurement to the request.
	sentAfter time.Duration
	succeeded bool
	// reason is why the request did not succeed.
	reason string
}

// Takeover measures how many requests with fresh idempotency keys are refused, and for how
// long, when the owner of key shards is killed, frozen or drained.
func Takeover(ctx context.Context, out io.Writer, bin string) error {
	fmt.Fprintf(out, "| event | shards of the owner | sent in %s | refused | last refusal after | by reason |\n|---|---|---|---|---|---|\n", takeoverDuration)
	for _, c := range []struct {
		name string
		sig  syscall.Signal
	}{{"owner killed", syscall.SIGKILL}, {"owner frozen", syscall.SIGSTOP}, {"owner drained", syscall.SIGTERM}} {
		if err := measureTakeover(ctx, out, bin, c.name, c.sig); err != nil {
			return err
		}
	}
	return nil
}

func measureTakeover(ctx context.Context, out io.Writer, bin, name string, sig syscall.Signal) error {
	f, stop, err := startUniformFleet(ctx, bin, takeoverHosts, func(i int) string { return fmt.Sprintf("127.0.0.%d", 61+i) })
	if err != nil {
		return err
	}
	defer stop()
	owner, shards, err := f.waitForShardOwner()
	if err != nil {
		return err
	}
	if err := owner.Daemon.Signal(sig); err != nil {
		return err
	}
	requests := f.sendKeyedRequests(owner)
	printTakeoverRow(out, name, shards, requests)
	return nil
}

// waitForShardOwner waits until 24 requests with fresh keys in a row succeed, which shows
// that every shard very probably has an owner, and returns the first host that owns
// shards, with their number.
func (f *Fleet) waitForShardOwner() (*Host, int, error) {
	err := f.WaitFor(time.Minute, "the owners of all key shards", func() bool {
		for range 24 {
			if r := f.sendKeyedRequest(f.Hosts[0], time.Now()); !r.succeeded {
				return false
			}
		}
		return true
	})
	if err != nil {
		return nil, 0, err
	}
	for _, h := range f.Hosts {
		if dump, err := h.Dump(); err == nil && len(dump.Shards) > 0 {
			return h, len(dump.Shards), nil
		}
	}
	return nil, 0, errors.New("no host owns a shard")
}

// sendKeyedRequests sends requests with fresh keys through every host except one.
func (f *Fleet) sendKeyedRequests(except *Host) []keyedRequest {
	var hosts []*Host
	for _, h := range f.Hosts {
		if h != except {
			hosts = append(hosts, h)
		}
	}
	start := time.Now()
	requests := make([]keyedRequest, int(takeoverDuration.Seconds())*takeoverRate)
	var wg sync.WaitGroup
	for i := range requests {
		time.Sleep(time.Until(start.Add(time.Duration(i) * time.Second / takeoverRate)))
		wg.Add(1)
		go func() {
			defer wg.Done()
			requests[i] = f.sendKeyedRequest(hosts[i%len(hosts)], start)
		}()
	}
	wg.Wait()
	return requests
}

// sendKeyedRequest sends one request with a fresh key and a timeout of one second.
func (f *Fleet) sendKeyedRequest(h *Host, start time.Time) keyedRequest {
	r := keyedRequest{sentAfter: time.Since(start), reason: "no response"}
	req, err := http.NewRequest(http.MethodPost, "http://"+h.CallersAddress()+"/plans/7", strings.NewReader("seat"))
	if err != nil {
		return r
	}
	req.Header.Set(header.IdempotencyKey, uuid.Must(uuid.NewV7()).String())
	req.Header.Set(header.Default().Timeout, "1000")
	resp, err := httpClient.Do(req)
	if err != nil {
		return r
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode == http.StatusOK {
		r.succeeded = true
		return r
	}
	var p verdict.Problem
	if json.NewDecoder(resp.Body).Decode(&p) == nil {
		r.reason = p.Title + " (" + p.Verdict + ")"
	}
	return r
}

func printTakeoverRow(out io.Writer, name string, shards int, requests []keyedRequest) {
	refused, last := 0, time.Duration(0)
	reasons := make(map[string]int)
	for _, r := range requests {
		if r.succeeded {
			continue
		}
		refused++
		reasons[r.reason]++
		last = max(last, r.sentAfter)
	}
	fmt.Fprintf(out, "| %s | %d of 4 | %d | %.1f %% | %.1f s | %v |\n", name, shards, len(requests),
		100*float64(refused)/float64(len(requests)), last.Seconds(), reasons)
}
