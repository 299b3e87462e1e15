package front

import (
	"log/slog"
	"sync"
	"time"

	"github.com/radishhoist/radishhoist/internal/event"
)

// paths judges the ways to other hosts, for all instances of a host at once:
// an answer's time less the service and queue time that the guard reports is
// the path's, and a host from which no frame comes is cut off or gone.
type paths struct {
	log *slog.Logger
	mu  sync.Mutex
	// byHost has an entry for each host this front has sent to.
	byHost map[string]*path
}

type path struct {
	roundTrip time.Duration
	// misses counts attempts in a row without any frame from the host.
	misses int
	// out says that the path is left out; from retryAt on one request at a
	// time tries it.
	out     bool
	retryAt time.Time
	backoff time.Duration
}

const (
	// pathBackoffMin and pathBackoffMax bound the time it is left out.
	pathBackoffMin = time.Second
	pathBackoffMax = 30 * time.Second
	// pathWeight is the weight of a new sample of the round trip.
	pathWeight = 0.1
)

func newPaths(log *slog.Logger) *paths {
	return &paths{log: log, byHost: make(map[string]*path)}
}

func (p *paths) at(host string) *path {
	e, ok := p.byHost[host]
	if !ok {
		e = &path{}
		p.byHost[host] = e
	}
	return e
}

// usable says that the path is not left out.
func (p *paths) usable(host string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	e, ok := p.byHost[host]
	return !ok || !e.out
}

// trial says that a path that is left out may be tried by one request now,
// and puts off the next one.
func (p *paths) trial(now time.Time, host string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	e, ok := p.byHost[host]
	if !ok || !e.out || now.Before(e.retryAt) {
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

// heard takes a sign of life and, where sample is positive, a round trip.
func (p *paths) heard(host string, sample time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	e := p.at(host)
	if e.out {
		event.Log(p.log, event.PathBack, slog.String("peer", host))
	}
	e.misses, e.out, e.backoff = 0, false, 0
	if sample <= 0 {
		return
	}
	if e.roundTrip == 0 {
		e.roundTrip = sample
	}
	e.roundTrip += time.Duration(pathWeight * float64(sample-e.roundTrip))
}

// missed takes an attempt that no frame from the host followed, not even the
// answer to a ping: the path is left out at once, because trying it again
// later costs one request.
func (p *paths) missed(now time.Time, host string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	e := p.at(host)
	e.misses++
	if e.out && now.Before(e.retryAt.Add(-e.backoff/2)) {
		return // an attempt from before the path was left out
	}
	e.backoff = min(max(2*e.backoff, pathBackoffMin), pathBackoffMax)
	e.retryAt = now.Add(e.backoff)
	if !e.out {
		event.Log(p.log, event.PathLeftOut, slog.String("peer", host), slog.Int("unanswered", e.misses))
	}
	e.out = true
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
		out = append(out, PathState{Host: host, RoundTripMS: float64(e.roundTrip.Microseconds()) / 1000, Misses: e.misses, Excluded: e.out})
	}
	return out
}
