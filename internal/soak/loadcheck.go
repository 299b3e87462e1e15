package soak

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/radishhoist/radishhoist/verdict"
)

// Arrival is the arrival of a request at an instance of a service.
type Arrival struct {
	Service, Mark string
	At            time.Duration
}

// Span is a span of time.
type Span struct{ From, To time.Duration }

// Instance is what an instance observed of itself.
type Instance struct {
	Host    int
	Service string
	// Full are the times at which it ran a request in each of its slots.
	Full []Span
	// Crashes are the times at which a request crashed it.
	Crashes []time.Duration
}

// Refusal is a request that the host of an instance refused, as it logged it.
type Refusal struct {
	Instance string
	Reason   verdict.Reason
	At       time.Duration
	// Expired is set if the deadline of the request had passed.
	Expired bool
}

const (
	// shareKnownTime is the time within which hosts must know which team is over its share.
	shareKnownTime = 3 * time.Second
	// minTeamServed is the minimum share served of the requests of a team below its share. It
	// is checked for teams with at least minTeamRequests requests.
	minTeamServed   = 0.9
	minTeamRequests = 20
	// slotHoldTime is how long a slot may be in use without a request that runs: for a
	// request of a host that has failed, the daemons hold it for 250 ms.
	slotHoldTime = 500 * time.Millisecond
	// downtime is how long an instance is down after a crash.
	downtime = 2 * time.Second
)

// checkShares checks that each team that stays below its share is served while another one sends
// too much.
func (o *Observations) checkShares() []Violation {
	var out []Violation
	for _, team := range teamNames()[:lightTeams] {
		sent, served := o.lightInSurge(team)
		if sent >= minTeamRequests && float64(served) < minTeamServed*float64(sent) {
			out = append(out, Violation{FairShare, o.Length, fmt.Sprintf("%d of %d requests of team %s served in surges", served, sent, team)})
		}
	}
	return out
}

// lightInSurge counts the requests, of all teams or of one, for which checkShares requires a share
// served.
func (o *Observations) lightInSurge(team string) (sent, served int) {
	for _, req := range o.Requests {
		if req.Team == "" || req.Team == heavyTeam || team != "" && req.Team != team || !o.inSurge(req) || o.sharesExcused(req) {
			continue
		}
		sent++
		if req.Served {
			served++
		}
	}
	return sent, served
}

// inSurge reports whether a request was sent during a surge, at least shareKnownTime after its start.
func (o *Observations) inSurge(req Request) bool {
	return slices.ContainsFunc(o.Faults, func(f Fault) bool {
		return f.Kind == TeamSurge && f.At+shareKnownTime <= req.Sent && req.Sent < f.End()
	})
}

// sharesExcused reports whether a fault other than a surge affected a request to the contended
// service: one of the daemon that took it, or of an instance of the service or its host.
func (o *Observations) sharesExcused(req Request) bool {
	return slices.ContainsFunc(o.Faults, func(f Fault) bool {
		affects := f.Kind == ServiceRefuses || f.Kind.affectsDaemon() && (f.Host == req.Host || f.Host < contendedInstances)
		return affects && f.At < req.Done && req.Sent < f.End()+settlePeriod
	})
}

// excusedReasons are the reasons for which a host may refuse a request although its instance has a
// free slot: those that do not concern the instance's load.
var excusedReasons = []verdict.Reason{
	verdict.ReasonRetryBudget, verdict.ReasonCrashesTargets, verdict.ReasonCancelled, verdict.ReasonGrantExpired,
	verdict.ReasonUnknownTarget, verdict.ReasonBadRequest,
}

// checkFreeSlots checks that no host refused a request although its instance had a free slot.
func (o *Observations) checkFreeSlots() []Violation {
	var out []Violation
	for _, r := range o.Refusals {
		inst, known := o.Instances[r.Instance]
		if known && r.At >= 0 && !r.Expired && !slices.Contains(excusedReasons, r.Reason) && !o.slotExcused(inst, r.At) && !inst.fullNear(r.At) {
			out = append(out, Violation{FreeSlotUsed, r.At, fmt.Sprintf("host %d refused a request for %s, reason %s", inst.Host, r.Instance, r.Reason)})
		}
	}
	return out
}

// slotExcused reports whether a fault of the instance or its host was active at a time or had ended
// less than settlePeriod before it.
func (o *Observations) slotExcused(inst Instance, at time.Duration) bool {
	crashed := slices.ContainsFunc(inst.Crashes, func(crash time.Duration) bool {
		return crash-clockSlack <= at && at < crash+downtime+settlePeriod
	})
	return crashed || slices.ContainsFunc(o.Faults, func(f Fault) bool {
		ofInstance := f.Kind == ServiceRefuses && inst.Service == contendedService || f.Kind.affectsTarget() && inst.Service == service
		affects := ofInstance && (!f.Kind.affectsOneHost() || f.Host == inst.Host) || f.Kind.affectsDaemon() && f.Host == inst.Host
		return affects && f.At-clockSlack <= at && at < f.End()+settlePeriod
	})
}

// fullNear reports whether all slots were in use at a time, or less than slotHoldTime before it.
func (i Instance) fullNear(at time.Duration) bool {
	return slices.ContainsFunc(i.Full, func(s Span) bool { return s.From <= at+clockSlack && s.To >= at-slotHoldTime })
}

// checkRetryBudgets checks for each service that the arrivals beyond the first of each request do
// not exceed the retry budget in any window. A violation is reported once per service.
func (o *Observations) checkRetryBudgets() []Violation {
	var out []Violation
	for _, name := range []string{service, contendedService} {
		if w := o.peakRetryWindow(name); float64(w.retries) > w.limit {
			out = append(out, Violation{WithinRetryBudget, w.end, fmt.Sprintf("%s retries at service %s in %s", w, name, retryWindow)})
		}
	}
	return out
}

// budgetUse is the number of retries in a window, and its limit.
type budgetUse struct {
	retries int
	limit   float64
	end     time.Duration
}

// String formats the number and the limit.
func (w budgetUse) String() string { return fmt.Sprintf("%d of %.1f", w.retries, w.limit) }

// peakRetryWindow returns the window in which a service used the largest share of its retry budget.
func (o *Observations) peakRetryWindow(name string) budgetUse {
	var sent, again []time.Duration
	for _, req := range o.Requests {
		if req.Service == name {
			sent = append(sent, req.Sent)
		}
	}
	arrivals := slices.Clone(o.Arrivals)
	slices.SortStableFunc(arrivals, func(a, b Arrival) int { return cmp.Compare(a.At, b.At) })
	arrived := make(map[string]bool)
	for _, a := range arrivals {
		if a.Service == name && arrived[a.Mark] {
			again = append(again, a.At)
		}
		arrived[a.Mark] = true
	}
	peak := budgetUse{limit: retryReserve}
	for _, end := range again {
		w := budgetUse{countWithin(again, end), retryReserve + retryPercent/100.0*float64(countWithin(sent, end)), end}
		if float64(w.retries)*peak.limit > float64(peak.retries)*w.limit {
			peak = w
		}
	}
	return peak
}

// countWithin counts the times in the window that ends at a time.
func countWithin(times []time.Duration, end time.Duration) int {
	n := 0
	for _, at := range times {
		if at > end-retryWindow && at <= end {
			n++
		}
	}
	return n
}
