package retry

import (
	"math"
	"time"
)

const (
	// routeCountsHalfLife is the half-life of the request counts of a route.
	routeCountsHalfLife = 30 * time.Second
	// minCallerShare is the minimum share of requests from idle hosts for a route to be
	// classified as used by callers. In deployments, a fifth of the callers' requests
	// begin on idle hosts even under the highest load, but hardly any calls do, because a
	// call is made by a running request.
	minCallerShare = 0.05
	// minCallerRequests is the minimum decayed count of requests from idle hosts for a
	// route to be classified as used by callers.
	minCallerRequests = 1.5
	// maxCallIdleShare is the maximum share of requests from idle hosts for a route to be
	// classified as used by calls only, and minCallRequests the minimum decayed count of
	// all its requests. The share is not 0, because a call made by a run that has just been
	// aborted may begin on an idle host.
	maxCallIdleShare = 0.01
	minCallRequests  = 40
	// minLikelyCallRequests is the minimum decayed count of all requests for a route that is
	// likely used by calls only. With a fifth from idle hosts, a caller's route has none
	// among ten requests in one of nine cases.
	minLikelyCallRequests = 10
	// maxRoutes is the maximum number of routes tracked.
	maxRoutes = 4096
)

// RouteClassifier distinguishes routes used by callers from routes used only for calls. A
// call is a request made by an instance while it runs another request. RouteClassifier is
// not safe for concurrent use.
type RouteClassifier struct {
	countsByRoute map[uint32]*routeCounts
}

// routeCounts holds the exponentially decaying counts of the requests of one route: those
// that began on idle hosts, and all.
type routeCounts struct {
	fromIdle, total float64
	// firstAt is the time of the first request, at that of the latest one.
	firstAt, at time.Time
}

// NewRouteClassifier returns a RouteClassifier without counts.
func NewRouteClassifier() *RouteClassifier {
	return &RouteClassifier{countsByRoute: make(map[uint32]*routeCounts)}
}

// Observe records one request of a route. idle states whether no request was running
// on the host where it began.
func (rc *RouteClassifier) Observe(now time.Time, route uint32, idle bool) {
	c, ok := rc.countsByRoute[route]
	if !ok {
		if len(rc.countsByRoute) >= maxRoutes {
			rc.countsByRoute = make(map[uint32]*routeCounts)
		}
		c = &routeCounts{firstAt: now, at: now}
		rc.countsByRoute[route] = c
	}
	decay := math.Exp2(-max(now.Sub(c.at), 0).Seconds() / routeCountsHalfLife.Seconds())
	c.fromIdle, c.total, c.at = c.fromIdle*decay, c.total*decay+1, now
	if idle {
		c.fromIdle++
	}
}

// IsCallerRoute reports whether the route is known to be used by callers.
func (rc *RouteClassifier) IsCallerRoute(route uint32) bool {
	c, ok := rc.countsByRoute[route]
	return ok && c.fromIdle >= minCallerRequests && c.fromIdle >= minCallerShare*c.total
}

// IsCallRoute reports whether the route is known to be used only for calls. Both
// IsCallerRoute and IsCallRoute may be false, for example if hosts are rarely idle.
func (rc *RouteClassifier) IsCallRoute(route uint32) bool {
	c, ok := rc.countsByRoute[route]
	return ok && c.total >= minCallRequests && c.fromIdle <= maxCallIdleShare*c.total
}

// IsUnknown reports whether too few requests of the route have been observed yet to tell
// whether callers or calls use it. A route with few requests does not stay unknown: its
// requests would never add to the allowance.
func (rc *RouteClassifier) IsUnknown(route uint32) bool {
	c, ok := rc.countsByRoute[route]
	return !ok || c.total < minCallRequests && c.at.Sub(c.firstAt) < routeCountsHalfLife && !rc.IsCallerRoute(route)
}

// IsLikelyCallRoute reports whether the route is known to be used only for calls, or is not
// known yet and looks like it.
func (rc *RouteClassifier) IsLikelyCallRoute(route uint32) bool {
	c, ok := rc.countsByRoute[route]
	return ok && c.total >= minLikelyCallRequests && c.fromIdle <= maxCallIdleShare*c.total
}
