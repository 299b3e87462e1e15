package detect

import (
	"math"
	"slices"
	"time"
)

const (
	// referenceSize is the number of samples a Reference holds.
	referenceSize = 48
	// maxSampleAge is the maximum age of a sample.
	maxSampleAge = 15 * time.Second
	// recentSize is the number of newest samples that are also summarized separately, to
	// detect a sudden change of the whole service before it shows in all samples.
	recentSize = 7
	// minSamples is the minimum number of samples for any evidence to be counted.
	minSamples = 8
	// minSpread is the minimum spread of log service times, in nats.
	minSpread = 0.25
	// madScale converts a median absolute deviation into a standard deviation.
	madScale = 1.4826
)

// sample is one response of a peer instance.
type sample struct {
	at      time.Time
	logTime float64
	failed  bool
}

// Reference summarizes the recent responses of the service's other instances by robust
// estimates of the centre and spread of the log service time, and by the failure rate.
type Reference struct {
	samples [referenceSize]sample
	next    int
	count   int

	dirty      bool
	computedAt time.Time
	summary    Summary
}

// Summary holds the statistics of a Reference at one point in time.
type Summary struct {
	// Count is the number of samples not older than maxSampleAge.
	Count int
	// Median and Spread are statistics of the natural logarithm of the service time in
	// seconds, over the responses in Count that did not fail. Median is instead the median
	// of the recentSize newest samples if Count includes that many, fewer than half of
	// them failed, and their median is greater.
	Median, Spread float64
	// Failures is the share of failed responses among the samples in Count, or among the
	// recentSize newest if Count includes that many and their share is greater.
	Failures float64
}

// Add adds one response of a peer instance.
func (r *Reference) Add(now time.Time, service time.Duration, failed bool) {
	r.samples[r.next] = sample{at: now, logTime: logSeconds(service), failed: failed}
	r.next = (r.next + 1) % referenceSize
	r.count = min(r.count+1, referenceSize)
	r.dirty = true
}

// summaryTTL is how long a summary is reused if no sample is added.
const summaryTTL = time.Second

// At returns the summary of the samples not older than maxSampleAge.
func (r *Reference) At(now time.Time) Summary {
	if !r.dirty && now.Sub(r.computedAt) < summaryTTL {
		return r.summary
	}
	r.summary = r.summarizeNewest(now, referenceSize)
	// After a sudden slowdown or failure of the whole service, the older samples still
	// reflect the time before it. The newest ones prevent the change from counting as
	// evidence against single instances.
	if recent := r.summarizeNewest(now, recentSize); recent.Count == recentSize {
		r.summary.Failures = max(r.summary.Failures, recent.Failures)
		if recent.Failures < 0.5 {
			r.summary.Median = max(r.summary.Median, recent.Median)
		}
	}
	r.dirty, r.computedAt = false, now
	return r.summary
}

// summarizeNewest summarizes the k newest samples, except those older than
// maxSampleAge.
func (r *Reference) summarizeNewest(now time.Time, k int) Summary {
	var logTimes [referenceSize]float64
	n, succeeded, failed := 0, 0, 0
	for i := 1; i <= min(k, r.count); i++ {
		s := r.samples[(r.next-i+referenceSize)%referenceSize]
		if now.Sub(s.at) > maxSampleAge {
			break
		}
		n++
		if s.failed {
			failed++
			continue
		}
		logTimes[succeeded] = s.logTime
		succeeded++
	}
	out := Summary{Count: n}
	out.Median, out.Spread = medianAndSpread(logTimes[:succeeded])
	if n > 0 {
		out.Failures = float64(failed) / float64(n)
	}
	return out
}

// medianAndSpread returns the median and the scaled median absolute deviation. It
// modifies its argument.
func medianAndSpread(values []float64) (median, spread float64) {
	if len(values) == 0 {
		return 0, minSpread
	}
	slices.Sort(values)
	median = medianOf(values)
	for i, v := range values {
		values[i] = math.Abs(v - median)
	}
	slices.Sort(values)
	return median, max(madScale*medianOf(values), minSpread)
}

// medianOf returns the median of sorted values.
func medianOf(sorted []float64) float64 {
	n := len(sorted)
	if n%2 == 1 {
		return sorted[n/2]
	}
	return (sorted[n/2-1] + sorted[n/2]) / 2
}
