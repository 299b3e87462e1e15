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
	// maxInstances limits the instances on one host.
	maxInstances = 256
	// maxSlots and maxConnections limit the values that one instance may announce.
	maxSlots       = 10000
	maxConnections = 100000
	// maxAnnouncementBytes limits the size of an announcement, in bytes.
	maxAnnouncementBytes = 16 << 10
	// maxNameLength limits the names of instances and services, in bytes.
	maxNameLength = 128
)

var errTooManyInstances = errors.Errorf("this host has reached its limit of %d instances", maxInstances)

var errInvalidName = errors.Errorf("instance name: must be 1 to %d bytes long", maxNameLength)

// isValidName reports whether an instance may have the name.
func isValidName(name string) bool { return name != "" && len(name) <= maxNameLength }

// Announcement is the body by which an instance registers and refreshes itself
// periodically.
type Announcement struct {
	Service string `json:"service"`
	// Address is where the instance serves HTTP, as IP:port.
	Address string `json:"address"`
	// DC is the instance's data centre. It is not used: the instance is in that of this
	// host.
	DC string `json:"dc,omitempty"`
	// Slots is the number of requests the instance runs concurrently.
	Slots int `json:"slots"`
	// Connections is the number of connections it accepts; 0 derives it from the
	// slots.
	Connections int    `json:"connections,omitempty"`
	Version     string `json:"version"`
	// Leaving reports that the instance wants no new requests, as does the state
	// "draining".
	Leaving bool `json:"leaving,omitempty"`
	// State is "ready", "draining" or empty, which means ready.
	State string `json:"state,omitempty"`
	// Sequence increases with each announcement, so that a delayed one can be
	// recognised; 0 if the instance does not count.
	Sequence uint64 `json:"sequence,omitempty"`
	// StartedMS is the start time of the instance in Unix milliseconds of its own clock,
	// by which a restart under the same name is recognised; 0 if not given.
	StartedMS int64 `json:"born,omitempty"`
	// WarmUpLeftMS is the remaining warm-up time in milliseconds, during which the
	// instance is slower than usual; nil if not given.
	WarmUpLeftMS *int64 `json:"warmupLeftMS,omitempty"`
}

// Values of Announcement.State.
const (
	stateReady    = "ready"
	stateDraining = "draining"
)

// isLeaving reports whether the instance wants no new requests.
func (a *Announcement) isLeaving() bool { return a.Leaving || a.State == stateDraining }

// stamp returns the part of the announcement that orders the announcements of the instance.
func (a *Announcement) stamp() announce.Stamp {
	return announce.Stamp{StartedMS: a.StartedMS, Sequence: a.Sequence}
}

// connections returns the number of connections the instance accepts: the announced
// one, or enough for its slots plus connections that are being closed or opened.
func (a *Announcement) connections() int {
	if a.Connections > 0 {
		return a.Connections
	}
	return 2 * a.Slots
}

// Announce applies an announcement. One that is older than the known state changes
// nothing. After it returns, an instance that is leaving gets no new requests.
func (g *Guard) Announce(now time.Time, name string, a Announcement) error {
	err := a.validate(name)
	if err == nil && g.cfg.StrictAnnouncements {
		err = a.checkComplete()
	}
	if err != nil {
		return err
	}
	inst, created, err := g.register(now, name, a)
	if err != nil || inst == nil {
		return err
	}
	if created {
		event.Log(g.log, event.InstanceAnnounced, slog.String("instance", name),
			slog.String("service", a.Service), slog.String("address", a.Address), slog.Int("slots", a.Slots), slog.Uint64("sequence", a.Sequence))
	}
	wasLeaving := inst.isLeaving()
	if inst.refresh(now, a) || created {
		g.onChanged()
	}
	if (wasLeaving || created) && !a.isLeaving() {
		g.onRevoked(name)
	}
	return nil
}

// register finds or creates the instance for an announcement. The instance is nil if the
// announcement has no effect.
func (g *Guard) register(now time.Time, name string, a Announcement) (inst *instance, created bool, err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	inst, known := g.instances[name]
	if !known && len(g.instances) >= maxInstances {
		return nil, false, errTooManyInstances
	}
	sameService := known && inst.service == a.Service
	if !sameService && g.presetsComplete && !g.serviceInForce(a.Service) {
		if a.isLeaving() {
			return nil, false, nil // no requests reach it here, as it asks
		}
		return nil, false, errors.Errorf("service: no Service record in force is named %q; use the name of an existing one", a.Service)
	}
	if known && !sameService && g.announcements.IsCurrentStart(now, name, a.StartedMS) {
		return nil, false, errors.Errorf("service: %q runs as an instance of %q; a service changes only with a new start, under another name or with another born", name, inst.service)
	}
	outcome := g.announcements.Apply(now, name, a.Address, a.stamp())
	switch {
	case outcome.Unnumbered:
		return nil, false, errors.New("sequence: missing, although earlier announcements of this instance have one; number all of them or none")
	case outcome.Contested && a.isLeaving() && known:
		// Whichever start is running, no request may reach the one that leaves. The next
		// announcement of the other one ends this.
		return inst, false, nil
	case !outcome.Accepted:
		return nil, false, nil
	}
	if outcome.Replaces != "" {
		g.remove(outcome.Replaces, "replaced by "+name)
	}
	switch {
	case !known:
	case outcome.Restarted:
		g.remove(name, "instance restarted")
		inst.abortRun()
	case inst.service == a.Service && inst.address == a.Address:
		return inst, false, nil
	default:
		inst.close()
	}
	sameStart := known && !outcome.Restarted
	previous := inst
	inst = newInstance(g, name, a, now)
	if sameStart && previous.statedLeaving() {
		inst.markLeavingStated()
	}
	if g.draining {
		inst.drain()
	}
	g.instances[name] = inst
	return inst, true, nil
}

// validate returns an error for the first invalid field of an announcement, which names
// the accepted values.
func (a *Announcement) validate(name string) error {
	switch {
	case !isValidName(name):
		return errInvalidName
	case a.Service == "" || len(a.Service) > maxNameLength:
		return errors.Errorf("service: must be the name of a Service record, 1 to %d bytes long", maxNameLength)
	case a.Slots < 1 || a.Slots > maxSlots:
		return errors.Errorf("slots: %d is out of range; must be 1 to %d", a.Slots, maxSlots)
	case a.Connections < 0 || a.Connections > maxConnections:
		return errors.Errorf("connections: %d is out of range; must be 1 to %d, or omitted", a.Connections, maxConnections)
	case a.State != "" && a.State != stateReady && a.State != stateDraining:
		return errors.Errorf("state: unknown value %q; must be %q or %q", a.State, stateReady, stateDraining)
	case a.StartedMS < 0:
		return errors.Errorf("born: %d is out of range; must be the start time in Unix milliseconds, or omitted", a.StartedMS)
	case a.WarmUpLeftMS != nil && *a.WarmUpLeftMS < 0:
		return errors.Errorf("warmupLeftMS: %d is out of range; must be 0 or more", *a.WarmUpLeftMS)
	}
	host, _, err := net.SplitHostPort(a.Address)
	if err != nil || net.ParseIP(host) == nil {
		return errors.Errorf("address: %q is not IP:port; must be where the instance serves HTTP", a.Address)
	}
	return nil
}

// checkComplete returns an error for a missing field that every instance of a deployment with
// Config.StrictAnnouncements sends.
func (a *Announcement) checkComplete() error {
	const remedy = "announcements must have state and sequence here, see [guard] strict_announcements"
	switch {
	case a.State == "":
		return errors.New("state: missing; " + remedy)
	case a.Sequence == 0:
		return errors.New("sequence: missing; " + remedy)
	}
	return nil
}

// Withdraw removes an instance at its own request. startedMS is the start time of the
// instance as in its announcements, 0 if not given: a delayed request from an earlier
// start removes nothing. Withdraw returns the departure to record.
func (g *Guard) Withdraw(now time.Time, name string, startedMS int64) announce.Departure {
	departure := announce.Departure{Instance: name, Stamp: announce.Stamp{StartedMS: startedMS}, Gone: true, At: now}
	g.mu.Lock()
	inst, known := g.instances[name]
	switch {
	case g.announcements.Leave(now, name, startedMS):
		g.remove(name, "withdrawn")
		departure.Stamp = g.announcements.Latest(name)
	case known && g.announcements.Contests(name, startedMS):
		inst.beginLeaving()
	}
	g.mu.Unlock()
	g.onChanged()
	return departure
}

// removeMisdirected removes an instance at whose address another instance responds.
func (g *Guard) removeMisdirected(name string) {
	g.mu.Lock()
	g.announcements.MarkMisdirected(name)
	g.remove(name, "address answered by another instance")
	g.mu.Unlock()
	g.onChanged()
}

// AnnounceReply is the response to an announcement.
type AnnounceReply struct {
	// ExpiryMS is the time within which the next announcement must arrive.
	ExpiryMS int64 `json:"expiryMS"`
	// Draining reports that this host accepts no new requests.
	Draining bool `json:"draining"`
}

// withdrawal is the optional body of a DELETE request.
type withdrawal struct {
	// StartedMS is as in Announcement.
	StartedMS int64 `json:"born"`
}

// AnnounceHandler serves the HTTP interface for instances on this host: PUT
// /v1/instances/NAME with an Announcement, repeated periodically, and DELETE. A body
// that cannot be parsed or is invalid is refused and changes nothing.
func (g *Guard) AnnounceHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("PUT /v1/instances/{name}", g.putInstance)
	mux.HandleFunc("DELETE /v1/instances/{name}", g.deleteInstance)
	return mux
}

func (g *Guard) putInstance(w http.ResponseWriter, r *http.Request) {
	name := r.PathValue("name")
	var a Announcement
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxAnnouncementBytes)).Decode(&a)
	now := time.Now()
	if err == nil {
		g.awaitDepartures(r.Context(), name, a)
		err = g.Announce(time.Now(), name, a)
	}
	if err != nil {
		g.refuseAnnouncement(w, name, err)
		return
	}
	// A departure without a sequence number is not recorded: a later process could not tell it
	// from an older one, and would refuse an instance that is ready again.
	if a.isLeaving() && a.Sequence > 0 && !g.acknowledgeDeparture(w, r, announce.Departure{Instance: name, Stamp: a.stamp(), At: now}) {
		return
	}
	w.Header().Set("Content-Type", "application/json")
	reply := AnnounceReply{ExpiryMS: g.limits.Load().AnnounceExpiry.Milliseconds(), Draining: g.Draining()}
	_ = json.NewEncoder(w).Encode(reply)
}

func (g *Guard) deleteInstance(w http.ResponseWriter, r *http.Request) {
	name := r.PathValue("name")
	var body withdrawal
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxAnnouncementBytes)).Decode(&body)
	if !isValidName(name) {
		err = errInvalidName
	}
	if err != nil && !errors.Is(err, io.EOF) {
		g.refuseAnnouncement(w, name, err)
		return
	}
	if !g.acknowledgeDeparture(w, r, g.Withdraw(time.Now(), name, body.StartedMS)) {
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// refuseAnnouncement reports the error to the sender and logs it.
func (g *Guard) refuseAnnouncement(w http.ResponseWriter, name string, err error) {
	http.Error(w, err.Error(), http.StatusBadRequest)
	suppressed, ok := g.announceLogLimiter.Allow(time.Now())
	if !ok {
		return
	}
	event.Log(g.log, event.AnnounceRefused, slog.String("instance", name), slog.String("cause", err.Error()),
		slog.Uint64("linesLeftOut", suppressed))
}
