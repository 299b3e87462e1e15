package front

import (
	"context"
	"time"

	"github.com/radishhoist/radishhoist/internal/core/area"
	"github.com/radishhoist/radishhoist/internal/msg"
	"github.com/radishhoist/radishhoist/internal/wire"
)

// LinkReporter sends the use of the link between areas to other hosts.
type LinkReporter interface {
	// SendLinkReport sends a report to the host at an address. It may be lost.
	SendLinkReport(address string, r *msg.LinkReport)
}

// SetLinkReporter sets the reporter. It must be called before the first Tick. Without one,
// nothing is reported.
func (f *Front) SetLinkReporter(r LinkReporter) { f.linkReporter = r }

// Tick sends the reports that are due. The calling code calls it at short intervals.
func (f *Front) Tick(now time.Time) {
	if f.cfg.areas == nil || f.linkReporter == nil {
		return
	}
	for _, o := range f.cfg.areas.link.Tick(now) {
		f.linkReporter.SendLinkReport(o.Address, o.Report)
	}
}

// ReceiveLinkReport processes the report of the host at an address.
func (f *Front) ReceiveLinkReport(sender string, r *msg.LinkReport) {
	if f.cfg.areas != nil {
		f.cfg.areas.link.Receive(time.Now(), sender, r)
	}
}

// CountLinkBytes returns a stream that a host of a data centre has opened to this one. If that
// host is in another area, the requests received and the responses sent count in the use of
// the link; attempts of this front are counted by recordBytes.
func (f *Front) CountLinkBytes(dc string, s wire.Stream) wire.Stream {
	if f.cfg.areas.distance(dc) != area.Remote || !f.cfg.areas.link.HasCapacity() {
		return s
	}
	return linkStream{s, f.cfg.areas.link}
}

// linkStream counts the bytes of requests and responses.
type linkStream struct {
	wire.Stream
	link *area.Link
}

// Send implements wire.Stream.
func (s linkStream) Send(ctx context.Context, ms ...msg.Message) error {
	err := s.Stream.Send(ctx, ms...)
	if err == nil {
		s.add(true, ms...)
	}
	return err
}

// Recv implements wire.Stream.
func (s linkStream) Recv(ctx context.Context) (msg.Message, error) {
	m, err := s.Stream.Recv(ctx)
	if err == nil {
		s.add(false, m)
	}
	return m, err
}

func (s linkStream) add(sent bool, ms ...msg.Message) {
	n := int64(0)
	for _, m := range ms {
		switch m := m.(type) {
		case *msg.Data:
			n += int64(len(m.Bytes))
		case *msg.Head:
			n += fieldBytes(m.Header)
		case *msg.Run:
			n += fieldBytes(m.Header) + int64(len(m.URI))
		}
	}
	switch {
	case n == 0:
	case sent:
		s.link.Add(time.Now(), n, 0)
	default:
		s.link.Add(time.Now(), 0, n)
	}
}
