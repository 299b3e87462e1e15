package msg

import "github.com/radishhoist/radishhoist/verdict"

//go:generate go tool msgp -o keys_gen.go -tests=false -io=false

//msgp:limit arrays:1200000 maps:64
//msgp:tuple KeyClaim ClaimReply KeyResult LeaseRequest LeaseReply KeyEntry Handover HandoverReply
//msgp:shim verdict.Verdict as:uint8 using:uint8/verdict.Verdict

// KeyClaim asks the owner of a shard whether a request with an idempotency key may run
// now.
type KeyClaim struct {
	Service string
	Shard   uint32
	Key     string
	// BodyHash binds the key to one request.
	BodyHash  uint64
	RequestID string
	// CreatedMS is the time stamp contained in the key, in Unix milliseconds, or 0 if the
	// key is opaque.
	CreatedMS int64
}

// ClaimReply answers KeyClaim.
type ClaimReply struct {
	// Outcome is a once.ClaimOutcome.
	Outcome uint8
	Epoch   uint64
	// Status, Header and Body are the stored response to replay.
	Status uint16
	Header []Field `msg:"header,limit=256"`
	Body   []byte
	// RetryAfterMS is the time after which a refused caller may try again, in
	// milliseconds.
	RetryAfterMS uint32
}

// KeyResult tells the owner the result of a claimed request.
type KeyResult struct {
	Service   string
	Shard     uint32
	Epoch     uint64
	Key       string
	RequestID string
	Verdict   verdict.Verdict
	// Complete reports whether the whole response arrived.
	Complete bool
	// StoreResponse asks the owner to store the response below for replay.
	StoreResponse bool
	Status        uint16
	Header        []Field `msg:"header,limit=256"`
	Body          []byte
}

// LeaseRequest asks a guard of a service to lease a shard to an owner for an epoch.
type LeaseRequest struct {
	Service string
	Shard   uint32
	Epoch   uint64
	Owner   string
	// Release ends the lease of the epoch before it expires.
	Release bool
}

// LeaseReply answers LeaseRequest.
type LeaseReply struct {
	Granted bool
	// Epoch is the greatest epoch the guard knows for the shard. If the request was refused
	// because the lease of an earlier epoch has not expired, it is that epoch.
	Epoch uint64
	// TTLMS is the duration of the lease in milliseconds. The owner counts it from when it
	// sent the request.
	TTLMS uint32
	// RetryAfterMS is the time after which another request may succeed, in milliseconds.
	RetryAfterMS uint32
}

// KeyEntry is one entry of a key table in a handover.
type KeyEntry struct {
	Key       string
	BodyHash  uint64
	RequestID string
	// State is the state of the key, as defined by package once, and AgeMS the time since
	// the key entered it, in milliseconds.
	State uint8
	AgeMS int64
	// Stored reports whether the response below is stored for replay.
	Stored bool
	Status uint16
	Header []Field `msg:"header,limit=256"`
	Body   []byte
}

// Handover transfers the key table of a shard to its next owner, in parts.
type Handover struct {
	Service string
	Shard   uint32
	// Epoch is the epoch of the next owner.
	Epoch uint64
	// Since and OpaqueMS state what the table may lack: keys created up to the time Since,
	// in Unix milliseconds. Opaque keys carry no time, so the next owner refuses new ones
	// for another OpaqueMS milliseconds.
	Since    int64
	OpaqueMS int64
	Part     uint32
	Entries  []KeyEntry `msg:"entries,limit=20000"`
	// Last marks the last part of the table.
	Last bool
}

// HandoverReply answers each part of a Handover, and KeyResult.
type HandoverReply struct {
	Accepted bool
}
