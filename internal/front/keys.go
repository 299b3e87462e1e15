package front

import (
	"context"

	"github.com/cespare/xxhash/v2"

	"github.com/radishhoist/radishhoist/internal/core/directory"
	"github.com/radishhoist/radishhoist/internal/core/header"
	"github.com/radishhoist/radishhoist/internal/core/once"
	"github.com/radishhoist/radishhoist/internal/msg"
	"github.com/radishhoist/radishhoist/verdict"
)

// Keys decides whether a keyed request may run.
type Keys interface {
	// Claim asks the owner of the key's shard; it never fails, a claim that
	// could not be made is refused.
	Claim(ctx context.Context, service *directory.Service, k KeyRequest) ClaimResult
	// Done tells the owner how a claimed request ended. It may take long.
	Done(service *directory.Service, k KeyRequest, end RequestResult)
}

// KeyRequest names one keyed request.
type KeyRequest struct {
	Key string
	// BodyHash binds the key to one method, path and body.
	BodyHash  uint64
	RequestID string
}

// ClaimResult is the owner's word on a keyed request.
type ClaimResult struct {
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

// RequestResult is how a claimed request ended.
type RequestResult struct {
	Verdict verdict.Verdict
	// Whole says that a whole answer came, Kept that it stands below.
	Whole, Kept bool
	Status      uint16
	Header      []msg.Field
	Body        []byte
}

// maxKey bounds an Idempotency-Key, in bytes.
const maxKey = 256

// runKeyed runs the request by the promise that fits it.
func (f *Front) runKeyed(ctx context.Context, req *request) (*answer, *verdict.Error) {
	switch {
	case req.idempotent:
		return f.runIdempotent(ctx, req)
	case req.key == "" || f.keys == nil:
		return f.runOnce(ctx, req, nil)
	case len(req.key) > maxKey:
		return nil, verdict.New(verdict.NotRun, verdict.ReasonBadRequest, "the Idempotency-Key is too long: write up to 256 bytes")
	}
	k := KeyRequest{Key: req.key, BodyHash: req.hash(), RequestID: req.id}
	task := &claimTask{done: make(chan struct{})}
	go func() {
		task.answer = f.keys.Claim(ctx, req.service, k)
		close(task.done)
	}()
	a, fail := f.runOnce(ctx, req, task)
	<-task.done
	if task.answer.Outcome == once.ClaimReplay {
		return replay(task.answer), nil
	}
	if task.answer.Outcome == once.ClaimRun {
		end := endOf(a, fail)
		go f.keys.Done(req.service, k, end)
	}
	return a, fail
}

// hash binds a key to one request. Of a body too large to keep it covers the
// kept part and the length.
func (req *request) hash() uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(req.http.Method + " " + req.http.URL.RequestURI() + "\n")
	_, _ = d.Write(req.body)
	return d.Sum64() ^ uint64(req.length)
}

// endOf describes the end of a claimed request to the key's owner.
func endOf(a *answer, fail *verdict.Error) RequestResult {
	if fail != nil {
		return RequestResult{Verdict: fail.Verdict}
	}
	end := RequestResult{Verdict: verdict.Ran, Whole: true, Status: a.head.Status}
	if !a.open {
		end.Kept, end.Header, end.Body = true, a.head.Header, a.kept
	}
	return end
}

// replay turns a finished answer into one to give again.
func replay(k ClaimResult) *answer {
	fields := append([]msg.Field{{Name: header.Replayed, Value: "true"}}, k.Header...)
	return &answer{
		head: &msg.Head{Status: k.Status, Header: fields, Length: int64(len(k.Body))},
		kept: k.Body,
	}
}

func isKeyReason(r verdict.Reason) bool {
	switch r {
	case verdict.ReasonKeyBusy, verdict.ReasonKeyReused, verdict.ReasonKeyUnknown, verdict.ReasonKeyNoOwner, verdict.ReasonKeyTooOld:
		return true
	default:
		return false
	}
}

// busyRetryAfter is told to a caller whose key is in progress.
const busyRetryAfter = 1000

// keyFailure says why a claim did not let the request run. The verdict speaks
// of all requests with the key, not of this one alone, which never ran.
func keyFailure(k ClaimResult) *verdict.Error {
	e := verdict.New(verdict.NotRun, verdict.ReasonKeyNoOwner, "the key's shard has no owner with authority at present")
	e.RetryAfterMS = max(k.RetryAfterMS, 1)
	switch k.Outcome {
	case once.ClaimBusy:
		e = verdict.New(verdict.MayHaveRun, verdict.ReasonKeyBusy, "a request with this key is in progress")
		e.RetryAfterMS = busyRetryAfter
	case once.ClaimKeyReused:
		e = verdict.New(verdict.NotRun, verdict.ReasonKeyReused, "this key stands for another request; mint a new key")
	case once.ClaimMayHaveRun:
		e = verdict.New(verdict.MayHaveRun, verdict.ReasonKeyUnknown, "a request with this key may have run; it is not run again")
	case once.ClaimResponseNotStored:
		e = verdict.New(verdict.Ran, verdict.ReasonKeyUnknown, "the request ran; its answer is not kept")
	case once.ClaimUnknown:
		e = verdict.New(verdict.MayHaveRun, verdict.ReasonKeyUnknown, "the key's owner is new and cannot tell whether the key has run")
	case once.ClaimTooOld:
		e = verdict.New(verdict.MayHaveRun, verdict.ReasonKeyTooOld, "the key is older than what its owner remembers")
	}
	return e
}
