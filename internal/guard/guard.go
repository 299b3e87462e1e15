// Package guard runs on every host in front of the instances there: all requests to
// them pass through it. It accepts their announcements, admits and forwards requests,
// monitors the instances' health, and drains them.
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
	"github.com/radishhoist/radishhoist/internal/core/loadreport"
	"github.com/radishhoist/radishhoist/internal/event"
	"github.com/radishhoist/radishhoist/internal/msg"
	"github.com/radishhoist/radishhoist/verdict"
)

// Config holds the fixed parameters of a Guard.
type Config struct {
	// Host is this host's name.
	Host string
	// QueuePerSlot limits the requests queued at an instance, per slot.
	QueuePerSlot int
	// FairShares divides the slots of an instance among teams by weight, and KeepLate lets
	// requests that were queued although they were late wait until their deadline; see
	// admit.Config.
	FairShares, KeepLate bool
	// GrantTTL is how long a reserved slot is held.
	GrantTTL time.Duration
	// TargetIdleTimeout is how long an idle connection to an instance is kept open.
	TargetIdleTimeout time.Duration
	// Dial replaces the network dialer for connections to instances; nil uses the
	// network.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// Dialect names the headers exchanged with the instances.
	Dialect header.Dialect
	// LearnRefusals counts every refusal of an instance in its shed share, and keeps scarce
	// retry budget for the retries that save more.
	LearnRefusals bool
	// StrictAnnouncements refuses announcements without state or sequence number. Where all
	// instances send both, one without is from another writer.
	StrictAnnouncements bool
	// LearnConcurrency limits the running requests of an instance to those with the best goodput.
	LearnConcurrency bool
}

// Limits holds the parameters of a Guard that may change while it runs.
type Limits struct {
	// AnnounceExpiry is how long an instance may go without announcing before it is
	// removed.
	AnnounceExpiry time.Duration
	// RetryReserve is the number of retries a service may have per RetryWindow
	// beyond its share of the requests, over all hosts together.
	RetryReserve float64
	// RetryWindow is the window over which requests and retries are counted.
	RetryWindow time.Duration
}

// Fence decides whether a run claimed at an epoch may still start.
type Fence interface {
	// MayRun returns false if a greater epoch of the shard is known on this host.
	MayRun(service string, shard uint32, epoch uint64) bool
}

// Hooks are the callbacks to other components. They are called without locks held.
type Hooks struct {
	// Changed is called when the instance data announced by this host has changed.
	Changed func()
	// LoadReport is called with load updates that fronts need without delay.
	LoadReport func(p *msg.LoadReport, to loadreport.Scope)
	// Crashed is called when an instance on this host has crashed, and Cleared when a
	// request suspected of causing a crash has completed. Both must be sent to all hosts.
	// Nil disables the callback.
	Crashed func(c crash.Crash)
	Cleared func(crashID string, fp crash.Fingerprint)
	// Blocked is called on one host of the fleet with a request that is blocked. The
	// callback stores it, so that the block survives a restart of all processes, and must
	// return without waiting. Nil disables the callback.
	Blocked func(BlockedRequest)
	// Departed is called before the departure of an instance is acknowledged. It returns once a
	// later process of this host will know the departure, or an error if that is not certain
	// in time. Revoked is called if the instance announces that it is ready again. Nil
	// disables the callbacks.
	Departed func(ctx context.Context, d announce.Departure) error
	Revoked  func(instance string)
	// ShareReport is called with reports to the guard at an address, if FairShares is set.
	// They may be lost. Nil disables the callback.
	ShareReport func(address string, r *msg.ShareReport)
}

// Guard manages the instances of one host. It is safe for concurrent use.
type Guard struct {
	cfg   Config
	log   *slog.Logger
	fence Fence

	// model holds the assumed parameters of the instances' failure estimates.
	model  chance.Model
	limits atomic.Pointer[Limits]
	// shutdownAt is the planned time of process exit, nil while the process is not
	// stopping.
	shutdownAt  atomic.Pointer[time.Time]
	failedCalls failedCalls
	// retryBudgets holds this host's part of the retry budgets.
	retryBudgets *retryBudgets
	// requestLogLimiter limits the log lines about single requests, announceLogLimiter
	// those about refused announcements.
	requestLogLimiter  event.Limiter
	announceLogLimiter event.Limiter
	counts             counters
	// sendLoadReport is called, without locks held, with updates that fronts need without
	// delay.
	sendLoadReport func(p *msg.LoadReport, to loadreport.Scope)
	onChanged      func()
	onCrashed      func(crash.Crash)
	onCleared      func(string, crash.Fingerprint)
	onBlocked      func(BlockedRequest)
	onDeparted     func(context.Context, announce.Departure) error
	onRevoked      func(string)
	// departuresKnown is closed once the departures that earlier processes of this host have
	// acknowledged are known, or are not waited for any longer.
	departuresKnown     chan struct{}
	departuresKnownOnce sync.Once
	// suspects tracks the requests suspected of crashing the instances that run
	// them.
	suspects *suspects
	// shares is nil without FairShares.
	shares *teamShares

	mu            sync.Mutex
	announcements *announce.Tracker
	instances     map[string]*instance
	// presets holds the detection parameters of each service whose record is in force;
	// presetsComplete reports that no such service is missing.
	presets         map[string]detect.Params
	presetsComplete bool
	draining        bool
	// beforeDrain counts the requests in progress that began before Drain. finishing lists the
	// instances that accept short requests until it is 0.
	beforeDrain int
	finishing   []*instance
	// active counts the requests in progress; idle is closed when the count next
	// reaches zero.
	active int
	idle   chan struct{}
}

// New returns a Guard without instances.
func New(cfg Config, limits Limits, log *slog.Logger, fence Fence, hooks Hooks) *Guard {
	g := &Guard{
		cfg: cfg, log: log, fence: fence, onChanged: hooks.Changed, sendLoadReport: hooks.LoadReport, model: chance.Default(), counts: newCounters(),
		onCrashed: hooks.Crashed, onCleared: hooks.Cleared, onBlocked: hooks.Blocked, suspects: newSuspects(),
		retryBudgets:  newRetryBudgets(),
		announcements: announce.NewTracker(),
		instances:     make(map[string]*instance),
		presets:       make(map[string]detect.Params),

		onDeparted: hooks.Departed, onRevoked: hooks.Revoked, departuresKnown: make(chan struct{}),
	}
	if g.onDeparted == nil {
		g.onDeparted = func(context.Context, announce.Departure) error { return nil }
		g.setDeparturesKnown()
	} else {
		time.AfterFunc(departuresTimeout, g.setDeparturesKnown)
	}
	if g.onRevoked == nil {
		g.onRevoked = func(string) {}
	}
	if g.onCrashed == nil {
		g.onCrashed = func(crash.Crash) {}
	}
	if g.onCleared == nil {
		g.onCleared = func(string, crash.Fingerprint) {}
	}
	if g.onBlocked == nil {
		g.onBlocked = func(BlockedRequest) {}
	}
	if cfg.FairShares {
		g.shares = newTeamShares(cfg.Host, hooks.ShareReport)
	}
	g.limits.Store(&limits)
	return g
}

// SetLimits replaces the limits.
func (g *Guard) SetLimits(l Limits) {
	g.limits.Store(&l)
	g.retryBudgets.setLimits(l)
}

// remove takes an instance out of service; requests running there continue. The
// caller must hold g.mu.
func (g *Guard) remove(name, cause string) {
	inst, ok := g.instances[name]
	if !ok {
		return
	}
	delete(g.instances, name)
	inst.close()
	event.Log(g.log, event.InstanceGone, slog.String("instance", name), slog.String("cause", cause))
}

// Apply applies the records in force: the services' retry shares and detection presets
// and the planned stops of instances on this host.
func (g *Guard) Apply(d *directory.Directory) {
	g.retryBudgets.apply(time.Now(), d, *g.limits.Load())
	g.applyTeams(d)
	presets := make(map[string]detect.Params, len(d.Services))
	for name, s := range d.Services {
		presets[name] = detect.ForPreset(s.Record.Preset)
	}
	g.mu.Lock()
	g.presets, g.presetsComplete = presets, d.Complete
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
		g.onChanged()
	}
}

// params returns a service's detection parameters, detect.Careful if no Service record of
// that name is in force.
func (g *Guard) params(service string) detect.Params {
	g.mu.Lock()
	defer g.mu.Unlock()
	if p, ok := g.presets[service]; ok {
		return p
	}
	return detect.Careful()
}

// serviceInForce reports whether a Service record of that name is in force. The caller
// must hold g.mu.
func (g *Guard) serviceInForce(service string) bool {
	_, ok := g.presets[service]
	return ok
}

// list returns the instances. The caller must hold g.mu.
func (g *Guard) list() []*instance {
	out := make([]*instance, 0, len(g.instances))
	for _, inst := range g.instances {
		out = append(out, inst)
	}
	return out
}

// all is list for callers that do not hold g.mu.
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

// Tick expires grants, drops requests past their deadline, checks for stuck requests,
// publishes load, exchanges the use of teams with other guards, and removes instances that no
// longer announce themselves. It must be called periodically.
func (g *Guard) Tick(now time.Time) {
	changed := false
	for _, inst := range g.all() {
		if inst.tick(now) {
			changed = true
		}
		inst.publishLoad(now)
		inst.requestWork(now)
		if inst.expired(now) {
			g.removeExpired(inst)
			changed = true
		}
	}
	g.exchangeShares(now)
	if changed {
		g.onChanged()
	}
}

func (g *Guard) removeExpired(inst *instance) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.instances[inst.name] == inst {
		g.remove(inst.name, "announcement expired")
	}
}

// SetShutdownTime sets the planned time of process exit. Requests that are not expected to
// finish well before it are refused.
func (g *Guard) SetShutdownTime(end time.Time) { g.shutdownAt.Store(&end) }

// ShutdownTime returns the planned time of process exit, and false while the process is
// not stopping.
func (g *Guard) ShutdownTime() (time.Time, bool) {
	end := g.shutdownAt.Load()
	if end == nil {
		return time.Time{}, false
	}
	return *end, true
}

// shutdownMargin is the multiple of its expected duration that must remain before process
// exit for a request to be admitted. It exceeds 1 because service times have a long tail.
const shutdownMargin = 3

// finishesBeforeShutdown reports whether a request with the given expected duration
// can be admitted before the process exits.
func (g *Guard) finishesBeforeShutdown(now time.Time, expect time.Duration) bool {
	end, stopping := g.ShutdownTime()
	return !stopping || !now.Add(shutdownMargin*expect).After(end)
}

// Wait blocks until no request runs or holds a slot, or until done is closed, and
// reports whether all requests have ended.
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

// Draining reports whether the guard refuses new requests.
func (g *Guard) Draining() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.draining
}

// Instances returns the instances as this host announces them to its peers.
func (g *Guard) Instances() []directory.Instance {
	var out []directory.Instance
	for _, inst := range g.all() {
		out = append(out, inst.announced())
	}
	return out
}

// State returns the state of every instance for the state dump.
func (g *Guard) State() []InstanceState {
	out := []InstanceState{}
	for _, inst := range g.all() {
		out = append(out, inst.state())
	}
	return out
}

// shareLatencyRatio passes one instance's latency ratio to the other instances of the
// same service on this host.
func (g *Guard) shareLatencyRatio(from *instance, now time.Time, ratio time.Duration) {
	for _, inst := range g.all() {
		if inst != from && inst.service == from.service {
			inst.observePeer(now, ratio)
		}
	}
}

// refusal returns the error for a request that has not been run.
func refusal(r verdict.Reason, detail string) *verdict.Error {
	return verdict.New(verdict.NotRun, r, detail)
}

// queueConfig returns the admission limits of an instance with the given slots.
func (g *Guard) queueConfig(slots int) admit.Config {
	return admit.Config{
		Slots: slots, QueuePerSlot: g.cfg.QueuePerSlot, GrantTTL: g.cfg.GrantTTL,
		FairShares: g.cfg.FairShares, KeepLate: g.cfg.KeepLate,
	}
}
