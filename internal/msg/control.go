package msg

//go:generate go tool msgp -o control_gen.go -tests=false -io=false

//msgp:limit arrays:1200000 maps:64
//msgp:tuple Rumor Digest Buckets Versions VersionItem Pull Snapshot Entry
//msgp:tuple InstanceEnd
//msgp:tuple Report ReportRejected Note Packet HostInstance HostState

// Entry is one versioned entry of a replicated set.
type Entry struct {
	Kind    string
	Name    string
	Version int64
	Deleted bool
	Value   []byte
}

// SetID names one of the replicated sets.
type SetID uint8

const (
	// SetRecords holds the operators' records and the shard maps.
	SetRecords SetID = iota
	// SetHosts holds what each host says of itself.
	SetHosts
	// SetCrashes holds the ends of instances with what they ran, and what requests were
	// cleared of.
	SetCrashes
	// Sets is the number of replicated sets.
	Sets
)

// Rumor pushes fresh entries to a peer.
type Rumor struct {
	Set     SetID
	Entries []Entry `msg:"entries,limit=20000"`
}

// Digest opens a repair: the hash of the sender's whole set.
type Digest struct {
	Set  SetID
	Root uint64
	// Complete says the sender holds a complete set.
	Complete bool
	// AgesMS says, for each feed of the platform, how long ago, in milliseconds, the
	// sender's set was known to be current; empty where it never was.
	AgesMS []uint32 `msg:"ages,limit=8"`
}

// Buckets answers a Digest that differs: the hash of every bucket.
type Buckets struct {
	Set    SetID
	Hashes []uint64 `msg:"hashes,limit=4096"`
}

// VersionItem is one key and its version.
type VersionItem struct {
	Kind    string
	Name    string
	Version int64
}

// Versions lists what the sender holds in the buckets that differ.
type Versions struct {
	Set SetID
	// All says that Items is everything the sender holds, whatever Buckets says.
	All     bool
	Buckets []uint32      `msg:"buckets,limit=4096"`
	Items   []VersionItem `msg:"items,limit=20000"`
}

// Pull asks for whole entries; All asks for the whole set.
type Pull struct {
	Set   SetID
	All   bool
	Items []VersionItem `msg:"items,limit=20000"`
}

// Snapshot is a part of a whole set, in answer to Pull with All.
type Snapshot struct {
	Set     SetID
	Entries []Entry `msg:"entries,limit=20000"`
	// Part counts from 0; Last marks the last part.
	Part uint32
	Last bool
	// Complete is false where the sender does not hold a complete set itself.
	Complete bool
}

// PacketKind is the kind of a membership packet.
type PacketKind uint8

// The kinds of membership packet.
const (
	PacketPing PacketKind = iota + 1
	PacketAck
	// PacketPingRequest asks the receiver to probe Target for the sender.
	PacketPingRequest
)

// MemberClaim is a claim about one host's life.
type MemberClaim struct {
	Host string
	// Version is the host's own version that the claim is about.
	Version int64
	// Status is a member.Status.
	Status uint8
}

// Packet is one membership datagram.
type Packet struct {
	Kind PacketKind
	Seq  uint64
	From string
	// FromVersion is the sender's own version.
	FromVersion int64
	// FromAddr is the sender's address, to answer a host not yet known.
	FromAddr string
	// ProbedHost is the host that a ping is meant for.
	ProbedHost string
	ProbedAddr string
	Claims     []MemberClaim `msg:"notes,limit=64"`
}

// HostInstance is one instance in a HostState.
type HostInstance struct {
	Name      string
	Service   string
	Slots     uint32
	Conns     uint32
	Version   string
	State     uint8
	Health    uint8
	Evidence  uint32
	StartedMS int64
	// WarmUpLeftMS is how much longer the instance is slow after its start, in
	// milliseconds: a duration, because hosts' clocks differ.
	WarmUpLeftMS uint32
}

// HostState is what a host says of itself; the host is its only writer.
type HostState struct {
	DC          string
	Peer        string
	Admin       string
	Incarnation uint64
	Leaving     bool
	Instances   []HostInstance `msg:"instances,limit=256"`
}

// InstanceCrash is the end of one start of an instance.
type InstanceCrash struct {
	Service string
	// SoftwareVersion is that of the instance's software.
	SoftwareVersion string
	// Host is the host that noticed it.
	Host string
	// DetectedAtMS is when it was noticed, in Unix milliseconds of that host.
	DetectedAtMS int64
	// Fingerprints are the requests that it ran, see crash.Print.
	Fingerprints []uint64 `msg:"prints,limit=256"`
}

// Report tells the host that sums up a data centre what the sender has in
// force.
type Report struct {
	Root     uint64
	Newest   int64
	Complete bool
	// Rejected are the records that the sender holds the last good of.
	Rejected []ReportRejected `msg:"rejected,limit=64"`
}

// ReportRejected is one record that is not in force as written.
type ReportRejected struct {
	Key     string
	Version int64
	InForce int64
	Reason  string
}
