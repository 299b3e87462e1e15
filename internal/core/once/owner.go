package once

import (
	"cmp"
	"slices"
	"sort"
	"time"

	"github.com/radishhoist/radishhoist/internal/msg"
	"github.com/radishhoist/radishhoist/record"
)

// Owner holds the shards that the shard maps give to this host. It does no
// I/O: the caller sends the asks that Tick gives, and steps in the replies.
type Owner struct {
	host string
	// start is this process's start, as the shard maps name it.
	start  uint64
	life   time.Duration
	config func(service string) TableConfig
	shards map[ShardID]*ownedShard
	// incoming are tables handed over for an epoch not owned yet.
	incoming map[handoverKey]*incomingTable
}

type ownedShard struct {
	authority *Authority
	table     *Table
	nextAsk   time.Time
	// frozen means that the table was handed over: no claim is taken until
	// the map gives the shard a new epoch.
	frozen bool
	// held remembers the last answer of Held, for events.
	held bool
}

type handoverKey struct {
	ShardID
	epoch uint64
}

type incomingTable struct {
	entries  []msg.KeyEntry
	since    int64
	opaqueMS int64
	at       time.Time
	whole    bool
	// count is the number of parts that have come, in order.
	count uint32
}

// Ask is one promise to ask for.
type Ask struct {
	Guard string
	Shard ShardID
	Epoch uint64
}

// NewOwner makes an Owner without shards, for a process that started at start,
// in Unix milliseconds. life is the life of a promise;
// config gives a service's table bounds.
func NewOwner(host string, start uint64, life time.Duration, config func(service string) TableConfig) *Owner {
	return &Owner{
		host: host, start: start, life: life, config: config,
		shards: make(map[ShardID]*ownedShard), incoming: make(map[handoverKey]*incomingTable),
	}
}

// SetMap takes a service's shard map. A shard at a new epoch starts with the
// table that was handed over for it, or else with one that knows nothing.
func (o *Owner) SetMap(now time.Time, service string, m *record.ShardMap) {
	for i, s := range m.Shards {
		id := ShardID{service, uint32(i)}
		have, owned := o.shards[id]
		if s.Owner != o.host || s.Incarnation != o.start {
			delete(o.shards, id)
			continue
		}
		if owned && have.authority.Epoch() > s.Epoch {
			continue
		}
		if !owned || have.authority.Epoch() < s.Epoch {
			o.shards[id] = o.takeOver(now, id, s.Epoch, m, have)
			continue
		}
		o.changeGuards(have, m)
	}
	for id := range o.shards {
		if id.Service == service && int(id.Shard) >= len(m.Shards) {
			delete(o.shards, id)
		}
	}
}

// changeGuards takes new guards at the same epoch: authority is gathered anew,
// the table stays.
func (o *Owner) changeGuards(s *ownedShard, m *record.ShardMap) {
	if slices.Equal(s.authority.guards, m.Guards) && slices.Equal(s.authority.prev, m.Prev) {
		return
	}
	fresh := NewAuthority(s.authority.Epoch(), m.Guards, m.Prev)
	fresh.until = s.authority.until
	s.authority = fresh
	s.nextAsk = time.Time{}
}

// takeOver starts a shard at a new epoch. An owner that follows itself keeps
// its table: nobody else had authority in between, since each epoch has one
// owner and epochs follow one another.
func (o *Owner) takeOver(now time.Time, id ShardID, epoch uint64, m *record.ShardMap, have *ownedShard) *ownedShard {
	s := &ownedShard{authority: NewAuthority(epoch, m.Guards, m.Prev)}
	in, ok := o.incoming[handoverKey{id, epoch}]
	switch {
	case have != nil && have.authority.Epoch()+1 == epoch:
		s.table = have.table
	case ok && in.whole:
		s.table = ImportTable(o.config(id.Service), now, in.entries, in.since, in.opaqueMS)
	default:
		s.table = NewTable(o.config(id.Service))
	}
	for key := range o.incoming {
		if key.ShardID == id && key.epoch <= epoch {
			delete(o.incoming, key)
		}
	}
	return s
}

// asksPerLife is how often a promise is renewed within its life.
const asksPerLife = 3

// Tick gives the promises to ask for now, ages the tables, and reports the
// shards whose authority was won or lost.
func (o *Owner) Tick(now time.Time, wallMS int64) (asks []Ask, won, lost []ShardID) {
	for id, s := range o.shards {
		s.table.Tick(now)
		if s.authority.Held(now) {
			s.table.Begin(now, wallMS)
		}
		if held := s.authority.Held(now); held != s.held {
			s.held = held
			if held {
				won = append(won, id)
			} else {
				lost = append(lost, id)
			}
		}
		if now.Before(s.nextAsk) {
			continue
		}
		s.nextAsk = now.Add(o.life / asksPerLife)
		for _, g := range s.authority.Guards() {
			asks = append(asks, Ask{Guard: g, Shard: id, Epoch: s.authority.Epoch()})
		}
	}
	for key, in := range o.incoming {
		if now.Sub(in.at) > incomingLife {
			delete(o.incoming, key)
		}
	}
	slices.SortFunc(asks, func(a, b Ask) int {
		return cmp.Or(cmp.Compare(a.Guard, b.Guard), cmp.Compare(a.Shard.Service, b.Shard.Service), cmp.Compare(a.Shard.Shard, b.Shard.Shard))
	})
	return asks, won, lost
}

// incomingLife is how long a table that was handed over waits for its epoch.
const incomingLife = 10 * time.Minute

// Promised takes a guard's reply to an Ask that was sent at a time.
func (o *Owner) Promised(a Ask, asked time.Time, r PromiseReply) {
	s, ok := o.shards[a.Shard]
	if !ok || s.authority.Epoch() != a.Epoch || !r.Granted {
		return
	}
	s.authority.Promised(a.Guard, asked, r.Life)
}

// Claim decides about a keyed request. The clock must have been read after
// the last wait.
func (o *Owner) Claim(now time.Time, wallMS int64, c *msg.KeyClaim) *msg.KeyClaimed {
	s, ok := o.shards[ShardID{c.Service, c.Shard}]
	if !ok || s.frozen || !s.authority.Held(now) {
		return &msg.KeyClaimed{Outcome: uint8(ClaimRefused), RetryAfterMS: uint32(o.life.Milliseconds() / 2)}
	}
	s.table.Begin(now, wallMS)
	outcome, replay := s.table.Claim(now, wallMS, c)
	reply := &msg.KeyClaimed{}
	if replay != nil {
		reply = replay
	}
	reply.Outcome, reply.Epoch = uint8(outcome), s.authority.Epoch()
	return reply
}

// Done takes the end of a claimed request and reports whether this host owns
// the shard; else the front tells the present owner. It needs no authority:
// it only adds knowledge.
func (o *Owner) Done(now time.Time, d *msg.KeyResult) bool {
	s, ok := o.shards[ShardID{d.Service, d.Shard}]
	if !ok || s.frozen {
		return false
	}
	s.table.Done(now, d)
	return true
}

// Freeze stops claims on a shard and gives the table for its next owner, who
// takes it at the next epoch. A frozen shard is never thawed within its epoch:
// the next owner may already rely on the table.
func (o *Owner) Freeze(now time.Time, id ShardID) (entries []msg.KeyEntry, since, opaqueMS int64, epoch uint64, ok bool) {
	s, ok := o.shards[id]
	if !ok || !s.authority.Held(now) {
		return nil, 0, 0, 0, false
	}
	s.frozen = true
	entries, since, opaqueMS = s.table.Export(now)
	return entries, since, opaqueMS, s.authority.Epoch(), true
}

// Accept takes a part of a table handed over for an epoch.
func (o *Owner) Accept(now time.Time, h *msg.Handover) bool {
	key := handoverKey{ShardID{h.Service, h.Shard}, h.Epoch}
	if s, ok := o.shards[key.ShardID]; ok && s.authority.Epoch() >= h.Epoch {
		return false
	}
	in, ok := o.incoming[key]
	if !ok || h.Part == 0 {
		in = &incomingTable{since: h.Since, opaqueMS: h.OpaqueMS}
		o.incoming[key] = in
	}
	if h.Part != in.count {
		return false
	}
	in.entries = append(in.entries, h.Entries...)
	in.at = now
	in.whole = h.Last
	in.count++
	return true
}

// Shards lists the shards this host owns, for drain and the state dump.
func (o *Owner) Shards(now time.Time) []OwnedState {
	out := []OwnedState{}
	for id, s := range o.shards {
		out = append(out, OwnedState{
			Service: id.Service, Shard: id.Shard, Epoch: s.authority.Epoch(),
			Held: s.authority.Held(now), Frozen: s.frozen, Keys: s.table.Len(),
		})
	}
	sort.Slice(out, func(i, j int) bool {
		if out[i].Service != out[j].Service {
			return out[i].Service < out[j].Service
		}
		return out[i].Shard < out[j].Shard
	})
	return out
}

// OwnedState is one owned shard in the state dump.
type OwnedState struct {
	Service string `json:"service"`
	Shard   uint32 `json:"shard"`
	Epoch   uint64 `json:"epoch"`
	Held    bool   `json:"authority"`
	Frozen  bool   `json:"handedOver"`
	Keys    int    `json:"keys"`
}
