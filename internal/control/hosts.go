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

// deadHostRetention is how long a dead host is kept. Until it is removed, its instances
// count as known but not as healthy capacity of their services.
const deadHostRetention = 10 * time.Minute

// hostRebuildInterval is the minimum time between two directory builds that only host
// changes cause. A build processes all hosts and instances, and while a fleet starts, some
// host changes on every tick. Until the next build, requests still go to a host or instance
// that is leaving, and its guard refuses them.
const hostRebuildInterval = 200 * time.Millisecond

// apply processes the entries that replication has applied to its sets.
func (c *Control) apply(now time.Time, applied []config.Applied) {
	for _, a := range applied {
		switch a.Set {
		case msg.SetHosts:
			c.applyHost(now, a.Entry)
		case msg.SetRecords:
			c.records.apply(c.log, a.Entry, a.From)
			c.applyCrasher(a.Entry)
		case msg.SetCrashes:
			c.applyCrashEntry(now, a.Entry)
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
		// Another host has a newer version of this host's entry, from an earlier process
		// whose clock was ahead. Continue from that version.
		c.version = e.Version
		c.selfChanged = true
		return
	}
	if old, ok := c.hosts[e.Name]; state.Leaving && (!ok || !old.Leaving) {
		event.Log(c.log, event.HostLeft, slog.String("peer", e.Name))
	}
	h := &directory.Host{
		Name: e.Name, DC: state.DC, PeerAddr: state.PeerAddr, AdminAddr: state.AdminAddr,
		Incarnation: state.Incarnation, Leaving: state.Leaving,
	}
	for _, inst := range state.Instances {
		h.Instances = append(h.Instances, fromWire(now, inst))
	}
	c.hosts[e.Name] = h
	c.departures.node.ObserveHost(now, e.Name, h.Incarnation)
	delete(c.removeAt, e.Name)
	c.members.Update(now, e.Name, state.DC, state.PeerAddr, e.Version)
}

func toWire(i directory.Instance) msg.HostInstance {
	return msg.HostInstance{
		Name: i.Name, Service: i.Service, Slots: uint32(i.Slots), MaxConns: uint32(i.MaxConns), SoftwareVersion: i.SoftwareVersion,
		State: uint8(i.State), Health: uint8(i.Health), Evidence: i.Evidence, StartedMS: i.StartedMS,
		WarmUpLeftMS: uint32(i.WarmUpLeft.Milliseconds()),
	}
}

func fromWire(now time.Time, i msg.HostInstance) directory.Instance {
	left := time.Duration(i.WarmUpLeftMS) * time.Millisecond
	return directory.Instance{
		Name: i.Name, Service: i.Service, Slots: int(i.Slots), MaxConns: int(i.MaxConns), SoftwareVersion: i.SoftwareVersion,
		State: directory.InstanceState(i.State), Health: detect.Health(i.Health), Evidence: i.Evidence, StartedMS: i.StartedMS,
		WarmUpLeft: left, WarmUpEnd: now.Add(left),
	}
}

// rebuildDirectory builds a new directory, or returns nil if nothing has changed or the
// rebuild is not due yet. The caller holds the lock.
func (c *Control) rebuildDirectory(now time.Time) *directory.Directory {
	c.removeDeadHosts(now)
	complete := c.hasRequiredRecords()
	completeChanged := complete != c.dir.Complete
	recordsChanged := c.records.dirty || completeChanged
	hostsDue := c.dirty && now.Sub(c.builtAt) >= hostRebuildInterval
	if !recordsChanged && !hostsDue {
		return nil
	}
	c.dirty, c.builtAt = false, now
	if recordsChanged {
		c.records.dirty = false
		if completeChanged {
			// Logged on every change, also when the set becomes incomplete.
			event.Log(c.log, event.RecordSetLoaded, slog.Int("records", c.replica.Set(msg.SetRecords).Len()),
				slog.Int64("newest", c.replica.Set(msg.SetRecords).Newest()))
		}
		c.compiled = c.compiled.Recompile(c.records.list(), complete)
		c.compiledVersion = c.replica.Set(msg.SetRecords).Newest()
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

// hasRequiredRecords reports whether the record set is complete and includes the required
// records. Until then, a request that has no route cannot be distinguished from one whose
// route has not been received yet. The caller holds the lock.
func (c *Control) hasRequiredRecords() bool {
	for _, key := range c.cfg.RequiredRecords {
		if _, ok := c.records.active[key]; !ok {
			return false
		}
	}
	return c.replica.Complete()
}

// removeDeadHosts publishes the deletion of hosts that have been dead for deadHostRetention.
// The caller holds the lock.
func (c *Control) removeDeadHosts(now time.Time) {
	for host, at := range c.removeAt {
		if now.Before(at) {
			continue
		}
		delete(c.removeAt, host)
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

// addUnknownSender adds the sender of a membership datagram to the contacts if the sender is
// unknown. A host that starts while the platform is unavailable knows no other host, but the
// hosts that knew its earlier process still probe its address, so it can call them. The
// caller holds the lock.
func (c *Control) addUnknownSender(p *msg.MemberPacket) {
	if p.From == "" || p.From == c.cfg.Host || p.FromAddr == "" || c.isKnown(p.From) {
		return
	}
	c.contacts.AddProber(p.From, p.FromAddr)
}

// isKnown reports whether the entry of a host has been received. The caller holds the lock.
func (c *Control) isKnown(host string) bool {
	_, known := c.hosts[host]
	return known
}

// callContacts sends the entry of this host to the hosts of which only the address is known,
// and requests their entries and, until this host has them, the records. Once each of them
// is known or no longer called, it pushes the entry of this host again, because the earlier
// push reached only the hosts known at that time. The caller holds the lock.
func (c *Control) callContacts(now time.Time) {
	if c.contacts.AllReached(c.isKnown, c.members.NoPeers()) {
		c.replica.Resend(c.peers(), msg.SetHosts, config.Key{Kind: hostKind, Name: c.cfg.Host})
	}
	for _, call := range c.contacts.NextCalls(now, c.isKnown, c.members.NoPeers()) {
		self, ok := c.replica.Set(msg.SetHosts).Get(config.Key{Kind: hostKind, Name: c.cfg.Host})
		if !ok {
			return
		}
		c.enqueue(call.Addr, &msg.Rumor{Set: msg.SetHosts, Entries: []msg.Entry{self}})
		c.enqueue(call.Addr, call.PullRequest(hostKind))
		if call.Host == "" {
			continue
		}
		if m := c.replica.RequestRecords(now, call.Host); m != nil {
			c.enqueue(call.Addr, m)
		}
	}
}

// excludeAddr returns a copy of addrs without one address.
func excludeAddr(addrs []string, excluded string) []string {
	return slices.DeleteFunc(slices.Clone(addrs), func(addr string) bool { return addr == excluded })
}
