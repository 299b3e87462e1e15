package fleetsim

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/radishhoist/radishhoist/internal/core/crash"
	"github.com/radishhoist/radishhoist/internal/core/directory"
	"github.com/radishhoist/radishhoist/internal/core/header"
	"github.com/radishhoist/radishhoist/internal/core/pulse"
	"github.com/radishhoist/radishhoist/internal/front"
	"github.com/radishhoist/radishhoist/internal/guard"
	"github.com/radishhoist/radishhoist/internal/msg"
	"github.com/radishhoist/radishhoist/internal/wire"
	"github.com/radishhoist/radishhoist/record"
)

const (
	// guardTick is how often guards look at their queues, as in the daemon.
	guardTick = 20 * time.Millisecond
	// queuePerSlot, grantLife and targetIdle are the daemon's defaults.
	queuePerSlot = 4
	grantLife    = 250 * time.Millisecond
	targetIdle   = 9 * time.Second
	// windDown is how long all that was under way takes to end: longer than any
	// work or time-out of a site.
	windDown = 2 * time.Minute
)

// host is one host: its front, its guard and its instance.
type host struct {
	fleet    *fleet
	name, dc string
	front    *front.Front
	guard    *guard.Guard
	instance *instance
	// near are the names of the other hosts of the data centre, far those of each
	// other one.
	near []string
	far  [][]string

	mu sync.Mutex
	// pulses says who is told of the instance.
	pulses *pulse.Limiter
}

// fleet is one run.
type fleet struct {
	site   *Site
	hosts  []*host
	byName map[string]*host
	begun  time.Time
	ctx    context.Context
	// compiled are the records in force.
	compiled *directory.Records

	mu      sync.Mutex
	rng     *rand.Rand
	result  Result
	arrived map[string]bool
}

// Run plays a site within a bubble of testing/synctest and gives what was seen.
func Run(s Site) Result {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	f := &fleet{
		site: &s, ctx: ctx, begun: time.Now().Add(s.Warm), rng: rand.New(rand.NewPCG(s.Seed, s.Seed+1)),
		arrived: make(map[string]bool),
		byName:  make(map[string]*host),
		result: Result{
			ByKind: make(map[string]Outcome), Instances: make(map[string]*Seen),
			Repeats: make(map[string][]time.Duration), Requests: make(map[string][]time.Duration),
			Crashes: make(map[string]*Crash),
		},
	}
	for _, c := range s.Crashers {
		f.result.Crashes[c.Path] = &Crash{}
	}
	f.build()
	for _, h := range f.hosts {
		go h.tick()
		go h.instance.live()
	}
	time.Sleep(s.Warm)
	f.callers()
	cancel()
	time.Sleep(windDown)
	return f.result
}

// build makes the hosts and tells each of all others.
func (f *fleet) build() {
	for _, s := range f.site.Services {
		for i := range s.Instances {
			version := oldVersion
			if s.Name == f.site.Rolled && i%2 == 1 {
				version = newVersion
			}
			f.hosts = append(f.hosts, f.newHost(len(f.hosts), s, fmt.Sprintf("%s-%d", s.Name, i), version))
		}
	}
	f.meet()
	f.compiled = directory.Compile(f.records(), true)
	f.tellDirectory()
}

// tellDirectory tells every host which instances there are.
func (f *fleet) tellDirectory() {
	all := make([]*directory.Host, 0, len(f.hosts))
	for _, h := range f.hosts {
		all = append(all, &directory.Host{Name: h.name, DC: h.dc, Peer: h.name, Incarnation: 1, Alive: true, Instances: h.guard.Instances()})
	}
	for _, h := range f.hosts {
		d := directory.Build(f.compiled, all)
		h.front.SetDirectory(d)
		h.guard.Apply(d)
	}
}

func (f *fleet) records() []*record.Record {
	c := &record.Configuration{}
	for _, s := range f.site.Services {
		c.Services = append(c.Services, record.NamedService{Name: s.Name, Service: record.Service{
			Preset: record.PresetQuick, Floor: record.Floor{Percent: 70}, RetryPercent: f.site.RetryShare,
		}})
	}
	for _, k := range f.site.Kinds {
		idempotent := "no"
		if k.Idempotent {
			idempotent = "yes"
		}
		c.Routes = append(c.Routes, record.NamedRoute{Name: k.Name, Route: record.Route{
			PathPrefix: "/" + k.Name + "/", Service: k.Service, Idempotent: idempotent, Priority: k.Priority,
			TimeoutMS: int(k.Deadline.Milliseconds()), ObjectiveMS: int(k.Objective.Milliseconds()), MaxAttempts: k.MaxAttempts,
		}})
	}
	return []*record.Record{{Key: record.Key{Kind: record.KindConfiguration, Name: "main"}, Version: 1, Spec: c}}
}

func (f *fleet) newHost(n int, s Service, name, version string) *host {
	h := &host{fleet: f, name: "h" + name, dc: dcName(n % f.site.DCs), pulses: pulse.New(f.newRand())}
	f.byName[h.name] = h
	seen := &Seen{Service: s.Name}
	f.result.Instances[name] = seen
	h.instance = &instance{host: h, name: name, version: version, service: s, seen: seen, rng: f.newRand(), fate: f.newRand(), conns: make(map[net.Conn]struct{})}
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	dialect := header.Default()
	h.guard = guard.New(guard.Config{
		Host: h.name, QueuePerSlot: queuePerSlot, GrantLife: grantLife, TargetIdle: targetIdle, Dialect: dialect,
		Dial: func(context.Context, string) (net.Conn, error) { return h.instance.connect() },
	}, guard.Limits{AnnounceExpiry: time.Hour, RetryReserve: f.site.RetryReserve, RetryWindow: f.site.RetryWindow},
		log, anyRun{}, guard.Hooks{
			Changed: func() {}, LoadReport: h.tell,
			Crashed: func(e crash.Crash) { h.tellOthers(func(other *host) { other.guard.ApplyCrash(e) }) },
			Cleared: func(end string, p crash.Fingerprint) {
				h.tellOthers(func(other *host) { other.guard.ApplyCleared(end, p) })
			},
		})
	h.front = front.New(front.Config{
		Host: h.name, DC: h.dc, BufferBodyBytes: 1 << 10, MaxConns: 1 << 10, Service: s.Name, Dialect: dialect,
	}, front.Limits{MaxBodyBytes: 1 << 20}, log, peers{h}, h.guard, nil)
	h.instance.announce()
	return h
}

// anyRun lets every claimed run start: no request here has a key.
type anyRun struct{}

// MayRun implements guard.Fence.
func (anyRun) MayRun(string, uint32, uint64) bool { return true }

func (f *fleet) newRand() *rand.Rand {
	f.mu.Lock()
	defer f.mu.Unlock()
	return rand.New(rand.NewPCG(f.rng.Uint64(), f.rng.Uint64()))
}

// now is the time since the first caller.
func (f *fleet) now() time.Duration { return time.Since(f.begun) }

// delay is that of a message between two hosts.
func (f *fleet) delay(a, b *host) time.Duration {
	if a.dc == b.dc {
		return f.site.Near
	}
	return f.site.OneWay
}

func (h *host) tick() {
	ticker := time.NewTicker(guardTick)
	defer ticker.Stop()
	for {
		select {
		case now := <-ticker.C:
			h.guard.Tick(now)
		case <-h.fleet.ctx.Done():
			return
		}
	}
}

// tell passes a guard's pulse on as control does: to fronts nearby as far as the rate
// allows, and to a host of each other data centre, which passes it on there.
func (h *host) tell(p *msg.LoadReport, to pulse.Reach) {
	p = h.known(p)
	h.front.HandleLoadReport(p)
	now := time.Now()
	var relays []string
	h.mu.Lock()
	if to == pulse.ToAll {
		relays = h.pulses.SelectRemote(now, h.far)
	}
	told := h.pulses.SelectLocal(now, h.near, to)
	h.mu.Unlock()
	h.tellAll(told, func(other *host) { other.front.HandleLoadReport(p) })
	h.tellAll(relays, func(other *host) { other.passOn(p) })
}

// passOn takes a pulse from another data centre and tells its own.
func (h *host) passOn(p *msg.LoadReport) {
	h.front.HandleLoadReport(p)
	h.mu.Lock()
	told := h.pulses.SelectLocal(time.Now(), h.near, pulse.ToAll)
	h.mu.Unlock()
	h.tellAll(told, func(other *host) { other.front.HandleLoadReport(p) })
}

// tellOthers tells all other hosts, each over one other host, those behind a cut with the
// first repair after it.
func (h *host) tellOthers(hear func(*host)) {
	for _, other := range h.fleet.hosts {
		if other != h {
			time.AfterFunc(h.fleet.cutFor(h, other)+h.fleet.delay(h, other)+h.fleet.site.Near, func() { hear(other) })
		}
	}
}

func (h *host) tellAll(names []string, hear func(*host)) {
	for _, name := range names {
		other := h.fleet.byName[name]
		if h.fleet.cutFor(h, other) > 0 {
			continue
		}
		time.AfterFunc(h.fleet.delay(h, other), func() { hear(other) })
	}
}

// meet tells every host which others are near it and far from it, in the order in
// which they were made.
func (f *fleet) meet() {
	for _, h := range f.hosts {
		far := make([][]string, f.site.DCs)
		for n, other := range f.hosts {
			switch {
			case other == h:
			case other.dc == h.dc:
				h.near = append(h.near, other.name)
			default:
				far[n%f.site.DCs] = append(far[n%f.site.DCs], other.name)
			}
		}
		h.far = slices.DeleteFunc(far, func(names []string) bool { return len(names) == 0 })
	}
}

// repair is how long after a cut the hosts on its sides have compared what they know.
const repair = 900 * time.Millisecond

// cutFor is how much longer two hosts hear nothing of each other, 0 where they do.
func (f *fleet) cutFor(a, b *host) time.Duration {
	now := f.now()
	for _, c := range f.site.Cuts {
		dc := dcName(c.DC)
		if (a.dc == dc) != (b.dc == dc) && now >= c.At && now < c.At+c.For {
			return c.At + c.For + repair - now
		}
	}
	return 0
}

func dcName(n int) string { return fmt.Sprint("dc", n) }

// peers are the ways from one host to the others.
type peers struct{ from *host }

// Open implements front.Peers.
func (p peers) Open(_ context.Context, address string) (wire.Stream, *wire.Conn, error) {
	to, ok := p.from.fleet.byName[address]
	if !ok || p.from.fleet.cutFor(p.from, to) > 0 {
		return nil, nil, io.EOF
	}
	near, far := wire.Pipe()
	go to.serve(far)
	return delayed{near, p.from.fleet.delay(p.from, to), to.instance}, nil, nil
}

func (h *host) serve(s wire.Stream) {
	first, err := s.Recv(h.fleet.ctx)
	if err != nil {
		s.Close()
		return
	}
	h.guard.Serve(s, first)
}

// delayed is a stream whose messages take a time on their way out; what comes back
// takes it when it is taken up.
type delayed struct {
	wire.Stream
	by   time.Duration
	from *instance
}

// Send implements wire.Stream.
func (d delayed) Send(ctx context.Context, ms ...msg.Message) error {
	time.Sleep(d.by)
	return d.Stream.Send(ctx, ms...)
}

// Recv implements wire.Stream.
func (d delayed) Recv(ctx context.Context) (msg.Message, error) {
	m, err := d.Stream.Recv(ctx)
	if err != nil {
		return m, err
	}
	time.Sleep(d.by)
	switch m := m.(type) {
	case *msg.Grant:
		d.from.correct(&m.Load)
	case *msg.End:
		d.from.correct(&m.Load)
	case *msg.Fail:
		d.from.correct(&m.Load)
	}
	return m, nil
}
