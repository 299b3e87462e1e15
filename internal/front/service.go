package front

import (
	"sync"
	"time"

	"github.com/radishhoist/radishhoist/internal/core/chance"
	"github.com/radishhoist/radishhoist/internal/core/detect"
	"github.com/radishhoist/radishhoist/internal/core/directory"
	"github.com/radishhoist/radishhoist/internal/core/eject"
	"github.com/radishhoist/radishhoist/internal/guard"
	"github.com/radishhoist/radishhoist/internal/msg"
)

// services holds what the front learns about services from their answers.
type services struct {
	mu     sync.Mutex
	byName map[string]*serviceState
}

// serviceState is one service as this front sees it.
type serviceState struct {
	mu sync.Mutex
	// targets are those of the directory in force, by index; choice tells
	// which of them may be used.
	targets []*target
	choice  choice
	// samples are outcomes not yet passed on to a guard.
	samples [sampleRing]sample
	next    int
	// routes are the recent service times by route: what routes ask of a service
	// takes it different times.
	routes map[string]*latency
}

// target is one instance as one directory has it, with this front's own
// observations, which outlive the directory. Attempts use the target without
// the lock: a new directory makes new targets, and only seen is shared.
type target struct {
	*directory.Target
	hash uint64
	seen *observed
}

// observed is what this front has seen of an instance; the service's lock
// guards it.
type observed struct {
	pending int
	load    msg.Load
	loadAt  time.Time
	// wantsAt is since when its guard asks for a trial.
	wantsAt time.Time
	// sick is the guard's estimate of the instance's state.
	sick chance.Estimate
	// sheds is the share of requests that the instance refuses with free slots.
	sheds chance.Share
	// pace is the instance's service time relative to that of its peers on the
	// same routes; 0 before any answer.
	pace float64
}

// choice is the outcome of the floor rule for the directory in force.
type choice struct {
	result eject.Result
	// usable and local are indexes of targets to choose from, with and
	// without those in other data centres; out are those left out.
	usable, local, out []int
	// cut are targets whose path is left out.
	cut []int
	at  time.Time
}

// sampleRing bounds the outcomes kept for other guards.
const sampleRing = 16

type sample struct {
	msg.Sample
	at   time.Time
	used bool
}

func (s *services) get(name string) *serviceState {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.byName[name]
}

// update fits the states to a new directory, keeping what was learnt.
func (s *services) update(d *directory.Directory, p *paths, cfg Config) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for name := range s.byName {
		if _, ok := d.Services[name]; !ok {
			delete(s.byName, name)
		}
	}
	for name, svc := range d.Services {
		st, ok := s.byName[name]
		if !ok {
			st = &serviceState{routes: make(map[string]*latency)}
			s.byName[name] = st
		}
		st.update(svc, p, cfg)
	}
}

func (st *serviceState) update(svc *directory.Service, p *paths, cfg Config) {
	st.mu.Lock()
	defer st.mu.Unlock()
	old := make(map[string]*target, len(st.targets))
	for _, t := range st.targets {
		old[t.Name+"@"+t.Host.Name] = t
	}
	st.targets = make([]*target, 0, len(svc.Targets))
	for _, t := range svc.Targets {
		fresh := &target{Target: t, hash: guard.InstanceHash(t.Name), seen: &observed{}}
		if was, ok := old[t.Name+"@"+t.Host.Name]; ok && was.StartedMS == t.StartedMS {
			fresh.seen = was.seen
		}
		st.targets = append(st.targets, fresh)
	}
	st.rechoose(time.Now(), svc, p, cfg)
}

// rechooseAfter is how old a choice may be: paths fail and heal without a
// change of directory.
const rechooseAfter = 250 * time.Millisecond

// rechoose runs the floor rule. The caller holds the lock.
func (st *serviceState) rechoose(now time.Time, svc *directory.Service, p *paths, cfg Config) {
	members := make([]eject.Member, len(st.targets))
	for i, t := range st.targets {
		members[i] = eject.Member{
			Name:     t.Name,
			Slots:    t.Slots,
			Usable:   t.Usable() && p.usable(t.Host.Name),
			Suspect:  t.Health == detect.Suspect,
			Evidence: t.Evidence,
		}
	}
	c := choice{result: eject.Apply(members, svc.Record.Floor), at: now}
	for i, t := range st.targets {
		switch {
		case c.result.Ejected[i]:
			c.out = append(c.out, i)
		case members[i].Usable:
			c.usable = append(c.usable, i)
			if t.Host.DC == cfg.DC {
				c.local = append(c.local, i)
			}
		case t.Usable():
			c.cut = append(c.cut, i)
		}
	}
	st.choice = c
}

// mayRepeat says that some target's guard may have a repeat left. The caller
// holds the lock.
func (st *serviceState) mayRepeat(now time.Time) bool {
	for _, i := range st.choice.usable {
		if st.targets[i].seen.mayRepeat(now) {
			return true
		}
	}
	return false
}

// repeatChance is how likely a repeat is to find a guard that has one left: the
// part of the guards that told of any; a count that is old is taken for what the
// fresh ones are. The caller holds the lock.
func (st *serviceState) repeatChance(now time.Time) float64 {
	fresh, left := 0, 0
	for _, i := range st.choice.usable {
		o := st.targets[i].seen
		if now.Sub(o.loadAt) > freshLoad {
			continue
		}
		fresh++
		if o.load.RetryBudgetLeft > 0 {
			left++
		}
	}
	if fresh == 0 {
		return 1
	}
	return float64(left) / float64(fresh)
}

// mayRepeat says that the guard has a repeat left as far as is known: it told so,
// or nothing of late.
func (o *observed) mayRepeat(now time.Time) bool {
	return o.load.RetryBudgetLeft > 0 || now.Sub(o.loadAt) > freshLoad
}

const (
	// paceWeight is the weight of a new answer in an instance's pace.
	paceWeight = 0.2
	// paceMin and paceMax bound one answer's part in it: service times of one
	// route have a long tail.
	paceMin, paceMax = 0.2, 5
	// maxRoutes bounds the routes whose times are kept.
	maxRoutes = 4096
)

// observe takes the outcome of one attempt: the guard's load count, and the
// service time where the target answered.
func (st *serviceState) observe(req *request, t *target, o *outcome) {
	now := time.Now()
	st.mu.Lock()
	defer st.mu.Unlock()
	if o.load.Slots > 0 {
		load := o.load
		// The count still holds this request.
		load.Running = max(load.Running, 1) - 1
		t.seen.hear(now, load)
	}
	if !o.judged {
		return
	}
	if o.failed {
		return
	}
	pace := float64(o.serviceTime) / float64(max(st.expected(req), 1))
	st.route(req.route.Name).add(o.serviceTime)
	st.samples[st.next] = sample{Sample: sampleOf(t.hash, pace), at: now}
	st.next = (st.next + 1) % sampleRing
	pace = min(max(pace, paceMin), paceMax)
	if t.seen.pace == 0 {
		t.seen.pace = 1
	}
	t.seen.pace += paceWeight * (pace - t.seen.pace)
}

// hear takes a guard's count. The service's lock is held.
func (o *observed) hear(now time.Time, load msg.Load) {
	if load.WantsTrial && !o.wishes(now) {
		o.wantsAt = now
	}
	o.load, o.loadAt = load, now
	o.sick = chance.EstimateAt(now, load.FailureProbability())
	o.sheds = chance.ShareAt(now, float64(load.ShedShare)/msg.Thousandths)
}

// expectAt is how long a request is expected to run at a target.
func (st *serviceState) expectAt(req *request, t *target) time.Duration {
	st.mu.Lock()
	defer st.mu.Unlock()
	return t.service(st.expected(req))
}

// service is how long a request takes at the target that takes its peers a
// time. The service's lock is held.
func (t *target) service(expected time.Duration) time.Duration {
	if t.seen.pace > 0 {
		return time.Duration(t.seen.pace * float64(expected))
	}
	return expected
}

// route gives the times of one route. The caller holds the lock.
func (st *serviceState) route(name string) *latency {
	l, ok := st.routes[name]
	if !ok {
		if len(st.routes) >= maxRoutes {
			st.routes = make(map[string]*latency)
		}
		l = &latency{}
		st.routes[name] = l
	}
	return l
}

// HandleLoadReport takes what a guard tells of its instances.
func (f *Front) HandleLoadReport(p *msg.LoadReport) {
	now := time.Now()
	for _, l := range p.Loads {
		if st := f.services.get(l.Service); st != nil {
			st.hear(now, l)
		}
	}
}

func (st *serviceState) hear(now time.Time, l msg.InstanceLoad) {
	st.mu.Lock()
	defer st.mu.Unlock()
	for _, t := range st.targets {
		if t.Name == l.Instance {
			t.seen.hear(now, l.Load)
		}
	}
}

// sampleLife is how old an outcome may be when it is passed on.
const sampleLife = 10 * time.Second

// takeSample picks the newest outcome of another instance that no guard has
// had from this front. The caller holds the lock.
func (st *serviceState) takeSample(now time.Time, not uint64) msg.Sample {
	for k := range sampleRing {
		s := &st.samples[(st.next-1-k+2*sampleRing)%sampleRing]
		if s.used || s.Instance == 0 || s.Instance == not || now.Sub(s.at) > sampleLife {
			continue
		}
		s.used = true
		return s.Sample
	}
	return msg.Sample{}
}
