package control

import (
	"bytes"
	"context"
	"net"
	"net/netip"
	"time"

	"github.com/pkg/errors"

	"github.com/radishhoist/radishhoist/internal/core/announce"
	"github.com/radishhoist/radishhoist/internal/core/departure"
	"github.com/radishhoist/radishhoist/internal/msg"
	"github.com/radishhoist/radishhoist/internal/objects"
	"github.com/radishhoist/radishhoist/internal/sleep"
	"github.com/radishhoist/radishhoist/record"
)

const (
	// departureNoticePrefix and departureReceiptPrefix are the first bytes of the datagrams
	// by which hosts hold departures for each other. No other datagram starts with one of
	// them, and older builds drop them.
	departureNoticePrefix  = 0xc9
	departureReceiptPrefix = 0xca
	// platformPatience is how long the platform alone is waited for to store a departure.
	// After it, and while the platform is unavailable, other hosts that hold it suffice.
	platformPatience = 500 * time.Millisecond
	// departureWriteTimeout bounds one write of a departure.
	departureWriteTimeout = 5 * time.Second
)

// errDepartureNotRecorded reports that neither the platform nor enough other hosts have confirmed
// a departure.
var errDepartureNotRecorded = errors.New("neither the platform nor enough other hosts have confirmed it")

// departures makes the departures of this host's instances known outside this process. Its
// fields are guarded by Control.mu.
type departures struct {
	node *departure.Node
	// recordVersion is the version of this host's record on the platform, 0 if unknown.
	recordVersion int64
	// unavailable reports that the last write of a departure failed.
	unavailable bool
	// changed is closed and replaced when a departure may have become recorded.
	changed chan struct{}
	// added receives a value when a departure is to be stored.
	added chan struct{}
}

func newDepartures(node *departure.Node) departures {
	return departures{node: node, changed: make(chan struct{}), added: make(chan struct{}, 1)}
}

// notify wakes the goroutines that wait for a departure to be recorded. The caller holds the
// lock.
func (d *departures) notify() {
	close(d.changed)
	d.changed = make(chan struct{})
}

// wakeWriter makes storeDepartures run.
func (d *departures) wakeWriter() {
	select {
	case d.added <- struct{}{}:
	default:
	}
}

// RecordDeparture makes a departure known outside this process. It returns once the platform has
// stored it or, while the platform does not respond, once enough other hosts hold it. It returns
// an error if the context ends before.
func (c *Control) RecordDeparture(ctx context.Context, d announce.Departure) error {
	c.mu.Lock()
	c.departures.node.Record(time.Now(), d, c.departurePeers())
	c.sendDepartures()
	c.mu.Unlock()
	c.departures.wakeWriter()
	patience := time.NewTimer(platformPatience)
	defer patience.Stop()
	hostsSuffice := false
	for {
		c.mu.Lock()
		recorded := c.departures.node.Stored(d.Instance) ||
			(hostsSuffice || c.departures.unavailable) && c.departures.node.Held(d.Instance)
		changed := c.departures.changed
		c.mu.Unlock()
		if recorded {
			return nil
		}
		select {
		case <-changed:
		case <-patience.C:
			hostsSuffice = true
		case <-ctx.Done():
			return errDepartureNotRecorded
		}
	}
}

// RevokeDeparture forgets a departure of an instance that is ready again.
func (c *Control) RevokeDeparture(instance string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.departures.node.Revoke(instance)
}

// storeDepartures writes the Host record of this host whenever it has a new departure, until the
// platform has stored it.
func (c *Control) storeDepartures(ctx context.Context) {
	for {
		select {
		case <-c.departures.added:
		case <-ctx.Done():
			return
		}
		retry := backoff{max: c.cfg.MaxRetryInterval}
		for c.hasUnstoredDeparture() && !c.storeOwnRecord(ctx) {
			if !sleep.For(ctx, retry.next()) {
				return
			}
		}
	}
}

func (c *Control) hasUnstoredDeparture() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.departures.node.Unstored()
}

// storeOwnRecord writes the Host record of this host with its departures. It reports whether the
// record is stored.
func (c *Control) storeOwnRecord(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, departureWriteTimeout)
	defer cancel()
	key, value, written, err := c.marshalOwnRecord()
	if err != nil {
		return true
	}
	c.mu.Lock()
	version := c.departures.recordVersion
	c.mu.Unlock()
	isOwn := func(stored []byte) bool { return bytes.Equal(stored, value) }
	obj, err := objects.PutConfirmed(ctx, c.store, key, value, version, isOwn)
	var conflict *objects.ConflictError
	switch {
	case err == nil:
		c.ownRecordWritten(obj.Version, written)
		return true
	case errors.As(err, &conflict):
		c.adoptOwnRecord(conflict.Current)
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.departures.unavailable = true
	c.departures.notify()
	return false
}

// ownRecordWritten records that the platform stores the Host record of this host in a version,
// with the given departures.
func (c *Control) ownRecordWritten(version int64, written []announce.Departure) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.departures.recordVersion, c.departures.unavailable = version, false
	c.departures.node.MarkStored(written)
	c.departures.notify()
}

// adoptOwnRecord takes the version and the departures of the stored Host record of this host,
// which an earlier process or another host has written.
func (c *Control) adoptOwnRecord(stored objects.Object) {
	var restored []announce.Departure
	now := time.Now()
	c.mu.Lock()
	c.departures.recordVersion = stored.Version
	for _, l := range hostListings([]objects.Object{stored}) {
		for _, r := range l.Departures {
			if d := fromRecord(now, r); c.departures.node.Restore(now, d, true) {
				restored = append(restored, d)
			}
		}
	}
	c.mu.Unlock()
	c.restoreDepartures(restored)
}

// restoreDepartures passes departures that earlier processes of this host have acknowledged to
// the hook.
func (c *Control) restoreDepartures(restored []announce.Departure) {
	if c.hooks.DeparturesRestored != nil {
		c.hooks.DeparturesRestored(restored)
	}
}

func toRecord(d announce.Departure) record.Departure {
	return record.Departure{Instance: d.Instance, StartedMS: d.StartedMS, Sequence: d.Sequence, Gone: d.Gone, AtMS: d.At.UnixMilli()}
}

// fromRecord converts a stored departure. Its time is by the clock of an earlier process, which
// may have been ahead.
func fromRecord(now time.Time, r record.Departure) announce.Departure {
	at := time.UnixMilli(r.AtMS)
	if at.After(now) {
		at = now
	}
	return announce.Departure{Instance: r.Instance, Stamp: announce.Stamp{StartedMS: r.StartedMS, Sequence: r.Sequence}, Gone: r.Gone, At: at}
}

// departurePeers returns the live hosts. The caller holds the lock.
func (c *Control) departurePeers() departure.Peers {
	local, remote := c.members.Live()
	return departure.Peers{Local: local, Remote: remote}
}

// sendDepartures sends the pending notices. The caller holds the lock.
func (c *Control) sendDepartures() {
	for _, o := range c.departures.node.Take() {
		h, ok := c.hosts[o.To]
		if !ok {
			continue
		}
		buf, err := o.Notice.MarshalMsg([]byte{departureNoticePrefix})
		addr, addrErr := netip.ParseAddrPort(h.PeerAddr)
		if err == nil && addrErr == nil {
			c.sendDatagram(addr, buf)
		}
	}
}

// sendDatagram sends a datagram to an address. The caller holds the lock.
func (c *Control) sendDatagram(to netip.AddrPort, buf []byte) {
	if c.udp == nil {
		return
	}
	c.traffic.PacketsOut++
	c.traffic.BytesOut += uint64(len(buf))
	_, _ = c.udp.WriteToUDPAddrPort(buf, to)
}

// handleDeparturePacket processes the notice of a departure or the receipt of one. It returns
// false if buf is neither.
func (c *Control) handleDeparturePacket(buf []byte, from *net.UDPAddr) bool {
	if len(buf) == 0 {
		return false
	}
	switch buf[0] {
	case departureNoticePrefix:
		var m msg.DepartureNotice
		if rest, err := m.UnmarshalMsg(buf[1:]); err == nil && len(rest) == 0 {
			c.handleDepartureNotice(&m, from)
		}
	case departureReceiptPrefix:
		var m msg.DepartureReceipt
		if rest, err := m.UnmarshalMsg(buf[1:]); err == nil && len(rest) == 0 {
			c.mu.Lock()
			c.departures.node.StepReceipt(&m)
			c.departures.notify()
			c.mu.Unlock()
		}
	default:
		return false
	}
	return true
}

// handleDepartureNotice handles a notice and sends the receipt to its sender.
func (c *Control) handleDepartureNotice(m *msg.DepartureNotice, from *net.UDPAddr) {
	c.mu.Lock()
	receipt, restored := c.departures.node.StepNotice(time.Now(), m)
	c.mu.Unlock()
	if restored != nil {
		c.restoreDepartures([]announce.Departure{*restored})
		c.departures.wakeWriter()
	}
	if receipt == nil {
		return
	}
	buf, err := receipt.MarshalMsg([]byte{departureReceiptPrefix})
	if err != nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	sender := from.AddrPort()
	c.sendDatagram(netip.AddrPortFrom(sender.Addr().Unmap(), sender.Port()), buf)
}
