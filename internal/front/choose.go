package front

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/radishhoist/radishhoist/internal/core/balance"
	"github.com/radishhoist/radishhoist/internal/msg"
)

// A trial is a caller's request that is sent to an instance, or over a network path, whose
// state is uncertain, in order to learn that state. Trials are hedged like other attempts:
// if the response is late, a second attempt is made in parallel.

// trialShare is the share of a healthy instance's requests that an ejected instance still
// gets as trials, so that its recovery can be observed. eject.Select ejects instances that
// the failure detector marks as suspect; they get no requests except for trials and as a
// fallback. Ejected instances are tried only with first attempts of requests that can be
// retried.
const trialShare = 0.05

// pick is the target chosen for one attempt. A target is an instance as the current directory
// lists it, with this front's observations of it.
type pick struct {
	target *target
	// sample is the latency ratio of another instance: its service time relative to the
	// mean of the route. It is sent to the guard with the request, for comparison with the
	// chosen instance.
	sample msg.Sample
	// entry describes the choice in the request log.
	entry attemptEntry
	// options are passed to the guard with the attempt. The caller of choose sets them.
	options attemptOptions
}

// choose picks a target that is not in tried and counts the request as pending there. It
// returns false if no target is left.
//
// A request that this host's guard knows to be suspected of crashing instances goes to the
// instance designated for it. Any other request may be used for a trial, and otherwise goes
// to a target in candidates.eligible: the targets that accept requests, are not ejected and
// whose path is not excluded. If neither kind of request gets a target in this way,
// pickFallback chooses one: an ejected target, one whose path is excluded, or any other that
// accepts requests. A path is the network path to the target's host; it is excluded while no
// frame arrives from that host. If usesRetryBudget is set, only targets whose guard may have
// retry budget left are considered, and there is no fallback.
// sampled are the targets among which the one of the lowest cost is picked, see
// sampleCandidates.
func (f *Front) choose(req *request, sampled, tried []*target, usesRetryBudget bool, rng *rand.Rand) (pick, bool) {
	st := req.state
	now := time.Now()
	st.mu.Lock()
	defer st.mu.Unlock()
	st.refreshOldCandidates(now, req.service, f.paths, f.cfg)
	st.refreshShare(now)
	var t *target
	var why string
	if a := f.guard.CrashAssessment(req.fingerprint); a.Crashes > 0 {
		t, why = st.pickForCrashSuspect(now, req.fingerprint, &a, tried, usesRetryBudget), whyCrashSuspect
	} else if t, why = st.pickTrial(now, req, tried, rng, f.paths); t == nil {
		t, why = st.pickEligible(now, req, sampled, tried, rng, f.paths, f.cfg), whyCost
	}
	if t == nil && !usesRetryBudget {
		t, why = st.pickFallback(tried), whyFallback
	}
	if t == nil {
		return pick{}, false
	}
	t.observed.pending++
	return pick{target: t, sample: st.takeSample(now, t.hash), entry: st.newEntry(now, t, why)}, true
}

// pickTrial occasionally picks a target for a trial and returns the reason for the request
// log, or nil if the request is not used for one. Only first attempts are. A request that
// can be retried, because it is idempotent and a guard may have retry budget left, may go
// over an excluded path or to an ejected instance. Any request for which eligibleForTrial
// holds may go to an instance whose guard asks for a trial.
func (st *serviceState) pickTrial(now time.Time, req *request, tried []*target, rng *rand.Rand, p *paths) (*target, string) {
	candidates := &st.candidates
	if len(tried) > 0 {
		return nil, ""
	}
	retryable := req.idempotent && st.retryBudgetLeft(now)
	if retryable {
		for _, i := range candidates.excluded {
			if p.tryAcquireTrial(now, st.targets[i].Host.Name) {
				return st.targets[i], whyPath
			}
		}
	}
	if t := st.trialCandidate(now, req.idempotent, retryable, rng, p); t != nil {
		t.observed.load.WantsTrial = false
		return t, whyTrial
	}
	share := trialShare * float64(len(candidates.ejected)) / float64(max(len(st.targets), 1))
	if !retryable || len(candidates.ejected) == 0 || rng.Float64() >= share {
		return nil, ""
	}
	return st.targets[candidates.ejected[rng.IntN(len(candidates.ejected))]], whyTrial
}

const (
	// trialFailureEstimateMax is the failure estimate up to which a request that cannot be
	// retried may be used for a trial. The failure estimate is the probability that the
	// instance is in the state in which it fails most requests, called sick in package
	// chance. It is read with SickForSelection, which limits its rise while there are no new
	// outcomes, so that an instance is not avoided for lack of them. The probability that
	// one request is lost is derived from it, see failureChance.
	trialFailureEstimateMax = 0.1
	// trialWaitNonIdempotent is how long a guard must have asked for a trial before a
	// non-idempotent request may be used, so that idempotent ones are used first.
	trialWaitNonIdempotent = 300 * time.Millisecond
	// wantsTrialMaxAge is how long a load report that asks for a trial is valid. A guard
	// that still wants one has sent another report by then.
	wantsTrialMaxAge = 300 * time.Millisecond
	// trialEstimateJitter is the random part added to failure estimates when choosing a
	// trial target, so that fronts with the same information do not all choose the same
	// one.
	trialEstimateJitter = 0.2
)

// trialCandidate returns a target whose guard asks for a trial, or nil. It prefers the
// target with the lowest failure estimate, because trials are few: failing instances ask as
// well, and a trial sent there is probably lost. retryable says that the request can be
// retried if the trial fails. A guard asks only a few fronts, and each sends one request for
// each load report that asks.
func (st *serviceState) trialCandidate(now time.Time, idempotent, retryable bool, rng *rand.Rand, p *paths) *target {
	var best *target
	lowest := 0.0
	for _, t := range st.targets {
		if !t.observed.wantsTrial(now) || !t.Usable() || !p.reachable(t.Host.Name) || !t.observed.eligibleForTrial(now, idempotent, retryable) || t.unansweredLoss(now, "") > 0 {
			continue
		}
		estimate := t.observed.failureEstimate.SickForSelection(now, failureModel) + trialEstimateJitter*rng.Float64()
		if best == nil || estimate < lowest {
			best, lowest = t, estimate
		}
	}
	return best
}

// wantsTrial reports whether the guard is known to want a trial request. Old information
// does not count: the guard may have got its request since and told other fronts so.
func (o *observations) wantsTrial(now time.Time) bool {
	return o.load.WantsTrial && now.Sub(o.loadAt) <= wantsTrialMaxAge
}

// eligibleForTrial reports whether a request may be used for a trial of this instance. A
// retryable request may go to any instance, another one only to an instance that is unlikely
// to fail it. A non-idempotent request may go there only if the guard has asked for at least
// trialWaitNonIdempotent.
func (o *observations) eligibleForTrial(now time.Time, idempotent, retryable bool) bool {
	if retryable {
		return true
	}
	if o.failureEstimate.SickForSelection(now, failureModel) > trialFailureEstimateMax {
		return false
	}
	return idempotent || now.Sub(o.trialWantedAt) >= trialWaitNonIdempotent
}

// eligibleFor returns the indexes of the targets that a request may use, in all data centres
// and in this one. allowFinishing permits finishing targets for short requests. The caller
// must hold st.mu.
func (st *serviceState) eligibleFor(now time.Time, req *request, tried []*target, usesRetryBudget, allowFinishing bool) (eligible, local []int) {
	eligible, local = st.candidates.eligible, st.candidates.local
	if st.candidates.finishing && allowFinishing && st.isShort(req) {
		eligible, local = st.candidates.short, st.candidates.localShort
	}
	if len(tried) > 0 {
		eligible, local = st.untried(eligible, tried), st.untried(local, tried)
	}
	if usesRetryBudget {
		withBudget := func(t *target) bool { return t.observed.mayGrantRetry(now) }
		eligible, local = st.filter(eligible, withBudget), st.filter(local, withBudget)
	}
	return eligible, local
}

// maxShortServiceTime is the expected service time up to which a request counts as short. A
// finishing instance has some seconds left and needs a margin, so that it would refuse longer
// requests most of the time.
const maxShortServiceTime = 500 * time.Millisecond

// isShort reports whether a request may be sent to finishing targets. The caller must hold
// st.mu.
func (st *serviceState) isShort(req *request) bool {
	return req.idempotent && req.idempotencyKey == "" && st.expectedServiceTimeLocked(req) <= maxShortServiceTime
}

// usualSample is the number of sampled targets up to which a choice needs no memory for
// their description.
const usualSample = 16

// pickEligible picks the sampled target with the lowest cost. Targets that became unusable
// since the sample was drawn are left out. The caller must hold st.mu.
func (st *serviceState) pickEligible(now time.Time, req *request, sampled, tried []*target, rng *rand.Rand, p *paths, cfg Config) *target {
	typical, remoteTypical := st.typicalLoads(now, req)
	expected, weights := st.expectedServiceTimeLocked(req), req.costWeights(now, st.retryChance(now, req, tried))
	usable := slices.DeleteFunc(slices.Clone(sampled), func(t *target) bool {
		return !t.Usable() && !(t.UsableForShort() && st.isShort(req)) || !p.reachable(t.Host.Name) || wasTried(tried, t)
	})
	all, candidates := make([]int, len(usable)), make([]balance.Candidate, 0, usualSample)
	for i := range all {
		all[i] = i
		candidates = append(candidates, usable[i].candidate(now, req, expected, typical, p, cfg))
	}
	if cfg.areas != nil {
		all = st.applyDistances(now, req, usable, candidates, all, remoteTypical, len(tried) == 0, cfg.areas)
	}
	i := balance.Pick(rng, all, func(k int) float64 { return balance.Cost(candidates[k], weights) })
	if i < 0 {
		return nil
	}
	return usable[i]
}

// retryChance is the probability that the request can be retried if its next attempt fails.
// It is taken as 0 after the first attempt: a further retry is not counted on. The caller
// must hold st.mu.
func (st *serviceState) retryChance(now time.Time, req *request, tried []*target) float64 {
	if !req.idempotent || len(tried) > 0 {
		return 0
	}
	return st.retryBudgetChance(now)
}

// pickFallback returns an ejected target that accepts requests, or else any other that does:
// one whose path is excluded, or, for a request suspected of crashing instances, also one in
// candidates.eligible. Trying such a target is better than refusing the request.
func (st *serviceState) pickFallback(tried []*target) *target {
	for _, i := range st.untried(st.candidates.ejected, tried) {
		if st.targets[i].Usable() {
			return st.targets[i]
		}
	}
	for _, t := range st.targets {
		if t.Usable() && !wasTried(tried, t) {
			return t
		}
	}
	return nil
}

// localPositions returns the positions in eligible of the targets in local, those in this data
// centre. Both lists hold ascending indexes.
func localPositions(eligible, local []int) []int {
	out := make([]int, 0, len(local))
	j := 0
	for k, i := range eligible {
		if j < len(local) && local[j] == i {
			out = append(out, k)
			j++
		}
	}
	return out
}

func (st *serviceState) untried(list []int, tried []*target) []int {
	return st.filter(list, func(t *target) bool { return !wasTried(tried, t) })
}

// filter returns the indexes in list whose targets satisfy keep.
func (st *serviceState) filter(list []int, keep func(*target) bool) []int {
	out := make([]int, 0, len(list))
	for _, i := range list {
		if keep(st.targets[i]) {
			out = append(out, i)
		}
	}
	return out
}

// wasTried reports whether t is the instance of one of the tried targets. Each new
// directory.Directory creates new targets; their observations are kept and so identify the
// instance.
func wasTried(tried []*target, t *target) bool {
	for _, other := range tried {
		if other.observed == t.observed {
			return true
		}
	}
	return false
}

// release removes a request from its target's pending count.
func (st *serviceState) release(t *target) {
	st.mu.Lock()
	defer st.mu.Unlock()
	t.observed.pending--
}
