// Package mesh runs many hosts' membership and replication cores in one
// process over a small in-memory message fake in virtual time. Tests use it
// for failures, the capacity measurement for slopes. It has no requests, no
// targets and no real sockets.
package mesh

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/radishhoist/radishhoist/internal/core/config"
	"github.com/radishhoist/radishhoist/internal/core/contact"
	"github.com/radishhoist/radishhoist/internal/core/member"
	"github.com/radishhoist/radishhoist/internal/msg"
)

// Step is the resolution of virtual time.
const Step = 50 * time.Millisecond

// versionShift is where the count of changes starts in a host's version.
const versionShift = 20

// headerBytes stands for the frame and transport headers of one message.
const headerBytes = 13 + 40

// Config describes a mesh.
type Config struct {
	Hosts, DCs int
	Seed       uint64
	// Loss is the share of messages that are lost.
	Loss float64
	// Instances is how many instances each host announces.
	Instances int
	// Watchers is how many hosts of a data centre watch the platform.
	Watchers int
	// Replica has the parameters of the replication; the zero value is the default.
	Replica config.Config
}

// Mesh is a set of hosts at one virtual time.
type Mesh struct {
	Now   time.Time
	Hosts []*Host
	// Cut says that nothing goes from one host to another now.
	Cut func(from, to *Host) bool
	// Platform is the fake of the object API.
	Platform Platform

	cfg    Config
	rng    *rand.Rand
	byName map[string]*Host
	wire   map[int64][]delivery
	step   int64
}

// Host is one host of a mesh.
type Host struct {
	Name, DC string
	Up       bool
	// Frozen is a process that is paused: what is sent to it is lost.
	Frozen  bool
	Life    int
	Members *member.Node
	Replica *config.Node
	// Contacts are the hosts that it knows by address only.
	Contacts *contact.Contacts
	// Skew is how far its wall clock is off at its next start.
	Skew time.Duration
	// Sent and Received count messages and bytes, Far those of Sent that went to
	// another data centre.
	Sent, Received, Far Traffic
	// Applied is called, where set, for every entry that comes into force.
	Applied func(config.Applied)

	version   int64
	instances int
	watched   int64
	watching  bool
}

// Traffic counts messages.
type Traffic struct {
	Messages, Bytes int
}

func (t *Traffic) add(bytes int) {
	t.Messages++
	t.Bytes += bytes
}

// delivery is one message on its way.
type delivery struct {
	from, to *Host
	life     int
	packet   *msg.Packet
	message  msg.Message
}

// Platform is the fake of the object API: the newest version of every record,
// as events in order.
type Platform struct {
	Away     bool
	Revision int64
	Events   []msg.Entry
	// Reads counts lists and watches.
	Reads int
}

// Put writes a record and gives its version; 0 while the platform is away.
func (p *Platform) Put(name string, deleted bool, size int) int64 {
	if p.Away {
		return 0
	}
	p.Revision++
	e := msg.Entry{Kind: "Route", Name: name, Version: p.Revision, Deleted: deleted}
	if !deleted {
		e.Value = make([]byte, size)
	}
	p.Events = append(p.Events, e)
	return p.Revision
}

// list gives the newest live entry of every record.
func (p *Platform) list() []msg.Entry {
	newest := make(map[string]msg.Entry)
	for _, e := range p.Events {
		newest[e.Name] = e
	}
	var out []msg.Entry
	for _, e := range p.Events {
		if n := newest[e.Name]; n.Version == e.Version && !n.Deleted {
			out = append(out, e)
		}
	}
	return out
}

// New makes a mesh; Start brings its hosts up.
func New(cfg Config) *Mesh {
	if cfg.Replica == (config.Config{}) {
		cfg.Replica = config.DefaultConfig()
	}
	m := &Mesh{
		Now: time.Unix(1_000_000, 0), cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, 3)),
		byName: make(map[string]*Host), wire: make(map[int64][]delivery),
		Cut: func(_, _ *Host) bool { return false },
	}
	for i := range cfg.Hosts {
		h := &Host{Name: fmt.Sprintf("h%04d", i), DC: fmt.Sprintf("dc%02d", i%cfg.DCs), instances: cfg.Instances}
		m.Hosts = append(m.Hosts, h)
		m.byName[h.Name] = h
	}
	return m
}

// Start brings one host up, with a fresh memory; it knows a few seeds.
func (m *Mesh) Start(h *Host) {
	m.boot(h)
	seed, ok := m.seed(h)
	if !ok {
		return
	}
	self, _ := h.Replica.Set(msg.SetHosts).Get(config.Key{Kind: "Host", Name: h.Name})
	m.sendMessage(h, seed, &msg.Rumor{Set: msg.SetHosts, Entries: []msg.Entry{self}})
	m.sendMessage(h, seed, &msg.Pull{Set: msg.SetHosts, All: true})
}

// boot brings a host up that knows nobody.
func (m *Mesh) boot(h *Host) {
	h.Life++
	h.Up, h.watching = true, false
	h.version = (m.Now.Add(h.Skew).UnixMilli() + int64(h.Life)) << versionShift
	rng := rand.New(rand.NewPCG(m.rng.Uint64(), m.rng.Uint64()))
	h.Members = member.New(member.DefaultConfig(h.Name), h.DC, h.Name, h.version, rng)
	h.Replica = config.NewNode(m.cfg.Replica, rng)
	h.Contacts = contact.New(h.DC, nil, rng)
	m.publish(h)
}

// StartListed brings a host up that the platform has told of all others.
func (m *Mesh) StartListed(h *Host) {
	m.boot(h)
	for _, other := range m.Hosts {
		if other != h {
			h.Contacts.AddListed(other.Name, other.DC, other.Name, false)
		}
	}
}

// StartAll brings every host up as an established fleet: each already knows
// all others, which is what is to be measured.
func (m *Mesh) StartAll() {
	for _, h := range m.Hosts {
		m.Start(h)
	}
	var all []msg.Entry
	for _, h := range m.Hosts {
		e, _ := h.Replica.Set(msg.SetHosts).Get(config.Key{Kind: "Host", Name: h.Name})
		all = append(all, e)
	}
	m.wire = make(map[int64][]delivery)
	for _, h := range m.Hosts {
		h.Replica.Publish(config.Peers{}, msg.SetHosts, all)
		m.flush(h)
	}
	m.wire = make(map[int64][]delivery)
}

// Forget ends a host and makes all others forget it, as one that was never there.
func (m *Mesh) Forget(h *Host) {
	m.Stop(h)
	for _, other := range m.Hosts {
		other.Replica.Set(msg.SetHosts).Remove(config.Key{Kind: "Host", Name: h.Name})
		other.Members.Forget(h.Name)
	}
}

// Stop ends a host at once.
func (m *Mesh) Stop(h *Host) { h.Up = false }

func (m *Mesh) seed(not *Host) (*Host, bool) {
	var up []*Host
	for _, h := range m.Hosts {
		if h.Up && h != not {
			up = append(up, h)
		}
	}
	if len(up) == 0 {
		return nil, false
	}
	return up[m.rng.IntN(len(up))], true
}

// publish writes a new version of what a host says of itself.
func (m *Mesh) publish(h *Host) {
	h.version++
	h.Members.SetVersion(h.version)
	state := msg.HostState{DC: h.DC, Peer: "10.111.112.113:7300", Admin: "10.111.112.113:7900", Incarnation: uint64(h.version)}
	for i := range h.instances {
		state.Instances = append(state.Instances, msg.HostInstance{
			Name: fmt.Sprintf("service-%03d-%s", i, h.Name), Service: fmt.Sprintf("service-%03d", i), Slots: 6, Conns: 350, Version: "2026.12.1", StartedMS: 1,
		})
	}
	value, err := state.MarshalMsg(nil)
	if err != nil {
		panic(err)
	}
	h.Replica.Publish(h.peers(), msg.SetHosts, []msg.Entry{{Kind: "Host", Name: h.Name, Version: h.version, Value: value}})
	m.flush(h)
}

// Republish makes a host write a new version of itself, as after a change of
// an instance's health.
func (m *Mesh) Republish(h *Host) { m.publish(h) }

func (h *Host) peers() config.Peers {
	near, far := h.Members.Live()
	return config.Peers{Local: near, Remote: far}
}

// Run lets virtual time pass.
func (m *Mesh) Run(d time.Duration) {
	for end := m.Now.Add(d); m.Now.Before(end); {
		m.Now = m.Now.Add(Step)
		m.step++
		due := m.wire[m.step]
		delete(m.wire, m.step)
		for _, x := range due {
			m.deliver(x)
		}
		for _, h := range m.Hosts {
			if h.Up && !h.Frozen {
				m.tick(h)
			}
		}
	}
}

func (m *Mesh) tick(h *Host) {
	h.Members.Tick(m.Now)
	if h.Members.Suspected() {
		m.publish(h)
	}
	h.Replica.Tick(m.Now, h.peers())
	m.callContacts(h)
	if m.step%4 == 0 {
		m.watch(h)
	}
	m.flush(h)
}

// callContacts tells hosts that are known by address only of a host, and asks for
// what they know.
func (m *Mesh) callContacts(h *Host) {
	hosts := h.Replica.Set(msg.SetHosts)
	known := func(name string) bool {
		_, ok := hosts.Get(config.Key{Kind: "Host", Name: name})
		return ok
	}
	if h.Contacts.AllReached(known, h.Members.NoPeers()) {
		h.Replica.Resend(h.peers(), msg.SetHosts, config.Key{Kind: "Host", Name: h.Name})
	}
	for _, call := range h.Contacts.NextCalls(m.Now, known, h.Members.NoPeers()) {
		self, _ := hosts.Get(config.Key{Kind: "Host", Name: h.Name})
		to := m.byName[call.Addr]
		m.sendMessage(h, to, &msg.Rumor{Set: msg.SetHosts, Entries: []msg.Entry{self}})
		m.sendMessage(h, to, call.PullRequest("Host"))
	}
}

// watch follows the platform where the host ranks as watcher.
func (m *Mesh) watch(h *Host) {
	if m.Platform.Away || m.rank(h) >= m.cfg.Watchers {
		h.watching = false
		return
	}
	switch {
	case !h.watching:
		m.Platform.Reads++
		h.watching = true
		h.Replica.LoadList(h.peers(), m.Platform.list(), m.Platform.Revision, nil)
	case h.watched < m.Platform.Revision:
		m.Platform.Reads++
		h.Replica.Publish(h.peers(), msg.SetRecords, m.Platform.Events[h.watched:])
	}
	h.watched = m.Platform.Revision
}

func (m *Mesh) rank(h *Host) int {
	near, _ := h.Members.Live()
	own := xxhash.Sum64String(h.Name)
	before := 0
	for _, other := range near {
		if xxhash.Sum64String(other) < own {
			before++
		}
	}
	return before
}

// flush takes the cores' output.
func (m *Mesh) flush(h *Host) {
	for {
		out, applied := h.Replica.Take()
		for _, a := range applied {
			m.applied(h, a)
		}
		for _, o := range out {
			if to, ok := m.byName[o.To]; ok {
				m.sendMessage(h, to, o.Msg)
			}
		}
		if len(out)+len(applied) == 0 {
			break
		}
	}
	datagrams, _ := h.Members.Take()
	for _, d := range datagrams {
		if to, ok := m.byName[d.To]; ok {
			h.Sent.add(d.Packet.Msgsize()/2 + headerBytes)
			m.send(delivery{from: h, to: to, packet: d.Packet})
		}
	}
}

func (m *Mesh) applied(h *Host, a config.Applied) {
	if h.Applied != nil {
		h.Applied(a)
	}
	if a.Set != msg.SetHosts || a.Entry.Deleted {
		return
	}
	var state msg.HostState
	if _, err := state.UnmarshalMsg(a.Entry.Value); err != nil {
		panic(err)
	}
	if a.Entry.Name == h.Name && a.Entry.Version > h.version {
		// From an earlier life with a clock ahead of this one's: overtake it.
		h.version = a.Entry.Version
		m.publish(h)
		return
	}
	// The fake addresses hosts by name.
	h.Members.Update(m.Now, a.Entry.Name, state.DC, a.Entry.Name, a.Entry.Version)
}

func (m *Mesh) sendMessage(from, to *Host, message msg.Message) {
	buf, err := message.MarshalMsg(nil)
	if err != nil {
		panic(err)
	}
	from.Sent.add(len(buf) + headerBytes)
	if from.DC != to.DC {
		from.Far.add(len(buf) + headerBytes)
	}
	m.send(delivery{from: from, to: to, message: message})
}

// send puts a message on its way, one or two steps long.
func (m *Mesh) send(d delivery) {
	if m.rng.Float64() < m.cfg.Loss || m.Cut(d.from, d.to) {
		return
	}
	d.life = d.to.Life
	at := m.step + 1 + m.rng.Int64N(2)
	m.wire[at] = append(m.wire[at], d)
}

func (m *Mesh) deliver(d delivery) {
	if !d.to.Up || d.to.Frozen || d.to.Life != d.life || m.Cut(d.from, d.to) {
		return
	}
	if d.packet != nil {
		d.to.Received.add(d.packet.Msgsize()/2 + headerBytes)
		// A packet is shared by reference; each receiver gets its own.
		p := *d.packet
		d.to.Members.Step(m.Now, &p)
	} else {
		d.to.Received.add(headerBytes)
		d.to.Replica.Step(d.to.peers(), d.from.Name, d.message)
	}
	m.flush(d.to)
}
