// Package daemon assembles radishhoistd from its three roles and adds the sockets, the
// admin endpoints and graceful shutdown. The roles are front, which receives requests and
// chooses a target; guard, which queues requests and runs them on the targets of this
// host; and control, which maintains membership and records.
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

	"github.com/radishhoist/radishhoist/internal/connlimit"
	"github.com/radishhoist/radishhoist/internal/control"
	"github.com/radishhoist/radishhoist/internal/core/announce"
	"github.com/radishhoist/radishhoist/internal/core/config"
	"github.com/radishhoist/radishhoist/internal/core/crash"
	"github.com/radishhoist/radishhoist/internal/core/directory"
	"github.com/radishhoist/radishhoist/internal/core/header"
	"github.com/radishhoist/radishhoist/internal/core/loadreport"
	"github.com/radishhoist/radishhoist/internal/core/member"
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

// PlatformAdapter holds the platform-specific parts of a daemon, which a deployment may
// replace.
type PlatformAdapter struct {
	// Store is the platform's object API.
	Store objects.Store
	// Dialect holds the names of the headers used with callers and targets.
	Dialect header.Dialect
	// RequiredRecords lists the records that the daemon requires before it serves requests.
	RequiredRecords []record.Key
}

// OwnAdapter returns the adapter for the default platform API and header names.
func OwnAdapter(cfg *settings.Config) PlatformAdapter {
	return PlatformAdapter{Store: objects.NewClient(cfg.Platform, cfg.WatchWait), Dialect: header.Default()}
}

// Daemon is the radishhoistd process of one host.
type Daemon struct {
	cfg          atomic.Pointer[settings.Config]
	log          *slog.Logger
	started      time.Time
	store        objects.Store
	limitedStore *objects.RateLimitedStore
	front        *front.Front
	guard        *guard.Guard
	control      *control.Control
	teams        *teams.RateLimiter
	keys         *keys.Manager
	pool         *peer.Pool
	gauges       *metrics.Set

	callers  *http.Server
	announce *http.Server
	admin    *http.Server
	probes   *http.Server
	ready    atomic.Bool
	// shuttingDown is set when Shutdown begins.
	shuttingDown atomic.Bool
	// plannedStop is set while a Stop record covers this host.
	plannedStop atomic.Bool

	cancel context.CancelFunc
	wg     sync.WaitGroup
}

const (
	// firstMessageTimeout bounds the wait for the first message on a stream from a peer.
	firstMessageTimeout = 10 * time.Second
	// guardTickInterval is the interval at which the guard checks for expired grants and
	// deadlines.
	guardTickInterval = 20 * time.Millisecond
	// idleCloseInterval is how often idle peer connections are closed.
	idleCloseInterval = time.Minute
	// failedStartTimeout bounds the cleanup after a failed start.
	failedStartTimeout = time.Second
	// adminTimeout bounds the time to read a request to the admin, readiness or announce
	// address.
	adminTimeout = 5 * time.Second
)

// Start opens all sockets and starts the roles. On error it stops what it has started.
func Start(cfg *settings.Config, adapter PlatformAdapter, log *slog.Logger) (*Daemon, error) {
	log = log.With(slog.String("host", cfg.Host), slog.String("dc", cfg.DC))
	d := &Daemon{log: log, started: time.Now(), store: adapter.Store}
	d.cfg.Store(cfg)
	store := objects.NewRateLimitedStore(d.store, objects.CallsPerSecond, objects.CallBurst)
	d.limitedStore = store
	store.Observe(newCallReportLogger(log).report)
	d.keys = keys.New(keys.Config{
		Host: cfg.Host, Incarnation: uint64(d.started.UnixMilli()), LeaseDuration: cfg.LeaseDuration,
	}, keys.Hooks{DistributeMap: func(obj objects.Object) { d.control.ApplyObject(obj) }}, store, log)
	d.guard = guard.New(guard.Config{
		Host: cfg.Host, QueuePerSlot: cfg.QueuePerSlot, GrantTTL: cfg.GrantTTL,
		FairShares: cfg.FairShares, KeepLate: cfg.FairShares || cfg.LearnRefusals, LearnRefusals: cfg.LearnRefusals,
		LearnConcurrency:    cfg.LearnConcurrency,
		StrictAnnouncements: cfg.StrictAnnouncements,
		TargetIdleTimeout:   cfg.TargetIdleTimeout, Dialect: adapter.Dialect,
	}, guardLimits(cfg), log, d.keys, guard.Hooks{
		Changed:     func() { d.control.InstancesChanged() },
		LoadReport:  d.distributeLoadReport,
		Crashed:     func(c crash.Crash) { d.control.PublishCrash(c) },
		Cleared:     func(crashID string, fp crash.Fingerprint) { d.control.PublishClearance(crashID, fp) },
		ShareReport: func(address string, r *msg.ShareReport) { d.control.SendShareReport(address, r) },
		Blocked:     func(s guard.BlockedRequest) { d.control.StoreCrasher(s.Fingerprint, s.Request, s.Crashes) },
		Departed:    func(ctx context.Context, dep announce.Departure) error { return d.control.RecordDeparture(ctx, dep) },
		Revoked:     func(instance string) { d.control.RevokeDeparture(instance) },
	})
	d.teams = teams.New(teams.Config{
		Host: cfg.Host, Incarnation: uint64(d.started.UnixMilli()), Allowance: cfg.TeamAllowance, AllowanceFraction: cfg.TeamAllowanceFraction, Window: cfg.TeamWindow,
		Send: func(to string, p *msg.TeamPacket) { d.control.SendTeamPacket(to, p) },
	})
	d.control = control.New(controlConfig(cfg, adapter.RequiredRecords, d.started), control.Hooks{
		Directory:   d.setDirectory,
		Instances:   d.guard.Instances,
		LoadReport:  func(p *msg.LoadReport) { d.front.HandleLoadReport(p) },
		Load:        d.guard.Load,
		LoadReply:   func(r *msg.LoadReply) { d.front.HandleLoadReply(r) },
		ShareReport: d.guard.ReceiveShareReport,
		LinkReport:  func(sender string, r *msg.LinkReport) { d.front.ReceiveLinkReport(sender, r) },
		Crashed:     d.guard.ApplyCrash,
		Cleared:     d.guard.ApplyClearance,
		Unblocked:   d.guard.ClearSuspect,
		TeamLimiter: d.teams,

		DeparturesRestored: func(restored []announce.Departure) { d.guard.RestoreDepartures(time.Now(), restored) },
	}, store, log)
	d.front = front.New(front.Config{
		Host: cfg.Host, DC: cfg.DC, BufferBodyBytes: cfg.BufferBodyBytes,
		MaxHeaderBytes: cfg.MaxHeaderBytes, MaxConns: cfg.ConnBound(),
		PipelineDepth: cfg.PipelineDepth, HeaderTimeout: cfg.HeaderTimeout, IdleTimeout: cfg.IdleTimeout,
		Service: cfg.Service, Dialect: adapter.Dialect, LearnRefusals: cfg.LearnRefusals,
		Areas: cfg.Areas, AreaLinkMbps: cfg.AreaLinkMbps,
	}, frontLimits(cfg), log, nil, d.guard, d.keys)
	d.front.SetRateLimiter(d.teams)
	d.front.SetLoadQuerier(d.control)
	d.front.SetLinkReporter(d.control)
	d.gauges = d.newGauges()
	if err := d.listen(); err != nil {
		d.close(failedStartTimeout)
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	d.cancel = cancel
	d.startTask(func() { d.control.Run(ctx) })
	d.startTask(func() { d.tick(ctx) })
	d.startTask(func() { d.keys.Run(ctx) })
	for _, warning := range cfg.Warnings {
		event.Log(log, event.SettingsWarning, slog.String("cause", warning))
	}
	event.Log(log, event.Started, slog.String("callers", cfg.Callers), slog.String("peer", cfg.Peer),
		slog.String("announce", cfg.Announce), slog.String("admin", cfg.Admin))
	return d, nil
}

func frontLimits(cfg *settings.Config) front.Limits {
	return front.Limits{MaxBodyBytes: int64(cfg.MaxBodyBytes), RequestMemoryBytes: cfg.RequestMemoryBytes()}
}

func guardLimits(cfg *settings.Config) guard.Limits {
	return guard.Limits{AnnounceExpiry: cfg.AnnounceExpiry, RetryReserve: cfg.RetryReserve, RetryWindow: cfg.RetryWindow}
}

func controlConfig(cfg *settings.Config, requiredRecords []record.Key, started time.Time) control.Config {
	m := member.DefaultConfig(cfg.Host)
	m.ProbeInterval, m.ProbeTimeout, m.SuspicionTimeout = cfg.ProbeInterval, cfg.ProbeTimeout, cfg.SuspicionTimeout
	replica := config.DefaultConfig()
	replica.RepairInterval = cfg.RepairInterval
	return control.Config{
		Host: cfg.Host, DC: cfg.DC, PeerAddr: cfg.Peer, AdminAddr: cfg.Admin, Seeds: cfg.Seeds,
		Incarnation: uint64(started.UnixMilli()), Member: m, Replica: replica, WatchersPerDC: cfg.WatchersPerDC,
		RequiredRecords: requiredRecords, MaxRetryInterval: cfg.MaxRetryInterval, StatusInterval: cfg.StatusInterval,
	}
}

// startTask runs f in a goroutine that close waits for.
func (d *Daemon) startTask(f func()) {
	d.wg.Add(1)
	go func() {
		defer d.wg.Done()
		f()
	}()
}

// listen opens the sockets in dependency order; the one for callers comes last.
func (d *Daemon) listen() error {
	cfg := d.cfg.Load()
	if err := d.control.Listen(); err != nil {
		return err
	}
	self := msg.Hello{Host: cfg.Host, DC: cfg.DC, Incarnation: uint64(d.started.UnixMilli())}
	handlers := peer.Handlers{Stream: d.handleStream, Control: d.control.HandleControl}
	pool, err := peer.Listen(cfg.Peer, self, handlers, cfg.UnidentifiedPeerBound(), d.log)
	if err != nil {
		return err
	}
	d.pool = pool
	d.control.SetSender(pool)
	d.front.SetPeers(pool)
	d.keys.SetPool(pool)
	limitConns := func(l net.Listener) net.Listener { return connlimit.New(l, cfg.AuxiliaryConnBound()) }
	d.announce = newHTTPServer(d.guard.AnnounceHandler())
	if err := d.serve(cfg.Announce, "target announcements", d.announce, limitConns); err != nil {
		return err
	}
	d.admin = newHTTPServer(d.adminHandler())
	if err := d.serve(cfg.Admin, "operators", d.admin, limitConns); err != nil {
		return err
	}
	if cfg.Ready != "" {
		d.probes = newHTTPServer(d.readyHandler())
		if err := d.serve(cfg.Ready, "readiness", d.probes, limitConns); err != nil {
			return err
		}
	}
	d.callers = d.front.Server()
	return d.serve(cfg.Callers, "callers", d.callers, d.front.LimitListener)
}

func newHTTPServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler: h, ReadHeaderTimeout: adminTimeout, ReadTimeout: adminTimeout,
		IdleTimeout: time.Minute, MaxHeaderBytes: 16 << 10,
	}
}

func (d *Daemon) serve(addr, purpose string, s *http.Server, wrap func(net.Listener) net.Listener) error {
	l, err := port.Listen(purpose, addr)
	if err != nil {
		return err
	}
	d.startTask(func() { _ = s.Serve(wrap(l)) })
	return nil
}

// distributeLoadReport passes a load report of the guard to the local front and to the
// hosts in the given scope.
func (d *Daemon) distributeLoadReport(report *msg.LoadReport, to loadreport.Scope) {
	d.front.HandleLoadReport(report)
	d.control.SendLoadReport(report, to)
}

// handleStream dispatches a stream opened by another host by its first message.
func (d *Daemon) handleStream(from *msg.Hello, s wire.Stream) {
	s = d.front.CountLinkBytes(from.DC, s)
	ctx, cancel := context.WithTimeout(context.Background(), firstMessageTimeout)
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

// tick runs the periodic tasks of the guard, the front and the peer pool until the context ends.
func (d *Daemon) tick(ctx context.Context) {
	ticker := time.NewTicker(guardTickInterval)
	defer ticker.Stop()
	idleTicker := time.NewTicker(idleCloseInterval)
	defer idleTicker.Stop()
	for {
		select {
		case now := <-ticker.C:
			d.guard.Tick(now)
			d.front.Tick(now)
		case <-idleTicker.C:
			d.pool.CloseIdle()
		case <-ctx.Done():
			return
		}
	}
}

// setDirectory applies a new directory to all roles.
func (d *Daemon) setDirectory(dir *directory.Directory) {
	d.teams.SetTeams(dir.Teams)
	d.front.SetDirectory(dir)
	d.guard.Apply(dir)
	d.keys.SetDirectory(dir)
	d.applyPlannedStop(dir)
	if dir.Complete && !d.ready.Swap(true) {
		event.Log(d.log, event.Ready)
	}
}

// applyPlannedStop drains the host when a Stop record begins to cover it, and resumes when
// none does any more. Idempotency keys are handed over before other hosts learn that this
// host leaves: otherwise one of them could take over a shard without its key table. Until
// the takeover, requests with a key of that shard are refused, so the announcement follows
// at once.
func (d *Daemon) applyPlannedStop(dir *directory.Directory) {
	stop := dir.PlannedStop(d.cfg.Load().Host, "")
	covered := stop != nil
	if d.plannedStop.Swap(covered) == covered || d.shuttingDown.Load() {
		return
	}
	if !covered {
		d.keys.Resume()
		d.control.SetLeaving(false)
		return
	}
	event.Log(d.log, event.Draining, slog.String("cause", "planned stop: "+stop.Reason))
	d.startTask(func() {
		ctx, cancel := context.WithTimeout(context.Background(), handOverTimeout)
		defer cancel()
		d.keys.HandOver(ctx)
		d.control.SetLeaving(d.plannedStop.Load())
	})
}

// handOverTimeout bounds the key handover in a planned stop.
const handOverTimeout = 10 * time.Second

// Log returns the daemon's logger.
func (d *Daemon) Log() *slog.Logger { return d.log }
