// Package directory provides the view of routes, teams, services and instances by which a
// front matches requests and chooses targets. It is compiled from the record set and the
// hosts' announcements. A Directory is immutable; each change creates a new one that
// replaces it.
package directory

import (
	"sort"
	"time"

	"github.com/radishhoist/radishhoist/internal/core/detect"
	"github.com/radishhoist/radishhoist/internal/core/route"
	"github.com/radishhoist/radishhoist/internal/core/team"
	"github.com/radishhoist/radishhoist/record"
)

// InstanceState is the state of an instance as announced by its guard.
type InstanceState uint8

const (
	// Serving instances accept new requests.
	Serving InstanceState = iota
	// Leaving instances finish their requests and accept no new ones.
	Leaving
	// Finishing instances accept only short idempotent requests: their host is shutting down
	// and waits for earlier requests. Hosts that do not know this state take it as Leaving.
	Finishing
)

// Instance is a running instance of a service, as announced by its guard.
type Instance struct {
	Name            string
	Service         string
	Slots           int
	MaxConns        int
	SoftwareVersion string
	State           InstanceState
	Health          detect.Health
	// Evidence is the evidence against a suspect, in hundredths of a nat. It ranks
	// suspects.
	Evidence uint32
	// StartedMS is when the instance was first announced, in Unix milliseconds by the
	// clock of its guard.
	StartedMS int64
	// WarmUpLeft is the remaining warm-up time at the time of the announcement.
	WarmUpLeft time.Duration
	// WarmUpEnd is when the warm-up ends, by the clock of this process.
	WarmUpEnd time.Time
}

// Host is one host, with what it announced and its membership state.
type Host struct {
	Name        string
	DC          string
	PeerAddr    string
	AdminAddr   string
	Incarnation uint64
	// Alive is false once membership considers the host dead or the host has left.
	Alive bool
	// Suspected reports whether membership suspects the host and waits for it to refute
	// that.
	Suspected bool
	// Leaving reports whether the host is draining.
	Leaving   bool
	Instances []Instance
}

// Target is one instance with the host it runs on.
type Target struct {
	*Instance
	Host *Host
}

// Usable reports whether the target may get new requests, according to membership and
// announcements.
func (t *Target) Usable() bool {
	return t.Host.Alive && !t.Host.Leaving && t.State == Serving
}

// UsableForShort reports whether the target may get new short idempotent requests although it
// is not Usable.
func (t *Target) UsableForShort() bool { return t.Host.Alive && t.State == Finishing }

// Service is one service with its targets, sorted by name.
type Service struct {
	Name    string
	Version int64
	Record  *record.Service
	Targets []*Target
	// Hosts is the number of live hosts that run its targets.
	Hosts int
}

// Directory is the view of one process at one time.
type Directory struct {
	Routes   *route.Table
	Services map[string]*Service
	Teams    map[string]*record.Team
	// TeamKeys maps API keys to teams. RequireKeys reports whether callers must present
	// one.
	TeamKeys     *team.Index
	RequireKeys  bool
	Hosts        map[string]*Host
	PlannedStops []*record.Stop
	// ShardMaps holds the shard maps by service.
	ShardMaps map[string]*ShardMap
	// Limits holds the limits on callers' requests and connections, if a Configuration
	// sets any.
	Limits record.Limits
	// Configurations holds the versions of the Configuration records, by name.
	Configurations map[string]int64
	// Complete reports whether the record set is complete, so that traffic may be served.
	Complete bool
}

// ShardMap is a shard map with the version of its record.
type ShardMap struct {
	Version int64
	*record.ShardMap
}

// DefaultWarmUp is the time in which a new instance reaches its full share of requests if
// it does not announce a warm-up time.
const DefaultWarmUp = 10 * time.Second

// Build returns the Directory for compiled records and the announced hosts.
func Build(records *Records, hosts []*Host) *Directory {
	d := &Directory{
		Routes: records.routes, Teams: records.teams, TeamKeys: records.teamKeys, RequireKeys: records.requireKeys, PlannedStops: records.plannedStops, ShardMaps: records.shardMaps,
		Services: make(map[string]*Service, len(records.services)),
		Hosts:    make(map[string]*Host, len(hosts)),
		Complete: records.complete,
		Limits:   records.limits,

		Configurations: records.configurations,
	}
	for _, s := range records.services {
		copied := *s
		d.Services[s.Name] = &copied
	}
	for _, h := range hosts {
		d.Hosts[h.Name] = h
		d.addTargets(h)
	}
	for _, s := range d.Services {
		sort.Slice(s.Targets, func(i, j int) bool { return s.Targets[i].Name < s.Targets[j].Name })
	}
	return d
}

// addTargets adds the host's instances to the services in the records.
func (d *Directory) addTargets(h *Host) {
	for i := range h.Instances {
		inst := &h.Instances[i]
		s, ok := d.Services[inst.Service]
		if !ok {
			continue
		}
		if h.Alive && (len(s.Targets) == 0 || s.Targets[len(s.Targets)-1].Host != h) {
			s.Hosts++
		}
		s.Targets = append(s.Targets, &Target{Instance: inst, Host: h})
	}
}

// PlannedStop returns a planned stop that covers an instance of a host, or nil if there is
// none. For an empty instance it returns only a stop of the whole host.
func (d *Directory) PlannedStop(host, instance string) *record.Stop {
	for _, s := range d.PlannedStops {
		if s.Host == host && (s.Instance == "" || s.Instance == instance) {
			return s
		}
	}
	return nil
}
