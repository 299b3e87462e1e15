package front

import (
	"strings"

	"github.com/VictoriaMetrics/metrics"

	"github.com/radishhoist/radishhoist/verdict"
)

// counters are the front's metrics. They are in a separate set so that several fronts can
// run in one process.
type counters struct {
	set             *metrics.Set
	requests        *metrics.Counter
	answered        *metrics.Counter
	retries         *metrics.Counter
	hedges          *metrics.Counter
	aborted         *metrics.Counter
	budgetExhausted *metrics.Counter
	trials          *metrics.Counter
	retriesNotAsked *metrics.Counter
	pipelined       *metrics.Counter
	// unansweredQueries counts the load queries without a reply in time for their choice, and
	// lateReplies the replies of hosts in this data centre that arrived after it.
	unansweredQueries, lateReplies *metrics.Counter
	duration                       *metrics.Histogram
}

func newCounters() counters {
	set := metrics.NewSet()
	return counters{
		set:               set,
		requests:          set.NewCounter("radishhoist_requests_total"),
		answered:          set.NewCounter("radishhoist_answered_total"),
		retries:           set.NewCounter("radishhoist_retries_total"),
		hedges:            set.NewCounter("radishhoist_hedges_total"),
		aborted:           set.NewCounter("radishhoist_aborted_total"),
		budgetExhausted:   set.NewCounter("radishhoist_repeats_unpaid_total"),
		trials:            set.NewCounter("radishhoist_trials_total"),
		retriesNotAsked:   set.NewCounter("radishhoist_retries_not_asked_total"),
		pipelined:         set.NewCounter("radishhoist_pipelined_requests_total"),
		unansweredQueries: set.NewCounter("radishhoist_load_queries_unanswered_total"),
		lateReplies:       set.NewCounter("radishhoist_load_replies_late_total"),
		duration:          set.NewHistogram("radishhoist_duration_seconds"),
	}
}

func (c *counters) countFailure(e *verdict.Error) {
	c.set.GetOrCreateCounter(`radishhoist_failed_total{reason="` + string(e.Reason) + `",verdict="` + e.Verdict.String() + `"}`).Inc()
}

const shedShareMetric = `radishhoist_service_shed_share{service="`

// addShedShare adds the gauge of a service's share of refused requests, unless it exists.
func (c *counters) addShedShare(service string, share func() float64) {
	c.set.GetOrCreateGauge(shedShareMetric+service+`"}`, share)
}

// removeShedShare removes the gauge of a service that no longer exists.
func (c *counters) removeShedShare(service string) {
	c.set.UnregisterMetric(shedShareMetric + service + `"}`)
}

// shedShareServices returns the services that have a gauge.
func (c *counters) shedShareServices() []string {
	var out []string
	for _, name := range c.set.ListMetricNames() {
		if service, ok := strings.CutPrefix(name, shedShareMetric); ok {
			out = append(out, strings.TrimSuffix(service, `"}`))
		}
	}
	return out
}

// Metrics returns the front's metrics for the admin endpoint.
func (f *Front) Metrics() *metrics.Set { return f.counts.set }
