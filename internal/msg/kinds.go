package msg

import "github.com/pkg/errors"

// Kind implements Message.
func (*Hello) Kind() Kind         { return KindHello }
func (*Reserve) Kind() Kind       { return KindReserve }       // Kind implements Message.
func (*Grant) Kind() Kind         { return KindGrant }         // Kind implements Message.
func (*Run) Kind() Kind           { return KindRun }           // Kind implements Message.
func (*Data) Kind() Kind          { return KindData }          // Kind implements Message.
func (*End) Kind() Kind           { return KindEnd }           // Kind implements Message.
func (*Cancel) Kind() Kind        { return KindCancel }        // Kind implements Message.
func (*Window) Kind() Kind        { return KindWindow }        // Kind implements Message.
func (*Fail) Kind() Kind          { return KindFail }          // Kind implements Message.
func (*Head) Kind() Kind          { return KindHead }          // Kind implements Message.
func (*KeyClaim) Kind() Kind      { return KindKeyClaim }      // Kind implements Message.
func (*ClaimReply) Kind() Kind    { return KindClaimReply }    // Kind implements Message.
func (*KeyResult) Kind() Kind     { return KindKeyResult }     // Kind implements Message.
func (*LeaseRequest) Kind() Kind  { return KindLeaseRequest }  // Kind implements Message.
func (*LeaseReply) Kind() Kind    { return KindLeaseReply }    // Kind implements Message.
func (*Handover) Kind() Kind      { return KindHandover }      // Kind implements Message.
func (*HandoverReply) Kind() Kind { return KindHandoverReply } // Kind implements Message.
func (*Rumor) Kind() Kind         { return KindRumor }         // Kind implements Message.
func (*Digest) Kind() Kind        { return KindDigest }        // Kind implements Message.
func (*Buckets) Kind() Kind       { return KindBuckets }       // Kind implements Message.
func (*Versions) Kind() Kind      { return KindVersions }      // Kind implements Message.
func (*Pull) Kind() Kind          { return KindPull }          // Kind implements Message.
func (*Snapshot) Kind() Kind      { return KindSnapshot }      // Kind implements Message.

func (*Ping) Kind() Kind         { return KindPing }         // Kind implements Message.
func (*StatusReport) Kind() Kind { return KindStatusReport } // Kind implements Message.
func (*Pong) Kind() Kind         { return KindPong }         // Kind implements Message.
func (*LoadReport) Kind() Kind   { return KindLoadReport }   // Kind implements Message.

// New returns an empty message of the given kind, or an error if the kind is unknown.
func New(k Kind) (Message, error) {
	switch k {
	case KindHello:
		return &Hello{}, nil
	case KindReserve:
		return &Reserve{}, nil
	case KindGrant:
		return &Grant{}, nil
	case KindRun:
		return &Run{}, nil
	case KindData:
		return &Data{}, nil
	case KindEnd:
		return &End{}, nil
	case KindCancel:
		return &Cancel{}, nil
	case KindWindow:
		return &Window{}, nil
	case KindFail:
		return &Fail{}, nil
	case KindHead:
		return &Head{}, nil
	case KindKeyClaim:
		return &KeyClaim{}, nil
	case KindClaimReply:
		return &ClaimReply{}, nil
	case KindKeyResult:
		return &KeyResult{}, nil
	case KindLeaseRequest:
		return &LeaseRequest{}, nil
	case KindLeaseReply:
		return &LeaseReply{}, nil
	case KindHandover:
		return &Handover{}, nil
	case KindHandoverReply:
		return &HandoverReply{}, nil
	case KindRumor:
		return &Rumor{}, nil
	case KindDigest:
		return &Digest{}, nil
	case KindBuckets:
		return &Buckets{}, nil
	case KindVersions:
		return &Versions{}, nil
	case KindPull:
		return &Pull{}, nil
	case KindSnapshot:
		return &Snapshot{}, nil
	case KindPing:
		return &Ping{}, nil
	case KindPong:
		return &Pong{}, nil
	case KindLoadReport:
		return &LoadReport{}, nil
	case KindStatusReport:
		return &StatusReport{}, nil
	default:
		return nil, errors.Errorf("unknown message kind %d", k)
	}
}
