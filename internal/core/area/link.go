package area

import (
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/radishhoist/radishhoist/internal/msg"
)

const (
	// rateTimeConstant is the time constant of a host's rates. A host has few transfers to
	// other areas per second, and shorter averages would follow each of them.
	rateTimeConstant = 5 * time.Second
	// reportInterval is the interval at which a host reports its rates, and reportReceivers the
	// number of hosts to which it does.
	reportInterval  = 500 * time.Millisecond
	reportReceivers = 2
	// reportLifetime is how long a report counts, by the receiver's clock.
	reportLifetime = 3 * time.Second
	// maxReportSenders is the number of senders whose last reports are kept.
	maxReportSenders = 16
	// maxTickGap is the time between two reports of this host beyond which the process is
	// taken to have been suspended. Datagrams that arrived meanwhile are as old as the
	// suspension.
	maxTickGap = 3 * reportInterval
	// maxLinkUse is the use of the link, as a share of its capacity, above which large
	// transfers stay in their area, and returnLinkUse the use below which they may leave it
	// again. The rest is for small requests and for the hosts' own messages.
	maxLinkUse    = 0.8
	returnLinkUse = 0.6
)

// rate is a smoothed rate of bytes per second.
type rate struct {
	perSecond float64
	at        time.Time
}

func (r *rate) add(now time.Time, bytes int64) {
	r.perSecond = r.value(now) + float64(bytes)/rateTimeConstant.Seconds()
	r.at = now
}

func (r *rate) value(now time.Time) float64 {
	return r.perSecond * math.Exp(-max(now.Sub(r.at), 0).Seconds()/rateTimeConstant.Seconds())
}

// rates are the rates of one host, or of all hosts of an area, in bytes per second.
type rates struct{ sent, received float64 }

// Link estimates the use of the link from this area to others by all hosts of the area: the
// mean over this host and those whose reports have arrived lately, times the number of hosts.
// Each host reports to two others, chosen at random, so that messages do not grow with the
// fleet. Without reports, every host is assumed to use the link as much as this one.
//
// It reads no clock and does no I/O. It is safe for concurrent use.
type Link struct {
	// capacity is the capacity in each direction in bytes per second, 0 if unknown.
	capacity float64
	areaHash uint16

	mu             sync.Mutex
	rng            *rand.Rand
	sent, received rate
	// peers are the addresses of the other live hosts of the area, in ascending order.
	peers    []string
	reports  []receivedReport
	tickedAt time.Time
	// ignoreUntil is the time until which reports are ignored after a suspension.
	ignoreUntil time.Time
	full        bool
}

// receivedReport is the last report of one sender.
type receivedReport struct {
	rates
	sender string
	at     time.Time
}

// LinkReport is a report to be sent to a host.
type LinkReport struct {
	Address string
	Report  *msg.LinkReport
}

// NewLink returns the link of an area with a capacity in each direction, 0 if unknown.
func NewLink(area string, bytesPerSecond float64, rng *rand.Rand) *Link {
	return &Link{capacity: bytesPerSecond, areaHash: uint16(xxhash.Sum64String(area)), rng: rng}
}

// HasCapacity reports whether the capacity is known. Otherwise nothing is reported or bounded.
func (l *Link) HasCapacity() bool { return l.capacity > 0 }

// SetPeers sets the addresses of the other live hosts of the area. The Link keeps the slice and
// reorders it.
func (l *Link) SetPeers(addresses []string) {
	slices.Sort(addresses)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.peers = addresses
}

// Add records bytes that this host has sent to and received from other areas.
func (l *Link) Add(now time.Time, sent, received int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sent.add(now, sent)
	l.received.add(now, received)
}

// Tick returns the reports to send. It must be called at least every reportInterval. A host
// without traffic reports as well, since it would otherwise be missing from the mean.
func (l *Link) Tick(now time.Time) []LinkReport {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.capacity == 0 || now.Sub(l.tickedAt) < reportInterval {
		return nil
	}
	if !l.tickedAt.IsZero() && now.Sub(l.tickedAt) > maxTickGap {
		l.ignoreUntil = now.Add(reportInterval)
		l.reports = nil
	}
	l.tickedAt = now
	l.updateFull(now)
	own := l.own(now)
	r := &msg.LinkReport{Area: l.areaHash, Sent: l.toUnits(own.sent), Received: l.toUnits(own.received)}
	var out []LinkReport
	for _, address := range l.receivers() {
		out = append(out, LinkReport{Address: address, Report: r})
	}
	return out
}

// own returns the rates of this host. The caller must hold l.mu.
func (l *Link) own(now time.Time) rates { return rates{l.sent.value(now), l.received.value(now)} }

// toUnits rounds a rate to msg.LinkRateUnit, up or down at random, so that the mean over many
// hosts with rates below the unit is not 0. The caller must hold l.mu.
func (l *Link) toUnits(bytesPerSecond float64) uint16 {
	return uint16(min(bytesPerSecond/msg.LinkRateUnit+l.rng.Float64(), math.MaxUint16))
}

// receivers draws the addresses of two peers, or returns all if there are fewer. The caller
// must hold l.mu.
func (l *Link) receivers() []string {
	n := len(l.peers)
	if n <= reportReceivers {
		return l.peers
	}
	first, second := l.rng.IntN(n), l.rng.IntN(n-1)
	if second >= first {
		second++
	}
	return []string{l.peers[first], l.peers[second]}
}

// Receive processes a report of the host at an address, and returns whether it counts. Reports
// of unknown hosts, and of those with another configuration of areas, do not.
func (l *Link) Receive(now time.Time, sender string, r *msg.LinkReport) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, known := slices.BinarySearch(l.peers, sender); !known || r.Area != l.areaHash {
		return false
	}
	if now.Sub(l.tickedAt) > maxTickGap || now.Before(l.ignoreUntil) {
		return false
	}
	l.store(receivedReport{rates{float64(r.Sent) * msg.LinkRateUnit, float64(r.Received) * msg.LinkRateUnit}, sender, now})
	return true
}

// store keeps a report in place of the sender's last one, or else of the oldest one if there
// are maxReportSenders. The caller must hold l.mu.
func (l *Link) store(r receivedReport) {
	oldest := 0
	for i := range l.reports {
		if l.reports[i].sender == r.sender {
			l.reports[i] = r
			return
		}
		if l.reports[i].at.Before(l.reports[oldest].at) {
			oldest = i
		}
	}
	if len(l.reports) < maxReportSenders {
		l.reports = append(l.reports, r)
		return
	}
	l.reports[oldest] = r
}

// use returns the rates of all hosts of the area. The caller must hold l.mu.
func (l *Link) use(now time.Time) rates {
	sum, senders := l.own(now), 1
	for _, r := range l.reports {
		if now.Sub(r.at) <= reportLifetime {
			sum.sent, sum.received, senders = sum.sent+r.sent, sum.received+r.received, senders+1
		}
	}
	hostsPerSender := float64(len(l.peers)+1) / float64(senders)
	return rates{sum.sent * hostsPerSender, sum.received * hostsPerSender}
}

// Use returns the use of the link in each direction as a share of its capacity, 0 if that is
// unknown.
func (l *Link) Use(now time.Time) (sent, received float64) {
	if l.capacity == 0 {
		return 0, 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	u := l.use(now)
	return u.sent / l.capacity, u.received / l.capacity
}

// Full reports whether large transfers must stay in their area.
func (l *Link) Full(now time.Time) bool {
	if l.capacity == 0 {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.updateFull(now)
	return l.full
}

// updateFull sets full by the direction that is used most. The caller must hold l.mu.
func (l *Link) updateFull(now time.Time) {
	bound := maxLinkUse
	if l.full {
		bound = returnLinkUse
	}
	u := l.use(now)
	l.full = max(u.sent, u.received) > bound*l.capacity
}
