package guard

import (
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/radishhoist/radishhoist/verdict"
)

// counters are the guard's metrics, in a set of their own so that several
// guards can live in one process.
type counters struct {
	set     *metrics.Set
	queue   *metrics.Histogram
	service *metrics.Histogram
	// ends counts the instances that have ended, seen by their port.
	ends *metrics.Counter
}

func newCounters() counters {
	set := metrics.NewSet()
	return counters{
		set:     set,
		queue:   set.NewHistogram("radishhoist_queue_seconds"),
		service: set.NewHistogram("radishhoist_service_seconds"),
		ends:    set.NewCounter("radishhoist_instances_ended_total"),
	}
}

// refused counts a request that got no slot.
func (c *counters) refused(r verdict.Reason) {
	c.set.GetOrCreateCounter(`radishhoist_instance_refused_total{reason="` + string(r) + `"}`).Inc()
}

// ended counts a request that was sent to an instance.
func (c *counters) ended(queued time.Duration, r result) {
	c.queue.Update(queued.Seconds())
	outcome := "whole"
	switch {
	case r.excused:
		outcome = "excused"
	case r.failed:
		outcome = "failed"
	case r.shed:
		outcome = "shed"
	case r.cut:
		outcome = "cut"
	default:
		c.service.Update(r.service.Seconds())
	}
	c.set.GetOrCreateCounter(`radishhoist_instance_ended_total{outcome="` + outcome + `"}`).Inc()
}

// Metrics gives the guard's metrics for the admin endpoint.
func (g *Guard) Metrics() *metrics.Set { return g.counts.set }
