package record

import (
	"strings"
	"time"
)

// Route leads requests to a service.
type Route struct {
	// Host is the request's host without port; empty matches every host.
	Host string `json:"host,omitempty"`
	// PathPrefix is matched by whole path segments; the longest wins.
	PathPrefix string `json:"pathPrefix"`
	// Methods limits the route; empty matches every method.
	Methods []string `json:"methods,omitempty"`
	// Service is the name of the Service record.
	Service string `json:"service"`
	// Idempotent overrides what the method says: "yes", "no" or empty.
	Idempotent string `json:"idempotent,omitempty"`
	// TimeoutMS is the deadline from arrival, in milliseconds;
	// 0 means DefaultTimeoutMS. A caller may ask for less, never for more.
	TimeoutMS int `json:"timeoutMS,omitempty"`
	// Priority orders waiting requests: 0 to 3, higher first.
	Priority int `json:"priority,omitempty"`
}

// The bounds and defaults of a Route.
const (
	DefaultTimeoutMS = 10000
	maxTimeoutMS     = 600000
	// MaxPriority is the highest priority of a route.
	MaxPriority = 3
	maxMethods  = 16
	maxPath     = 2048
)

func (r *Route) validate(f *faults) {
	if !strings.HasPrefix(r.PathPrefix, "/") || len(r.PathPrefix) > maxPath {
		f.add("pathPrefix", "is "+quote(r.PathPrefix), `write a path that starts with "/", for example "/plans"`)
	}
	if strings.Contains(r.Host, ":") || strings.Contains(r.Host, "/") {
		f.add("host", "is "+quote(r.Host), "write the host name alone, without port or path")
	}
	if r.Service == "" {
		f.add("service", "is missing", "write the name of a Service record")
	}
	if r.Idempotent != "" && r.Idempotent != "yes" && r.Idempotent != "no" {
		f.add("idempotent", "is "+quote(r.Idempotent), `write "yes", "no", or leave it out to go by the method`)
	}
	if len(r.Methods) > maxMethods {
		f.add("methods", "has too many entries", "write 16 at most, or none for every method")
	}
	for _, m := range r.Methods {
		if m == "" || m != strings.ToUpper(m) {
			f.add("methods", "has "+quote(m), `write HTTP methods in capitals, for example ["GET"]`)
		}
	}
	f.between("timeoutMS", r.TimeoutMS, 0, maxTimeoutMS)
	f.between("priority", r.Priority, 0, MaxPriority)
}

// Timeout is the route's deadline from arrival.
func (r *Route) Timeout() time.Duration {
	return time.Duration(orDefault(r.TimeoutMS, DefaultTimeoutMS)) * time.Millisecond
}

// IsIdempotent decides by the override, else by RFC 9110 section 9.2.2.
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

// Team is a group of callers within an office.
type Team struct {
	// Office is the customer the team belongs to.
	Office string `json:"office"`
	// RatePerSecond bounds the team's requests at each front; 0 for no bound.
	RatePerSecond int `json:"ratePerSecond,omitempty"`
	// Burst is how many requests may come at once; 0 means RatePerSecond.
	Burst int `json:"burst,omitempty"`
}

const maxRate = 1000000

func (t *Team) validate(f *faults) {
	if t.Office == "" {
		f.add("office", "is missing", "write the name of the office the team belongs to")
	}
	f.between("ratePerSecond", t.RatePerSecond, 0, maxRate)
	f.between("burst", t.Burst, 0, maxRate)
	if t.Burst > 0 && t.RatePerSecond == 0 {
		f.add("burst", "is set without ratePerSecond", "write ratePerSecond too, or leave burst out")
	}
}

// Stop is a planned stop of a host, or of one instance on it.
type Stop struct {
	// Host is the name of the host to drain.
	Host string `json:"host"`
	// Instance limits the stop to one instance's name; empty means all.
	Instance string `json:"instance,omitempty"`
	// Reason is shown to operators.
	Reason string `json:"reason"`
}

func (s *Stop) validate(f *faults) {
	if s.Host == "" {
		f.add("host", "is missing", "write the name of the host to drain, as `radishhoist status` shows it")
	}
	if s.Reason == "" {
		f.add("reason", "is missing", "write why, for the operator who reads it at night")
	}
}
