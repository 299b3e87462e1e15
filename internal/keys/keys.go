// Package keys ensures that requests with the same Idempotency-Key run at most once. On
// each host, it owns shards of keys, grants leases of shards to their owners, hands over key
// tables, and claims keys for the front, the proxy at the caller. The decisions are made by
// package internal/core/once; this package sends the messages, runs the timers and writes
// the shard maps.
//
// A shard is one part of a service's keys. Its owner is the host that keeps the table of
// these keys, and its epoch numbers the assignment to that owner. The owner has authority
// over the shard while it holds leases of the epoch from a majority of the guards, which
// in this package are the hosts that the service's shard map names to grant these leases.
// A shard is frozen once its owner has exported the table to hand it over: the owner
// refuses claims until the shard has a new epoch.
package keys

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/radishhoist/radishhoist/internal/core/directory"
	"github.com/radishhoist/radishhoist/internal/core/once"
	"github.com/radishhoist/radishhoist/internal/event"
	"github.com/radishhoist/radishhoist/internal/msg"
	"github.com/radishhoist/radishhoist/internal/objects"
	"github.com/radishhoist/radishhoist/internal/peer"
	"github.com/radishhoist/radishhoist/internal/wire"
	"github.com/radishhoist/radishhoist/record"
)

// Config holds the parameters of a Manager.
type Config struct {
	Host string
	// Incarnation is the start time of the process in Unix milliseconds.
	Incarnation   uint64
	LeaseDuration time.Duration
}

// Hooks holds the functions of other components that a Manager calls.
type Hooks struct {
	// DistributeMap distributes a shard map at once: one that this host has written, or
	// the one that was stored when its own write conflicted.
	DistributeMap func(obj objects.Object)
}

// Manager implements all of one host's parts in key ownership: it is an owner of shards, a
// guard that grants leases and a client of the owners on behalf of the front. It is safe
// for concurrent use.
type Manager struct {
	cfg   Config
	hooks Hooks
	log   *slog.Logger
	store objects.Store
	pool  *peer.Pool

	mu            sync.Mutex
	owner         *once.Owner
	granter       *once.LeaseGranter
	dir           *directory.Directory
	keyWindows    map[string]time.Duration
	unusableSince map[string]time.Time
	// lastCandidates holds the candidate hosts of services without a shard map, as last
	// observed.
	lastCandidates map[string]candidateSet
	// needsShardMap holds the services that received a key at this host before they had
	// a shard map. Services that never use keys get no shard map.
	needsShardMap        map[string]bool
	leaving              bool
	pendingLeaseRequests sync.WaitGroup
	// syncRequested has capacity 1 and holds a value while the shard maps are to be read
	// from the platform.
	syncRequested chan struct{}
}

const (
	// tickInterval is the interval at which leases are checked for renewal and expiry.
	tickInterval = 50 * time.Millisecond
	// mapCheckInterval is the mean interval at which shard maps are checked for changes
	// that this host has to write.
	mapCheckInterval = 250 * time.Millisecond
	// callTimeout limits the exchange of one message and its reply with another host.
	callTimeout = 700 * time.Millisecond
	// guardLostAfter is how long a host may be unusable before it counts as lost. A lost
	// guard is removed from the shard map.
	guardLostAfter = time.Minute
)

// New creates a Manager. Its Run method must be called to start it.
func New(cfg Config, hooks Hooks, store objects.Store, log *slog.Logger) *Manager {
	m := &Manager{
		cfg: cfg, hooks: hooks, log: log, store: store, dir: &directory.Directory{},
		granter:        once.NewLeaseGranter(time.Now(), cfg.LeaseDuration),
		keyWindows:     make(map[string]time.Duration),
		unusableSince:  make(map[string]time.Time),
		lastCandidates: make(map[string]candidateSet),
		needsShardMap:  make(map[string]bool),
		syncRequested:  make(chan struct{}, 1),
	}
	m.owner = once.NewOwner(cfg.Host, cfg.Incarnation, cfg.LeaseDuration, m.tableConfig)
	return m
}

// SetPool sets the connections to the other hosts. It must be called before Run.
func (m *Manager) SetPool(p *peer.Pool) { m.pool = p }

// tableConfig returns the limits of a service's tables. The caller must hold
// m.mu.
func (m *Manager) tableConfig(service string) once.TableConfig {
	cfg := once.DefaultTableConfig()
	if w, ok := m.keyWindows[service]; ok {
		cfg.Window = w
	}
	return cfg
}

// SetDirectory applies a new version of the directory.
func (m *Manager) SetDirectory(d *directory.Directory) {
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.dir = d
	for name, s := range d.Services {
		m.keyWindows[name] = s.Record.KeyWindow()
	}
	for service, sm := range d.ShardMaps {
		m.observeEpochs(service, sm.ShardMap)
		m.owner.SetMap(now, service, sm.ShardMap)
	}
}

// MayRun implements guard.Fence. It reports whether a request that was claimed at an epoch
// may still start.
func (m *Manager) MayRun(service string, shard uint32, epoch uint64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.granter.MayRun(once.ShardID{Service: service, Shard: shard}, epoch)
}

// Run renews leases and maintains the shard maps until ctx is done.
func (m *Manager) Run(ctx context.Context) {
	var wg sync.WaitGroup
	for _, loop := range []func(context.Context){m.placementLoop, m.syncLoop} {
		wg.Add(1)
		go func() {
			defer wg.Done()
			loop(ctx)
		}()
	}
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		select {
		case now := <-ticker.C:
			m.tick(ctx, now)
		case <-ctx.Done():
		}
	}
	m.pendingLeaseRequests.Wait()
	wg.Wait()
}

func (m *Manager) tick(ctx context.Context, now time.Time) {
	m.mu.Lock()
	requests, acquired, lost := m.owner.Tick(now, now.UnixMilli())
	m.mu.Unlock()
	for _, id := range acquired {
		event.Log(m.log, event.ShardOwned, slog.String("service", id.Service), slog.Int("shard", int(id.Shard)))
	}
	for _, id := range lost {
		event.Log(m.log, event.ShardLost, slog.String("service", id.Service), slog.Int("shard", int(id.Shard)),
			slog.String("cause", "no lease from a majority of the guards"))
	}
	for _, req := range requests {
		m.pendingLeaseRequests.Add(1)
		go func() {
			defer m.pendingLeaseRequests.Done()
			m.requestLease(ctx, req)
		}()
	}
}

// requestLease requests a lease from one guard. The time is read before the message is
// sent, since the owner counts the duration of the lease from then.
func (m *Manager) requestLease(ctx context.Context, req once.LeaseRequest) {
	requestedAt := time.Now()
	p := &msg.LeaseRequest{Service: req.Shard.Service, Shard: req.Shard.Shard, Epoch: req.Epoch, Owner: m.cfg.Host}
	reply, err := m.call(ctx, req.Guard, p)
	if err != nil {
		return
	}
	r, ok := reply.(*msg.LeaseReply)
	if !ok {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.owner.HandleLeaseReply(req, requestedAt, once.LeaseReply{
		Granted: r.Granted, Epoch: r.Epoch, TTL: time.Duration(r.TTLMS) * time.Millisecond,
	})
}

// call sends a message to a host and waits for the reply. A message to this host
// is handled directly.
func (m *Manager) call(ctx context.Context, host string, request msg.Message) (msg.Message, error) {
	if host == m.cfg.Host {
		return m.handle(request), nil
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	m.mu.Lock()
	h, ok := m.dir.Hosts[host]
	m.mu.Unlock()
	if !ok {
		return nil, errUnknownHost
	}
	conn, err := m.pool.Conn(ctx, h.PeerAddr)
	if err != nil {
		return nil, err
	}
	s, err := conn.Open()
	if err != nil {
		return nil, err
	}
	defer s.Close()
	sent := time.Now()
	if err := s.Send(ctx, request); err != nil {
		return nil, err
	}
	reply, err := s.Recv(ctx)
	if ctx.Err() != nil && conn.LastRead().Before(sent) {
		// The connection may be broken, so the next call opens a new one.
		conn.MarkSuspect()
	}
	return reply, err
}

// Serve handles a stream opened by another host.
func (m *Manager) Serve(s wire.Stream, first msg.Message) {
	defer s.Close()
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	if reply := m.handle(first); reply != nil {
		_ = s.Send(ctx, reply)
	}
}

// handle processes a message from a front or an owner and returns the reply, nil if the
// type of the message is unexpected. The clock is read once the lock is acquired, since
// waiting for the lock may take long.
func (m *Manager) handle(request msg.Message) msg.Message {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	switch r := request.(type) {
	case *msg.LeaseRequest:
		return m.handleLease(now, r)
	case *msg.KeyClaim:
		return m.owner.Claim(now, now.UnixMilli(), r)
	case *msg.KeyResult:
		return &msg.HandoverReply{Accepted: m.owner.RecordResult(now, r)}
	case *msg.Handover:
		return &msg.HandoverReply{Accepted: m.owner.AcceptHandover(now, r)}
	default:
		return nil
	}
}

// handleLease handles a request to grant or release a lease. The caller must hold m.mu.
func (m *Manager) handleLease(now time.Time, r *msg.LeaseRequest) msg.Message {
	id := once.ShardID{Service: r.Service, Shard: r.Shard}
	if r.Release {
		m.granter.Release(now, id, r.Epoch, r.Owner)
		return &msg.LeaseReply{Epoch: r.Epoch}
	}
	if !m.granter.Synced() {
		m.requestSync()
	}
	reply := m.granter.Acquire(now, id, r.Epoch, r.Owner)
	return &msg.LeaseReply{
		Granted: reply.Granted, Epoch: reply.Epoch,
		TTLMS: uint32(reply.TTL.Milliseconds()), RetryAfterMS: uint32(reply.RetryAfter.Milliseconds()),
	}
}

// State returns the state of the owned shards.
func (m *Manager) State() []once.OwnedShardState {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.owner.Shards(time.Now())
}

// currentMap returns a service's current shard map, false if it has none.
func currentMap(d *directory.Directory, service string) (*record.ShardMap, bool) {
	sm, ok := d.ShardMaps[service]
	if !ok || len(sm.Shards) == 0 {
		return nil, false
	}
	return sm.ShardMap, true
}
