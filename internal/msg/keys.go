package msg

import "github.com/radishhoist/radishhoist/verdict"

//go:generate go tool msgp -o keys_gen.go -tests=false -io=false

//msgp:limit arrays:1200000 maps:64
//msgp:tuple KeyClaim KeyClaimed KeyDone Promise Promised KeyEntry Handover HandoverDone
//msgp:shim verdict.Verdict as:uint8 using:uint8/verdict.Verdict

// KeyClaim asks a shard's owner whether a keyed request may run now.
type KeyClaim struct {
	Service string
	Shard   uint32
	Key     string
	// BodyHash binds the key to one request.
	BodyHash  uint64
	RequestID string
	// CreatedMS is the key's own time stamp in Unix milliseconds, 0 if opaque.
	CreatedMS int64
}

// ClaimReply answers KeyClaim.
type ClaimReply struct {
	// Outcome is a once.ClaimOutcome.
	Outcome uint8
	Epoch   uint64
	// Status, Header and Body replay a finished answer.
	Status uint16
	Header []Field `msg:"header,limit=256"`
	Body   []byte
	// RetryAfterMS helps a caller that was refused.
	RetryAfterMS uint32
}

// KeyResult tells the owner how a claimed request ended.
type KeyResult struct {
	Service   string
	Shard     uint32
	Epoch     uint64
	Key       string
	RequestID string
	Verdict   verdict.Verdict
	Complete  bool
	// Stored says that the answer below is to be given again.
	Stored bool
	Status uint16
	Header []Field `msg:"header,limit=256"`
	Body   []byte
}

// LeaseRequest asks a guard of a service to promise a shard's epoch to an owner.
type LeaseRequest struct {
	Service string
	Shard   uint32
	Epoch   uint64
	Owner   string
	// Release gives an epoch back before its promise has run out.
	Release bool
}

// LeaseReply answers Promise.
type LeaseReply struct {
	Granted bool
	// Epoch is the epoch the guard holds to now.
	Epoch uint64
	// TTLMS is how long the promise lasts, counted by the owner from asking.
	TTLMS uint32
	// RetryAfterMS is when asking again can help.
	RetryAfterMS uint32
}

// KeyEntry is one row of a key table in a handover.
type KeyEntry struct {
	Key       string
	BodyHash  uint64
	RequestID string
	// State is a once key state; AgeMS is how long it has lasted.
	State  uint8
	AgeMS  int64
	Stored bool
	Status uint16
	Header []Field `msg:"header,limit=256"`
	Body   []byte
}

// Handover moves a shard's key table to its next owner, in parts.
type Handover struct {
	Service string
	Shard   uint32
	// Epoch is the epoch that the next owner will have.
	Epoch uint64
	// Since and OpaqueMS say what the table does not know: keys minted up to
	// a wall time, and for how long keys without a time stamp are refused.
	Since    int64
	OpaqueMS int64
	Part     uint32
	Entries  []KeyEntry `msg:"entries,limit=20000"`
	// Last marks the last part of the table.
	Last bool
}

// HandoverReply answers each part of a Handover, and KeyDone.
type HandoverReply struct {
	Accepted bool
}
