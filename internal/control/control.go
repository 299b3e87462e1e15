// Package control maintains a host's view of the fleet: membership, the replicated records
// and the directory compiled from both. It also writes the status summary of the data
// centre. It connects the state machines in internal/core to sockets and timers.
package control

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/radishhoist/radishhoist/internal/core/announce"
	"github.com/radishhoist/radishhoist/internal/core/config"
	"github.com/radishhoist/radishhoist/internal/core/contact"
	"github.com/radishhoist/radishhoist/internal/core/crash"
	"github.com/radishhoist/radishhoist/internal/core/departure"
	"github.com/radishhoist/radishhoist/internal/core/directory"
	"github.com/radishhoist/radishhoist/internal/core/loadreport"
	"github.com/radishhoist/radishhoist/internal/core/member"
	"github.com/radishhoist/radishhoist/internal/core/standby"
	"github.com/radishhoist/radishhoist/internal/event"
	"github.com/radishhoist/radishhoist/internal/msg"
	"github.com/radishhoist/radishhoist/internal/objects"
	"github.com/radishhoist/radishhoist/record"
)

// Config holds the parameters of a Control.
type Config struct {
	// Host, DC, PeerAddr and AdminAddr identify this host and its addresses.
	Host, DC, PeerAddr, AdminAddr string
	// Incarnation is the start time of the process in Unix milliseconds.
	Incarnation uint64
	// Seeds are the peer addresses to contact while no other host is known.
	Seeds []string
	// Member and Replica are the parameters of membership and replication.
	Member  member.Config
	Replica config.Config
	// WatchersPerDC is the number of hosts in each data centre that watch the platform.
	WatchersPerDC int
	// RequiredRecords are the records that this host needs before it serves traffic.
	RequiredRecords []record.Key
	// MaxRetryInterval is the maximum pause between calls to an unavailable platform.
	MaxRetryInterval time.Duration
	// StatusInterval is the minimum time between two writes of the status summary.
	StatusInterval time.Duration
}

// Hooks are the callbacks of a Control.
type Hooks struct {
	// Directory is called with each new directory. Calls are not concurrent.
	Directory func(*directory.Directory)
	// Instances returns the instances of this host.
	Instances func() []directory.Instance
	// LoadReport is called with load reports from the guards of other hosts. It must not
	// block.
	LoadReport func(*msg.LoadReport)
	// Load returns the current load of an instance on this host, and LoadReply is called with
	// replies to the queries of this host. They must not block.
	Load      func(service, instance string) (msg.Load, bool)
	LoadReply func(*msg.LoadReply)
	// ShareReport is called with the use of teams at guards of other hosts. It must not
	// block. Nil drops the reports.
	ShareReport func(*msg.ShareReport)
	// LinkReport is called with the use of the link between areas by the host at an address.
	// It must not block. Nil drops the reports.
	LinkReport func(sender string, r *msg.LinkReport)
	// Crashed is called with each crash of an instance on any host, and Cleared with each
	// request that was found not to have caused a crash. They must not block.
	Crashed func(crash.Crash)
	Cleared func(crashID string, fp crash.Fingerprint)
	// Unblocked is called with each request whose Crasher record was deleted, for example
	// by an operator. It must not block.
	Unblocked func(fp crash.Fingerprint)
	// DeparturesRestored is called with the departures of instances that earlier processes of
	// this host have acknowledged, also if there are none, once the platform's record of this
	// host is read, and with those that other hosts return. It must not block. Nil disables
	// the callback.
	DeparturesRestored func([]announce.Departure)
	// TeamLimiter enforces the rates of teams. It may be nil.
	TeamLimiter TeamRateLimiter
}

// Control runs the control plane of one host. It is safe for concurrent use.
type Control struct {
	cfg      Config
	hooks    Hooks
	log      *slog.Logger
	store    objects.Store
	sender   MessageSender
	udp      packetConn
	outboxes *outboxes

	// publishMu is held while a directory is built and passed to the hook.
	publishMu sync.Mutex

	// started is the time at which this process started.
	started time.Time

	mu          sync.Mutex
	rng         *rand.Rand
	members     *member.Node
	replica     *config.Node
	version     int64
	leaving     bool
	selfChanged bool
	hosts       map[string]*directory.Host
	// removeAt is the time at which a dead host is removed.
	removeAt map[string]time.Time
	// hostRecords are the Host records of this data centre that the platform stores.
	hostRecords map[string]hostRecord
	records     *recordSet
	// confirmed is the time up to which the records are known to be current, per feed.
	confirmed *confirmations
	compiled  *directory.Records
	dir       *directory.Directory
	// dirty is set if hosts, records or the status of members may have changed since dir was
	// built.
	dirty bool
	// compiledVersion is the newest record version in compiled, and activeVersion that in
	// the directory last passed to the hook.
	compiledVersion, activeVersion int64
	// builtAt is the time at which dir was built.
	builtAt          time.Time
	statusReports    map[string]receivedReport
	statusReportedAt time.Time
	// platformHistory is the position of this host in the platform's histories.
	platformHistory platformHistory
	// contacts are the hosts of which only the address is known.
	contacts *contact.Contacts
	watching bool
	// failedFeeds are the feeds whose last call failed, and servedFeeds those of which a call
	// has succeeded since this host began to watch.
	failedFeeds, servedFeeds map[objects.Feed]bool
	// standby decides which host watches in place of a watcher that the platform does not
	// serve. standbyChanged receives a value when this host is asked to watch.
	standby        *standby.Node
	standbyChanged chan struct{}
	// substitute is the host that watches in place of this one, empty if there is none.
	substitute string
	departures departures
	traffic    Traffic
	// loadTraffic counts load queries and replies; it is not guarded by mu.
	loadTraffic loadTraffic
	// loadReportLimiter selects the recipients of load reports within the rate limits.
	loadReportLimiter *loadreport.Limiter
	// pendingCrashers are the Crasher records not yet stored in the platform.
	pendingCrashers pendingCrashers
	// crashesPrunedAt is the time at which expired crash entries were last removed.
	crashesPrunedAt time.Time
	// teamHostsSetAt is the time at which hooks.TeamLimiter last received the list of hosts.
	teamHostsSetAt time.Time
	// decodeErrorLimiter limits the log lines about entries and objects that cannot be
	// decoded or encoded.
	decodeErrorLimiter event.Limiter
}

const (
	// tickInterval is the interval of tick, and thereby the resolution of the timers that
	// tick checks.
	tickInterval = 50 * time.Millisecond
	// versionShift is the position of the incarnation in the version of a host entry. The
	// bits below it count the changes made by the process.
	versionShift = 20
	// maxPacketBytes is the size of the receive buffer for membership datagrams.
	maxPacketBytes = 60 << 10
)

// New creates a Control. Run starts it.
func New(cfg Config, hooks Hooks, store objects.Store, log *slog.Logger) *Control {
	rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	version := int64(cfg.Incarnation) << versionShift
	c := &Control{
		cfg: cfg, hooks: hooks, store: store, log: log, rng: rng, started: time.Now(),
		members:           member.New(cfg.Member, cfg.DC, cfg.PeerAddr, version, rng),
		replica:           config.NewNode(cfg.Replica, rng),
		version:           version,
		hosts:             make(map[string]*directory.Host),
		removeAt:          make(map[string]time.Time),
		hostRecords:       make(map[string]hostRecord),
		records:           newRecordSet(),
		confirmed:         newConfirmations(store.Feeds()),
		compiled:          directory.Compile(nil, false),
		dir:               &directory.Directory{},
		statusReports:     make(map[string]receivedReport),
		contacts:          contact.New(cfg.DC, excludeAddr(cfg.Seeds, cfg.PeerAddr), rng),
		failedFeeds:       make(map[objects.Feed]bool),
		servedFeeds:       make(map[objects.Feed]bool),
		standby:           standby.New(cfg.Host, cfg.WatchersPerDC),
		standbyChanged:    make(chan struct{}, 1),
		departures:        newDepartures(departure.New(cfg.Host, cfg.Incarnation, rng)),
		selfChanged:       true,
		loadReportLimiter: loadreport.New(rng),
	}
	c.outboxes = newOutboxes(c.sendMessage)
	return c
}

// Run runs the control plane until the context ends.
func (c *Control) Run(ctx context.Context) {
	var wg sync.WaitGroup
	start := func(f func(context.Context)) {
		wg.Add(1)
		go func() {
			defer wg.Done()
			f(ctx)
		}()
	}
	c.outboxes.start(ctx)
	start(c.readPackets)
	start(c.watch)
	start(c.tickLoop)
	start(c.writeStatus)
	start(c.removeStaleRecords)
	start(c.storeCrashers)
	start(c.storeDepartures)
	start(c.restoreLost)
	<-ctx.Done()
	_ = c.udp.Close()
	wg.Wait()
	c.outboxes.wait()
}

func (c *Control) tickLoop(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case now := <-ticker.C:
			c.tick(now)
		case <-ctx.Done():
			return
		}
	}
}

func (c *Control) tick(now time.Time) {
	c.mu.Lock()
	c.members.Tick(now)
	if c.members.Suspected() {
		// Other hosts suspect this one. A new version of its entry refutes that.
		c.selfChanged = true
	}
	if c.selfChanged {
		c.publishOwnEntry()
	}
	c.replica.Tick(now, c.peers())
	c.callContacts(now)
	c.sendStatusReport(now)
	c.pruneCrashes(now)
	c.tickStandby(now)
	c.departures.node.Tick(now, c.departurePeers())
	c.sendDepartures()
	c.flush(now)
	c.mu.Unlock()
	c.tickTeams(now, c.publish(now))
}

// publish builds a new directory if one is due and passes it to the hook. It reports
// whether it did. Calls are serialized so that an older directory never replaces a newer
// one.
func (c *Control) publish(now time.Time) bool {
	c.publishMu.Lock()
	defer c.publishMu.Unlock()
	c.mu.Lock()
	dir := c.rebuildDirectory(now)
	newest := c.compiledVersion
	c.mu.Unlock()
	if dir == nil {
		return false
	}
	c.hooks.Directory(dir)
	c.mu.Lock()
	c.activeVersion = newest
	c.mu.Unlock()
	return true
}

// InstancesChanged marks the entry of this host as changed. The next tick publishes it.
func (c *Control) InstancesChanged() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.selfChanged = true
}

// ApplyObject applies and replicates an object that this host has just written or read,
// without waiting for a watcher to receive it.
func (c *Control) ApplyObject(obj objects.Object) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.replica.Publish(c.peers(), msg.SetRecords, toEntries([]objects.Object{obj}))
	c.flush(time.Now())
}

// SetLeaving announces whether this host has stopped accepting new work.
func (c *Control) SetLeaving(leaving bool) {
	c.mu.Lock()
	if c.leaving != leaving {
		c.leaving = leaving
		c.publishOwnEntry()
		c.flush(time.Now())
	}
	c.mu.Unlock()
}

// publishOwnEntry publishes a new version of the entry of this host.
func (c *Control) publishOwnEntry() {
	c.selfChanged = false
	c.version++
	c.members.SetVersion(c.version)
	state := msg.HostState{
		DC: c.cfg.DC, PeerAddr: c.cfg.PeerAddr, AdminAddr: c.cfg.AdminAddr,
		Incarnation: c.cfg.Incarnation, Leaving: c.leaving,
	}
	for _, inst := range c.hooks.Instances() {
		state.Instances = append(state.Instances, toWire(inst))
	}
	value, err := state.MarshalMsg(nil)
	if err != nil {
		return
	}
	entry := msg.Entry{Kind: hostKind, Name: c.cfg.Host, Version: c.version, Value: value}
	c.replica.Publish(c.peers(), msg.SetHosts, []msg.Entry{entry})
}

// hostKind is the kind of the entries in msg.SetHosts.
const hostKind = string(record.KindHost)

// peers returns the live hosts to replicate with.
func (c *Control) peers() config.Peers {
	local, remote := c.members.Live()
	return config.Peers{Local: local, Remote: remote}
}

// HandleControl processes a message from another host.
func (c *Control) HandleControl(from *msg.Hello, m msg.Message) {
	if from.Host == "" {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.traffic.MessagesIn++
	switch m := m.(type) {
	case *msg.StatusReport:
		c.storeStatusReport(from.Host, m)
		return
	case *msg.LoadReport:
		c.handleLoadReport(m)
		return
	case *msg.Digest:
		c.applyConfirmations(from.Host, m)
	}
	c.replica.Step(c.peers(), from.Host, m)
	c.flush(time.Now())
}

// flush processes the output of the state machines: it applies entries and membership
// changes, queues messages and sends datagrams. The caller holds the lock.
func (c *Control) flush(now time.Time) {
	for {
		out, applied := c.replica.Take()
		c.apply(now, applied)
		for _, o := range out {
			if d, ok := o.Msg.(*msg.Digest); ok {
				c.addConfirmations(now, d)
			}
			c.enqueueToHost(o)
		}
		if len(out) == 0 && len(applied) == 0 {
			break
		}
	}
	datagrams, changes := c.members.Take()
	for _, ch := range changes {
		c.handleMemberChange(now, ch)
	}
	for _, d := range datagrams {
		c.sendPacket(d)
	}
}

func (c *Control) handleMemberChange(now time.Time, ch member.Change) {
	if ch.Returned {
		c.replica.RepairReturned(ch.Host)
	}
	e := event.HostJoined
	switch ch.Status {
	case member.Suspect:
		e = event.HostSuspect
	case member.Dead:
		e = event.HostDead
		c.removeAt[ch.Host] = now.Add(deadHostRetention)
	}
	event.Log(c.log, e, slog.String("peer", ch.Host))
	c.dirty = true
}
