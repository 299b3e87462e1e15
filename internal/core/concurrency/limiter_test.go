package concurrency

import (
	"cmp"
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/radishhoist/radishhoist/internal/core/admit"
)

var (
	seeds  = flag.Uint64("seeds", 2, "seeds for each case")
	length = flag.Duration("length", 2*time.Minute, "length of each case")
	slots  = flag.Int("slots", 11, "slots of the instance")
	grid   = flag.Bool("grid", false, "combine all spreads with all loads")
)

const (
	objective = 3 * time.Second
	warmUp    = 10 * time.Second
	tick      = 5 * time.Millisecond
)

// instanceModel is an instance whose requests slow down with the slots in use: with steep only
// above three quarters of them, otherwise with their square. atStart fixes the speed of a request
// when it starts; otherwise it follows the running requests. load is the mean demand relative to
// the best goodput; it varies by 55 % with a period of 17 s.
type instanceModel struct {
	slowdown, sigma, load                float64
	steep, atStart, failing, cold, drift bool
}

func (m instanceModel) factor(running int) float64 {
	use := float64(running) / float64(*slots)
	if m.steep {
		return 1 + m.slowdown*max(use-0.75, 0)/0.25
	}
	return 1 + m.slowdown*use*use
}

func (m instanceModel) goodput(running int) float64 { return float64(running) / m.factor(running) }

func (m instanceModel) bestLimit() int {
	best := *slots
	for k := *slots - 1; k >= *slots/2; k-- {
		if m.goodput(k) > m.goodput(best) {
			best = k
		}
	}
	return best
}

type run struct {
	id                            admit.ID
	arrived, started              time.Time
	expected                      time.Duration
	remaining, slowdown, progress float64
	fails                         bool
}

// outcome counts requests. limited is the share of the time in which the limit was below the
// slots.
type outcome struct{ sent, served, inTime, limited float64 }

// simulate plays the instance behind a real queue whose slots are fixed or, with 0, limited by a
// Limiter.
func simulate(m instanceModel, seed uint64, fixedSlots int) (out outcome) {
	rng := rand.New(rand.NewPCG(seed, 41))
	q := admit.NewQueue(admit.Config{Slots: cmp.Or(fixedSlots, *slots), QueuePerSlot: 4, GrantTTL: time.Second})
	limiter, base := New(*slots), time.Unix(1000, 0)
	limit, waiting, running := *slots, map[admit.ID]*run{}, []*run(nil)
	var apply func(now time.Time, ds []admit.Decision)
	apply = func(now time.Time, ds []admit.Decision) {
		for _, d := range ds {
			switch d.Action {
			case admit.Start:
				r := waiting[d.ID]
				running, r.id, r.started = append(running, r), d.ID, now
				limiter.Begin()
				r.slowdown = m.factor(len(running))
				fallthrough
			case admit.Refuse:
				delete(waiting, d.ID)
			}
		}
		if next := limiter.Limit(now, q.Queued() > 0 && fixedSlots == 0 && (!m.cold || now.Sub(base) > warmUp)); next != limit {
			limit = next
			apply(now, q.SetSlots(now, limit))
		}
	}
	next, id := base, admit.ID(0)
	for now := base; now.Sub(base) < *length; now = now.Add(tick) {
		since := now.Sub(base).Seconds()
		speed := 1.0
		if m.cold {
			speed = min(1, 0.3+0.7*since/warmUp.Seconds())
		}
		if m.drift {
			speed /= 1 + max(0, math.Sin(2*math.Pi*since/17))
		}
		for _, r := range slices.Clone(running) {
			slowdown := r.slowdown
			if !m.atStart {
				slowdown = m.factor(len(running))
			}
			r.progress += tick.Seconds() * speed / slowdown
			if r.progress < r.remaining {
				continue
			}
			running = slices.DeleteFunc(running, func(other *run) bool { return other == r })
			service := now.Sub(r.started)
			limiter.End(now, r.expected, service, !r.fails)
			if r.fails {
				service = 0
			} else {
				out.served++
				if now.Sub(r.arrived) <= objective {
					out.inTime++
				}
			}
			apply(now, q.Done(now, r.id, service))
		}
		for !next.After(now) {
			id++
			out.sent++
			expected := 150 * time.Millisecond
			if rng.IntN(2) == 0 {
				expected = 620 * time.Millisecond
			}
			r := &run{arrived: now, expected: expected, remaining: expected.Seconds() * math.Exp(m.sigma*rng.NormFloat64()-m.sigma*m.sigma/2)}
			if fails := rng.Float64() < 0.75; m.failing && math.Mod(since, 30) > 21 && fails {
				r.fails, r.remaining = true, tick.Seconds()
			}
			waiting[id] = r
			apply(now, q.Offer(now, admit.Request{ID: id, Objective: now.Add(objective), Deadline: now.Add(15 * time.Second), ExpectedServiceTime: expected, AllowLate: true}))
			rate := m.load * m.goodput(m.bestLimit()) / 0.385 * (1 + 0.55*math.Sin(2*math.Pi*since/17))
			next = next.Add(time.Duration(rng.ExpFloat64() / rate * float64(time.Second)))
		}
		apply(now, q.Tick(now))
		if limit < *slots {
			out.limited += float64(tick) / float64(*length)
		}
	}
	return out
}

// Guards against a limit that costs goodput: one on an instance whose last slots are worth using
// (noise of the service times, a cold start or failing turns taken for a slowdown), or none where
// they cost more than they gain.
func TestLimitFollowsGoodput(t *testing.T) {
	for _, sigma := range []float64{0.5, 0.8} {
		for _, load := range []float64{0.9, 1.2} {
			if !*grid && (sigma == 0.5) != (load == 0.9) {
				continue
			}
			for _, m := range []instanceModel{
				{}, {failing: true}, {cold: true}, {drift: true},
				{slowdown: 1}, {slowdown: 2}, {slowdown: 1, steep: true}, {slowdown: 2, steep: true},
				{slowdown: 2, steep: true, atStart: true}, {slowdown: 2, steep: true, failing: true}, {slowdown: 2, steep: true, cold: true},
			} {
				m.sigma, m.load = sigma, load
				t.Run(fmt.Sprintf("%+v", m), func(t *testing.T) {
					t.Parallel()
					var served, inTime [3]float64 // without a limit, with the learned one, with the best one
					var gains []float64
					limited := 0.0
					for seed := range *seeds {
						for i, fixed := range []int{*slots, 0, m.bestLimit()} {
							if i == 2 && fixed == *slots {
								served[2], inTime[2] = served[0], inTime[0]
								continue
							}
							o := simulate(m, seed, fixed)
							served[i] += o.served / o.sent / float64(*seeds)
							inTime[i] += o.inTime / o.sent / float64(*seeds)
							limited += o.limited / float64(*seeds)
							if i == 0 {
								gains = append(gains, -o.inTime/o.sent)
							} else if i == 1 {
								gains[seed] += o.inTime / o.sent
							}
						}
					}
					mean, variance := inTime[1]-inTime[0], 0.0
					for _, g := range gains {
						variance += (g - mean) * (g - mean) / float64(*seeds-1)
					}
					noise := math.Sqrt(variance / float64(*seeds))
					t.Logf("served %.3f, in time %.3f (none, learned, best limit %d), gain %.3f +- %.3f, limited %.3f", served, inTime, m.bestLimit(), mean, noise, limited)
					switch {
					case m.slowdown == 0:
						assert.Assert(t, limited <= 0.02 && served[1] >= 0.99*served[0])
					case m.slowdown == 2 && m.steep:
						assert.Assert(t, mean > 3*noise && mean > 0.5*(inTime[2]-inTime[0]))
					default:
						assert.Assert(t, served[1] >= 0.98*served[0])
					}
				})
			}
		}
	}
}

// The work for one request: its start, its end and two decisions.
func BenchmarkRequest(b *testing.B) {
	l, now := New(11), time.Unix(1000, 0)
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(50 * time.Millisecond)
		l.Begin()
		l.Limit(now, true)
		l.End(now, time.Second, time.Second, true)
		l.Limit(now, true)
	}
}
