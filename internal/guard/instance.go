package guard

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/radishhoist/radishhoist/internal/core/admit"
	"github.com/radishhoist/radishhoist/internal/core/chance"
	"github.com/radishhoist/radishhoist/internal/core/crash"
	"github.com/radishhoist/radishhoist/internal/core/detect"
	"github.com/radishhoist/radishhoist/internal/core/directory"
	"github.com/radishhoist/radishhoist/internal/event"
	"github.com/radishhoist/radishhoist/internal/msg"
	"github.com/radishhoist/radishhoist/internal/targetconn"
	"github.com/radishhoist/radishhoist/verdict"
)

// instance is one running copy of a target on this host.
type instance struct {
	guard   *Guard
	name    string
	hash    uint64
	service string
	address string
	started time.Time
	client  *targetconn.Pool
	// life ends when the instance is known to have started again: whatever runs
	// there is lost.
	life context.Context
	end  context.CancelFunc
	// probing is held while the instance's port is looked at.
	probing sync.Mutex

	mu        sync.Mutex
	queue     *admit.Queue
	detector  *detect.Detector
	reference detect.Reference
	sick      chance.Estimate
	// failedAt is when a request last failed, and idleAt when one last ended.
	failedAt time.Time
	idleAt   time.Time
	// sheds is the share of recent requests that it refused with a free slot.
	sheds chance.Share
	// cutAt is when a request was last broken off.
	cutAt time.Time
	// askedAt is when work was last asked for.
	askedAt time.Time
	// told is what fronts were told last, and toldSick what they make of it
	// since.
	told     msg.Load
	toldAt   time.Time
	toldSick chance.Estimate
	waiters  map[admit.ID]*waiter
	nextID   admit.ID
	slots    int
	conns    int
	version  string
	leaving  bool
	stopped  bool
	// over says that the instance has ended, as far as its port tells. It gets no work
	// until it announces itself again: each request would lose a try there.
	over bool
	// warmAt is when the instance has reached its full speed.
	warmAt time.Time
	heard  time.Time
	counts Counts
}

// waiter is the goroutine that serves one request.
type waiter struct {
	decisions chan admit.Decision
	// run is what was sent to the target, nil before, and print what the request is
	// known by when it comes again.
	run   *msg.Run
	print crash.Fingerprint
	// started is when the target was called, zero before.
	started time.Time
	// reported is the age last reported to the detector.
	reported time.Duration
	// expect is how long it is expected to run, 0 where its front did not say.
	expect time.Duration
	// patience is how long it may run before that speaks against the instance;
	// 0 for ever.
	patience time.Duration
	// overdue says that the request has run longer than it should, which was
	// held against the instance.
	overdue bool
}

// Counts are an instance's counters since it was announced.
type Counts struct {
	Ran       uint64 `json:"ran"`
	Failed    uint64 `json:"failed"`
	Refused   uint64 `json:"refused"`
	Cancelled uint64 `json:"cancelled"`
}

// InstanceHash names an instance in samples.
func InstanceHash(name string) uint64 { return xxhash.Sum64String(name) }

func newInstance(g *Guard, name string, a Announcement, now time.Time) *instance {
	params := detect.Careful()
	if p, ok := g.presets[a.Service]; ok {
		params = p
	}
	life, end := context.WithCancel(context.Background())
	return &instance{
		guard: g, name: name, hash: InstanceHash(name), life: life, end: end,
		service: a.Service, address: a.Address, started: now,
		client: targetconn.New(targetconn.Config{
			Address: a.Address, MaxConns: a.connections(), Idle: g.cfg.TargetIdle,
			DialTimeout: dialTimeout, Dial: g.cfg.Dial, EchoesRequestID: g.cfg.Dialect.EchoesRequestID,
		}),
		queue:    admit.NewQueue(g.queueConfig(a.Slots)),
		detector: detect.NewDetector(params),
		waiters:  make(map[admit.ID]*waiter),
		slots:    a.Slots, conns: a.connections(), version: a.Version, heard: now,
		warmAt: now.Add(directory.DefaultWarmUp),
	}
}

// refresh takes a repeated announcement and reports whether anything that
// others must know has changed.
func (i *instance) refresh(now time.Time, a Announcement) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.heard = now
	back := i.over
	if back {
		i.over = false
		i.settle()
	}
	changed := back || i.slots != a.Slots || i.version != a.Version || i.leaving != a.leaves()
	if i.slots != a.Slots {
		i.slots = a.Slots
		i.deliver(i.queue.SetSlots(now, a.Slots))
	}
	i.version = a.Version
	if i.leaving != a.leaves() {
		i.leaving = a.leaves()
		i.settle()
		event.Log(i.guard.log, event.InstanceLeaving, slog.String("instance", i.name), slog.Bool("leaving", i.leaving))
	}
	return i.warm(now, a) || changed
}

// warm takes what the instance says of its warm-up, and reports whether that
// is news. The caller holds the lock.
func (i *instance) warm(now time.Time, a Announcement) bool {
	if a.WarmupLeftMS == nil {
		return false
	}
	was := max(i.warmAt.Sub(now), 0)
	left := time.Duration(*a.WarmupLeftMS) * time.Millisecond
	i.warmAt = now.Add(left)
	return (was - left).Abs() > warmNews
}

// warmNews is by how much a warm-up must differ from what was told before to
// be told again: less hardly moves a choice.
const warmNews = 500 * time.Millisecond

// apply takes the detection parameters and whether a planned stop covers the
// instance, and reports whether the stop has changed.
func (i *instance) apply(p detect.Params, stopped bool) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.detector.SetParams(p)
	if i.stopped == stopped {
		return false
	}
	i.stopped = stopped
	i.settle()
	event.Log(i.guard.log, event.InstanceLeaving, slog.String("instance", i.name), slog.Bool("leaving", stopped))
	return true
}

func (i *instance) drain() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.stopped = true
	i.settle()
}

// settle makes the queue take work or not. The caller holds the lock.
func (i *instance) settle() {
	if i.out() {
		i.deliver(i.queue.Drain())
		return
	}
	i.queue.Resume()
}

// out says that the instance takes no new work. The caller holds the lock.
func (i *instance) out() bool { return i.leaving || i.stopped || i.over }

// close refuses what waits and lets go of idle connections; what runs goes on.
func (i *instance) close() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.stopped = true
	i.deliver(i.queue.Drain())
	i.client.CloseIdle()
}

// lose gives up all that a start of the instance held, because another one has
// begun: what waits or holds a slot has not run, and what runs is broken off, as
// nobody is going to answer it.
func (i *instance) lose() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.deliver(i.queue.Revoke())
	i.end()
}

// deliver hands decisions to the goroutines that wait for them. The caller
// holds the lock. Each waiter takes at most one grant and one refusal or start
// from here, which its channel has room for.
func (i *instance) deliver(decisions []admit.Decision) {
	for _, d := range decisions {
		if d.Action == admit.Wait {
			continue
		}
		if w, ok := i.waiters[d.ID]; ok {
			w.decisions <- d
		}
	}
}

// waiterDepth holds one grant and one refusal or start.
const waiterDepth = 2

// offer admits a request; its decisions come on the waiter's channel.
func (i *instance) offer(now time.Time, r admit.Request, w *waiter) admit.ID {
	defer i.tell(now)
	i.mu.Lock()
	defer i.mu.Unlock()
	i.nextID++
	r.ID = i.nextID
	w.decisions, w.expect = make(chan admit.Decision, waiterDepth), r.ExpectedService
	i.waiters[r.ID] = w
	i.deliver(i.queue.Offer(now, r))
	return r.ID
}

// run uses up a grant.
func (i *instance) run(now time.Time, id admit.ID) admit.Decision {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.queue.Run(now, id)
}

// cancel gives a request up and says whether it had started.
func (i *instance) cancel(now time.Time, id admit.ID) verdict.Verdict {
	i.mu.Lock()
	defer i.mu.Unlock()
	v, decisions := i.queue.Cancel(now, id)
	i.counts.Cancelled++
	i.deliver(decisions)
	return v
}

// start marks the moment the target is called.
func (i *instance) start(now time.Time, w *waiter, m *msg.Run) {
	i.mu.Lock()
	defer i.mu.Unlock()
	w.started, w.run = now, m
	i.counts.Ran++
}

// forget drops the waiter of a request that never ran.
func (i *instance) forget(id admit.ID) {
	i.mu.Lock()
	defer i.mu.Unlock()
	delete(i.waiters, id)
}

func (i *instance) silent(now time.Time) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return now.Sub(i.heard) > i.guard.limits.Load().AnnounceExpiry
}

// evidenceScale turns nats into the hundredths that are sent.
const evidenceScale = 100

func (i *instance) announced() directory.Instance {
	i.mu.Lock()
	defer i.mu.Unlock()
	out := directory.Instance{
		Name: i.name, Service: i.service, Slots: i.slots, Conns: i.conns, Version: i.version,
		Health: i.detector.Health(), StartedMS: i.started.UnixMilli(),
		WarmUpLeft: max(time.Until(i.warmAt), 0),
	}
	if out.Health == detect.Suspect {
		// What made it a suspect, not what has come since: it must not change
		// with every answer.
		out.Evidence = uint32(i.detector.SuspicionEvidence() * evidenceScale)
	}
	if i.out() {
		out.State = directory.Leaving
	}
	return out
}

// dialTimeout bounds one attempt to connect to an instance, which runs on this
// host: a connection takes about 1 ms there, and a lost packet of the handshake
// is sent again after a second.
const dialTimeout = 1500 * time.Millisecond
