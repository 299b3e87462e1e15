package front

import (
	"context"

	"github.com/radishhoist/radishhoist/internal/core/once"
	"github.com/radishhoist/radishhoist/internal/msg"
	"github.com/radishhoist/radishhoist/verdict"
)

// KeyRequest names one keyed request.
type KeyRequest struct {
	Key       string
	BodyHash  uint64
	RequestID string
	MintedMS  int64
}

// KeyAnswer is the owner's word on a keyed request.
type KeyAnswer struct {
	Outcome once.ClaimOutcome
	Shard   uint32
	Epoch   uint64
	// Status, Header and Body are the finished answer, for ClaimReplay.
	Status uint16
	Header []msg.Field
	Body   []byte
	// RetryAfterMS helps a caller that was refused.
	RetryAfterMS int64
}

// KeyEnd is how a claimed request ended.
type KeyEnd struct {
	Verdict verdict.Verdict
	// Whole says that the answer below is whole.
	Whole  bool
	Status uint16
	Header []msg.Field
	Body   []byte
}

// runKeyed runs the request by the promise that fits it.
func (f *Front) runKeyed(ctx context.Context, req *request) (*answer, *verdict.Error) {
	if req.idempotent {
		return f.runIdempotent(ctx, req)
	}
	return f.runOnce(ctx, req, func() *claimTask { return nil })
}

func isKeyReason(r verdict.Reason) bool {
	switch r {
	case verdict.ReasonKeyBusy, verdict.ReasonKeyReused, verdict.ReasonKeyUnknown, verdict.ReasonKeyNoOwner, verdict.ReasonKeyTooOld:
		return true
	default:
		return false
	}
}

func keyFailure(c claimResult) *verdict.Error {
	return verdict.New(verdict.NotRun, verdict.ReasonKeyNoOwner, "")
}
