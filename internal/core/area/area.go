// Package area decides how far requests travel: the price of traffic by distance, when a
// front sends requests of a route to another area, and how much of the link between areas
// is in use. An area is a group of data centres that are close to each other.
//
// It does no I/O and reads no clock.
package area

import "time"

// Distance is how far a host is from this one.
type Distance uint8

const (
	// SameDC is the own data centre.
	SameDC Distance = iota
	// SameArea is another data centre of the own area.
	SameArea
	// Remote is another area.
	Remote
	// Distances is the number of distances.
	Distances = iota
)

// String returns the distance as it appears in metrics.
func (d Distance) String() string { return [...]string{"dc", "area", "remote"}[d] }

// Map holds the distances from one data centre to all others.
type Map struct {
	dc, area string
	byDC     map[string]string
}

// NewMap returns the distances from a data centre, given the area of each. It returns nil if
// there are fewer than two areas, or if the area of dc is not given: distances are then not
// used.
func NewMap(byDC map[string]string, dc string) *Map {
	own, ok := byDC[dc]
	if !ok {
		return nil
	}
	for _, other := range byDC {
		if other != own {
			return &Map{dc: dc, area: own, byDC: byDC}
		}
	}
	return nil
}

// Area returns the name of the own area.
func (m *Map) Area() string { return m.area }

// Distance returns the distance to a data centre. One whose area is not given counts as
// remote, since traffic to it may use the link between areas.
func (m *Map) Distance(dc string) Distance {
	switch {
	case dc == m.dc:
		return SameDC
	case m.byDC[dc] == m.area:
		return SameArea
	default:
		return Remote
	}
}

const (
	// remoteBytePrice is the additional waiting time that is accepted to keep a byte within
	// the area. The link between areas is narrow and shared by all hosts. A download of
	// 90 KB leaves the area when it would wait 0.46 s longer there, about as long as it runs;
	// a lookup of 1 KB gains by crossing as soon as it waits for the round trip.
	remoteBytePrice = 5 * time.Microsecond
	// areaBytePrice is the same for a byte to another data centre of the area. Traffic
	// between areas costs about five times as much. Both are added to the cost that any
	// request to another data centre has.
	areaBytePrice = remoteBytePrice / 5
)

// TransferPrice returns the price of a transfer, as the waiting time that is accepted to
// avoid it.
func TransferPrice(bytes float64, d Distance) time.Duration {
	switch d {
	case Remote:
		return time.Duration(bytes * float64(remoteBytePrice))
	case SameArea:
		return time.Duration(bytes * float64(areaBytePrice))
	default:
		return 0
	}
}

// transferWeight is the weight of a new request in the mean transfer of a route, the same as
// that of its service time.
const transferWeight = 0.05

// MaxDeclaredBytes is the length up to which a response that has not been received completely
// counts by its declared length, in bytes. A target may declare any length.
const MaxDeclaredBytes = 64 << 20

// Transfer is the mean number of request and response bytes of a route. The zero value knows
// none.
type Transfer struct{ mean float64 }

// Add adds a request.
func (t *Transfer) Add(bytes int64) {
	if t.mean == 0 {
		t.mean = float64(bytes)
	}
	t.mean += transferWeight * (float64(bytes) - t.mean)
}

// Mean returns the mean in bytes, 0 before the first request.
func (t *Transfer) Mean() float64 { return t.mean }

// largeTransfer is the mean transfer from which requests of a route stay in their area while
// the link is short of capacity. Lookups and other small requests use little of the link.
const largeTransfer = 16 << 10

// Large reports whether requests of the route stay in their area while the link is short of
// capacity.
func (t *Transfer) Large() bool { return t.mean >= largeTransfer }
