// Package once holds the state machines that provide at-most-once execution:
// the front's side of an attempt, the idempotency-key table kept by a shard's
// owner, and the leases that give an owner its authority. The package does no
// I/O, and callers pass in the time.
//
// A request passes from the front, the proxy at the caller, to the guard, the proxy at
// the target, which is the instance that runs it. The guard lets a request run once it has
// a slot, the capacity to run one request. An attempt sends the request to one guard once.
// Its verdict states whether the request ran, did not run, or may have run.
//
// A service's idempotency keys are divided into shards. The service's shard map assigns
// each shard to a host, its owner, and numbers each assignment by an epoch. Before a
// request with a key runs, the front claims the key at the owner of the key's shard. The
// guard that runs the request checks the epoch of the claim. At a planned change of owner,
// the old owner hands its table over to the next.
//
// An owner may accept claims only while it has authority, that is, while it holds the
// lease of its epoch from a majority of the guards named in the shard map. The map names up
// to maxGuards hosts, or one more while a lost one is replaced. The guards of these hosts
// grant the leases; the service's instances may be on other hosts.
package once

import "github.com/radishhoist/radishhoist/verdict"

// Phase is the state of an attempt.
type Phase uint8

// The phases of an attempt, in order.
const (
	// Idle means that nothing has been sent.
	Idle Phase = iota
	// Reserving means that a slot was requested and the request has not been sent.
	Reserving
	// Running means that the request was sent.
	Running
	// Responding means that the start of the target's response was received.
	Responding
	// Done means that the attempt has ended and its verdict is final.
	Done
)

// Action is the message that the front must send next.
type Action uint8

// The messages that an attempt sends to the guard.
const (
	SendNothing Action = iota
	SendReserve
	SendRun
	SendCancel
)

// Attempt is the front's state machine for sending one request to one guard once. Its
// zero value is ready to use. A copy is an independent attempt, which the model checker
// in the tests relies on.
type Attempt struct {
	phase    Phase
	verdict  verdict.Verdict
	complete bool
	// awaitClaim is set until the key's owner has accepted the claim. SendRun waits for
	// it.
	awaitClaim bool
	// haveSlot is set once the guard has granted a slot.
	haveSlot bool
}

// Phase returns the current phase.
func (a *Attempt) Phase() Phase { return a.phase }

// Verdict returns the verdict, which is final once the phase is Done.
func (a *Attempt) Verdict() verdict.Verdict { return a.verdict }

// ResponseComplete reports whether the whole response arrived with the expected length
// and hash.
func (a *Attempt) ResponseComplete() bool { return a.phase == Done && a.complete }

// Begin starts the attempt. An idempotent request without a claim is sent at once, since it
// can be sent again even if it may have run. Any other request is sent once the guard has
// granted a slot and, if claim is set, the key's owner has accepted the claim. If the
// attempt ends before that, the request has not run.
func (a *Attempt) Begin(idempotent, claim bool) Action {
	if a.phase != Idle {
		return SendNothing
	}
	if idempotent && !claim {
		a.phase = Running
		return SendRun
	}
	a.phase = Reserving
	a.awaitClaim = claim
	return SendReserve
}

// HandleGrant handles the guard's grant of a slot. A duplicate grant has no effect. A
// grant that arrives after the attempt has ended is ignored. Its slot is freed at the
// guard by the attempt's cancellation, or else when the grant expires.
func (a *Attempt) HandleGrant() Action {
	if a.phase != Reserving {
		return SendNothing
	}
	a.haveSlot = true
	return a.runIfReady()
}

// HandleClaimAccepted handles the owner's confirmation that this request may run.
func (a *Attempt) HandleClaimAccepted() Action {
	if a.phase != Reserving {
		return SendNothing
	}
	a.awaitClaim = false
	return a.runIfReady()
}

func (a *Attempt) runIfReady() Action {
	if !a.haveSlot || a.awaitClaim {
		return SendNothing
	}
	a.phase = Running
	return SendRun
}

// HandleResponseStart handles the start of the target's response.
func (a *Attempt) HandleResponseStart() {
	if a.phase == Running {
		a.phase = Responding
	}
}

// HandleResponseEnd handles the end of the response; complete reports whether its
// length and hash match.
func (a *Attempt) HandleResponseEnd(complete bool) {
	if a.phase != Responding {
		return
	}
	a.complete = complete
	a.finish(verdict.Ran)
}

// HandleFailure handles the guard's report that the attempt failed with verdict v. The
// reported verdict counts only while the phase is Running: before that, the request cannot
// have run, and once the response has started, it has run.
func (a *Attempt) HandleFailure(v verdict.Verdict) {
	switch a.phase {
	case Reserving:
		a.finish(verdict.NotRun)
	case Running:
		a.finish(v)
	case Responding:
		a.finish(verdict.Ran)
	}
}

// Abort ends the attempt from the front's side, after the connection was lost, the
// deadline has passed, the caller has disconnected or the claim was refused. It returns
// SendCancel if the guard must be sent a cancellation.
func (a *Attempt) Abort() Action {
	switch a.phase {
	case Idle:
		a.finish(verdict.NotRun)
		return SendNothing
	case Reserving:
		a.finish(verdict.NotRun)
		return SendCancel
	case Running:
		a.finish(verdict.MayHaveRun)
		return SendCancel
	case Responding:
		a.finish(verdict.Ran)
		return SendCancel
	default:
		return SendNothing
	}
}

func (a *Attempt) finish(v verdict.Verdict) {
	a.phase = Done
	a.verdict = v
}
