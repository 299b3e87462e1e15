package control

import (
	"log/slog"
	"slices"
	"time"

	"github.com/radishhoist/radishhoist/internal/core/config"
	"github.com/radishhoist/radishhoist/internal/core/detect"
	"github.com/radishhoist/radishhoist/internal/core/directory"
	"github.com/radishhoist/radishhoist/internal/core/member"
	"github.com/radishhoist/radishhoist/internal/event"
	"github.com/radishhoist/radishhoist/internal/msg"
)

// forgetAfter is how long a dead host is remembered: it counts against its
// services' healthy capacity until then.
const forgetAfter = 10 * time.Minute

// hostsPause is the least time between two directories where only hosts have changed:
// each is made of all hosts and instances, and while a fleet starts some host changes
// with every tick. Work for a host or instance that leaves is refused by its guard
// meanwhile.
const hostsPause = 200 * time.Millisecond

// apply takes entries that have come into force in the replicated sets.
func (c *Control) apply(now time.Time, applied []config.Applied) {
	for _, a := range applied {
		switch a.Set {
		case msg.SetHosts:
			c.applyHost(now, a.Entry)
		case msg.SetRecords:
			c.records.apply(c.log, a.Entry, a.From)
			c.applyCrasher(a.Entry)
		case msg.SetCrashes:
			c.applyEnd(now, a.Entry)
			continue
		}
		c.dirty = true
	}
}

func (c *Control) applyHost(now time.Time, e msg.Entry) {
	if e.Deleted {
		delete(c.hosts, e.Name)
		c.members.Forget(e.Name)
		return
	}
	var state msg.HostState
	if _, err := state.UnmarshalMsg(e.Value); err != nil {
		return
	}
	if e.Name == c.cfg.Host && e.Version > c.version {
		// Somebody has this host at a greater version, from an earlier life
		// with a clock ahead of this one's. Overtake it.
		c.version = e.Version
		c.selfDue = true
		return
	}
	if old, ok := c.hosts[e.Name]; state.Leaving && (!ok || !old.Leaving) {
		event.Log(c.log, event.HostLeft, slog.String("peer", e.Name))
	}
	h := &directory.Host{
		Name: e.Name, DC: state.DC, Peer: state.Peer, Admin: state.Admin,
		Incarnation: state.Incarnation, Leaving: state.Leaving,
	}
	for _, inst := range state.Instances {
		h.Instances = append(h.Instances, fromWire(now, inst))
	}
	c.hosts[e.Name] = h
	delete(c.forgetAt, e.Name)
	c.members.Update(now, e.Name, state.DC, state.Peer, e.Version)
}

func toWire(i directory.Instance) msg.HostInstance {
	return msg.HostInstance{
		Name: i.Name, Service: i.Service, Slots: uint32(i.Slots), Conns: uint32(i.Conns), Version: i.Version,
		State: uint8(i.State), Health: uint8(i.Health), Evidence: i.Evidence, StartedMS: i.StartedMS,
		WarmUpLeftMS: uint32(i.WarmUpLeft.Milliseconds()),
	}
}

func fromWire(now time.Time, i msg.HostInstance) directory.Instance {
	left := time.Duration(i.WarmUpLeftMS) * time.Millisecond
	return directory.Instance{
		Name: i.Name, Service: i.Service, Slots: int(i.Slots), Conns: int(i.Conns), Version: i.Version,
		State: directory.InstanceState(i.State), Health: detect.Health(i.Health), Evidence: i.Evidence, StartedMS: i.StartedMS,
		WarmUpLeft: left, WarmUpEnd: now.Add(left),
	}
}

// rebuild compiles a new directory where anything has changed. The caller
// holds the lock; nil means no change.
func (c *Control) rebuild(now time.Time) *directory.Directory {
	c.forgetDead(now)
	whole := c.whole()
	becameWhole := whole != c.dir.Complete
	recordsChanged := c.records.dirty || becameWhole
	hostsDue := c.dirty && now.Sub(c.builtAt) >= hostsPause
	if !recordsChanged && !hostsDue {
		return nil
	}
	c.dirty, c.builtAt = false, now
	if recordsChanged {
		c.records.dirty = false
		if becameWhole {
			event.Log(c.log, event.RecordSetLoaded, slog.Int("records", c.replica.Set(msg.SetRecords).Len()),
				slog.Int64("newest", c.replica.Set(msg.SetRecords).Newest()))
		}
		c.compiled = c.compiled.Recompile(c.records.list(), whole)
		c.compiledTo = c.replica.Set(msg.SetRecords).Newest()
	}
	hosts := make([]*directory.Host, 0, len(c.hosts))
	for _, h := range c.hosts {
		status := c.members.Status(h.Name)
		copied := *h
		copied.Alive = status != member.Dead
		copied.Suspected = status == member.Suspect
		hosts = append(hosts, &copied)
	}
	c.dir = directory.Build(c.compiled, hosts)
	return c.dir
}

// whole says that this host has the whole set, and in it what it needs to
// serve: until then it cannot tell a request without a route from one whose
// route it has not heard of. The caller holds the lock.
func (c *Control) whole() bool {
	for _, key := range c.cfg.RequiredRecords {
		if _, ok := c.records.inForce[key]; !ok {
			return false
		}
	}
	return c.replica.Complete()
}

// forgetDead drops hosts that have been dead for long.
func (c *Control) forgetDead(now time.Time) {
	for host, at := range c.forgetAt {
		if now.Before(at) {
			continue
		}
		delete(c.forgetAt, host)
		if c.members.Status(host) != member.Dead {
			continue
		}
		if e, ok := c.replica.Set(msg.SetHosts).Get(config.Key{Kind: hostKind, Name: host}); ok {
			e.Version++
			e.Deleted, e.Value = true, nil
			c.replica.Publish(c.peers(), msg.SetHosts, []msg.Entry{e})
			c.flush(now)
		}
	}
}

// noticeStranger takes a packet of a host that is not known here. A host that
// has just started while the platform is away knows nobody; its old peers go on
// probing its address, and it calls back who does. The caller holds the lock.
func (c *Control) noticeStranger(p *msg.Packet) {
	if p.From == "" || p.From == c.cfg.Host || p.FromAddr == "" || c.knows(p.From) {
		return
	}
	c.contacts.AddProber(p.From, p.FromAddr)
}

// knows says that the fleet has told of a host.
func (c *Control) knows(host string) bool {
	_, known := c.hosts[host]
	return known
}

// callContacts tells hosts that are known by address only of this one, and asks
// for what they know. The caller holds the lock.
func (c *Control) callContacts(now time.Time) {
	if c.contacts.AllReached(c.knows, c.members.NoPeers()) {
		c.replica.Resend(c.peers(), msg.SetHosts, config.Key{Kind: hostKind, Name: c.cfg.Host})
	}
	for _, call := range c.contacts.NextCalls(now, c.knows, c.members.NoPeers()) {
		self, ok := c.replica.Set(msg.SetHosts).Get(config.Key{Kind: hostKind, Name: c.cfg.Host})
		if !ok {
			return
		}
		c.queueTo(call.Addr, &msg.Rumor{Set: msg.SetHosts, Entries: []msg.Entry{self}})
		c.queueTo(call.Addr, call.PullRequest(hostKind))
	}
}

// without leaves one address out of a list.
func without(addrs []string, not string) []string {
	return slices.DeleteFunc(slices.Clone(addrs), func(addr string) bool { return addr == not })
}
