package front

import (
	"log/slog"
	"sync"
	"time"

	"github.com/radishhoist/radishhoist/internal/event"
)

// paths tracks the network paths to other hosts, for all instances of a host together. A
// path's round trip is the time to the response less the service and queue times that the
// guard reports. A host from which no frame arrives is unreachable or down.
type paths struct {
	log *slog.Logger
	mu  sync.Mutex
	// byHost has an entry for each host to which this front has sent requests.
	byHost map[string]*path
}

type path struct {
	roundTrip time.Duration
	// misses counts consecutive attempts without any frame from the host.
	misses int
	// excluded says that the path is not used. From retryAt on, one request at a time may
	// try it.
	excluded bool
	retryAt  time.Time
	backoff  time.Duration
}

const (
	// pathBackoffMin and pathBackoffMax bound how long a path is excluded.
	pathBackoffMin = time.Second
	pathBackoffMax = 30 * time.Second
	// roundTripWeight is the weight of a new sample in the mean round trip.
	roundTripWeight = 0.1
)

func newPaths(log *slog.Logger) *paths {
	return &paths{log: log, byHost: make(map[string]*path)}
}

func (p *paths) getOrCreate(host string) *path {
	e, ok := p.byHost[host]
	if !ok {
		e = &path{}
		p.byHost[host] = e
	}
	return e
}

// reachable reports whether the path is not excluded.
func (p *paths) reachable(host string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	e, ok := p.byHost[host]
	return !ok || !e.excluded
}

// tryAcquireTrial reports whether one request may try an excluded path now. If so, it
// postpones the next trial.
func (p *paths) tryAcquireTrial(now time.Time, host string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	e, ok := p.byHost[host]
	if !ok || !e.excluded || now.Before(e.retryAt) {
		return false
	}
	e.retryAt = now.Add(e.backoff)
	return true
}

func (p *paths) roundTrip(host string) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if e, ok := p.byHost[host]; ok {
		return e.roundTrip
	}
	return 0
}

// recordReply records that a frame arrived from the host and, if sample is positive, a
// round-trip time.
func (p *paths) recordReply(host string, sample time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	e := p.getOrCreate(host)
	if e.excluded {
		event.Log(p.log, event.PathRestored, slog.String("peer", host))
	}
	e.misses, e.excluded, e.backoff = 0, false, 0
	if sample <= 0 {
		return
	}
	if e.roundTrip == 0 {
		e.roundTrip = sample
	}
	e.roundTrip += time.Duration(roundTripWeight * float64(sample-e.roundTrip))
}

// recordMiss records an attempt after which no frame arrived from the host, not even the
// reply to a ping. The path is excluded at once, because trying it again later costs only
// one request.
func (p *paths) recordMiss(now time.Time, host string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	e := p.getOrCreate(host)
	e.misses++
	if e.excluded && now.Before(e.retryAt.Add(-e.backoff/2)) {
		return // within half the backoff, so the attempt probably began before the exclusion
	}
	e.backoff = min(max(2*e.backoff, pathBackoffMin), pathBackoffMax)
	e.retryAt = now.Add(e.backoff)
	if !e.excluded {
		event.Log(p.log, event.PathExcluded, slog.String("peer", host), slog.Int("unanswered", e.misses))
	}
	e.excluded = true
}

// PathState is one path in the state dump.
type PathState struct {
	Host        string  `json:"host"`
	RoundTripMS float64 `json:"roundTripMS"`
	Misses      int     `json:"misses"`
	Excluded    bool    `json:"out"`
}

func (p *paths) state() []PathState {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := []PathState{}
	for host, e := range p.byHost {
		out = append(out, PathState{Host: host, RoundTripMS: float64(e.roundTrip.Microseconds()) / 1000, Misses: e.misses, Excluded: e.excluded})
	}
	return out
}
