package quota

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"sort"
	"time"

	"github.com/radishhoist/radishhoist/internal/msg"
)

// Parameters of the simulated fleet, in virtual time.
const (
	// simTick is the time between two calls of Node.Tick.
	simTick = 50 * time.Millisecond
	// simDelay and simCrossDCDelay are the minimum delays of a datagram within a data
	// centre and between two. A random delay with mean simDelay is added.
	simDelay        = time.Millisecond
	simCrossDCDelay = 3 * time.Millisecond
	// simWindow is the time over which admitted requests are compared with the limit.
	simWindow = 5 * time.Second
	simDCs    = 3
	// membershipDelay is how long membership takes to consider a silent host dead, or to
	// learn that it is back.
	membershipDelay = 2 * time.Second
)

// event is a function to run at a virtual time; seq orders events of the same time.
type event struct {
	at  time.Duration
	seq int
	run func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// simHost is a simulated host.
type simHost struct {
	name, dc string
	node     *Node
	// up is false while the process is down. While frozen is set, incoming datagrams are
	// kept in heldPackets.
	up, frozen  bool
	heldPackets []*msg.TeamPacket
	generation  int
	// visible holds the indexes of the hosts that it considers alive.
	visible map[int]bool
	// waiters holds the callbacks of queries without an answer, by query ID.
	waiters map[uint32]func(Answer)
}

// sim is one simulation run.
type sim struct {
	rng                                      *rand.Rand
	now                                      time.Duration
	queue                                    events
	eventCount                               int
	hosts                                    []*simHost
	limits                                   map[string]Limit
	extraBurst, extraRate, extraRateFraction float64
	// lossRate is the fraction of datagrams that are dropped, duplicateRate the fraction
	// delivered twice.
	lossRate, duplicateRate float64
	// blocked reports whether datagrams from one host to the other are dropped.
	blocked func(from, to int) bool
	// alwaysQuery makes hosts query the home for each request. ignoreNearLimit makes them
	// ignore near-limit notices, so that they query it only as far as the level and the
	// unconfirmed requests known to them require.
	alwaysQuery, ignoreNearLimit bool

	admitted         map[string][]time.Duration
	refused, queried map[string]int
	offered          map[string]int
	decisionTimes    []time.Duration
	packets, bytes   int
}

var simStart = time.Unix(1_000_000, 0)

func (s *sim) time() time.Time { return simStart.Add(s.now) }

func newSim(seed uint64, hosts int, limits map[string]Limit) *sim {
	s := &sim{
		rng: rand.New(rand.NewPCG(seed, 7)), limits: limits, extraBurst: 4, extraRate: 1.8, extraRateFraction: 0.03,
		blocked:  func(int, int) bool { return false },
		admitted: make(map[string][]time.Duration), refused: make(map[string]int),
		queried: make(map[string]int), offered: make(map[string]int),
	}
	for i := range hosts {
		h := &simHost{name: fmt.Sprintf("h%04d", i), dc: fmt.Sprintf("dc%d", i%simDCs), visible: make(map[int]bool)}
		s.hosts = append(s.hosts, h)
	}
	for i := range s.hosts {
		for j := range s.hosts {
			s.hosts[i].visible[j] = true
		}
		s.start(i)
	}
	return s
}

func (s *sim) at(t time.Duration, run func()) {
	s.eventCount++
	heap.Push(&s.queue, event{at: t, seq: s.eventCount, run: run})
}

func (s *sim) after(d time.Duration, run func()) { s.at(s.now+d, run) }

// start starts a new process on a host.
func (s *sim) start(i int) {
	h := s.hosts[i]
	h.generation++
	generation := h.generation
	h.up, h.heldPackets, h.waiters = true, nil, make(map[uint32]func(Answer))
	cfg := Config{Host: h.name, Incarnation: uint64(s.time().UnixMilli()), ExtraBurst: s.extraBurst, ExtraRate: s.extraRate, ExtraRateFraction: s.extraRateFraction, Limit: func(team string) (Limit, bool) {
		l, ok := s.limits[team]
		return l, ok
	}}
	h.node = New(cfg, s.time(), rand.New(rand.NewPCG(s.rng.Uint64(), 1)))
	s.updateHosts(i)
	var tick func()
	tick = func() {
		if !h.up || h.generation != generation {
			return
		}
		if !h.frozen {
			if s.alwaysQuery || s.ignoreNearLimit {
				s.applyStrategy(h.node)
			}
			h.node.Tick(s.time())
			s.flush(i)
		}
		s.after(simTick, tick)
	}
	s.after(time.Duration(s.rng.Int64N(int64(simTick))), tick)
}

// applyStrategy applies alwaysQuery or ignoreNearLimit to the accounts of a node.
func (s *sim) applyStrategy(n *Node) {
	for _, a := range n.accounts {
		if s.alwaysQuery {
			a.nearLimitUntil = s.time().Add(time.Hour)
		} else {
			a.nearLimitUntil = time.Time{}
		}
	}
}

// updateHosts passes the hosts that a host considers alive to its node.
func (s *sim) updateHosts(i int) {
	var alive []Host
	for j, h := range s.hosts {
		if s.hosts[i].visible[j] {
			alive = append(alive, Host{Name: h.name, DC: h.dc})
		}
	}
	s.hosts[i].node.SetHosts(s.time(), alive, len(s.hosts))
}

// setVisible makes host i consider host j alive or dead after membershipDelay.
func (s *sim) setVisible(i, j int, alive bool) {
	s.after(membershipDelay, func() {
		if s.hosts[i].visible[j] != alive && i != j {
			s.hosts[i].visible[j] = alive
			if s.hosts[i].up {
				s.updateHosts(i)
			}
		}
	})
}

func (s *sim) kill(i int, down time.Duration) {
	s.hosts[i].up = false
	s.hosts[i].waiters = nil
	for j := range s.hosts {
		s.setVisible(j, i, false)
	}
	s.after(down, func() {
		s.start(i)
		for j := range s.hosts {
			s.setVisible(j, i, true)
		}
	})
}

func (s *sim) freeze(i int, length time.Duration) {
	s.hosts[i].frozen = true
	s.after(length, func() {
		h := s.hosts[i]
		h.frozen = false
		for _, p := range h.heldPackets {
			h.node.Step(s.time(), p)
		}
		h.heldPackets = nil
		s.flush(i)
	})
}

// flush delivers a node's datagrams and answers.
func (s *sim) flush(i int) {
	h := s.hosts[i]
	out, answers := h.node.Take()
	for _, a := range answers {
		if done := h.waiters[a.QueryID]; done != nil {
			delete(h.waiters, a.QueryID)
			done(a)
		}
	}
	for _, o := range out {
		s.packets++
		s.bytes += o.Packet.Msgsize()
		to := s.index(o.To)
		if to < 0 || s.blocked(i, to) || s.rng.Float64() < s.lossRate {
			continue
		}
		raw, err := o.Packet.MarshalMsg(nil)
		if err != nil {
			panic(err)
		}
		times := 1
		if s.rng.Float64() < s.duplicateRate {
			times = 2
		}
		for range times {
			s.deliver(i, to, raw)
		}
	}
}

func (s *sim) deliver(from, to int, raw []byte) {
	delay := simDelay
	if s.hosts[from].dc != s.hosts[to].dc {
		delay = simCrossDCDelay
	}
	delay += time.Duration(s.rng.ExpFloat64() * float64(simDelay))
	generation := s.hosts[to].generation
	s.after(delay, func() {
		h := s.hosts[to]
		if !h.up || h.generation != generation {
			return
		}
		p := &msg.TeamPacket{}
		if _, err := p.UnmarshalMsg(raw); err != nil {
			panic(err)
		}
		if h.frozen {
			h.heldPackets = append(h.heldPackets, p)
			return
		}
		h.node.Step(s.time(), p)
		s.flush(to)
	})
}

func (s *sim) index(name string) int {
	i := sort.Search(len(s.hosts), func(i int) bool { return s.hosts[i].name >= name })
	if i == len(s.hosts) || s.hosts[i].name != name {
		return -1
	}
	return i
}

// request offers a team's request to a host. If fails is set, an admitted request does not
// run and is released after 100 ms.
func (s *sim) request(i int, team string, fails bool) {
	h := s.hosts[i]
	if !h.up || h.frozen {
		return
	}
	s.offered[team]++
	if s.ignoreNearLimit {
		s.applyStrategy(h.node)
	}
	began := s.now
	done := func(ok bool) {
		if team != "hot" {
			s.decisionTimes = append(s.decisionTimes, s.now-began)
		}
		if !ok {
			s.refused[team]++
			return
		}
		if fails {
			s.after(100*time.Millisecond, func() {
				if h.up {
					h.node.Release(s.time(), team)
				}
			})
			return
		}
		s.admitted[team] = append(s.admitted[team], s.now)
	}
	result := h.node.Admit(s.time(), team, s.limits[team])
	switch result.Decision {
	case Admitted, Refused:
		done(result.Decision == Admitted)
	case Pending:
		s.queried[team]++
		h.waiters[result.QueryID] = func(a Answer) { done(a.Granted) }
	}
	s.flush(i)
}

// load offers requests of a team as a Poisson process to the hosts chosen by pickHost,
// between two times.
func (s *sim) load(team string, perSecond float64, from, to time.Duration, pickHost func() int) {
	var next func()
	next = func() {
		if s.now >= to {
			return
		}
		s.request(pickHost(), team, false)
		s.after(time.Duration(s.rng.ExpFloat64()/perSecond*float64(time.Second)), next)
	}
	s.at(from, next)
}

func (s *sim) randomHost() int { return s.rng.IntN(len(s.hosts)) }

func (s *sim) run(until time.Duration) {
	for len(s.queue) > 0 && s.queue[0].at <= until {
		e := heap.Pop(&s.queue).(event)
		s.now = e.at
		e.run()
	}
}

// excess returns by how many requests the worst window of a team exceeds its limit;
// negative values are within the limit.
func (s *sim) excess(team string) float64 {
	l := s.limits[team]
	most, first := 0, 0
	times := s.admitted[team]
	for i := range times {
		for times[i]-times[first] > simWindow {
			first++
		}
		most = max(most, i-first+1)
	}
	return float64(most) - (l.Rate*simWindow.Seconds() + l.Burst)
}

// allowedExcess returns by how many requests a team may exceed its limit in any window.
func (s *sim) allowedExcess(team string) float64 {
	l := s.limits[team]
	return 0.1*(l.Rate*simWindow.Seconds()+l.Burst) + 20
}

// p99 returns the 99th percentile of the decision time for requests of teams other than
// "hot".
func (s *sim) p99() time.Duration {
	sort.Slice(s.decisionTimes, func(i, j int) bool { return s.decisionTimes[i] < s.decisionTimes[j] })
	if len(s.decisionTimes) == 0 {
		return 0
	}
	return s.decisionTimes[int(math.Ceil(0.99*float64(len(s.decisionTimes))))-1]
}
