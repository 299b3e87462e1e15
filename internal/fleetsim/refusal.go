package fleetsim

import (
	"net/http"
	"time"

	"github.com/radishhoist/radishhoist/internal/core/header"
)

// Refusal makes the first instances of a service refuse a share of their arrivals at random
// for a time, with the header that says that the request did not run.
type Refusal struct {
	At, Duration time.Duration
	Service      string
	Instances    int
	Share        float64
}

// refuses reports whether the instance refuses a request that arrives now.
func (i *instance) refuses() bool {
	now := i.host.fleet.now()
	for _, r := range i.host.fleet.scenario.Refusals {
		if i.isAmongFirst(r.Service, r.Instances) && now >= r.At && now < r.At+r.Duration {
			i.mu.Lock()
			defer i.mu.Unlock()
			return i.requestRNG.Float64() < r.Share
		}
	}
	return false
}

// statedNotRun returns the header line of a refusal, empty for other responses.
func statedNotRun(status int) string {
	if status != http.StatusServiceUnavailable {
		return ""
	}
	return header.Default().NotRun + ": 1\r\n"
}
