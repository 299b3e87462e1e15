// Package verdict describes whether a failed request may have run on its target.
//
// Every failure reported to a caller, an operator or another process carries one
// of three verdicts. A process that forwards a failure may weaken its verdict to
// MayHaveRun but never strengthen it; a process that does not know reports MayHaveRun.
package verdict

import (
	"fmt"

	"github.com/pkg/errors"
)

// Verdict states whether a request may have run on its target.
type Verdict uint8

const (
	// MayHaveRun, the zero value, means that it is not known whether the request ran.
	MayHaveRun Verdict = iota
	// NotRun means that the request did not run and can no longer start.
	NotRun
	// Ran means that the target started to respond to the request.
	Ran
)

// String returns the name used in headers, problem bodies and logs.
func (v Verdict) String() string {
	switch v {
	case NotRun:
		return "not-run"
	case Ran:
		return "ran"
	default:
		return "may-have-run"
	}
}

// Parse is the inverse of String. For an unknown name it returns MayHaveRun and an error.
func Parse(s string) (Verdict, error) {
	for _, v := range []Verdict{MayHaveRun, NotRun, Ran} {
		if v.String() == s {
			return v, nil
		}
	}
	return MayHaveRun, errors.Errorf("verdict %q: want may-have-run, not-run or ran", s)
}

// Reason is the machine-readable cause of a failure. The values are stable, so that
// alerts can match on them.
type Reason string

// Reasons for a failed request, documented in docs/operate/answers.md.
const (
	ReasonNoRoute          Reason = "no-route"
	ReasonBadRequest       Reason = "bad-request"
	ReasonBodyTooLarge     Reason = "body-too-large"
	ReasonHeaderTooLarge   Reason = "header-too-large"
	ReasonBodyTimeout      Reason = "body-timeout"
	ReasonMemory           Reason = "memory"
	ReasonNotReady         Reason = "not-ready"
	ReasonTeamLimit        Reason = "team-limit"
	ReasonNoTeam           Reason = "no-team"
	ReasonNoTarget         Reason = "no-target"
	ReasonQueueFull        Reason = "queue-full"
	ReasonTeamShare        Reason = "team-share"
	ReasonDeadline         Reason = "deadline"
	ReasonDraining         Reason = "draining"
	ReasonGrantExpired     Reason = "grant-expired"
	ReasonUnknownTarget    Reason = "unknown-target"
	ReasonTargetDown       Reason = "target-down"
	ReasonTargetShed       Reason = "target-shed"
	ReasonTargetLimit      Reason = "target-limit"
	ReasonRetryBudget      Reason = "retry-budget"
	ReasonTargetBroke      Reason = "target-broke"
	ReasonTargetCrashed    Reason = "target-ended"
	ReasonCrashesTargets   Reason = "crashes-targets"
	ReasonResponseMismatch Reason = "answer-mismatch"
	ReasonLinkLost         Reason = "link-lost"
	ReasonCancelled        Reason = "cancelled"
	ReasonKeyInProgress    Reason = "key-in-progress"
	ReasonKeyReused        Reason = "key-reused"
	ReasonKeyUnknown       Reason = "key-unknown"
	ReasonKeyNoOwner       Reason = "key-no-owner"
	ReasonKeyTooOld        Reason = "key-too-old"
)

// Error is a failed request with its verdict and reason.
type Error struct {
	Verdict Verdict
	Reason  Reason
	Detail  string
	// RetryAfterMS is how long a caller should wait before it retries, in milliseconds;
	// 0 if no later retry is known to help.
	RetryAfterMS int64
}

// Error implements the error interface.
func (e *Error) Error() string {
	if e.Detail == "" {
		return fmt.Sprintf("%s (%s)", e.Reason, e.Verdict)
	}
	return fmt.Sprintf("%s (%s): %s", e.Reason, e.Verdict, e.Detail)
}

// New returns an Error without a Retry-After time.
func New(v Verdict, r Reason, detail string) *Error {
	return &Error{Verdict: v, Reason: r, Detail: detail}
}

// Of returns the verdict carried by err, or MayHaveRun if it carries none.
func Of(err error) Verdict {
	var e *Error
	if errors.As(err, &e) {
		return e.Verdict
	}
	return MayHaveRun
}
