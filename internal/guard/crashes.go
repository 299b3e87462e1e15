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
	// probeTimeout limits the check whether an instance still accepts connections. It is
	// short because the instance runs on the same host and the verdict on the request
	// waits for the check.
	probeTimeout = 50 * time.Millisecond
	// maxLoggedRequests limits the requests named in the log line about a crash.
	maxLoggedRequests = 8
)

// software returns the service and version that the instance runs.
func (i *instance) software() crash.Software {
	i.mu.Lock()
	defer i.mu.Unlock()
	return crash.Software{Service: i.service, Version: i.softwareVersion}
}

// checkTerminated reports whether the instance has terminated, which is the case when
// its port refuses connections. The first call to detect it takes the instance out of
// service and, unless the instance had announced its shutdown, reports to the fleet which
// requests were running there.
func (i *instance) checkTerminated() bool {
	i.probeMu.Lock()
	defer i.probeMu.Unlock()
	if !i.refusesConnections() {
		return false
	}
	announced, first := i.markTerminated()
	if first {
		i.guard.counts.terminated.Inc()
	}
	if first && !announced {
		i.reportCrash(time.Now())
	}
	if first {
		i.guard.onChanged()
	}
	return true
}

// refusesConnections reports whether the port of the instance refuses connections. A probe that
// times out is repeated once: on a busy host, the time may pass before the connection is tried.
func (i *instance) refusesConnections() bool {
	for range 2 {
		ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
		err := i.client.Probe(ctx)
		timedOut := ctx.Err() != nil
		cancel()
		if err == nil || !timedOut {
			return errors.Is(err, syscall.ECONNREFUSED)
		}
	}
	return false
}

// markTerminated takes the instance out of service. announced reports that the instance
// had announced its shutdown, in which case none of its requests caused it, and first that
// this call is the first to detect the termination.
func (i *instance) markTerminated() (announced, first bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.terminated {
		return i.leaving, false
	}
	i.terminated = true
	i.updateQueue()
	return i.leaving, true
}

// reportCrash reports the crash of the instance and the requests that ran there to the
// fleet.
func (i *instance) reportCrash(now time.Time) {
	software := i.software()
	c := crash.Crash{ID: crashID(i.name, i.started), Software: software, Host: i.guard.cfg.Host, DetectedAt: now}
	var requests []string
	descriptions := make(map[crash.Fingerprint]string)
	for _, r := range i.inFlight() {
		if i.guard.suspects.completedRecently(now, r.fingerprint, software) {
			continue
		}
		requests = append(requests, r.run.RequestID)
		if _, seen := descriptions[r.fingerprint]; seen {
			continue
		}
		c.Fingerprints = append(c.Fingerprints, r.fingerprint)
		descriptions[r.fingerprint] = r.describe()
	}
	event.Log(i.guard.log, event.InstanceEnded, slog.String("instance", i.name), slog.String("service", software.Service),
		slog.String("version", software.Version), slog.Int("suspects", len(c.Fingerprints)), slog.Any("requests", requests[:min(len(requests), maxLoggedRequests)]))
	if len(c.Fingerprints) == 0 {
		return
	}
	c.Fingerprints = c.Fingerprints[:min(len(c.Fingerprints), crash.MaxFingerprints)]
	i.guard.suspects.storeDescriptions(c.ID, descriptions)
	i.guard.ApplyCrash(c)
	i.guard.onCrashed(c)
	for _, fp := range c.Fingerprints {
		// The host of the crash with the greatest ID stores a blocked request, and
		// this crash may now be that one. ApplyCrash schedules that only for requests
		// that were not blocked before.
		if a := i.guard.CrashAssessment(fp); !a.BlockedUntil.IsZero() {
			i.guard.scheduleStore(fp)
		}
	}
}

// markNotRun marks a request that is known not to have run and thus cannot have
// caused a crash.
func (i *instance) markNotRun(w *waiter) {
	i.mu.Lock()
	defer i.mu.Unlock()
	w.fingerprint = 0
}

// inFlight is a request that was sent to the instance and has no response yet.
type inFlight struct {
	run         *msg.Run
	fingerprint crash.Fingerprint
	started     time.Time
}

// describe describes the request for operators: method, host and path.
func (r *inFlight) describe() string {
	path, _, _ := strings.Cut(r.run.URI, "?")
	return r.run.Method + " " + r.run.Host + path
}

// inFlight returns the requests running at the instance that have a fingerprint, most
// recently started first.
func (i *instance) inFlight() []inFlight {
	i.mu.Lock()
	defer i.mu.Unlock()
	var out []inFlight
	for _, w := range i.waiters {
		if w.run != nil && w.fingerprint != 0 {
			out = append(out, inFlight{w.run, w.fingerprint, w.started})
		}
	}
	slices.SortFunc(out, func(a, b inFlight) int { return b.started.Compare(a.started) })
	return out
}

// crashID returns the id of an instance's crash: its name and start time, unique in the
// fleet.
func crashID(name string, started time.Time) string {
	return name + "@" + started.UTC().Format("20060102T150405.000")
}
