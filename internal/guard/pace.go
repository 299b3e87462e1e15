package guard

import (
	"log/slog"
	"time"

	"github.com/radishhoist/radishhoist/internal/core/admit"
	"github.com/radishhoist/radishhoist/internal/core/detect"
	"github.com/radishhoist/radishhoist/internal/event"
	"github.com/radishhoist/radishhoist/internal/msg"
)

// result is how a request that ran has ended.
type result struct {
	service time.Duration
	// failed counts against the instance.
	failed bool
	// shed says that the instance refused the request, which did not run.
	shed bool
	// cut says the request was stopped from outside before it ended.
	cut bool
	// excused says that the failure is explained by a call that the instance
	// made and that failed.
	excused bool
	// status is that of the answer, 0 where there was none.
	status int
}

// finish frees the slot and judges the instance by the result.
func (i *instance) finish(now time.Time, id admit.ID, r result) {
	i.mu.Lock()
	pace := i.waiters[id].pace(r.service)
	delete(i.waiters, id)
	service := r.service
	if r.failed || r.shed || r.cut {
		service = 0
	}
	i.deliver(i.queue.Done(now, id, service))
	i.idleAt = now
	if r.failed {
		i.counts.Failed++
	}
	changed := false
	whole := !r.failed && !r.shed && !r.cut && !r.excused
	switch ref := i.reference.At(now); {
	case pace == 0:
	case whole:
		changed = i.detector.AddAnswer(now, ref, pace, false)
	case r.cut && !r.failed:
		changed = i.detector.AddPending(now, ref, pace)
	}
	i.mu.Unlock()
	if whole && pace > 0 {
		i.guard.tellSiblings(i, now, pace)
	}
	if changed {
		i.logHealth()
		i.guard.changed()
	}
}

// paceUnit is the pace of a request that takes as long as its route usually
// does. The detector compares paces in place of service times, because routes
// ask for work of different length; failures are the estimate's matter.
const paceUnit = time.Second

// pace turns a service time into a pace, 0 where the front did not say what to
// expect.
func (w *waiter) pace(service time.Duration) time.Duration {
	if w == nil || w.expect <= 0 {
		return 0
	}
	return time.Duration(float64(service) / float64(w.expect) * float64(paceUnit))
}

// observe takes the sample that rides on a request.
func (i *instance) observe(now time.Time, s msg.Sample) {
	if s.Instance == 0 || s.Instance == i.hash {
		return
	}
	i.observePeer(now, time.Duration(s.LatencyRatio)*paceUnit/msg.Thousandths)
}

func (i *instance) observePeer(now time.Time, pace time.Duration) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.reference.Add(now, pace, false)
}

// tick lapses grants and reports requests that are stuck.
func (i *instance) tick(now time.Time) bool {
	i.mu.Lock()
	i.deliver(i.queue.Tick(now))
	ref := i.reference.At(now)
	changed := false
	for _, w := range i.waiters {
		age := now.Sub(w.started)
		if !w.started.IsZero() && !w.overdue && w.patience > 0 && age > w.patience {
			w.overdue = true
			i.sick.Observe(now, true, i.guard.model)
		}
		if w.started.IsZero() || age < 2*w.reported || age < stuckAge {
			continue
		}
		w.reported = age
		if pace := w.pace(age); pace > 0 && i.detector.AddPending(now, ref, pace) {
			changed = true
		}
	}
	i.mu.Unlock()
	if changed {
		i.logHealth()
	}
	return changed
}

// stuckAge is the least age at which a running request is looked at.
const stuckAge = 20 * time.Millisecond

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
