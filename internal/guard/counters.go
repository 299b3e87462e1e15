package guard

import (
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/radishhoist/radishhoist/verdict"
)

// counters holds the guard's metrics, in a set of its own so that several guards can
// run in one process.
type counters struct {
	set         *metrics.Set
	queueTime   *metrics.Histogram
	serviceTime *metrics.Histogram
	// terminated counts the instances whose port was found to refuse connections.
	terminated *metrics.Counter
	// responsePanics counts the requests that failed because the handling of their response
	// panicked.
	responsePanics *metrics.Counter
	// stalledCallers counts the requests that were aborted because their caller sent no more of
	// the body, or read no more of the response, while others waited for the slot.
	stalledCallers *metrics.Counter
	// shareReportsIn counts the share reports of other guards that were accepted, and
	// shareReportsOut those sent.
	shareReportsIn, shareReportsOut *metrics.Counter
}

func newCounters() counters {
	set := metrics.NewSet()
	return counters{
		set:         set,
		queueTime:   set.NewHistogram("radishhoist_queue_seconds"),
		serviceTime: set.NewHistogram("radishhoist_service_seconds"),
		terminated:  set.NewCounter("radishhoist_instances_ended_total"),

		responsePanics: set.NewCounter("radishhoist_response_panics_total"),
		stalledCallers: set.NewCounter("radishhoist_callers_stalled_total"),

		shareReportsIn:  set.NewCounter(`radishhoist_share_reports_total{direction="in"}`),
		shareReportsOut: set.NewCounter(`radishhoist_share_reports_total{direction="out"}`),
	}
}

// refused counts a request that got no slot.
func (c *counters) refused(r verdict.Reason) {
	c.set.GetOrCreateCounter(`radishhoist_instance_refused_total{reason="` + string(r) + `"}`).Inc()
}

// ended counts a request that was sent to an instance.
func (c *counters) ended(queued time.Duration, r result) {
	c.queueTime.Update(queued.Seconds())
	outcome := "whole"
	switch {
	case r.excused:
		outcome = "excused"
	case r.failed:
		outcome = "failed"
	case r.shed:
		outcome = "shed"
	case r.aborted:
		outcome = "cut"
	default:
		c.serviceTime.Update(r.serviceTime.Seconds())
	}
	c.set.GetOrCreateCounter(`radishhoist_instance_ended_total{outcome="` + outcome + `"}`).Inc()
}

// shed counts a request that the instance refused, by whether it had a free slot.
func (c *counters) shed(free bool) {
	slot := "none"
	if free {
		slot = "free"
	}
	c.set.GetOrCreateCounter(`radishhoist_instance_shed_total{slot="` + slot + `"}`).Inc()
}

// Metrics returns the guard's metrics for the admin endpoint.
func (g *Guard) Metrics() *metrics.Set { return g.counts.set }
