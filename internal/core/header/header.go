// Package header defines the HTTP headers that the system reads and writes, and removes
// hop-by-hop headers.
package header

import (
	"net/http"
	"strings"

	"github.com/radishhoist/radishhoist/internal/msg"
)

// Dialect holds the header names that a deployment may configure, for requests and
// responses exchanged with callers and targets. A header whose name is empty is not used.
type Dialect struct {
	// Timeout is the header with the remaining time, in milliseconds. A caller may use
	// it to shorten the route's timeout, and a target receives the time left for the
	// request.
	Timeout string
	// CallerService is the header that tells a target which service runs on the host
	// where the request originated.
	CallerService string
	// ExpectedInstance is the header with the name of the instance for which a request
	// is intended. Any other instance responds with status 421 and does not run it.
	ExpectedInstance string
	// NotRun is the response header by which a target states that it did not run the
	// request.
	NotRun string
	// TargetMarker is the response header present in every successful (2xx) response of a
	// target. A successful response without it did not come from the target.
	TargetMarker string
	// RateLimit is the response header by which an instance states how many requests per
	// second it accepts from all hosts together, as a decimal number. The limit applies
	// until a response lacks the header.
	RateLimit string
	// Leaving is the response header by which an instance states, with any value, that it is
	// shutting down and wants no new requests.
	Leaving string
	// Team is the header that tells a target the caller's team, if teams authenticate
	// with keys. A value sent by the caller itself is removed.
	Team string
	// EchoesRequestID states that targets echo the request ID in every successful
	// response, so that one without it cannot be attributed to a request.
	EchoesRequestID bool
}

// Default returns the built-in header names.
func Default() Dialect {
	return Dialect{
		Timeout:          "Radishhoist-Timeout-Ms",
		CallerService:    "Radishhoist-Caller-Service",
		ExpectedInstance: "Radishhoist-Expected-Instance",
		NotRun:           "Radishhoist-Not-Run",
		RateLimit:        "Radishhoist-Rate-Limit",
		Leaving:          "Radishhoist-Leaving",
		Team:             Team,
	}
}

const (
	// RequestID identifies a request. If the target echoes it in the response, the guard
	// can detect a response that belongs to another request.
	RequestID = "X-Request-Id"
	// Team is the name of the caller's team. If teams have no keys, the caller sets it.
	Team = "Radishhoist-Team"
	// IdempotencyKey identifies retries of the same non-idempotent request.
	IdempotencyKey = "Idempotency-Key"
	// Target is the name of the instance that sent the response.
	Target = "Radishhoist-Target"
	// Replayed marks a stored response that is returned for a retry with the same idempotency
	// key.
	Replayed = "Radishhoist-Replayed"
	// Attempts is the number of attempts made.
	Attempts = "Radishhoist-Attempts"
)

// hopByHop holds the hop-by-hop headers of RFC 9110 section 7.6.1 and of RFC 2616 section
// 13.5.1.
var hopByHop = map[string]bool{
	"Connection": true, "Proxy-Connection": true, "Keep-Alive": true,
	"Proxy-Authenticate": true, "Proxy-Authorization": true, "Te": true,
	"Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
}

// ToFields converts headers to fields, without the hop-by-hop ones.
func ToFields(h http.Header) []msg.Field {
	listedInConnection := connectionHeaders(h["Connection"])
	out := make([]msg.Field, 0, len(h))
	for name, values := range h {
		if hopByHop[name] || listedInConnection[name] {
			continue
		}
		for _, v := range values {
			out = append(out, msg.Field{Name: name, Value: v})
		}
	}
	return out
}

// connectionHeaders returns the header names listed in Connection headers. The headers
// with these names are hop-by-hop as well.
func connectionHeaders(connection []string) map[string]bool {
	if len(connection) == 0 {
		return nil
	}
	out := make(map[string]bool)
	for _, line := range connection {
		for _, name := range strings.Split(line, ",") {
			out[http.CanonicalHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	return out
}

// FromFields converts fields to headers.
func FromFields(fields []msg.Field) http.Header {
	h := make(http.Header, len(fields)+2)
	for _, f := range fields {
		h.Add(f.Name, f.Value)
	}
	return h
}
