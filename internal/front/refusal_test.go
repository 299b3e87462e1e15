package front

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/radishhoist/radishhoist/internal/core/chance"
	"github.com/radishhoist/radishhoist/internal/core/refusal"
	"github.com/radishhoist/radishhoist/internal/core/retry"
	"github.com/radishhoist/radishhoist/internal/msg"
	"github.com/radishhoist/radishhoist/verdict"
)

const (
	modelFronts      = 8
	modelSlots       = 8
	modelServiceTime = 600 * time.Millisecond
)

// modelGuard is the guard of one instance, with the real retry budget and shed share.
type modelGuard struct {
	budget            *retry.Budget
	shed              chance.DecayingShare
	refuses           float64
	running, arrivals int
}

// modelFront is a real front, with a request that holds the state of the service.
type modelFront struct {
	*Front
	model    *modelService
	template *request
}

// modelService is a service whose requests go through several real fronts, in virtual time.
type modelService struct {
	mu          sync.Mutex
	rng         *rand.Rand
	fronts      []*modelFront
	guards      map[string]*modelGuard
	loseReplies bool
	// asked counts the guards asked for a retry, granted the retries granted. maxAsked is the
	// most that one request asked, maxRetryAfter the longest Retry-After.
	asked, granted, served, failed, maxAsked int
	maxRetryAfter                            int64
}

// newModelService returns a service with n instances, of which the first ones refuse 55 %.
func newModelService(seed uint64, n, refusing int, learn bool) *modelService {
	m := &modelService{guards: make(map[string]*modelGuard), rng: rand.New(rand.NewPCG(seed, 2))}
	for range modelFronts {
		f, req, _ := newQueryingFront(n)
		f.cfg.LearnRefusals, f.counts = learn, newCounters()
		req.state.latencies = map[string]*latency{"": {mean: modelServiceTime}}
		if learn {
			req.state.refusals = &serviceRefusals{}
		}
		for i, t := range req.state.targets {
			t.observed.refusals, t.Slots = req.state.refusals, modelSlots
			g := &modelGuard{budget: retry.NewBudget(time.Now().Add(-time.Minute), retry.Limits{Share: 0.16, Reserve: 3.2, Window: 10 * time.Second})}
			if i < refusing {
				g.refuses = 0.55
			}
			m.guards[t.Host.PeerAddr] = g
		}
		front := &modelFront{f, m, req}
		f.SetLoadQuerier(front)
		m.fronts = append(m.fronts, front)
	}
	return m
}

// load must be called with the model's lock held.
func (g *modelGuard) load(now time.Time) msg.Load {
	return msg.Load{Slots: modelSlots, Running: uint32(g.running), ShedShare: uint16(g.shed.At(now) * msg.Thousandths), RetryBudgetLeft: uint16(g.budget.Available(now))}
}

// SendLoadQuery implements LoadQuerier.
func (f *modelFront) SendLoadQuery(address string, q *msg.LoadQuery) {
	time.AfterFunc(500*time.Microsecond, func() {
		f.model.mu.Lock()
		load, lost := f.model.guards[address].load(time.Now()), f.model.loseReplies
		f.model.mu.Unlock()
		if !lost {
			f.HandleLoadReply(&msg.LoadReply{ID: q.ID, Index: q.Index, Load: load})
		}
	})
}

// attempt runs one attempt at its guard.
func (m *modelService) attempt(p pick) *outcome {
	time.Sleep(500 * time.Microsecond)
	now, g := time.Now(), m.guards[p.target.Host.PeerAddr]
	m.mu.Lock()
	defer m.mu.Unlock()
	switch {
	case !p.options.usesRetryBudget:
		g.budget.AddRequest(now, 0)
	case !g.budget.Take(now):
		wait, _ := g.budget.Wait(now, 0)
		fail := verdict.New(verdict.NotRun, verdict.ReasonRetryBudget, "")
		fail.RetryAfterMS = wait.Milliseconds()
		return &outcome{fail: fail, load: g.load(now)}
	default:
		m.granted++
	}
	g.arrivals++
	refused := m.rng.Float64() < g.refuses
	if refused {
		g.shed.Observe(now, true)
		return &outcome{fail: verdict.New(verdict.NotRun, verdict.ReasonTargetShed, ""), load: g.load(now)}
	}
	g.running++
	m.mu.Unlock()
	time.Sleep(modelServiceTime)
	m.mu.Lock()
	g.running--
	g.shed.Observe(time.Now(), false)
	return &outcome{load: g.load(time.Now())}
}

// request runs one request that is not idempotent, as runNonIdempotent does.
func (m *modelService) request() {
	req := newRequest(1, 2500*time.Millisecond, time.Now())
	m.mu.Lock()
	front := m.fronts[m.rng.IntN(len(m.fronts))]
	e := &execution{front: front.Front, req: req, rng: rand.New(rand.NewPCG(m.rng.Uint64(), 1))}
	m.mu.Unlock()
	req.service, req.state = front.template.service, front.template.state
	served := false
	for !served {
		p, ok := e.nextPick(e.sampleCandidates(context.Background(), false), false)
		if !ok {
			break
		}
		o := m.attempt(p)
		req.state.observe(req, p.target, o)
		req.state.release(p.target)
		if served = o.fail == nil; served {
			break
		}
		if o.fail.Reason == verdict.ReasonRetryBudget {
			e.recordBudgetRefusal(p, o.fail)
		}
		e.addFailure(o.fail)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.asked, m.maxAsked = m.asked+e.guardsAsked, max(m.maxAsked, e.guardsAsked)
	if served {
		m.served++
		return
	}
	m.failed++
	m.maxRetryAfter = max(m.maxRetryAfter, e.combinedFailure().RetryAfterMS)
}

// run sends requests at random times, 60 a second, and waits for their ends.
func (m *modelService) run(length time.Duration) {
	var wg sync.WaitGroup
	for end := time.Now().Add(length); time.Now().Before(end); {
		m.mu.Lock()
		gap := time.Duration(m.rng.ExpFloat64() * float64(time.Second) / 60)
		m.mu.Unlock()
		time.Sleep(gap)
		wg.Go(m.request)
	}
	wg.Wait()
}

// arrivals returns those at the first n instances, and the most at any instance relative to
// the mean.
func (m *modelService) arrivals(n int) (atFirst int, spread float64) {
	most, sum := 0, 0
	for i, t := range m.fronts[0].template.state.targets {
		arrivals := m.guards[t.Host.PeerAddr].arrivals
		if i < n {
			atFirst += arrivals
		}
		most, sum = max(most, arrivals), sum+arrivals
	}
	return atFirst, float64(most*len(m.guards)) / float64(sum)
}

// Guards against the overload of a few instances when all of a service refuse, and against
// requests to one that refuses alone.
func TestRefusingInstancesAreJudgedByComparison(t *testing.T) {
	run := func(refusing int, learn bool) (m *modelService, atRefusing int, spread float64) {
		synctest.Test(t, func(*testing.T) {
			m = newModelService(1, 10, refusing, learn)
			m.run(8500 * time.Millisecond)
		})
		atRefusing, spread = m.arrivals(refusing)
		return m, atRefusing, spread
	}
	_, _, calm := run(0, true)
	_, _, all := run(10, true)
	_, _, before := run(10, false)
	t.Logf("arrivals at the busiest of ten instances: %.2f of the mean in calm times, %.2f when all refuse, %.2f without LearnRefusals", calm, all, before)
	assert.Assert(t, all <= calm+0.15)
	for _, refusing := range []int{1, 5} {
		m, atRefusing, _ := run(refusing, true)
		b, atRefusingBefore, _ := run(refusing, false)
		t.Logf("%d of ten refuse: served %d, failed %d, arrivals there %d; without LearnRefusals %d, %d, %d", refusing, m.served, m.failed, atRefusing, b.served, b.failed, atRefusingBefore)
		assert.Assert(t, 20*atRefusing < (m.served+m.failed)*refusing, "half of an equal share")
		assert.Assert(t, m.failed <= b.failed+10)
	}
}

// Guards against questions in vain once the budget is spent: at most three guards are asked,
// also where replies are lost or a guard has restarted, and the response says when there is
// budget again. About as many retries are granted as without LearnRefusals.
func TestSpentRetryBudgetIsNotAskedFor(t *testing.T) {
	for name, setUp := range map[string]func(*modelService){
		"budget spent": func(*modelService) {},
		"replies lost": func(m *modelService) { m.loseReplies = true },
		"guard restarted": func(m *modelService) {
			// It has no reserve in its first window, and nothing is known of it.
			m.guards["h0"].budget = retry.NewBudget(time.Now(), retry.Limits{Share: 0.16, Window: 10 * time.Second})
		},
	} {
		t.Run(name, func(t *testing.T) {
			var runs []*modelService
			for _, learn := range []bool{false, true} {
				synctest.Test(t, func(*testing.T) {
					m := newModelService(3, 20, 20, learn)
					setUp(m)
					m.run(20 * time.Second)
					t.Logf("learn refusals %v: served %d, failed %d, granted %d, asked %.2f per request, at most %d, Retry-After up to %d ms", learn, m.served, m.failed, m.granted, float64(m.asked)/float64(m.served+m.failed), m.maxAsked, m.maxRetryAfter)
					runs = append(runs, m)
				})
			}
			before, m := runs[0], runs[1]
			assert.Assert(t, m.maxAsked <= refusal.MaxGuardsAsked)
			assert.Assert(t, m.maxRetryAfter <= refusal.MaxWait.Milliseconds())
			assert.Assert(t, m.asked <= before.asked)
			assert.Assert(t, m.granted >= before.granted*9/10)
		})
	}
}

// Without LearnRefusals, instances, guards and Retry-After are judged as they always were.
func TestWithoutLearnRefusalsDecisionsAreUnchanged(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		front, now := newModelService(1, 3, 0, false).fronts[0], time.Now()
		exec := &execution{front: front.Front, req: front.template, reachedInstance: true, guardsAsked: rapid.IntRange(0, 9).Draw(t, "asked")}
		targets := front.template.state.targets
		for _, target := range targets {
			o, age := target.observed, time.Duration(rapid.IntRange(0, 3000).Draw(t, "ageMS"))*time.Millisecond
			o.updateLoad(now.Add(-age), msg.Load{Slots: 4, ShedShare: uint16(rapid.IntRange(0, 1000).Draw(t, "shed")), RetryBudgetLeft: uint16(rapid.IntRange(0, 1).Draw(t, "left"))})
			assert.Equal(t, o.failureChance(now), 1-(1-o.failureEstimate.FailureProbability(now, failureModel))*(1-refusalFailureWeight*o.shedShare.At(now)))
			assert.Equal(t, o.mayGrantRetry(now), o.load.RetryBudgetLeft > 0 || age > loadMaxAge)
			assert.Assert(t, !o.queryBeforeRetry(now))
		}
		assert.Equal(t, len(exec.askable(targets, attemptOptions{usesRetryBudget: true})), len(targets))
		assert.Assert(t, !exec.attemptsExhausted())
		budgetRefusal := verdict.New(verdict.NotRun, verdict.ReasonRetryBudget, "")
		exec.recordBudgetRefusal(pick{target: targets[0]}, budgetRefusal)
		exec.failures = []*verdict.Error{verdict.New(verdict.NotRun, verdict.ReasonTargetShed, ""), budgetRefusal}
		assert.Equal(t, exec.combinedFailure().RetryAfterMS, defaultRetryAfter.Milliseconds())
	})
}

// BenchmarkChoice measures one choice among 50 instances with and without LearnRefusals.
func BenchmarkChoiceWithRefusals(b *testing.B) {
	for _, learn := range []bool{false, true} {
		b.Run(fmt.Sprint("learn=", learn), func(b *testing.B) {
			front := newModelService(1, 50, 0, learn).fronts[0]
			st, rng := front.template.state, rand.New(rand.NewPCG(1, 2))
			for _, t := range st.targets {
				t.observed.updateLoad(time.Now(), msg.Load{Slots: modelSlots, ShedShare: uint16(rng.IntN(600)), RetryBudgetLeft: 1})
			}
			b.ReportAllocs()
			for b.Loop() {
				p, _ := front.choose(front.template, st.targets[:12], nil, false, rng)
				st.release(p.target)
			}
		})
	}
}
