// Package state defines the paths and response types of a daemon's admin endpoints,
// shared by the daemon and the command line.
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

// Dump is the full state of one process, served at StatePath.
type Dump struct {
	Host      string                `json:"host"`
	DC        string                `json:"dc"`
	Started   string                `json:"started"`
	Phase     string                `json:"phase"`
	Waiting   []string              `json:"waitingFor"`
	Instances []guard.InstanceState `json:"instances"`
	// Suspects are the requests suspected of crashing the instances that run them.
	Suspects []guard.SuspectState  `json:"suspects"`
	Services []front.ServiceStatus `json:"services"`
	// Teams are the teams with a rate limit that this host knows.
	Teams   []teams.State          `json:"teams"`
	Paths   []front.PathState      `json:"paths"`
	Control control.State          `json:"control"`
	Peers   peer.Stats             `json:"peers"`
	Shards  []once.OwnedShardState `json:"shards"`
}

// Status summarizes what is in force and why (services, records and load) as seen by one
// host, served at StatusPath.
type Status struct {
	Host     string                `json:"host"`
	DC       string                `json:"dc"`
	PID      int                   `json:"pid"`
	Phase    string                `json:"phase"`
	Services []front.ServiceStatus `json:"services"`
	Control  control.State         `json:"control"`
	// Running counts the requests that this host's instances are executing.
	Running int `json:"running"`
	Queued  int `json:"queued"`
}

// Ready reports whether the process accepts traffic and, if not, what it waits for. It
// is served at ReadyPath.
type Ready struct {
	Ready   bool     `json:"ready"`
	Waiting []string `json:"waitingFor,omitempty"`
}
