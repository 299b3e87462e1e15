// Package guard runs the instances on its own host: it is the only way to
// them. It takes their announcements, admits and runs requests, judges the
// instances' health, and drains.
package guard

import (
	"context"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/radishhoist/radishhoist/internal/core/admit"
	"github.com/radishhoist/radishhoist/internal/core/announce"
	"github.com/radishhoist/radishhoist/internal/core/chance"
	"github.com/radishhoist/radishhoist/internal/core/crash"
	"github.com/radishhoist/radishhoist/internal/core/detect"
	"github.com/radishhoist/radishhoist/internal/core/directory"
	"github.com/radishhoist/radishhoist/internal/core/header"
	"github.com/radishhoist/radishhoist/internal/core/pulse"
	"github.com/radishhoist/radishhoist/internal/event"
	"github.com/radishhoist/radishhoist/internal/msg"
	"github.com/radishhoist/radishhoist/verdict"
)

// Config has the parameters of a Guard.
type Config struct {
	// Host is this host's name.
	Host string
	// QueuePerSlot bounds the requests waiting at an instance, per slot.
	QueuePerSlot int
	// GrantLife is how long a reserved slot is held.
	GrantLife time.Duration
	// TargetIdle is how long an idle connection to an instance is kept.
	TargetIdle time.Duration
	// Dial connects to the instances in place of the network; nil uses that.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// Dialect names the headers of the conversation with the instances.
	Dialect header.Dialect
}

// Limits are the parameters of a Guard that may change while it runs.
type Limits struct {
	// AnnounceExpiry is how long an instance may go without announcing.
	AnnounceExpiry time.Duration
	// RetryReserve is how many repeats a service may have in a RetryWindow
	// beyond its share of the requests, over all hosts together.
	RetryReserve float64
	// RetryWindow is the span in which requests and repeats are counted.
	RetryWindow time.Duration
}

// Fence decides whether a run that was claimed at an epoch may still start.
type Fence interface {
	// MayRun reports false where this guard has promised a greater epoch.
	MayRun(service string, shard uint32, epoch uint64) bool
}

// Hooks are what a Guard tells the other roles, without holding locks.
type Hooks struct {
	// Changed is called when what the host says of its instances has changed.
	Changed func()
	// Pulse is called with what some fronts should know at once.
	Pulse func(p *msg.LoadReport, to pulse.Reach)
	// Crashed is called with the end of an instance of this host, and Cleared where a
	// request that was suspected of one has completed: all hosts are to know. Nil
	// tells nobody.
	Crashed func(e crash.Crash)
	Cleared func(end string, p crash.Fingerprint)
	// Blocked is called on one host of the fleet with a request that is kept from
	// instances, which must outlive all processes. It must not block. Nil tells nobody.
	Blocked func(BlockedRequest)
}

// Guard holds the instances of one host. It is safe for concurrent use.
type Guard struct {
	cfg   Config
	log   *slog.Logger
	fence Fence

	model  chance.Model
	limits atomic.Pointer[Limits]
	// endBy is when the process is going to end, nil while it is not stopping.
	endBy atomic.Pointer[time.Time]
	calls calls
	// repeats is this host's part of the retry budgets.
	repeats *repeats
	lines   event.Limiter
	// refusals bounds the lines about announcements that were refused.
	refusals event.Limiter
	counts   counters
	// pulse is called, without locks, with what the fronts should know at once.
	pulse   func(p *msg.LoadReport, to pulse.Reach)
	changed func()
	ended   func(crash.Crash)
	cleared func(string, crash.Fingerprint)
	stopped func(BlockedRequest)
	// suspects are the requests that may end the instances that run them.
	suspects *suspects

	mu        sync.Mutex
	book      *announce.Tracker
	instances map[string]*instance
	// presets are the detection parameters of the services in force; whole says
	// that these are all there are.
	presets  map[string]detect.Params
	whole    bool
	draining bool
	// active counts the requests under way; idle is closed at the next time
	// there are none.
	active int
	idle   chan struct{}
}

// New makes a Guard without instances.
func New(cfg Config, limits Limits, log *slog.Logger, fence Fence, hooks Hooks) *Guard {
	g := &Guard{
		cfg: cfg, log: log, fence: fence, changed: hooks.Changed, pulse: hooks.Pulse, model: chance.Default(), counts: newCounters(),
		ended: hooks.Crashed, cleared: hooks.Cleared, stopped: hooks.Blocked, suspects: newSuspects(),
		repeats:   newRepeats(),
		book:      announce.NewTracker(),
		instances: make(map[string]*instance),
		presets:   make(map[string]detect.Params),
	}
	if g.ended == nil {
		g.ended = func(crash.Crash) {}
	}
	if g.cleared == nil {
		g.cleared = func(string, crash.Fingerprint) {}
	}
	if g.stopped == nil {
		g.stopped = func(BlockedRequest) {}
	}
	g.limits.Store(&limits)
	return g
}

// SetLimits changes the limits.
func (g *Guard) SetLimits(l Limits) {
	g.limits.Store(&l)
	g.repeats.setLimits(l)
}

// remove takes an instance out of service; what it runs goes on. The caller
// holds the lock.
func (g *Guard) remove(name, cause string) {
	inst, ok := g.instances[name]
	if !ok {
		return
	}
	delete(g.instances, name)
	inst.close()
	event.Log(g.log, event.InstanceGone, slog.String("instance", name), slog.String("cause", cause))
}

// Apply takes what the records in force say: the services' presets, and which
// of this host's instances are to stop.
func (g *Guard) Apply(d *directory.Directory) {
	g.repeats.apply(time.Now(), d, *g.limits.Load())
	presets := make(map[string]detect.Params, len(d.Services))
	for name, s := range d.Services {
		presets[name] = detect.ForPreset(s.Record.Preset)
	}
	g.mu.Lock()
	g.presets, g.whole = presets, d.Whole
	all := g.list()
	g.mu.Unlock()
	changed := false
	for _, inst := range all {
		stop := d.PlannedStop(g.cfg.Host, inst.name)
		if inst.apply(g.params(inst.service), stop != nil) {
			changed = true
		}
	}
	if changed {
		g.changed()
	}
}

// params gives a service's detection parameters; Careful where no record says.
func (g *Guard) params(service string) detect.Params {
	g.mu.Lock()
	defer g.mu.Unlock()
	if p, ok := g.presets[service]; ok {
		return p
	}
	return detect.Careful()
}

// offers says that a service is in force. The caller holds the lock.
func (g *Guard) offers(service string) bool {
	_, ok := g.presets[service]
	return ok
}

func (g *Guard) list() []*instance {
	out := make([]*instance, 0, len(g.instances))
	for _, inst := range g.instances {
		out = append(out, inst)
	}
	return out
}

func (g *Guard) all() []*instance {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.list()
}

func (g *Guard) find(service, name string) (*instance, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	inst, ok := g.instances[name]
	return inst, ok && inst.service == service
}

// Tick lapses grants, drops late requests, judges stuck ones and notices
// instances that no longer announce themselves.
func (g *Guard) Tick(now time.Time) {
	changed := false
	for _, inst := range g.all() {
		if inst.tick(now) {
			changed = true
		}
		inst.tell(now)
		inst.ask(now)
		if inst.silent(now) {
			g.drop(inst)
			changed = true
		}
	}
	if changed {
		g.changed()
	}
}

func (g *Guard) drop(inst *instance) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.instances[inst.name] == inst {
		g.remove(inst.name, "no announcement")
	}
}

// SetShutdownTime says when this process is going to end: work that is not expected to be
// done well before is refused.
func (g *Guard) SetShutdownTime(end time.Time) { g.endBy.Store(&end) }

// ShutdownTime is when this process is going to end; false while it is not stopping.
func (g *Guard) ShutdownTime() (time.Time, bool) {
	end := g.endBy.Load()
	if end == nil {
		return time.Time{}, false
	}
	return *end, true
}

// endMargin is how many times as long as expected a request must have left
// before the end of the process to be taken: service times have a long tail.
const endMargin = 3

// fits says that a request that is expected to run for a time has room for it
// before the process ends.
func (g *Guard) fits(now time.Time, expect time.Duration) bool {
	end, stopping := g.ShutdownTime()
	return !stopping || !now.Add(endMargin*expect).After(end)
}

// Drain refuses new work on every instance; what runs goes on.
func (g *Guard) Drain() {
	g.mu.Lock()
	g.draining = true
	all := g.list()
	g.mu.Unlock()
	for _, inst := range all {
		inst.drain()
	}
	g.changed()
}

// enter counts a request that begins.
func (g *Guard) enter() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.active++
}

// leave counts a request that has ended.
func (g *Guard) leave() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.active--
	if g.active == 0 && g.idle != nil {
		close(g.idle)
		g.idle = nil
	}
}

// Wait blocks until no request runs or holds a slot, or done is closed, and
// reports whether all have ended.
func (g *Guard) Wait(done <-chan struct{}) bool {
	g.mu.Lock()
	if g.active == 0 {
		g.mu.Unlock()
		return true
	}
	if g.idle == nil {
		g.idle = make(chan struct{})
	}
	idle := g.idle
	g.mu.Unlock()
	select {
	case <-idle:
		return true
	case <-done:
		return false
	}
}

// Draining says that the guard takes no new work.
func (g *Guard) Draining() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.draining
}

// Instances lists what the host announces to its peers.
func (g *Guard) Instances() []directory.Instance {
	var out []directory.Instance
	for _, inst := range g.all() {
		out = append(out, inst.announced())
	}
	return out
}

// State lists every instance for the state dump.
func (g *Guard) State() []InstanceState {
	out := []InstanceState{}
	for _, inst := range g.all() {
		out = append(out, inst.state())
	}
	return out
}

// tellSiblings tells the other instances of the same service on this host of one
// instance's pace.
func (g *Guard) tellSiblings(from *instance, now time.Time, pace time.Duration) {
	for _, inst := range g.all() {
		if inst != from && inst.service == from.service {
			inst.observePeer(now, pace)
		}
	}
}

func refusal(r verdict.Reason, detail string) *verdict.Error {
	return verdict.New(verdict.NotRun, r, detail)
}

// queueConfig gives an instance's admission bounds.
func (g *Guard) queueConfig(slots int) admit.Config {
	return admit.Config{Slots: slots, QueuePerSlot: g.cfg.QueuePerSlot, GrantLife: g.cfg.GrantLife}
}
