// Package mesh runs the membership and replication cores of many hosts in one process, with an
// in-memory network and virtual time. Tests use it to inject failures, and the capacity measurement
// to find out how costs grow with the number of hosts. It simulates no requests and no targets, and
// opens no sockets.
package mesh

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/radishhoist/radishhoist/internal/core/config"
	"github.com/radishhoist/radishhoist/internal/core/contact"
	"github.com/radishhoist/radishhoist/internal/core/member"
	"github.com/radishhoist/radishhoist/internal/core/standby"
	"github.com/radishhoist/radishhoist/internal/msg"
)

// Step is the resolution of virtual time.
const Step = 50 * time.Millisecond

// versionCounterBits is the number of low bits of a host's version that count its changes since the
// start. The high bits are the start time in milliseconds plus the incarnation.
const versionCounterBits = 20

// headerBytes is the size of the frame header and the transport headers of a message.
const headerBytes = 13 + 40

// Config describes a mesh.
type Config struct {
	Hosts, DCs int
	Seed       uint64
	// LossRate is the probability that a message is lost.
	LossRate float64
	// Instances is the number of instances that each host announces.
	Instances int
	// Watchers is the number of hosts per data centre that watch the platform.
	Watchers int
	// Replica holds the parameters of the replication; the zero value selects the default.
	Replica config.Config
}

// Mesh is a set of simulated hosts and the network between them.
type Mesh struct {
	Now   time.Time
	Hosts []*Host
	// Dropped reports whether messages from one host to another are dropped, to simulate
	// partitions. It may be replaced at any time between runs.
	Dropped func(from, to *Host) bool
	// Platform simulates the object API.
	Platform Platform

	cfg      Config
	rng      *rand.Rand
	byName   map[string]*Host
	inFlight map[int64][]delivery
	step     int64
}

// Host is one simulated host.
type Host struct {
	Name, DC string
	Up       bool
	// Paused is set while the process is suspended. Messages to it are lost.
	Paused      bool
	Incarnation int
	Members     *member.Node
	Replica     *config.Node
	// Contacts holds the hosts to call, of which only the address is known.
	Contacts *contact.Contacts
	// ClockSkew is the offset of the host's wall clock from virtual time. It takes effect at the
	// next start.
	ClockSkew time.Duration
	// Sent and Received count messages and bytes. SentRemote counts those sent to other data
	// centres, without membership datagrams.
	Sent, Received, SentRemote Traffic
	// OnApplied, if set, is called for every entry that the replica applies.
	OnApplied func(config.Applied)

	version   int64
	instances int
	// watchedHistory and watchedRevision are the position up to which the host has read the
	// platform's events.
	watchedHistory, watchedRevision int64
	watching                        bool
	// standby decides which hosts watch in place of those that the platform turns away. nextCall
	// is the time of the next call to the platform, and unanswered the time at which a call
	// without a response fails, zero if there is none.
	standby              *standby.Node
	nextCall, unanswered time.Time
}

// Traffic counts messages and their bytes.
type Traffic struct {
	Messages, Bytes int
}

func (t *Traffic) add(bytes int) {
	t.Messages++
	t.Bytes += bytes
}

// delivery is a packet or message in transit to one incarnation of a host.
type delivery struct {
	from, to    *Host
	incarnation int
	packet      *msg.MemberPacket
	message     msg.Message
	standby     *standby.Outbound
}

// New creates a mesh whose hosts are down; Start starts them.
func New(cfg Config) *Mesh {
	if cfg.Replica == (config.Config{}) {
		cfg.Replica = config.DefaultConfig()
	}
	m := &Mesh{
		Now: time.Unix(1_000_000, 0), cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, 3)),
		byName: make(map[string]*Host), inFlight: make(map[int64][]delivery),
		Dropped: func(_, _ *Host) bool { return false },
	}
	for i := range cfg.Hosts {
		h := &Host{Name: fmt.Sprintf("h%04d", i), DC: fmt.Sprintf("dc%02d", i%cfg.DCs), instances: cfg.Instances}
		m.Hosts = append(m.Hosts, h)
		m.byName[h.Name] = h
	}
	return m
}

// Start starts a host with empty state, which calls one random host that is up.
func (m *Mesh) Start(h *Host) {
	m.initHost(h)
	peer, ok := m.randomUpHost(h)
	if !ok {
		return
	}
	self, _ := h.Replica.Set(msg.SetHosts).Get(config.Key{Kind: "Host", Name: h.Name})
	m.sendMessage(h, peer, &msg.Rumor{Set: msg.SetHosts, Entries: []msg.Entry{self}})
	m.sendMessage(h, peer, &msg.Pull{Set: msg.SetHosts, All: true})
}

// initHost starts a new incarnation of a host, which knows no other hosts.
func (m *Mesh) initHost(h *Host) {
	h.Incarnation++
	h.Up, h.watching = true, false
	h.standby = standby.New(h.Name, m.cfg.Watchers)
	h.nextCall, h.unanswered = time.Time{}, time.Time{}
	h.version = (m.Now.Add(h.ClockSkew).UnixMilli() + int64(h.Incarnation)) << versionCounterBits
	rng := rand.New(rand.NewPCG(m.rng.Uint64(), m.rng.Uint64()))
	h.Members = member.New(member.DefaultConfig(h.Name), h.DC, h.Name, h.version, rng)
	h.Replica = config.NewNode(m.cfg.Replica, rng)
	h.Contacts = contact.New(h.DC, nil, rng)
	m.publish(h)
}

// StartWithHostList starts a host with the list of all hosts, as read from the platform.
func (m *Mesh) StartWithHostList(h *Host) {
	m.initHost(h)
	for _, other := range m.Hosts {
		if other != h {
			h.Contacts.AddListed(other.Name, other.DC, other.Name, false)
		}
	}
}

// StartAll starts all hosts as an established fleet, in which each host knows all others: costs are
// measured in this state. The messages of the start itself are dropped.
func (m *Mesh) StartAll() {
	for _, h := range m.Hosts {
		m.Start(h)
	}
	var all []msg.Entry
	for _, h := range m.Hosts {
		e, _ := h.Replica.Set(msg.SetHosts).Get(config.Key{Kind: "Host", Name: h.Name})
		all = append(all, e)
	}
	m.inFlight = make(map[int64][]delivery)
	for _, h := range m.Hosts {
		h.Replica.Publish(config.Peers{}, msg.SetHosts, all)
		m.flush(h)
	}
	m.inFlight = make(map[int64][]delivery)
}

// Forget stops a host and removes it from the state of all others, as if it had never run.
func (m *Mesh) Forget(h *Host) {
	m.Stop(h)
	for _, other := range m.Hosts {
		other.Replica.Set(msg.SetHosts).Remove(config.Key{Kind: "Host", Name: h.Name})
		other.Members.Forget(h.Name)
	}
}

// Stop stops a host without notice to the others.
func (m *Mesh) Stop(h *Host) { h.Up = false }

func (m *Mesh) randomUpHost(exclude *Host) (*Host, bool) {
	var up []*Host
	for _, h := range m.Hosts {
		if h.Up && h != exclude {
			up = append(up, h)
		}
	}
	if len(up) == 0 {
		return nil, false
	}
	return up[m.rng.IntN(len(up))], true
}

// publish publishes a new version of a host's own entry.
func (m *Mesh) publish(h *Host) {
	h.version++
	h.Members.SetVersion(h.version)
	state := msg.HostState{DC: h.DC, PeerAddr: "10.111.112.113:7300", AdminAddr: "10.111.112.113:7900", Incarnation: uint64(h.version)}
	for i := range h.instances {
		state.Instances = append(state.Instances, msg.HostInstance{
			Name: fmt.Sprintf("service-%03d-%s", i, h.Name), Service: fmt.Sprintf("service-%03d", i), Slots: 6, MaxConns: 350, SoftwareVersion: "2026.12.1", StartedMS: 1,
		})
	}
	value, err := state.MarshalMsg(nil)
	if err != nil {
		panic(err)
	}
	h.Replica.Publish(h.replicationPeers(), msg.SetHosts, []msg.Entry{{Kind: "Host", Name: h.Name, Version: h.version, Value: value}})
	m.flush(h)
}

// Republish publishes a new version of a host's entry, as a change of an instance's health does.
func (m *Mesh) Republish(h *Host) { m.publish(h) }

func (h *Host) replicationPeers() config.Peers {
	local, remote := h.Members.Live()
	return config.Peers{Local: local, Remote: remote}
}

// Run advances virtual time by a duration, in steps.
func (m *Mesh) Run(duration time.Duration) {
	for end := m.Now.Add(duration); m.Now.Before(end); {
		m.Now = m.Now.Add(Step)
		m.step++
		due := m.inFlight[m.step]
		delete(m.inFlight, m.step)
		for _, d := range due {
			m.deliver(d)
		}
		for _, h := range m.Hosts {
			if h.Up && !h.Paused {
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
	h.Replica.Tick(m.Now, h.replicationPeers())
	m.callCandidates(h)
	if m.step%4 == 0 {
		m.watch(h)
	}
	m.flush(h)
}

// callCandidates sends the host's entry to hosts of which only the address is known, and requests
// entries from them.
func (m *Mesh) callCandidates(h *Host) {
	hosts := h.Replica.Set(msg.SetHosts)
	known := func(name string) bool {
		_, ok := hosts.Get(config.Key{Kind: "Host", Name: name})
		return ok
	}
	if h.Contacts.AllReached(known, h.Members.NoPeers()) {
		h.Replica.Resend(h.replicationPeers(), msg.SetHosts, config.Key{Kind: "Host", Name: h.Name})
	}
	for _, call := range h.Contacts.NextCalls(m.Now, known, h.Members.NoPeers()) {
		self, _ := hosts.Get(config.Key{Kind: "Host", Name: h.Name})
		to := m.byName[call.Addr]
		m.sendMessage(h, to, &msg.Rumor{Set: msg.SetHosts, Entries: []msg.Entry{self}})
		m.sendMessage(h, to, call.PullRequest("Host"))
	}
}

// rank returns the position of a host among the live hosts of its data centre, ordered by the hash of
// their names. The lowest ranks are the watchers.
func (m *Mesh) rank(h *Host) int {
	local, _ := h.Members.Live()
	ownHash := xxhash.Sum64String(h.Name)
	rank := 0
	for _, other := range local {
		if xxhash.Sum64String(other) < ownHash {
			rank++
		}
	}
	return rank
}

// flush sends the pending messages of a host's cores and handles the entries applied.
func (m *Mesh) flush(h *Host) {
	for {
		out, applied := h.Replica.Take()
		for _, a := range applied {
			m.handleApplied(h, a)
		}
		for _, message := range out {
			if to, ok := m.byName[message.To]; ok {
				m.sendMessage(h, to, message.Msg)
			}
		}
		if len(out)+len(applied) == 0 {
			break
		}
	}
	datagrams, changes := h.Members.Take()
	for _, c := range changes {
		if c.Returned {
			h.Replica.RepairReturned(c.Host)
		}
	}
	for _, d := range datagrams {
		if to, ok := m.byName[d.To]; ok {
			h.Sent.add(d.Packet.Msgsize()/2 + headerBytes)
			m.send(delivery{from: h, to: to, packet: d.Packet})
		}
	}
}

func (m *Mesh) handleApplied(h *Host, a config.Applied) {
	if h.OnApplied != nil {
		h.OnApplied(a)
	}
	if a.Set != msg.SetHosts || a.Entry.Deleted {
		return
	}
	var state msg.HostState
	if _, err := state.UnmarshalMsg(a.Entry.Value); err != nil {
		panic(err)
	}
	if a.Entry.Name == h.Name && a.Entry.Version > h.version {
		// An earlier incarnation whose clock was ahead has published a newer version: exceed it.
		h.version = a.Entry.Version
		m.publish(h)
		return
	}
	// The name of a simulated host is also its address.
	h.Members.Update(m.Now, a.Entry.Name, state.DC, a.Entry.Name, a.Entry.Version)
}

func (m *Mesh) sendMessage(from, to *Host, message msg.Message) {
	buf, err := message.MarshalMsg(nil)
	if err != nil {
		panic(err)
	}
	from.Sent.add(len(buf) + headerBytes)
	if from.DC != to.DC {
		from.SentRemote.add(len(buf) + headerBytes)
	}
	m.send(delivery{from: from, to: to, message: message})
}

// send delivers a message after one or two steps, unless it is lost.
func (m *Mesh) send(d delivery) {
	if m.rng.Float64() < m.cfg.LossRate || m.Dropped(d.from, d.to) {
		return
	}
	d.incarnation = d.to.Incarnation
	step := m.step + 1 + m.rng.Int64N(2)
	m.inFlight[step] = append(m.inFlight[step], d)
}

func (m *Mesh) deliver(d delivery) {
	if !d.to.Up || d.to.Paused || d.to.Incarnation != d.incarnation || m.Dropped(d.from, d.to) {
		return
	}
	if d.standby != nil {
		if r := d.standby.Request; r != nil {
			d.to.standby.StepRequest(m.Now, r, m.rank(d.to) < m.cfg.Watchers)
		} else {
			d.to.standby.StepReply(m.Now, d.standby.Reply)
		}
		m.sendStandby(d.to)
		return
	}
	if d.packet != nil {
		d.to.Received.add(d.packet.Msgsize()/2 + headerBytes)
		// Several deliveries may share a packet, so each receiver gets a copy.
		p := *d.packet
		d.to.Members.Step(m.Now, &p)
	} else {
		d.to.Received.add(headerBytes)
		d.to.Replica.Step(d.to.replicationPeers(), d.from.Name, d.message)
	}
	m.flush(d.to)
}
