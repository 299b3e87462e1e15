// Package settings loads and validates the daemon's INI file.
//
// Every key is one row of the table in keys.go with its unit, default, bound and
// meaning. The reference page and `radishhoistd -reference` are generated from that
// table.
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

// Config holds all settings of a daemon.
type Config struct {
	// Host is this host's name, unique in the fleet.
	Host string
	// DC is the name of this host's data centre.
	DC string
	// Service is the service whose target runs on this host; it may be empty.
	Service string
	// Callers is the listen address for callers' HTTP requests, IP:port.
	Callers string
	// Peer is the address at which other hosts reach this one by TCP and UDP, IP:port.
	Peer string
	// Announce is the listen address for announcements of targets: a loopback IP:port,
	// or one with the IP of Callers or Peer.
	Announce string
	// Ready is the listen address that serves only readiness, IP:port; empty for none.
	Ready string
	// Admin is the listen address for state, metrics and readiness, IP:port.
	Admin string
	// Platform is the base URL of the platform's object API.
	Platform string
	// Adapter is the name of the platform adapter, one of Adapters.
	Adapter string
	// Seeds are peer addresses to join through if the platform is unavailable at start.
	Seeds []string
	// TeamAllowance and TeamAllowanceFraction are how far a team may exceed its limit in
	// any TeamWindow over all hosts: a number of requests plus a fraction of the limit.
	TeamAllowance, TeamAllowanceFraction float64
	TeamWindow                           time.Duration
	// LogLevel is debug, info, warn or error.
	LogLevel string

	// MaxHeaderBytes is the largest request header from a caller, in bytes.
	MaxHeaderBytes int
	// MaxBodyBytes is the largest request body from a caller, in bytes.
	MaxBodyBytes int
	// BufferBodyBytes is the largest request body that is buffered for retries, in bytes.
	BufferBodyBytes int
	// MaxConns is the maximum number of connections from callers.
	MaxConns int
	// MemoryMB is the memory the process may use, in MB; 0 means no limit.
	MemoryMB int
	// RequestMemoryMB is the memory that requests and responses of callers may hold, in MB; 0
	// means requestMemoryFraction of MemoryMB.
	RequestMemoryMB int
	// MaxFDs is the number of file descriptors the process may use; 0 means no limit.
	MaxFDs int
	// HeaderTimeout is the time a caller has to send a request header.
	HeaderTimeout time.Duration
	// IdleTimeout is how long an idle connection from a caller is kept.
	IdleTimeout time.Duration

	// QueuePerSlot is the maximum number of requests queued at an instance, per slot.
	QueuePerSlot int
	// GrantTTL is how long a reserved slot is held for the request to run in it.
	GrantTTL time.Duration
	// StrictAnnouncements refuses announcements of targets without state or sequence.
	StrictAnnouncements bool
	// AnnounceExpiry is how long after its last announcement a target counts as gone.
	AnnounceExpiry time.Duration
	// DrainTimeout is the time from the stop signal until the process is killed, in which
	// the daemon has to finish its requests and exit.
	DrainTimeout time.Duration
	// TargetIdleTimeout is how long an idle connection to a target is kept.
	TargetIdleTimeout time.Duration

	// ProbeInterval is the time between two membership probes.
	ProbeInterval time.Duration
	// ProbeTimeout is how long to wait for the response to a direct probe.
	ProbeTimeout time.Duration
	// SuspicionTimeout is how long a suspected host has to refute before it is declared dead.
	SuspicionTimeout time.Duration
	// RepairInterval is the mean time between digests of the record set that are sent to
	// a random peer.
	RepairInterval time.Duration
	// WatchersPerDC is how many hosts of a data centre watch the platform.
	WatchersPerDC int
	// LeaseDuration is how long a guard's lease of a key shard to its owner lasts.
	LeaseDuration time.Duration
	// ApplyWithin is the time within which an acknowledged record must be in force on
	// every host.
	ApplyWithin time.Duration
	// timingsConfigured is set if MaxRetryInterval, WatchWait or RepairInterval is in the file.
	timingsConfigured bool
	// Warnings lists problems that do not keep the daemon from starting.
	Warnings []string
	// MaxRetryInterval is the longest pause between calls to a platform that does not respond.
	MaxRetryInterval time.Duration
	// WatchWait is how long the platform is asked to hold a watch request open.
	WatchWait time.Duration
	// StatusInterval is the minimum time between two Status records of a data centre.
	StatusInterval time.Duration

	// RetryReserve is the number of retries that a service may make in a RetryWindow
	// beyond the percentage of its requests that its retry budget allows, over all hosts.
	RetryReserve float64
	// RetryWindow is the window in which requests and retries are counted.
	RetryWindow time.Duration

	// Preset, FloorShare and RetryShare apply to services that the platform names
	// without a Service record. Preset selects the failure-detection parameters.
	// FloorShare is the fraction of the capacity that ejection leaves in use, and
	// RetryShare the number of retries allowed per request.
	Preset     string
	FloorShare float64
	RetryShare float64

	// Terms are the terms that the platform states to be in force, as it names them.
	Terms []string
	// Areas maps each data centre to its area. Traffic between areas is slow and expensive.
	Areas map[string]string
	// AreaLinkMbps is the capacity of the link between areas each way, in Mbit/s; 0 means
	// that it is not known.
	AreaLinkMbps int
	// PipelineDepth is the maximum number of requests of one caller's connection that are
	// handled at the same time.
	PipelineDepth int
	// LearnConcurrency limits the running requests of an instance to those with the best goodput.
	LearnConcurrency bool
	// FairShares divides the slots of a service among teams by weight, over all hosts.
	// LearnRefusals judges instances that refuse requests by comparison with their service,
	// and saves retry budget.
	FairShares, LearnRefusals bool

	fairShares, learnRefusals toggle
}

// Default returns the default settings. Required keys such as addresses are empty.
func Default() *Config {
	c := staticDefaults()
	c.deriveTimings()
	c.resolveToggles()
	return c
}

// staticDefaults returns the defaults of all keys whose default is not derived.
func staticDefaults() *Config {
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

// Load reads a settings file. Its error lists every problem in the file.
func Load(path string) (*Config, error) {
	file, err := ini.LoadSources(ini.LoadOptions{IgnoreInlineComment: true}, path)
	if err != nil {
		return nil, errors.Wrapf(err, "%s: cannot be read as INI", path)
	}
	return fromFile(path, file)
}

// Parse is like Load for a text in memory; name is the file name in errors.
func Parse(name string, text []byte) (*Config, error) {
	file, err := ini.LoadSources(ini.LoadOptions{IgnoreInlineComment: true}, text)
	if err != nil {
		return nil, errors.Wrapf(err, "%s: cannot be read as INI", name)
	}
	return fromFile(name, file)
}

func fromFile(path string, file *ini.File) (*Config, error) {
	c := staticDefaults()
	var problems []string
	problems = append(problems, unknownKeys(path, file)...)
	for _, k := range keys {
		section := file.Section(k.section)
		if !section.HasKey(k.name) {
			if k.required {
				problems = append(problems, fmt.Sprintf("%s: [%s] %s: is missing; expected %s", path, k.section, k.name, k.expected))
			}
			continue
		}
		value := section.Key(k.name).String()
		if err := k.set(c, value); err != nil {
			problems = append(problems, fmt.Sprintf("%s: [%s] %s: %v; expected %s", path, k.section, k.name, err, k.expected))
		}
	}
	if err := c.checkAnnounce(); err != nil {
		problems = append(problems, fmt.Sprintf("%s: [listen] announce: %v; expected a loopback IP address and a port, for example 127.0.0.1:7700", path, err))
	}
	c.deriveTimings()
	c.resolveToggles()
	if err := c.checkPropagationDelay(); err != nil {
		problems = append(problems, fmt.Sprintf("%s: [control] apply_within: %s is too short: %v; shorten or remove these keys, or set a longer apply_within", path, c.ApplyWithin, err))
	}
	if len(problems) > 0 {
		return nil, errors.New(strings.Join(problems, "\n"))
	}
	return c, nil
}

// checkAnnounce restricts the announce address to loopback or an IP of this host, because
// a process that announces a target receives the target's requests.
func (c *Config) checkAnnounce() error {
	host := ipOf(c.Announce)
	if host == "" || net.ParseIP(host).IsLoopback() || host == ipOf(c.Callers) || host == ipOf(c.Peer) {
		return nil
	}
	return errors.Errorf("%q is neither a loopback address nor the IP address of callers or peer", host)
}

func ipOf(addr string) string {
	host, _, err := net.SplitHostPort(addr)
	if err != nil {
		return ""
	}
	return host
}

// ServiceDefaults returns the settings of services that the platform names without a
// Service record.
func (c *Config) ServiceDefaults() record.Service {
	return record.Service{
		Office: "platform", Preset: c.Preset,
		Floor:        record.Floor{Percent: int(math.Round(c.FloorShare * 100))},
		RetryPercent: int(math.Floor(c.RetryShare * 100)),
	}
}

const (
	// connsPerMB bounds the connections from callers by the memory: each needs some 25 KB, and
	// the kernel holds up to 64 KB of what its caller sends while the process does not read.
	connsPerMB = 3
	// requestMemoryFraction is the fraction of the memory that requests and responses of
	// callers may hold. The rest is for the process itself, for connections and for what the
	// garbage collector has not collected yet.
	requestMemoryFraction = 0.2
)

// ConnBound returns the maximum number of connections from callers: MaxConns, but at
// most half of MaxFDs, because each request may need another connection to a peer or a
// target, and at most connsPerMB for each MB of memory.
func (c *Config) ConnBound() int {
	bound := c.MaxConns
	if c.MaxFDs > 0 {
		bound = min(bound, c.MaxFDs/2)
	}
	if c.MemoryMB > 0 {
		bound = min(bound, connsPerMB*c.MemoryMB)
	}
	return max(bound, 1)
}

const (
	// auxiliaryConnShare divides MaxFDs: the connections to one address other than that for
	// callers may use that part.
	auxiliaryConnShare = 16
	// defaultAuxiliaryConns and minAuxiliaryConns are their number without MaxFDs, and the
	// least with it.
	defaultAuxiliaryConns = 512
	minAuxiliaryConns     = 16
)

// AuxiliaryConnBound returns the maximum number of connections to each address for
// announcements, readiness and operators.
func (c *Config) AuxiliaryConnBound() int {
	if c.MaxFDs == 0 {
		return defaultAuxiliaryConns
	}
	return max(c.MaxFDs/auxiliaryConnShare, minAuxiliaryConns)
}

// UnidentifiedPeerBound returns the maximum number of connections of other hosts that have not
// said who they are. When many hosts start, many of them connect at the same time.
func (c *Config) UnidentifiedPeerBound() int { return 2 * c.AuxiliaryConnBound() }

// RequestMemoryBytes returns what requests and responses of callers may hold; 0 means no limit.
func (c *Config) RequestMemoryBytes() int64 {
	if c.RequestMemoryMB > 0 {
		return int64(c.RequestMemoryMB) << 20
	}
	return int64(requestMemoryFraction * float64(c.MemoryMB<<20))
}

func unknownKeys(path string, file *ini.File) []string {
	var problems []string
	for _, section := range file.Sections() {
		for _, key := range section.Keys() {
			if _, ok := findKey(section.Name(), key.Name()); ok {
				continue
			}
			remedy := "remove it; `radishhoistd -reference` lists every key"
			if suggested, ok := suggestKey(key.Name()); ok {
				remedy = fmt.Sprintf("did you mean [%s] %s?", suggested.section, suggested.name)
			}
			problems = append(problems, fmt.Sprintf("%s: [%s] %s: is not a settings key; %s", path, section.Name(), key.Name(), remedy))
		}
	}
	return problems
}

func findKey(section, name string) (key, bool) {
	for _, k := range keys {
		if k.section == section && k.name == name {
			return k, true
		}
	}
	return key{}, false
}

// suggestKey returns a key of the same name in another section, or else one that shares
// a prefix.
func suggestKey(name string) (key, bool) {
	const prefixLen = 4
	name = strings.ToLower(name)
	for _, k := range keys {
		if k.name == name {
			return k, true
		}
	}
	for _, k := range keys {
		if len(name) >= prefixLen && strings.HasPrefix(k.name, name[:prefixLen]) {
			return k, true
		}
	}
	return key{}, false
}
