package fleetsim

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/radishhoist/radishhoist/internal/guard"
)

// directoryDelay is how long news of a start takes to the directories of all hosts.
const directoryDelay = 200 * time.Millisecond

// crasher finds the crasher of a path.
func (f *fleet) crasher(path string) (Crasher, bool) {
	for _, c := range f.site.Crashers {
		if c.Path == path {
			return c, true
		}
	}
	return Crasher{}, false
}

// crashersOf sends one crasher.
func (f *fleet) crashersOf(c Crasher, rng *rand.Rand) {
	kind, path := c.Kind, c.Path
	if c.Via != "" {
		kind, path = c.Via, c.viaPath()
	}
	seen := f.result.Crashes[c.Path]
	f.atRandom(c.PerSecond, rng, func(h *host, n int) {
		if f.request(h, kind, path, fmt.Sprintf("%s-%d", path, n)) >= http.StatusBadRequest {
			return
		}
		f.mu.Lock()
		defer f.mu.Unlock()
		seen.Served = append(seen.Served, f.now())
	})
}

// calledBy finds the crasher that a request's run calls.
func (f *fleet) calledBy(path string) (Crasher, bool) {
	for _, c := range f.site.Crashers {
		if c.Via != "" && c.viaPath() == path {
			return c, true
		}
	}
	return Crasher{}, false
}

// crash runs a crasher until the instance ends under it, or has ended already.
func (i *instance) crash(c Crasher) {
	f := i.host.fleet
	seen := f.result.Crashes[c.Path]
	f.mu.Lock()
	seen.Arrivals = append(seen.Arrivals, f.now())
	f.mu.Unlock()
	start := i.start()
	time.Sleep(c.After)
	if !i.end(start) {
		return
	}
	f.mu.Lock()
	seen.Ends = append(seen.Ends, f.now())
	f.mu.Unlock()
}

// start is the number of the present start.
func (i *instance) start() int {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.starts
}

// end ends a start of the instance with all that it runs, until it is back; false where
// that start has ended before.
func (i *instance) end(start int) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.down || i.starts != start {
		return false
	}
	i.down = true
	for nc := range i.conns {
		_ = nc.Close()
	}
	time.AfterFunc(i.host.fleet.site.Down, i.restart)
	return true
}

// lose ends instances of a service, whatever they run.
func (f *fleet) lose(l Loss) {
	left := l.Instances
	for _, h := range f.hosts {
		if left == 0 || h.instance.service.Name != l.Service {
			continue
		}
		left--
		h.instance.end(h.instance.start())
	}
}

// restart brings the instance back.
func (i *instance) restart() {
	i.mu.Lock()
	i.down = false
	i.mu.Unlock()
	i.announce()
	time.AfterFunc(directoryDelay, i.host.fleet.tellDirectory)
}

// announce tells the guard of a new start.
func (i *instance) announce() {
	i.mu.Lock()
	i.starts++
	name := fmt.Sprintf("%s.%d", i.name, i.starts)
	i.mu.Unlock()
	warm := int64(0)
	err := i.host.guard.Announce(time.Now(), name, guard.Announcement{
		Service: i.service.Name, Address: "10.0.0.1:80", Slots: i.service.Slots, Version: i.version, WarmupLeftMS: &warm,
	})
	if err != nil {
		panic("fleetsim: " + err.Error())
	}
}
