package guard

import (
	"time"

	"github.com/radishhoist/radishhoist/internal/core/admit"
	"github.com/radishhoist/radishhoist/internal/core/chance"
	"github.com/radishhoist/radishhoist/internal/core/pulse"
	"github.com/radishhoist/radishhoist/internal/msg"
)

// saw takes the outcome of a request as evidence on the instance's state, as
// soon as it is known.
func (i *instance) saw(now time.Time, r result) {
	i.mu.Lock()
	switch {
	case r.shed:
		i.sheds.Observe(now, i.hadRoom(now))
	case r.cut:
		i.cutAt = now
	default:
		i.sheds.Observe(now, false)
	}
	if !r.shed && !r.cut && !r.excused {
		i.sick.Observe(now, r.failed, i.guard.model)
	}
	if r.failed {
		i.failedAt = now
	}
	i.mu.Unlock()
	i.tell(now)
}

// hadRoom says that a request which the instance refused had a free slot there:
// nothing reaches an instance but through its guard. An instance that does so
// looks idle and would draw more and more work. Requests that were broken off
// may still run for a while. The caller holds the lock; the refused request
// still counts as running.
func (i *instance) hadRoom(now time.Time) bool {
	return i.queue.Running() < i.slots && now.Sub(i.cutAt) > leftoverWork
}

const (
	// sickNews is by how many thousandths the estimate must differ from what the
	// fronts believe to be told to them at once.
	sickNews = 150
	// busyNews is by which part of the slots the load must move.
	busyNews = 0.3
	// tellAgain is how often nearby fronts are told in any case: some have just
	// started, or had not heard of the instance.
	tellAgain = 2 * time.Second
	// leftoverWork is for how long an instance may still work on a request that
	// was broken off: about as long as one takes at the offices.
	leftoverWork = time.Second
	// wantAgain is how often a request is asked for.
	wantAgain = 300 * time.Millisecond
)

// tell passes what has changed much to the fronts: how full the instance is to
// those nearby, that it turned sick or well to all.
func (i *instance) tell(now time.Time) {
	i.mu.Lock()
	load := i.loadAt(now)
	believed := i.toldSick.SickForSelection(now, i.guard.model) * msg.Thousandths
	turned := differ(int(load.FailureEstimate), int(believed)) >= sickNews || differ(int(load.ShedShare), int(i.told.ShedShare)) >= sickNews
	stale := now.Sub(i.toldAt) >= tellAgain
	news := turned || stale || float64(differ(busy(load), busy(i.told))) >= busyNews*float64(i.slots)
	if news {
		i.toldAt = now
		i.told, i.toldSick = load, chance.EstimateAt(now, load.FailureProbability())
	}
	i.mu.Unlock()
	if turned {
		i.logTurn(believed, load)
	}
	if !news {
		return
	}
	to := pulse.ToLocal
	if turned {
		to = pulse.ToAll
	}
	i.pulse(load, to)
}

func (i *instance) pulse(load msg.Load, to pulse.Reach) {
	i.guard.pulse(&msg.LoadReport{Loads: []msg.InstanceLoad{{Service: i.service, Instance: i.name, Load: load}}}, to)
}

// ask asks a few fronts for a request where the instance has had none for a while, and
// others each time. Without asking, those that were heard of last get all of them, and
// nobody knows any more whether the others are well when they are needed.
func (i *instance) ask(now time.Time) {
	i.mu.Lock()
	if now.Sub(i.askedAt) < wantAgain || !i.wants(now) {
		i.mu.Unlock()
		return
	}
	i.askedAt = now
	load := i.loadAt(now)
	load.WantsTrial = true
	i.mu.Unlock()
	i.pulse(load, pulse.ToFew)
}

func busy(l msg.Load) int { return int(l.Running + l.Queued) }

func differ(a, b int) int { return max(a-b, b-a) }

// load is the exact count that rides on answers.
func (i *instance) load() msg.Load {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.loadAt(time.Now())
}

// loadAt is load for a caller that holds the lock.
func (i *instance) loadAt(now time.Time) msg.Load {
	sick := i.sick.SickForSelection(now, i.guard.model)
	var waiting [admit.Priorities]uint32
	for p, work := range i.queue.Waiting() {
		waiting[p] = uint32(work.Milliseconds())
	}
	return msg.Load{
		WaitingMS: waiting,
		Slots:     uint32(i.slots), Running: uint32(i.queue.Running()), Queued: uint32(i.queue.Queued()),
		Health: uint8(i.detector.Health()), Evidence: uint32(i.detector.Evidence() * evidenceScale),
		FailureEstimate: uint16(sick * msg.Thousandths), ShedShare: uint16(i.sheds.At(now) * msg.Thousandths),
		RetryBudgetLeft: i.guard.repeats.left(now, i.service),
	}
}

const (
	// doubt is the estimate above which a failure is to be expected of a trial.
	doubt = 0.1
	// trialPause is the time between a failed trial and the next one: shorter
	// uses up the budget of repeats on instances that stay sick for seconds,
	// longer leaves out for longer those that are well again.
	trialPause = time.Second
	// idlePause is how long an instance that is believed well has nothing to do
	// before it asks for work.
	idlePause = 300 * time.Millisecond
)

// wants says that the instance should get a request: it has nothing to do, and where it is
// in doubt nothing that would tell how it is. The caller holds the lock.
func (i *instance) wants(now time.Time) bool {
	if i.out() || i.queue.Running()+i.queue.Queued() > 0 {
		return false
	}
	if i.sick.SickForSelection(now, i.guard.model) < doubt {
		return now.Sub(i.idleAt) >= idlePause
	}
	return now.Sub(i.failedAt) >= trialPause
}
