package fleetsim

import (
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/radishhoist/radishhoist/internal/core/header"
)

// RateLimit makes the first instances of a service state a rate limit in their responses for
// a time. An instance that has restarted in the meantime states none.
type RateLimit struct {
	At, Duration time.Duration
	Service      string
	Instances    int
	// PerSecond is the limit in requests per second, from all hosts together.
	PerSecond float64
}

// RateLimitStats are the observations of one instance that stated a rate limit.
type RateLimitStats struct {
	RateLimit
	// Arrivals are the times of the requests, while the limit was stated, from hosts that had
	// passed on a response with it at least informedDelay before.
	Arrivals []time.Duration
}

const (
	// informedDelay is the time after which a host that has passed on a response is expected
	// to heed it.
	informedDelay = 500 * time.Millisecond
	// limitSettleTime is the time from the first statement of a limit to its enforcement.
	limitSettleTime = 3 * time.Second
	// limitWindow is the span over which arrivals are compared with a limit. limitFactor and
	// limitSlack are the tolerance.
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
)

// WorstWindow returns the largest number of arrivals in a window, and how many are allowed.
func (s *RateLimitStats) WorstWindow() (arrivals int, allowed float64) {
	first := 0
	for k, at := range s.Arrivals {
		for s.Arrivals[first] <= at-limitWindow {
			first++
		}
		if at >= s.At+limitSettleTime {
			arrivals = max(arrivals, k-first+1)
		}
	}
	return arrivals, limitFactor*limitWindow.Seconds()*s.PerSecond + limitSlack
}

// origin is where and when a request began.
type origin struct {
	host string
	at   time.Duration
}

// informedKey identifies a host that has passed on responses of an instance.
type informedKey struct{ host, instance string }

// beginRequest records where a request begins.
func (f *fleet) beginRequest(h *host, id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.origins[id] = origin{h.name, f.now()}
}

// recordPassedOn records what an instance stated in a response that a host has passed on.
func (f *fleet) recordPassedOn(h *host, response http.Header) {
	key := informedKey{h.name, response.Get(header.Target)}
	f.mu.Lock()
	defer f.mu.Unlock()
	if _, ok := f.informed[key]; !ok && response.Get(header.Default().RateLimit) != "" {
		f.informed[key] = f.now()
	}
	if _, ok := f.informedOfLeaving[key]; !ok && response.Get(header.Default().Leaving) != "" {
		f.informedOfLeaving[key] = f.now()
	}
}

// forgetPassedOn excuses a host that has restarted.
func (f *fleet) forgetPassedOn(h *host) {
	f.mu.Lock()
	defer f.mu.Unlock()
	fromHost := func(key informedKey, _ time.Duration) bool { return key.host == h.name }
	maps.DeleteFunc(f.informed, fromHost)
	maps.DeleteFunc(f.informedOfLeaving, fromHost)
}

// isAmongFirst reports whether the instance is one of the first n of a service.
func (i *instance) isAmongFirst(service string, n int) bool {
	index, err := strconv.Atoi(strings.TrimPrefix(i.name, i.service.Name+"-"))
	return err == nil && i.service.Name == service && index < n
}

// rateLimit returns the limit that the instance states now, and false if it states none.
func (i *instance) rateLimit() (RateLimit, bool) {
	now := i.host.fleet.now()
	if i.currentIncarnation() > 1 {
		return RateLimit{}, false
	}
	k := slices.IndexFunc(i.host.fleet.scenario.RateLimits, func(l RateLimit) bool {
		return i.isAmongFirst(l.Service, l.Instances) && now >= l.At && now < l.At+l.Duration
	})
	if k < 0 {
		return RateLimit{}, false
	}
	return i.host.fleet.scenario.RateLimits[k], true
}

// statedRateLimit returns the header line with the limit, empty if the instance states none.
func (i *instance) statedRateLimit() string {
	l, ok := i.rateLimit()
	if !ok {
		return ""
	}
	return fmt.Sprintf("%s: %g\r\n", header.Default().RateLimit, l.PerSecond)
}

// recordLimitedArrival records an arrival at an instance that states a limit. The caller must
// hold f.mu.
func (f *fleet) recordLimitedArrival(i *instance, id string, now time.Duration) {
	l, ok := i.rateLimit()
	if !ok {
		return
	}
	name := i.currentName()
	stats, ok := f.result.RateLimited[name]
	if !ok {
		stats = &RateLimitStats{RateLimit: l}
		f.result.RateLimited[name] = stats
	}
	informedAt, informed := f.informed[informedKey{f.origins[id].host, name}]
	if informed && now-informedAt >= informedDelay {
		stats.Arrivals = append(stats.Arrivals, now)
	}
}
