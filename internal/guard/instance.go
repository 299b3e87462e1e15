package guard

import (
	"context"
	"log/slog"
	"net/http"
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

// instance is one running instance of a target on this host.
type instance struct {
	guard   *Guard
	name    string
	hash    uint64
	service string
	address string
	started time.Time
	client  *targetconn.Pool
	// processCtx is cancelled when the instance is known to have restarted: requests
	// running there are lost.
	processCtx    context.Context
	cancelProcess context.CancelFunc
	// probeMu is held while the instance's port is probed.
	probeMu sync.Mutex

	mu    sync.Mutex
	queue *admit.Queue
	// concurrency is the learned limit of running requests.
	concurrency concurrencyLimit
	// detector is given only latency ratios, so that it tests only for slowness.
	// Failures are covered by failureEstimate.
	detector  *detect.Detector
	reference detect.Reference
	// failureEstimate is the probability that the instance fails most requests.
	failureEstimate chance.Estimate
	// lastFailed is when a request last failed, lastStarted when one last began, and
	// lastEnded when one last ended, with any result.
	lastFailed  time.Time
	lastStarted time.Time
	lastEnded   time.Time
	// shedShare is the share of recent requests that the instance refused, see countsAsShed.
	shedShare chance.DecayingShare
	// lastAborted is when a request was last aborted.
	lastAborted time.Time
	// lastWorkRequest is when the instance last asked for work.
	lastWorkRequest time.Time
	// published is the load last published to the fronts, and publishedEstimate the
	// failure estimate they derive from it over time.
	published         msg.Load
	publishedAt       time.Time
	publishedEstimate chance.Estimate
	waiters           map[admit.ID]*waiter
	nextID            admit.ID
	slots             int
	maxConns          int
	softwareVersion   string
	leaving           bool
	// leavingStated reports that the instance has stated in a response that it is leaving.
	// No later announcement of the same start revokes that.
	leavingStated bool
	// rateLimit is the rate limit that the instance stated last, in requests per second, 0
	// if none, and rateLimitAt when it was received.
	rateLimit   float64
	rateLimitAt time.Time
	// rateLimitKnown reports that a response has shown whether there is a limit.
	rateLimitKnown bool
	// stopped reports that a planned stop covers the instance.
	stopped bool
	// closed reports that the instance never accepts requests again: it was removed, or
	// this host is stopping.
	closed bool
	// finishing reports that it accepts only short idempotent requests, see Guard.Drain.
	finishing bool
	// terminated reports that the instance's port refuses connections: it has terminated,
	// whether or not it announced its shutdown. It gets no requests until it announces
	// itself again, because each would waste one of its attempts there.
	terminated bool
	// warmUpEnd is when the instance is expected to reach its full speed.
	warmUpEnd     time.Time
	lastAnnounced time.Time
	counts        Counts
}

// waiter is the state of one request, queued or running, and of the goroutine that serves
// it.
type waiter struct {
	decisions chan admit.Decision
	// run is the request as sent to the target, nil before; fingerprint is the
	// request's fingerprint.
	run         *msg.Run
	fingerprint crash.Fingerprint
	// started is when the target was called, zero before that.
	started time.Time
	// reportedAge is the age last reported to the detector.
	reportedAge time.Duration
	// expected is the expected duration, 0 if the front did not give one.
	expected time.Duration
	// overdueAfter is the running time after which the request counts against the
	// instance; 0 means never.
	overdueAfter time.Duration
	// overdue reports that the request has exceeded overdueAfter and has been counted
	// against the instance.
	overdue bool
	// caller is the time that the request waits for its caller.
	caller callerWait
}

// Counts are an instance's counters since its first announcement.
type Counts struct {
	Ran       uint64 `json:"ran"`
	Failed    uint64 `json:"failed"`
	Refused   uint64 `json:"refused"`
	Cancelled uint64 `json:"cancelled"`
}

// NameHash hashes a name, such as that of an instance, a service or a team. Samples identify
// instances by it.
func NameHash(name string) uint64 { return xxhash.Sum64String(name) }

func newInstance(g *Guard, name string, a Announcement, now time.Time) *instance {
	params := detect.Careful()
	if p, ok := g.presets[a.Service]; ok {
		params = p
	}
	processCtx, cancelProcess := context.WithCancel(context.Background())
	queueConfig := g.queueConfig(a.Slots)
	// An instance that has just started has stated nothing to an earlier process.
	mayBeLimited := g.cfg.Dialect.RateLimit != "" && !a.stamp().IsFirst()
	if mayBeLimited {
		queueConfig.RateLimit = unknownRateLimit
	}
	return &instance{
		guard: g, name: name, hash: NameHash(name), processCtx: processCtx, cancelProcess: cancelProcess,
		service: a.Service, address: a.Address, started: now,
		client: targetconn.New(targetconn.Config{
			Address: a.Address, MaxConns: a.connections(), IdleTimeout: g.cfg.TargetIdleTimeout,
			DialTimeout: dialTimeout, Dial: g.cfg.Dial, EchoesRequestID: g.cfg.Dialect.EchoesRequestID,
		}),
		queue: admit.NewQueue(queueConfig), rateLimitKnown: !mayBeLimited,
		concurrency: newConcurrencyLimit(g.cfg.LearnConcurrency, a.Slots),
		detector:    detect.NewDetector(params),
		waiters:     make(map[admit.ID]*waiter),
		slots:       a.Slots, maxConns: a.connections(), softwareVersion: a.Version, lastAnnounced: now,
		warmUpEnd: now.Add(directory.DefaultWarmUp),
	}
}

// refresh applies a repeated announcement and reports whether anything relevant to
// other hosts has changed.
func (i *instance) refresh(now time.Time, a Announcement) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.lastAnnounced = now
	restored := i.terminated
	if restored {
		i.terminated = false
		i.updateQueue()
	}
	changed := restored || i.slots != a.Slots || i.softwareVersion != a.Version || i.leaving != a.isLeaving()
	if i.slots != a.Slots {
		i.slots = a.Slots
		i.resetConcurrency(now)
	}
	i.softwareVersion = a.Version
	i.setLeaving(a.isLeaving())
	return i.setWarmUp(now, a) || changed
}

// isLeaving reports whether the last announcement states that the instance is leaving.
func (i *instance) isLeaving() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.leaving
}

// beginLeaving ends the admission of requests until the next announcement.
func (i *instance) beginLeaving() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.setLeaving(true)
}

// setLeaving sets whether the instance accepts no new requests because it is leaving. The caller
// must hold i.mu.
func (i *instance) setLeaving(leaving bool) {
	if i.leaving == leaving {
		return
	}
	i.leaving = leaving
	i.updateQueue()
	event.Log(i.guard.log, event.InstanceLeaving, slog.String("instance", i.name), slog.Bool("leaving", leaving))
}

// observeLeaving applies a response in which the instance states that it is leaving.
func (i *instance) observeLeaving(h http.Header) {
	name := i.guard.cfg.Dialect.Leaving
	if name == "" || h.Get(name) == "" || !i.markLeavingStated() {
		return
	}
	event.Log(i.guard.log, event.InstanceLeaving, slog.String("instance", i.name), slog.Bool("leaving", true), slog.String("from", "response"))
	i.guard.onChanged()
}

// markLeavingStated refuses further requests. It returns false if they are refused for this
// reason already.
func (i *instance) markLeavingStated() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.leavingStated {
		return false
	}
	i.leavingStated = true
	i.updateQueue()
	return true
}

// statedLeaving reports whether the instance has stated in a response that it is leaving.
func (i *instance) statedLeaving() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.leavingStated
}

// setWarmUp applies the announced warm-up time and reports whether it changed enough
// to be published. The caller must hold i.mu.
func (i *instance) setWarmUp(now time.Time, a Announcement) bool {
	if a.WarmUpLeftMS == nil {
		return false
	}
	previous := max(i.warmUpEnd.Sub(now), 0)
	warmUpLeft := time.Duration(*a.WarmUpLeftMS) * time.Millisecond
	i.warmUpEnd = now.Add(warmUpLeft)
	return (previous - warmUpLeft).Abs() > warmUpChangeThreshold
}

// warmUpChangeThreshold is the change in remaining warm-up time above which it is
// published again: smaller changes hardly affect target selection.
const warmUpChangeThreshold = 500 * time.Millisecond

// apply sets the detection parameters and whether a planned stop covers the instance,
// and reports whether the latter has changed.
func (i *instance) apply(p detect.Params, stopped bool) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.detector.SetParams(p)
	if i.stopped == stopped {
		return false
	}
	i.stopped = stopped
	i.updateQueue()
	event.Log(i.guard.log, event.InstanceLeaving, slog.String("instance", i.name), slog.Bool("leaving", stopped))
	return true
}

// updateQueue makes the queue accept or refuse requests according to the instance's
// state. The caller must hold i.mu.
func (i *instance) updateQueue() {
	if i.unavailable() {
		i.deliver(i.queue.Drain())
		return
	}
	i.queue.Resume()
}

// unavailable reports that the instance accepts no new requests. The caller must hold
// i.mu.
func (i *instance) unavailable() bool {
	return i.leaving || i.leavingStated || i.stopped || i.closed || i.terminated
}

// close is drain for an instance that is removed; it also closes idle connections.
func (i *instance) close() {
	i.drain()
	i.client.Close()
}

// abortRun releases everything held by a run of the instance after a restart: requests
// that are queued or hold a slot have not run, and running ones are aborted because
// no response will come.
func (i *instance) abortRun() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.deliver(i.queue.Revoke())
	i.cancelProcess()
}

// deliver passes decisions to the goroutines waiting for them. The caller must hold
// i.mu. Each waiter receives at most one grant and one refusal or start from here,
// and its channel has room for both.
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

// decisionCapacity is the capacity of waiter.decisions: one grant and one refusal or start.
const decisionCapacity = 2

// offer submits a request for admission; the decisions arrive on the waiter's
// channel.
func (i *instance) offer(now time.Time, r admit.Request, w *waiter) admit.ID {
	defer i.publishLoad(now)
	i.mu.Lock()
	defer i.mu.Unlock()
	i.nextID++
	r.ID = i.nextID
	w.decisions, w.expected = make(chan admit.Decision, decisionCapacity), r.ExpectedServiceTime
	i.waiters[r.ID] = w
	i.deliver(i.queue.Offer(now, r))
	i.applyConcurrency(now)
	return r.ID
}

// run starts a request that holds a grant.
func (i *instance) run(now time.Time, id admit.ID) admit.Decision {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.queue.Run(now, id)
}

// cancel cancels a request. It returns verdict.NotRun if the request had not started and
// now never will.
func (i *instance) cancel(now time.Time, id admit.ID) verdict.Verdict {
	i.mu.Lock()
	defer i.mu.Unlock()
	v, decisions := i.queue.Cancel(now, id)
	i.counts.Cancelled++
	i.deliver(decisions)
	i.applyConcurrency(now)
	return v
}

// start records that the request is sent to the target. abort ends it there.
func (i *instance) start(now time.Time, w *waiter, m *msg.Run, abort context.CancelCauseFunc) {
	i.mu.Lock()
	defer i.mu.Unlock()
	w.started, w.run, w.caller.abort = now, m, abort
	i.lastStarted = now
	if i.concurrency.limiter != nil {
		i.concurrency.limiter.Begin()
	}
	i.counts.Ran++
}

// forget removes the waiter of a request that never ran.
func (i *instance) forget(id admit.ID) {
	i.mu.Lock()
	defer i.mu.Unlock()
	delete(i.waiters, id)
}

// expired reports whether the last announcement is older than AnnounceExpiry.
func (i *instance) expired(now time.Time) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return now.Sub(i.lastAnnounced) > i.guard.limits.Load().AnnounceExpiry
}

// evidenceScale converts evidence from nats to the hundredths sent on the wire.
const evidenceScale = 100

// announced returns the instance as this host announces it to its peers.
func (i *instance) announced() directory.Instance {
	i.mu.Lock()
	defer i.mu.Unlock()
	out := directory.Instance{
		Name: i.name, Service: i.service, Slots: i.slots, MaxConns: i.maxConns, SoftwareVersion: i.softwareVersion,
		Health: i.detector.Health(), StartedMS: i.started.UnixMilli(),
		WarmUpLeft: max(time.Until(i.warmUpEnd), 0),
	}
	if out.Health == detect.Suspect {
		// Send the evidence at which the suspicion began. The current evidence changes
		// with every response, and so would the announcement.
		out.Evidence = uint32(i.detector.SuspicionEvidence() * evidenceScale)
	}
	switch {
	case i.unavailable():
		out.State = directory.Leaving
	case i.finishing:
		out.State = directory.Finishing
	}
	return out
}

// dialTimeout limits one connection attempt to an instance on this host: connecting
// takes about 1 ms, and a lost handshake packet is retransmitted after 1 s.
const dialTimeout = 1500 * time.Millisecond
