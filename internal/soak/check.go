package soak

import (
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/radishhoist/radishhoist/verdict"
)

// Request is one request as observed by its caller. Times are relative to the start of traffic.
type Request struct {
	Mark string
	Host int
	// Idempotent requests may run more than once.
	Idempotent bool
	// Fatal marks the request that crashes every instance that runs it.
	Fatal bool
	// Stopped reports that the request was refused because it crashes its targets.
	Stopped    bool
	Sent, Done time.Duration
	// Status is the HTTP status, 0 if the connection broke.
	Status int
	// Verdict is the value of the verdict header on a failure, empty if a target answered.
	Verdict string
	// Served reports that the answer was complete and belongs to this request.
	Served bool
}

// AckedChange is a record change that the platform has acknowledged.
type AckedChange struct {
	Version int64
	At      time.Duration
}

// Sample is the record version in force at a host, queried from one incarnation of its process.
type Sample struct {
	Host        int
	Incarnation int
	QueriedAt   time.Duration
	Version     int64
}

// Observations are everything recorded during one run.
type Observations struct {
	Faults   []Fault
	Requests []Request
	// Runs counts how often the instances ran each request, by mark.
	Runs map[string]int
	// Ends are the times at which an instance crashed on the fatal request.
	Ends    []time.Duration
	Acked   []AckedChange
	Samples []Sample
	Length  time.Duration
	// ApplyWithin is the time within which an acknowledged change must be in force.
	ApplyWithin time.Duration
}

// Violation is one violated invariant.
type Violation struct {
	Invariant string
	At        time.Duration
	Detail    string
}

// String formats the violation for the report.
func (v Violation) String() string {
	return fmt.Sprintf("%s at %.3f s: %s", v.Invariant, v.At.Seconds(), v.Detail)
}

// The invariants that are checked.
const (
	AtMostOnce        = "a request that is not idempotent runs at most once"
	NotRunIsTrue      = "a request reported as not run has not run"
	CompleteAnswer    = "a successful answer is complete and belongs to its request"
	GracefulStop      = "a graceful stop breaks no connection"
	AppliedInTime     = "an acknowledged change is in force in time"
	MonotonicVersion  = "a process never returns to an older version"
	ServesAfterFaults = "requests are served after the faults have ended"
	BoundedCrashes    = "a request that has crashed three instances crashes at most three more"
	NoOtherStopped    = "no other request is refused as crashing its targets"
)

const (
	// settlePeriod is the time after a fault of a host or the platform during which
	// time bounds are not checked at that host.
	settlePeriod = 3 * time.Second
	// clockSlack allows for the delay between an acknowledgement and the time recorded
	// for it on a busy machine.
	clockSlack = 150 * time.Millisecond
	// minServedShare is the share of requests that must be served after recoveryTime.
	minServedShare = 0.95
	// recoveryTime is the time allowed for recovery after the end of the last fault.
	recoveryTime = 5 * time.Second
)

// Check returns the violations found in a run.
func (r *Observations) Check() []Violation {
	var out []Violation
	for _, req := range r.Requests {
		out = append(out, r.checkRequest(req)...)
	}
	out = append(out, r.checkVersions()...)
	out = append(out, r.checkEnds()...)
	return append(out, r.checkRecovery()...)
}

func (r *Observations) checkRequest(req Request) []Violation {
	runs := r.Runs[req.Mark]
	var out []Violation
	violated := func(invariant, detail string) {
		out = append(out, Violation{invariant, req.Sent, fmt.Sprintf("%s at host %d: %s; ran %d times", req.Mark, req.Host, detail, runs)})
	}
	if req.Stopped && !req.Fatal {
		violated(NoOtherStopped, fmt.Sprintf("status %d", req.Status))
	}
	success := req.Status >= http.StatusOK && req.Status < http.StatusMultipleChoices
	refused := req.Status == http.StatusServiceUnavailable || req.Status == http.StatusTooManyRequests
	if !req.Idempotent && runs > 1 {
		violated(AtMostOnce, fmt.Sprintf("status %d", req.Status))
	}
	if (req.Verdict == verdict.NotRun.String() || refused) && runs > 0 && !req.Idempotent {
		violated(NotRunIsTrue, fmt.Sprintf("status %d, %s", req.Status, req.Verdict))
	}
	if success && (!req.Served || runs == 0) {
		violated(CompleteAnswer, fmt.Sprintf("status %d, complete and matching: %t", req.Status, req.Served))
	}
	if req.Status == 0 && runs > 0 && r.stoppedGracefully(req) {
		violated(GracefulStop, "the connection broke")
	}
	return out
}

// stoppedGracefully reports whether the request's host was terminated gracefully while the
// request was in flight, with no other fault of its process.
func (r *Observations) stoppedGracefully(req Request) bool {
	planned := false
	for _, f := range r.Faults {
		if f.Host != req.Host || !f.Kind.affectsDaemon() || f.End()+settlePeriod < req.Sent || f.At > req.Done {
			continue
		}
		if f.Kind != Terminate {
			return false
		}
		planned = planned || f.At > req.Sent
	}
	return planned
}

// disturbed reports whether a fault of the host or the platform was active at a time or
// ended less than settlePeriod before it.
func (r *Observations) disturbed(host int, at time.Duration) bool {
	for _, f := range r.Faults {
		if f.Kind.affectsTarget() || !f.Kind.affectsPlatform() && f.Host != host {
			continue
		}
		if f.At <= at && at < f.End()+settlePeriod {
			return true
		}
	}
	return false
}

const (
	// identifyingEnds is the number of crashes after which a request counts as crashing
	// its targets. maxLaterEnds is the number of further crashes allowed once connected
	// hosts have had settlePeriod to learn of them.
	identifyingEnds, maxLaterEnds = 3, 3
)

// checkEnds bounds the number of instances that crashed on the fatal request after the
// fleet had time to identify it.
func (r *Observations) checkEnds() []Violation {
	ends := slices.Sorted(slices.Values(r.Ends))
	if len(ends) < identifyingEnds {
		return nil
	}
	known := ends[identifyingEnds-1] + settlePeriod
	after := slices.DeleteFunc(ends, func(at time.Duration) bool { return at <= known })
	if len(after) <= maxLaterEnds {
		return nil
	}
	return []Violation{{BoundedCrashes, after[maxLaterEnds], fmt.Sprintf("%d instances crashed later than %.3f s, %d in total", len(after), known.Seconds(), len(r.Ends))}}
}

func (r *Observations) checkVersions() []Violation {
	var out []Violation
	type process struct{ host, incarnation int }
	newest := make(map[process]int64)
	late := make(map[process]int64)
	for _, s := range r.Samples {
		key := process{s.Host, s.Incarnation}
		if s.Version < newest[key] {
			out = append(out, Violation{MonotonicVersion, s.QueriedAt, fmt.Sprintf("host %d has version %d after version %d", s.Host, s.Version, newest[key])})
		}
		newest[key] = max(newest[key], s.Version)
		due := r.newestDue(s.QueriedAt)
		if s.Version < due.Version && late[key] < due.Version && !r.disturbed(s.Host, s.QueriedAt) {
			late[key] = due.Version
			out = append(out, Violation{AppliedInTime, s.QueriedAt, fmt.Sprintf("host %d has version %d; version %d was acknowledged at %.3f s", s.Host, s.Version, due.Version, due.At.Seconds())})
		}
	}
	return out
}

// newestDue returns the newest change that must be in force at a time.
func (r *Observations) newestDue(at time.Duration) AckedChange {
	var newest AckedChange
	for _, a := range r.Acked {
		if a.At+r.ApplyWithin+clockSlack < at && a.Version > newest.Version {
			newest = a
		}
	}
	return newest
}

func (r *Observations) checkRecovery() []Violation {
	last := time.Duration(0)
	for _, f := range r.Faults {
		last = max(last, f.End())
	}
	sent, served := 0, 0
	for _, req := range r.Requests {
		if req.Sent < last+recoveryTime || req.Fatal {
			continue
		}
		sent++
		if req.Served {
			served++
		}
	}
	if float64(served) >= minServedShare*float64(sent) && sent > 0 {
		return nil
	}
	return []Violation{{ServesAfterFaults, last + recoveryTime, fmt.Sprintf("%d of %d requests served", served, sent)}}
}
