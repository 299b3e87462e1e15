package guard

import (
	"time"

	"github.com/radishhoist/radishhoist/internal/core/admit"
	"github.com/radishhoist/radishhoist/internal/core/chance"
	"github.com/radishhoist/radishhoist/internal/core/loadreport"
	"github.com/radishhoist/radishhoist/internal/msg"
)

// recordOutcome records the outcome of a request as evidence of the instance's health
// as soon as it is known.
func (i *instance) recordOutcome(now time.Time, r result) {
	i.mu.Lock()
	switch {
	case r.shed:
		i.shedShare.Observe(now, i.countsAsShed(now))
	case r.aborted:
		i.lastAborted = now
	default:
		i.shedShare.Observe(now, false)
	}
	if !r.shed && !r.aborted && !r.excused {
		i.failureEstimate.Observe(now, r.failed, i.guard.model)
	}
	if r.failed {
		i.lastFailed = now
	}
	i.mu.Unlock()
	i.publishLoad(now)
}

// hadFreeSlot reports whether the instance had a free slot for a request that it
// refused, which the guard knows because all requests pass through it. An instance that
// refuses requests while slots are free looks idle and would attract more and more load.
// Requests that were aborted may keep slots busy for a while. The caller must hold
// i.mu; the refused request still counts as running.
func (i *instance) hadFreeSlot(now time.Time) bool {
	return i.queue.BusySlots() < i.slots && now.Sub(i.lastAborted) > abortedWorkGrace
}

const (
	// estimateChangeThreshold is the change in the failure estimate or the shed share,
	// in thousandths, against the last published values at which fronts are updated at
	// once.
	estimateChangeThreshold = 150
	// loadChangeThreshold is the change in load, as a fraction of the slots, at which
	// nearby fronts are updated.
	loadChangeThreshold = 0.3
	// publishInterval is the interval at which nearby fronts are updated even without a
	// change: some have just started or do not know the instance yet.
	publishInterval = 2 * time.Second
	// abortedWorkGrace is how long an instance may keep working on a request that was
	// aborted, and so keep a slot busy that counts as free here: about the duration of
	// one request in the known deployments.
	abortedWorkGrace = time.Second
	// workRequestInterval is the minimum interval between requests for work.
	workRequestInterval = 300 * time.Millisecond
)

// publishLoad sends significant changes to the fronts: a changed load to those nearby, a
// changed failure estimate or shed share to all.
func (i *instance) publishLoad(now time.Time) {
	i.mu.Lock()
	load := i.loadAt(now)
	previous := i.publishedEstimate.SickForSelection(now, i.guard.model) * msg.Thousandths
	healthChanged := absDiff(int(load.FailureEstimate), int(previous)) >= estimateChangeThreshold || absDiff(int(load.ShedShare), int(i.published.ShedShare)) >= estimateChangeThreshold
	stale := now.Sub(i.publishedAt) >= publishInterval
	publish := healthChanged || stale || float64(absDiff(occupancy(load), occupancy(i.published))) >= loadChangeThreshold*float64(i.slots)
	if publish {
		i.publishedAt = now
		i.published, i.publishedEstimate = load, chance.EstimateAt(now, load.FailureProbability())
	}
	i.mu.Unlock()
	if healthChanged {
		i.logEstimateChange(previous, load)
	}
	if !publish {
		return
	}
	scope := loadreport.ToLocal
	if healthChanged {
		scope = loadreport.ToAll
	}
	i.sendLoadReport(load, scope)
}

func (i *instance) sendLoadReport(load msg.Load, scope loadreport.Scope) {
	i.guard.sendLoadReport(&msg.LoadReport{Loads: []msg.InstanceLoad{{Service: i.service, Instance: i.name, Load: load}}}, scope)
}

// requestWork asks a few fronts, different ones each time, for a request if the instance
// has been idle for a while. Without it the instances that reported last would get all
// requests, and the state of the others would be unknown when they are needed.
func (i *instance) requestWork(now time.Time) {
	i.mu.Lock()
	if now.Sub(i.lastWorkRequest) < workRequestInterval || !i.wantsWork(now) {
		i.mu.Unlock()
		return
	}
	i.lastWorkRequest = now
	load := i.loadAt(now)
	load.WantsTrial = true
	i.mu.Unlock()
	i.sendLoadReport(load, loadreport.ToFew)
}

// maxRateLimitWait is the longest wait for a rate limit that is reported. It exceeds every
// objective, and its product with maxSlots fits into a uint32.
const maxRateLimitWait = time.Minute

// occupancy returns the number of running and queued requests.
func occupancy(l msg.Load) int { return int(l.Running + l.Queued) }

func absDiff(a, b int) int { return max(a-b, b-a) }

// Load returns the current load of an instance on this host, and false if there is no such
// instance.
func (g *Guard) Load(service, name string) (msg.Load, bool) {
	inst, ok := g.find(service, name)
	if !ok {
		return msg.Load{}, false
	}
	return inst.load(), true
}

// load returns the exact current load, which is sent with responses and replies to queries.
func (i *instance) load() msg.Load {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.loadAt(time.Now())
}

// loadAt is load for callers that hold i.mu.
func (i *instance) loadAt(now time.Time) msg.Load {
	failureProbability := i.failureEstimate.SickForSelection(now, i.guard.model)
	var waitingMS [admit.Priorities]uint32
	for priority, work := range i.queue.QueuedWork() {
		waitingMS[priority] = uint32(work.Milliseconds())
	}
	running := i.concurrency.scaleLoad(i.slots, i.queue.BusySlots(), &waitingMS)
	// A wait for the rate limit delays a request of any priority, like work that occupies all
	// slots.
	rateLimitWait := min(i.queue.RateLimitWait(now), maxRateLimitWait)
	waitingMS[admit.Priorities-1] += uint32(rateLimitWait.Milliseconds()) * uint32(i.slots)
	return msg.Load{
		WaitingMS: waitingMS,
		Slots:     uint32(i.slots), Running: running, Queued: uint32(i.queue.Queued()),
		Health: uint8(i.detector.Health()), Evidence: uint32(i.detector.Evidence() * evidenceScale),
		FailureEstimate: uint16(failureProbability * msg.Thousandths), ShedShare: uint16(i.shedShare.At(now) * msg.Thousandths),
		RetryBudgetLeft: i.reportedBudget(now),
	}
}

const (
	// trialFailureThreshold is the failure estimate from which the instance's health
	// is in doubt.
	trialFailureThreshold = 0.1
	// trialDelay is the time between a failed trial and the next one. A trial is a request
	// that shows whether a doubtful instance works again. A shorter delay spends the retry
	// budget on instances that stay unhealthy for seconds; a longer one delays the return
	// of those that have recovered.
	trialDelay = time.Second
	// busyTrialDelay is the time since the last start from which an instance in doubt that
	// still has running requests, in up to half of its slots, asks for a trial. It is longer
	// than trialDelay: a trial at an unresponsive instance occupies a slot, and its caller
	// learns of the failure late.
	busyTrialDelay = 4 * time.Second
	// idleDelay is how long an instance that is considered healthy must be idle
	// before it asks for work.
	idleDelay = 300 * time.Millisecond
)

// wantsWork reports whether the instance should ask for a request: it is idle for long
// enough or, if its health is in doubt, has no recent failure. An instance in doubt may have
// running requests: one that was unresponsive for a while may never respond to them, but to
// new ones. The caller must hold i.mu.
func (i *instance) wantsWork(now time.Time) bool {
	if i.unavailable() || i.finishing || i.queue.Queued() > 0 || i.queue.RateLimitWait(now) > 0 {
		return false
	}
	inDoubt := i.failureEstimate.SickForSelection(now, i.guard.model) >= trialFailureThreshold
	switch busy := i.queue.BusySlots(); {
	case !inDoubt:
		return busy == 0 && now.Sub(i.lastEnded) >= idleDelay
	case now.Sub(i.lastFailed) < trialDelay:
		return false
	default:
		return busy == 0 || 2*busy <= i.slots && now.Sub(i.lastStarted) >= busyTrialDelay
	}
}
