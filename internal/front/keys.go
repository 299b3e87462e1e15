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

// IdempotencyKeys decides whether a request with an idempotency key may run. The keys of a
// service are divided into shards, each of which is owned by at most one host, see package
// once.
type IdempotencyKeys interface {
	// Claim asks the owner of the key's shard. It has no error result: a claim that could
	// not be made is refused.
	Claim(ctx context.Context, service *directory.Service, k KeyRequest) ClaimResult
	// ReportResult reports the result of a claimed request to the owner. It may block for a
	// long time.
	ReportResult(service *directory.Service, k KeyRequest, result RequestResult)
}

// KeyRequest identifies one request with an idempotency key.
type KeyRequest struct {
	Key string
	// BodyHash binds the key to one method, path and body.
	BodyHash  uint64
	RequestID string
}

// ClaimResult is the owner's reply to a claim.
type ClaimResult struct {
	Outcome once.ClaimOutcome
	Shard   uint32
	Epoch   uint64
	// Status, Header and Body are the stored response, for ClaimReplay.
	Status uint16
	Header []msg.Field
	Body   []byte
	// RetryAfterMS tells a refused caller when to retry.
	RetryAfterMS int64
}

// RequestResult is the result of a claimed request.
type RequestResult struct {
	Verdict verdict.Verdict
	// Complete reports that a complete response was received, and StoreResponse that it is
	// in the fields below, to be stored for replay.
	Complete, StoreResponse bool
	Status                  uint16
	Header                  []msg.Field
	Body                    []byte
}

// maxIdempotencyKeyBytes is the maximum length of an Idempotency-Key.
const maxIdempotencyKeyBytes = 256

// dispatch runs the request. An idempotent one may be retried and hedged. Any other runs at
// most once; if it has an idempotency key, the key is claimed in parallel with the first
// attempt.
func (f *Front) dispatch(ctx context.Context, req *request) (*response, *verdict.Error) {
	switch {
	case req.idempotent:
		return f.runIdempotent(ctx, req)
	case req.idempotencyKey == "" || f.idempotencyKeys == nil:
		return f.runNonIdempotent(ctx, req, nil)
	case len(req.idempotencyKey) > maxIdempotencyKeyBytes:
		return nil, verdict.New(verdict.NotRun, verdict.ReasonBadRequest, "the Idempotency-Key is longer than 256 bytes")
	}
	k := KeyRequest{Key: req.idempotencyKey, BodyHash: req.contentHash(), RequestID: req.id}
	task := &claimTask{done: make(chan struct{})}
	go func() {
		task.claimResult = f.idempotencyKeys.Claim(ctx, req.service, k)
		close(task.done)
	}()
	resp, fail := f.runNonIdempotent(ctx, req, task)
	<-task.done
	if task.claimResult.Outcome == once.ClaimReplay {
		return replay(task.claimResult), nil
	}
	if task.claimResult.Outcome == once.ClaimRun {
		result := newRequestResult(resp, fail)
		go f.idempotencyKeys.ReportResult(req.service, k, result)
	}
	return resp, fail
}

// contentHash binds a key to one request. For a body too large to buffer it covers the
// buffered part and the length.
func (req *request) contentHash() uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(req.http.Method + " " + req.http.URL.RequestURI() + "\n")
	_, _ = d.Write(req.body)
	return d.Sum64() ^ uint64(req.length)
}

// newRequestResult describes the result of a claimed request for the key's owner.
func newRequestResult(resp *response, fail *verdict.Error) RequestResult {
	if fail != nil {
		return RequestResult{Verdict: fail.Verdict}
	}
	result := RequestResult{Verdict: verdict.Ran, Complete: true, Status: resp.head.Status}
	if !resp.streaming {
		result.StoreResponse, result.Header, result.Body = true, resp.head.Header, resp.buffered
	}
	return result
}

// replay returns the response stored for the key.
func replay(k ClaimResult) *response {
	fields := append([]msg.Field{{Name: header.Replayed, Value: "true"}}, k.Header...)
	return &response{
		head:     &msg.Head{Status: k.Status, Header: fields, Length: int64(len(k.Body))},
		buffered: k.Body,
	}
}

func isIdempotencyKeyReason(r verdict.Reason) bool {
	switch r {
	case verdict.ReasonKeyInProgress, verdict.ReasonKeyReused, verdict.ReasonKeyUnknown, verdict.ReasonKeyNoOwner, verdict.ReasonKeyTooOld:
		return true
	default:
		return false
	}
}

// busyRetryAfterMS is the Retry-After for a key whose request is in progress.
const busyRetryAfterMS = 1000

// claimFailure explains why a claim did not let the request run. This request never ran, so
// the verdict covers the earlier requests with the key, where they are known. For a reused
// key and a refused claim it is about this request only.
func claimFailure(k ClaimResult) *verdict.Error {
	e := verdict.New(verdict.NotRun, verdict.ReasonKeyNoOwner, "the key's shard has no authoritative owner at present")
	e.RetryAfterMS = max(k.RetryAfterMS, 1)
	switch k.Outcome {
	case once.ClaimBusy:
		e = verdict.New(verdict.MayHaveRun, verdict.ReasonKeyInProgress, "a request with this key is in progress")
		e.RetryAfterMS = busyRetryAfterMS
	case once.ClaimKeyReused:
		e = verdict.New(verdict.NotRun, verdict.ReasonKeyReused, "this key was used for a different request; generate a new key")
	case once.ClaimMayHaveRun:
		e = verdict.New(verdict.MayHaveRun, verdict.ReasonKeyUnknown, "a request with this key may have run; it is not run again")
	case once.ClaimResponseNotStored:
		e = verdict.New(verdict.Ran, verdict.ReasonKeyUnknown, "the request ran, but its response was not stored")
	case once.ClaimUnknown:
		e = verdict.New(verdict.MayHaveRun, verdict.ReasonKeyUnknown, "the key's owner took over recently and cannot tell whether a request with this key has run")
	case once.ClaimTooOld:
		e = verdict.New(verdict.MayHaveRun, verdict.ReasonKeyTooOld, "the key is older than its owner's key history")
	}
	return e
}
