package admit

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// useHalfLife is the half-life of the slot time that teams have used. A shorter one
	// forgets the use of a burst of 5 to 8 s before it ends.
	useHalfLife = 5 * time.Second
	// maxTeams is the number of teams whose use is remembered. Teams with requests in the
	// queue or in a slot are always remembered.
	maxTeams = 256
	// maxScaleHalfLives is the age, in half-lives, at which the unit of the stored use is
	// renewed, which keeps it far from the limits of a float64.
	maxScaleHalfLives = 60
	// pauseCredit is the number of requests by which a team that returns after a pause may be
	// ahead of those that wait. The requests of a team that sends few come at irregular
	// intervals: with less credit it is served less than its share beside a heavy team.
	pauseCredit = 2
)

// useTimeConstant is the decayed slot time of a team that always uses one slot, in seconds.
var useTimeConstant = useHalfLife.Seconds() / math.Ln2

// TeamUse is the use of an instance's slots by one team.
type TeamUse struct {
	// Team is the hash of the team's name.
	Team uint32
	// SlotTime is the mean number of slots in use, decayed.
	SlotTime float64
}

// teamRecord is what is remembered of one team. Its times are decayed seconds, stored in the
// unit of teamShares.scale.
type teamRecord struct {
	team uint32
	// weight is 0 until the first request of the team.
	weight float64
	// own is the slot time used at this instance, fleet the mean over the service's guards,
	// where fleetKnown is true, and sinceFleet the slot time used here since fleet was set.
	own, fleet, sinceFleet float64
	fleetKnown             bool
	// offset is added to the use in the fair order. It limits the advantage of a pause, and
	// keeps the team's order value when its weight changes: otherwise a team whose weight is
	// raised would get all slots until its use has caught up.
	offset float64
	// held is the number of the team's requests that wait or hold a slot.
	held int
	// running is the number of slots that the team's requests hold.
	running int
	// planned is the expected service time of the team's requests already placed, while the
	// fair order is computed.
	planned float64
}

// use returns the slot time by which the team is ordered.
func (r *teamRecord) use() float64 {
	if r.fleetKnown {
		return r.fleet + r.sinceFleet
	}
	return r.own
}

// value returns the order value: the team with the lowest one goes first.
func (r *teamRecord) value() float64 { return (r.use() + r.offset) / r.weight }

// setValue changes offset so that value returns v.
func (r *teamRecord) setValue(v float64) { r.offset = v*r.weight - r.use() }

// charge adds slot time, which may be negative.
func (r *teamRecord) charge(slotTime float64, afterFleet bool) {
	r.own = max(r.own+slotTime, 0)
	if afterFleet {
		r.sinceFleet = max(r.sinceFleet+slotTime, 0)
	}
}

// teamShares tracks the decayed use of teams. All use decays at the same rate, so instead of
// reducing each team's figures, teamShares counts new use in a unit that grows: use u at the
// current time is stored as u*scale.
type teamShares struct {
	teams   map[uint32]*teamRecord
	records []*teamRecord
	// start is the first time seen and now the latest; unit is the time at which scale was 1.
	start, now, unit time.Time
	scale            float64
	// fleetAt is when SetFleetUse was last called.
	fleetAt time.Time
	// lastValue is the order value of the team of the request that last left the queue for a
	// slot.
	lastValue float64
	// activeWeight is the sum of the weights of the teams with requests held.
	activeWeight float64
}

// advance moves the current time forward.
func (s *teamShares) advance(now time.Time) {
	if !now.After(s.now) {
		return
	}
	if s.now.IsZero() {
		s.start, s.unit = now, now
	}
	s.now = now
	halfLives := now.Sub(s.unit).Seconds() / useHalfLife.Seconds()
	if halfLives > maxScaleHalfLives {
		s.renewUnit(math.Exp2(-halfLives))
		halfLives = 0
	}
	s.scale = math.Exp2(halfLives)
}

func (s *teamShares) renewUnit(factor float64) {
	for _, r := range s.records {
		r.own *= factor
		r.fleet *= factor
		r.sinceFleet *= factor
		r.offset *= factor
	}
	s.lastValue *= factor
	s.unit = s.now
}

// record returns the team's record, which it adds if there is none. If that exceeds maxTeams,
// it replaces the record of the team with the least use that has no requests held.
func (s *teamShares) record(team uint32) *teamRecord {
	if r, ok := s.teams[team]; ok {
		return r
	}
	r := s.leastUsed()
	if r == nil {
		r = &teamRecord{}
		s.records = append(s.records, r)
	}
	s.replace(r, team)
	return r
}

// replace gives a record to another team.
func (s *teamShares) replace(r *teamRecord, team uint32) {
	if s.teams[r.team] == r {
		delete(s.teams, r.team)
	}
	*r = teamRecord{team: team}
	s.teams[team] = r
}

// leastUsed returns the record to replace, nil if there is room for another one.
func (s *teamShares) leastUsed() *teamRecord {
	if len(s.records) < maxTeams {
		return nil
	}
	var least *teamRecord
	for _, r := range s.records {
		if r.held == 0 && (least == nil || r.use() < least.use()) {
			least = r
		}
	}
	return least
}

// hold counts a request of the team.
func (s *teamShares) hold(r *teamRecord) {
	if r.held == 0 {
		s.activeWeight += r.weight
	}
	r.held++
}

// release ends hold.
func (s *teamShares) release(r *teamRecord) {
	r.held--
	if r.held == 0 {
		s.activeWeight -= r.weight
	}
}

func (s *teamShares) setWeight(r *teamRecord, weight float64) {
	if !(weight > 0) || math.IsInf(weight, 1) {
		weight = 1
	}
	if weight == r.weight {
		return
	}
	if r.weight == 0 {
		r.weight = weight
		return
	}
	value := r.value()
	if r.held > 0 {
		s.activeWeight += weight - r.weight
	}
	r.weight = weight
	r.setValue(value)
}

// begin counts the expected service time of a request that gets a slot.
func (s *teamShares) begin(t *ticket) {
	t.fair.slotSince = s.now
	t.fair.record.running++
	t.fair.record.charge(t.ExpectedServiceTime.Seconds()*s.scale, true)
}

// end replaces the expected service time of a request, counted when it got its slot, by the
// time for which it held the slot.
func (s *teamShares) end(t *ticket) {
	t.fair.record.running--
	held := s.now.Sub(t.fair.slotSince)
	left := math.Exp2(-held.Seconds() / useHalfLife.Seconds())
	used := useTimeConstant * (1 - left)
	t.fair.record.charge((used-t.ExpectedServiceTime.Seconds()*left)*s.scale, !t.fair.slotSince.Before(s.fleetAt))
}

// slotsInUse converts slot time to a mean number of slots.
func (s *teamShares) slotsInUse(slotTime float64) float64 {
	return slotTime / s.scale / useTimeConstant
}

// overShare reports whether the team asks for more than its share of the slots among the teams
// that have requests waiting or in a slot. Its decayed use counts with its waiting requests,
// because several teams that all ask for too much are each kept at their share, and so do the
// slots that it holds, because the decayed use follows a burst only after seconds. A team that
// is alone has all slots as its share.
func (s *teamShares) overShare(r *teamRecord, slots int) bool {
	const rounding = 1e-6
	others := s.activeWeight
	if r.held > 0 {
		others -= r.weight
	}
	if others <= rounding*r.weight {
		return false
	}
	share := float64(slots) * r.weight / (r.weight + others)
	return s.slotsInUse(r.use()+r.planned) > share || float64(r.running) > math.Ceil(share)
}

// Use returns the use of the instance's slots by team, as of the latest call with a time. It
// is empty without Config.FairShares.
func (q *Queue) Use() []TeamUse {
	if q.fair == nil {
		return nil
	}
	out := make([]TeamUse, 0, len(q.fair.records))
	for _, r := range q.fair.records {
		if r.own > 0 {
			out = append(out, TeamUse{Team: r.team, SlotTime: q.fair.slotsInUse(r.own)})
		}
	}
	return out
}

// SetFleetUse sets the mean use by team over the guards of the service, in slots. It replaces
// the queue's own figures in the fair order for the teams in the map; the slot time that this
// queue uses from now on is added to it. It has no effect without Config.FairShares.
func (q *Queue) SetFleetUse(use map[uint32]float64) {
	if q.fair == nil {
		return
	}
	s := &q.fair.teamShares
	s.fleetAt = s.now
	for _, r := range s.records {
		r.fleetKnown, r.fleet, r.sinceFleet = false, 0, 0
	}
	var added []TeamUse
	for team, slots := range use {
		switch r, ok := s.teams[team]; {
		case !(slots >= 0) || math.IsInf(slots, 1):
		case ok:
			r.setFleet(slots * useTimeConstant * s.scale)
		default:
			added = append(added, TeamUse{Team: team, SlotTime: slots})
		}
	}
	// Which teams keep their records must not depend on the order of a map.
	slices.SortFunc(added, func(a, b TeamUse) int {
		return cmp.Or(cmp.Compare(b.SlotTime, a.SlotTime), cmp.Compare(a.Team, b.Team))
	})
	s.addFleetUse(added)
}

// addFleetUse adds records for teams without one, which are sorted by use in descending order.
// Beyond maxTeams they replace those that use less, see leastUsed.
func (s *teamShares) addFleetUse(added []TeamUse) {
	room := min(max(maxTeams-len(s.records), 0), len(added))
	for _, u := range added[:room] {
		s.record(u.Team).setFleet(u.SlotTime * useTimeConstant * s.scale)
	}
	if added = added[room:]; len(added) == 0 {
		return
	}
	var replaceable []*teamRecord
	for _, r := range s.records {
		if r.held == 0 {
			replaceable = append(replaceable, r)
		}
	}
	slices.SortStableFunc(replaceable, func(a, b *teamRecord) int { return cmp.Compare(a.use(), b.use()) })
	for i, u := range added[:min(len(added), len(replaceable))] {
		fleet := u.SlotTime * useTimeConstant * s.scale
		if replaceable[i].use() >= fleet {
			return
		}
		s.replace(replaceable[i], u.Team)
		replaceable[i].setFleet(fleet)
	}
}

func (r *teamRecord) setFleet(slotTime float64) { r.fleetKnown, r.fleet = true, slotTime }
