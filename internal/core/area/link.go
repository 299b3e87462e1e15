package area

import (
	"math"
	"sync"
	"time"
)

// LinkMeter estimates the use of the link between areas by all hosts of this area.
type LinkMeter interface {
	// BytesPerSecond returns the use in the direction that is used most.
	BytesPerSecond(now time.Time) float64
}

// rateTimeConstant is the time constant of a host's rates. A host has few transfers to other
// areas per second, and shorter averages would follow each of them.
const rateTimeConstant = 5 * time.Second

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

// HostMeter is a LinkMeter that assumes that every host of the area uses the link as much
// as this one. It is safe for concurrent use.
type HostMeter struct {
	mu       sync.Mutex
	hosts    int
	sent     rate
	received rate
}

// SetHosts sets the number of hosts of the area.
func (m *HostMeter) SetHosts(n int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.hosts = n
}

// Add records the bytes of a request to another area and of its response.
func (m *HostMeter) Add(now time.Time, sent, received int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.sent.add(now, sent)
	m.received.add(now, received)
}

// BytesPerSecond implements LinkMeter.
func (m *HostMeter) BytesPerSecond(now time.Time) float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return float64(max(m.hosts, 1)) * max(m.sent.value(now), m.received.value(now))
}

// maxLinkUse is the use of the link, as a share of its capacity, above which large transfers
// stay in their area. The rest is for small requests and for the hosts' own messages.
const maxLinkUse = 0.8

// Link is the link between areas. The zero value has no bound.
type Link struct {
	// BytesPerSecond is the capacity in each direction, 0 if unknown.
	BytesPerSecond float64
	Meter          LinkMeter
}

// Full reports whether large transfers must stay in their area.
func (l *Link) Full(now time.Time) bool {
	return l.BytesPerSecond > 0 && l.Meter.BytesPerSecond(now) > maxLinkUse*l.BytesPerSecond
}
