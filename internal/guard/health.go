package guard

import (
	"log/slog"
	"time"

	"github.com/radishhoist/radishhoist/internal/core/admit"
	"github.com/radishhoist/radishhoist/internal/core/detect"
	"github.com/radishhoist/radishhoist/internal/event"
	"github.com/radishhoist/radishhoist/internal/msg"
)

// result describes how a request that ran has ended.
type result struct {
	serviceTime time.Duration
	// failed reports that the request counts against the instance.
	failed bool
	// shed reports that the instance refused the request, or that the guard ended it
	// before it was sent. It counts neither as a failure nor in the service time.
	shed bool
	// aborted reports that the request was aborted from outside before it ended.
	aborted bool
	// excused reports that the failure is explained by the failure of a call that
	// the instance made.
	excused bool
	// status is the HTTP status of the response, 0 if there was none.
	status int
}

// finish frees the slot and updates the instance's health with the result.
func (i *instance) finish(now time.Time, id admit.ID, r result) {
	i.mu.Lock()
	ratio := i.waiters[id].latencyRatio(r.serviceTime)
	i.endConcurrency(now, i.waiters[id], r)
	delete(i.waiters, id)
	serviceTime := r.serviceTime
	if r.failed || r.shed || r.aborted {
		serviceTime = 0
	}
	i.deliver(i.queue.Done(now, id, serviceTime))
	i.applyConcurrency(now)
	i.lastEnded = now
	if r.failed {
		i.counts.Failed++
	}
	changed := false
	complete := !r.failed && !r.shed && !r.aborted && !r.excused
	switch ref := i.reference.At(now); {
	case ratio == 0:
	case complete:
		changed = i.detector.AddResponse(now, ref, ratio, false)
	case r.aborted && !r.failed:
		changed = i.detector.AddPending(now, ref, ratio)
	}
	i.mu.Unlock()
	if complete && ratio > 0 {
		i.guard.shareLatencyRatio(i, now, ratio)
	}
	if changed {
		i.logHealth()
		i.guard.onChanged()
	}
}

// latencyRatioUnit represents the ratio 1, that of a request that takes as long as its
// front expects at this instance: the mean time of the route times the instance's own
// latency ratio, as measured by that front. The samples that fronts send, by contrast,
// are relative to the mean time of the route alone. The detector compares ratios instead
// of service times, because routes differ in the work per request. Failed requests are not
// passed to the detector; the failure estimate covers them.
const latencyRatioUnit = time.Second

// latencyRatio returns the ratio of a service time to the expected duration, in units
// of latencyRatioUnit; 0 if the front gave no expected duration.
func (w *waiter) latencyRatio(serviceTime time.Duration) time.Duration {
	if w == nil || w.expected <= 0 {
		return 0
	}
	return time.Duration(float64(serviceTime) / float64(w.expected) * float64(latencyRatioUnit))
}

// observe adds the sample sent with a request to the reference.
func (i *instance) observe(now time.Time, s msg.Sample) {
	if s.Instance == 0 || s.Instance == i.hash {
		return
	}
	i.observePeer(now, time.Duration(s.LatencyRatio)*latencyRatioUnit/msg.Thousandths)
}

// observePeer adds the latency ratio of another instance of the service to the reference.
func (i *instance) observePeer(now time.Time, ratio time.Duration) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.reference.Add(now, ratio, false)
}

// tick expires grants, aborts stalled requests, counts overdue requests against the instance and passes the ages of
// running requests to the detector. It reports whether the instance's health has changed.
func (i *instance) tick(now time.Time) bool {
	i.mu.Lock()
	i.deliver(i.queue.Tick(now))
	i.abortStalled(now)
	i.applyConcurrency(now)
	ref := i.reference.At(now)
	changed := false
	for _, w := range i.waiters {
		age := now.Sub(w.started) - w.caller.duration(now)
		if !w.started.IsZero() && !w.overdue && w.overdueAfter > 0 && age > w.overdueAfter {
			w.overdue = true
			i.failureEstimate.Observe(now, true, i.guard.model)
		}
		if w.started.IsZero() || age < 2*w.reportedAge || age < minStuckAge {
			continue
		}
		w.reportedAge = age
		if ratio := w.latencyRatio(age); ratio > 0 && i.detector.AddPending(now, ref, ratio) {
			changed = true
		}
	}
	i.mu.Unlock()
	if changed {
		i.logHealth()
	}
	return changed
}

// minStuckAge is the minimum age at which a running request is passed to the detector.
const minStuckAge = 20 * time.Millisecond

// logHealth logs a change of the detector's verdict.
func (i *instance) logHealth() {
	i.mu.Lock()
	health, evidence := i.detector.Health(), i.detector.Evidence()
	ref := i.reference.At(time.Now())
	i.mu.Unlock()
	e := event.InstanceTrusted
	if health == detect.Suspect {
		e = event.InstanceSuspect
	}
	event.Log(i.guard.log, e, slog.String("instance", i.name), slog.String("service", i.service),
		slog.Float64("evidence", evidence), slog.Float64("peerFailures", ref.Failures), slog.Int("peerSamples", ref.Count))
}
