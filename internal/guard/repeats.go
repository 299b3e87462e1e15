package guard

import (
	"sync"
	"time"

	"github.com/radishhoist/radishhoist/internal/core/directory"
	"github.com/radishhoist/radishhoist/internal/core/retry"
	"github.com/radishhoist/radishhoist/internal/msg"
)

const (
	// budgetPart is the part of the retry budget that guards let through. The
	// rest covers what no guard can know or hold back: calls that repeated runs still
	// make, which come unevenly to the guards, and hosts that join.
	budgetPart = 0.8
	// keepForFirst is the part of the allowance that hedges and repeats beyond
	// their objective leave to those that still save an answer in time.
	keepForFirst = 0.5
	// overdrawnFor is for how long a host makes no repeats after a call of its
	// runs has found none left: about as long as a run with its calls takes.
	overdrawnFor = time.Second
	// shrinkWindows is for how many windows a service counts as kept by as many
	// guards as before after some have gone: these may have spent their part.
	shrinkWindows = 2
)

// repeats keeps this host's part of the services' retry budgets.
//
// The guards keep them, not the fronts, because a service has few guards and a
// fleet has many fronts: divided among these, a part would be too small to use.
type repeats struct {
	mu        sync.Mutex
	byService map[string]*keeper
	// running counts the runs under way on this host, repeatable those of work
	// that may be repeated, and parts what these count for as repeats.
	running    int
	repeatable int
	parts      int
	// overdrawnAt is when a call of this host's runs last found no repeat left at
	// the service that it went to.
	overdrawnAt time.Time
}

// keeper is the budget of one service.
type keeper struct {
	budget *retry.Budget
	// origins tells which routes to the service are calls.
	origins *retry.Origins
	share   float64
	// guards is among how many the reserve is divided. fewer is how many there
	// are since then, where some have gone.
	guards int
	fewer  int
	since  time.Time
}

func newRepeats() *repeats { return &repeats{byService: make(map[string]*keeper)} }

// apply fits the budgets to a new directory.
func (r *repeats) apply(now time.Time, d *directory.Directory, l Limits) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for name := range r.byService {
		if _, ok := d.Services[name]; !ok {
			delete(r.byService, name)
		}
	}
	for name, s := range d.Services {
		k, ok := r.byService[name]
		if !ok {
			k = &keeper{budget: retry.NewBudget(now, retry.Limits{}), origins: retry.NewOrigins()}
			r.byService[name] = k
		}
		k.share = s.Record.RetryShare()
		k.count(now, s.Hosts, shrinkWindows*l.RetryWindow)
		k.limit(l)
	}
}

// setLimits takes changed limits.
func (r *repeats) setLimits(l Limits) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, k := range r.byService {
		k.limit(l)
	}
}

// count takes how many guards the service has. Fewer than before count once they
// have stayed so few for a time.
func (k *keeper) count(now time.Time, guards int, hold time.Duration) {
	switch {
	case guards >= k.guards:
		k.guards, k.fewer = guards, guards
	case guards != k.fewer:
		k.fewer, k.since = guards, now
	case now.Sub(k.since) > hold:
		k.guards = guards
	}
}

func (k *keeper) limit(l Limits) {
	k.budget.SetLimits(retry.Limits{
		Share:   budgetPart * k.share,
		Reserve: budgetPart * l.RetryReserve / float64(max(k.guards, 1)),
		Window:  l.RetryWindow,
	})
}

// hold sets a repeat aside for a request that is about to be admitted.
func (r *repeats) hold(now time.Time, service string, aim msg.AdmissionHints) bool {
	keep := 0.0
	if aim.Hedge || aim.ObjectiveMS > 0 && aim.UsedMS >= aim.ObjectiveMS {
		keep = keepForFirst
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	k, ok := r.byService[service]
	return ok && now.Sub(r.overdrawnAt) > overdrawnFor && k.budget.Hold(now, keep)
}

// PauseRetries notes that a call that may be one of a repeated run of this host has
// found no repeat left. Such calls cannot be refused, so that the host makes no
// repeats for a while.
func (g *Guard) PauseRetries(now time.Time) {
	g.repeats.mu.Lock()
	defer g.repeats.mu.Unlock()
	g.repeats.overdrawnAt = now
}

// release gives back a repeat that was held.
func (r *repeats) release(service string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if k, ok := r.byService[service]; ok {
		k.budget.Release()
	}
}

// sent is one run under way.
type sent struct {
	// part is what it counts for as a repeat, in thousandths.
	part uint16
	// repeatable says that it is work that may be repeated, or a repeat.
	repeatable bool
}

// begin records that a request is sent to an instance. What was held is used.
// Any other send counts as fresh, and where its route is one of calls as much for
// a repeat as its front says.
func (r *repeats) begin(now time.Time, service string, held, idempotent bool, aim msg.AdmissionHints) sent {
	r.mu.Lock()
	defer r.mu.Unlock()
	var run sent
	k, ok := r.byService[service]
	switch {
	case !ok:
	case held:
		run.part = msg.Thousandths
		k.budget.UseHeld(now)
	default:
		run.part = k.fresh(now, aim)
	}
	run.repeatable = idempotent || held
	r.count(run, 1)
	return run
}

// fresh records a first send, and gives what it counts for as a repeat, in thousandths.
func (k *keeper) fresh(now time.Time, aim msg.AdmissionHints) uint16 {
	k.origins.Observe(now, aim.Route, aim.OriginIdle)
	if k.origins.IsCallerRoute(aim.Route) {
		k.budget.AddRequest(now, 0)
		return 0
	}
	part := min(aim.NestedRetryChance, msg.Thousandths)
	if k.origins.IsCallRoute(aim.Route) {
		k.budget.AddCall(now, float64(part)/msg.Thousandths)
	} else {
		k.budget.AddRequest(now, float64(part)/msg.Thousandths)
	}
	return part
}

// end takes a run off the count.
func (r *repeats) end(run sent) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.count(run, -1)
}

// count adds a run to the counts, or with -1 takes it off. The caller holds the
// lock.
func (r *repeats) count(run sent, n int) {
	r.running += n
	if run.repeatable {
		r.repeatable += n
		r.parts += n * int(run.part)
	}
}

// left is how many repeats this host's part of a service's budget has now.
func (r *repeats) left(now time.Time, service string) uint16 {
	r.mu.Lock()
	defer r.mu.Unlock()
	k, ok := r.byService[service]
	if !ok {
		return 0
	}
	return uint16(min(k.budget.Available(now), 1<<16-1))
}

// CallOrigin tells of a request that begins on this host now. callPart is the chance
// that it is a call of a repeated run, in thousandths, if it is a call at all:
// such calls are repeats at the services that they go to, and nothing tells which
// run has made one. idle says that nothing runs here. The chance is
// the share of repeats among the runs of work that may be repeated: other work that
// runs on the same host would make it look smaller.
func (g *Guard) CallOrigin() (callPart uint16, idle bool) {
	r := g.repeats
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.repeatable > 0 {
		callPart = uint16(r.parts / r.repeatable)
	}
	return callPart, r.running == 0
}
