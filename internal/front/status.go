package front

import (
	"fmt"
	"sort"
	"strings"
	"time"

	"github.com/radishhoist/radishhoist/internal/core/detect"
	"github.com/radishhoist/radishhoist/internal/core/directory"
)

// ServiceStatus is this front's view of one service.
type ServiceStatus struct {
	Name    string `json:"name"`
	Version int64  `json:"version"`
	Preset  string `json:"preset"`
	// KnownSlots, HealthySlots and RequiredSlots are numbers of slots: all, those in use,
	// and the capacity floor.
	KnownSlots    int `json:"knownSlots"`
	HealthySlots  int `json:"healthySlots"`
	RequiredSlots int `json:"requiredSlots"`
	// SuspectsKept is the number of suspect targets used only because of the capacity floor.
	SuspectsKept int            `json:"suspectsKept"`
	Targets      []TargetStatus `json:"targets"`
}

// TargetStatus is this front's view of one target.
type TargetStatus struct {
	Name  string `json:"name"`
	Host  string `json:"host"`
	DC    string `json:"dc"`
	Slots int    `json:"slots"`
	// Use is "used", "left out" or "unusable". Reason says why.
	Use    string `json:"use"`
	Reason string `json:"why,omitempty"`
	// LatencyRatio is the service time relative to that of the service's other targets;
	// 0 if unknown.
	LatencyRatio float64 `json:"pace"`
	// FailureEstimate is the estimated probability that the target is failing most
	// requests.
	FailureEstimate float64 `json:"sick"`
	// ShedShare is the share of requests that the target refuses although it has free
	// slots.
	ShedShare float64 `json:"refuses"`
	// RetryBudgetLeft is the retry budget that its host last reported.
	RetryBudgetLeft int `json:"repeatsLeft"`
	Running         int `json:"running"`
	Queued          int `json:"queued"`
}

// Status returns the capacity of every service and how each of its targets is used.
func (f *Front) Status() []ServiceStatus {
	dir := f.dir.Load()
	out := []ServiceStatus{}
	for name, svc := range dir.Services {
		if st := f.services.get(name); st != nil {
			out = append(out, f.serviceStatus(svc, st))
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}

func (f *Front) serviceStatus(svc *directory.Service, st *serviceState) ServiceStatus {
	now := time.Now()
	st.mu.Lock()
	defer st.mu.Unlock()
	st.refreshCandidates(now, svc, f.paths, f.cfg)
	r := st.candidates.result
	out := ServiceStatus{
		Name: svc.Name, Version: svc.Version, Preset: svc.Record.Preset,
		KnownSlots: r.KnownSlots, HealthySlots: r.HealthySlots, RequiredSlots: r.RequiredSlots, SuspectsKept: r.KeptSuspects, Targets: []TargetStatus{},
	}
	for i, t := range st.targets {
		use, reason := f.explainUse(now, t, r.Ejected[i])
		out.Targets = append(out.Targets, TargetStatus{
			Name: t.Name, Host: t.Host.Name, DC: t.Host.DC, Slots: t.Slots, Use: use, Reason: reason,
			LatencyRatio: t.observed.latencyRatio, FailureEstimate: t.observed.failureEstimate.SickForSelection(now, failureModel),
			ShedShare: t.observed.shedShare.At(now), RetryBudgetLeft: int(t.observed.load.RetryBudgetLeft),
			Running: int(t.observed.load.Running), Queued: int(t.observed.load.Queued),
		})
	}
	return out
}

// explainUse says whether a target is used, and the reason.
func (f *Front) explainUse(now time.Time, t *target, ejected bool) (use, reason string) {
	evidence := fmt.Sprintf("suspect, evidence %.1f nats", float64(t.Evidence)/100)
	switch {
	case !t.Host.Alive:
		return "unusable", "host does not respond"
	case t.Host.Leaving:
		return "unusable", "host is leaving"
	case t.State == directory.Leaving:
		return "unusable", "instance is leaving"
	case !f.paths.reachable(t.Host.Name):
		return "unusable", "no frame received from the host"
	case ejected:
		return "left out", evidence
	case t.Health == detect.Suspect:
		return "used", evidence + ", kept by the floor"
	case now.Before(t.WarmUpEnd):
		return "used", "warming up"
	default:
		return "used", ""
	}
}

// Paths returns the paths to other hosts.
func (f *Front) Paths() []PathState { return f.paths.state() }

// Explanation says how a request would be handled, and why. If the route divides its
// requests among several services, it describes the first of them only.
type Explanation struct {
	Matched           bool   `json:"matched"`
	Route             string `json:"route,omitempty"`
	Version           int64  `json:"version,omitempty"`
	Service           string `json:"service,omitempty"`
	Idempotent        bool   `json:"idempotent"`
	IdempotencyReason string `json:"because,omitempty"`
	TimeoutMS         int64  `json:"timeoutMS,omitempty"`
	Priority          int    `json:"priority"`
	Team              string `json:"team,omitempty"`
	// Open says that callers need no API key for this route.
	Open          bool     `json:"open"`
	TeamRate      float64  `json:"teamRatePerSecond,omitempty"`
	Target        string   `json:"targetNow,omitempty"`
	TargetHost    string   `json:"targetHost,omitempty"`
	TargetReason  string   `json:"targetWhy,omitempty"`
	UnusedTargets []string `json:"leftOut,omitempty"`
	Problem       string   `json:"problem,omitempty"`
}

// Explain says how a request would be handled now, by the first of the route's weighted
// services. It sends nothing.
func (f *Front) Explain(method, host, path, team string) Explanation {
	dir := f.dir.Load()
	if dir.Routes == nil {
		return Explanation{Problem: "this host has not loaded its whole configuration yet"}
	}
	r := dir.Routes.Match(strings.ToLower(host), path, method)
	if r == nil {
		return Explanation{Problem: "no route matches; run `radishhoist list routes` to see all routes"}
	}
	out := Explanation{
		Matched: true, Route: r.Name, Version: r.Version, Service: r.WeightedServices()[0].Service,
		Idempotent: r.IsIdempotent(method), IdempotencyReason: "the method " + method + " says so",
		TimeoutMS: r.Timeout().Milliseconds(), Priority: r.Priority, Team: team, Open: r.Open || !dir.RequireKeys,
	}
	if r.Idempotent != "" {
		out.IdempotencyReason = "the route says idempotent: " + r.Idempotent
	}
	if t, ok := dir.Teams[team]; ok {
		out.TeamRate = t.RatePerSecond
	}
	svc, ok := dir.Services[out.Service]
	if !ok {
		out.Problem = "service " + out.Service + " has no record"
		return out
	}
	req := &request{route: r, idempotent: out.Idempotent, arrived: time.Now()}
	if t, ok := dir.Teams[team]; ok {
		req.teamPriority = t.Priority
	}
	out.Priority = req.priority()
	f.explainTarget(req, svc, &out)
	return out
}

func (f *Front) explainTarget(req *request, svc *directory.Service, out *Explanation) {
	st := f.services.get(svc.Name)
	if st == nil {
		return
	}
	status := f.serviceStatus(svc, st)
	for _, t := range status.Targets {
		if t.Use != "used" {
			out.UnusedTargets = append(out.UnusedTargets, t.Name+": "+t.Use+", "+t.Reason)
		}
	}
	now, rng := time.Now(), f.rng()
	sampled, _ := st.sample(now, req, nil, false, rng, f)
	st.mu.Lock()
	t := st.pickEligible(now, req, sampled, nil, rng, f.paths, f.cfg)
	st.mu.Unlock()
	if t == nil {
		out.Problem = "service " + svc.Name + " has no available target"
		return
	}
	out.Target, out.TargetHost = t.Name, t.Host.Name
	out.TargetReason = fmt.Sprintf("lowest cost in a random sample of %d usable targets; another call may choose a different one", len(status.Targets)-len(out.UnusedTargets))
}
