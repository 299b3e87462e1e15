package once

import (
	"slices"
	"time"
)

// ShardID names one shard of one service's idempotency keys.
type ShardID struct {
	Service string
	Shard   uint32
}

// Promiser is a guard's half of ownership: it promises each shard to one epoch
// at a time. A promise lasts for a time on the guard's own monotonic clock,
// and a greater epoch gets nothing until it has run out. Two owners need two
// majorities of the same guards, and the guard that both share has promised
// only one of them.
//
// A guard that has just started may have promised in an earlier life, so it
// promises nothing until a promise of that life has run out, and nothing until
// it has read the shard maps from the platform itself: a map from a peer may
// be older than what an earlier life had promised.
type Promiser struct {
	life    time.Duration
	started time.Time
	synced  bool
	shards  map[ShardID]promise
	// least is the epoch of the newest shard map: nothing older is promised
	// or run.
	least map[ShardID]uint64
}

type promise struct {
	epoch uint64
	owner string
	until time.Time
}

// PromiseReply is the guard's answer.
type PromiseReply struct {
	Granted bool
	// Epoch is the greatest epoch the guard knows for the shard.
	Epoch uint64
	// Life is how long the promise lasts.
	Life time.Duration
	// Wait is when asking again can help, 0 where it never will.
	Wait time.Duration
}

// NewPromiser makes a Promiser for a process that starts now.
func NewPromiser(now time.Time, life time.Duration) *Promiser {
	return &Promiser{life: life, started: now, shards: make(map[ShardID]promise), least: make(map[ShardID]uint64)}
}

// Synced says that the shard maps were read from the platform in this life.
func (p *Promiser) Synced() { p.synced = true }

// LearnEpoch takes the epoch of the shard map: nothing older is promised.
func (p *Promiser) LearnEpoch(id ShardID, epoch uint64) {
	p.least[id] = max(p.least[id], epoch)
}

// epoch is the greatest epoch known of a shard.
func (p *Promiser) epoch(id ShardID) uint64 { return max(p.shards[id].epoch, p.least[id]) }

// Ask asks for a promise of an epoch to an owner.
func (p *Promiser) Ask(now time.Time, id ShardID, epoch uint64, owner string) PromiseReply {
	if quiet := p.started.Add(p.life).Sub(now); quiet > 0 || !p.synced {
		return PromiseReply{Epoch: p.epoch(id), Wait: max(quiet, p.life/4)}
	}
	held := p.shards[id]
	switch {
	case epoch < p.epoch(id):
		return PromiseReply{Epoch: p.epoch(id)}
	case epoch == held.epoch && held.owner != "" && owner != held.owner:
		return PromiseReply{Epoch: held.epoch}
	case epoch > held.epoch && now.Before(held.until):
		return PromiseReply{Epoch: held.epoch, Wait: held.until.Sub(now)}
	}
	p.shards[id] = promise{epoch: epoch, owner: owner, until: now.Add(p.life)}
	return PromiseReply{Granted: true, Epoch: epoch, Life: p.life}
}

// Release gives a promise back before it has run out. Only its owner may.
func (p *Promiser) Release(now time.Time, id ShardID, epoch uint64, owner string) {
	held := p.shards[id]
	if held.epoch == epoch && held.owner == owner && now.Before(held.until) {
		held.until = now
		p.shards[id] = held
	}
}

// MayRun is the fence of a run that was claimed at an epoch: an epoch older
// than the one promised must not start any more.
func (p *Promiser) MayRun(id ShardID, epoch uint64) bool {
	return epoch >= p.epoch(id)
}

// Authority is the owner's half: it holds a shard while majorities of the
// guards have promised it the epoch. It counts each promise from when it
// asked, so that it always ends here before it ends at the guard.
type Authority struct {
	epoch  uint64
	guards []string
	prev   []string
	until  map[string]time.Time
}

// NewAuthority starts to gather promises for an epoch. prev are the guards
// before the last change of guards, nil where there was none: until every
// owner holds under both, a majority of each is needed.
func NewAuthority(epoch uint64, guards, prev []string) *Authority {
	return &Authority{epoch: epoch, guards: guards, prev: prev, until: make(map[string]time.Time)}
}

// Epoch is the epoch the authority is for.
func (a *Authority) Epoch() uint64 { return a.epoch }

// Guards lists whom to ask.
func (a *Authority) Guards() []string {
	out := append([]string{}, a.guards...)
	for _, g := range a.prev {
		if !slices.Contains(out, g) {
			out = append(out, g)
		}
	}
	return out
}

// Promised takes a guard's promise that was asked for at a time.
func (a *Authority) Promised(guard string, asked time.Time, life time.Duration) {
	if until := asked.Add(life); until.After(a.until[guard]) {
		a.until[guard] = until
	}
}

// Held says that the owner has authority at this moment. It must be asked
// after every wait: the process may have been paused.
func (a *Authority) Held(now time.Time) bool {
	return a.majority(now, a.guards) && (len(a.prev) == 0 || a.majority(now, a.prev))
}

func (a *Authority) majority(now time.Time, guards []string) bool {
	n := 0
	for _, g := range guards {
		if now.Before(a.until[g]) {
			n++
		}
	}
	return n > len(guards)/2
}
