package soak

import (
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/radishhoist/radishhoist/verdict"
)

// Request is one request as observed by its caller. Times are relative to the start of traffic.
// Mark identifies the request at the instances.
type Request struct {
	Mark string
	Host int
	// Service is the service of the request's route, and Team the team that sent it, if any.
	Service, Team string
	// Idempotent is set for requests that may run more than once.
	Idempotent bool
	// Crashing marks the request that crashes every instance that runs it.
	Crashing bool
	// Blocked is set if the request was refused as one that crashes its targets.
	Blocked    bool
	Sent, Done time.Duration
	// Status is the HTTP status of the response, 0 if the connection broke.
	Status int
	// Verdict is the value of the verdict header of a failure, empty if a target responded.
	Verdict string
	// Served is set if the response was complete and belongs to this request.
	Served bool
}

// AckedChange is a record change that the platform has acknowledged.
type AckedChange struct {
	Version int64
	// Number counts the changes. Unlike versions, it is in the record itself.
	Number int
	At     time.Duration
}

// Sample is the record version in force at a host, as reported by one incarnation of its daemon.
type Sample struct {
	Host        int
	Incarnation int
	QueriedAt   time.Duration
	Version     int64
	// Number is the number of the change in force.
	Number int
}

// Observations is the record of one run.
type Observations struct {
	Faults   []Fault
	Requests []Request
	// Runs is the number of times that instances ran each request, by mark.
	Runs map[string]int
	// Crashes are the times at which the crashing request crashed an instance.
	Crashes []time.Duration
	// Arrivals are all arrivals of requests at instances, including refused ones.
	Arrivals []Arrival
	// Instances are the instances by name, and Refusals what their hosts refused.
	Instances map[string]Instance
	Refusals  []Refusal
	// OverRateLimit is the largest number of requests by which an instance got more than the
	// rate limit that it stated allows. ArrivalsWhileLeaving is the number of requests that
	// instances got although they had stated that they are leaving.
	OverRateLimit, ArrivalsWhileLeaving int
	Acked                               []AckedChange
	Samples                             []Sample
	Length                              time.Duration
	// Stall is the largest delay of a timer of this process. On an overloaded machine, processes
	// get no processor time for so long that checks of times fail without a fault.
	Stall time.Duration
	// ApplyWithin is the time within which an acknowledged change must be in force at every host.
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

// Invariants, with the texts used in reports.
const (
	AtMostOnce          = "a request that is not idempotent runs at most once"
	NotRunIsAccurate    = "a request reported as not run has not run"
	CompleteResponse    = "a successful answer is complete and belongs to its request"
	GracefulStop        = "a graceful stop breaks no connection"
	AppliedInTime       = "an acknowledged change is in force in time"
	MonotonicVersion    = "a process never returns to an older version"
	RecoversAfterFaults = "requests are served after the faults have ended"
	BoundedCrashes      = "a request that has crashed three instances crashes at most three more"
	NoOtherBlocked      = "no other request is refused as crashing its targets"
	WithinRateLimit     = "an instance gets no more requests than the rate limit it states allows"
	NothingWhileLeaving = "an instance that states that it is leaving, or has withdrawn, gets no requests 2 s later"
	FairShare           = "a team below its share is served while another team sends too much"
	FreeSlotUsed        = "a host refuses no request while its instance has a free slot"
	WithinRetryBudget   = "all hosts together stay within the retry budget of a service"
)

const (
	// settlePeriod is the time after a fault of a host, or of the platform, in which time limits
	// are not checked at the host.
	settlePeriod = 3 * time.Second
	// clockSlack allows for the delay on a busy machine between an acknowledgement and the
	// recording of its time.
	clockSlack = 150 * time.Millisecond
	// minServedShare is the minimum share of requests served after recoveryTime.
	minServedShare = 0.95
	// recoveryTime is the time after the last fault within which the fleet must recover.
	recoveryTime = 5 * time.Second
)

// Check returns the violations found in a run.
func (o *Observations) Check() []Violation {
	var out []Violation
	for _, req := range o.Requests {
		out = append(out, o.checkRequest(req)...)
	}
	out = append(out, o.checkVersions()...)
	out = append(out, o.checkCrashes()...)
	out = append(out, o.checkStatements()...)
	out = append(out, o.checkShares()...)
	out = append(out, o.checkFreeSlots()...)
	out = append(out, o.checkRetryBudgets()...)
	return append(out, o.checkRecovery()...)
}

func (o *Observations) checkRequest(req Request) []Violation {
	runs := o.Runs[req.Mark]
	var out []Violation
	violated := func(invariant, detail string) {
		out = append(out, Violation{invariant, req.Sent, fmt.Sprintf("%s at host %d: %s; ran %d times", req.Mark, req.Host, detail, runs)})
	}
	if req.Blocked && !req.Crashing {
		violated(NoOtherBlocked, fmt.Sprintf("status %d", req.Status))
	}
	success := req.Status >= http.StatusOK && req.Status < http.StatusMultipleChoices
	refused := req.Status == http.StatusServiceUnavailable || req.Status == http.StatusTooManyRequests
	if !req.Idempotent && runs > 1 {
		violated(AtMostOnce, fmt.Sprintf("status %d", req.Status))
	}
	if (req.Verdict == verdict.NotRun.String() || refused) && runs > 0 && !req.Idempotent {
		violated(NotRunIsAccurate, fmt.Sprintf("status %d, %s", req.Status, req.Verdict))
	}
	if success && (!req.Served || runs == 0) {
		violated(CompleteResponse, fmt.Sprintf("status %d, complete and matching: %t", req.Status, req.Served))
	}
	if req.Status == 0 && runs > 0 && o.stoppedGracefully(req) {
		violated(GracefulStop, "the connection broke")
	}
	return out
}

// stoppedGracefully reports whether the host's daemon was terminated gracefully while the request
// was in flight, and had no other fault at that time.
func (o *Observations) stoppedGracefully(req Request) bool {
	terminated := false
	for _, f := range o.Faults {
		if f.Host != req.Host || !f.Kind.affectsDaemon() || f.End()+settlePeriod < req.Sent || f.At > req.Done {
			continue
		}
		if f.Kind != Terminate {
			return false
		}
		terminated = terminated || f.At > req.Sent
	}
	return terminated
}

// affectedByFault reports whether a fault of the host or the platform was active at a time or had
// ended less than settlePeriod before it.
func (o *Observations) affectedByFault(host int, at time.Duration) bool {
	for _, f := range o.Faults {
		ofHost := f.Host == host && (f.Kind.affectsDaemon() || f.Kind.affectsLink())
		if !f.Kind.affectsPlatform() && !ofHost {
			continue
		}
		if f.At <= at && at < f.End()+settlePeriod {
			return true
		}
	}
	return false
}

const (
	// crashesUntilBlocked is the number of crashes after which a request is blocked.
	// maxLateCrashes is the number of further crashes allowed once connected hosts have had
	// settlePeriod to learn of the first crashesUntilBlocked.
	crashesUntilBlocked, maxLateCrashes = 3, 3
)

// checkCrashes checks the number of instances that the crashing request crashed after the fleet had
// time to block it.
func (o *Observations) checkCrashes() []Violation {
	crashes := slices.Sorted(slices.Values(o.Crashes))
	if len(crashes) < crashesUntilBlocked {
		return nil
	}
	known := crashes[crashesUntilBlocked-1] + settlePeriod
	late := slices.DeleteFunc(crashes, func(at time.Duration) bool { return at <= known })
	if len(late) <= maxLateCrashes {
		return nil
	}
	return []Violation{{BoundedCrashes, late[maxLateCrashes], fmt.Sprintf("%d instances crashed later than %.3f s, %d in total", len(late), known.Seconds(), len(o.Crashes))}}
}

// checkStatements checks that hosts heed what instances state in their responses.
func (o *Observations) checkStatements() []Violation {
	var out []Violation
	if o.OverRateLimit > 0 {
		out = append(out, Violation{WithinRateLimit, o.Length, fmt.Sprintf("%d requests too many", o.OverRateLimit)})
	}
	if o.ArrivalsWhileLeaving > 0 {
		out = append(out, Violation{NothingWhileLeaving, o.Length, fmt.Sprintf("%d requests", o.ArrivalsWhileLeaving)})
	}
	return out
}

// checkVersions checks the samples of record versions: no process returns to an older version, and
// every acknowledged change is in force in time. A late change is reported once per process.
func (o *Observations) checkVersions() []Violation {
	var out []Violation
	type process struct{ host, incarnation int }
	newest := make(map[process]int64)
	late := make(map[process]int)
	for _, s := range o.Samples {
		key := process{s.Host, s.Incarnation}
		if s.Version < newest[key] {
			out = append(out, Violation{MonotonicVersion, s.QueriedAt, fmt.Sprintf("host %d has version %d after version %d", s.Host, s.Version, newest[key])})
		}
		newest[key] = max(newest[key], s.Version)
		due := o.newestDue(s.QueriedAt)
		isLate := s.Version < due.Version || s.Number < due.Number
		if isLate && late[key] < due.Number && !o.affectedByFault(s.Host, s.QueriedAt) {
			late[key] = due.Number
			out = append(out, Violation{AppliedInTime, s.QueriedAt, fmt.Sprintf("host %d has version %d, change %d; version %d, change %d was acknowledged at %.3f s",
				s.Host, s.Version, s.Number, due.Version, due.Number, due.At.Seconds())})
		}
	}
	return out
}

// newestDue returns the newest change that must be in force at a time, with a margin of clockSlack.
func (o *Observations) newestDue(at time.Duration) AckedChange {
	var newest AckedChange
	for _, a := range o.Acked {
		if a.At+o.ApplyWithin+clockSlack < at && a.Number > newest.Number {
			newest = a
		}
	}
	return newest
}

// checkRecovery checks the share of requests served after all faults have ended, except those of
// heavyTeam, which still sends too much.
func (o *Observations) checkRecovery() []Violation {
	last := time.Duration(0)
	for _, f := range o.Faults {
		if f.Kind != TeamSurge {
			last = max(last, f.End())
		}
	}
	sent, served := 0, 0
	for _, req := range o.Requests {
		if req.Sent < last+recoveryTime || req.Crashing || req.Team == heavyTeam {
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
	return []Violation{{RecoversAfterFaults, last + recoveryTime, fmt.Sprintf("%d of %d requests served", served, sent)}}
}
