package settings

import (
	"fmt"
	"net"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/radishhoist/radishhoist/record"
)

// key is one settings key, a row of the settings reference.
type key struct {
	section, name string
	def           string
	required      bool
	// unit and bound (the allowed values) are shown in the reference.
	unit, bound string
	doc         string
	// expected describes a valid value, for error messages.
	expected string
	set      func(*Config, string) error
	// get returns the value in the form that set accepts, to compare two files.
	get func(*Config) string
	// live is set if a running process applies a new value.
	live bool
}

const expectedAddress = "an IP address and a port, for example 127.0.0.1:8080"

var keys = []key{
	identifier("host", "name", "this host's name, unique in the fleet", func(c *Config) *string { return &c.Host }),
	identifier("host", "dc", "the data centre of this host", func(c *Config) *string { return &c.DC }),
	optional(identifier("host", "service", "the service whose target runs on this host; it is passed to targets with requests that enter the system at this host", func(c *Config) *string { return &c.Service })),
	address("listen", "callers", "listen address for callers' HTTP requests", false, func(c *Config) *string { return &c.Callers }),
	address("listen", "peer", "address at which other hosts reach this host, TCP and UDP", false, func(c *Config) *string { return &c.Peer }),
	address("listen", "announce", "listen address for announcements of targets on this host; a loopback address, or one with the IP address of `callers` or `peer`", false, func(c *Config) *string { return &c.Announce }),
	address("listen", "admin", "listen address for state, metrics and readiness", false, func(c *Config) *string { return &c.Admin }),
	optional(address("listen", "ready", "listen address that serves only readiness, for a platform that has no access to the admin address", false, func(c *Config) *string { return &c.Ready })),
	platformKey(),
	adapterKey(),
	termsKey(),
	seedsKey(),
	areasKey(),
	integer("peers", "area_link", "0", "Mbit/s", 0, 1000000, "capacity of the link between two areas, each way; 0 means that it is not known", func(c *Config) *int { return &c.AreaLinkMbps }),
	levelKey(),
	integer("limits", "max_header_bytes", "65536", "bytes", 4096, 1<<20, "largest request header from a caller", func(c *Config) *int { return &c.MaxHeaderBytes }),
	live(integer("limits", "max_body_bytes", "33554432", "bytes", 1024, 1<<30, "largest request body from a caller", func(c *Config) *int { return &c.MaxBodyBytes })),
	integer("limits", "buffer_body_bytes", "262144", "bytes", 0, 8<<20, "largest request body that is buffered for retries; larger bodies can be sent only once", func(c *Config) *int { return &c.BufferBodyBytes }),
	integer("limits", "max_conns", "4096", "connections", 16, 1<<20, "maximum number of open connections from callers, but at most half of `max_fds` and three for each MB of `memory_mb`; beyond it the connection is closed that has been idle longest, or whose caller has sent nothing for longest, 1 s at least; if there is none, the new one gets 503", func(c *Config) *int { return &c.MaxConns }),
	live(integer("limits", "memory_mb", "0", "MB", 0, 1<<20, "memory the process may use before it is killed; the garbage collector runs more often well below it; 0 means no limit", func(c *Config) *int { return &c.MemoryMB })),
	live(integer("limits", "request_memory", "0", "MB", 0, 1<<20, "memory that the requests and responses of callers may hold together; three quarters of it for those that hold over 64 KB; beyond it callers that have sent nothing for longest, 1 s at least, are refused with 408 or disconnected, and if that is not enough, further requests are refused with 503; 0 means a fifth of `memory_mb`, without a limit where that is 0", func(c *Config) *int { return &c.RequestMemoryMB })),
	integer("limits", "max_fds", "0", "descriptors", 0, 1<<20, "file descriptors the process may use; connections from callers use at most half of them; 0 means no limit", func(c *Config) *int { return &c.MaxFDs }),
	duration("limits", "header_timeout", "5s", 100*time.Millisecond, time.Minute, "time a caller has to send a request header", func(c *Config) *time.Duration { return &c.HeaderTimeout }),
	duration("limits", "idle_timeout", "90s", time.Second, time.Hour, "time an idle connection from a caller is kept open", func(c *Config) *time.Duration { return &c.IdleTimeout }),
	integer("limits", "pipeline_depth", "1", "requests", 1, 64, "requests of one caller's connection that are handled at the same time; with 1 a pipelined request waits until the response to the one before it has been sent", func(c *Config) *int { return &c.PipelineDepth }),
	yesNoKey("limits", "learn_concurrency", "whether the daemon learns for each instance if fewer running requests than its slots get more work done, and starts no more than that while requests wait", func(c *Config) *bool { return &c.LearnConcurrency }),
	integer("guard", "queue_per_slot", "4", "requests per slot", 0, 100, "maximum number of requests queued at an instance; a higher value rejects fewer requests in a burst but makes them wait longer", func(c *Config) *int { return &c.QueuePerSlot }),
	duration("guard", "grant_life", "250ms", 10*time.Millisecond, 10*time.Second, "time a reserved slot is held for a request that is not idempotent; a higher value tolerates slower paths but wastes more slots when fronts fail", func(c *Config) *time.Duration { return &c.GrantTTL }),
	live(duration("guard", "announce_expiry", "5s", time.Second, time.Minute, "time after its last announcement at which a target counts as gone", func(c *Config) *time.Duration { return &c.AnnounceExpiry })),
	yesNoKey("guard", "strict_announcements", "whether an announcement without state or sequence is refused; set it where all targets send both, so that one without is from another writer", func(c *Config) *bool { return &c.StrictAnnouncements }),
	live(duration("guard", "drain_timeout", "60s", time.Second, time.Hour, "time from the first stop signal until the process is killed; the daemon exits when nine tenths of it have passed and reports the requests that are still running", func(c *Config) *time.Duration { return &c.DrainTimeout })),
	duration("guard", "target_idle", "30s", time.Second, 10*time.Minute, "time an idle connection to a target is kept open; should be shorter than the target's own idle timeout", func(c *Config) *time.Duration { return &c.TargetIdleTimeout }),
	duration("control", "probe_interval", "1s", 50*time.Millisecond, time.Minute, "time between two membership probes of one host; a lower value detects dead hosts sooner but sends more probes", func(c *Config) *time.Duration { return &c.ProbeInterval }),
	duration("control", "probe_timeout", "300ms", 10*time.Millisecond, 10*time.Second, "time without an answer to a direct probe after which other hosts are asked to probe", func(c *Config) *time.Duration { return &c.ProbeTimeout }),
	duration("control", "suspicion", "4s", 100*time.Millisecond, time.Minute, "time a suspected host has to refute before it is declared dead; a lower value detects dead hosts sooner but gives more false positives", func(c *Config) *time.Duration { return &c.SuspicionTimeout }),
	duration("control", "apply_within", "17s", 100*time.Millisecond, 10*time.Minute, "time within which an acknowledged record must be in force on every host; configured timings that add up to more are rejected", func(c *Config) *time.Duration { return &c.ApplyWithin }),
	derived(duration("control", "repair_interval", "5s", 100*time.Millisecond, time.Minute, "mean time between digests of the record set sent to a random peer", func(c *Config) *time.Duration { return &c.RepairInterval }), maxDerivedRepairInterval),
	derived(duration("control", "away_max", "2s", 100*time.Millisecond, time.Minute, "longest pause between calls to a platform that does not respond; a higher value puts less load on it, a lower value detects its recovery sooner", func(c *Config) *time.Duration { return &c.MaxRetryInterval }), maxDerivedRetryInterval),
	derived(duration("control", "watch_wait", "25s", 100*time.Millisecond, 30*time.Second, "time the platform is asked to hold a watch request open; a lower value makes more calls but detects a lost watch sooner", func(c *Config) *time.Duration { return &c.WatchWait }), maxDerivedWatchWait),
	duration("control", "status_interval", "5s", time.Second, time.Hour, "minimum time between two Status records that a data centre writes to the platform", func(c *Config) *time.Duration { return &c.StatusInterval }),
	integer("control", "watchers_per_dc", "2", "hosts", 1, 16, "number of hosts of a data centre that watch the platform; each pending watch counts as a platform read", func(c *Config) *int { return &c.WatchersPerDC }),
	duration("control", "promise_life", "3s", 100*time.Millisecond, time.Minute, "duration of a lease to a key owner; a higher value tolerates longer network partitions but delays the takeover by a successor", func(c *Config) *time.Duration { return &c.LeaseDuration }),
	live(decimal("retry", "reserve", "24", 0, 1e6, "retries", "retries that a service may make in a window beyond the percentage of its requests that its retry budget allows, over all hosts", func(c *Config) *float64 { return &c.RetryReserve })),
	live(duration("retry", "window", "10s", time.Second, 10*time.Minute, "window in which requests and retries are counted; a higher value allows budget that was not used while few requests failed to be used later, when more fail", func(c *Config) *time.Duration { return &c.RetryWindow })),
	toggleKey("retry", "learn_refusals", "whether instances that refuse requests are compared with their service, and requests do without retries that no budget is left for; auto: as teams.fair_shares, or where the data centres lie in several areas", func(c *Config) *toggle { return &c.learnRefusals }),
	toggleKey("teams", "fair_shares", "whether the slots of a service are divided among teams by the weight of their rates, over all hosts; auto: where the platform's terms say that callers may ask for more than there is room for", func(c *Config) *toggle { return &c.fairShares }),
	decimal("teams", "allowance", "20", 0, 1e6, "requests", "requests that a team may make beyond its limit in any window, over all hosts; most are admitted, the rest covers requests that hosts have not yet reported to each other", func(c *Config) *float64 { return &c.TeamAllowance }),
	decimal("teams", "over", "0.1", 0, 1, "share", "further allowance, as a fraction of the requests that the limit allows in a window; added to `allowance`", func(c *Config) *float64 { return &c.TeamAllowanceFraction }),
	duration("teams", "window", "5s", time.Second, time.Minute, "window in which a team's requests are counted against its limit and the allowance", func(c *Config) *time.Duration { return &c.TeamWindow }),
	presetKey(),
	decimal("defaults", "floor_share", "0.7", 0.01, 1, "share", "fraction of the capacity that ejection leaves in use, for services that the platform names without a Service record", func(c *Config) *float64 { return &c.FloorShare }),
	decimal("defaults", "retry_share", "0.1", 0, 0.5, "share", "retries allowed per request, for the same services", func(c *Config) *float64 { return &c.RetryShare }),
}

// identifier returns a required key whose value is a name.
func identifier(section, name, doc string, field func(*Config) *string) key {
	return key{
		section: section, name: name, required: true, doc: doc,
		unit: "name", bound: "1 to 64 letters, digits, '.', '_' or '-'",
		expected: "1 to 64 letters, digits, '.', '_' or '-'",
		get:      func(c *Config) string { return *field(c) },
		set: func(c *Config, v string) error {
			if !validName(v) {
				return errors.Errorf("%q is not a valid name", v)
			}
			*field(c) = v
			return nil
		},
	}
}

// optional returns k as an optional key without a default.
func optional(k key) key {
	k.required = false
	k.def = ""
	return k
}

const maxNameBytes = 64

func validName(v string) bool {
	if v == "" || len(v) > maxNameBytes {
		return false
	}
	return strings.Trim(v, "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789._-") == ""
}

// address returns a required key whose value is an IP address and a port. With loopback
// set, only loopback addresses are allowed.
func address(section, name, doc string, loopback bool, field func(*Config) *string) key {
	k := key{
		section: section, name: name, required: true, doc: doc,
		unit: "IP:port", bound: "IP address, port 1 to 65535", expected: expectedAddress,
	}
	if loopback {
		k.bound = "loopback IP address, port 1 to 65535"
		k.expected = "a loopback IP address and a port, for example 127.0.0.1:7700"
	}
	k.get = func(c *Config) string { return *field(c) }
	k.set = func(c *Config, v string) error {
		if err := checkAddress(v, loopback); err != nil {
			return err
		}
		*field(c) = v
		return nil
	}
	return k
}

func checkAddress(v string, loopback bool) error {
	host, port, err := net.SplitHostPort(v)
	if err != nil {
		return errors.Errorf("%q is not an IP address and a port", v)
	}
	ip := net.ParseIP(host)
	if ip == nil {
		return errors.Errorf("%q is not an IP address", host)
	}
	if loopback && !ip.IsLoopback() {
		return errors.Errorf("%q is not a loopback IP address", host)
	}
	if n, err := strconv.Atoi(port); err != nil || n < 1 || n > 65535 {
		return errors.Errorf("%q is not a port number from 1 to 65535", port)
	}
	return nil
}

func integer(section, name, def, unit string, low, high int, doc string, field func(*Config) *int) key {
	bound := fmt.Sprintf("%d to %d", low, high)
	return key{
		section: section, name: name, def: def, unit: unit, bound: bound, doc: doc, expected: "an integer, " + bound,
		get: func(c *Config) string { return strconv.Itoa(*field(c)) },
		set: func(c *Config, v string) error {
			n, err := strconv.Atoi(v)
			if err != nil {
				return errors.Errorf("%q is not an integer", v)
			}
			if n < low || n > high {
				return errors.Errorf("%d is out of bounds", n)
			}
			*field(c) = n
			return nil
		},
	}
}

func duration(section, name, def string, low, high time.Duration, doc string, field func(*Config) *time.Duration) key {
	bound := fmt.Sprintf("%s to %s", low, high)
	return key{
		section: section, name: name, def: def, unit: "duration", bound: bound, doc: doc,
		expected: "a duration with a unit, " + bound + ", for example " + def,
		get:      func(c *Config) string { return field(c).String() },
		set: func(c *Config, v string) error {
			d, err := time.ParseDuration(v)
			if err != nil {
				return errors.Errorf("%q is not a duration with a unit", v)
			}
			if d < low || d > high {
				return errors.Errorf("%s is out of bounds", d)
			}
			*field(c) = d
			return nil
		},
	}
}

func decimal(section, name, def string, low, high float64, unit, doc string, field func(*Config) *float64) key {
	bound := fmt.Sprintf("%g to %g", low, high)
	return key{
		section: section, name: name, def: def, unit: unit, bound: bound, doc: doc, expected: "a number, " + bound,
		get: func(c *Config) string { return strconv.FormatFloat(*field(c), 'g', -1, 64) },
		set: func(c *Config, v string) error {
			n, err := strconv.ParseFloat(v, 64)
			if err != nil {
				return errors.Errorf("%q is not a number", v)
			}
			if !(n >= low && n <= high) {
				return errors.Errorf("%g is out of bounds", n)
			}
			*field(c) = n
			return nil
		},
	}
}

// choice returns a key whose value is one of a fixed list.
func choice(section, name, def, doc string, values []string, field func(*Config) *string) key {
	bound := strings.Join(values, ", ")
	return key{
		section: section, name: name, def: def, unit: "word", bound: bound, doc: doc, expected: "one of " + bound,
		get: func(c *Config) string { return *field(c) },
		set: func(c *Config, v string) error {
			if !slices.Contains(values, v) {
				return errors.Errorf("%q is not an allowed value", v)
			}
			*field(c) = v
			return nil
		},
	}
}

func presetKey() key {
	return choice("defaults", "preset", record.PresetQuick, "failure-detection preset of services that the platform names without a Service record",
		[]string{record.PresetQuick, record.PresetCareful}, func(c *Config) *string { return &c.Preset })
}

// DefaultAdapter is the adapter for platforms that implement this project's own object
// API.
const DefaultAdapter = "own"

// Adapters are the allowed values of [platform] adapter. The daemon adds the adapters
// that it was built with.
var Adapters = []string{DefaultAdapter}

func adapterKey() key {
	k := choice("platform", "adapter", DefaultAdapter, "adapter for the conventions of the platform, its callers and its targets", nil, func(c *Config) *string { return &c.Adapter })
	k.bound = DefaultAdapter + ", or another that the daemon was built with"
	k.expected = DefaultAdapter + ", or another that the daemon was built with"
	k.set = func(c *Config, v string) error {
		if !slices.Contains(Adapters, v) {
			return errors.Errorf("%q is not one of %s", v, strings.Join(Adapters, ", "))
		}
		c.Adapter = v
		return nil
	}
	return k
}

func platformKey() key {
	return key{
		section: "platform", name: "url", required: true, unit: "URL", bound: "http or https, host and port",
		doc:      "base URL of the platform's object API",
		expected: "a URL, for example http://127.0.0.1:7000",
		get:      func(c *Config) string { return c.Platform },
		set: func(c *Config, v string) error {
			u, err := url.Parse(v)
			if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
				return errors.Errorf("%q is not an http or https URL with a host", v)
			}
			c.Platform = v
			return nil
		},
	}
}

func seedsKey() key {
	return key{
		section: "peers", name: "seeds", def: "", unit: "IP:port list", bound: "comma-separated addresses",
		doc:      "peer addresses to join through if the platform is unavailable at start",
		expected: "comma-separated addresses, for example 10.0.0.1:7300, 10.0.0.2:7300",
		get:      func(c *Config) string { return strings.Join(c.Seeds, ", ") },
		set: func(c *Config, v string) error {
			c.Seeds = nil
			for _, part := range strings.Split(v, ",") {
				part = strings.TrimSpace(part)
				if part == "" {
					continue
				}
				if err := checkAddress(part, false); err != nil {
					return err
				}
				c.Seeds = append(c.Seeds, part)
			}
			return nil
		},
	}
}

func levelKey() key {
	return live(choice("log", "level", "info", "lowest level of events that are logged",
		[]string{"debug", "info", "warn", "error"}, func(c *Config) *string { return &c.LogLevel }))
}

// derived returns k as a key whose default is derived from apply_within.
func derived(k key, longest time.Duration) key {
	k.def = ""
	k.doc += fmt.Sprintf("; by default %g of apply_within, at most %s, and less if the sum would exceed apply_within", derivedFraction, longest)
	return k
}

// live returns k as a key whose new value a running process applies.
func live(k key) key {
	k.live = true
	return k
}

// Reference returns the settings reference as a Markdown table.
func Reference() string {
	var b strings.Builder
	b.WriteString("| section | key | unit | default | bound | applied | meaning |\n|---|---|---|---|---|---|---|\n")
	for _, k := range keys {
		def := k.def
		if k.required {
			def = "(required)"
		}
		applied := "at start"
		if k.live {
			applied = "on reload"
		}
		fmt.Fprintf(&b, "| %s | `%s` | %s | %s | %s | %s | %s |\n", k.section, k.name, k.unit, def, k.bound, applied, k.doc)
	}
	return b.String()
}
