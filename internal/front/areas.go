package front

import (
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/radishhoist/radishhoist/internal/core/area"
	"github.com/radishhoist/radishhoist/internal/core/balance"
	"github.com/radishhoist/radishhoist/internal/core/directory"
	"github.com/radishhoist/radishhoist/internal/msg"
	"github.com/radishhoist/radishhoist/verdict"
)

// areas is what a front uses to choose among data centres in several areas. It is nil where
// they lie in one.
type areas struct {
	distances *area.Map
	link      *area.Link
	// roundTrip is the smoothed round trip to other areas in nanoseconds. It is used for
	// hosts to which this front has sent no request.
	roundTrip atomic.Int64
	// lostAt is when an attempt in another area last ended without a frame from its host, in
	// nanoseconds since 1970.
	lostAt  atomic.Int64
	bytes   [area.Distances]*metrics.Counter
	changes *metrics.Counter
}

const (
	// initialRoundTrip is the round trip to another area that is assumed before the first
	// response from there.
	initialRoundTrip = 60 * time.Millisecond
	// areaLossPause is how long no request leaves its area after an attempt in another one
	// got no frame from its host. Paths are excluded one host at a time, and without the pause
	// a request would be lost at each host behind a broken link.
	areaLossPause = 2 * time.Second
	// remoteTypicalMaxAge bounds the age of load reports that count in the typical load of the
	// other areas. Fewer of them arrive than of the own area's.
	remoteTypicalMaxAge = 3 * time.Second
	// waitFailureExcess is the excess of the failure probability over that of the best
	// candidate up to which a candidate counts as room in its area. Instances that fail most
	// requests at once have free slots. A service that refuses requests at all of its
	// instances has room nowhere else.
	waitFailureExcess = 0.15
)

// newAreas returns nil if the configuration does not name several areas.
func newAreas(cfg Config, set *metrics.Set) *areas {
	distances := area.NewMap(cfg.Areas, cfg.DC)
	if distances == nil {
		return nil
	}
	a := &areas{distances: distances, changes: set.NewCounter("radishhoist_spill_changes_total")}
	a.link = area.NewLink(distances.Area(), float64(cfg.AreaLinkMbps)*1e6/8, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
	if cfg.AreaLinkMbps > 0 {
		set.NewGauge(`radishhoist_area_link_use{direction="out"}`, func() float64 { sent, _ := a.link.Use(time.Now()); return sent })
		set.NewGauge(`radishhoist_area_link_use{direction="in"}`, func() float64 { _, received := a.link.Use(time.Now()); return received })
	}
	a.roundTrip.Store(int64(initialRoundTrip))
	for d := range area.Distance(area.Distances) {
		a.bytes[d] = set.NewCounter(`radishhoist_area_bytes_total{distance="` + d.String() + `"}`)
	}
	return a
}

// distance returns the distance to a data centre.
func (a *areas) distance(dc string) area.Distance {
	if a == nil {
		return area.SameDC
	}
	return a.distances.Distance(dc)
}

// near reports whether a target is in this area. Replies to load queries arrive in time for
// the choice from there, and requests stay there, so that current loads are worth asking for.
func (a *areas) near(t *target) bool { return a != nil && t.distance != area.Remote }

// setDirectory sets the other hosts of the area, with which the use of the link is exchanged.
func (a *areas) setDirectory(d *directory.Directory, self string) {
	if a == nil {
		return
	}
	var addresses []string
	for _, h := range d.Hosts {
		if h.Alive && h.Name != self && a.distance(h.DC) != area.Remote {
			addresses = append(addresses, h.PeerAddr)
		}
	}
	a.link.SetPeers(addresses)
}

// lossSuspected reports whether the link to other areas may be broken.
func (a *areas) lossSuspected(now time.Time) bool {
	return now.Sub(time.Unix(0, a.lostAt.Load())) < areaLossPause
}

// routeArea is what a front has learned of a route for the choice between areas.
type routeArea struct {
	transfer area.Transfer
	spill    area.Spill
}

// routeArea returns the state of one route. The caller must hold st.mu.
func (st *serviceState) routeArea(name string) *routeArea {
	r, ok := st.routeAreas[name]
	if !ok {
		if st.routeAreas == nil || len(st.routeAreas) >= maxRoutes {
			st.routeAreas = make(map[string]*routeArea)
		}
		r = &routeArea{}
		st.routeAreas[name] = r
	}
	return r
}

// samplePositions returns the positions in eligible of a sample. The caller must hold st.mu.
func (st *serviceState) samplePositions(now time.Time, req *request, eligible, local []int, rng *rand.Rand, cfg Config) []int {
	if cfg.areas == nil {
		return balance.Sample(rng, len(eligible), localPositions(eligible, local))
	}
	groups := st.groups.byDistance
	if !sameList(eligible, st.candidates.eligible) {
		groups = st.groupByDistance(eligible)
	} else if st.groups.computedAt != st.candidates.computedAt {
		groups = st.groupByDistance(eligible)
		st.groups.byDistance, st.groups.computedAt = groups, st.candidates.computedAt
	}
	return balance.SampleByDistance(rng, groups, st.routeArea(req.route.Name).spill.Spilled(now))
}

// sameList reports whether a and b are the same slice, not only equal ones.
func sameList(a, b []int) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}

// distanceGroups are the positions in candidates.eligible by distance, as of computedAt.
type distanceGroups struct {
	byDistance [area.Distances][]int
	computedAt time.Time
}

// groupByDistance returns the positions in eligible by distance. The caller must hold st.mu.
func (st *serviceState) groupByDistance(eligible []int) (groups [area.Distances][]int) {
	for k, i := range eligible {
		d := st.targets[i].distance
		groups[d] = append(groups[d], k)
	}
	return groups
}

// applyDistances completes the candidates of a choice with what depends on their distance,
// and returns the positions of those that may be chosen: all of them while the route's
// requests may leave their area or where all of its candidates are likely to fail, otherwise
// those of the own area, if there are any. all holds all positions and is reordered. first
// reports that this is the first attempt of the request: the candidates of others are those
// left over, and their waits do not count. The caller must hold st.mu.
func (st *serviceState) applyDistances(now time.Time, req *request, targets []*target, candidates []balance.Candidate, all []int, remoteTypical balance.TypicalLoad, first bool, a *areas) []int {
	route := st.routeArea(req.route.Name)
	own := 0
	for k, t := range targets {
		c := &candidates[k]
		c.TransferPrice = area.TransferPrice(route.transfer.Mean(), t.distance)
		if t.distance != area.Remote {
			all[own], all[k] = all[k], all[own]
			own++
			continue
		}
		c.Typical = remoteTypical
		if c.RoundTrip <= 0 {
			c.RoundTrip = time.Duration(a.roundTrip.Load())
		}
	}
	if own == 0 || own == len(all) {
		return all
	}
	w := areaWaits(targets, candidates)
	if first && w.ownKnown && w.otherKnown &&
		route.spill.Observe(now, w.own, w.other, w.roundTrip+area.TransferPrice(route.transfer.Mean(), area.Remote)) {
		a.changes.Inc()
	}
	if a.lossSuspected(now) || route.transfer.Large() && a.link.Full(now) || w.ownKnown && !route.spill.Spilled(now) {
		return all[:own]
	}
	return all
}

// waits are the shortest expected waits among the candidates of the own area and among those
// elsewhere that are unlikely to fail, as far as there are any.
type waits struct {
	own, other           time.Duration
	ownKnown, otherKnown bool
	// roundTrip is the round trip to the candidate elsewhere.
	roundTrip time.Duration
}

func areaWaits(targets []*target, candidates []balance.Candidate) (w waits) {
	lowest := 1.0
	for k := range candidates {
		lowest = min(lowest, candidates[k].FailureProbability)
	}
	for k, t := range targets {
		c := candidates[k]
		if c.FailureProbability > lowest+waitFailureExcess {
			continue
		}
		wait := balance.Wait(c)
		switch {
		case t.distance != area.Remote:
			if !w.ownKnown || wait < w.own {
				w.own, w.ownKnown = wait, true
			}
		case !w.otherKnown || wait < w.other:
			w.other, w.otherKnown, w.roundTrip = wait, true, c.RoundTrip
		}
	}
	return w
}

// recordTransfer records the bytes of an attempt, and whether another area could be reached.
func (f *Front) recordTransfer(req *request, t *target, o *outcome) {
	a := f.cfg.areas
	if a == nil {
		return
	}
	if o.fail != nil {
		if o.fail.Reason == verdict.ReasonLinkLost && t.distance == area.Remote && !o.resumed {
			a.lostAt.Store(time.Now().UnixNano())
		}
		if reachedInstance(o.fail) && o.unfinished == nil {
			a.recordBytes(t, req.transferBytes(), 0)
		}
		return
	}
	sent, received := req.transferBytes(), o.response.receivedBytes()
	a.recordBytes(t, sent, received)
	if t.distance == area.Remote {
		if d := f.paths.roundTrip(t.Host.Name); d > 0 {
			mean := a.roundTrip.Load()
			a.roundTrip.Store(mean + int64(roundTripWeight*float64(int64(d)-mean)))
		}
	}
	st := req.state
	st.mu.Lock()
	defer st.mu.Unlock()
	declared := min(o.response.head.Length, area.MaxDeclaredBytes)
	st.routeArea(req.route.Name).transfer.Add(sent + max(received, declared))
}

// recordBytes counts bytes sent to and received from a target.
func (a *areas) recordBytes(t *target, sent, received int64) {
	if a == nil {
		return
	}
	a.bytes[t.distance].Add(int(sent + received))
	if t.distance == area.Remote {
		a.link.Add(time.Now(), sent, received)
	}
}

// transferBytes is the approximate size of the request as sent to a target.
func (req *request) transferBytes() int64 {
	return int64(headerBytes(req.http)) + max(req.length, int64(len(req.body)))
}

// receivedBytes is the approximate size of what has been received of the response.
func (resp *response) receivedBytes() int64 {
	return fieldBytes(resp.head.Header) + int64(resp.length)
}

// fieldBytes is the approximate size of header fields.
func fieldBytes(fields []msg.Field) int64 {
	n := len(http.StatusText(http.StatusOK))
	for _, field := range fields {
		n += len(field.Name) + len(field.Value)
	}
	return int64(n)
}

// spilledRoutes is the number of routes whose requests may leave the area.
func (s *services) spilledRoutes(now time.Time) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, st := range s.byName {
		st.mu.Lock()
		for _, r := range st.routeAreas {
			if r.spill.Spilled(now) {
				n++
			}
		}
		st.mu.Unlock()
	}
	return float64(n)
}
