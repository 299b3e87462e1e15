package guard

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/radishhoist/radishhoist/internal/core/admit"
	"github.com/radishhoist/radishhoist/internal/core/directory"
	"github.com/radishhoist/radishhoist/internal/core/share"
	"github.com/radishhoist/radishhoist/internal/msg"
	"github.com/radishhoist/radishhoist/record"
)

// teamQueue is what the exchange of the teams' use needs of an instance's queue.
type teamQueue interface {
	// Use returns the use of each team at this queue.
	Use() []admit.TeamUse
	// SetFleetUse sets the mean use of each team over the guards of the service, nil if it
	// is not known. The queue may keep the map.
	SetFleetUse(use map[uint32]float64)
}

var _ teamQueue = (*admit.Queue)(nil)

// teamShares exchanges the use of teams with the other guards of the services on this host.
type teamShares struct {
	send    func(address string, r *msg.ShareReport)
	queueOf func(*instance) teamQueue
	weights atomic.Pointer[teamWeights]
	running runningTeams

	mu       sync.Mutex
	exchange *share.Exchange
	nextTick time.Time
	// records are the teams of the directory by name.
	records map[string]*record.Team
}

func newTeamShares(host string, send func(string, *msg.ShareReport)) *teamShares {
	s := &teamShares{
		send: send, queueOf: func(i *instance) teamQueue { return i.queue },
		exchange: share.New(host, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))),
	}
	if s.send == nil {
		s.send = func(string, *msg.ShareReport) {}
	}
	s.weights.Store(&teamWeights{})
	return s
}

// applyTeams applies the teams and hosts of a new directory.
func (g *Guard) applyTeams(d *directory.Directory) {
	s := g.shares
	if s == nil {
		return
	}
	s.setWeights(d)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.exchange.SetDirectory(d)
	s.records = d.Teams
}

// exchangeShares passes the use of teams at the queues of this host to the exchange, and its
// figures of the fleet to the queues, once in share.Interval. It sends the reports that are
// due.
func (g *Guard) exchangeShares(now time.Time) {
	s := g.shares
	if s == nil || !s.due(now) {
		return
	}
	all := g.all()
	local := make([]share.Local, 0, len(all))
	for _, inst := range all {
		local = append(local, inst.localUse())
	}
	s.mu.Lock()
	reports := s.exchange.Tick(now, local)
	fleet := make([]map[uint32]float64, len(all))
	for i, l := range local {
		fleet[i] = s.exchange.FleetUse(l.Service, l.Slots)
	}
	s.mu.Unlock()
	for i, inst := range all {
		inst.setFleetUse(fleet[i])
	}
	for _, o := range reports {
		g.counts.shareReportsOut.Inc()
		s.send(o.Address, o.Report)
	}
}

// due reports whether the next exchange is due at now and schedules the one after it.
func (s *teamShares) due(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Before(s.nextTick) {
		return false
	}
	s.nextTick = now.Add(share.Interval)
	return true
}

func (i *instance) localUse() share.Local {
	i.mu.Lock()
	defer i.mu.Unlock()
	l := share.Local{Service: i.service, Slots: i.slots, Contended: i.queue.Queued() > 0}
	for _, u := range i.guard.shares.queueOf(i).Use() {
		l.Use = append(l.Use, share.Use{Team: u.Team, SlotTime: u.SlotTime})
	}
	return l
}

func (i *instance) setFleetUse(use map[uint32]float64) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.guard.shares.queueOf(i).SetFleetUse(use)
}

// ReceiveShareReport processes the report of another guard. Without FairShares it does
// nothing.
func (g *Guard) ReceiveShareReport(r *msg.ShareReport) { g.receiveShareReport(time.Now(), r) }

func (g *Guard) receiveShareReport(now time.Time, r *msg.ShareReport) {
	s := g.shares
	if s == nil {
		return
	}
	s.mu.Lock()
	counts := s.exchange.Receive(now, r)
	s.mu.Unlock()
	if counts {
		g.counts.shareReportsIn.Inc()
	}
}

// TeamShare is the share of a team in the slots of a service, as estimated on this host.
type TeamShare struct {
	Service string `json:"service"`
	// Team is the name of the team, empty for requests without a team or if the team has no
	// record, and Hash identifies it.
	Team   string  `json:"team"`
	Hash   uint32  `json:"hash"`
	Weight float64 `json:"weight"`
	// Share is the part of the slots that the team may use while requests wait, and Use the
	// part that it uses.
	Share float64 `json:"share"`
	Use   float64 `json:"use"`
	// Over reports that the team uses more than its share while requests wait for a slot on
	// this host.
	Over bool `json:"over"`
}

// TeamShares returns the teams that use the services of this host, for operators.
func (g *Guard) TeamShares() []TeamShare {
	s := g.shares
	if s == nil {
		return nil
	}
	s.mu.Lock()
	teams, records := s.exchange.Teams(g.teamWeight), s.records
	s.mu.Unlock()
	if len(teams) == 0 {
		return nil
	}
	names := make(map[uint32]string, len(teams))
	for _, t := range teams {
		names[t.Team] = ""
	}
	for name := range records {
		hash := TeamHash(name)
		if other, used := names[hash]; used && name > other {
			names[hash] = name
		}
	}
	out := make([]TeamShare, 0, len(teams))
	for _, t := range teams {
		out = append(out, TeamShare{
			Service: t.Service, Team: names[t.Team], Hash: t.Team,
			Weight: t.Weight, Share: t.Share, Use: t.Use, Over: t.Over,
		})
	}
	return out
}

// TeamsOverShare returns the number of teams that use more than their share of a service
// while requests wait for a slot on this host.
func (g *Guard) TeamsOverShare() int {
	s := g.shares
	if s == nil {
		return 0
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	over := make(map[uint32]bool)
	for _, t := range s.exchange.Teams(g.teamWeight) {
		if t.Over {
			over[t.Team] = true
		}
	}
	return len(over)
}
