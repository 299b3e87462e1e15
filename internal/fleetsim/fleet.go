package fleetsim

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/radishhoist/radishhoist/internal/core/crash"
	"github.com/radishhoist/radishhoist/internal/core/directory"
	"github.com/radishhoist/radishhoist/internal/core/header"
	"github.com/radishhoist/radishhoist/internal/core/loadreport"
	"github.com/radishhoist/radishhoist/internal/front"
	"github.com/radishhoist/radishhoist/internal/guard"
	"github.com/radishhoist/radishhoist/internal/msg"
	"github.com/radishhoist/radishhoist/internal/wire"
	"github.com/radishhoist/radishhoist/record"
)

const (
	// guardTickInterval is the interval at which guards check their queues, as in the daemon.
	guardTickInterval = 20 * time.Millisecond
	// tickGroups is the number of goroutines that run the ticks of all guards. With one for each
	// host, the race detector kept a trace of several hundred kilobytes for each of them.
	tickGroups = 8
	// queuePerSlot, grantTTL and targetIdle are the daemon's defaults.
	queuePerSlot = 4
	grantTTL     = 250 * time.Millisecond
	targetIdle   = 9 * time.Second
	// drainTime is the time allowed for work in progress to end. It exceeds every service time and
	// timeout of the scenarios.
	drainTime = 2 * time.Minute
)

// host is one host with its front, its guard and its instance.
type host struct {
	fleet    *fleet
	name, dc string
	instance *instance
	// localHosts are the names of the other hosts of the data centre, remoteHosts those of each
	// other data centre.
	localHosts  []string
	remoteHosts [][]string

	mu sync.Mutex
	// current is the running daemon, nil while the host is down. starts counts the daemons.
	current *daemon
	starts  int
	// reportLimiter selects the recipients of load reports within the rate limit.
	reportLimiter *loadreport.Limiter
	// turn is the index of the host to which a round robin sent last.
	turn int
}

// fleet is the state of one simulation.
type fleet struct {
	scenario *Scenario
	hosts    []*host
	byName   map[string]*host
	start    time.Time
	ctx      context.Context
	// compiledRecords are the records in force.
	compiledRecords *directory.Records

	mu     sync.Mutex
	rng    *rand.Rand
	result Result
	// arrivedIDs are the IDs of the requests that have reached an instance, ranIDs of those
	// that an instance has not refused.
	arrivedIDs, ranIDs map[string]bool
	// links are the links between areas by direction.
	links map[[2]int]*areaLink
	// origins are the requests in progress by ID, informed what hosts have passed on.
	origins  map[string]origin
	informed map[informedKey]time.Duration
	// informedOfLeaving is when hosts first passed on that an instance is leaving.
	informedOfLeaving map[informedKey]time.Duration
}

// Run simulates a scenario and returns what was observed. It must be called within a bubble of
// testing/synctest.
func Run(s Scenario) Result {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	f := &fleet{
		scenario: &s, ctx: ctx, start: time.Now().Add(s.WarmUp), rng: rand.New(rand.NewPCG(s.Seed, s.Seed+1)),
		arrivedIDs:        make(map[string]bool),
		ranIDs:            make(map[string]bool),
		links:             make(map[[2]int]*areaLink),
		origins:           make(map[string]origin),
		informed:          make(map[informedKey]time.Duration),
		informedOfLeaving: make(map[informedKey]time.Duration),
		byName:            make(map[string]*host),
		result: Result{
			ByKind: make(map[string]Outcome), Instances: make(map[string]*InstanceStats),
			Retries: make(map[string][]time.Duration), RequestTimes: make(map[string][]time.Duration),
			CrashingRequests: make(map[string]*CrashStats),
			RateLimited:      make(map[string]*RateLimitStats),
			LateArrivals:     make(map[string]int),
			FrozenInstances:  make(map[string]bool),
		},
	}
	for _, c := range s.CrashingRequests {
		f.result.CrashingRequests[c.Path] = &CrashStats{}
	}
	f.createHosts()
	for group := range slices.Chunk(f.hosts, max(len(f.hosts)/tickGroups, 1)) {
		go f.runTicks(group)
	}
	for _, h := range f.hosts {
		h.instance.simulateHealth()
	}
	go f.compareLinkUse()
	time.Sleep(s.WarmUp)
	f.sendRequests()
	f.countSpillChanges()
	cancel()
	time.Sleep(drainTime)
	return f.result
}

// createHosts creates the hosts and fills their directories.
func (f *fleet) createHosts() {
	for _, s := range f.scenario.Services {
		for i := range s.Instances {
			version := oldVersion
			if s.Name == f.scenario.MixedVersionService && i%2 == 1 {
				version = newVersion
			}
			f.hosts = append(f.hosts, f.newHost(len(f.hosts), s, fmt.Sprintf("%s-%d", s.Name, i), version))
		}
	}
	f.groupHostsByDC()
	f.compiledRecords = directory.Compile(f.records(), true)
	f.updateDirectories()
}

// updateDirectories gives every host the directory of all current instances. The hosts share
// it, because a Directory is immutable and its size grows with the number of hosts.
func (f *fleet) updateDirectories() {
	all := make([]*directory.Host, 0, len(f.hosts))
	for _, h := range f.hosts {
		described := &directory.Host{Name: h.name, DC: h.dc, PeerAddr: h.name}
		if d, incarnation := h.daemonWithIncarnation(); d != nil {
			described.Incarnation, described.Alive, described.Instances = incarnation, true, d.guard.Instances()
		}
		all = append(all, described)
	}
	d := directory.Build(f.compiledRecords, all)
	for _, h := range f.hosts {
		if current := h.daemon(); current != nil {
			current.front.SetDirectory(d)
			current.guard.Apply(d)
		}
	}
}

func (f *fleet) records() []*record.Record {
	c := &record.Configuration{}
	for _, s := range f.scenario.Services {
		c.Services = append(c.Services, record.NamedService{Name: s.Name, Service: record.Service{
			Preset: record.PresetQuick, Floor: record.Floor{Percent: 70}, RetryPercent: f.scenario.RetryPercent,
		}})
	}
	for _, k := range f.scenario.Kinds {
		idempotent := "no"
		if k.Idempotent {
			idempotent = "yes"
		}
		c.Routes = append(c.Routes, record.NamedRoute{Name: k.Name, Route: record.Route{
			PathPrefix: "/" + k.Name + "/", Service: k.Service, Idempotent: idempotent, Priority: k.Priority,
			TimeoutMS: int(k.Deadline.Milliseconds()), ObjectiveMS: int(k.Objective.Milliseconds()), MaxAttempts: k.MaxAttempts,
		}})
	}
	return []*record.Record{{Key: record.Key{Kind: record.KindConfiguration, Name: "main"}, Version: 1, Spec: c}}
}

func (f *fleet) newHost(n int, s Service, name, version string) *host {
	h := &host{fleet: f, name: "h" + name, dc: dcName(n % f.scenario.DCs), reportLimiter: loadreport.New(f.newRand()), turn: n}
	f.byName[h.name] = h
	stats := &InstanceStats{Service: s.Name}
	f.result.Instances[name] = stats
	h.instance = &instance{host: h, name: name, version: version, service: s, stats: stats, requestRNG: f.newRand(), healthRNG: f.newRand(), conns: make(map[*conn]struct{})}
	h.startDaemon()
	h.instance.announce()
	return h
}

// allowAllFence is a guard.Fence that allows every run, since no simulated request has a key.
type allowAllFence struct{}

// MayRun implements guard.Fence.
func (allowAllFence) MayRun(string, uint32, uint64) bool { return true }

func (f *fleet) newRand() *rand.Rand {
	f.mu.Lock()
	defer f.mu.Unlock()
	return rand.New(rand.NewPCG(f.rng.Uint64(), f.rng.Uint64()))
}

// now returns the time since the end of the warm-up, when callers start to send.
func (f *fleet) now() time.Duration { return time.Since(f.start) }

// delay returns the one-way delay of a message between two hosts.
func (f *fleet) delay(a, b *host) time.Duration {
	if a.dc == b.dc {
		return f.scenario.LocalDelay
	}
	if f.crossesAreas(a, b) {
		return f.scenario.Areas.Delay
	}
	return f.scenario.RemoteDelay
}

// daemon is one run of the processes of a host.
type daemon struct {
	front *front.Front
	guard *guard.Guard
}

// daemon returns the running daemon, nil while the host is down.
func (h *host) daemon() *daemon {
	d, _ := h.daemonWithIncarnation()
	return d
}

func (h *host) daemonWithIncarnation() (*daemon, uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.current, uint64(h.starts)
}

// startDaemon starts a daemon that knows nothing of earlier ones.
func (h *host) startDaemon() {
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	dialect := header.Default()
	g := guard.New(guard.Config{
		Host: h.name, QueuePerSlot: queuePerSlot, GrantTTL: grantTTL, TargetIdleTimeout: targetIdle, Dialect: dialect, LearnRefusals: h.fleet.scenario.LearnRefusals,
		Dial: func(context.Context, string) (net.Conn, error) { return h.instance.connect() },
	}, guard.Limits{AnnounceExpiry: time.Hour, RetryReserve: h.fleet.scenario.RetryReserve, RetryWindow: h.fleet.scenario.RetryWindow},
		log, allowAllFence{}, guard.Hooks{
			Changed: func() {}, LoadReport: h.sendLoadReport,
			Crashed: func(c crash.Crash) { h.broadcast(func(d *daemon) { d.guard.ApplyCrash(c) }) },
			Cleared: func(crashID string, fp crash.Fingerprint) {
				h.broadcast(func(d *daemon) { d.guard.ApplyClearance(crashID, fp) })
			},
		})
	fr := front.New(front.Config{
		Host: h.name, DC: h.dc, BufferBodyBytes: 1 << 10, MaxConns: 1 << 10, Service: h.instance.service.Name, Dialect: dialect,
		LearnRefusals: h.fleet.scenario.LearnRefusals,
		Areas:         h.fleet.scenario.areasByDC(), AreaLinkMbps: h.fleet.scenario.frontLinkMbps(),
	}, front.Limits{MaxBodyBytes: 1 << 20}, log, peers{h}, g, nil)
	fr.SetLoadQuerier(h)
	fr.SetLinkReporter(h)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.current = &daemon{front: fr, guard: g}
	h.starts++
}

// runTicks runs the ticks of the guards of a group of hosts.
func (f *fleet) runTicks(group []*host) {
	ticker := time.NewTicker(guardTickInterval)
	defer ticker.Stop()
	for {
		select {
		case now := <-ticker.C:
			for _, h := range group {
				if d := h.daemon(); d != nil && h.freezeTimeLeft() == 0 {
					d.guard.Tick(now)
					d.front.Tick(now)
				}
			}
		case <-f.ctx.Done():
			return
		}
	}
}

// sendLoadReport distributes a load report of the guard as internal/control does: to hosts in the
// same data centre as far as the rate limit allows, and to one host of each other data centre,
// which forwards it there.
func (h *host) sendLoadReport(report *msg.LoadReport, to loadreport.Scope) {
	report = h.withTrueHealth(report)
	h.deliver(func(d *daemon) { d.front.HandleLoadReport(report) })
	now := time.Now()
	var forwarders []string
	h.mu.Lock()
	if to == loadreport.ToAll {
		forwarders = h.reportLimiter.SelectRemote(now, h.remoteHosts)
	}
	recipients := h.reportLimiter.SelectLocal(now, h.localHosts, to)
	h.mu.Unlock()
	h.sendTo(recipients, func(other *host) { other.deliver(func(d *daemon) { d.front.HandleLoadReport(report) }) })
	h.sendTo(forwarders, func(other *host) { other.forwardLoadReport(report) })
}

// forwardLoadReport receives a load report from another data centre and forwards it to the hosts of
// its own.
func (h *host) forwardLoadReport(report *msg.LoadReport) {
	h.deliver(func(d *daemon) { d.front.HandleLoadReport(report) })
	h.mu.Lock()
	recipients := h.reportLimiter.SelectLocal(time.Now(), h.localHosts, loadreport.ToAll)
	h.mu.Unlock()
	h.sendTo(recipients, func(other *host) { other.deliver(func(d *daemon) { d.front.HandleLoadReport(report) }) })
}

// SendLoadQuery implements front.LoadQuerier.
func (h *host) SendLoadQuery(address string, q *msg.LoadQuery) {
	h.sendTo([]string{address}, func(other *host) {
		if left := other.freezeTimeLeft(); left > 0 {
			time.AfterFunc(left, func() { other.replyToLoadQuery(h, q) })
			return
		}
		other.replyToLoadQuery(h, q)
	})
}

// replyToLoadQuery sends the load of an instance of this host to the host that asked.
func (h *host) replyToLoadQuery(asking *host, q *msg.LoadQuery) {
	d := h.daemon()
	if d == nil {
		return
	}
	load, ok := d.guard.Load(q.Service, q.Instance)
	if !ok {
		return
	}
	h.instance.setTrueHealth(&load)
	reply := &msg.LoadReply{ID: q.ID, Index: q.Index, Load: load}
	h.sendTo([]string{asking.name}, func(to *host) { to.deliver(func(d *daemon) { d.front.HandleLoadReply(reply) }) })
}

// broadcast delivers a message to all other hosts, with the delay of one forwarding host. Hosts on the
// other side of a partition receive it with the first repair after the partition.
func (h *host) broadcast(deliver func(*daemon)) {
	for _, other := range h.fleet.hosts {
		if other != h {
			time.AfterFunc(h.fleet.partitionTimeLeft(h, other)+h.fleet.delay(h, other)+h.fleet.scenario.LocalDelay, func() { other.deliver(deliver) })
		}
	}
}

// deliver passes a message to the daemon, unless the host is down.
func (h *host) deliver(message func(*daemon)) {
	if d := h.daemon(); d != nil {
		message(d)
	}
}

// sendTo delivers a message to hosts. Those with the same delay get it from one goroutine, because
// starting one takes longer than most deliveries, so deliver must not block.
func (h *host) sendTo(names []string, deliver func(*host)) {
	byDelay := make(map[time.Duration][]*host, 1)
	for _, name := range names {
		other := h.fleet.byName[name]
		if h.fleet.partitionTimeLeft(h, other) > 0 {
			continue
		}
		delay := h.fleet.delay(h, other)
		byDelay[delay] = append(byDelay[delay], other)
	}
	for delay, hosts := range byDelay {
		time.AfterFunc(delay, func() {
			for _, other := range hosts {
				deliver(other)
			}
		})
	}
}

// groupHostsByDC sets localHosts and remoteHosts of every host, in the order in which the hosts
// were created. The hosts of a data centre share remoteHosts.
func (f *fleet) groupHostsByDC() {
	byDC := make([][]string, f.scenario.DCs)
	for n, h := range f.hosts {
		byDC[n%f.scenario.DCs] = append(byDC[n%f.scenario.DCs], h.name)
	}
	remoteHosts := make([][][]string, f.scenario.DCs)
	for dc := range remoteHosts {
		for other, names := range byDC {
			if other != dc && len(names) > 0 {
				remoteHosts[dc] = append(remoteHosts[dc], names)
			}
		}
	}
	for n, h := range f.hosts {
		dc := n % f.scenario.DCs
		h.remoteHosts = remoteHosts[dc]
		h.localHosts = slices.DeleteFunc(slices.Clone(byDC[dc]), func(name string) bool { return name == h.name })
	}
}

// repairDelay is the time after a partition until the hosts on both sides have exchanged the
// messages they missed.
const repairDelay = 900 * time.Millisecond

// partitionTimeLeft returns for how much longer two hosts cannot communicate, 0 if they can.
func (f *fleet) partitionTimeLeft(a, b *host) time.Duration {
	now := f.now()
	for _, c := range f.scenario.Partitions {
		dc := dcName(c.DC)
		separated := (a.dc == dc) != (b.dc == dc)
		if c.WholeArea {
			separated = f.crossesAreas(a, b)
		}
		if separated && now >= c.At && now < c.At+c.Duration {
			return c.At + c.Duration + repairDelay - now
		}
	}
	return 0
}

func dcName(n int) string { return fmt.Sprint("dc", n) }

// peers opens streams from one host to the others.
type peers struct{ from *host }

// Open implements front.Peers.
func (p peers) Open(_ context.Context, address string) (wire.Stream, *wire.Conn, error) {
	to, ok := p.from.fleet.byName[address]
	if !ok || to.daemon() == nil || p.from.fleet.partitionTimeLeft(p.from, to) > 0 {
		return nil, nil, io.EOF
	}
	local, remote := wire.Pipe()
	go to.serve(remote, p.from.dc)
	return delayedStream{local, p.from.fleet.delay(p.from, to), p.from, to.instance, p.from.fleet.crossesAreas(p.from, to)}, nil, nil
}

// serve handles a stream from a host of a data centre.
func (h *host) serve(s wire.Stream, dc string) {
	if d := h.daemon(); d != nil {
		s = d.front.CountLinkBytes(dc, s)
	}
	first, err := s.Recv(h.fleet.ctx)
	time.Sleep(h.freezeTimeLeft())
	d := h.daemon()
	if err != nil || d == nil {
		s.Close()
		return
	}
	d.guard.Serve(s, first)
}

// delayedStream adds the network delay to messages in both directions. In a scenario with a health
// oracle it also puts the true health of the instance into received messages.
type delayedStream struct {
	wire.Stream
	delay    time.Duration
	from     *host
	instance *instance
	// crossesAreas reports that the ends are in different areas.
	crossesAreas bool
}

// Send implements wire.Stream.
func (d delayedStream) Send(ctx context.Context, ms ...msg.Message) error {
	if d.crossesAreas {
		d.from.fleet.recordAreaBytes(ms...)
		time.Sleep(d.from.fleet.linkDelay(d.from, d.instance.host, ms...))
	}
	time.Sleep(d.delay)
	return d.Stream.Send(ctx, ms...)
}

// Recv implements wire.Stream.
func (d delayedStream) Recv(ctx context.Context) (msg.Message, error) {
	m, err := d.Stream.Recv(ctx)
	if err != nil {
		return m, err
	}
	if d.crossesAreas {
		d.from.fleet.recordAreaBytes(m)
		time.Sleep(d.from.fleet.linkDelay(d.instance.host, d.from, m))
	}
	time.Sleep(d.delay)
	switch m := m.(type) {
	case *msg.Grant:
		d.instance.setTrueHealth(&m.Load)
	case *msg.End:
		d.instance.setTrueHealth(&m.Load)
	case *msg.Fail:
		d.instance.setTrueHealth(&m.Load)
	}
	return m, nil
}
