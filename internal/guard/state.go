package guard

import (
	"time"

	"github.com/radishhoist/radishhoist/internal/core/detect"
)

// InstanceState is one instance in the state dump.
type InstanceState struct {
	Name      string  `json:"name"`
	Service   string  `json:"service"`
	Address   string  `json:"address"`
	Version   string  `json:"version"`
	Slots     int     `json:"slots"`
	Running   int     `json:"running"`
	Queued    int     `json:"queued"`
	ServiceMS float64 `json:"serviceMS"`
	Leaving   bool    `json:"leaving"`
	// Sick is the estimate that it fails most requests at present.
	Sick float64 `json:"sick"`
	// Refuses is the share of recent requests that it refused with a free slot.
	Refuses float64 `json:"refuses"`
	// RepeatsLeft is what this host's part of the service's retry budget has.
	RepeatsLeft int     `json:"repeatsLeft"`
	Health      string  `json:"health"`
	Evidence    float64 `json:"evidence"`
	References  int     `json:"peerSamples"`
	Counts      Counts  `json:"counts"`
}

// Suspect says that the guard asks the choosers to leave the instance out.
func (s InstanceState) Suspect() bool { return s.Health == detect.Suspect.String() }

func (i *instance) state() InstanceState {
	i.mu.Lock()
	defer i.mu.Unlock()
	return InstanceState{
		Name: i.name, Service: i.service, Address: i.address, Version: i.version,
		Slots: i.slots, Running: i.queue.Running(), Queued: i.queue.Queued(),
		ServiceMS:   float64(i.queue.Service().Microseconds()) / 1000,
		Sick:        i.sick.Sick(time.Now(), i.guard.model),
		Refuses:     i.sheds.Now(time.Now()),
		RepeatsLeft: int(i.guard.repeats.left(time.Now(), i.service)),
		Leaving:     i.out(),
		Health:      i.detector.Health().String(), Evidence: i.detector.Evidence(),
		References: i.reference.At(time.Now()).Count, Counts: i.counts,
	}
}
