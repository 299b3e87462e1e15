// Package loadreport selects the hosts that receive a load report, which contains the load
// and the failure estimate of an instance. Rate limits bound the traffic that each host
// sends for load reports, whatever the size of the fleet. The package does no I/O.
package loadreport

import (
	"math/rand/v2"
	"time"

	"golang.org/x/time/rate"
)

const (
	// MaxRate is the maximum number of load reports per second sent by a host, counting
	// each copy and each relayed one. At 110 bytes per report this is 0.9 KB/s in a fleet
	// of any size. Above the limit, each change is sent to fewer hosts, and to different
	// ones each time. Fronts ask for the loads of the instances that they choose from, so
	// reports only have to spare them some of the queries.
	MaxRate = 8
	// Burst is the maximum number of load reports sent at once. It is enough to send and
	// relay a changed estimate in a fleet of 60 hosts.
	Burst = 32
	// ChangeReserve is the part of Burst reserved for load reports about a
	// significantly changed estimate, which are sent ToAll.
	ChangeReserve = Burst / 2
	// fewHosts is the number of hosts that an instance asks for a request. It is enough
	// for one of them to have a request soon, and limits how many requests the instance
	// gets at the same time.
	fewHosts = 4
	// FewHostsMaxRate is the maximum number per second, and the burst, of load reports
	// sent ToFew, which do not count towards MaxRate. When the estimates of many
	// instances change, the reports about them use up MaxRate, although at that time
	// recovered instances need requests that prove their recovery.
	FewHostsMaxRate = 16
)

// Scope is the set of hosts a load report is sent to.
type Scope int

const (
	// ToFew is a few hosts of the local data centre.
	ToFew Scope = iota
	// ToLocal is the hosts of the local data centre.
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

// SelectRemote selects one host in each of the other data centres, as far as the rate
// limit allows. Each relays a changed estimate within its data centre, because traffic
// between data centres is expensive.
func (l *Limiter) SelectRemote(now time.Time, dcs [][]string) []string {
	var out []string
	for _, hosts := range dcs {
		if l.takeTokens(now, 1, ToAll) == 1 {
			out = append(out, hosts[l.rng.IntN(len(hosts))])
		}
	}
	return out
}

// SelectLocal selects recipients among the hosts of the local data centre, starting at a
// random one, as many as the rate limit allows.
func (l *Limiter) SelectLocal(now time.Time, hosts []string, to Scope) []string {
	if len(hosts) == 0 {
		return nil
	}
	first, count := l.rng.IntN(len(hosts)), len(hosts)
	if to == ToFew {
		count = min(count, fewHosts)
	}
	out := make([]string, l.takeTokens(now, count, to))
	for i := range out {
		out[i] = hosts[(first+i)%len(hosts)]
	}
	return out
}

// takeTokens takes up to count tokens, one per load report, from the rate limiter and
// returns the number taken.
func (l *Limiter) takeTokens(now time.Time, count int, to Scope) int {
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
