package guard

import (
	"log/slog"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/radishhoist/radishhoist/internal/core/admit"
	"github.com/radishhoist/radishhoist/internal/event"
)

// observeRateLimit applies the rate limit that a response of the instance states. A value that
// is no decimal number changes nothing. requestSentAt is when the request was sent: a response
// without a limit lifts an earlier one only if its request was sent after that limit was
// received, because responses may overtake each other.
func (i *instance) observeRateLimit(now, requestSentAt time.Time, h http.Header) {
	limit, stated, valid := parseRateLimit(h, i.guard.cfg.Dialect.RateLimit)
	i.mu.Lock()
	defer i.mu.Unlock()
	if !valid || !stated && !requestSentAt.After(i.rateLimitAt) {
		return
	}
	if stated {
		i.rateLimitAt = now
	}
	if i.rateLimitKnown && limit == i.rateLimit {
		return
	}
	if limit != i.rateLimit {
		event.Log(i.guard.log, event.InstanceLimitChanged, slog.String("instance", i.name), slog.String("service", i.service),
			slog.Float64("limit", limit), slog.Float64("was", i.rateLimit))
	}
	i.rateLimit, i.rateLimitKnown = limit, true
	i.deliver(i.queue.SetRateLimit(now, queueRateLimit(limit)))
}

// unknownRateLimit applies until the first response of an instance that has not just started:
// it may have stated a limit to an earlier process on this host.
var unknownRateLimit = admit.RateLimit{PerSecond: 0.5, Burst: 3, Provisional: true}

// rateLimitBurst is the time whose requests may be sent at once to an instance that states a
// rate limit.
const rateLimitBurst = time.Second

// queueRateLimit returns the limit of the queue for a stated one, 0 if none is stated.
func queueRateLimit(perSecond float64) admit.RateLimit {
	if perSecond == 0 {
		return admit.RateLimit{}
	}
	return admit.RateLimit{PerSecond: perSecond, Burst: max(perSecond*rateLimitBurst.Seconds(), 1)}
}

// minRateLimit is the lowest rate limit that is applied, in requests per second. An instance
// that got no requests could not state that its limit has changed.
const minRateLimit = 0.1

// parseRateLimit returns the rate limit in a header, in requests per second, raised to
// minRateLimit. stated is false
// if there is none. valid is false if it is not a decimal number of at least 0.
func parseRateLimit(h http.Header, name string) (limit float64, stated, valid bool) {
	value := ""
	if name != "" {
		value = h.Get(name)
	}
	if value == "" {
		return 0, false, true
	}
	limit, err := strconv.ParseFloat(value, 64)
	if err != nil || math.IsNaN(limit) || math.IsInf(limit, 0) || limit < 0 {
		return 0, true, false
	}
	return max(limit, minRateLimit), true, true
}
