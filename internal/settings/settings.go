// Package settings reads and checks the daemon's INI file.
//
// Every key is one row of the table in keys.go with its unit, default, bound
// and meaning; the reference page and `radishhoistd -reference` come from the
// same table.
package settings

import (
	"fmt"
	"math"
	"net"
	"strings"
	"time"

	"github.com/pkg/errors"
	"gopkg.in/ini.v1"

	"github.com/radishhoist/radishhoist/record"
)

// Config is the whole of a daemon's settings.
type Config struct {
	// Host is this host's name, unique in the fleet.
	Host string
	// DC is the data centre.
	DC string
	// Service is the service whose target runs on this host; may be empty.
	Service string
	// Callers is where callers' HTTP requests come in, IP:port.
	Callers string
	// Peer is where other hosts reach this one by TCP and UDP, IP:port.
	Peer string
	// Announce is where targets announce themselves: a loopback IP:port, or one
	// with the IP of Callers or Peer.
	Announce string
	// Ready is where readiness alone is served, IP:port; empty for nowhere.
	Ready string
	// Admin is where operators read state and metrics, IP:port.
	Admin string
	// Platform is the base URL of the platform's object API.
	Platform string
	// Adapter names the platform's dialect, one of Adapters.
	Adapter string
	// Seeds are peer addresses to start from while the platform is away.
	Seeds []string
	// TeamAllowance and TeamOver are what a team may have beyond its limit in any
	// TeamWindow over all hosts: requests, and a part of what the limit allows.
	TeamAllowance, TeamOver float64
	TeamWindow              time.Duration
	// LogLevel is debug, info, warn or error.
	LogLevel string

	// MaxHeaderBytes bounds a caller's request header, in bytes.
	MaxHeaderBytes int
	// MaxBodyBytes bounds a caller's request body, in bytes.
	MaxBodyBytes int
	// BufferBodyBytes is how much of a request body is kept for a retry.
	BufferBodyBytes int
	// MaxConns bounds the callers' connections.
	MaxConns int
	// MemoryMB is the memory the process may use, in MB; 0 for no bound.
	MemoryMB int
	// MaxFDs is how many descriptors the process may hold; 0 for no bound.
	MaxFDs int
	// HeaderTimeout bounds the reading of a caller's request header.
	HeaderTimeout time.Duration
	// IdleTimeout closes idle callers' connections.
	IdleTimeout time.Duration

	// QueuePerSlot bounds the requests waiting at an instance, per slot.
	QueuePerSlot int
	// GrantLife is how long a reserved slot is held before run must come.
	GrantLife time.Duration
	// AnnounceExpiry is how long a target may go without announcing itself.
	AnnounceExpiry time.Duration
	// DrainTimeout bounds a graceful shutdown.
	DrainTimeout time.Duration
	// TargetIdle is how long an idle connection to a target is kept.
	TargetIdle time.Duration

	// ProbeInterval is the time between two membership probes.
	ProbeInterval time.Duration
	// ProbeTimeout is how long a direct probe may go unanswered.
	ProbeTimeout time.Duration
	// Suspicion is how long a suspected host may refute before it is dead.
	Suspicion time.Duration
	// RepairInterval is the time between two digests to a random peer.
	RepairInterval time.Duration
	// WatchersPerDC is how many hosts of a data centre watch the platform.
	WatchersPerDC int
	// LeaseDuration is how long a promise to a key owner lasts.
	LeaseDuration time.Duration
	// ApplyWithin is the time in which an acknowledged record is to be in force on
	// every host.
	ApplyWithin time.Duration
	// stepsWritten says that one of AwayMax, WatchWait and RepairInterval was written.
	stepsWritten bool
	// Warnings say what the settings cannot keep, for the log at the start.
	Warnings []string
	// AwayMax is the longest pause between calls to an absent platform.
	AwayMax time.Duration
	// WatchWait is how long the platform is asked to hold a watch open.
	WatchWait time.Duration
	// StatusInterval is the least time between two written summaries.
	StatusInterval time.Duration

	// RetryReserve is how many repeats a service may have in a RetryWindow
	// beyond its share of the requests, over all hosts.
	RetryReserve float64
	// RetryWindow is the span in which requests and repeats are counted.
	RetryWindow time.Duration

	// Preset, FloorShare and RetryShare describe services that the platform
	// names without a Service record.
	Preset     string
	FloorShare float64
	RetryShare float64
}

// Default gives every key's default; addresses have none.
func Default() *Config {
	c := written()
	c.deriveSteps()
	return c
}

// written gives the defaults of the keys that do not follow from others.
func written() *Config {
	c := &Config{}
	for _, k := range keys {
		if k.def != "" {
			if err := k.set(c, k.def); err != nil {
				panic(fmt.Sprintf("settings: default of %s: %v", k.name, err))
			}
		}
	}
	return c
}

// Load reads a file and reports every fault in it at once.
func Load(path string) (*Config, error) {
	file, err := ini.LoadSources(ini.LoadOptions{IgnoreInlineComment: true}, path)
	if err != nil {
		return nil, errors.Wrapf(err, "%s: cannot be read as INI", path)
	}
	return fromFile(path, file)
}

// Parse is Load for a text in memory; name stands for the file in errors.
func Parse(name string, text []byte) (*Config, error) {
	file, err := ini.LoadSources(ini.LoadOptions{IgnoreInlineComment: true}, text)
	if err != nil {
		return nil, errors.Wrapf(err, "%s: cannot be read as INI", name)
	}
	return fromFile(name, file)
}

func fromFile(path string, file *ini.File) (*Config, error) {
	c := written()
	var wrong []string
	wrong = append(wrong, unknownKeys(path, file)...)
	for _, k := range keys {
		section := file.Section(k.section)
		if !section.HasKey(k.name) {
			if k.required {
				wrong = append(wrong, fmt.Sprintf("%s: [%s] %s: is missing; write %s", path, k.section, k.name, k.remedy))
			}
			continue
		}
		value := section.Key(k.name).String()
		if err := k.set(c, value); err != nil {
			wrong = append(wrong, fmt.Sprintf("%s: [%s] %s: %v; write %s", path, k.section, k.name, err, k.remedy))
		}
	}
	if err := c.checkAnnounce(); err != nil {
		wrong = append(wrong, fmt.Sprintf("%s: [listen] announce: %v; write a loopback IP number and a port, for example 127.0.0.1:7700", path, err))
	}
	c.deriveSteps()
	if err := c.checkWay(); err != nil {
		wrong = append(wrong, fmt.Sprintf("%s: [control] apply_within: %s does not suffice: %v; make these shorter, leave them out, or write a longer apply_within", path, c.ApplyWithin, err))
	}
	if len(wrong) > 0 {
		return nil, errors.New(strings.Join(wrong, "\n"))
	}
	return c, nil
}

// checkAnnounce keeps announcements to this host: whoever announces a target
// gets its requests.
func (c *Config) checkAnnounce() error {
	host := ipOf(c.Announce)
	if host == "" || net.ParseIP(host).IsLoopback() || host == ipOf(c.Callers) || host == ipOf(c.Peer) {
		return nil
	}
	return errors.Errorf("%q is not a loopback IP number, nor this host's own as callers or peers use it", host)
}

func ipOf(addr string) string {
	host, _, err := net.SplitHostPort(addr)
	if err != nil {
		return ""
	}
	return host
}

// ServiceDefaults describes services that the platform names without a Service
// record.
func (c *Config) ServiceDefaults() record.Service {
	return record.Service{
		Office: "platform", Preset: c.Preset,
		Floor:        record.Floor{Percent: int(math.Round(c.FloorShare * 100))},
		RetryPercent: int(math.Floor(c.RetryShare * 100)),
	}
}

// ConnBound is how many callers' connections may be held: MaxConns, and at most
// half of the descriptors, as each request may need one towards a peer or a
// target.
func (c *Config) ConnBound() int {
	if c.MaxFDs == 0 {
		return c.MaxConns
	}
	return max(min(c.MaxConns, c.MaxFDs/2), 1)
}

func unknownKeys(path string, file *ini.File) []string {
	var wrong []string
	for _, section := range file.Sections() {
		for _, key := range section.Keys() {
			if _, ok := find(section.Name(), key.Name()); ok {
				continue
			}
			remedy := "remove it; `radishhoistd -reference` lists every key"
			if near, ok := nearest(key.Name()); ok {
				remedy = fmt.Sprintf("did you mean [%s] %s?", near.section, near.name)
			}
			wrong = append(wrong, fmt.Sprintf("%s: [%s] %s: is not a key; %s", path, section.Name(), key.Name(), remedy))
		}
	}
	return wrong
}

func find(section, name string) (key, bool) {
	for _, k := range keys {
		if k.section == section && k.name == name {
			return k, true
		}
	}
	return key{}, false
}

// nearest finds a key of the same name elsewhere, or one that shares a prefix.
func nearest(name string) (key, bool) {
	const prefix = 4
	name = strings.ToLower(name)
	for _, k := range keys {
		if k.name == name {
			return k, true
		}
	}
	for _, k := range keys {
		if len(name) >= prefix && strings.HasPrefix(k.name, name[:prefix]) {
			return k, true
		}
	}
	return key{}, false
}
