package guard

import (
	"context"
	"log/slog"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/radishhoist/radishhoist/internal/core/crash"
	"github.com/radishhoist/radishhoist/internal/event"
	"github.com/radishhoist/radishhoist/internal/msg"
)

const (
	// probeTimeout bounds the look whether an instance still takes connections: it
	// runs on this host, and the request waits for its verdict.
	probeTimeout = 50 * time.Millisecond
	// maxNamed bounds the requests that the line about an end names.
	maxNamed = 8
)

// software is what the instance runs.
func (i *instance) software() crash.Software {
	i.mu.Lock()
	defer i.mu.Unlock()
	return crash.Software{Service: i.service, Version: i.version}
}

// ended says whether the instance has ended, seen by its port, which takes no
// connections. The first to see it takes the instance out of service and tells the
// fleet what ran there.
func (i *instance) ended() bool {
	i.probing.Lock()
	defer i.probing.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	if !errors.Is(i.client.Probe(ctx), syscall.ECONNREFUSED) {
		return false
	}
	announced, first := i.takeOut()
	if first {
		i.guard.counts.ends.Inc()
	}
	if first && !announced {
		i.tellEnd(time.Now())
	}
	if first {
		i.guard.changed()
	}
	return true
}

// takeOut takes the instance out of service, and reports whether it is the first to do
// so. announced says that the instance had said that it would end: then nothing that it
// ran is to blame.
func (i *instance) takeOut() (announced, first bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.over {
		return i.leaving, false
	}
	i.over = true
	i.settle()
	return i.leaving, true
}

// tellEnd tells the fleet that the instance has ended and what it ran.
func (i *instance) tellEnd(now time.Time) {
	software := i.software()
	e := crash.Crash{ID: endID(i.name, i.started), Software: software, Host: i.guard.cfg.Host, DetectedAt: now}
	var requests []string
	looks := make(map[crash.Fingerprint]string)
	for _, u := range i.underWay() {
		if i.guard.suspects.completedLately(now, u.print, software) {
			continue
		}
		requests = append(requests, u.run.RequestID)
		if _, again := looks[u.print]; again {
			continue
		}
		e.Fingerprints = append(e.Fingerprints, u.print)
		looks[u.print] = u.look()
	}
	event.Log(i.guard.log, event.InstanceEnded, slog.String("instance", i.name), slog.String("service", software.Service),
		slog.String("version", software.Version), slog.Int("suspects", len(e.Fingerprints)), slog.Any("requests", requests[:min(len(requests), maxNamed)]))
	if len(e.Fingerprints) == 0 {
		return
	}
	e.Fingerprints = e.Fingerprints[:min(len(e.Fingerprints), crash.MaxFingerprints)]
	i.guard.suspects.remember(e.ID, looks)
	i.guard.ApplyCrash(e)
	i.guard.ended(e)
	for _, p := range e.Fingerprints {
		// One that was stopped while it ran here: the hosts of the earlier ends may
		// each have left it to this one to keep.
		if v := i.guard.CrashAssessment(p); !v.BlockedUntil.IsZero() {
			i.guard.keepSettled(p)
		}
	}
}

// unsent marks a request that was proved not to have run: it had no part in an end.
func (i *instance) unsent(w *waiter) {
	i.mu.Lock()
	defer i.mu.Unlock()
	w.print = 0
}

// underWay is a request that was sent to the instance and has no answer.
type underWay struct {
	run     *msg.Run
	print   crash.Fingerprint
	started time.Time
}

// look is the request as operators see it: method, host and path.
func (u *underWay) look() string {
	path, _, _ := strings.Cut(u.run.URI, "?")
	return u.run.Method + " " + u.run.Host + path
}

// underWay lists what the instance runs, what began last first.
func (i *instance) underWay() []underWay {
	i.mu.Lock()
	defer i.mu.Unlock()
	var out []underWay
	for _, w := range i.waiters {
		if w.run != nil && w.print != 0 {
			out = append(out, underWay{w.run, w.print, w.started})
		}
	}
	slices.SortFunc(out, func(a, b underWay) int { return b.started.Compare(a.started) })
	return out
}

// endID names one start of an instance in the fleet.
func endID(name string, started time.Time) string {
	return name + "@" + started.UTC().Format("20060102T150405.000")
}
