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

// The shape of the takeover measurement.
const (
	takeoverHosts = 5
	takeoverRate  = 40
	takeoverFor   = 20 * time.Second
	takeoverDrain = "owner drained"
)

// takeoverSend is one fresh keyed request.
type takeoverSend struct {
	after    time.Duration
	answered bool
	reason   string
}

// Takeover measures what callers with fresh keys are refused, and for how
// long, when the owner of key shards is killed, frozen or drained.
func Takeover(ctx context.Context, out io.Writer, bin string) error {
	fmt.Fprintf(out, "| what happens to the owner | shards it had | sent in %s | refused | last refusal after | by reason |\n|---|---|---|---|---|---|\n", takeoverFor)
	for _, c := range []struct {
		name string
		sig  syscall.Signal
	}{{"owner killed", syscall.SIGKILL}, {"owner frozen", syscall.SIGSTOP}, {takeoverDrain, syscall.SIGTERM}} {
		if err := takeoverRow(ctx, out, bin, c.name, c.sig); err != nil {
			return err
		}
	}
	return nil
}

func takeoverRow(ctx context.Context, out io.Writer, bin, name string, sig syscall.Signal) error {
	f, stop, err := startPlain(ctx, bin, takeoverHosts, func(i int) string { return fmt.Sprintf("127.0.0.%d", 61+i) })
	if err != nil {
		return err
	}
	defer stop()
	owner, shards, err := f.settledOwner()
	if err != nil {
		return err
	}
	if err := owner.Daemon.Signal(sig); err != nil {
		return err
	}
	sends := f.freshKeys(owner)
	reportTakeover(out, name, shards, sends)
	return nil
}

// settledOwner waits until fresh keys are taken on every shard, and gives an
// owner with its number of shards.
func (f *Fleet) settledOwner() (*Host, int, error) {
	err := f.WaitFor(time.Minute, "every shard", func() bool {
		for range 24 {
			if s := f.freshKey(f.Hosts[0], time.Now()); !s.answered {
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

// freshKeys sends requests with fresh keys through every host but one.
func (f *Fleet) freshKeys(not *Host) []takeoverSend {
	var hosts []*Host
	for _, h := range f.Hosts {
		if h != not {
			hosts = append(hosts, h)
		}
	}
	start := time.Now()
	sends := make([]takeoverSend, int(takeoverFor.Seconds())*takeoverRate)
	var wg sync.WaitGroup
	for i := range sends {
		time.Sleep(time.Until(start.Add(time.Duration(i) * time.Second / takeoverRate)))
		wg.Add(1)
		go func() {
			defer wg.Done()
			sends[i] = f.freshKey(hosts[i%len(hosts)], start)
		}()
	}
	wg.Wait()
	return sends
}

// freshKey sends one request with a fresh key; its caller waits a second.
func (f *Fleet) freshKey(h *Host, start time.Time) takeoverSend {
	s := takeoverSend{after: time.Since(start), reason: "no answer"}
	req, err := http.NewRequest(http.MethodPost, "http://"+h.CallersAddress()+"/plans/7", strings.NewReader("seat"))
	if err != nil {
		return s
	}
	req.Header.Set(header.IdempotencyKey, uuid.Must(uuid.NewV7()).String())
	req.Header.Set(header.Default().Timeout, "1000")
	resp, err := client.Do(req)
	if err != nil {
		return s
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode == http.StatusOK {
		s.answered = true
		return s
	}
	var p verdict.Problem
	if json.NewDecoder(resp.Body).Decode(&p) == nil {
		s.reason = p.Title + " (" + p.Verdict + ")"
	}
	return s
}

func reportTakeover(out io.Writer, name string, shards int, sends []takeoverSend) {
	refused, last := 0, time.Duration(0)
	reasons := make(map[string]int)
	for _, s := range sends {
		if s.answered {
			continue
		}
		refused++
		reasons[s.reason]++
		last = max(last, s.after)
	}
	fmt.Fprintf(out, "| %s | %d of 4 | %d | %.1f %% | %.1f s | %v |\n", name, shards, len(sends),
		100*float64(refused)/float64(len(sends)), last.Seconds(), reasons)
}
