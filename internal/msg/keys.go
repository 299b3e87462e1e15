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
	Epoch   uint64
	Key     string
	// BodyHash binds the key to one request.
	BodyHash  uint64
	RequestID string
	// MintedMS is the key's own time stamp in Unix milliseconds, 0 if opaque.
	MintedMS int64
}

// KeyClaimed answers KeyClaim.
type KeyClaimed struct {
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

// KeyDone tells the owner how a claimed request ended.
type KeyDone struct {
	Service   string
	Shard     uint32
	Epoch     uint64
	Key       string
	RequestID string
	Verdict   verdict.Verdict
	Whole     bool
	Status    uint16
	Header    []Field `msg:"header,limit=256"`
	Body      []byte
}

// Promise asks a guard of a service to promise a shard's epoch to an owner.
type Promise struct {
	Service string
	Shard   uint32
	Epoch   uint64
	Owner   string
	// Release gives an epoch back before its promise has run out.
	Release bool
}

// Promised answers Promise.
type Promised struct {
	Granted bool
	// Epoch is the epoch the guard holds to now.
	Epoch uint64
	// LifeMS is how long the promise lasts, counted by the owner from asking.
	LifeMS uint32
	// WaitMS is when asking again can help.
	WaitMS uint32
}

// KeyEntry is one row of a key table in a handover.
type KeyEntry struct {
	Key       string
	BodyHash  uint64
	RequestID string
	State     uint8
	MintedMS  int64
	AgeMS     int64
	Status    uint16
	Header    []Field `msg:"header,limit=256"`
	Body      []byte
}

// Handover moves a shard's key table to its next owner.
type Handover struct {
	Service string
	Shard   uint32
	Epoch   uint64
	Entries []KeyEntry `msg:"entries,limit=20000"`
	// Last marks the last part of the table.
	Last bool
}

// HandoverDone says the next owner has the whole table.
type HandoverDone struct {
	Accepted bool
}
