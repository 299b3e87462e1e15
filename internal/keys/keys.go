// Package keys makes sure that repeats with one Idempotency-Key run once: it
// owns shards of keys, promises as a guard, hands tables over, and claims for
// the front. The decisions are in package once; here are the messages, the
// timers and the writes of the shard maps.
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

// Config has the parameters of a Manager.
type Config struct {
	Host string
	// Incarnation is the process's start, in Unix milliseconds.
	Incarnation uint64
	// LeaseDuration is how long a promise lasts.
	LeaseDuration time.Duration
}

// Hooks are what a Manager needs of the other roles.
type Hooks struct {
	// DistributeMap takes a shard map that this host has written, to spread it at once.
	DistributeMap func(obj objects.Object)
}

// Manager is one host's share in the ownership of keys. It is safe for
// concurrent use.
type Manager struct {
	cfg   Config
	hooks Hooks
	log   *slog.Logger
	store objects.Store
	pool  *peer.Pool

	mu       sync.Mutex
	owner    *once.Owner
	promiser *once.Promiser
	view     *directory.Directory
	windows  map[string]time.Duration
	lostAt   map[string]time.Time
	settling map[string]settling
	// wanted are the services that a key was used with at this host before they
	// had a shard map. Services without keys cost nothing.
	wanted  map[string]bool
	stopped bool
	asks    sync.WaitGroup
}

const (
	// tickInterval is how often promises are looked at.
	tickInterval = 50 * time.Millisecond
	// placeInterval is how often the shard maps are looked at.
	placeInterval = 250 * time.Millisecond
	// callTimeout bounds one message to another host and its answer.
	callTimeout = 700 * time.Millisecond
	// lostAfter is how long a guard may be gone before the guards do without.
	lostAfter = time.Minute
)

// New makes a Manager; Run starts it.
func New(cfg Config, hooks Hooks, store objects.Store, log *slog.Logger) *Manager {
	m := &Manager{
		cfg: cfg, hooks: hooks, log: log, store: store, view: &directory.Directory{},
		promiser: once.NewPromiser(time.Now(), cfg.LeaseDuration),
		windows:  make(map[string]time.Duration),
		lostAt:   make(map[string]time.Time),
		settling: make(map[string]settling),
		wanted:   make(map[string]bool),
	}
	m.owner = once.NewOwner(cfg.Host, cfg.Incarnation, cfg.LeaseDuration, m.tableConfig)
	return m
}

// SetPool sets the connections to the other hosts, before Run.
func (m *Manager) SetPool(p *peer.Pool) { m.pool = p }

// MarkSynced says that the shard maps were read from the platform in this life.
func (m *Manager) MarkSynced() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.promiser.Synced()
}

// tableConfig gives the bounds of a service's tables. The caller holds the
// lock.
func (m *Manager) tableConfig(service string) once.TableConfig {
	cfg := once.DefaultTableConfig()
	if w, ok := m.windows[service]; ok {
		cfg.Window = w
	}
	return cfg
}

// SetDirectory takes a new directory.
func (m *Manager) SetDirectory(d *directory.Directory) {
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.view = d
	for name, s := range d.Services {
		m.windows[name] = s.Record.KeyWindow()
	}
	for service, sm := range d.Maps {
		for i, s := range sm.Shards {
			m.promiser.LearnEpoch(once.ShardID{Service: service, Shard: uint32(i)}, s.Epoch)
		}
		m.owner.SetMap(now, service, sm.ShardMap)
	}
}

// MayRun implements guard.Fence.
func (m *Manager) MayRun(service string, shard uint32, epoch uint64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.promiser.MayRun(once.ShardID{Service: service, Shard: shard}, epoch)
}

// Run works until the context ends.
func (m *Manager) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Add(1)
	go func() {
		defer wg.Done()
		m.placeLoop(ctx)
	}()
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		select {
		case now := <-ticker.C:
			m.tick(ctx, now)
		case <-ctx.Done():
		}
	}
	m.asks.Wait()
	wg.Wait()
}

func (m *Manager) tick(ctx context.Context, now time.Time) {
	m.mu.Lock()
	asks, won, lost := m.owner.Tick(now, now.UnixMilli())
	m.mu.Unlock()
	for _, id := range won {
		event.Log(m.log, event.ShardOwned, slog.String("service", id.Service), slog.Int("shard", int(id.Shard)))
	}
	for _, id := range lost {
		event.Log(m.log, event.ShardLost, slog.String("service", id.Service), slog.Int("shard", int(id.Shard)),
			slog.String("cause", "no majority of the guards has promised it"))
	}
	for _, a := range asks {
		m.asks.Add(1)
		go func() {
			defer m.asks.Done()
			m.ask(ctx, a)
		}()
	}
}

// ask asks one guard for a promise. The time is read before the message is
// sent: the promise counts from there.
func (m *Manager) ask(ctx context.Context, a once.Ask) {
	asked := time.Now()
	p := &msg.LeaseRequest{Service: a.Shard.Service, Shard: a.Shard.Shard, Epoch: a.Epoch, Owner: m.cfg.Host}
	reply, err := m.call(ctx, a.Guard, p)
	if err != nil {
		return
	}
	r, ok := reply.(*msg.LeaseReply)
	if !ok {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.owner.Promised(a, asked, once.PromiseReply{
		Granted: r.Granted, Epoch: r.Epoch, Life: time.Duration(r.TTLMS) * time.Millisecond,
	})
}

// call sends one message to a host and waits for the answer; to this host it
// is a function call.
func (m *Manager) call(ctx context.Context, host string, request msg.Message) (msg.Message, error) {
	if host == m.cfg.Host {
		return m.answer(request), nil
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	m.mu.Lock()
	h, ok := m.view.Hosts[host]
	m.mu.Unlock()
	if !ok {
		return nil, errUnknownHost
	}
	conn, err := m.pool.Conn(ctx, h.Peer)
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
		// The next call goes over a new connection: this one may be silent for good.
		conn.Doubt()
	}
	return reply, err
}

// Serve answers a stream that another host opened.
func (m *Manager) Serve(s wire.Stream, first msg.Message) {
	defer s.Close()
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	if reply := m.answer(first); reply != nil {
		_ = s.Send(ctx, reply)
	}
}

// answer decides about one request of a front, an owner or a leaving owner.
// The clock is read under the lock, after any wait for it.
func (m *Manager) answer(request msg.Message) msg.Message {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	switch r := request.(type) {
	case *msg.LeaseRequest:
		return m.promise(now, r)
	case *msg.KeyClaim:
		return m.owner.Claim(now, now.UnixMilli(), r)
	case *msg.KeyResult:
		return &msg.HandoverDone{Accepted: m.owner.Done(now, r)}
	case *msg.Handover:
		return &msg.HandoverDone{Accepted: m.owner.Accept(now, r)}
	default:
		return nil
	}
}

func (m *Manager) promise(now time.Time, r *msg.LeaseRequest) msg.Message {
	id := once.ShardID{Service: r.Service, Shard: r.Shard}
	if r.Release {
		m.promiser.Release(now, id, r.Epoch, r.Owner)
		return &msg.LeaseReply{Epoch: r.Epoch}
	}
	reply := m.promiser.Ask(now, id, r.Epoch, r.Owner)
	return &msg.LeaseReply{
		Granted: reply.Granted, Epoch: reply.Epoch,
		TTLMS: uint32(reply.Life.Milliseconds()), RetryAfterMS: uint32(reply.Wait.Milliseconds()),
	}
}

// State lists the owned shards for the state dump.
func (m *Manager) State() []once.OwnedState {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.owner.Shards(time.Now())
}

// mapOf gives a service's present shard map; false where there is none.
func mapOf(d *directory.Directory, service string) (*record.ShardMap, bool) {
	sm, ok := d.Maps[service]
	if !ok || len(sm.Shards) == 0 {
		return nil, false
	}
	return sm.ShardMap, true
}
