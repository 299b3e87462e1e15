package fleetsim

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/radishhoist/radishhoist/internal/guard"
)

// directoryDelay is the time until a restart is visible in the directories of all hosts.
const directoryDelay = 200 * time.Millisecond

// findCrashingRequest returns the crashing request with a path.
func (f *fleet) findCrashingRequest(path string) (CrashingRequest, bool) {
	for _, c := range f.scenario.CrashingRequests {
		if c.Path == path {
			return c, true
		}
	}
	return CrashingRequest{}, false
}

// sendCrashingRequest sends a crashing request repeatedly, or the requests that call it.
func (f *fleet) sendCrashingRequest(c CrashingRequest, rng *rand.Rand) {
	kind, path := c.Kind, c.Path
	if c.CallerKind != "" {
		kind, path = c.CallerKind, c.callerPath()
	}
	stats := f.result.CrashingRequests[c.Path]
	f.sendAtRandomTimes(c.RatePerSecond, rng, func(h *host, n int) {
		if f.statusOf(h, kind, path, fmt.Sprintf("%s-%d", path, n)) >= http.StatusBadRequest {
			return
		}
		f.mu.Lock()
		defer f.mu.Unlock()
		stats.Successes = append(stats.Successes, f.now())
	})
}

// findCrashingCall returns the crashing request that requests with a path call.
func (f *fleet) findCrashingCall(path string) (CrashingRequest, bool) {
	for _, c := range f.scenario.CrashingRequests {
		if c.CallerKind != "" && c.callerPath() == path {
			return c, true
		}
	}
	return CrashingRequest{}, false
}

// runCrashingRequest runs a crashing request until it crashes the instance. It counts no crash if
// the instance has crashed in the meantime for another reason.
func (i *instance) runCrashingRequest(c CrashingRequest) {
	f := i.host.fleet
	stats := f.result.CrashingRequests[c.Path]
	f.mu.Lock()
	stats.Arrivals = append(stats.Arrivals, f.now())
	f.mu.Unlock()
	incarnation := i.currentIncarnation()
	time.Sleep(c.CrashDelay)
	if !i.crash(incarnation) {
		return
	}
	f.mu.Lock()
	stats.Crashes = append(stats.Crashes, f.now())
	f.mu.Unlock()
}

func (i *instance) currentIncarnation() int {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.incarnation
}

// currentName returns the name of the current incarnation.
func (i *instance) currentName() string { return fmt.Sprintf("%s.%d", i.name, i.currentIncarnation()) }

// crash crashes an incarnation of the instance and closes its connections; the instance
// restarts after RestartDelay. It returns false if that incarnation has crashed already.
func (i *instance) crash(incarnation int) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.down || i.incarnation != incarnation {
		return false
	}
	i.down = true
	i.closeConns()
	time.AfterFunc(i.host.fleet.scenario.RestartDelay, i.restart)
	return true
}

// closeConns closes all connections. The caller must hold i.mu.
func (i *instance) closeConns() {
	for c := range i.conns {
		c.closeByInstance()
	}
}

// crashInstances crashes instances of a service, whatever requests they run.
func (f *fleet) crashInstances(l InstanceLoss) {
	left := l.Instances
	for _, h := range f.hosts {
		if left == 0 || h.instance.service.Name != l.Service {
			continue
		}
		left--
		h.instance.crash(h.instance.currentIncarnation())
	}
}

// restart starts the instance again and updates the directories.
func (i *instance) restart() {
	i.mu.Lock()
	i.down = false
	i.mu.Unlock()
	i.announce()
	time.AfterFunc(directoryDelay, i.host.fleet.updateDirectories)
}

// announce announces a new incarnation of the instance to the guard.
func (i *instance) announce() {
	i.mu.Lock()
	i.incarnation++
	i.mu.Unlock()
	i.refreshAnnouncement()
}

// refreshAnnouncement announces the current incarnation again. Nobody receives it while the
// host is down.
func (i *instance) refreshAnnouncement() {
	d := i.host.daemon()
	if d == nil {
		return
	}
	warm := int64(0)
	err := d.guard.Announce(time.Now(), i.currentName(), guard.Announcement{
		Service: i.service.Name, Address: "10.0.0.1:80", Slots: i.service.Slots, Version: i.version, WarmUpLeftMS: &warm,
	})
	if err != nil {
		panic("fleetsim: " + err.Error())
	}
}
