package guard

import (
	"context"
	"log/slog"
	"net/http"
	"time"

	"github.com/radishhoist/radishhoist/internal/core/announce"
	"github.com/radishhoist/radishhoist/internal/event"
)

// An acknowledged departure binds every later process of this host as well. It is acknowledged
// only once such a process will know it, see package departure.

const (
	// departuresTimeout is how long after its start a process waits for the departures that
	// earlier ones have acknowledged. Until then, it delays announcements that may be from
	// an instance that has left.
	departuresTimeout = 700 * time.Millisecond
	// departureTimeout bounds the wait until a departure is recorded. Instances wait a second
	// for the acknowledgement.
	departureTimeout = 850 * time.Millisecond
)

// RestoreDepartures applies departures that earlier processes of this host have acknowledged.
// Announcements that they make outdated have no effect, including those that were accepted
// before this call.
func (g *Guard) RestoreDepartures(now time.Time, restored []announce.Departure) {
	g.mu.Lock()
	removed := 0
	for _, d := range restored {
		if g.announcements.Restore(now, d) {
			g.remove(d.Instance, "its departure was acknowledged before this process started")
			removed++
		}
	}
	g.mu.Unlock()
	g.setDeparturesKnown()
	for _, d := range restored {
		event.Log(g.log, event.DepartureRestored, slog.String("instance", d.Instance), slog.Bool("gone", d.Gone))
	}
	if removed > 0 {
		g.onChanged()
	}
}

// setDeparturesKnown ends the wait for departures acknowledged by earlier processes.
func (g *Guard) setDeparturesKnown() {
	g.departuresKnownOnce.Do(func() { close(g.departuresKnown) })
}

// awaitDepartures waits until the departures acknowledged by earlier processes are known, if the
// announcement may be one that they make outdated. An instance that has just started is not
// delayed.
func (g *Guard) awaitDepartures(ctx context.Context, name string, a Announcement) {
	if a.isLeaving() || a.stamp().IsFirst() {
		return
	}
	g.mu.Lock()
	_, known := g.instances[name]
	g.mu.Unlock()
	if known {
		return
	}
	select {
	case <-g.departuresKnown:
	case <-ctx.Done():
	}
}

// acknowledgeDeparture waits until a departure is recorded. If that is not certain in time, it
// refuses the call, so that the instance repeats it, and returns false.
func (g *Guard) acknowledgeDeparture(w http.ResponseWriter, r *http.Request, d announce.Departure) bool {
	ctx, cancel := context.WithTimeout(r.Context(), departureTimeout)
	defer cancel()
	err := g.onDeparted(ctx, d)
	if err == nil {
		return true
	}
	w.Header().Set("Retry-After", "1")
	http.Error(w, "the departure is in effect, but not recorded yet: "+err.Error()+"; repeat the call", http.StatusServiceUnavailable)
	event.Log(g.log, event.DepartureNotRecorded, slog.String("instance", d.Instance), slog.String("cause", err.Error()))
	return false
}
