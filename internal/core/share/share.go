// Package share estimates how much of a service's slots each team uses over all hosts. The
// guards of a service exchange their own figures by datagrams: each sends its figures to two
// others, chosen at random, and takes the mean over its own and those it has received
// lately. There is no agreement and no host that holds the figures of a service.
//
// An Exchange does not read the clock and does no I/O. The calling code passes in the time,
// serializes its calls, and sends the returned reports.
package share

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/radishhoist/radishhoist/internal/core/directory"
	"github.com/radishhoist/radishhoist/internal/msg"
)

const (
	// Interval is the interval of Tick.
	Interval = 500 * time.Millisecond
	// reportLifetime is how long a report counts, by the receiver's clock.
	reportLifetime = 3 * time.Second
	// maxSenders is the number of senders of each service whose last reports are kept.
	maxSenders = 16
	// receivers is the number of guards to which a report is sent, and contendedReceivers
	// that while requests wait for a slot. With two receivers all the time, a team at five
	// times its usual rate stood out at 0.74 to 0.83 of the guards after 3 s, with four at
	// 0.98 to 1.
	receivers          = 2
	contendedReceivers = 4
	// maxDatagrams is the number of datagrams sent in one Tick. The services of a host with
	// instances of many of them take turns, so that what it sends is bounded.
	maxDatagrams = 8
	// maxTickGap is the time between two calls of Tick beyond which the process is taken to
	// have been suspended. Datagrams that arrived meanwhile are as old as the suspension.
	maxTickGap = 3 * Interval
	// maxTeams is the number of teams of each service whose use over the fleet is known: as
	// many as a queue remembers. Those that use the most are kept.
	maxTeams = 256
	// maxDraws is the number of targets drawn to find the receivers of a report: enough to
	// find one where four of five hosts are dead or are this one, with a probability of 0.97.
	maxDraws = 16
	// maxReportedSlots is the greatest plausible number of slots of one host.
	maxReportedSlots = 1 << 16
	// maxUsePerSlot is the greatest plausible use per slot. It exceeds 1 because a started
	// request counts with its whole expected service time at once.
	maxUsePerSlot = 16
)

// Use is the use of one team: the mean number of slots that its requests use.
type Use struct {
	Team     uint32
	SlotTime float64
}

// Local describes an instance on this host.
type Local struct {
	Service string
	Slots   int
	Use     []Use
	// Contended reports that requests wait for a slot at the instance.
	Contended bool
}

// Outbound is a report to be sent to a host.
type Outbound struct {
	Address string
	Report  *msg.ShareReport
}

// TeamState is the use of one team at a service, as estimated here.
type TeamState struct {
	Service string
	Team    uint32
	Weight  float64
	// Share is the team's part of the slots by its weight, among the teams that use the
	// service, and Use the part that it uses.
	Share, Use float64
	// Over reports that the team uses more than its share while requests wait for a slot
	// on this host.
	Over bool
}

// Exchange is the state of one host.
type Exchange struct {
	host     string
	rng      *rand.Rand
	dir      *directory.Directory
	services map[string]*service
	tickedAt time.Time
	// ignoreUntil is the time until which reports are ignored after a suspension.
	ignoreUntil time.Time
	// nextService is the position, among the services by name, of the one reported next.
	nextService int
}

// service is the state of one service that has instances on this host.
type service struct {
	// local combines the instances on this host.
	local   Local
	reports []received
	// use is the sum of the use over this guard and the received reports, and slots that of
	// the slots, as of the last Tick.
	use   map[uint32]float64
	slots float64
}

// received is the last report of one sender.
type received struct {
	*msg.ShareReport
	at time.Time
}

// New returns an Exchange of a host.
func New(host string, rng *rand.Rand) *Exchange {
	return &Exchange{host: host, rng: rng, dir: &directory.Directory{}, services: make(map[string]*service)}
}

// SetDirectory sets the directory, from which the receivers of reports are chosen.
func (x *Exchange) SetDirectory(d *directory.Directory) { x.dir = d }

// Tick sets the figures of the instances on this host and returns the reports to send. It
// must be called every Interval.
func (x *Exchange) Tick(now time.Time, instances []Local) []Outbound {
	if !x.tickedAt.IsZero() && now.Sub(x.tickedAt) > maxTickGap {
		x.ignoreUntil = now.Add(Interval)
		clear(x.services)
	}
	x.tickedAt = now
	local := byService(instances)
	services := make(map[string]*service, len(local))
	for _, l := range local {
		s := x.services[l.Service]
		if s == nil {
			s = &service{}
		}
		s.local = l
		s.sum(now)
		services[l.Service] = s
	}
	x.services = services
	return x.reportsToSend(local)
}

// byService combines the instances of each service and sorts the result by service.
func byService(instances []Local) []Local {
	var out []Local
	for _, i := range instances {
		at := slices.IndexFunc(out, func(l Local) bool { return l.Service == i.Service })
		if at < 0 {
			out = append(out, i)
			continue
		}
		l := &out[at]
		l.Slots, l.Contended = l.Slots+i.Slots, l.Contended || i.Contended
		use := make(map[uint32]float64, len(l.Use)+len(i.Use))
		for _, u := range slices.Concat(l.Use, i.Use) {
			use[u.Team] += u.SlotTime
		}
		l.Use = make([]Use, 0, len(use))
		for team, slotTime := range use {
			l.Use = append(l.Use, Use{Team: team, SlotTime: slotTime})
		}
	}
	slices.SortFunc(out, func(a, b Local) int { return cmp.Compare(a.Service, b.Service) })
	return out
}

// reportsToSend returns the reports of the services that have run requests. The services take
// turns if they have more than maxDatagrams together.
func (x *Exchange) reportsToSend(local []Local) []Outbound {
	var active []Local
	for _, l := range local {
		if l.Slots > 0 && len(l.Use) > 0 {
			active = append(active, l)
		}
	}
	var out []Outbound
	for range active {
		l := active[x.nextService%len(active)]
		n := receivers
		if l.Contended {
			n = contendedReceivers
		}
		if len(out)+n > maxDatagrams {
			break
		}
		x.nextService = (x.nextService + 1) % len(active)
		teams := mostUsed(l.Use)
		if len(teams) == 0 {
			continue
		}
		r := &msg.ShareReport{Host: x.host, Service: l.Service, Slots: uint32(l.Slots), Teams: teams}
		for _, address := range x.receivers(l.Service, n) {
			out = append(out, Outbound{Address: address, Report: r})
		}
	}
	return out
}

// mostUsed returns the teams with the most use, as a report lists them.
func mostUsed(use []Use) []msg.TeamSlots {
	sorted := slices.Clone(use)
	sortByUse(sorted)
	out := make([]msg.TeamSlots, 0, msg.MaxReportTeams)
	for _, u := range sorted[:min(len(sorted), msg.MaxReportTeams)] {
		if slots := math.Round(u.SlotTime * msg.Thousandths); slots >= 1 && slots <= math.MaxUint32 {
			out = append(out, msg.TeamSlots{Team: u.Team, Slots: uint32(slots)})
		}
	}
	slices.SortFunc(out, func(a, b msg.TeamSlots) int { return cmp.Compare(a.Team, b.Team) })
	return out
}

// sortByUse sorts teams by use, the greatest first.
func sortByUse(use []Use) {
	slices.SortFunc(use, func(a, b Use) int {
		return cmp.Or(cmp.Compare(b.SlotTime, a.SlotTime), cmp.Compare(a.Team, b.Team))
	})
}

// receivers draws the addresses of up to n other live hosts with instances of a service. The
// work does not grow with the number of hosts.
func (x *Exchange) receivers(service string, n int) []string {
	s := x.dir.Services[service]
	if s == nil || len(s.Targets) == 0 {
		return nil
	}
	var out []string
	for range maxDraws {
		h := s.Targets[x.rng.IntN(len(s.Targets))].Host
		if h.Name == x.host || !h.Alive || slices.Contains(out, h.PeerAddr) {
			continue
		}
		if out = append(out, h.PeerAddr); len(out) == n {
			break
		}
	}
	return out
}

// Receive processes a report and returns whether it counts. Reports that are malformed, or
// that come from unknown hosts or for services without instances here, do not.
func (x *Exchange) Receive(now time.Time, r *msg.ShareReport) bool {
	s, here := x.services[r.Service]
	_, known := x.dir.Hosts[r.Host]
	if !here || !known || r.Host == x.host || !valid(r) {
		return false
	}
	if now.Sub(x.tickedAt) > maxTickGap || now.Before(x.ignoreUntil) {
		return false
	}
	s.store(received{ShareReport: r, at: now})
	return true
}

// valid reports whether the figures of a report are plausible.
func valid(r *msg.ShareReport) bool {
	if r.Slots == 0 || r.Slots > maxReportedSlots || len(r.Teams) == 0 || len(r.Teams) > msg.MaxReportTeams {
		return false
	}
	sum := uint64(0)
	for i, t := range r.Teams {
		if i > 0 && t.Team <= r.Teams[i-1].Team {
			return false
		}
		sum += uint64(t.Slots)
	}
	return sum <= uint64(r.Slots)*maxUsePerSlot*msg.Thousandths
}

// store keeps a report in place of the sender's last one, or else of the oldest one if there
// are maxSenders.
func (s *service) store(r received) {
	oldest := 0
	for i := range s.reports {
		if s.reports[i].Host == r.Host {
			s.reports[i] = r
			return
		}
		if s.reports[i].at.Before(s.reports[oldest].at) {
			oldest = i
		}
	}
	if len(s.reports) < maxSenders {
		s.reports = append(s.reports, r)
		return
	}
	s.reports[oldest] = r
}

// sum removes expired reports and adds up the others and this host's own figures.
func (s *service) sum(now time.Time) {
	s.reports = slices.DeleteFunc(s.reports, func(r received) bool { return now.Sub(r.at) > reportLifetime })
	s.use = make(map[uint32]float64, len(s.use))
	s.slots = float64(s.local.Slots)
	for _, u := range s.local.Use {
		s.use[u.Team] += u.SlotTime
	}
	for _, r := range s.reports {
		s.slots += float64(r.Slots)
		for _, t := range r.Teams {
			s.use[t.Team] += float64(t.Slots) / msg.Thousandths
		}
	}
	if len(s.use) <= maxTeams {
		return
	}
	all := make([]Use, 0, len(s.use))
	for team, slotTime := range s.use {
		all = append(all, Use{Team: team, SlotTime: slotTime})
	}
	sortByUse(all)
	for _, u := range all[maxTeams:] {
		delete(s.use, u.Team)
	}
}

// FleetUse returns the mean use of each team over the guards of a service, for an instance
// with the given number of slots, or nil if no other guard's figures are known. The caller
// may keep the map.
func (x *Exchange) FleetUse(service string, slots int) map[uint32]float64 {
	s := x.services[service]
	if s == nil || len(s.reports) == 0 || s.slots == 0 {
		return nil
	}
	out := make(map[uint32]float64, len(s.use))
	for team, use := range s.use {
		out[team] = use / s.slots * float64(slots)
	}
	return out
}

// Teams returns the teams that use the services of this host, by service and hash. weight
// returns the weight of a team.
func (x *Exchange) Teams(weight func(team uint32) float64) []TeamState {
	var out []TeamState
	for name, s := range x.services {
		weights := 0.0
		for team := range s.use {
			weights += weight(team)
		}
		for team, use := range s.use {
			t := TeamState{Service: name, Team: team, Weight: weight(team), Use: use / max(s.slots, 1)}
			t.Share = t.Weight / weights
			t.Over = s.local.Contended && t.Use > t.Share
			out = append(out, t)
		}
	}
	slices.SortFunc(out, func(a, b TeamState) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Team, b.Team))
	})
	return out
}
