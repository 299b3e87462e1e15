package msg

//go:generate go tool msgp -o loadquery_gen.go -tests=false -io=false

//msgp:limit arrays:64 maps:64
//msgp:tuple LoadQuery LoadReply

// LoadQuery is a datagram by which a front asks a guard for the current load of one of its
// instances.
type LoadQuery struct {
	// ID identifies the choice for which the front asks, and Index the candidate of that
	// choice. The reply repeats both.
	ID       uint64
	Index    uint8
	Service  string
	Instance string
}

// LoadReply answers a LoadQuery.
type LoadReply struct {
	ID    uint64
	Index uint8
	Load  Load
}
