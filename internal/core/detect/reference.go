package detect

import (
	"math"
	"slices"
	"time"
)

const (
	// referenceSize bounds the samples a Reference holds.
	referenceSize = 48
	// referenceAge is how long a sample speaks for the present.
	referenceAge = 15 * time.Second
	// recentSize is how many of the newest samples show a sudden change of the
	// whole service, which the older ones still hide.
	recentSize = 7
	// minReference is the least number of samples that can convict.
	minReference = 8
	// minSpread is the least spread of log service times, in nats.
	minSpread = 0.25
	// madScale turns a median absolute deviation into a standard deviation.
	madScale = 1.4826
)

// sample is one answer of some peer instance.
type sample struct {
	at     time.Time
	log    float64
	failed bool
}

// Reference is what the service's other instances do at present: robust
// centre and spread of the log service time, and the failure rate.
type Reference struct {
	samples [referenceSize]sample
	next    int
	count   int

	dirty   bool
	asOf    time.Time
	summary Summary
}

// Summary is a Reference at one moment.
type Summary struct {
	// Count is the number of samples that are young enough.
	Count int
	// Median and Spread describe ln of the service time in seconds. Median is
	// the greater one of all samples and of the newest few.
	Median, Spread float64
	// Failures is the share of failed answers, the greater one likewise.
	Failures float64
}

// Add takes one answer of another instance of the service.
func (r *Reference) Add(now time.Time, service time.Duration, failed bool) {
	r.samples[r.next] = sample{at: now, log: logSeconds(service), failed: failed}
	r.next = (r.next + 1) % referenceSize
	r.count = min(r.count+1, referenceSize)
	r.dirty = true
}

// summaryLife is how long a summary is reused while nothing is added.
const summaryLife = time.Second

// At summarizes the samples that are young enough.
func (r *Reference) At(now time.Time) Summary {
	if !r.dirty && now.Sub(r.asOf) < summaryLife {
		return r.summary
	}
	r.summary = r.newest(now, referenceSize)
	// A slowdown or failure of the whole service is no evidence against
	// anyone while the older samples still speak of the time before.
	if recent := r.newest(now, recentSize); recent.Count == recentSize {
		r.summary.Failures = max(r.summary.Failures, recent.Failures)
		if recent.Failures < 0.5 {
			r.summary.Median = max(r.summary.Median, recent.Median)
		}
	}
	r.dirty, r.asOf = false, now
	return r.summary
}

// newest summarizes up to k of the newest samples that are young enough.
func (r *Reference) newest(now time.Time, k int) Summary {
	var logs [referenceSize]float64
	n, whole, failed := 0, 0, 0
	for i := 1; i <= min(k, r.count); i++ {
		s := r.samples[(r.next-i+referenceSize)%referenceSize]
		if now.Sub(s.at) > referenceAge {
			break
		}
		n++
		if s.failed {
			failed++
			continue
		}
		logs[whole] = s.log
		whole++
	}
	out := Summary{Count: n}
	out.Median, out.Spread = robust(logs[:whole])
	if n > 0 {
		out.Failures = float64(failed) / float64(n)
	}
	return out
}

// robust gives the median and the scaled median absolute deviation. It
// reorders its argument.
func robust(values []float64) (median, spread float64) {
	if len(values) == 0 {
		return 0, minSpread
	}
	slices.Sort(values)
	median = middle(values)
	for i, v := range values {
		values[i] = math.Abs(v - median)
	}
	slices.Sort(values)
	return median, max(madScale*middle(values), minSpread)
}

func middle(sorted []float64) float64 {
	n := len(sorted)
	if n%2 == 1 {
		return sorted[n/2]
	}
	return (sorted[n/2-1] + sorted[n/2]) / 2
}
