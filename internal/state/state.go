// Package state defines the paths and response types of a daemon's admin endpoints, for
// the daemon and the command-line tools.
package state

import (
	"github.com/radishhoist/radishhoist/internal/control"
	"github.com/radishhoist/radishhoist/internal/core/once"
	"github.com/radishhoist/radishhoist/internal/front"
	"github.com/radishhoist/radishhoist/internal/guard"
	"github.com/radishhoist/radishhoist/internal/peer"
	"github.com/radishhoist/radishhoist/internal/teams"
)

// Paths of the admin endpoints.
const (
	StatePath   = "/v1/state"
	StatusPath  = "/v1/status"
	ExplainPath = "/v1/explain"
	ReadyPath   = "/ready"
	MetricsPath = "/metrics"
)

// Dump is the full state of one process. It is served at StatePath.
type Dump struct {
	Host string `json:"host"`
	DC   string `json:"dc"`
	// Started is the start time of the process, in RFC 3339 format.
	Started string `json:"started"`
	// Phase is the life-cycle phase: starting, serving, planned stop or shutting down.
	Phase string `json:"phase"`
	// NotReadyReasons lists why the process does not accept traffic; empty if it does.
	NotReadyReasons []string              `json:"waitingFor"`
	Instances       []guard.InstanceState `json:"instances"`
	// Suspects are the requests suspected of crashing the instances that run them.
	Suspects []guard.SuspectState  `json:"suspects"`
	Services []front.ServiceStatus `json:"services"`
	// Teams are the teams with a rate limit, with their usage as seen by this host.
	Teams []teams.State `json:"teams"`
	// TeamShares are the shares of teams in the slots of the services that run here.
	TeamShares []guard.TeamShare `json:"teamShares,omitempty"`
	// Paths are the network paths to the hosts of targets.
	Paths   []front.PathState `json:"paths"`
	Control control.State     `json:"control"`
	Peers   peer.Stats        `json:"peers"`
	// Memory is what the connections of callers hold.
	Memory front.MemoryState `json:"memory"`
	// Shards are the key shards that this host owns.
	Shards []once.OwnedShardState `json:"shards"`
}

// Status summarizes the services, the active records and the load as seen by one host. It
// is served at StatusPath.
type Status struct {
	Host     string                `json:"host"`
	DC       string                `json:"dc"`
	PID      int                   `json:"pid"`
	Phase    string                `json:"phase"`
	Services []front.ServiceStatus `json:"services"`
	Control  control.State         `json:"control"`
	// Running counts the requests that this host's instances are executing.
	Running int `json:"running"`
	// Queued counts the requests in the queues of this host's instances.
	Queued int `json:"queued"`
}

// Ready reports whether the process accepts traffic and, if not, why. It is served at
// ReadyPath.
type Ready struct {
	Ready           bool     `json:"ready"`
	NotReadyReasons []string `json:"waitingFor,omitempty"`
}
