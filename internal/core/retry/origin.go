package retry

import (
	"math"
	"time"
)

const (
	// originHalfLife is the half-life of the request counts of a route.
	originHalfLife = 30 * time.Second
	// minCallerShare is the share of requests from idle hosts from which on a route is
	// taken to be used by callers. In deployments, a fifth of the callers' requests
	// begin on idle hosts even under the highest load, but hardly any calls do, since
	// a call needs a run that makes it.
	minCallerShare = 0.05
	// minCallerRequests is the minimum count of requests from idle hosts for a route to be
	// taken to be used by callers.
	minCallerRequests = 1.5
	// maxCallIdleShare is the share of requests from idle hosts up to which a route is
	// taken to be used by calls only, and minCallRequests the minimum count of all requests
	// of such a route. The share is not 0, because a call of a run that has just been aborted
	// may begin on an idle host.
	maxCallIdleShare = 0.01
	minCallRequests  = 40
	// maxOrigins is the maximum number of routes tracked.
	maxOrigins = 4096
)

// Origins distinguishes the routes that callers use from those used only for calls, which
// are requests made by instances while they run a request. It is not safe for concurrent
// use.
type Origins struct {
	byRoute map[uint32]*origin
}

// origin holds the exponentially decaying request counts of one route: those that began
// on idle hosts, and all.
type origin struct {
	fromIdle, total float64
	at              time.Time
}

// NewOrigins returns an Origins without any routes.
func NewOrigins() *Origins { return &Origins{byRoute: make(map[uint32]*origin)} }

// Observe records one request of a route. idle reports whether no request was running
// on the host where it began.
func (o *Origins) Observe(now time.Time, route uint32, idle bool) {
	e, ok := o.byRoute[route]
	if !ok {
		if len(o.byRoute) >= maxOrigins {
			o.byRoute = make(map[uint32]*origin)
		}
		e = &origin{at: now}
		o.byRoute[route] = e
	}
	decay := math.Exp2(-max(now.Sub(e.at), 0).Seconds() / originHalfLife.Seconds())
	e.fromIdle, e.total, e.at = e.fromIdle*decay, e.total*decay+1, now
	if idle {
		e.fromIdle++
	}
}

// IsCallerRoute reports whether the route is known to be used by callers.
func (o *Origins) IsCallerRoute(route uint32) bool {
	e, ok := o.byRoute[route]
	return ok && e.fromIdle >= minCallerRequests && e.fromIdle >= minCallerShare*e.total
}

// IsCallRoute reports whether the route is known to be used by calls only. If hosts are
// hardly ever idle, both IsCallerRoute and IsCallRoute may be false.
func (o *Origins) IsCallRoute(route uint32) bool {
	e, ok := o.byRoute[route]
	return ok && e.total >= minCallRequests && e.fromIdle <= maxCallIdleShare*e.total
}
