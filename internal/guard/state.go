package guard

import (
	"slices"
	"strings"
	"time"

	"github.com/radishhoist/radishhoist/internal/core/detect"
	"github.com/radishhoist/radishhoist/record"
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
	// FailureEstimate is the estimate that it fails most requests at present.
	FailureEstimate float64 `json:"sick"`
	// ShedShare is the share of recent requests that it refused with a free slot.
	ShedShare float64 `json:"refuses"`
	// RetryBudgetLeft is what this host's part of the service's retry budget has.
	RetryBudgetLeft int     `json:"repeatsLeft"`
	Health          string  `json:"health"`
	Evidence        float64 `json:"evidence"`
	PeerSamples     int     `json:"peerSamples"`
	Counts          Counts  `json:"counts"`
}

// Suspect says that the guard asks the choosers to leave the instance out.
func (s InstanceState) Suspect() bool { return s.Health == detect.Suspect.String() }

func (i *instance) state() InstanceState {
	i.mu.Lock()
	defer i.mu.Unlock()
	return InstanceState{
		Name: i.name, Service: i.service, Address: i.address, Version: i.version,
		Slots: i.slots, Running: i.queue.Running(), Queued: i.queue.Queued(),
		ServiceMS:       float64(i.queue.Service().Microseconds()) / 1000,
		FailureEstimate: i.sick.SickForSelection(time.Now(), i.guard.model),
		ShedShare:       i.sheds.At(time.Now()),
		RetryBudgetLeft: int(i.guard.repeats.left(time.Now(), i.service)),
		Leaving:         i.out(),
		Health:          i.detector.Health().String(), Evidence: i.detector.Evidence(),
		PeerSamples: i.reference.At(time.Now()).Count, Counts: i.counts,
	}
}

// SuspectState is one suspected request in the state dump.
type SuspectState struct {
	Fingerprint string `json:"print"`
	// Crashes is in how many ends it had part that no other request explains, or in how many
	// at all where it is stopped.
	Crashes int `json:"ends"`
	// Until is when it may reach the software that it has ended again, empty where it
	// is not stopped.
	Until string `json:"until,omitempty"`
	// Instances are the ends of the starts that ended.
	Instances []record.InstanceEnd `json:"instances"`
}

// Suspects lists the requests that are suspected, for the state dump.
func (g *Guard) Suspects() []SuspectState {
	out := []SuspectState{}
	for p, v := range *g.suspects.verdicts.Load() {
		s := SuspectState{Fingerprint: p.String(), Crashes: v.Crashes, Instances: records(g.suspects.endsOf(p))}
		if !v.BlockedUntil.IsZero() {
			s.Until = v.BlockedUntil.UTC().Format(time.RFC3339)
		}
		out = append(out, s)
	}
	slices.SortFunc(out, func(a, b SuspectState) int { return strings.Compare(a.Fingerprint, b.Fingerprint) })
	return out
}

// BlockedCount counts the requests that are kept from instances.
func (g *Guard) BlockedCount() int {
	n := 0
	for _, v := range *g.suspects.verdicts.Load() {
		if !v.BlockedUntil.IsZero() {
			n++
		}
	}
	return n
}
