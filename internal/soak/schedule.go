// Package soak runs the real programs as separate processes on loopback addresses, injects faults
// from outside the daemons by a seeded schedule, and checks invariants on what callers, instances
// and operators observe.
//
// A seed determines the schedule, but the interleaving of a run depends on the machine: rerun
// a seed that failed, and add a regression test once the cause is known.
package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// FaultKind is the kind of a fault.
type FaultKind string

// The kinds of fault.
const (
	// Kill sends SIGKILL to a daemon and restarts it at the end of the fault.
	Kill FaultKind = "kill"
	// Terminate sends SIGTERM to a daemon twice, kills it one drain timeout after the first if
	// it still runs, and restarts it at the end of the fault.
	Terminate FaultKind = "terminate"
	// Pause suspends a daemon with SIGSTOP and resumes it at the end of the fault.
	Pause FaultKind = "pause"
	// CutSilent drops all data between a host and the platform without closing the connections.
	// Connections that are open during the fault pass no data after it either.
	CutSilent FaultKind = "cut-silent"
	// CutReset resets a host's connections to the platform, including new ones.
	CutReset FaultKind = "cut-reset"
	// CutSlow delays all data between a host and the platform.
	CutSlow FaultKind = "cut-slow"
	// PlatformSilent, PlatformRefuses and PlatformSlow are faults of the platform itself.
	PlatformSilent  FaultKind = "platform-silent"
	PlatformRefuses FaultKind = "platform-refuses"
	PlatformSlow    FaultKind = "platform-slow"
	// TargetFails, TargetSlow and TargetCuts are faults of a host's instance.
	TargetFails FaultKind = "target-fails"
	TargetSlow  FaultKind = "target-slow"
	TargetCuts  FaultKind = "target-cuts"
	// TargetLimits makes a host's instance state a rate limit in its responses. TargetLeaves
	// makes it state there that it is leaving, and start again at the end of the fault.
	TargetLimits FaultKind = "target-limits"
	TargetLeaves FaultKind = "target-leaves"
	// PlatformRestored makes the platform refuse all calls and then come back from an
	// earlier state.
	PlatformRestored FaultKind = "platform-restored"
	// TargetRefuses makes a host's instance refuse about half of its arrivals, whether or not
	// a slot is free, and ServiceRefuses all instances of the contended service.
	TargetRefuses  FaultKind = "target-refuses"
	ServiceRefuses FaultKind = "service-refuses"
	// TargetDeclares makes a host's instance declare the greatest length for half of its responses.
	TargetDeclares FaultKind = "target-declares"
	// TargetResets makes a host's instance reset the connection in the middle of its responses
	// to long uploads. TargetDeparts makes it withdraw and send delayed announcements.
	TargetResets  FaultKind = "target-resets"
	TargetDeparts FaultKind = "target-departs"
	// TeamSurge makes one team send many times its usual rate to the contended service.
	TeamSurge FaultKind = "team-surge"
)

// faultKinds are all kinds of fault, for Schedule to select from.
var faultKinds = []FaultKind{
	Kill, Terminate, Pause, CutSilent, CutReset, CutSlow, PlatformSilent, PlatformRefuses, PlatformSlow,
	TargetFails, TargetSlow, TargetCuts,
}

// addedFaultKinds are the kinds of fault for which Schedule has a random source of its own, so
// that the other faults of a seed do not depend on them.
var addedFaultKinds = []FaultKind{TargetLimits, TargetLeaves}

// loadFaults are kinds of fault that Schedule adds last, each from a random source of its own, with
// the limits of their lengths and the maximum time between two of them.
var loadFaults = []struct {
	kind                         FaultKind
	minLength, maxLength, maxGap time.Duration
}{
	{TargetRefuses, 1500 * time.Millisecond, 6 * time.Second, 4 * time.Second},
	{ServiceRefuses, 3 * time.Second, 5 * time.Second, 8 * time.Second},
	// A surge is longer than shareKnownTime, from which on shares are checked.
	{TeamSurge, shareKnownTime + 2*time.Second, 8 * time.Second, 2 * time.Second},
	{TargetDeclares, 500 * time.Millisecond, 4 * time.Second, 3 * time.Second},
	{TargetDeparts, 4 * time.Second, 7 * time.Second, 400 * time.Millisecond},
	{TargetResets, time.Second, 4 * time.Second, 400 * time.Millisecond},
}

// affectsPlatform reports whether the fault affects the platform rather than one host.
func (k FaultKind) affectsPlatform() bool {
	return k == PlatformSilent || k == PlatformRefuses || k == PlatformSlow || k == PlatformRestored
}

// affectsTarget reports whether the fault affects an instance rather than a daemon.
func (k FaultKind) affectsTarget() bool {
	return k == TargetFails || k == TargetSlow || k == TargetCuts || k == TargetLimits || k == TargetLeaves || k == TargetRefuses || k == TargetDeclares ||
		k == TargetDeparts || k == TargetResets
}

// affectsLink reports whether the fault affects the connections of a host to the platform.
func (k FaultKind) affectsLink() bool { return k == CutSilent || k == CutReset || k == CutSlow }

// affectsOneHost reports whether the fault affects a host or its instance.
func (k FaultKind) affectsOneHost() bool {
	return k.affectsTarget() || k.affectsDaemon() || k.affectsLink()
}

// affectsDaemon reports whether the fault affects the daemon process of a host.
func (k FaultKind) affectsDaemon() bool { return k == Kill || k == Terminate || k == Pause }

// Fault is one fault of a schedule. Times are relative to the start of traffic.
type Fault struct {
	Kind FaultKind
	// Host is the index of the host, for faults of one host.
	Host       int
	At, Length time.Duration
}

// End returns the time at which the fault ends.
func (f Fault) End() time.Duration { return f.At + f.Length }

// String formats the fault for the report.
func (f Fault) String() string {
	where := fmt.Sprintf("host %d", f.Host)
	switch {
	case f.Kind.affectsPlatform():
		where = "platform"
	case !f.Kind.affectsOneHost():
		where = "service " + contendedService
	}
	return fmt.Sprintf("%6.2f s  %s for %.2f s, %s", f.At.Seconds(), f.Kind, f.Length.Seconds(), where)
}

const (
	// firstFault is the time of the first fault, before which the fleet serves without faults.
	firstFault = time.Second
	// faultFreeEnd is the time without faults at the end of a run, in which the fleet must recover
	// and serve requests.
	faultFreeEnd = 8 * time.Second
	// maxFaultGap limits the time between the starts of two faults. It is less than
	// maxFaultLength, so that faults overlap.
	maxFaultGap    = 1200 * time.Millisecond
	minFaultLength = 300 * time.Millisecond
	maxFaultLength = 5 * time.Second
)

// Schedule generates the faults of a seed. At any time, a host's daemon, its connections to the
// platform and its instance have at most one fault each, and so have the platform, and the instances
// and the load of the contended service. At most half of the daemons have a fault at the same time.
func Schedule(seed uint64, hosts int, length time.Duration) []Fault {
	rng := rand.New(rand.NewPCG(seed, 1))
	var out []Fault
	for at := firstFault; ; at += time.Duration(rng.Int64N(int64(maxFaultGap))) {
		f := Fault{Kind: faultKinds[rng.IntN(len(faultKinds))], Host: rng.IntN(hosts), At: at}
		f.Length = minFaultLength + time.Duration(rng.Int64N(int64(maxFaultLength-minFaultLength)))
		if f.At >= length-faultFreeEnd-minFaultLength {
			return addFaults(out, seed, hosts, length)
		}
		f.Length = min(f.Length, length-faultFreeEnd-f.At)
		if canAdd(out, f, hosts) {
			out = append(out, f)
		}
	}
}

// restoredShare is the share of the platform's outages from which it comes back in an earlier
// state.
const restoredShare = 0.5

// addFaults makes some outages of the platform restorations, and adds faults of addedFaultKinds
// where the others allow it.
func addFaults(out []Fault, seed uint64, hosts int, length time.Duration) []Fault {
	rng := rand.New(rand.NewPCG(seed, 3))
	for i, f := range out {
		if (f.Kind == PlatformRefuses || f.Kind == PlatformSilent) && rng.Float64() < restoredShare {
			out[i].Kind = PlatformRestored
		}
	}
	for at := firstFault; at < length-faultFreeEnd-minAddedFaultLength; at += time.Duration(rng.Int64N(int64(maxAddedFaultGap))) {
		f := Fault{Kind: addedFaultKinds[rng.IntN(len(addedFaultKinds))], Host: rng.IntN(hosts), At: at}
		f.Length = minAddedFaultLength + time.Duration(rng.Int64N(int64(maxAddedFaultLength-minAddedFaultLength)))
		f.Length = min(f.Length, length-faultFreeEnd-f.At)
		if canAdd(out, f, hosts) && canAddBefore(out, f) {
			out = append(out, f)
		}
	}
	return addLoadFaults(out, seed, hosts, length)
}

// addLoadFaults adds the faults of loadFaults where the others allow it.
func addLoadFaults(out []Fault, seed uint64, hosts int, length time.Duration) []Fault {
	for i, kind := range loadFaults {
		rng := rand.New(rand.NewPCG(seed, 4+uint64(i)))
		for at := firstFault; ; {
			at += time.Duration(rng.Int64N(int64(kind.maxGap)))
			f := Fault{Kind: kind.kind, At: at}
			if f.Kind.affectsOneHost() {
				f.Host = rng.IntN(hosts)
			}
			f.Length = kind.minLength + time.Duration(rng.Int64N(int64(kind.maxLength-kind.minLength)))
			if f.Length = min(f.Length, length-faultFreeEnd-f.At); f.Length < kind.minLength {
				break
			}
			if canAdd(out, f, hosts) && canAddBefore(out, f) {
				out = append(out, f)
				out = addRestart(out, f, hosts)
			}
		}
	}
	return out
}

// addRestart kills the daemon of an instance that departs, where the other faults allow it: once
// the departure is acknowledged, and early enough for requests to arrive too late.
func addRestart(out []Fault, f Fault, hosts int) []Fault {
	restart := Fault{Kind: Kill, Host: f.Host, At: f.At + restartDelay, Length: minFaultLength}
	if f.Kind == TargetDeparts && canAdd(out, restart, hosts) && canAddBefore(out, restart) {
		out = append(out, restart)
	}
	return out
}

// restartDelay is the time from the start of TargetDeparts to the restart of the daemon. The
// instance withdraws with its next announcement, within a second.
const restartDelay = 1300 * time.Millisecond

// lastSurge returns the surge that follows the schedule, in the time without other faults, which
// affect nearly all of the surges that Schedule adds. after is when the last fault ended.
func lastSurge(after, length time.Duration) Fault {
	return Fault{Kind: TeamSurge, At: max(after, length-faultFreeEnd), Length: faultFreeEnd}
}

const (
	// The added faults last longer than the others, because the effect of a statement is
	// checked from 2 to 3 s after it.
	minAddedFaultLength = 1500 * time.Millisecond
	maxAddedFaultLength = 8 * time.Second
	maxAddedFaultGap    = 3 * time.Second
)

// canAddBefore reports whether a fault ends early enough before the later ones of its
// component.
func canAddBefore(scheduled []Fault, f Fault) bool {
	for _, later := range scheduled {
		if later.At >= f.At && later.At <= f.End()+f.cooldown() && later.component() == f.component() && (!f.Kind.affectsOneHost() || later.Host == f.Host) {
			return false
		}
	}
	return true
}

// canAdd reports whether a fault may be scheduled in addition to the earlier ones.
func canAdd(before []Fault, f Fault, hosts int) bool {
	down := 0
	for _, b := range before {
		if b.End()+b.cooldown() < f.At {
			continue
		}
		if b.Kind.affectsDaemon() {
			down++
		}
		if b.component() == f.component() && (!f.Kind.affectsOneHost() || b.Host == f.Host) {
			return false
		}
	}
	return !f.Kind.affectsDaemon() || down < hosts/2
}

const (
	// restartCooldown is the minimum time between two faults of the same component of a host. It
	// allows for the restart of a process.
	restartCooldown = time.Second
	// platformCooldown is the minimum time between two platform faults. It leaves 3 s after
	// settlePeriod in which late changes are detected. With a cooldown of 1 s, the time in which no
	// host is checked covered nearly the whole run.
	platformCooldown = settlePeriod + 3*time.Second
)

// cooldown is the minimum time between the end of a fault and the next fault of the same component.
func (f Fault) cooldown() time.Duration {
	if f.Kind.affectsPlatform() {
		return platformCooldown
	}
	return restartCooldown
}

// component identifies the component that the fault affects: the platform, or a host's instance,
// daemon or connections to the platform, or the instances or the load of the contended service.
func (f Fault) component() int {
	k := f.Kind
	return slices.Index([]bool{k.affectsPlatform(), k.affectsTarget(), k.affectsDaemon(), k.affectsLink(), k == ServiceRefuses, true}, true)
}
