// Package control keeps a host's view of the fleet: membership, the record set
// in force, the directory compiled from both, and the summary of what is in
// force. It puts sockets and timers round the cores in internal/core.
package control

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/radishhoist/radishhoist/internal/core/config"
	"github.com/radishhoist/radishhoist/internal/core/contact"
	"github.com/radishhoist/radishhoist/internal/core/crash"
	"github.com/radishhoist/radishhoist/internal/core/directory"
	"github.com/radishhoist/radishhoist/internal/core/member"
	"github.com/radishhoist/radishhoist/internal/core/pulse"
	"github.com/radishhoist/radishhoist/internal/event"
	"github.com/radishhoist/radishhoist/internal/msg"
	"github.com/radishhoist/radishhoist/internal/objects"
	"github.com/radishhoist/radishhoist/internal/port"
	"github.com/radishhoist/radishhoist/record"
)

// Config has the parameters of a Control.
type Config struct {
	// Host, DC, Peer and Admin are what the host says of itself.
	Host, DC, Peer, Admin string
	// Incarnation is the process's start, in Unix milliseconds.
	Incarnation uint64
	// Seeds are peer addresses to start from.
	Seeds []string
	// Member and Replica are the parameters of the cores.
	Member  member.Config
	Replica config.Config
	// WatchersPerDC is how many hosts of a data centre watch the platform.
	WatchersPerDC int
	// RequiredRecords are the records without which this host serves nothing.
	RequiredRecords []record.Key
	// MaxRetryInterval is the longest pause between calls to a platform that is away.
	MaxRetryInterval time.Duration
	// StatusInterval is the least time between two written summaries.
	StatusInterval time.Duration
}

// Hooks are what Control drives.
type Hooks struct {
	// Directory is called with each new directory, one at a time.
	Directory func(*directory.Directory)
	// Instances lists this host's own instances.
	Instances func() []directory.Instance
	// LoadReport is called with what other hosts' guards tell of their instances. It
	// must not block.
	LoadReport func(*msg.LoadReport)
	// Crashed is called with the ends of instances anywhere, and Cleared with what
	// requests were cleared of. They must not block.
	Crashed func(crash.Crash)
	Cleared func(end string, p crash.Fingerprint)
	// Unblocked is called with a request that may run again by an operator's word. It must
	// not block.
	Unblocked func(p crash.Fingerprint)
	// TeamLimiter holds teams to their rates; nil where nothing does.
	TeamLimiter Teams
	// ShardMapsRead is called once the shard maps were read from the platform.
	ShardMapsRead func()
}

// Control is one host's control role. It is safe for concurrent use.
type Control struct {
	cfg      Config
	hooks    Hooks
	log      *slog.Logger
	store    objects.Store
	pool     Peers
	udp      *net.UDPConn
	outboxes *outboxes

	// publishing is held while a directory is built and handed on.
	publishing sync.Mutex

	// started is when this process began.
	started time.Time

	mu       sync.Mutex
	rng      *rand.Rand
	members  *member.Node
	replica  *config.Node
	version  int64
	leaving  bool
	selfDue  bool
	hosts    map[string]*directory.Host
	forgetAt map[string]time.Time
	// hostRecords are the platform's Host records of this data centre.
	hostRecords map[string]hostRecord
	records     *recordSet
	// confirmed says since when the records in force are known to be current.
	confirmed *confirmations
	compiled  *directory.Records
	dir       *directory.Directory
	dirty     bool
	// compiledTo is the newest version in compiled, and inForce in the directory that was
	// handed on last.
	compiledTo, inForce int64
	// builtAt is when dir was built.
	builtAt  time.Time
	reports  map[string]report
	reported time.Time
	// contacts are the hosts that are known by address only.
	contacts *contact.Contacts
	watching bool
	// away are the feeds whose last call failed.
	away    map[objects.Feed]bool
	traffic Traffic
	// pulses says who is told of instances.
	pulses *pulse.Limiter
	// unkept are the requests that are stopped and do not stand in the platform yet.
	unkept unkept
	// endsSwept is when old ends were dropped last.
	endsSwept time.Time
	// hostsTold is when the hosts were told to what holds teams to their rates.
	hostsTold time.Time
	// unreadLines bounds the lines about objects that cannot be read.
	unreadLines event.Limiter
}

const (
	// tickInterval is the resolution of the timers.
	tickInterval = 50 * time.Millisecond
	// versionShift is where the count of changes starts in a host's version;
	// the incarnation stands above it.
	versionShift = 20
	// maxPacket bounds a membership datagram, in bytes.
	maxPacket = 60 << 10
)

// New makes a Control; Run starts it.
func New(cfg Config, hooks Hooks, store objects.Store, log *slog.Logger) *Control {
	rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	version := int64(cfg.Incarnation) << versionShift
	c := &Control{
		cfg: cfg, hooks: hooks, store: store, log: log, rng: rng, started: time.Now(),
		members:     member.New(cfg.Member, cfg.DC, cfg.Peer, version, rng),
		replica:     config.NewNode(cfg.Replica, rng),
		version:     version,
		hosts:       make(map[string]*directory.Host),
		forgetAt:    make(map[string]time.Time),
		hostRecords: make(map[string]hostRecord),
		records:     newRecordSet(),
		confirmed:   newConfirmations(store.Feeds()),
		compiled:    directory.Compile(nil, false),
		dir:         &directory.Directory{},
		reports:     make(map[string]report),
		contacts:    contact.New(cfg.DC, without(cfg.Seeds, cfg.Peer), rng),
		away:        make(map[objects.Feed]bool),
		selfDue:     true,
		pulses:      pulse.New(rng),
	}
	c.outboxes = newOutboxes(c.sendMessage)
	return c
}

// Peers are the ways to the other hosts.
type Peers interface {
	// SendControl sends a message to the host at an address. It may wait for as long
	// as the connection takes.
	SendControl(ctx context.Context, addr string, m msg.Message) error
	// SendLossy is SendControl for a message that may vanish on its way.
	SendLossy(ctx context.Context, addr string, m msg.Message) error
}

// SetSender sets the ways to the other hosts, before Run.
func (c *Control) SetSender(p Peers) { c.pool = p }

// Listen opens the membership socket, before Run.
func (c *Control) Listen() error {
	addr, err := net.ResolveUDPAddr("udp", c.cfg.Peer)
	if err != nil {
		return errors.Wrapf(err, "membership address %s", c.cfg.Peer)
	}
	c.udp, err = net.ListenUDP("udp", addr)
	return port.Explain(err, "membership", c.cfg.Peer)
}

// Run works until the context ends.
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
	start(c.sweepHosts)
	start(c.keepCrashers)
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
		c.selfDue = true
	}
	if c.selfDue {
		c.publishSelf()
	}
	c.replica.Tick(now, c.peers())
	c.callContacts(now)
	c.report(now)
	c.sweepEnds(now)
	c.flush(now)
	c.mu.Unlock()
	c.tickTeams(now, c.publish(now))
}

// publish brings a new directory into force where anything has changed. One
// call at a time builds and hands on, so that an older directory never follows
// a newer one. True means that there was one.
func (c *Control) publish(now time.Time) bool {
	c.publishing.Lock()
	defer c.publishing.Unlock()
	c.mu.Lock()
	dir := c.rebuild(now)
	newest := c.compiledTo
	c.mu.Unlock()
	if dir == nil {
		return false
	}
	c.hooks.Directory(dir)
	c.mu.Lock()
	c.inForce = newest
	c.mu.Unlock()
	return true
}

// InstancesChanged says that what this host tells of its instances has
// changed; the next tick spreads it.
func (c *Control) InstancesChanged() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.selfDue = true
}

// ApplyObject brings an object into force that this host has just written or read,
// without waiting for a watcher to see it.
func (c *Control) ApplyObject(obj objects.Object) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.replica.Publish(c.peers(), msg.SetRecords, toEntries([]objects.Object{obj}))
	c.flush(time.Now())
}

// SetLeaving tells the fleet that this host takes no new work, or takes it again.
func (c *Control) SetLeaving(leaving bool) {
	c.mu.Lock()
	if c.leaving != leaving {
		c.leaving = leaving
		c.publishSelf()
		c.flush(time.Now())
	}
	c.mu.Unlock()
}

// publishSelf writes a new version of what this host says of itself.
func (c *Control) publishSelf() {
	c.selfDue = false
	c.version++
	c.members.SetVersion(c.version)
	state := msg.HostState{
		DC: c.cfg.DC, Peer: c.cfg.Peer, Admin: c.cfg.Admin,
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

// peers lists whom to replicate with.
func (c *Control) peers() config.Peers {
	near, far := c.members.Live()
	return config.Peers{Local: near, Remote: far}
}

// HandleControl takes a message from another host.
func (c *Control) HandleControl(from *msg.Hello, m msg.Message) {
	if from.Host == "" {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.traffic.MessagesIn++
	switch m := m.(type) {
	case *msg.Report:
		c.takeReport(from.Host, m)
		return
	case *msg.LoadReport:
		c.takePulse(m)
		return
	case *msg.Digest:
		c.hearAges(from.Host, m)
	}
	c.replica.Step(c.peers(), from.Host, m)
	c.flush(time.Now())
}

// flush takes the cores' output: it applies what has come into force and
// queues what is to be sent. The caller holds the lock.
func (c *Control) flush(now time.Time) {
	for {
		out, applied := c.replica.Take()
		c.apply(now, applied)
		for _, o := range out {
			if d, ok := o.Msg.(*msg.Digest); ok {
				c.tellAges(now, d)
			}
			c.queue(o)
		}
		if len(out) == 0 && len(applied) == 0 {
			break
		}
	}
	datagrams, changes := c.members.Take()
	for _, ch := range changes {
		c.hostChanged(now, ch)
	}
	for _, d := range datagrams {
		c.sendPacket(d)
	}
}

// queue hands a message to the outbox of its host.
func (c *Control) queue(o config.Outbound) {
	h, ok := c.hosts[o.To]
	if !ok || o.To == c.cfg.Host {
		return
	}
	c.queueTo(h.Peer, o.Msg)
}

// queueTo hands a message to the outbox of an address. A full one drops it: repair
// finds what was lost.
func (c *Control) queueTo(addr string, m msg.Message) {
	if !c.outboxes.put(addr, m) {
		c.traffic.Dropped++
		return
	}
	c.traffic.MessagesOut++
	c.traffic.BytesOut += uint64(m.(interface{ Msgsize() int }).Msgsize())
}

// sendMessage sends a message of an outbox. Loads and reports are soon replaced by newer
// ones; all else must not vanish in a connection that has fallen silent. A message that
// cannot be sent is lost: repair finds it.
func (c *Control) sendMessage(ctx context.Context, addr string, m msg.Message) {
	switch m.(type) {
	case *msg.LoadReport, *msg.Report:
		_ = c.pool.SendLossy(ctx, addr, m)
	default:
		_ = c.pool.SendControl(ctx, addr, m)
	}
}

func (c *Control) sendPacket(d member.Datagram) {
	buf, err := d.Packet.MarshalMsg(nil)
	if err != nil {
		return
	}
	addr, err := net.ResolveUDPAddr("udp", d.To)
	if err != nil {
		return
	}
	c.traffic.PacketsOut++
	c.traffic.BytesOut += uint64(len(buf))
	_, _ = c.udp.WriteToUDP(buf, addr)
}

func (c *Control) readPackets(ctx context.Context) {
	buf := make([]byte, maxPacket)
	for ctx.Err() == nil {
		n, _, err := c.udp.ReadFromUDP(buf)
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			continue
		}
		if c.hearTeams(buf[:n]) {
			continue
		}
		var p msg.Packet
		if _, err := p.UnmarshalMsg(buf[:n]); err != nil {
			continue
		}
		c.mu.Lock()
		c.traffic.PacketsIn++
		now := time.Now()
		c.noticeStranger(&p)
		c.members.Step(now, &p)
		c.flush(now)
		c.mu.Unlock()
	}
}

// Traffic counts control messages since the start.
type Traffic struct {
	PacketsIn   uint64 `json:"packetsIn"`
	PacketsOut  uint64 `json:"packetsOut"`
	MessagesIn  uint64 `json:"messagesIn"`
	MessagesOut uint64 `json:"messagesOut"`
	BytesOut    uint64 `json:"bytesOut"`
	Dropped     uint64 `json:"dropped"`
}

func (c *Control) hostChanged(now time.Time, ch member.Change) {
	e := event.HostJoined
	switch ch.Status {
	case member.Suspect:
		e = event.HostSuspect
	case member.Dead:
		e = event.HostDead
		c.forgetAt[ch.Host] = now.Add(forgetAfter)
	}
	event.Log(c.log, e, slog.String("peer", ch.Host))
	c.dirty = true
}
