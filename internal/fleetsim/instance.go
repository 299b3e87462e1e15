package fleetsim

import (
	"context"
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
	// serviceTimeSigma is the standard deviation of the logarithm of a service time.
	serviceTimeSigma = 0.5
	// fullLoadSlowdown is the relative increase of the service time when all slots are in use.
	fullLoadSlowdown = 0.3
	// sickResponseTime is the time that a sick instance takes to fail a request.
	sickResponseTime = 2 * time.Millisecond
)

// Software versions of instances.
const (
	oldVersion = "1"
	newVersion = "2"
)

// instance simulates one instance of a service.
type instance struct {
	host    *host
	name    string
	version string
	service Service
	stats   *InstanceStats

	mu sync.Mutex
	// requestRNG generates the service times and failures of requests. healthRNG is separate, so
	// that the health of an instance over time does not depend on the requests that it gets.
	requestRNG, healthRNG *rand.Rand
	sick                  bool
	// lastReport is the last load report of the guard, in a scenario with a health oracle.
	lastReport msg.InstanceLoad
	running    int
	// incarnation counts the starts. down reports whether the instance has crashed and
	// has not restarted yet.
	incarnation int
	down        bool
	// conns are the open connections, which are closed when the instance crashes.
	conns map[*conn]struct{}
}

// simulateHealth alternates the instance between healthy and sick, for random durations. It uses
// timers, not a goroutine that waits, since the race detector keeps a trace for each goroutine.
func (i *instance) simulateHealth() {
	health := i.host.fleet.scenario.Health
	if health.MeanSick <= 0 {
		return
	}
	sickShare := health.MeanSick.Seconds() / (health.MeanSick + health.MeanHealthy).Seconds()
	context.AfterFunc(i.host.fleet.ctx, func() { i.setSick(false) })
	i.changeHealth(i.healthRNG.Float64() < sickShare)
}

// changeHealth makes the instance sick or healthy until its next change.
func (i *instance) changeHealth(sick bool) {
	if i.host.fleet.ctx.Err() != nil {
		return
	}
	i.setSick(sick)
	i.publishTrueHealth()
	mean := i.host.fleet.scenario.Health.MeanHealthy
	if sick {
		mean = i.host.fleet.scenario.Health.MeanSick
	}
	time.AfterFunc(time.Duration(i.healthRNG.ExpFloat64()*float64(mean)), func() { i.changeHealth(!sick) })
}

func (i *instance) setSick(sick bool) {
	now := i.host.fleet.now()
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.sick {
		i.stats.SickSpans[len(i.stats.SickSpans)-1].To = now
	}
	if sick {
		i.stats.SickSpans = append(i.stats.SickSpans, Span{From: now, To: math.MaxInt64})
	}
	i.sick = sick
}

// connect opens a connection to the instance and returns the guard's end of it.
func (i *instance) connect() (net.Conn, error) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.down {
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: syscall.ECONNREFUSED}
	}
	c := newConn(i)
	i.conns[c] = struct{}{}
	return c, nil
}

func (i *instance) disconnect(c *conn) {
	i.mu.Lock()
	defer i.mu.Unlock()
	delete(i.conns, c)
}

// recordRun adds the duration of a request that began at start to the statistics.
func (i *instance) recordRun(start time.Time, status int) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.stats.BusyTime += time.Since(start)
	if status >= http.StatusInternalServerError {
		i.stats.FailedTime += time.Since(start)
	}
}

// run simulates the run of a request, including its call to another service and its failures,
// and calls respond with the status. No goroutine waits while the request runs.
func (i *instance) run(r *http.Request, respond func(status int)) {
	f := i.host.fleet
	kind, ok := f.findKind(r.URL.Path)
	if !ok {
		respond(http.StatusNotFound)
		return
	}
	id := r.Header.Get("X-Request-Id")
	refused := i.refuses()
	f.recordArrival(i, id, kind, refused)
	if refused {
		respond(http.StatusServiceUnavailable)
		return
	}
	if c, ok := f.findCrashingRequest(r.URL.Path); ok && !(c.OldVersionOnly && i.version == newVersion) {
		i.runCrashingRequest(c)
		respond(http.StatusInternalServerError)
		return
	}
	if c, ok := f.findCrashingCall(r.URL.Path); ok {
		respond(f.statusOf(i.host, c.Kind, c.Path, id+".1"))
		return
	}
	i.mu.Lock()
	i.running++
	health := f.scenario.Health
	failsAtOnce := i.sick && i.requestRNG.Float64() < health.SickFailureRate
	failsAfterRun := i.requestRNG.Float64() < health.HealthyFailureRate
	makesCall := kind.CalledKind != "" && i.requestRNG.Float64() < kind.CallProbability
	utilization := float64(i.running) / float64(i.service.Slots)
	serviceTime := kind.ServiceTime.Seconds() * math.Exp(serviceTimeSigma*i.requestRNG.NormFloat64()-serviceTimeSigma*serviceTimeSigma/2) * (1 + fullLoadSlowdown*utilization*utilization)
	i.mu.Unlock()
	end := func(status int) {
		i.mu.Lock()
		i.running--
		i.mu.Unlock()
		respond(status)
	}
	if failsAtOnce {
		time.AfterFunc(sickResponseTime, func() { end(http.StatusInternalServerError) })
		return
	}
	time.AfterFunc(time.Duration(serviceTime*float64(time.Second)), func() {
		status := http.StatusOK
		if makesCall && f.statusOf(i.host, kind.CalledKind, "/"+kind.CalledKind+"/"+id, id+".1") >= http.StatusInternalServerError || failsAfterRun {
			status = http.StatusInternalServerError
		}
		end(status)
	})
}

// findKind returns the kind of requests that a path belongs to.
func (f *fleet) findKind(path string) (RequestKind, bool) {
	for _, k := range f.scenario.Kinds {
		if strings.HasPrefix(path, "/"+k.Name+"/") {
			return k, true
		}
	}
	return RequestKind{}, false
}

// recordArrival records that a request has reached an instance. A further arrival of the same
// request is a retry, and an error if the request is not idempotent and an earlier one was not
// refused.
func (f *fleet) recordArrival(i *instance, id string, kind RequestKind, refused bool) {
	now := f.now()
	f.mu.Lock()
	defer f.mu.Unlock()
	i.stats.Arrivals = append(i.stats.Arrivals, now)
	f.recordLimitedArrival(i, id, now)
	f.recordLateArrival(i, id)
	if f.arrivedIDs[id] {
		f.result.Retries[kind.Service] = append(f.result.Retries[kind.Service], now)
	}
	f.arrivedIDs[id] = true
	if refused {
		return
	}
	if f.ranIDs[id] && !kind.Idempotent {
		f.result.RunTwice = append(f.result.RunTwice, id)
	}
	f.ranIDs[id] = true
}
