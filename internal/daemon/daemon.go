// Package daemon puts the three roles of radishhoistd together: front, guard
// and control, with their sockets, the admin endpoints and the drain.
package daemon

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/radishhoist/radishhoist/internal/control"
	"github.com/radishhoist/radishhoist/internal/core/config"
	"github.com/radishhoist/radishhoist/internal/core/crash"
	"github.com/radishhoist/radishhoist/internal/core/directory"
	"github.com/radishhoist/radishhoist/internal/core/header"
	"github.com/radishhoist/radishhoist/internal/core/member"
	"github.com/radishhoist/radishhoist/internal/core/pulse"
	"github.com/radishhoist/radishhoist/internal/event"
	"github.com/radishhoist/radishhoist/internal/front"
	"github.com/radishhoist/radishhoist/internal/guard"
	"github.com/radishhoist/radishhoist/internal/keys"
	"github.com/radishhoist/radishhoist/internal/msg"
	"github.com/radishhoist/radishhoist/internal/objects"
	"github.com/radishhoist/radishhoist/internal/peer"
	"github.com/radishhoist/radishhoist/internal/port"
	"github.com/radishhoist/radishhoist/internal/settings"
	"github.com/radishhoist/radishhoist/internal/teams"
	"github.com/radishhoist/radishhoist/internal/wire"
	"github.com/radishhoist/radishhoist/record"
)

// PlatformAdapter are what a deployment's platform puts in the place of the product's own.
type PlatformAdapter struct {
	// Store is the platform's object API.
	Store objects.Store
	// Dialect names the headers of callers and targets.
	Dialect header.Dialect
	// RequiredRecords are the records without which nothing is served.
	RequiredRecords []record.Key
}

// OwnAdapter speak the product's own dialect.
func OwnAdapter(cfg *settings.Config) PlatformAdapter {
	return PlatformAdapter{Store: objects.NewClient(cfg.Platform, cfg.WatchWait), Dialect: header.Default()}
}

// Daemon is one host's process.
type Daemon struct {
	cfg     atomic.Pointer[settings.Config]
	log     *slog.Logger
	started time.Time
	store   objects.Store
	budget  *objects.RateLimitedStore
	front   *front.Front
	guard   *guard.Guard
	control *control.Control
	teams   *teams.RateLimiter
	keys    *keys.Manager
	pool    *peer.Pool
	gauges  *metrics.Set

	callers  *http.Server
	announce *http.Server
	admin    *http.Server
	probes   *http.Server
	ready    atomic.Bool
	stopped  atomic.Bool
	// stopHost says that a Stop record covers this host.
	stopHost atomic.Bool

	cancel context.CancelFunc
	wg     sync.WaitGroup
}

const (
	// firstMessage bounds the wait for a stream's first message.
	firstMessage = 10 * time.Second
	// guardTick is the resolution of grants and deadlines at the guard.
	guardTick = 20 * time.Millisecond
	// sweepInterval is how often idle peer connections are looked for.
	sweepInterval = time.Minute
	// failedStart bounds the closing of what a start that failed had opened.
	failedStart = time.Second
	// adminTimeout bounds the reading of an admin or announce request.
	adminTimeout = 5 * time.Second
)

// Start opens every socket and starts the roles. On an error nothing is left
// running.
func Start(cfg *settings.Config, ports PlatformAdapter, log *slog.Logger) (*Daemon, error) {
	log = log.With(slog.String("host", cfg.Host), slog.String("dc", cfg.DC))
	d := &Daemon{log: log, started: time.Now(), store: ports.Store}
	d.cfg.Store(cfg)
	store := objects.NewRateLimitedStore(d.store, objects.CallsPerSecond, objects.CallBurst)
	d.budget = store
	store.Observe(newLateCalls(log).tell)
	d.keys = keys.New(keys.Config{
		Host: cfg.Host, Incarnation: uint64(d.started.UnixMilli()), LeaseDuration: cfg.LeaseDuration,
	}, keys.Hooks{DistributeMap: func(obj objects.Object) { d.control.ApplyObject(obj) }}, store, log)
	d.guard = guard.New(guard.Config{
		Host: cfg.Host, QueuePerSlot: cfg.QueuePerSlot, GrantLife: cfg.GrantLife,
		TargetIdle: cfg.TargetIdle, Dialect: ports.Dialect,
	}, guardLimits(cfg), log, d.keys, guard.Hooks{
		Changed:    func() { d.control.InstancesChanged() },
		LoadReport: d.pulse,
		Crashed:    func(e crash.Crash) { d.control.PublishCrash(e) },
		Cleared:    func(end string, p crash.Fingerprint) { d.control.PublishClearance(end, p) },
		Blocked:    func(s guard.BlockedRequest) { d.control.StoreCrasher(s.Fingerprint, s.Request, s.Crashes) },
	})
	d.teams = teams.New(teams.Config{
		Host: cfg.Host, Incarnation: uint64(d.started.UnixMilli()), Allowance: cfg.TeamAllowance, AllowanceFraction: cfg.TeamOver, Window: cfg.TeamWindow,
		Send: func(to string, p *msg.TeamPacket) { d.control.SendTeamPacket(to, p) },
	})
	d.control = control.New(controlConfig(cfg, ports.RequiredRecords, d.started), control.Hooks{
		Directory:     d.setDirectory,
		Instances:     d.guard.Instances,
		LoadReport:    func(p *msg.LoadReport) { d.front.HandleLoadReport(p) },
		Crashed:       d.guard.ApplyCrash,
		Cleared:       d.guard.ApplyCleared,
		Unblocked:     d.guard.ClearSuspect,
		ShardMapsRead: d.keys.MarkSynced,
		TeamLimiter:   d.teams,
	}, store, log)
	d.front = front.New(front.Config{
		Host: cfg.Host, DC: cfg.DC, BufferBodyBytes: cfg.BufferBodyBytes,
		MaxHeaderBytes: cfg.MaxHeaderBytes, MaxConns: cfg.ConnBound(),
		HeaderTimeout: cfg.HeaderTimeout, IdleTimeout: cfg.IdleTimeout,
		Service: cfg.Service, Dialect: ports.Dialect,
	}, frontLimits(cfg), log, nil, d.guard, d.keys)
	d.front.SetRates(d.teams)
	d.gauges = d.newGauges()
	if err := d.listen(); err != nil {
		d.close(failedStart)
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	d.cancel = cancel
	d.goRun(func() { d.control.Run(ctx) })
	d.goRun(func() { d.tick(ctx) })
	d.goRun(func() { d.keys.Run(ctx) })
	for _, warning := range cfg.Warnings {
		event.Log(log, event.SettingsStrained, slog.String("cause", warning))
	}
	event.Log(log, event.Started, slog.String("callers", cfg.Callers), slog.String("peer", cfg.Peer),
		slog.String("announce", cfg.Announce), slog.String("admin", cfg.Admin))
	return d, nil
}

func frontLimits(cfg *settings.Config) front.Limits {
	return front.Limits{MaxBodyBytes: int64(cfg.MaxBodyBytes)}
}

func guardLimits(cfg *settings.Config) guard.Limits {
	return guard.Limits{AnnounceExpiry: cfg.AnnounceExpiry, RetryReserve: cfg.RetryReserve, RetryWindow: cfg.RetryWindow}
}

func controlConfig(cfg *settings.Config, needs []record.Key, started time.Time) control.Config {
	m := member.DefaultConfig(cfg.Host)
	m.ProbeInterval, m.ProbeTimeout, m.SuspicionTimeout = cfg.ProbeInterval, cfg.ProbeTimeout, cfg.Suspicion
	r := config.DefaultConfig()
	r.RepairInterval = cfg.RepairInterval
	return control.Config{
		Host: cfg.Host, DC: cfg.DC, Peer: cfg.Peer, Admin: cfg.Admin, Seeds: cfg.Seeds,
		Incarnation: uint64(started.UnixMilli()), Member: m, Replica: r, WatchersPerDC: cfg.WatchersPerDC,
		RequiredRecords: needs, MaxRetryInterval: cfg.MaxRetryInterval, StatusInterval: cfg.StatusInterval,
	}
}

func (d *Daemon) goRun(f func()) {
	d.wg.Add(1)
	go func() {
		defer d.wg.Done()
		f()
	}()
}

// listen opens the sockets in the order in which others depend on them.
func (d *Daemon) listen() error {
	cfg := d.cfg.Load()
	if err := d.control.Listen(); err != nil {
		return err
	}
	self := msg.Hello{Host: cfg.Host, DC: cfg.DC, Incarnation: uint64(d.started.UnixMilli())}
	handlers := peer.Handlers{Stream: d.handleStream, Control: d.control.HandleControl}
	pool, err := peer.Listen(cfg.Peer, self, handlers, d.log)
	if err != nil {
		return err
	}
	d.pool = pool
	d.control.SetSender(pool)
	d.front.SetPeers(pool)
	d.keys.SetPool(pool)
	d.announce = smallServer(d.guard.AnnounceHandler())
	if err := d.serve(cfg.Announce, "targets' announcements", d.announce, nil); err != nil {
		return err
	}
	d.admin = smallServer(d.adminHandler())
	if err := d.serve(cfg.Admin, "operators", d.admin, nil); err != nil {
		return err
	}
	if cfg.Ready != "" {
		d.probes = smallServer(d.readyHandler())
		if err := d.serve(cfg.Ready, "readiness", d.probes, nil); err != nil {
			return err
		}
	}
	d.callers = d.front.Server()
	return d.serve(cfg.Callers, "callers", d.callers, d.front.Limit)
}

func smallServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler: h, ReadHeaderTimeout: adminTimeout, ReadTimeout: adminTimeout,
		IdleTimeout: time.Minute, MaxHeaderBytes: 16 << 10,
	}
}

func (d *Daemon) serve(addr, whom string, s *http.Server, wrap func(net.Listener) net.Listener) error {
	l, err := port.Listen(whom, addr)
	if err != nil {
		return err
	}
	if wrap != nil {
		l = wrap(l)
	}
	d.goRun(func() { _ = s.Serve(l) })
	return nil
}

// pulse tells this host's front and those that use its instances what has
// changed there.
func (d *Daemon) pulse(p *msg.LoadReport, to pulse.Reach) {
	d.front.HandleLoadReport(p)
	d.control.SendLoadReport(p, to)
}

// handleStream takes a stream that another host opened.
func (d *Daemon) handleStream(_ *msg.Hello, s wire.Stream) {
	ctx, cancel := context.WithTimeout(context.Background(), firstMessage)
	first, err := s.Recv(ctx)
	cancel()
	if err != nil {
		s.Close()
		return
	}
	switch first.(type) {
	case *msg.Run, *msg.Reserve:
		d.guard.Serve(s, first)
	case *msg.KeyClaim, *msg.KeyResult, *msg.LeaseRequest, *msg.Handover:
		d.keys.Serve(s, first)
	default:
		s.Close()
	}
}

func (d *Daemon) tick(ctx context.Context) {
	ticker := time.NewTicker(guardTick)
	defer ticker.Stop()
	sweep := time.NewTicker(sweepInterval)
	defer sweep.Stop()
	for {
		select {
		case now := <-ticker.C:
			d.guard.Tick(now)
		case <-sweep.C:
			d.pool.Sweep()
		case <-ctx.Done():
			return
		}
	}
}

// setDirectory brings a new directory into force in all roles.
func (d *Daemon) setDirectory(dir *directory.Directory) {
	d.teams.SetTeams(dir.Teams)
	d.front.SetDirectory(dir)
	d.guard.Apply(dir)
	d.keys.SetDirectory(dir)
	d.followStop(dir)
	if dir.Complete && !d.ready.Swap(true) {
		event.Log(d.log, event.Ready)
	}
}

// followStop drains the host for a planned stop, and takes it back. Keys are
// handed over before the fleet is told, so that nobody takes their shards
// without their tables.
func (d *Daemon) followStop(dir *directory.Directory) {
	stop := dir.PlannedStop(d.cfg.Load().Host, "")
	covered := stop != nil
	if d.stopHost.Swap(covered) == covered || d.stopped.Load() {
		return
	}
	if !covered {
		d.keys.Resume()
		d.control.SetLeaving(false)
		return
	}
	event.Log(d.log, event.Draining, slog.String("cause", "planned stop: "+stop.Reason))
	d.goRun(func() {
		ctx, cancel := context.WithTimeout(context.Background(), handOverTimeout)
		defer cancel()
		d.keys.HandOver(ctx)
		d.control.SetLeaving(d.stopHost.Load())
	})
}

// handOverTimeout bounds the handing over of keys in a planned stop.
const handOverTimeout = 10 * time.Second

// Log gives the daemon's logger.
func (d *Daemon) Log() *slog.Logger { return d.log }
