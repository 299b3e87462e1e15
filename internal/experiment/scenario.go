// Package experiment measures detection, ejection, choice and admission in
// virtual time: the real cores with small fakes for targets and paths, beside
// named baselines. It is no cluster simulator: one service, its instances, and
// the fronts that call it.
package experiment

import (
	"time"

	"github.com/radishhoist/radishhoist/internal/core/detect"
	"github.com/radishhoist/radishhoist/record"
)

// Site is the shape of one service at one office.
type Site struct {
	Name      string
	Instances int
	Slots     int
	DCs       int
	Fronts    int
	// OneWay is the delay between data centres, Near within one.
	OneWay, Near time.Duration
	// Service is the median service time, Spread the standard deviation of
	// its logarithm.
	Service time.Duration
	Spread  float64
	Params  detect.Params
	Floor   record.Floor
}

// The sites: today's offices, and one service at the target size.
var (
	Bureau = Site{
		Name: "Bureau", Instances: 9, Slots: 7, DCs: 3, Fronts: 24,
		OneWay: time.Millisecond, Near: 250 * time.Microsecond,
		Service: 60 * time.Millisecond, Spread: 0.5,
		Params: detect.Quick(), Floor: record.Floor{Percent: 70},
	}
	Registry = Site{
		Name: "Registry", Instances: 8, Slots: 4, DCs: 4, Fronts: 24,
		OneWay: 1500 * time.Microsecond, Near: 250 * time.Microsecond,
		Service: 60 * time.Millisecond, Spread: 0.5,
		Params: detect.Careful(), Floor: record.Floor{Percent: 75},
	}
	Target = Site{
		Name: "Target size", Instances: 38, Slots: 6, DCs: 11, Fronts: 1600,
		OneWay: 1500 * time.Microsecond, Near: 250 * time.Microsecond,
		Service: 200 * time.Millisecond, Spread: 0.5,
		Params: detect.Careful(), Floor: record.Floor{Percent: 75},
	}
)

// Capacity is the requests a second that the site's slots can run.
func (s Site) Capacity() float64 {
	// The mean of a log-normal time is above its median.
	mean := s.Service.Seconds() * (1 + s.Spread*s.Spread/2)
	return float64(s.Instances*s.Slots) / mean
}

// Fault is what goes wrong with instance 0 (or with all) from FaultAt on.
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

// Faults lists all of them.
var Faults = []Fault{NoFault, Slow5, Slow3, Errors, Stuck, Flapping, OneWayCut, SlowPath, Overload, ShortSpike}

// gray says that one instance is to be found and left out.
func (f Fault) gray() bool {
	switch f {
	case Slow5, Slow3, Errors, Stuck, OneWayCut:
		return true
	default:
		return false
	}
}

const (
	// FaultAt is when the fault begins, RunFor the length of a run.
	FaultAt = 15 * time.Second
	RunFor  = 45 * time.Second
	// deadline is each request's.
	deadline = 2 * time.Second
	// idempotentShare is the share of requests that may be repeated.
	idempotentShare = 0.9
	// flapPeriod is the length of each good and bad time of Flapping.
	flapPeriod = 4 * time.Second
	// spikeFor is the length of ShortSpike.
	spikeFor = 5 * time.Second
)

// rate is the arrival rate at a time, as a share of capacity.
func (f Fault) rate(load float64, at time.Duration) float64 {
	switch {
	case f == Overload && at >= FaultAt:
		return 1.3
	case f == ShortSpike && at >= FaultAt && at < FaultAt+spikeFor:
		return 2
	default:
		return load
	}
}

// slowdown is the factor on an instance's service time.
func (f Fault) slowdown(instance int, at time.Duration) float64 {
	if instance != 0 || at < FaultAt {
		return 1
	}
	switch f {
	case Slow5:
		return 5
	case Slow3:
		return 3
	case Flapping:
		if (at-FaultAt)/flapPeriod%2 == 0 {
			return 5
		}
	}
	return 1
}
