package control

import (
	"context"
	"fmt"
	"sort"
	"time"

	"github.com/pkg/errors"

	"github.com/radishhoist/radishhoist/internal/core/directory"
	"github.com/radishhoist/radishhoist/internal/core/member"
	"github.com/radishhoist/radishhoist/internal/msg"
	"github.com/radishhoist/radishhoist/internal/objects"
	"github.com/radishhoist/radishhoist/internal/sleep"
	"github.com/radishhoist/radishhoist/record"
)

const (
	// statusReportInterval is how often a host reports its record set to the status writer of
	// its data centre.
	statusReportInterval = 5 * time.Second
	// statusReportTTL is how long a received status report is used.
	statusReportTTL = 3 * statusReportInterval
	// statusRefreshInterval is how often an unchanged summary is written.
	statusRefreshInterval = time.Minute
	// maxBehind limits the number of hosts listed as having an older record set, and the
	// number of rejected records in a report.
	maxBehind = 20
)

// receivedReport is a host's status report with the time of receipt.
type receivedReport struct {
	at time.Time
	msg.StatusReport
}

// sendStatusReport sends this host's status report to the status writer if it is due. The
// caller holds the lock.
func (c *Control) sendStatusReport(now time.Time) {
	if now.Sub(c.statusReportedAt) < statusReportInterval {
		return
	}
	c.statusReportedAt = now
	set := c.replica.Set(msg.SetRecords)
	r := &msg.StatusReport{Root: set.Root(), Newest: set.Newest(), Complete: c.replica.Complete()}
	for _, rejected := range c.records.rejected {
		if len(r.Rejected) < maxBehind {
			r.Rejected = append(r.Rejected, rejected)
		}
	}
	to := c.statusWriter()
	if to == c.cfg.Host {
		c.storeStatusReport(to, r)
		return
	}
	if h, ok := c.hosts[to]; ok {
		c.enqueue(h.PeerAddr, r)
	}
}

func (c *Control) storeStatusReport(from string, r *msg.StatusReport) {
	c.statusReports[from] = receivedReport{at: time.Now(), StatusReport: *r}
}

// statusWriter returns the host that collects the status reports and writes the summary:
// the first live host of this data centre in alphabetical order, unlike rank, which uses
// the hashes of the names.
func (c *Control) statusWriter() string {
	local, _ := c.members.Live()
	first := c.cfg.Host
	for _, host := range local {
		if host < first && c.members.Status(host) == member.Alive {
			first = host
		}
	}
	return first
}

// summarize aggregates the status reports of this data centre. It returns false if this
// host is not the status writer.
func (c *Control) summarize(now time.Time) (*record.Status, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.statusWriter() != c.cfg.Host {
		return nil, false
	}
	local, _ := c.members.Live()
	s := &record.Status{DC: c.cfg.DC, Writer: c.cfg.Host, AtMS: now.UnixMilli(), Hosts: len(local) + 1}
	byRoot := make(map[uint64]*record.HostsInForce)
	hostsOf := make(map[uint64][]string)
	rejected := make(map[string]record.RejectedRecord)
	for host, received := range c.statusReports {
		if now.Sub(received.at) > statusReportTTL {
			delete(c.statusReports, host)
			continue
		}
		f, ok := byRoot[received.Root]
		if !ok {
			f = &record.HostsInForce{Root: fmt.Sprintf("%016x", received.Root)}
			byRoot[received.Root] = f
		}
		f.Hosts++
		f.Revision = max(f.Revision, received.Newest)
		hostsOf[received.Root] = append(hostsOf[received.Root], host)
		for _, entry := range received.Rejected {
			rejected[entry.Key] = record.RejectedRecord(entry)
		}
	}
	s.InForce = newestFirst(byRoot, hostsOf)
	for _, r := range rejected {
		s.Rejected = append(s.Rejected, r)
	}
	sort.Slice(s.Rejected, func(i, j int) bool { return s.Rejected[i].Key < s.Rejected[j].Key })
	return s, true
}

// newestFirst returns the record sets sorted by revision, newest first. Each set but the
// first lists the hosts that have it, and so are behind, up to maxBehind.
func newestFirst(byRoot map[uint64]*record.HostsInForce, hostsOf map[uint64][]string) []record.HostsInForce {
	var out []record.HostsInForce
	for root, f := range byRoot {
		hosts := hostsOf[root]
		sort.Strings(hosts)
		f.Behind = hosts[:min(len(hosts), maxBehind)]
		out = append(out, *f)
	}
	sort.Slice(out, func(i, j int) bool {
		if out[i].Revision != out[j].Revision {
			return out[i].Revision > out[j].Revision
		}
		return out[i].Hosts > out[j].Hosts
	})
	if len(out) > 0 {
		out[0].Behind = nil
	}
	return out
}

// writeStatus updates the status summary of the data centre in the platform.
func (c *Control) writeStatus(ctx context.Context) {
	var last record.Status
	var lastAt time.Time
	for ctx.Err() == nil {
		sleep.For(ctx, c.cfg.StatusInterval)
		now := time.Now()
		s, isWriter := c.summarize(now)
		if !isWriter || (sameStatus(&last, s) && now.Sub(lastAt) < statusRefreshInterval) {
			continue
		}
		if c.putStatus(ctx, s) == nil {
			last, lastAt = *s, now
		}
	}
}

// putStatus overwrites the stored summary, since only the newest one matters.
func (c *Control) putStatus(ctx context.Context, s *record.Status) error {
	key := record.Key{Kind: record.KindStatus, Name: c.cfg.DC}
	value, err := record.Marshal(key, s)
	if err != nil {
		return err
	}
	current, err := c.store.Get(ctx, key)
	var missing *objects.NotFoundError
	if err != nil && !errors.As(err, &missing) {
		return err
	}
	_, err = c.store.Put(ctx, key, value, current.Version)
	return err
}

func sameStatus(a, b *record.Status) bool {
	x, y := *a, *b
	x.AtMS, y.AtMS = 0, 0
	return fmt.Sprint(x) == fmt.Sprint(y)
}

// State is the part of the state dump that describes the control plane.
type State struct {
	Version  int64  `json:"version"`
	Leaving  bool   `json:"leaving"`
	Complete bool   `json:"whole"`
	Records  int    `json:"records"`
	Root     string `json:"root"`
	Newest   int64  `json:"newest"`
	// ActiveVersion is the newest record version in the directory that routes requests. It
	// may briefly be behind Newest.
	ActiveVersion int64 `json:"inForce"`
	Watching      bool  `json:"watching"`
	// Substitute is the host that watches the platform in place of this one, because the
	// platform does not serve this one.
	Substitute          string `json:"substitute,omitempty"`
	PlatformUnavailable bool   `json:"platformAway"`
	Isolated            bool   `json:"isolated"`
	// Confirmed is the age and source of the last confirmation of each feed.
	Confirmed      []Confirmation       `json:"confirmed"`
	Rejected       []msg.RejectedRecord `json:"rejected"`
	Members        []MemberState        `json:"members"`
	Traffic        Traffic              `json:"traffic"`
	InstancesKnown int                  `json:"instancesKnown"`
}

// MemberState is the state of another host as seen by this one.
type MemberState struct {
	Host    string `json:"host"`
	DC      string `json:"dc"`
	Status  string `json:"status"`
	Leaving bool   `json:"leaving"`
	Version int64  `json:"version"`
}

// State returns the current state of the control plane.
func (c *Control) State() State {
	c.mu.Lock()
	defer c.mu.Unlock()
	set := c.replica.Set(msg.SetRecords)
	s := State{
		Version: c.version, Leaving: c.leaving, Complete: c.replica.Complete(),
		Records: set.Len(), Root: fmt.Sprintf("%016x", set.Root()), Newest: set.Newest(), ActiveVersion: c.activeVersion,
		Watching: c.watching, Substitute: c.substitute, PlatformUnavailable: len(c.failedFeeds) > 0, Isolated: c.members.Isolated(),
		Confirmed: c.confirmed.state(time.Now()),
		Rejected:  []msg.RejectedRecord{}, Members: []MemberState{}, Traffic: c.loadTraffic.addTo(c.traffic),
	}
	for _, r := range c.records.rejected {
		s.Rejected = append(s.Rejected, r)
	}
	for _, m := range c.members.Members() {
		h := c.hosts[m.Host]
		s.Members = append(s.Members, MemberState{
			Host: m.Host, DC: m.DC, Status: m.Status.String(), Leaving: h != nil && h.Leaving, Version: m.Version,
		})
	}
	for _, h := range c.hosts {
		s.InstancesKnown += len(h.Instances)
	}
	return s
}

// Directory returns the newest directory.
func (c *Control) Directory() *directory.Directory {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.dir
}
