package refusal

import "time"

const (
	// currentMaxAge is how long a guard that has no retry budget left is not asked again for
	// its load either. Budget becomes available whenever a part of the window ends, every
	// 500 ms with the usual window of 10 s.
	currentMaxAge = 150 * time.Millisecond
	// reportMaxAge is how long a report of a guard's budget is believed if no newer one
	// arrives. Guards of other data centres are asked for their load once in a second at
	// most. When reports of no budget were believed for currentMaxAge only, and replies to
	// load queries were lost, requests asked three times as many guards in vain.
	reportMaxAge = time.Second
	// MaxGuardsAsked is the maximum number of guards that a request asks for a retry, unless
	// its route allows more attempts. Each refusal costs a round trip, and guards of one
	// service run out of budget at about the same time.
	MaxGuardsAsked = 3
	// MaxWait is the longest wait for retry budget in a Retry-After.
	MaxWait = time.Second
)

// GuardBudget is what a front knows of the retry budget of one guard. The zero value knows
// nothing.
type GuardBudget struct {
	left int
	at   time.Time
	// refusedLevel is the level of the last retry that the guard refused for lack of
	// budget, and refusedAt when it did.
	refusedLevel Level
	refusedAt    time.Time
}

// Report records the budget that a guard has reported.
func (b *GuardBudget) Report(now time.Time, left int) { b.left, b.at = left, now }

// Refuse records that the guard refused a retry for lack of budget. It may have budget left
// for more important ones.
func (b *GuardBudget) Refuse(now time.Time, l Level) { b.refusedLevel, b.refusedAt = l, now }

// knowledge classifies a guard by what is known of its budget.
type knowledge uint8

const (
	unknown knowledge = iota
	spent
	available
)

func (b *GuardBudget) knowledge(now time.Time, l Level) knowledge {
	switch age := now.Sub(b.at); {
	case l >= b.refusedLevel && now.Sub(b.refusedAt) < currentMaxAge:
		return spent
	case age > reportMaxAge:
		return unknown
	case b.left == 0:
		return spent
	default:
		return available
	}
}

// Spent reports whether the guard is known to have no budget left for a retry.
func (b *GuardBudget) Spent(now time.Time, l Level) bool { return b.knowledge(now, l) == spent }

// JustSpent reports whether the guard is known to have had no budget left so recently that it
// need not be asked for its load either.
func (b *GuardBudget) JustSpent(now time.Time) bool {
	return b.left == 0 && now.Sub(b.at) < currentMaxAge
}

// minSpentGuards is the number of guards known to have no budget left from which the others
// are taken to have none either, unless one is known to have some. Guards share the traffic of
// their service evenly, so that their parts of the budget run out at about the same time.
const minSpentGuards = 3

// Askable sets ask[k] for each guard that may be asked for a retry and returns whether there
// is any. Guards that are known to have no budget left are not asked. If there are
// minSpentGuards of them and none that is known to have some, the others are not asked either.
func Askable(now time.Time, l Level, guards []*GuardBudget, ask []bool) bool {
	spentGuards, availableGuards := 0, 0
	for k, b := range guards {
		switch b.knowledge(now, l) {
		case spent:
			spentGuards++
		case available:
			availableGuards++
		}
		ask[k] = b.knowledge(now, l) != spent
	}
	if spentGuards >= minSpentGuards && availableGuards == 0 {
		clear(ask)
		return false
	}
	return len(guards) > spentGuards
}

// Wait is the time at which a service is expected to have retry budget again. The zero value
// knows none.
type Wait struct{ until time.Time }

// Expect records that one guard expects to have budget again after a time.
func (w *Wait) Expect(now time.Time, after time.Duration) {
	if until := now.Add(min(after, MaxWait)); after > 0 && (w.until.Before(now) || until.Before(w.until)) {
		w.until = until
	}
}

// Left returns the time until any guard is expected to have budget again, MaxWait if none is
// known.
func (w *Wait) Left(now time.Time) time.Duration {
	if left := w.until.Sub(now); left > 0 {
		return min(left, MaxWait)
	}
	return MaxWait
}
