package soak

import (
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/radishhoist/radishhoist/verdict"
)

// Request is one request as its caller saw it; times count from the start of traffic.
type Request struct {
	Mark string
	Host int
	// Idempotent requests may run more than once.
	Idempotent bool
	// Fatal is the request that ends the instances that run it.
	Fatal bool
	// Stopped says that it was refused as one that does.
	Stopped    bool
	Sent, Done time.Duration
	// Status is 0 where the connection broke.
	Status int
	// Verdict is the system's word on a failure, empty where a target answered.
	Verdict string
	// Own says that the answer was whole and this request's.
	Own bool
}

// Acked is a change that the platform has acknowledged.
type Acked struct {
	Version int64
	At      time.Duration
}

// Sample is what a host had in force: asked for at a time, in one life of its process.
type Sample struct {
	Host    int
	Life    int
	Asked   time.Duration
	Version int64
}

// Record is all that was seen of one run.
type Record struct {
	Faults   []Fault
	Requests []Request
	// Runs counts the runs of each request at the instances.
	Runs map[string]int
	// Ends are the times at which an instance ended under the fatal request.
	Ends    []time.Duration
	Acked   []Acked
	Samples []Sample
	Length  time.Duration
	// Bound is the time in which a change is to be in force.
	Bound time.Duration
}

// Violation is one promise that was not kept.
type Violation struct {
	Promise string
	At      time.Duration
	Detail  string
}

// String is the violation as a report shows it.
func (v Violation) String() string {
	return fmt.Sprintf("%s at %.3f s: %s", v.Promise, v.At.Seconds(), v.Detail)
}

// The promises that are checked.
const (
	Once     = "work that is not idempotent runs once at most"
	Honest   = "what is said not to have run has not run"
	Whole    = "a caller gets the whole answer to its own request"
	Uncut    = "a planned stop cuts nothing off"
	InForce  = "a change is in force in time"
	Forward  = "a process never goes back to an older version"
	Recovers = "callers are served once the faults are over"
	Stops    = "a request that has ended three instances reaches three more at most"
	Innocent = "no other request is stopped for it"
)

const (
	// stable is how long a host and the platform must have been undisturbed for bounds
	// of time to hold there.
	stable = 3 * time.Second
	// clockSlack is for the time between an acknowledgement and this process's note of
	// it, on a busy machine.
	clockSlack = 150 * time.Millisecond
	// recovered is the part of the last requests that must be served.
	recovered = 0.95
	// recovery is the time after the last fault until then.
	recovery = 5 * time.Second
)

// Check gives the promises that a run has broken.
func (r *Record) Check() []Violation {
	var out []Violation
	for _, req := range r.Requests {
		out = append(out, r.checkRequest(req)...)
	}
	out = append(out, r.checkVersions()...)
	out = append(out, r.checkEnds()...)
	return append(out, r.checkRecovery()...)
}

func (r *Record) checkRequest(req Request) []Violation {
	runs := r.Runs[req.Mark]
	var out []Violation
	broken := func(promise, detail string) {
		out = append(out, Violation{promise, req.Sent, fmt.Sprintf("%s at host %d: %s; it ran %d times", req.Mark, req.Host, detail, runs)})
	}
	if req.Stopped && !req.Fatal {
		broken(Innocent, fmt.Sprintf("status %d", req.Status))
	}
	success := req.Status >= http.StatusOK && req.Status < http.StatusMultipleChoices
	refused := req.Status == http.StatusServiceUnavailable || req.Status == http.StatusTooManyRequests
	if !req.Idempotent && runs > 1 {
		broken(Once, fmt.Sprintf("status %d", req.Status))
	}
	if (req.Verdict == verdict.NotRun.String() || refused) && runs > 0 && !req.Idempotent {
		broken(Honest, fmt.Sprintf("status %d, %s", req.Status, req.Verdict))
	}
	if success && (!req.Own || runs == 0) {
		broken(Whole, fmt.Sprintf("status %d, own and whole: %t", req.Status, req.Own))
	}
	if req.Status == 0 && runs > 0 && r.stoppedAsPlanned(req) {
		broken(Uncut, "the connection broke")
	}
	return out
}

// stoppedAsPlanned says that a request's host was stopped as planned while it was under
// way, and that nothing else befell it.
func (r *Record) stoppedAsPlanned(req Request) bool {
	planned := false
	for _, f := range r.Faults {
		if f.Host != req.Host || !f.Kind.ofDaemon() || f.End()+stable < req.Sent || f.At > req.Done {
			continue
		}
		if f.Kind != Terminate {
			return false
		}
		planned = planned || f.At > req.Sent
	}
	return planned
}

// disturbed says that something befell a host or the platform in the time in which
// bounds do not hold.
func (r *Record) disturbed(host int, at time.Duration) bool {
	for _, f := range r.Faults {
		if f.Kind.ofTarget() || !f.Kind.ofPlatform() && f.Host != host {
			continue
		}
		if f.At <= at && at < f.End()+stable {
			return true
		}
	}
	return false
}

const (
	// endsKnown is how many ends tell on a request, and endsAfter how many more may
	// follow once hosts in touch have had stable to learn.
	endsKnown, endsAfter = 3, 3
)

// checkEnds counts the instances that ended under the fatal request after the fleet had
// had time to know it.
func (r *Record) checkEnds() []Violation {
	ends := slices.Sorted(slices.Values(r.Ends))
	if len(ends) < endsKnown {
		return nil
	}
	known := ends[endsKnown-1] + stable
	after := slices.DeleteFunc(ends, func(at time.Duration) bool { return at <= known })
	if len(after) <= endsAfter {
		return nil
	}
	return []Violation{{Stops, after[endsAfter], fmt.Sprintf("%d instances ended later than %.3f s, %d in all", len(after), known.Seconds(), len(r.Ends))}}
}

func (r *Record) checkVersions() []Violation {
	var out []Violation
	type life struct{ host, life int }
	newest := make(map[life]int64)
	late := make(map[life]int64)
	for _, s := range r.Samples {
		key := life{s.Host, s.Life}
		if s.Version < newest[key] {
			out = append(out, Violation{Forward, s.Asked, fmt.Sprintf("host %d has %d after %d", s.Host, s.Version, newest[key])})
		}
		newest[key] = max(newest[key], s.Version)
		due := r.due(s.Asked)
		if s.Version < due.Version && late[key] < due.Version && !r.disturbed(s.Host, s.Asked) {
			late[key] = due.Version
			out = append(out, Violation{InForce, s.Asked, fmt.Sprintf("host %d has %d; %d was acknowledged at %.3f s", s.Host, s.Version, due.Version, due.At.Seconds())})
		}
	}
	return out
}

// due is the newest change that must be in force at a time.
func (r *Record) due(at time.Duration) Acked {
	var newest Acked
	for _, a := range r.Acked {
		if a.At+r.Bound+clockSlack < at && a.Version > newest.Version {
			newest = a
		}
	}
	return newest
}

func (r *Record) checkRecovery() []Violation {
	last := time.Duration(0)
	for _, f := range r.Faults {
		last = max(last, f.End())
	}
	sent, served := 0, 0
	for _, req := range r.Requests {
		if req.Sent < last+recovery || req.Fatal {
			continue
		}
		sent++
		if req.Own {
			served++
		}
	}
	if float64(served) >= recovered*float64(sent) && sent > 0 {
		return nil
	}
	return []Violation{{Recovers, last + recovery, fmt.Sprintf("%d of %d requests served", served, sent)}}
}
