// Package msg defines the typed messages between the system's processes, with
// generated msgpack codecs. It does no I/O; package wire frames them.
package msg

import (
	"github.com/tinylib/msgp/msgp"
)

// Kind is the one-byte tag in front of every message in a frame.
type Kind uint8

// The kinds of message. The numbers are part of the wire format and are never reused.
const (
	KindHello Kind = iota + 1
	KindReserve
	KindGrant
	KindRun
	KindData
	KindEnd
	KindCancel
	KindWindow
	KindFail
	KindHead
	KindKeyClaim
	KindClaimReply
	KindKeyResult
	KindLeaseRequest
	KindLeaseReply
	KindHandover
	KindHandoverReply
	KindRumor
	KindDigest
	KindBuckets
	KindVersions
	KindPull
	KindSnapshot
	KindPing
	KindPong
	KindStatusReport
	KindLoadReport
)

// Message is one typed message between two processes of the system.
type Message interface {
	msgp.Marshaler
	msgp.Unmarshaler
	// Kind returns the tag that selects the Go type when a frame is decoded.
	Kind() Kind
}
