// Package directory is what a front works from: routes, teams, services and
// their instances, compiled from the record set and the hosts' announcements.
// A Directory is immutable; a change builds a new one that replaces the old.
package directory

import (
	"sort"
	"time"

	"github.com/radishhoist/radishhoist/internal/core/detect"
	"github.com/radishhoist/radishhoist/internal/core/route"
	"github.com/radishhoist/radishhoist/internal/core/team"
	"github.com/radishhoist/radishhoist/record"
)

// InstanceState is what an instance's guard says of it.
type InstanceState uint8

const (
	// Serving takes new work.
	Serving InstanceState = iota
	// Leaving finishes what it has and takes nothing new.
	Leaving
)

// Instance is one running copy of a target, as its guard announces it.
type Instance struct {
	Name    string
	Service string
	Slots   int
	Conns   int
	Version string
	State   InstanceState
	Health  detect.Health
	// Evidence ranks suspects, in hundredths of a nat.
	Evidence uint32
	// StartedMS is when the instance was first announced, in Unix milliseconds
	// of its guard.
	StartedMS int64
	// WarmUpLeft is how much longer the instance is slow after its start, at the
	// moment of the announcement.
	WarmUpLeft time.Duration
	// WarmUpEnd is when it is warm, on this process's clock.
	WarmUpEnd time.Time
}

// Host is one host, as it announces itself and as membership sees it.
type Host struct {
	Name        string
	DC          string
	Peer        string
	Admin       string
	Incarnation uint64
	// Alive is false once membership holds the host for dead or gone.
	Alive bool
	// Suspected says that membership waits for the host to refute.
	Suspected bool
	// Leaving says the host drains.
	Leaving   bool
	Instances []Instance
}

// Target is one instance with the host it runs on.
type Target struct {
	*Instance
	Host *Host
}

// Usable says the target may take new work as far as announcements go.
func (t *Target) Usable() bool {
	return t.Host.Alive && !t.Host.Leaving && t.State == Serving
}

// Service is one service with its targets in order of name.
type Service struct {
	Name    string
	Version int64
	Record  *record.Service
	Targets []*Target
	// Hosts counts the hosts that run its targets and are alive.
	Hosts int
}

// Directory is the whole view.
type Directory struct {
	Routes   *route.Table
	Services map[string]*Service
	Teams    map[string]*record.Team
	// Keys finds the team of a caller's key, and RequireKeys says that callers show one.
	Keys        *team.Index
	RequireKeys bool
	Hosts       map[string]*Host
	Stops       []*record.Stop
	// Maps are the shard maps by service.
	Maps map[string]*ShardMap
	// Limits bounds what callers may send, where a Configuration says so.
	Limits record.Limits
	// Configurations are the versions of the Configuration records in force,
	// by name.
	Configurations map[string]int64
	// Whole says the record set is complete, so that traffic may be served.
	Whole bool
}

// ShardMap is a shard map with its version.
type ShardMap struct {
	Version int64
	*record.ShardMap
}

// DefaultWarmUp is how long a new instance takes to reach its full share where it says
// nothing of its warm-up itself.
const DefaultWarmUp = 10 * time.Second

// Build compiles hosts into an earlier compilation of the records.
func Build(records *Records, hosts []*Host) *Directory {
	d := &Directory{
		Routes: records.routes, Teams: records.teams, Keys: records.keys, RequireKeys: records.requireKeys, Stops: records.stops, Maps: records.maps,
		Services: make(map[string]*Service, len(records.services)),
		Hosts:    make(map[string]*Host, len(hosts)),
		Whole:    records.whole,
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

// PlannedStop finds a planned stop that covers an instance of a host; instance
// "" asks for the host as a whole.
func (d *Directory) PlannedStop(host, instance string) *record.Stop {
	for _, s := range d.Stops {
		if s.Host == host && (s.Instance == "" || s.Instance == instance) {
			return s
		}
	}
	return nil
}
