// Package header names the HTTP headers the system reads and writes, and
// drops those that belong to one hop.
package header

import (
	"net/http"
	"strings"

	"github.com/radishhoist/radishhoist/internal/msg"
)

// Dialect is the part of the conversation with callers and targets that a
// deployment may name in its own way. The zero value of a name leaves that
// header out.
type Dialect struct {
	// Timeout is the header with the time left, in milliseconds: a caller may
	// shorten the route's timeout with it, and a target sees what is left.
	Timeout string
	// CallerService is the header that tells a target which service runs on
	// the host where the request began.
	CallerService string
	// ExpectedInstance is the header that names the instance a request is
	// meant for. Any other refuses it with 421 and does not run it.
	ExpectedInstance string
	// NotRun is the answer header by which a target says that it did not run
	// the request.
	NotRun string
	// TargetMarker is the answer header that every success of a target carries; one
	// without it is not the target's answer.
	TargetMarker string
	// Team is the header that tells a target the caller's team, where teams show keys;
	// what the caller itself says there is dropped.
	Team string
	// EchoesRequestID says that targets repeat the request id in every answer,
	// so that an answer without it belongs to no request.
	EchoesRequestID bool
}

// Default is the product's own dialect.
func Default() Dialect {
	return Dialect{
		Timeout:          "Radishhoist-Timeout-Ms",
		CallerService:    "Radishhoist-Caller-Service",
		ExpectedInstance: "Radishhoist-Expected-Instance",
		NotRun:           "Radishhoist-Not-Run",
		Team:             Team,
	}
}

const (
	// RequestID binds an answer to its request. A target that repeats it in
	// its answer lets the guard find answers to another request.
	RequestID = "X-Request-Id"
	// Team names the caller's team: the caller itself does where teams have no keys.
	Team = "Radishhoist-Team"
	// IdempotencyKey marks repeats of one request that is not idempotent.
	IdempotencyKey = "Idempotency-Key"
	// Target tells the caller which instance answered.
	Target = "Radishhoist-Target"
	// Replayed marks a finished answer given again for a repeated key.
	Replayed = "Radishhoist-Replayed"
	// Attempts tells the caller how many attempts were made.
	Attempts = "Radishhoist-Attempts"
)

// hopByHop are the headers of RFC 9110 section 7.6.1 that end at each hop.
var hopByHop = map[string]bool{
	"Connection": true, "Proxy-Connection": true, "Keep-Alive": true,
	"Proxy-Authenticate": true, "Proxy-Authorization": true, "Te": true,
	"Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
}

// ToFields lists the headers that go beyond this hop.
func ToFields(h http.Header) []msg.Field {
	named := listed(h["Connection"])
	out := make([]msg.Field, 0, len(h))
	for name, values := range h {
		if hopByHop[name] || named[name] {
			continue
		}
		for _, v := range values {
			out = append(out, msg.Field{Name: name, Value: v})
		}
	}
	return out
}

// listed gives the headers that Connection names as its own.
func listed(connection []string) map[string]bool {
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

// FromFields is the inverse of ToFields.
func FromFields(fields []msg.Field) http.Header {
	h := make(http.Header, len(fields)+2)
	for _, f := range fields {
		h.Add(f.Name, f.Value)
	}
	return h
}
