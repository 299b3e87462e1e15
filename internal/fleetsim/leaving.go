package fleetsim

import (
	"time"

	"github.com/radishhoist/radishhoist/internal/core/header"
)

// Leaving makes the first instances of a service state in their responses that they are
// leaving. They go on serving until the end.
type Leaving struct {
	At        time.Duration
	Service   string
	Instances int
	// WithdrawAfter is the time until they withdraw from the guard; 0 means never.
	WithdrawAfter time.Duration
	// RestartAfter is the time until they start again, under the same address; 0 means never.
	RestartAfter time.Duration
}

// drainTimeAllowed is the time from a host's first response that states the leaving until it
// may send the instance no more of the requests that callers send.
const drainTimeAllowed = 2 * time.Second

// leaving returns the leaving in which the instance is, and false if it is in none.
func (i *instance) leaving() (Leaving, bool) {
	now := i.host.fleet.now()
	for _, l := range i.host.fleet.scenario.Leavings {
		if i.isAmongFirst(l.Service, l.Instances) && now >= l.At && i.currentIncarnation() == 1 {
			return l, true
		}
	}
	return Leaving{}, false
}

// statedLeaving returns the header line that states the leaving, empty if there is none.
func (i *instance) statedLeaving() string {
	if _, ok := i.leaving(); !ok {
		return ""
	}
	f := i.host.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	f.result.LeavingResponses++
	return header.Default().Leaving + ": 1\r\n"
}

// scheduleLeavings schedules the withdrawals and restarts of leaving instances.
func (f *fleet) scheduleLeavings() {
	for _, l := range f.scenario.Leavings {
		for _, h := range f.hosts {
			if !h.instance.isAmongFirst(l.Service, l.Instances) {
				continue
			}
			if l.WithdrawAfter > 0 {
				time.AfterFunc(l.At+l.WithdrawAfter, h.instance.withdraw)
			}
			if l.RestartAfter > 0 {
				time.AfterFunc(l.At+l.RestartAfter, h.instance.restart)
			}
		}
	}
}

// withdraw withdraws the instance from the guard.
func (i *instance) withdraw() {
	i.host.deliver(func(d *daemon) { d.guard.Withdraw(time.Now(), i.currentName(), 0) })
	time.AfterFunc(directoryDelay, i.host.fleet.updateDirectories)
}

// recordLateArrival records an arrival at a leaving instance from a host that had passed on
// that it is leaving. The caller must hold f.mu.
func (f *fleet) recordLateArrival(i *instance, id string) {
	name, from := i.currentName(), f.origins[id]
	informedAt, informed := f.informedOfLeaving[informedKey{from.host, name}]
	if informed && from.at > informedAt+drainTimeAllowed {
		f.result.LateArrivals[name]++
	}
}
