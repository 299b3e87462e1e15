package once

import (
	"cmp"
	"slices"
	"sort"
	"time"

	"github.com/radishhoist/radishhoist/internal/msg"
	"github.com/radishhoist/radishhoist/record"
)

// Owner manages the shards that the shard maps assign to this host. It does no I/O: the
// caller of Tick sends the lease requests that Tick returns, and passes the replies to
// HandleLeaseReply.
type Owner struct {
	host string
	// incarnation is the start time of this process in Unix milliseconds, by which shard
	// maps distinguish it from earlier processes on this host, whose tables are lost.
	incarnation   uint64
	leaseDuration time.Duration
	tableConfig   func(service string) TableConfig
	shards        map[ShardID]*ownedShard
	// incoming holds the tables that earlier owners have handed over for epochs that
	// have not started here.
	incoming map[handoverKey]*incomingTable
}

type ownedShard struct {
	authority   *Authority
	table       *Table
	nextRenewal time.Time
	// frozen is set once the table was exported for handover. Claims are refused until the
	// map gives the shard a new epoch.
	frozen bool
	// held is the result of authority.Held at the last tick, to detect changes.
	held bool
}

type handoverKey struct {
	ShardID
	epoch uint64
}

// incomingTable is a table that is being handed over. For completeSinceMS and opaqueMS, see
// Table.Export.
type incomingTable struct {
	entries         []msg.KeyEntry
	completeSinceMS int64
	opaqueMS        int64
	updatedAt       time.Time
	complete        bool
	// nextPart is the number of the next part. Parts are only accepted in order.
	nextPart uint32
}

// LeaseRequest is a request for a lease, to be sent to one guard.
type LeaseRequest struct {
	Guard string
	Shard ShardID
	Epoch uint64
}

// NewOwner creates an Owner without shards for a process that started at
// incarnation, in Unix milliseconds. tableConfig returns the limits of a service's
// tables.
func NewOwner(host string, incarnation uint64, leaseDuration time.Duration, tableConfig func(service string) TableConfig) *Owner {
	return &Owner{
		host: host, incarnation: incarnation, leaseDuration: leaseDuration, tableConfig: tableConfig,
		shards: make(map[ShardID]*ownedShard), incoming: make(map[handoverKey]*incomingTable),
	}
}

// SetMap applies a service's shard map. If this host owned a shard at the preceding epoch,
// it keeps its table at a new epoch. Otherwise, the shard starts with the table that was
// handed over for the epoch, or with an empty one, for which older keys are unknown. Shards
// that the map does not assign to this process are dropped, whatever their epoch. A shard
// that it does assign to this process is not changed if it is already at a greater epoch.
func (o *Owner) SetMap(now time.Time, service string, m *record.ShardMap) {
	for i, s := range m.Shards {
		id := ShardID{service, uint32(i)}
		current, owned := o.shards[id]
		if s.Owner != o.host || s.Incarnation != o.incarnation {
			delete(o.shards, id)
			continue
		}
		if owned && current.authority.Epoch() > s.Epoch {
			continue
		}
		if !owned || current.authority.Epoch() < s.Epoch {
			o.shards[id] = o.startEpoch(now, id, s.Epoch, m, current)
			continue
		}
		o.updateAuthority(current, m)
	}
	for id := range o.shards {
		if id.Service == service && int(id.Shard) >= len(m.Shards) {
			delete(o.shards, id)
		}
	}
}

// updateAuthority applies the guards of a map in which the shard has the same epoch.
// Normally, it is a map from ConfirmHeld, without previous guards. The shard keeps its
// leases and its table.
func (o *Owner) updateAuthority(s *ownedShard, m *record.ShardMap) {
	if slices.Equal(s.authority.guards, m.Guards) && slices.Equal(s.authority.prevGuards, m.PrevGuards) {
		return
	}
	updated := NewAuthority(s.authority.Epoch(), m.Guards, m.PrevGuards)
	updated.expiresAt = s.authority.expiresAt
	s.authority = updated
	s.nextRenewal = time.Time{}
}

// startEpoch starts a shard at a new epoch. previous is the shard at an earlier epoch, nil
// if this host did not own it. An owner of the preceding epoch keeps its table: no other
// host can have had authority in between, since epochs are consecutive and each has one
// owner.
func (o *Owner) startEpoch(now time.Time, id ShardID, epoch uint64, m *record.ShardMap, previous *ownedShard) *ownedShard {
	s := &ownedShard{authority: NewAuthority(epoch, m.Guards, m.PrevGuards)}
	in, ok := o.incoming[handoverKey{id, epoch}]
	switch {
	case previous != nil && previous.authority.Epoch()+1 == epoch:
		s.table = previous.table
	case ok && in.complete:
		s.table = ImportTable(o.tableConfig(id.Service), now, in.entries, in.completeSinceMS, in.opaqueMS)
	default:
		s.table = NewTable(o.tableConfig(id.Service))
	}
	for key := range o.incoming {
		if key.ShardID == id && key.epoch <= epoch {
			delete(o.incoming, key)
		}
	}
	return s
}

// renewalsPerLease is the number of requests to renew a lease within its duration.
const renewalsPerLease = 3

// Tick returns the lease requests that are due, expires table entries, and reports the
// shards for which authority was acquired or lost since the last tick. Shards that SetMap
// has dropped are not reported as lost.
func (o *Owner) Tick(now time.Time, wallMS int64) (requests []LeaseRequest, acquired, lost []ShardID) {
	for id, s := range o.shards {
		s.table.Tick(now)
		if s.authority.Held(now) {
			s.table.Activate(now, wallMS)
		}
		if held := s.authority.Held(now); held != s.held {
			s.held = held
			if held {
				acquired = append(acquired, id)
			} else {
				lost = append(lost, id)
			}
		}
		if now.Before(s.nextRenewal) {
			continue
		}
		s.nextRenewal = now.Add(o.leaseDuration / renewalsPerLease)
		for _, g := range s.authority.Guards() {
			requests = append(requests, LeaseRequest{Guard: g, Shard: id, Epoch: s.authority.Epoch()})
		}
	}
	for key, in := range o.incoming {
		if now.Sub(in.updatedAt) > incomingTTL {
			delete(o.incoming, key)
		}
	}
	slices.SortFunc(requests, func(a, b LeaseRequest) int {
		return cmp.Or(cmp.Compare(a.Guard, b.Guard), cmp.Compare(a.Shard.Service, b.Shard.Service), cmp.Compare(a.Shard.Shard, b.Shard.Shard))
	})
	return requests, acquired, lost
}

// incomingTTL is how long a handed-over table is kept, from its last part on, if its epoch
// does not start.
const incomingTTL = 10 * time.Minute

// HandleLeaseReply handles a guard's reply to req, which was sent at requestedAt.
func (o *Owner) HandleLeaseReply(req LeaseRequest, requestedAt time.Time, r LeaseReply) {
	s, ok := o.shards[req.Shard]
	if !ok || s.authority.Epoch() != req.Epoch || !r.Granted {
		return
	}
	s.authority.AddLease(req.Guard, requestedAt, r.TTL)
}

// Claim decides whether a keyed request may run. It refuses the claim if this host does
// not own the shard, has frozen it or does not have authority. now must have been read
// after the last blocking operation, since the leases may have expired meanwhile.
func (o *Owner) Claim(now time.Time, wallMS int64, c *msg.KeyClaim) *msg.ClaimReply {
	s, ok := o.shards[ShardID{c.Service, c.Shard}]
	if !ok || s.frozen || !s.authority.Held(now) {
		return &msg.ClaimReply{Outcome: uint8(ClaimRefused), RetryAfterMS: uint32(o.leaseDuration.Milliseconds() / 2)}
	}
	s.table.Activate(now, wallMS)
	outcome, replay := s.table.Claim(now, wallMS, c)
	reply := &msg.ClaimReply{}
	if replay != nil {
		reply = replay
	}
	reply.Outcome, reply.Epoch = uint8(outcome), s.authority.Epoch()
	return reply
}

// RecordResult records the result of a claimed request. It returns false if this host
// does not own the shard or has frozen it; the front then retries with the current owner.
// No authority is needed: a result permits no request to run, and authority is checked at
// the next claim of the key.
func (o *Owner) RecordResult(now time.Time, r *msg.KeyResult) bool {
	s, ok := o.shards[ShardID{r.Service, r.Shard}]
	if !ok || s.frozen {
		return false
	}
	s.table.RecordResult(now, r)
	return true
}

// Freeze makes an owned shard refuse claims and exports its table for the next owner,
// which uses it from the next epoch on. The shard stays frozen for the rest of its epoch,
// since the next owner may already have the exported table. Freeze returns ok as false
// without freezing the shard if this host does not have authority over it. For
// completeSinceMS and opaqueMS, see Table.Export.
func (o *Owner) Freeze(now time.Time, id ShardID) (entries []msg.KeyEntry, completeSinceMS, opaqueMS int64, epoch uint64, ok bool) {
	s, ok := o.shards[id]
	if !ok || !s.authority.Held(now) {
		return nil, 0, 0, 0, false
	}
	s.frozen = true
	entries, completeSinceMS, opaqueMS = s.table.Export(now)
	return entries, completeSinceMS, opaqueMS, s.authority.Epoch(), true
}

// AcceptHandover stores one part of a table that is handed over for an epoch. It returns
// false if the part is out of order or the epoch has already started. Part 0 discards
// the parts received before.
func (o *Owner) AcceptHandover(now time.Time, h *msg.Handover) bool {
	key := handoverKey{ShardID{h.Service, h.Shard}, h.Epoch}
	if s, ok := o.shards[key.ShardID]; ok && s.authority.Epoch() >= h.Epoch {
		return false
	}
	in, ok := o.incoming[key]
	if !ok || h.Part == 0 {
		in = &incomingTable{completeSinceMS: h.Since, opaqueMS: h.OpaqueMS}
		o.incoming[key] = in
	}
	if h.Part != in.nextPart {
		return false
	}
	in.entries = append(in.entries, h.Entries...)
	in.updatedAt = now
	in.complete = h.Last
	in.nextPart++
	return true
}

// Shards returns the shards that this host owns, sorted by service and number.
func (o *Owner) Shards(now time.Time) []OwnedShardState {
	out := []OwnedShardState{}
	for id, s := range o.shards {
		out = append(out, OwnedShardState{
			Service: id.Service, Shard: id.Shard, Epoch: s.authority.Epoch(),
			HasAuthority: s.authority.Held(now), Frozen: s.frozen, Keys: s.table.Len(),
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

// OwnedShardState describes one owned shard in the state dump.
type OwnedShardState struct {
	Service string `json:"service"`
	Shard   uint32 `json:"shard"`
	Epoch   uint64 `json:"epoch"`
	// HasAuthority reports whether the owner has authority.
	HasAuthority bool `json:"authority"`
	// Frozen reports whether the table was exported for handover. The next owner may not
	// have received it.
	Frozen bool `json:"handedOver"`
	Keys   int  `json:"keys"`
}
