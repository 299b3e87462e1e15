package msg

//go:generate go tool msgp -o watchrequest_gen.go -tests=false -io=false

//msgp:limit arrays:64 maps:64
//msgp:tuple WatchRequest WatchReply

// WatchRequest is a datagram by which a watcher that the platform does not serve asks another
// host of its data centre to watch in its place for a few seconds.
type WatchRequest struct {
	From string
	// ID identifies the request. The reply repeats it. A renewed request has the same ID.
	ID uint64
	// ShortWait asks for watches as short as those of the first watcher.
	ShortWait bool
}

// WatchReply answers a WatchRequest.
type WatchReply struct {
	From string
	ID   uint64
	// Served reports whether the platform serves the sender.
	Served bool
}
