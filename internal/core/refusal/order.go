package refusal

import (
	"math"
	"time"
)

// Retry describes a retry as far as a guard knows it.
type Retry struct {
	// NotRun reports that no earlier attempt has run.
	NotRun bool
	// Hedge reports that an earlier attempt is still running.
	Hedge bool
	// Objective is the latency objective, 0 if there is none, Elapsed the time since the
	// arrival of the request, and Expected the expected service time.
	Objective, Elapsed, Expected time.Duration
	// Priority and SubPriority are those of the request, 0 to 3; higher is more urgent.
	Priority, SubPriority uint8
	// Call reports that an instance makes the request while it runs another one. Without
	// its response the work on that one is lost.
	Call bool
}

// Level is the order in which retries get the budget when little is left; lower levels come
// first.
type Level uint8

const (
	// priorityLevels is the number of combinations of Priority, SubPriority and Call.
	priorityLevels = 32
	// levels is the number of values of Level.
	levels = 4 * priorityLevels
)

// Level returns the level of the retry. It is decided by whether the objective can still be
// met and whether an earlier attempt may have run, then by priority, then by whether the
// request is a call.
func (r Retry) Level() Level {
	l := (3-min(r.Priority, 3))*8 + (3-min(r.SubPriority, 3))*2
	if !r.Call {
		l++
	}
	switch {
	case r.missed():
		l += 3 * priorityLevels
	case r.Objective > 0 && r.Elapsed+r.Expected > r.Objective:
		l += 2 * priorityLevels
	case !r.NotRun:
		l += priorityLevels
	}
	return Level(l)
}

// missed reports whether the retry cannot make a response meet the objective that would
// otherwise miss it: the objective has passed, or another attempt may still meet it.
func (r Retry) missed() bool { return r.Hedge || r.Objective > 0 && r.Elapsed >= r.Objective }

const (
	// scarcePart is the part of the allowance that is kept for more important retries. A
	// larger part would leave more of it unused when the important ones are few.
	scarcePart = 0.2
	// missedPart is the part of the allowance that hedges and retries after the objective
	// leave unused.
	missedPart = 0.5
	// demandHalfLife is the half-life of the counts of retries by level. It is half of the
	// usual window of the budget.
	demandHalfLife = 5 * time.Second
	// decayInterval is the interval at which the counts are reduced.
	decayInterval = 100 * time.Millisecond
)

// Order decides which part of the allowance a retry must leave to others. It counts the
// retries by level: the part kept from a retry grows with the share of recent ones that are
// more important, so that nothing is kept where all are alike. The zero value has no counts.
type Order struct {
	counts [levels]float64
	at     time.Time
}

// Keep records that a retry asks for budget and returns the share of the allowance that must
// remain if it is to get it.
func (o *Order) Keep(now time.Time, r Retry) float64 {
	if elapsed := now.Sub(o.at); elapsed >= decayInterval {
		decay := math.Exp2(-elapsed.Seconds() / demandHalfLife.Seconds())
		for l := range o.counts {
			o.counts[l] *= decay
		}
		o.at = now
	}
	level := r.Level()
	before, total := 0.0, 0.0
	for l, n := range o.counts {
		total += n
		if Level(l) < level {
			before += n
		}
	}
	o.counts[level]++
	keep := 0.0
	if total > 0 {
		keep = scarcePart * before / total
	}
	if r.missed() {
		keep = max(keep, missedPart)
	}
	return keep
}
