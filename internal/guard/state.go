package guard

import (
	"slices"
	"strings"
	"time"

	"github.com/radishhoist/radishhoist/internal/core/detect"
	"github.com/radishhoist/radishhoist/record"
)

// InstanceState describes one instance in the state dump.
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
	// RateLimit is the rate limit that the instance states, in requests per second, 0 if
	// none.
	RateLimit float64 `json:"rateLimit,omitempty"`
	// SlotsWithheld is the number of slots that are not used because of a learned limit.
	SlotsWithheld int `json:"slotsWithheld,omitempty"`
	// FailureEstimate is the estimated probability that the instance currently fails most
	// requests.
	FailureEstimate float64 `json:"sick"`
	// ShedShare is the share of recent requests that the instance refused, see countsAsShed.
	ShedShare float64 `json:"refuses"`
	// RetryBudgetLeft is the number of retries left in this host's part of the service's
	// retry budget.
	RetryBudgetLeft int     `json:"repeatsLeft"`
	Health          string  `json:"health"`
	Evidence        float64 `json:"evidence"`
	PeerSamples     int     `json:"peerSamples"`
	Counts          Counts  `json:"counts"`
}

// Suspect reports whether the detector suspects the instance, so that target selection
// avoids it.
func (s InstanceState) Suspect() bool { return s.Health == detect.Suspect.String() }

func (i *instance) state() InstanceState {
	i.mu.Lock()
	defer i.mu.Unlock()
	return InstanceState{
		Name: i.name, Service: i.service, Address: i.address, Version: i.softwareVersion,
		Slots: i.slots, Running: i.queue.BusySlots(), Queued: i.queue.Queued(),
		ServiceMS:       float64(i.queue.MeanServiceTime().Microseconds()) / 1000,
		FailureEstimate: i.failureEstimate.SickForSelection(time.Now(), i.guard.model),
		ShedShare:       i.shedShare.At(time.Now()),
		RetryBudgetLeft: int(i.guard.retryBudgets.remaining(time.Now(), i.service)),
		Leaving:         i.unavailable(),
		SlotsWithheld:   i.concurrency.withheld(i.slots),
		RateLimit:       i.rateLimit,
		Health:          i.detector.Health().String(), Evidence: i.detector.Evidence(),
		PeerSamples: i.reference.At(time.Now()).Count, Counts: i.counts,
	}
}

// SuspectState describes one suspected request in the state dump.
type SuspectState struct {
	Fingerprint string `json:"print"`
	// CrashCount is the number of crashes that no other request explains, or the number of
	// all its crashes if the request is blocked.
	CrashCount int `json:"ends"`
	// Until is when the request may reach the software that it crashed again, empty
	// if it is not blocked.
	Until string `json:"until,omitempty"`
	// Crashes lists the crashes that the request is suspected of.
	Crashes []record.InstanceCrash `json:"instances"`
}

// Suspects returns the suspected requests for the state dump.
func (g *Guard) Suspects() []SuspectState {
	out := []SuspectState{}
	for fp, a := range *g.suspects.assessments.Load() {
		s := SuspectState{Fingerprint: fp.String(), CrashCount: a.Crashes, Crashes: crashRecords(g.suspects.crashesOf(fp))}
		if !a.BlockedUntil.IsZero() {
			s.Until = a.BlockedUntil.UTC().Format(time.RFC3339)
		}
		out = append(out, s)
	}
	slices.SortFunc(out, func(a, b SuspectState) int { return strings.Compare(a.Fingerprint, b.Fingerprint) })
	return out
}

// BlockedCount returns the number of blocked requests.
func (g *Guard) BlockedCount() int {
	n := 0
	for _, a := range *g.suspects.assessments.Load() {
		if !a.BlockedUntil.IsZero() {
			n++
		}
	}
	return n
}
