package front

import (
	"slices"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"gotest.tools/v3/assert"

	"github.com/radishhoist/radishhoist/internal/core/directory"
	"github.com/radishhoist/radishhoist/internal/msg"
	"github.com/radishhoist/radishhoist/internal/wire"
)

// sentLinkReports collects the addresses to which reports are sent, and the last report.
type sentLinkReports struct {
	to   []string
	last *msg.LinkReport
}

func (s *sentLinkReports) SendLinkReport(address string, r *msg.LinkReport) {
	s.to, s.last = append(s.to, address), r
}

// Guards against reports that leave the area or go to hosts that are down, against bytes of
// other areas' requests that are not counted, and against reports where no capacity is set.
func TestUseOfLinkIsCountedAndReported(t *testing.T) {
	dir := &directory.Directory{Hosts: map[string]*directory.Host{
		"front": {Name: "front", DC: "dc0", PeerAddr: "self", Alive: true},
		"a":     {Name: "a", DC: "dc0", PeerAddr: "a:1", Alive: true},
		"b":     {Name: "b", DC: "dc1", PeerAddr: "b:1", Alive: true},
		"down":  {Name: "down", DC: "dc1", PeerAddr: "down:1"},
		"far":   {Name: "far", DC: "dc2", PeerAddr: "far:1", Alive: true},
	}}
	newFront := func(mbps int) (*Front, *sentLinkReports) {
		cfg := newAreaChoice(time.Second, time.Second, 0).cfg
		cfg.AreaLinkMbps = mbps
		cfg.areas = newAreas(cfg, metrics.NewSet())
		cfg.areas.setDirectory(dir, "front")
		f, sent := &Front{cfg: cfg}, &sentLinkReports{}
		f.SetLinkReporter(sent)
		return f, sent
	}
	for dc, counts := range map[string]bool{"dc0": false, "dc1": false, "dc2": true, "unlisted": true} {
		f, sent := newFront(60)
		near, far := wire.Pipe()
		s := f.CountLinkBytes(dc, near)
		assert.NilError(t, far.Send(t.Context(), &msg.Data{Bytes: make([]byte, 30_000)}))
		_, err := s.Recv(t.Context())
		assert.NilError(t, err)
		assert.NilError(t, s.Send(t.Context(), &msg.Data{Bytes: make([]byte, 50_000)}))
		now := time.Now()
		f.Tick(now)
		f.Tick(now.Add(100 * time.Millisecond))
		slices.Sort(sent.to)
		assert.DeepEqual(t, sent.to, []string{"a:1", "b:1"})
		assert.Equal(t, sent.last.Sent > 30 && sent.last.Received > 20, counts, "%s: %v", dc, sent.last)
		before, _ := f.cfg.areas.link.Use(now)
		f.ReceiveLinkReport("b:1", &msg.LinkReport{Area: sent.last.Area, Sent: 10_000})
		after, _ := f.cfg.areas.link.Use(now)
		assert.Assert(t, after > before+0.1)
	}
	f, sent := newFront(0)
	f.Tick(time.Now())
	assert.Equal(t, len(sent.to), 0, "no capacity is set")
	f = &Front{}
	f.Tick(time.Now())
	f.ReceiveLinkReport("b:1", &msg.LinkReport{})
	near, _ := wire.Pipe()
	assert.Assert(t, f.CountLinkBytes("dc2", near) == near, "one area")
}
