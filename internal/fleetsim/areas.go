package fleetsim

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/radishhoist/radishhoist/internal/msg"
	"github.com/radishhoist/radishhoist/internal/wire"
	"github.com/radishhoist/radishhoist/verdict"
)

// Areas describes data centres in several areas, and demand that varies between them.
type Areas struct {
	// Count is the number of areas, over which the data centres are distributed evenly in
	// their order; up to 1 is one area. Delay is the one-way delay of a message between two.
	Count int
	Delay time.Duration
	// LinkMbps is the capacity of the link between two areas in each direction, 0 for no limit.
	// Fronts know it unless LinkUnknown is set.
	LinkMbps    int
	LinkUnknown bool
	// LinkReportLoss is the share of the reports on the use of the link that are lost.
	LinkReportLoss float64
	// Ignored makes fronts choose as in one area.
	Ignored bool
	// RoundRobin replaces the choice: each host sends to all live instances in turn.
	RoundRobin bool
	// DemandVariation is the amplitude of the demand of each data centre, as a share of its
	// mean, and DemandPeriod its period. Phases are distributed evenly over the data centres.
	DemandVariation float64
	DemandPeriod    time.Duration
	// Losses kill the hosts of data centres.
	Losses []DCLoss
}

// DCLoss kills the daemons of a data centre. They do not come back.
type DCLoss struct {
	At time.Duration
	// DC is the index of the data centre.
	DC int
}

// lossDetectionTime is the time until membership has removed lost hosts from the directories.
const lossDetectionTime = 2 * time.Second

// areaOf returns the area of a data centre.
func (s *Scenario) areaOf(dc string) int {
	return s.dcIndex(dc) * max(s.Areas.Count, 1) / s.DCs
}

func (s *Scenario) dcIndex(dc string) int {
	n := 0
	for dcName(n) != dc {
		n++
	}
	return n
}

// areasByDC is the configuration of fronts.
func (s *Scenario) areasByDC() map[string]string {
	if s.Areas.Count <= 1 || s.Areas.Ignored {
		return nil
	}
	out := make(map[string]string)
	for n := range s.DCs {
		out[dcName(n)] = fmt.Sprint("area", s.areaOf(dcName(n)))
	}
	return out
}

// crossesAreas reports whether two hosts are in different areas.
func (f *fleet) crossesAreas(a, b *host) bool {
	return f.scenario.areaOf(a.dc) != f.scenario.areaOf(b.dc)
}

// linkFullWait is the wait from which the link between areas counts as full: several responses
// wait for each other.
const linkFullWait = 500 * time.Millisecond

// areaLink is one direction of the link between two areas.
type areaLink struct {
	// freeAt is when the last byte queued so far has crossed, fullUntil when the wait for that
	// falls below linkFullWait.
	freeAt, fullUntil time.Duration
	// rate is the mean rate of queued bytes per second with a time constant of linkRateTime, as
	// of ratedAt.
	rate    float64
	ratedAt time.Duration
}

// linkRateTime is the time constant of the rates of area.Link.
const linkRateTime = 5 * time.Second

// addBytes adds queued bytes to the rate.
func (l *areaLink) addBytes(now time.Duration, bytes int) {
	l.rate = l.rate*math.Exp(-(now-l.ratedAt).Seconds()/linkRateTime.Seconds()) + float64(bytes)/linkRateTime.Seconds()
	l.ratedAt = now
}

// linkDelay queues messages on the link between the areas of two hosts and returns how long they
// take to cross it in addition to the delay of an empty one.
func (f *fleet) linkDelay(from, to *host, ms ...msg.Message) time.Duration {
	if f.scenario.Areas.LinkMbps == 0 {
		return 0
	}
	bytes := 0
	for _, m := range ms {
		bytes += messageBytes(m)
	}
	now := f.now()
	f.mu.Lock()
	defer f.mu.Unlock()
	l := f.linkBetween(f.scenario.areaOf(from.dc), f.scenario.areaOf(to.dc))
	l.addBytes(now, bytes)
	l.freeAt = max(l.freeAt, now) + time.Duration(float64(bytes)*8/float64(f.scenario.Areas.LinkMbps)*float64(time.Microsecond))
	if until := l.freeAt - linkFullWait; until > now {
		f.result.LinkFull += until - max(l.fullUntil, now)
		l.fullUntil = until
	}
	return l.freeAt - now
}

// linkBetween returns the link from one area to another. The caller must hold f.mu.
func (f *fleet) linkBetween(from, to int) *areaLink {
	l := f.links[[2]int{from, to}]
	if l == nil {
		l = &areaLink{}
		f.links[[2]int{from, to}] = l
	}
	return l
}

// compareLinkUse compares once a second, until the callers end, what the fronts of two areas take
// for the use of the link with what it is.
func (f *fleet) compareLinkUse() {
	a := &f.scenario.Areas
	if f.scenario.frontLinkMbps() == 0 || f.scenario.areasByDC() == nil || a.Count != 2 {
		return
	}
	for time.Sleep(time.Until(f.start.Add(linkRateTime))); f.now() < f.scenario.Duration; time.Sleep(time.Second) {
		for _, h := range f.hosts {
			d := h.daemon()
			if d == nil {
				continue
			}
			estimate := d.front.Metrics().GetOrCreateGauge(`radishhoist_area_link_use{direction="out"}`, nil).Get()
			own := f.scenario.areaOf(h.dc)
			f.mu.Lock()
			l := f.linkBetween(own, 1-own)
			l.addBytes(f.now(), 0)
			use := l.rate * 8 / 1e6 / float64(a.LinkMbps)
			f.result.LinkUse += use
			f.result.LinkUseError += math.Abs(estimate - use)
			f.mu.Unlock()
		}
	}
}

// frontLinkMbps is the capacity of the link that fronts know.
func (s *Scenario) frontLinkMbps() int {
	if s.Areas.LinkUnknown {
		return 0
	}
	return s.Areas.LinkMbps
}

// SendLinkReport implements front.LinkReporter.
func (h *host) SendLinkReport(address string, r *msg.LinkReport) {
	f := h.fleet
	f.mu.Lock()
	lost := f.rng.Float64() < f.scenario.Areas.LinkReportLoss
	f.mu.Unlock()
	if !lost {
		h.sendTo([]string{address}, func(to *host) { to.deliver(func(d *daemon) { d.front.ReceiveLinkReport(h.name, r) }) })
	}
}

// randomSender returns the host that the next request is sent from, and false if the varying
// demand has no request now. Callers propose requests at the greatest rate.
func (f *fleet) randomSender(rng *rand.Rand) (*host, bool) {
	a := &f.scenario.Areas
	h := f.hosts[rng.IntN(len(f.hosts))]
	if len(a.Losses) > 0 && h.daemon() == nil {
		return nil, false
	}
	if a.DemandVariation == 0 {
		return h, true
	}
	phase := 2 * math.Pi * (f.now().Seconds()/a.DemandPeriod.Seconds() + float64(f.scenario.dcIndex(h.dc))/float64(f.scenario.DCs))
	return h, rng.Float64()*f.scenario.demandPeak() < 1+a.DemandVariation*math.Sin(phase)
}

// demandPeak is the greatest demand of a data centre relative to its mean.
func (s *Scenario) demandPeak() float64 { return 1 + s.Areas.DemandVariation }

// scheduleDCLosses schedules the losses of data centres.
func (f *fleet) scheduleDCLosses() {
	for _, l := range f.scenario.Areas.Losses {
		time.AfterFunc(l.At, func() {
			for _, h := range f.hosts {
				if h.dc == dcName(l.DC) {
					h.restartDaemon(f.scenario.Duration + drainTime)
				}
			}
			time.AfterFunc(lossDetectionTime, f.updateDirectories)
		})
	}
}

// recordAreaBytes counts the body bytes of a message between areas, by second.
func (f *fleet) recordAreaBytes(ms ...msg.Message) {
	second := max(int(f.now()/time.Second), 0)
	f.mu.Lock()
	defer f.mu.Unlock()
	for len(f.result.AreaBytes) <= second {
		f.result.AreaBytes = append(f.result.AreaBytes, 0)
	}
	for _, m := range ms {
		f.result.AreaBytes[second] += messageBytes(m)
	}
}

// headerMessageBytes is the approximate size of a request's or a response's header.
const headerMessageBytes = 300

func messageBytes(m msg.Message) int {
	switch m := m.(type) {
	case *msg.Data:
		return len(m.Bytes)
	case *msg.Run, *msg.Head:
		return headerMessageBytes
	default:
		return 0
	}
}

// countSpillChanges sums the changes of all fronts between spill and return.
func (f *fleet) countSpillChanges() {
	for _, h := range f.hosts {
		if d := h.daemon(); d != nil && f.scenario.areasByDC() != nil {
			f.result.SpillChanges += int(d.front.Metrics().GetOrCreateCounter("radishhoist_spill_changes_total").Get())
		}
	}
}

// roundRobinAttempts is the number of instances that a round robin tries.
const roundRobinAttempts = 3

// sendRoundRobin sends a request to the next live instances of its service in turn, until one
// responds or the request may have run and is not idempotent.
func (f *fleet) sendRoundRobin(ctx context.Context, h *host, k RequestKind, path, id string) int {
	status := http.StatusBadGateway
	for attempt := range roundRobinAttempts {
		to := h.nextInTurn(k.Service)
		if to == nil {
			return status
		}
		stream, _, err := peers{h}.Open(ctx, to.name)
		if err != nil {
			continue
		}
		var notRun bool
		status, notRun = exchangeRoundRobin(ctx, stream, to, k, path, id, attempt > 0)
		stream.Close()
		if status < http.StatusInternalServerError || !notRun && !k.Idempotent {
			return status
		}
	}
	return status
}

func exchangeRoundRobin(ctx context.Context, stream wire.Stream, to *host, k RequestKind, path, id string, retry bool) (status int, notRun bool) {
	method := http.MethodGet
	if !k.Idempotent {
		method = http.MethodPost
	}
	run := &msg.Run{
		RequestID: id, Service: k.Service, Instance: to.instance.currentName(), TimeoutMS: uint32(k.Deadline.Milliseconds()),
		Priority: uint8(k.Priority), Idempotent: k.Idempotent, Method: method, URI: path, Host: "h",
		Header: []msg.Field{{Name: "X-Request-Id", Value: id}},
		Hints: msg.AdmissionHints{
			ObjectiveMS: uint32(k.Objective.Milliseconds()), ExpectedMS: uint32(k.ServiceTime.Milliseconds()), AllowLate: true, UsesRetryBudget: retry,
		},
	}
	if stream.Send(ctx, run) != nil {
		return http.StatusBadGateway, true
	}
	status = http.StatusBadGateway
	for {
		m, err := stream.Recv(ctx)
		if err != nil {
			return http.StatusBadGateway, false
		}
		switch m := m.(type) {
		case *msg.Head:
			status = int(m.Status)
		case *msg.End:
			return status, false
		case *msg.Fail:
			return http.StatusServiceUnavailable, m.Verdict == verdict.NotRun
		}
	}
}

// nextInTurn returns the next live host of a service that can be reached, nil if there is none.
func (h *host) nextInTurn(service string) *host {
	hosts := h.fleet.hosts
	for range hosts {
		h.mu.Lock()
		h.turn++
		other := hosts[h.turn%len(hosts)]
		h.mu.Unlock()
		if other.instance.service.Name == service && other.daemon() != nil && h.fleet.partitionTimeLeft(h, other) == 0 {
			return other
		}
	}
	return nil
}
