package front

import (
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/radishhoist/radishhoist/internal/core/area"
	"github.com/radishhoist/radishhoist/internal/core/chance"
	"github.com/radishhoist/radishhoist/internal/core/detect"
	"github.com/radishhoist/radishhoist/internal/core/directory"
	"github.com/radishhoist/radishhoist/internal/core/eject"
	"github.com/radishhoist/radishhoist/internal/core/refusal"
	"github.com/radishhoist/radishhoist/internal/guard"
	"github.com/radishhoist/radishhoist/internal/msg"
)

// services holds this front's state of each service.
type services struct {
	mu     sync.Mutex
	byName map[string]*serviceState
}

// serviceState is this front's view of one service.
type serviceState struct {
	mu sync.Mutex
	// targets are those of the current directory, sorted by name. candidates holds indexes
	// into them.
	targets    []*target
	candidates candidateSets
	// samples is a ring buffer of recent latency samples, each sent to one guard at most.
	// nextSample is the index of the next write.
	samples    [sampleRingSize]latencySample
	nextSample int
	// latencies are the recent service times by route, since routes of one service differ
	// in service time.
	latencies map[string]*latency
	// leaving are the instances that have stated in a response to this host that they are
	// leaving, by target.key.
	leaving map[string]leavingMark
	// refusals is nil without Config.LearnRefusals.
	refusals *serviceRefusals
	// routeAreas, by route, and groups are used where data centres lie in several areas.
	routeAreas map[string]*routeArea
	groups     distanceGroups
}

// target is an instance in one version of the directory, with this front's observations of
// it, which are kept across versions. Attempts use a target without holding the lock: a new
// directory creates new targets, and only observed is shared.
type target struct {
	*directory.Target
	hash     uint64
	distance area.Distance
	observed *observations
}

// observations are what this front knows of an instance. They are guarded by the service's
// lock.
type observations struct {
	// pending is the number of this front's attempts in progress at the instance.
	pending int
	load    msg.Load
	loadAt  time.Time
	// unansweredSince is when the first load query was sent since the guard's load was last
	// received; zero for none.
	unansweredSince time.Time
	// missedReply reports that the guard has not replied in time for a choice for which
	// others have, and has not replied since.
	missedReply bool
	// trialWantedAt is when its guard began to ask for a trial.
	trialWantedAt time.Time
	// failureEstimate is the guard's estimate of the probability that the instance is
	// failing most requests.
	failureEstimate chance.Estimate
	// shedShare is the share of requests that the instance refuses although it has free
	// slots, or, if its guard has LearnRefusals, the share of all that it refuses.
	shedShare chance.DecayingShare
	// refusals belongs to the service, and is nil without Config.LearnRefusals. budget is
	// what is known of the guard's retry budget.
	refusals *serviceRefusals
	budget   refusal.GuardBudget
	// latencyRatio is the instance's service time relative to that of other instances on
	// the same routes; 0 before its first response.
	latencyRatio float64
	// leaving reports that the instance has stated in a response to this host that it is
	// leaving.
	leaving bool
}

// candidateSets divides the targets of a service as decided by eject.Select, which ejects
// suspect targets without taking the service below its capacity floor.
type candidateSets struct {
	result eject.Result
	// eligible and local are the indexes of the targets to choose from, in all data centres
	// and in this one: those that accept requests, whose path is not excluded and that
	// eject.Select has not ejected. ejected are those that it has.
	eligible, local, ejected []int
	// excluded are targets whose path is excluded.
	excluded []int
	// short and localShort are eligible and local with the finishing targets, which take
	// short idempotent requests only. finishing reports that there are any.
	short, localShort []int
	finishing         bool
	computedAt        time.Time
}

// sampleRingSize is the number of latency samples kept for each service.
const sampleRingSize = 16

// latencySample is the latency ratio of one response. sent reports that takeSample has
// returned it.
type latencySample struct {
	msg.Sample
	at   time.Time
	sent bool
}

func (s *services) get(name string) *serviceState {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.byName[name]
}

// update applies a new directory and keeps the observations of instances that remain.
func (s *services) update(d *directory.Directory, p *paths, cfg Config) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for name := range s.byName {
		if _, ok := d.Services[name]; !ok {
			delete(s.byName, name)
		}
	}
	for name, svc := range d.Services {
		st, ok := s.byName[name]
		if !ok {
			st = &serviceState{latencies: make(map[string]*latency), leaving: make(map[string]leavingMark)}
			s.byName[name] = st
		}
		st.update(svc, p, cfg)
	}
}

func (st *serviceState) update(svc *directory.Service, p *paths, cfg Config) {
	st.mu.Lock()
	defer st.mu.Unlock()
	old := make(map[string]*target, len(st.targets))
	for _, t := range st.targets {
		old[t.key()] = t
	}
	now := time.Now()
	st.expireLeaving(now)
	if cfg.LearnRefusals && st.refusals == nil {
		st.refusals = &serviceRefusals{}
	}
	st.targets = make([]*target, 0, len(svc.Targets))
	for _, t := range svc.Targets {
		current := &target{Target: t, hash: guard.NameHash(t.Name), distance: cfg.areas.distance(t.Host.DC), observed: &observations{}}
		if previous, ok := old[current.key()]; ok && previous.StartedMS == t.StartedMS {
			current.observed = previous.observed
		}
		current.observed.leaving = st.isLeaving(current)
		current.observed.refusals = st.refusals
		st.targets = append(st.targets, current)
	}
	st.refreshCandidates(now, svc, p, cfg)
}

// candidateMaxAge is the maximum age of the candidate sets. Paths fail and recover without
// a change of the directory.
const candidateMaxAge = 250 * time.Millisecond

// refreshOldCandidates computes the candidate sets if they are older than candidateMaxAge.
// The caller must hold st.mu.
func (st *serviceState) refreshOldCandidates(now time.Time, svc *directory.Service, p *paths, cfg Config) {
	if now.Sub(st.candidates.computedAt) > candidateMaxAge {
		st.refreshCandidates(now, svc, p, cfg)
	}
}

// refreshCandidates computes the candidate sets. The caller must hold st.mu.
func (st *serviceState) refreshCandidates(now time.Time, svc *directory.Service, p *paths, cfg Config) {
	members := make([]eject.Member, len(st.targets))
	for i, t := range st.targets {
		members[i] = eject.Member{
			Name:     t.Name,
			Slots:    t.Slots,
			Usable:   t.Usable() && p.reachable(t.Host.Name),
			Suspect:  t.Health == detect.Suspect,
			Evidence: t.Evidence,
		}
	}
	sets := candidateSets{result: eject.Select(members, svc.Record.Floor), computedAt: now}
	for i, t := range st.targets {
		switch {
		case sets.result.Ejected[i]:
			sets.ejected = append(sets.ejected, i)
		case members[i].Usable:
			sets.eligible, sets.short = append(sets.eligible, i), append(sets.short, i)
			if t.Host.DC == cfg.DC {
				sets.local, sets.localShort = append(sets.local, i), append(sets.localShort, i)
			}
		case t.UsableForShort() && p.reachable(t.Host.Name) && t.Health != detect.Suspect:
			sets.finishing = true
			sets.short = append(sets.short, i)
			if t.Host.DC == cfg.DC {
				sets.localShort = append(sets.localShort, i)
			}
		case t.Usable():
			sets.excluded = append(sets.excluded, i)
		}
	}
	st.candidates = sets
}

// retryBudgetLeft reports whether the guard of any eligible target may have retry budget
// left. The caller must hold st.mu.
func (st *serviceState) retryBudgetLeft(now time.Time) bool {
	for _, i := range st.candidates.eligible {
		if st.targets[i].observed.retryBudgetLeft(now) {
			return true
		}
	}
	return false
}

// retryBudgetChance is the probability that a retry finds a guard with budget left: the
// share of such guards among those with a recent report, or 1 without any. The caller must
// hold st.mu.
func (st *serviceState) retryBudgetChance(now time.Time) float64 {
	fresh, left := 0, 0
	for _, i := range st.candidates.eligible {
		o := st.targets[i].observed
		if now.Sub(o.loadAt) > loadMaxAge {
			continue
		}
		fresh++
		if o.load.RetryBudgetLeft > 0 {
			left++
		}
	}
	if fresh == 0 {
		return 1
	}
	return float64(left) / float64(fresh)
}

// retryBudgetLeft reports whether the guard may have retry budget left: its last report
// says so or is too old.
func (o *observations) retryBudgetLeft(now time.Time) bool {
	return o.load.RetryBudgetLeft > 0 || now.Sub(o.loadAt) > loadMaxAge
}

const (
	// latencyRatioWeight is the weight of a new response in an instance's latency ratio.
	latencyRatioWeight = 0.2
	// latencyRatioMin and latencyRatioMax bound the effect of one response, because service
	// times of one route have a long tail.
	latencyRatioMin, latencyRatioMax = 0.2, 5
	// maxRoutes is the maximum number of routes whose service times are kept.
	maxRoutes = 4096
)

// observe records the outcome of one attempt: the guard's load report, and the service time
// if the target responded. The latency ratio divides it by the mean time of the route alone.
// The guard's own ratio divides by the time expected at this target, see serviceTime.
func (st *serviceState) observe(req *request, t *target, o *outcome) {
	now := time.Now()
	st.mu.Lock()
	defer st.mu.Unlock()
	if o.load.Slots > 0 {
		load := o.load
		// The report still counts this request as running.
		load.Running = max(load.Running, 1) - 1
		t.observed.updateLoad(now, load)
	}
	if !o.targetObserved {
		return
	}
	if o.failed || o.resumed {
		return
	}
	ratio := float64(o.serviceTime) / float64(max(st.expectedServiceTimeLocked(req), 1))
	st.routeLatency(req.route.Name).add(o.serviceTime)
	st.samples[st.nextSample] = latencySample{Sample: newSample(t.hash, ratio), at: now}
	st.nextSample = (st.nextSample + 1) % sampleRingSize
	ratio = min(max(ratio, latencyRatioMin), latencyRatioMax)
	if t.observed.latencyRatio == 0 {
		t.observed.latencyRatio = 1
	}
	t.observed.latencyRatio += latencyRatioWeight * (ratio - t.observed.latencyRatio)
}

// updateLoad records a guard's load report. The caller must hold the service's lock.
func (o *observations) updateLoad(now time.Time, load msg.Load) {
	if load.WantsTrial && !o.wantsTrial(now) {
		o.trialWantedAt = now
	}
	o.load, o.loadAt = load, now
	o.unansweredSince, o.missedReply = time.Time{}, false
	o.budget.Report(now, int(load.RetryBudgetLeft))
	o.failureEstimate = chance.EstimateAt(now, load.FailureProbability())
	o.shedShare = chance.DecayingShareAt(now, float64(load.ShedShare)/msg.Thousandths)
}

// expectedServiceTimeAt is the expected service time of the request at a target.
func (st *serviceState) expectedServiceTimeAt(req *request, t *target) time.Duration {
	st.mu.Lock()
	defer st.mu.Unlock()
	return t.serviceTime(st.expectedServiceTimeLocked(req))
}

// serviceTime scales a route's expected service time by the target's latency ratio. The
// caller must hold the service's lock.
func (t *target) serviceTime(expected time.Duration) time.Duration {
	if t.observed.latencyRatio > 0 {
		return time.Duration(t.observed.latencyRatio * float64(expected))
	}
	return expected
}

// routeLatency returns the service times of one route. The caller must hold st.mu.
func (st *serviceState) routeLatency(name string) *latency {
	l, ok := st.latencies[name]
	if !ok {
		if len(st.latencies) >= maxRoutes {
			st.latencies = make(map[string]*latency)
		}
		l = &latency{}
		st.latencies[name] = l
	}
	return l
}

// HandleLoadReport records the load reports of a guard's instances.
func (f *Front) HandleLoadReport(p *msg.LoadReport) {
	now := time.Now()
	for _, l := range p.Loads {
		if st := f.services.get(l.Service); st != nil {
			st.updateLoad(now, l)
		}
	}
}

func (st *serviceState) updateLoad(now time.Time, l msg.InstanceLoad) {
	st.mu.Lock()
	defer st.mu.Unlock()
	// The targets are sorted by name. Hosts may run instances of the same name.
	first, _ := slices.BinarySearchFunc(st.targets, l.Instance, func(t *target, name string) int { return strings.Compare(t.Name, name) })
	for _, t := range st.targets[first:] {
		if t.Name != l.Instance {
			return
		}
		t.observed.updateLoad(now, l.Load)
	}
}

// sampleMaxAge is the maximum age of a latency sample that is sent to a guard.
const sampleMaxAge = 10 * time.Second

// takeSample returns the newest unsent latency sample of an instance other than exclude and
// marks it as sent. The caller must hold st.mu.
func (st *serviceState) takeSample(now time.Time, exclude uint64) msg.Sample {
	for k := range sampleRingSize {
		candidate := &st.samples[(st.nextSample-1-k+2*sampleRingSize)%sampleRingSize]
		if candidate.sent || candidate.Instance == 0 || candidate.Instance == exclude || now.Sub(candidate.at) > sampleMaxAge {
			continue
		}
		candidate.sent = true
		return candidate.Sample
	}
	return msg.Sample{}
}
