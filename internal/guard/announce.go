package guard

import (
	"encoding/json"
	"io"
	"log/slog"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/radishhoist/radishhoist/internal/core/announce"
	"github.com/radishhoist/radishhoist/internal/event"
)

const (
	// maxInstances bounds the instances on one host.
	maxInstances = 256
	// maxSlots and maxConnections bound what one instance may announce.
	maxSlots       = 10000
	maxConnections = 100000
	// maxAnnouncement bounds an announcement, in bytes.
	maxAnnouncement = 16 << 10
	maxNameLength   = 128
)

var errTooMany = errors.Errorf("this host has its bound of %d instances", maxInstances)

// Announcement is what an instance says of itself, again and again.
type Announcement struct {
	Service string `json:"service"`
	// Address is where the instance answers HTTP, IP:port.
	Address string `json:"address"`
	// DC is the instance's data centre, which is this host's.
	DC string `json:"dc,omitempty"`
	// Slots is how many requests it runs at once.
	Slots int `json:"slots"`
	// Connections is how many connections it accepts; 0 leaves it to the slots.
	Connections int    `json:"connections,omitempty"`
	Version     string `json:"version"`
	// Leaving says that it wants no new work, as does the state "draining".
	Leaving bool `json:"leaving,omitempty"`
	// State is "ready", "draining" or empty, which means ready.
	State string `json:"state,omitempty"`
	// Sequence grows with each announcement, so that a late one is known; 0
	// where the instance does not count.
	Sequence uint64 `json:"sequence,omitempty"`
	// Born is when the instance started, in Unix milliseconds of its own clock, so
	// that another start under the same name is known; 0 where it does not say.
	Born int64 `json:"born,omitempty"`
	// WarmupLeftMS is how much longer the instance is slow after its start, in
	// milliseconds; nil where it does not say.
	WarmupLeftMS *int64 `json:"warmupLeftMS,omitempty"`
}

// The states of an Announcement.
const (
	stateReady    = "ready"
	stateDraining = "draining"
)

// leaves says that the instance wants no new work.
func (a *Announcement) leaves() bool { return a.Leaving || a.State == stateDraining }

// connections is how many connections the instance accepts: what it says, or
// enough for its slots and those that are just being closed or opened.
func (a *Announcement) connections() int {
	if a.Connections > 0 {
		return a.Connections
	}
	return 2 * a.Slots
}

// Announce takes an announcement. One that is older than what is known changes
// nothing. Once it returns, an instance that is leaving gets no new work.
func (g *Guard) Announce(now time.Time, name string, a Announcement) error {
	if err := a.check(name); err != nil {
		return err
	}
	inst, fresh, err := g.register(now, name, a)
	if err != nil || inst == nil {
		return err
	}
	if fresh {
		event.Log(g.log, event.InstanceAnnounced, slog.String("instance", name),
			slog.String("service", a.Service), slog.String("address", a.Address), slog.Int("slots", a.Slots))
	}
	if inst.refresh(now, a) || fresh {
		g.changed()
	}
	return nil
}

// register finds or makes the instance of an announcement; nil where the
// announcement does not count.
func (g *Guard) register(now time.Time, name string, a Announcement) (inst *instance, fresh bool, err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	inst, known := g.instances[name]
	if !known && len(g.instances) >= maxInstances {
		return nil, false, errTooMany
	}
	familiar := known && inst.service == a.Service
	if !familiar && g.whole && !g.offers(a.Service) {
		if a.leaves() {
			return nil, false, nil // it gets no work here, which is what it asks for
		}
		return nil, false, errors.Errorf("service: no record names %q; write one of a Service record in force", a.Service)
	}
	outcome := g.book.Apply(now, name, a.Address, announce.Stamp{StartedMS: a.Born, Sequence: a.Sequence})
	if !outcome.Accepted {
		return nil, false, nil
	}
	if outcome.Replaces != "" {
		g.remove(outcome.Replaces, "replaced by "+name)
	}
	switch {
	case !known:
	case outcome.Restarted:
		g.remove(name, "started again")
		inst.lose()
	case inst.service == a.Service && inst.address == a.Address:
		return inst, false, nil
	default:
		inst.close()
	}
	inst = newInstance(g, name, a, now)
	g.instances[name] = inst
	return inst, true, nil
}

// check reports the first fault of an announcement and what to write instead.
func (a *Announcement) check(name string) error {
	switch {
	case name == "" || len(name) > maxNameLength:
		return errors.Errorf("instance name: write 1 to %d bytes", maxNameLength)
	case a.Service == "" || len(a.Service) > maxNameLength:
		return errors.Errorf("service: write the name of a Service record, 1 to %d bytes", maxNameLength)
	case a.Slots < 1 || a.Slots > maxSlots:
		return errors.Errorf("slots: %d is out of bounds; write 1 to %d", a.Slots, maxSlots)
	case a.Connections < 0 || a.Connections > maxConnections:
		return errors.Errorf("connections: %d is out of bounds; write 1 to %d, or leave it out", a.Connections, maxConnections)
	case a.State != "" && a.State != stateReady && a.State != stateDraining:
		return errors.Errorf("state: %q is not one; write %q or %q", a.State, stateReady, stateDraining)
	case a.Born < 0:
		return errors.Errorf("born: %d is out of bounds; write the start in Unix milliseconds, or leave it out", a.Born)
	case a.WarmupLeftMS != nil && *a.WarmupLeftMS < 0:
		return errors.Errorf("warmupLeftMS: %d is out of bounds; write 0 or more", *a.WarmupLeftMS)
	}
	host, _, err := net.SplitHostPort(a.Address)
	if err != nil || net.ParseIP(host) == nil {
		return errors.Errorf("address: %q is not IP:port; write where the instance answers HTTP", a.Address)
	}
	return nil
}

// Withdraw takes the word of an instance that it is gone. born is the start that
// says so, 0 where it does not tell: the leave of an earlier start takes nothing
// out of service.
func (g *Guard) Withdraw(now time.Time, name string, born int64) {
	g.mu.Lock()
	if g.book.Leave(now, name, born) {
		g.remove(name, "withdrawn")
	}
	g.mu.Unlock()
	g.changed()
}

// misled takes an instance out of service whose address answers for another.
func (g *Guard) misled(name string) {
	g.mu.Lock()
	g.book.MarkMisdirected(name)
	g.remove(name, "another instance has its address")
	g.mu.Unlock()
	g.changed()
}

// AnnounceReply tells an instance what the guard makes of it.
type AnnounceReply struct {
	// ExpiryMS is how soon the next announcement must come.
	ExpiryMS int64 `json:"expiryMS"`
	// Draining says that this host takes no new work.
	Draining bool `json:"draining"`
}

// leave is what an instance may say with its leave.
type leave struct {
	Born int64 `json:"born"`
}

// AnnounceHandler is the HTTP interface for instances on this host:
// PUT /v1/instances/NAME with an Announcement, again and again, and DELETE. What
// cannot be read or is not of an instance is refused, and changes nothing.
func (g *Guard) AnnounceHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("PUT /v1/instances/{name}", g.putInstance)
	mux.HandleFunc("DELETE /v1/instances/{name}", g.deleteInstance)
	return mux
}

func (g *Guard) putInstance(w http.ResponseWriter, r *http.Request) {
	name := r.PathValue("name")
	var a Announcement
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxAnnouncement)).Decode(&a)
	if err == nil {
		err = g.Announce(time.Now(), name, a)
	}
	if err != nil {
		g.refuseAnnouncement(w, name, err)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	reply := AnnounceReply{ExpiryMS: g.limits.Load().AnnounceExpiry.Milliseconds(), Draining: g.Draining()}
	_ = json.NewEncoder(w).Encode(reply)
}

func (g *Guard) deleteInstance(w http.ResponseWriter, r *http.Request) {
	name := r.PathValue("name")
	var l leave
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxAnnouncement)).Decode(&l)
	if err != nil && !errors.Is(err, io.EOF) {
		g.refuseAnnouncement(w, name, err)
		return
	}
	g.Withdraw(time.Now(), name, l.Born)
	w.WriteHeader(http.StatusNoContent)
}

// refuseAnnouncement tells the sender and the log what was wrong.
func (g *Guard) refuseAnnouncement(w http.ResponseWriter, name string, err error) {
	http.Error(w, err.Error(), http.StatusBadRequest)
	leftOut, ok := g.refusals.Allow(time.Now())
	if !ok {
		return
	}
	event.Log(g.log, event.AnnounceRefused, slog.String("instance", name), slog.String("cause", err.Error()),
		slog.Uint64("linesLeftOut", leftOut))
}
