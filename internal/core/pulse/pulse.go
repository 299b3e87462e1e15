// Package pulse decides which hosts are told of the load and the estimate of an
// instance, so that what a host sends for it stays the same in a fleet of any size.
// The package does no I/O.
package pulse

import (
	"math/rand/v2"
	"time"

	"golang.org/x/time/rate"
)

const (
	// MaxRate bounds the pulses that a host sends, copies and those passed
	// on counted each: with 110 bytes a pulse 7 KB a second, whatever the fleet's
	// size, of the 19 KB a second that control may take. Beyond the bound fewer hosts
	// hear of each change, and others each time.
	//
	// It guards against instances without work: a front that is told of no loads hardly
	// chooses those of which it happens to have heard nothing.
	MaxRate = 64
	// Burst is how many may be sent at once: a turned estimate that is told
	// and passed on in a fleet of 300 hosts.
	Burst = 128
	// ChangeReserve is the part of the burst that is left for turned estimates.
	ChangeReserve = Burst / 2
	// few is how many hosts hear that an instance would like a request: enough that one
	// of them soon has one, and few enough that not all send one.
	few = 4
	// FewHostsMaxRate bounds the pulses to few hosts, beside PerSecond: where many
	// instances turn, that news takes all there is, and just then those that are well
	// again need a request that shows it. It is also how many may be sent at once.
	FewHostsMaxRate = 16
)

// Reach says who is told of a pulse.
type Reach int

const (
	// ToFew tells some hosts nearby.
	ToFew Reach = iota
	// ToLocal tells the hosts nearby.
	ToLocal
	// ToAll tells the hosts nearby and those of the other data centres. It goes before
	// the others where the rate does not suffice for all.
	ToAll
)

// Limiter is one host's rate of pulses. It is not safe for concurrent use.
type Limiter struct {
	rng         *rand.Rand
	limit, asks *rate.Limiter
}

// New makes a Spread with its whole burst.
func New(rng *rand.Rand) *Limiter {
	return &Limiter{rng: rng, limit: rate.NewLimiter(MaxRate, Burst), asks: rate.NewLimiter(FewHostsMaxRate, FewHostsMaxRate)}
}

// SelectRemote picks a host of each other data centre to pass a turned estimate on there:
// bytes between data centres are dear.
func (s *Limiter) SelectRemote(now time.Time, dcs [][]string) []string {
	var out []string
	for _, hosts := range dcs {
		if s.take(now, 1, ToAll) == 1 {
			out = append(out, hosts[s.rng.IntN(len(hosts))])
		}
	}
	return out
}

// SelectLocal picks the hosts nearby that are told, from a random one on: as many as the
// rate allows.
func (s *Limiter) SelectLocal(now time.Time, hosts []string, to Reach) []string {
	if len(hosts) == 0 {
		return nil
	}
	first, count := s.rng.IntN(len(hosts)), len(hosts)
	if to == ToFew {
		count = min(count, few)
	}
	out := make([]string, s.take(now, count, to))
	for i := range out {
		out[i] = hosts[(first+i)%len(hosts)]
	}
	return out
}

// take gives how many of some pulses may be sent now, and takes them.
func (s *Limiter) take(now time.Time, count int, to Reach) int {
	limit := s.limit
	if to == ToFew {
		limit = s.asks
	}
	room := int(limit.TokensAt(now))
	if to == ToLocal {
		room -= ChangeReserve
	}
	count = max(min(count, room), 0)
	limit.AllowN(now, count)
	return count
}
