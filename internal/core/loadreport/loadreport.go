// Package loadreport selects the hosts that receive a load report, which carries the load
// and the failure estimate of an instance. Rate limits keep the traffic that a host sends
// for it independent of the size of the fleet. The package does no I/O.
package loadreport

import (
	"math/rand/v2"
	"time"

	"golang.org/x/time/rate"
)

const (
	// MaxRate is the maximum number of load reports per second sent by a host, counting
	// each copy and each relayed one. At 110 bytes per report this is 7 KB/s in a fleet
	// of any size, of the 19 KB/s available for control traffic. Above the limit, each
	// change is sent to fewer hosts, and to different ones each time.
	//
	// The rate must suffice for fronts to learn of instances without work: a front that
	// gets no load reports of an instance hardly ever chooses it.
	MaxRate = 64
	// Burst is the number of load reports that may be sent at once. It is enough to
	// send and relay a changed estimate in a fleet of 300 hosts.
	Burst = 128
	// ChangeReserve is the part of Burst reserved for load reports about a
	// significantly changed estimate, which are sent ToAll.
	ChangeReserve = Burst / 2
	// fewHosts is the number of hosts that are told that an instance would like to get a
	// request: enough for one of them to have a request soon, but so few that the
	// instance does not get one from each of many hosts.
	fewHosts = 4
	// FewHostsMaxRate is the maximum number per second, and burst, of the load reports
	// to few hosts, which do not count towards MaxRate. When the estimates of many
	// instances change, the reports about them use up MaxRate, and just then recovered
	// instances need requests that show their recovery.
	FewHostsMaxRate = 16
)

// Reach is the set of hosts a load report is sent to.
type Reach int

const (
	// ToFew is a few hosts of the own data centre.
	ToFew Reach = iota
	// ToLocal is the hosts of the own data centre.
	ToLocal
	// ToAll is the hosts of all data centres. It may use the whole rate limit, including
	// ChangeReserve.
	ToAll
)

// Limiter selects the recipients of one host's load reports within its rate limits. It
// is not safe for concurrent use.
type Limiter struct {
	rng             *rand.Rand
	limit, fewLimit *rate.Limiter
}

// New returns a Limiter with its full burst available.
func New(rng *rand.Rand) *Limiter {
	return &Limiter{rng: rng, limit: rate.NewLimiter(MaxRate, Burst), fewLimit: rate.NewLimiter(FewHostsMaxRate, FewHostsMaxRate)}
}

// SelectRemote selects one host in each of the other data centres, to relay a changed
// estimate there, because traffic between data centres is expensive.
func (l *Limiter) SelectRemote(now time.Time, dcs [][]string) []string {
	var out []string
	for _, hosts := range dcs {
		if l.take(now, 1, ToAll) == 1 {
			out = append(out, hosts[l.rng.IntN(len(hosts))])
		}
	}
	return out
}

// SelectLocal selects recipients among the hosts of the own data centre, starting at a
// random one, as many as the rate limit allows.
func (l *Limiter) SelectLocal(now time.Time, hosts []string, to Reach) []string {
	if len(hosts) == 0 {
		return nil
	}
	first, count := l.rng.IntN(len(hosts)), len(hosts)
	if to == ToFew {
		count = min(count, fewHosts)
	}
	out := make([]string, l.take(now, count, to))
	for i := range out {
		out[i] = hosts[(first+i)%len(hosts)]
	}
	return out
}

// take deducts up to count load reports from the rate limit and returns the number
// deducted.
func (l *Limiter) take(now time.Time, count int, to Reach) int {
	limit := l.limit
	if to == ToFew {
		limit = l.fewLimit
	}
	available := int(limit.TokensAt(now))
	if to == ToLocal {
		available -= ChangeReserve
	}
	count = max(min(count, available), 0)
	limit.AllowN(now, count)
	return count
}
