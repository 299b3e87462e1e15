package front

import (
	"math/rand/v2"
	"time"

	"github.com/radishhoist/radishhoist/internal/core/balance"
	"github.com/radishhoist/radishhoist/internal/msg"
)

// trialShare is the share of a healthy instance's requests that an instance
// that is left out still gets, so that it can show it is well again. Only
// idempotent requests are used, and they are hedged like any other.
const trialShare = 0.05

// pick is a chosen target.
type pick struct {
	target *target
	// sample is to ride on the request.
	sample msg.Sample
	// step is what the log tells of the choice.
	step step
	// as is what the attempt asks of the guard.
	as sending
}

// choose picks a target that was not tried yet and counts the request as
// under way there. repeat says that the request may have arrived somewhere
// before: then only guards are asked that may have a repeat left. false means
// that no target is left.
func (f *Front) choose(req *request, tried []*target, repeat bool, rng *rand.Rand) (pick, bool) {
	st := req.state
	now := time.Now()
	st.mu.Lock()
	defer st.mu.Unlock()
	if now.Sub(st.choice.at) > rechooseAfter {
		st.rechoose(now, req.service, f.paths, f.cfg)
	}
	var t *target
	var why string
	if v := f.guard.CrashAssessment(req.print); v.Crashes > 0 {
		t, why = st.pickForSuspect(now, req.print, &v, tried, repeat), whySuspect
	} else if t, why = st.pickTrial(now, req, tried, rng, f.paths); t == nil {
		t, why = st.pickUsable(now, req, tried, repeat, rng, f.paths, f.cfg), whyCost
	}
	if t == nil && !repeat {
		t, why = st.pickAny(tried), whyLeftOut
	}
	if t == nil {
		return pick{}, false
	}
	t.seen.pending++
	return pick{target: t, sample: st.takeSample(now, t.hash), step: st.belief(now, t, why)}, true
}

// pickTrial sends an idempotent request now and then over a path that is left
// out, to an instance whose guard asks for a trial, and to one that is left out.
func (st *serviceState) pickTrial(now time.Time, req *request, tried []*target, rng *rand.Rand, p *paths) (*target, string) {
	c := &st.choice
	if len(tried) > 0 {
		return nil, ""
	}
	paid := req.idempotent && st.mayRepeat(now)
	if paid {
		for _, i := range c.cut {
			if p.trial(now, st.targets[i].Host.Name) {
				return st.targets[i], whyPath
			}
		}
	}
	if t := st.wanting(now, req.idempotent, paid, rng, p); t != nil {
		t.seen.load.WantsTrial = false
		return t, whyTrial
	}
	share := trialShare * float64(len(c.out)) / float64(max(len(st.targets), 1))
	if !paid || len(c.out) == 0 || rng.Float64() >= share {
		return nil, ""
	}
	return st.targets[c.out[rng.IntN(len(c.out))]], whyTrial
}

const (
	// wellKnown is the estimate up to which a trial is no risk to speak of: a
	// request goes there that could not be sent again.
	wellKnown = 0.1
	// wantsLong is how long a guard has asked for a trial before one may be made
	// with work that cannot be repeated: requests that can are sent first.
	wantsLong = 300 * time.Millisecond
	// wishLife is how long a guard's wish counts: by then it has asked again if it
	// still has it.
	wishLife = 300 * time.Millisecond
	// trialSpread blurs the estimates among which a trial is chosen, so that fronts
	// which know the same do not all try one.
	trialSpread = 0.2
)

// wanting finds a target whose guard would like a trial, nil for none: the one that
// is likeliest well, because trials are few and sick instances ask for them too.
// paid says that the request could be repeated if it fails there. Few fronts hear of a
// wish, and each sends one request for it.
func (st *serviceState) wanting(now time.Time, idempotent, paid bool, rng *rand.Rand, p *paths) *target {
	var best *target
	least := 0.0
	for _, t := range st.targets {
		if !t.seen.wishes(now) || !t.Usable() || !p.usable(t.Host.Name) || !t.seen.mayTry(now, idempotent, paid) {
			continue
		}
		sick := t.seen.sick.SickForSelection(now, model) + trialSpread*rng.Float64()
		if best == nil || sick < least {
			best, least = t, sick
		}
	}
	return best
}

// wishes says that the guard asks for a request, as far as is known: one that got what it
// asked for may have told others.
func (o *observed) wishes(now time.Time) bool {
	return o.load.WantsTrial && now.Sub(o.loadAt) <= wishLife
}

// mayTry says that a request is fit for a trial: one that can be sent again at any
// instance, one that can not only where it is hardly at risk.
func (o *observed) mayTry(now time.Time, idempotent, paid bool) bool {
	if paid {
		return true
	}
	if o.sick.SickForSelection(now, model) > wellKnown {
		return false
	}
	return idempotent || now.Sub(o.wantsAt) >= wantsLong
}

// pickUsable makes the regular choice.
func (st *serviceState) pickUsable(now time.Time, req *request, tried []*target, repeat bool, rng *rand.Rand, p *paths, cfg Config) *target {
	usable, local := st.choice.usable, st.choice.local
	if len(tried) > 0 {
		usable, local = st.without(usable, tried), st.without(local, tried)
	}
	if repeat {
		paid := func(t *target) bool { return t.seen.mayRepeat(now) }
		usable, local = st.only(usable, paid), st.only(local, paid)
	}
	at := localPositions(usable, local)
	typical := st.typical(now, req)
	expected, stakes := st.expected(req), req.stakes(now, st.again(now, req, tried))
	i := balance.Pick(rng, len(usable), at, func(k int) float64 {
		return balance.Cost(st.targets[usable[k]].candidate(now, req, expected, typical, p, cfg), stakes)
	})
	if i < 0 {
		return nil
	}
	return st.targets[usable[i]]
}

// again is the chance that a request can be sent again where its next attempt fails.
// The caller holds the lock.
func (st *serviceState) again(now time.Time, req *request, tried []*target) float64 {
	if !req.idempotent || len(tried) > 0 {
		return 0
	}
	return st.repeatChance(now)
}

// pickAny falls back to a target that is left out, then to one whose path is
// left out: it beats refusing.
func (st *serviceState) pickAny(tried []*target) *target {
	for _, i := range st.without(st.choice.out, tried) {
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

// localPositions finds the local targets within the usable ones; both lists
// hold ascending indexes.
func localPositions(usable, local []int) []int {
	out := make([]int, 0, len(local))
	j := 0
	for k, i := range usable {
		if j < len(local) && local[j] == i {
			out = append(out, k)
			j++
		}
	}
	return out
}

func (st *serviceState) without(list []int, tried []*target) []int {
	return st.only(list, func(t *target) bool { return !wasTried(tried, t) })
}

// only keeps the targets of a list that fit.
func (st *serviceState) only(list []int, fits func(*target) bool) []int {
	out := make([]int, 0, len(list))
	for _, i := range list {
		if fits(st.targets[i]) {
			out = append(out, i)
		}
	}
	return out
}

func wasTried(tried []*target, t *target) bool {
	for _, other := range tried {
		if other.seen == t.seen {
			return true
		}
	}
	return false
}

// release ends a request's count at its target.
func (st *serviceState) release(t *target) {
	st.mu.Lock()
	defer st.mu.Unlock()
	t.seen.pending--
}
