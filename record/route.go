package record

import (
	"strings"
	"time"
)

// Route directs matching requests to a service.
type Route struct {
	// Host is the request's host name without port; empty matches every host name.
	Host string `json:"host,omitempty"`
	// PathPrefix matches whole segments of the undecoded request path; the longest
	// match wins. A prefix that ends in a slash does not match the path without
	// that slash.
	PathPrefix string `json:"pathPrefix"`
	// Methods limits the route to these methods; empty matches every method.
	Methods []string `json:"methods,omitempty"`
	// Service is the name of the Service record; empty if Split is used.
	Service string `json:"service,omitempty"`
	// Split divides the requests among several services by weight. A request that its
	// service cannot serve is rejected, not sent to another.
	Split []WeightedService `json:"split,omitempty"`
	// Idempotent is "yes", "no", or empty to decide by the method.
	Idempotent string `json:"idempotent,omitempty"`
	// TimeoutMS is the time limit for a request from its arrival, in milliseconds;
	// 0 means DefaultTimeoutMS. A caller may ask for a shorter limit, never a longer
	// one.
	TimeoutMS int `json:"timeoutMS,omitempty"`
	// ObjectiveMS is the latency objective, in milliseconds: the time within which a
	// response should arrive; 0 means the timeout.
	ObjectiveMS int `json:"objectiveMS,omitempty"`
	// MaxAttempts is the maximum number of instances that one request is sent to;
	// 0 means DefaultMaxAttempts.
	MaxAttempts int `json:"maxAttempts,omitempty"`
	// Priority orders queued requests: 0 to 3, higher first. The priority of the
	// caller's team overrides it.
	Priority int `json:"priority,omitempty"`
	// Open admits callers without a team key where keys are otherwise required.
	Open bool `json:"open,omitempty"`
}

// WeightedService is one service's share of a route.
type WeightedService struct {
	// Service is the name of the Service record.
	Service string `json:"service"`
	// Weight is the share of requests, relative to the sum of the route's weights;
	// at 0 the service gets none.
	Weight int `json:"weight"`
}

// Defaults and limits of Route fields.
const (
	DefaultTimeoutMS = 10000
	maxTimeoutMS     = 600000
	// MaxPriority is the highest priority of a route.
	MaxPriority  = 3
	maxMethods   = 16
	maxPathBytes = 2048
	// DefaultMaxAttempts is the default of Route.MaxAttempts.
	DefaultMaxAttempts = 3
	maxAttemptsLimit   = 16
	maxSplitServices   = 64
	maxWeight          = 1000000
)

func (r *Route) validate(f *fieldErrors) {
	if !strings.HasPrefix(r.PathPrefix, "/") || len(r.PathPrefix) > maxPathBytes {
		f.add("pathPrefix", "is "+quote(r.PathPrefix), `write a path that starts with "/", for example "/plans"`)
	}
	if strings.Contains(r.Host, ":") || strings.Contains(r.Host, "/") {
		f.add("host", "is "+quote(r.Host), "write the host name alone, without port or path")
	}
	r.validateServices(f)
	if r.Idempotent != "" && r.Idempotent != "yes" && r.Idempotent != "no" {
		f.add("idempotent", "is "+quote(r.Idempotent), `write "yes" or "no", or leave it out to decide by the method`)
	}
	if len(r.Methods) > maxMethods {
		f.add("methods", "has too many entries", "write at most 16, or none to match every method")
	}
	for _, m := range r.Methods {
		if m == "" || m != strings.ToUpper(m) {
			f.add("methods", "contains "+quote(m), `write HTTP methods in capitals, for example ["GET"]`)
		}
	}
	f.checkRange("timeoutMS", r.TimeoutMS, 0, maxTimeoutMS)
	f.checkRange("objectiveMS", r.ObjectiveMS, 0, maxTimeoutMS)
	f.checkRange("maxAttempts", r.MaxAttempts, 0, maxAttemptsLimit)
	f.checkRange("priority", r.Priority, 0, MaxPriority)
}

// validateServices checks that the route has either a service or a valid split.
func (r *Route) validateServices(f *fieldErrors) {
	switch {
	case r.Service == "" && len(r.Split) == 0:
		f.add("service", "is missing", "write the name of a Service record, or a split")
	case r.Service != "" && len(r.Split) > 0:
		f.add("split", "is set together with service", "write either service or split")
	case len(r.Split) > maxSplitServices:
		f.add("split", "has too many services", "write at most 64")
	}
	sum := 0
	for _, s := range r.Split {
		if s.Service == "" {
			f.add("split.service", "is missing", "write the name of a Service record")
		}
		f.checkRange("split.weight", s.Weight, 0, maxWeight)
		sum += s.Weight
	}
	if len(r.Split) > 0 && sum == 0 {
		f.add("split.weight", "is 0 for every service", "write a weight above 0 for at least one service")
	}
}

// WeightedServices returns the services that the route sends requests to, with their weights.
func (r *Route) WeightedServices() []WeightedService {
	if len(r.Split) > 0 {
		return r.Split
	}
	return []WeightedService{{Service: r.Service, Weight: 1}}
}

// Attempts returns the maximum number of instances that one request is sent to.
func (r *Route) Attempts() int { return orDefault(r.MaxAttempts, DefaultMaxAttempts) }

// Objective returns the latency objective, or the timeout if the route has none.
func (r *Route) Objective() time.Duration {
	if r.ObjectiveMS == 0 {
		return r.Timeout()
	}
	return time.Duration(r.ObjectiveMS) * time.Millisecond
}

// Timeout returns the time limit for a request from its arrival.
func (r *Route) Timeout() time.Duration {
	return time.Duration(orDefault(r.TimeoutMS, DefaultTimeoutMS)) * time.Millisecond
}

// IsIdempotent reports whether a request with the method is idempotent: by the
// route's Idempotent field if set, else by RFC 9110, section 9.2.2.
func (r *Route) IsIdempotent(method string) bool {
	switch r.Idempotent {
	case "yes":
		return true
	case "no":
		return false
	}
	switch method {
	case "GET", "HEAD", "OPTIONS", "TRACE", "PUT", "DELETE":
		return true
	default:
		return false
	}
}

// Stop is a planned drain of a host, or of one instance on it.
type Stop struct {
	// Host is the name of the host to drain.
	Host string `json:"host"`
	// Instance is the name of the instance to drain; empty means all instances on the
	// host.
	Instance string `json:"instance,omitempty"`
	// Reason is the reason for the drain, which is shown to operators.
	Reason string `json:"reason"`
}

func (s *Stop) validate(f *fieldErrors) {
	if s.Host == "" {
		f.add("host", "is missing", "write the name of the host to drain, as `radishhoist status` shows it")
	}
	if s.Reason == "" {
		f.add("reason", "is missing", "write why; `radishhoist status` shows it to operators")
	}
}
