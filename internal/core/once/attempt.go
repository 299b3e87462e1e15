// Package once holds the state machines that keep work from running twice:
// the front's half of one attempt, the key table of a shard's owner, and the
// promises that give an owner its authority. It does no I/O; time is passed
// in.
package once

import "github.com/radishhoist/radishhoist/verdict"

// Phase is where an attempt stands.
type Phase uint8

// The phases of an attempt, in order.
const (
	// Idle: nothing was sent.
	Idle Phase = iota
	// Reserving: a slot was asked for; the request was not sent.
	Reserving
	// Running: the request was sent.
	Running
	// Answering: the target's answer has begun.
	Answering
	// Done: the attempt has its verdict.
	Done
)

// Action is what the front sends next.
type Action uint8

// The messages an attempt asks for.
const (
	SendNothing Action = iota
	SendReserve
	SendRun
	SendCancel
)

// Attempt is the front's half of one try of one request at one guard. It is a
// plain value: a copy is an independent attempt, which the model checker uses.
type Attempt struct {
	phase   Phase
	verdict verdict.Verdict
	whole   bool
	// awaitClaim holds Run back until the key's owner has agreed.
	awaitClaim bool
	// haveSlot remembers a grant that waits for the claim.
	haveSlot bool
}

// Phase reads the phase.
func (a *Attempt) Phase() Phase { return a.phase }

// Verdict reads the verdict; it is final once the phase is Done.
func (a *Attempt) Verdict() verdict.Verdict { return a.verdict }

// ResponseComplete says that the whole answer arrived and was proved.
func (a *Attempt) ResponseComplete() bool { return a.phase == Done && a.whole }

// Begin starts the attempt. An idempotent request runs in one step; any other
// reserves first, and with claim also waits for the key's owner.
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

// HandleGrant takes the guard's grant. A second grant, or one that comes after
// the attempt has ended, changes nothing: the guard lets it lapse.
func (a *Attempt) HandleGrant() Action {
	if a.phase != Reserving {
		return SendNothing
	}
	a.haveSlot = true
	return a.runIfReady()
}

// HandleClaimAccepted takes the owner's agreement that this request may run.
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

// HandleResponseStart takes the start of the target's answer.
func (a *Attempt) HandleResponseStart() {
	if a.phase == Running {
		a.phase = Answering
	}
}

// HandleResponseEnd takes the end of the answer; whole says that length and hash agree.
func (a *Attempt) HandleResponseEnd(whole bool) {
	if a.phase != Answering {
		return
	}
	a.whole = whole
	a.finish(verdict.Ran)
}

// HandleFailure takes the guard's word that the attempt is over. Before Run was sent
// nothing can have run, whatever the guard says; after the answer has begun
// the request did run.
func (a *Attempt) HandleFailure(v verdict.Verdict) {
	switch a.phase {
	case Reserving:
		a.finish(verdict.NotRun)
	case Running:
		a.finish(v)
	case Answering:
		a.finish(verdict.Ran)
	}
}

// Abort ends the attempt from the front's side: link lost, deadline, caller
// gone, or a claim that was refused. It says whether to tell the guard.
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
	case Answering:
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
