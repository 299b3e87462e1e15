// Package soak runs real programs as separate processes on loopback addresses under a
// seeded schedule of faults that come from outside them, and checks the promises from
// what callers, instances and operators see.
//
// One seed gives one schedule. What happens within it depends on the machine: a seed
// that failed is played again, and kept as a case once its cause is known.
package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Kind is what a fault does.
type Kind string

// The kinds of fault.
const (
	// Kill ends a daemon at once and starts it again at the fault's end.
	Kill Kind = "kill"
	// Terminate stops a daemon as planned, with the time it needs, and starts it again.
	Terminate Kind = "terminate"
	// Pause stops a daemon in its tracks until the fault's end.
	Pause Kind = "pause"
	// CutSilent lets nothing through between a host and the platform, without a word;
	// connections of that time stay dead.
	CutSilent Kind = "cut-silent"
	// CutReset resets a host's connections to the platform, new ones too.
	CutReset Kind = "cut-reset"
	// CutSlow delays what goes between a host and the platform.
	CutSlow Kind = "cut-slow"
	// PlatformSilent, PlatformRefuses and PlatformSlow befall the platform itself.
	PlatformSilent  Kind = "platform-silent"
	PlatformRefuses Kind = "platform-refuses"
	PlatformSlow    Kind = "platform-slow"
	// TargetFails, TargetSlow and TargetCuts befall the instance of a host.
	TargetFails Kind = "target-fails"
	TargetSlow  Kind = "target-slow"
	TargetCuts  Kind = "target-cuts"
)

var kinds = []Kind{
	Kill, Terminate, Pause, CutSilent, CutReset, CutSlow, PlatformSilent, PlatformRefuses, PlatformSlow,
	TargetFails, TargetSlow, TargetCuts,
}

// ofPlatform says that a fault befalls no single host.
func (k Kind) ofPlatform() bool {
	return k == PlatformSilent || k == PlatformRefuses || k == PlatformSlow
}

// ofTarget says that a fault befalls an instance, which disturbs no daemon.
func (k Kind) ofTarget() bool { return k == TargetFails || k == TargetSlow || k == TargetCuts }

// ofDaemon says that a fault befalls the process of a host.
func (k Kind) ofDaemon() bool { return k == Kill || k == Terminate || k == Pause }

// Fault is one fault of a schedule; times count from the start of traffic.
type Fault struct {
	Kind Kind
	// Host is the number of the host, of no meaning for faults of the platform.
	Host    int
	At, For time.Duration
}

// End is when the fault is over.
func (f Fault) End() time.Duration { return f.At + f.For }

// String is the fault as a report shows it.
func (f Fault) String() string {
	where := fmt.Sprintf("host %d", f.Host)
	if f.Kind.ofPlatform() {
		where = "platform"
	}
	return fmt.Sprintf("%6.2f s  %s for %.2f s, %s", f.At.Seconds(), f.Kind, f.For.Seconds(), where)
}

const (
	// firstFault leaves the fleet time to serve calmly.
	firstFault = time.Second
	// calmEnd is the time without faults at the end, in which the fleet must serve.
	calmEnd = 8 * time.Second
	// gapMost bounds the time between the begins of two faults: they overlap.
	gapMost = 1200 * time.Millisecond
	// faultLeast and faultMost bound the length of one.
	faultLeast = 300 * time.Millisecond
	faultMost  = 5 * time.Second
)

// Schedule draws the faults of a seed. At most one fault at a time befalls one host's
// process, one its link, one its instance, and one the platform; more than half of the
// processes are never gone at once.
func Schedule(seed uint64, hosts int, length time.Duration) []Fault {
	rng := rand.New(rand.NewPCG(seed, 1))
	var out []Fault
	for at := firstFault; ; at += time.Duration(rng.Int64N(int64(gapMost))) {
		f := Fault{Kind: kinds[rng.IntN(len(kinds))], Host: rng.IntN(hosts), At: at}
		f.For = faultLeast + time.Duration(rng.Int64N(int64(faultMost-faultLeast)))
		if f.At >= length-calmEnd-faultLeast {
			return out
		}
		f.For = min(f.For, length-calmEnd-f.At)
		if fits(out, f, hosts) {
			out = append(out, f)
		}
	}
}

// fits says that a fault can be laid beside those before it.
func fits(before []Fault, f Fault, hosts int) bool {
	gone := 0
	for _, b := range before {
		if b.End()+b.settling() < f.At {
			continue
		}
		if b.Kind.ofDaemon() {
			gone++
		}
		if b.class() == f.class() && (f.Kind.ofPlatform() || b.Host == f.Host) {
			return false
		}
	}
	return !f.Kind.ofDaemon() || gone < hosts/2
}

const (
	// restarting is what a process takes until the next fault may befall it.
	restarting = time.Second
	// judging is the time after a fault of the platform in which a change can be found
	// late: bounds hold again after stable. With the next fault a second later the
	// platform was disturbed nearly all the time, which excused all hosts.
	judging = stable + 3*time.Second
)

// settling is the time after a fault until the next of its class may come.
func (f Fault) settling() time.Duration {
	if f.Kind.ofPlatform() {
		return judging
	}
	return restarting
}

// class is what a fault befalls.
func (f Fault) class() int {
	return slices.Index([]bool{f.Kind.ofPlatform(), f.Kind.ofTarget(), f.Kind.ofDaemon(), true}, true)
}
