package fleetsim

import (
	"bufio"
	"fmt"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/radishhoist/radishhoist/internal/msg"
)

const (
	// workSpread is the standard deviation of the logarithm of a service time.
	workSpread = 0.5
	// busySlowdown is how much longer work takes with every slot busy, as a share.
	busySlowdown = 0.3
	// sickAnswer is how long a sick instance takes to fail a request.
	sickAnswer = 2 * time.Millisecond
)

// The versions of instances.
const (
	oldVersion = "1"
	newVersion = "2"
)

// instance is the stand-in of one instance.
type instance struct {
	host    *host
	name    string
	version string
	service Service
	seen    *Seen

	mu sync.Mutex
	// rng draws what befalls requests; fate draws when the instance is sick, which
	// is the same whatever is sent to it.
	rng, fate *rand.Rand
	sick      bool
	// told is what its guard told last, for a site in which the truth is known.
	told    msg.InstanceLoad
	running int
	// starts counts its starts; down says that it has ended and is not back yet.
	starts int
	down   bool
	// conns are the open connections, which end with it.
	conns map[net.Conn]struct{}
}

// live turns the instance sick and well again.
func (i *instance) live() {
	health := i.host.fleet.site.Health
	if health.SickFor <= 0 {
		return
	}
	usual := health.SickFor.Seconds() / (health.SickFor + health.WellFor).Seconds()
	sick := i.fate.Float64() < usual
	for i.host.fleet.ctx.Err() == nil {
		i.turn(sick)
		i.tellTurn()
		mean := health.WellFor
		if sick {
			mean = health.SickFor
		}
		stay := time.Duration(i.fate.ExpFloat64() * float64(mean))
		select {
		case <-time.After(stay):
		case <-i.host.fleet.ctx.Done():
		}
		sick = !sick
	}
	i.turn(false)
}

func (i *instance) turn(sick bool) {
	now := i.host.fleet.now()
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.sick {
		i.seen.Sick[len(i.seen.Sick)-1].To = now
	}
	if sick {
		i.seen.Sick = append(i.seen.Sick, Span{From: now, To: math.MaxInt64})
	}
	i.sick = sick
}

// connect gives the guard's end of a new connection.
func (i *instance) connect() (net.Conn, error) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.down {
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: syscall.ECONNREFUSED}
	}
	near, far := net.Pipe()
	i.conns[far] = struct{}{}
	go i.serve(far)
	return near, nil
}

func (i *instance) disconnect(nc net.Conn) {
	_ = nc.Close()
	i.mu.Lock()
	defer i.mu.Unlock()
	delete(i.conns, nc)
}

// serve answers the requests of one connection, one at a time.
func (i *instance) serve(nc net.Conn) {
	defer i.disconnect(nc)
	go func() {
		<-i.host.fleet.ctx.Done()
		_ = nc.Close()
	}()
	in := bufio.NewReader(nc)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		status := i.run(r)
		text := fmt.Sprintf("HTTP/1.1 %d X\r\nX-Request-Id: %s\r\nContent-Length: 2\r\n\r\nok", status, r.Header.Get("X-Request-Id"))
		if _, err := nc.Write([]byte(text)); err != nil {
			return
		}
	}
}

// run runs one request and gives its status.
func (i *instance) run(r *http.Request) int {
	begun := time.Now()
	status := i.work(r)
	i.mu.Lock()
	defer i.mu.Unlock()
	i.seen.Busy += time.Since(begun)
	if status >= http.StatusInternalServerError {
		i.seen.Wasted += time.Since(begun)
	}
	return status
}

// work does what a request asks for and gives its status.
func (i *instance) work(r *http.Request) int {
	f := i.host.fleet
	kind, ok := f.kind(r.URL.Path)
	if !ok {
		return http.StatusNotFound
	}
	id := r.Header.Get("X-Request-Id")
	f.arrival(i, id, kind)
	if c, ok := f.crasher(r.URL.Path); ok && !(c.OldOnly && i.version == newVersion) {
		i.crash(c)
		return http.StatusInternalServerError
	}
	if c, ok := f.calledBy(r.URL.Path); ok {
		return f.request(i.host, c.Kind, c.Path, id+".1")
	}
	i.mu.Lock()
	i.running++
	health := f.site.Health
	fails := i.sick && i.rng.Float64() < health.SickFails
	failsLate := i.rng.Float64() < health.WellFails
	calls := kind.Calls != "" && i.rng.Float64() < kind.CallChance
	busy := float64(i.running) / float64(i.service.Slots)
	work := kind.Work.Seconds() * math.Exp(workSpread*i.rng.NormFloat64()-workSpread*workSpread/2) * (1 + busySlowdown*busy*busy)
	i.mu.Unlock()
	defer func() {
		i.mu.Lock()
		i.running--
		i.mu.Unlock()
	}()
	if fails {
		time.Sleep(sickAnswer)
		return http.StatusInternalServerError
	}
	time.Sleep(time.Duration(work * float64(time.Second)))
	if calls && f.request(i.host, kind.Calls, "/"+kind.Calls+"/"+id, id+".1") >= http.StatusInternalServerError {
		return http.StatusInternalServerError
	}
	if failsLate {
		return http.StatusInternalServerError
	}
	return http.StatusOK
}

// kind finds the kind of a path.
func (f *fleet) kind(path string) (Kind, bool) {
	for _, k := range f.site.Kinds {
		if strings.HasPrefix(path, "/"+k.Name+"/") {
			return k, true
		}
	}
	return Kind{}, false
}

// arrival notes that a request has reached an instance.
func (f *fleet) arrival(i *instance, id string, kind Kind) {
	now := f.now()
	f.mu.Lock()
	defer f.mu.Unlock()
	i.seen.Arrivals = append(i.seen.Arrivals, now)
	if f.arrived[id] {
		f.result.Repeats[kind.Service] = append(f.result.Repeats[kind.Service], now)
	}
	if f.arrived[id] && !kind.Idempotent {
		f.result.Twice = append(f.result.Twice, id)
	}
	f.arrived[id] = true
}
