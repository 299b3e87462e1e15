package msg

//go:generate go tool msgp -o control_gen.go -tests=false -io=false

//msgp:limit arrays:1200000 maps:64
//msgp:tuple Rumor Digest Buckets Versions VersionItem Pull Snapshot Entry
//msgp:tuple InstanceCrash
//msgp:tuple StatusReport RejectedRecord MemberClaim MemberPacket HostInstance HostState

// Entry is one versioned entry of a replicated set.
type Entry struct {
	Kind    string
	Name    string
	Version int64
	Deleted bool
	Value   []byte
}

// SetID identifies a replicated set.
type SetID uint8

const (
	// SetRecords holds the operators' records and the shard maps.
	SetRecords SetID = iota
	// SetHosts holds the state that each host publishes about itself.
	SetHosts
	// SetCrashes holds the crashes of instances, with the requests that were running, and
	// the clearances: records that a request did not cause a crash.
	SetCrashes
	// SetCount is the number of replicated sets.
	SetCount
)

// Rumor sends new entries to a peer without a request for them.
type Rumor struct {
	Set     SetID
	Entries []Entry `msg:"entries,limit=20000"`
}

// Digest starts an anti-entropy exchange with the root hash of the sender's set.
type Digest struct {
	Set  SetID
	Root uint64
	// Complete reports whether the sender holds a complete set.
	Complete bool
	// AgesMS holds, for each feed of the platform, the time since the sender's set was
	// last known to be current, in milliseconds. It is empty if it never was.
	AgesMS []uint32 `msg:"ages,limit=8"`
}

// Buckets answers a Digest that differs, with the hash of every bucket.
type Buckets struct {
	Set    SetID
	Hashes []uint64 `msg:"hashes,limit=4096"`
}

// VersionItem is a key and its version.
type VersionItem struct {
	Kind    string
	Name    string
	Version int64
}

// Versions lists the entries that the sender holds in the buckets that differ.
type Versions struct {
	Set SetID
	// All reports that Items lists the sender's whole set, regardless of Buckets.
	All     bool
	Buckets []uint32      `msg:"buckets,limit=4096"`
	Items   []VersionItem `msg:"items,limit=20000"`
}

// Pull requests full entries, or the whole set if All is set.
type Pull struct {
	Set   SetID
	All   bool
	Items []VersionItem `msg:"items,limit=20000"`
}

// Snapshot is one part of a whole set, sent in answer to a Pull with All.
type Snapshot struct {
	Set     SetID
	Entries []Entry `msg:"entries,limit=20000"`
	// Part is the index of the part, from 0, and Last marks the last part.
	Part uint32
	Last bool
	// Complete is false if the sender's own set is incomplete.
	Complete bool
}

// PacketKind is the kind of a membership packet.
type PacketKind uint8

// The kinds of membership packet.
const (
	PacketPing PacketKind = iota + 1
	PacketAck
	// PacketPingRequest asks the receiver to probe ProbedHost on behalf of the sender.
	PacketPingRequest
)

// MemberClaim is a claim about the status of one host.
type MemberClaim struct {
	Host string
	// Version is the version of the host's state that the claim refers to.
	Version int64
	// Status is a member.Status.
	Status uint8
}

// MemberPacket is one membership datagram.
type MemberPacket struct {
	Kind PacketKind
	Seq  uint64
	From string
	// FromVersion is the version of the sender's own state.
	FromVersion int64
	// FromAddr is the sender's address, needed to answer a host that is not yet known.
	FromAddr string
	// ProbedHost is the host that a ping is intended for.
	ProbedHost string
	ProbedAddr string
	Claims     []MemberClaim `msg:"notes,limit=64"`
}

// HostInstance is one instance in a HostState.
type HostInstance struct {
	Name    string
	Service string
	Slots   uint32
	// MaxConns is the maximum number of connections to the instance.
	MaxConns uint32
	// SoftwareVersion is the version of the instance's software.
	SoftwareVersion string
	// State is a directory.InstanceState, and Health a detect.Health.
	State  uint8
	Health uint8
	// Evidence is the evidence against a suspect, in hundredths of a nat.
	Evidence uint32
	// StartedMS is when the instance was first announced, in Unix milliseconds by its
	// guard's clock.
	StartedMS int64
	// WarmUpLeftMS is the remaining warm-up time in milliseconds. It is a duration, not a
	// time, because the clocks of hosts differ.
	WarmUpLeftMS uint32
}

// HostState is the state that a host publishes about itself, as its only writer.
type HostState struct {
	DC          string
	PeerAddr    string
	AdminAddr   string
	Incarnation uint64
	Leaving     bool
	Instances   []HostInstance `msg:"instances,limit=256"`
}

// InstanceCrash is a crash of an instance.
type InstanceCrash struct {
	Service string
	// SoftwareVersion is the version of the instance's software.
	SoftwareVersion string
	// Host is the host that detected the crash.
	Host string
	// DetectedAtMS is the time of detection, in Unix milliseconds of that host's clock.
	DetectedAtMS int64
	// Fingerprints are the fingerprints of the requests that were running, see
	// crash.Fingerprint.
	Fingerprints []uint64 `msg:"prints,limit=256"`
}

// StatusReport tells the host that aggregates the status of a data centre which records the
// sender has in force.
type StatusReport struct {
	// Root is the root hash of the sender's records, and Newest their greatest version.
	Root     uint64
	Newest   int64
	Complete bool
	// Rejected lists the records whose current version the sender has rejected. Their
	// last valid version stays in force.
	Rejected []RejectedRecord `msg:"rejected,limit=64"`
}

// RejectedRecord is a record whose current version is not in force.
type RejectedRecord struct {
	Key string
	// Version is the rejected version, and InForce the version in force, or 0 if there is
	// none.
	Version int64
	InForce int64
	Reason  string
}
