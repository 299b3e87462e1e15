// Package experiment measures failure detection, ejection, load balancing and admission control in
// virtual time and compares them with simple baseline policies. It runs the real core packages with
// simulated instances and network paths. A simulation has one service, its instances and the fronts
// that send requests to it, not a whole fleet.
package experiment

import (
	"time"

	"github.com/radishhoist/radishhoist/internal/core/detect"
	"github.com/radishhoist/radishhoist/record"
)

// Site describes the size and timing of one service.
type Site struct {
	Name      string
	Instances int
	Slots     int
	DCs       int
	Fronts    int
	// RemoteDelay is the one-way delay between data centres, LocalDelay within one.
	RemoteDelay, LocalDelay time.Duration
	// MedianService is the median service time, LogStdDev the standard deviation of its
	// logarithm.
	MedianService time.Duration
	LogStdDev     float64
	Params        detect.Params
	Floor         record.Floor
}

// The sites: one service of each of two deployments, and one service at the largest intended size.
var (
	Bureau = Site{
		Name: "Bureau", Instances: 9, Slots: 7, DCs: 3, Fronts: 24,
		RemoteDelay: time.Millisecond, LocalDelay: 250 * time.Microsecond,
		MedianService: 60 * time.Millisecond, LogStdDev: 0.5,
		Params: detect.Quick(), Floor: record.Floor{Percent: 70},
	}
	Registry = Site{
		Name: "Registry", Instances: 8, Slots: 4, DCs: 4, Fronts: 24,
		RemoteDelay: 1500 * time.Microsecond, LocalDelay: 250 * time.Microsecond,
		MedianService: 60 * time.Millisecond, LogStdDev: 0.5,
		Params: detect.Careful(), Floor: record.Floor{Percent: 75},
	}
	LargeSite = Site{
		Name: "Target size", Instances: 38, Slots: 6, DCs: 11, Fronts: 1600,
		RemoteDelay: 1500 * time.Microsecond, LocalDelay: 250 * time.Microsecond,
		MedianService: 200 * time.Millisecond, LogStdDev: 0.5,
		Params: detect.Careful(), Floor: record.Floor{Percent: 75},
	}
)

// Capacity returns the requests per second that the site's slots can run.
func (s Site) Capacity() float64 {
	// The mean of a log-normal distribution is exp(σ²/2) times its median; 1+σ²/2
	// approximates the factor.
	mean := s.MedianService.Seconds() * (1 + s.LogStdDev*s.LogStdDev/2)
	return float64(s.Instances*s.Slots) / mean
}

// Fault is a fault of instance 0 or an overload of all instances. It begins at FaultStart.
type Fault string

// The faults.
const (
	NoFault    Fault = "none"
	Slow5      Fault = "slow 5x"
	Slow3      Fault = "slow 3x"
	Errors     Fault = "errors 50%"
	Stuck      Fault = "stuck"
	Flapping   Fault = "flapping 5x"
	OneWayCut  Fault = "one-way cut"
	SlowPath   Fault = "slow path"
	Overload   Fault = "overload 1.3x"
	ShortSpike Fault = "spike 2x, 5 s"
)

// Faults lists all faults in the order of the reports.
var Faults = []Fault{NoFault, Slow5, Slow3, Errors, Stuck, Flapping, OneWayCut, SlowPath, Overload, ShortSpike}

// isGray reports whether the fault is a gray failure of one instance, which is to be detected
// and ejected.
func (f Fault) isGray() bool {
	switch f {
	case Slow5, Slow3, Errors, Stuck, OneWayCut:
		return true
	default:
		return false
	}
}

const (
	// FaultStart is the time at which the fault begins, RunLength the length of a run.
	FaultStart = 15 * time.Second
	RunLength  = 45 * time.Second
	// deadline is the time allowed for a request, measured from its arrival.
	deadline = 2 * time.Second
	// idempotentShare is the share of requests that are idempotent and may be retried.
	idempotentShare = 0.9
	// flapPeriod is the length of each slow and each normal phase of Flapping.
	flapPeriod  = 4 * time.Second
	spikeLength = 5 * time.Second
)

// rate returns the arrival rate at a time as a share of capacity. load is the rate without overload.
func (f Fault) rate(load float64, at time.Duration) float64 {
	switch {
	case f == Overload && at >= FaultStart:
		return 1.3
	case f == ShortSpike && at >= FaultStart && at < FaultStart+spikeLength:
		return 2
	default:
		return load
	}
}

// slowdown returns the factor applied to an instance's service time.
func (f Fault) slowdown(instance int, at time.Duration) float64 {
	if instance != 0 || at < FaultStart {
		return 1
	}
	switch f {
	case Slow5:
		return 5
	case Slow3:
		return 3
	case Flapping:
		if (at-FaultStart)/flapPeriod%2 == 0 {
			return 5
		}
	}
	return 1
}
