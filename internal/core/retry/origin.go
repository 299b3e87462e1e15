package retry

import (
	"math"
	"time"
)

const (
	// originHalf is the time in which half of what was seen of a route is
	// forgotten.
	originHalf = 30 * time.Second
	// callersShare is the share of a route's requests that begin on hosts where
	// nothing runs from which on they are callers' own: at the offices a fifth
	// of callers' requests do, even under the heaviest load, and hardly any
	// call, which needs a run that makes it.
	callersShare = 0.05
	// callersLeast is how many such requests must have been seen.
	callersLeast = 1.5
	// callsShare is the share up to which a route's requests are calls, and callsLeast
	// how many must have been seen: of a run that has just been broken off, a call may
	// begin where nothing runs.
	callsShare = 0.01
	callsLeast = 40
	// maxOrigins bounds the routes that are remembered.
	maxOrigins = 4096
)

// Origins tells the routes that callers use from those that only instances do,
// for the calls that they make while they run a request. It is not safe for
// concurrent use.
type Origins struct {
	byRoute map[uint32]*origin
}

// origin is what was seen of one route's requests, fading with time.
type origin struct {
	idle, all float64
	at        time.Time
}

// NewOrigins knows no route.
func NewOrigins() *Origins { return &Origins{byRoute: make(map[uint32]*origin)} }

// Observe takes one request of a route. idle says that nothing ran on the host where
// it began.
func (o *Origins) Observe(now time.Time, route uint32, idle bool) {
	e, ok := o.byRoute[route]
	if !ok {
		if len(o.byRoute) >= maxOrigins {
			o.byRoute = make(map[uint32]*origin)
		}
		e = &origin{at: now}
		o.byRoute[route] = e
	}
	fade := math.Exp2(-max(now.Sub(e.at), 0).Seconds() / originHalf.Seconds())
	e.idle, e.all, e.at = e.idle*fade, e.all*fade+1, now
	if idle {
		e.idle++
	}
}

// IsCallerRoute reports whether the route's requests are known to be callers' own.
func (o *Origins) IsCallerRoute(route uint32) bool {
	e, ok := o.byRoute[route]
	return ok && e.idle >= callersLeast && e.idle >= callersShare*e.all
}

// IsCallRoute reports whether the route's requests are known to be calls. Where hosts hardly
// ever idle, neither may be known.
func (o *Origins) IsCallRoute(route uint32) bool {
	e, ok := o.byRoute[route]
	return ok && e.all >= callsLeast && e.idle <= callsShare*e.all
}
