package front

import (
	"slices"
	"time"
)

// latency holds the recent service times of one route.
type latency struct {
	// mean is their exponential moving average.
	mean   time.Duration
	recent [latencyWindow]time.Duration
	next   int
	count  int
	// p95 is the 95th percentile of recent, recomputed every latencyRefreshInterval additions.
	p95 time.Duration
}

const (
	// latencyWindow is the number of service times kept for each route.
	latencyWindow = 64
	// latencyRefreshInterval is the number of service times after which p95 is recomputed.
	latencyRefreshInterval = 16
	// hedgeFactor times the 95th percentile is the hedge delay. It keeps hedges to a few
	// per cent of requests when nothing is wrong.
	hedgeFactor = 1.5
	// hedgeDelayMin is the minimum hedge delay.
	hedgeDelayMin = 5 * time.Millisecond
	// latencyMeanWeight is the weight of a new service time in the mean.
	latencyMeanWeight = 0.05
)

func (l *latency) add(d time.Duration) {
	if l.mean == 0 {
		l.mean = d
	}
	l.mean += time.Duration(latencyMeanWeight * float64(d-l.mean))
	l.recent[l.next] = d
	l.next = (l.next + 1) % latencyWindow
	l.count = min(l.count+1, latencyWindow)
	if l.next%latencyRefreshInterval != 0 {
		return
	}
	sorted := slices.Clone(l.recent[:l.count])
	slices.Sort(sorted)
	l.p95 = sorted[len(sorted)*95/100]
}

// hedgeDelay is how long an idempotent attempt may go without a response before a hedge is
// sent to another target. It is half the objective until enough service times are known.
func (l *latency) hedgeDelay(objective time.Duration) time.Duration {
	if l.p95 == 0 {
		return objective / 2
	}
	return max(time.Duration(hedgeFactor*float64(l.p95)), hedgeDelayMin)
}
