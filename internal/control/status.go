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
	// reportInterval is how often a host tells its data centre's summing host
	// what it has in force.
	reportInterval = 5 * time.Second
	// reportLife is how long such a report counts.
	reportLife = 3 * reportInterval
	// statusRefresh is how often the summary is written where it has not
	// changed.
	statusRefresh = time.Minute
	// maxBehind bounds the hosts named as behind.
	maxBehind = 20
)

// report is one host's word on what it has in force.
type report struct {
	at time.Time
	msg.Report
}

// report sends this host's report to the host that sums up. The caller holds
// the lock.
func (c *Control) report(now time.Time) {
	if now.Sub(c.reported) < reportInterval {
		return
	}
	c.reported = now
	set := c.replica.Set(msg.SetRecords)
	r := &msg.Report{Root: set.Root(), Newest: set.Newest(), Complete: c.replica.Complete()}
	for _, rejected := range c.records.rejected {
		if len(r.Rejected) < maxBehind {
			r.Rejected = append(r.Rejected, rejected)
		}
	}
	to := c.summingHost()
	if to == c.cfg.Host {
		c.takeReport(to, r)
		return
	}
	if h, ok := c.hosts[to]; ok {
		c.queueTo(h.Peer, r)
	}
}

func (c *Control) takeReport(from string, r *msg.Report) {
	c.reports[from] = report{at: time.Now(), Report: *r}
}

// summingHost is the live host of this data centre that comes first by name.
func (c *Control) summingHost() string {
	near, _ := c.members.Live()
	first := c.cfg.Host
	for _, host := range near {
		if host < first && c.members.Status(host) == member.Alive {
			first = host
		}
	}
	return first
}

// summary sums up the reports of this data centre; false where this host is
// not the one to do so.
func (c *Control) summary(now time.Time) (*record.Status, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.summingHost() != c.cfg.Host {
		return nil, false
	}
	near, _ := c.members.Live()
	s := &record.Status{DC: c.cfg.DC, Writer: c.cfg.Host, AtMS: now.UnixMilli(), Hosts: len(near) + 1}
	byRoot := make(map[uint64]*record.HostsInForce)
	hostsOf := make(map[uint64][]string)
	rejected := make(map[string]record.Rejected)
	for host, r := range c.reports {
		if now.Sub(r.at) > reportLife {
			delete(c.reports, host)
			continue
		}
		f, ok := byRoot[r.Root]
		if !ok {
			f = &record.HostsInForce{Root: fmt.Sprintf("%016x", r.Root)}
			byRoot[r.Root] = f
		}
		f.Hosts++
		f.Revision = max(f.Revision, r.Newest)
		hostsOf[r.Root] = append(hostsOf[r.Root], host)
		for _, bad := range r.Rejected {
			rejected[bad.Key] = record.Rejected(bad)
		}
	}
	s.InForce = ranked(byRoot, hostsOf)
	for _, r := range rejected {
		s.Rejected = append(s.Rejected, r)
	}
	sort.Slice(s.Rejected, func(i, j int) bool { return s.Rejected[i].Key < s.Rejected[j].Key })
	return s, true
}

// ranked puts the newest set first and names the hosts that have another.
func ranked(byRoot map[uint64]*record.HostsInForce, hostsOf map[uint64][]string) []record.HostsInForce {
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

// writeStatus keeps the data centre's summary in the platform up to date.
func (c *Control) writeStatus(ctx context.Context) {
	var last record.Status
	var lastAt time.Time
	for ctx.Err() == nil {
		sleep.For(ctx, c.cfg.StatusInterval)
		now := time.Now()
		s, mine := c.summary(now)
		if !mine || (sameStatus(&last, s) && now.Sub(lastAt) < statusRefresh) {
			continue
		}
		if c.putStatus(ctx, s) == nil {
			last, lastAt = *s, now
		}
	}
}

// putStatus overwrites the summary; only the newest matters.
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

// State is the control part of the state dump.
type State struct {
	Version  int64  `json:"version"`
	Leaving  bool   `json:"leaving"`
	Complete bool   `json:"whole"`
	Records  int    `json:"records"`
	Root     string `json:"root"`
	Newest   int64  `json:"newest"`
	// ActiveVersion is the newest version that requests are served by; Newest may be a moment
	// ahead of it.
	ActiveVersion int64 `json:"inForce"`
	Watching      bool  `json:"watching"`
	PlatformAway  bool  `json:"platformAway"`
	Isolated      bool  `json:"isolated"`
	// Confirmed says since when the records in force are known to be current, and from whom.
	Confirmed      []Confirmation       `json:"confirmed"`
	Rejected       []msg.ReportRejected `json:"rejected"`
	Members        []MemberState        `json:"members"`
	Traffic        Traffic              `json:"traffic"`
	InstancesKnown int                  `json:"instancesKnown"`
}

// MemberState is one host as this one sees it.
type MemberState struct {
	Host    string `json:"host"`
	DC      string `json:"dc"`
	Status  string `json:"status"`
	Leaving bool   `json:"leaving"`
	Version int64  `json:"version"`
}

// State reads the state for the dump.
func (c *Control) State() State {
	c.mu.Lock()
	defer c.mu.Unlock()
	set := c.replica.Set(msg.SetRecords)
	s := State{
		Version: c.version, Leaving: c.leaving, Complete: c.replica.Complete(),
		Records: set.Len(), Root: fmt.Sprintf("%016x", set.Root()), Newest: set.Newest(), ActiveVersion: c.inForce,
		Watching: c.watching, PlatformAway: len(c.away) > 0, Isolated: c.members.Isolated(),
		Confirmed: c.confirmed.state(time.Now()),
		Rejected:  []msg.ReportRejected{}, Members: []MemberState{}, Traffic: c.traffic,
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

// Directory gives the newest directory.
func (c *Control) Directory() *directory.Directory {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.dir
}
