package msg

//go:generate go tool msgp -o departure_gen.go -tests=false -io=false

//msgp:limit arrays:64 maps:64
//msgp:tuple DepartureNotice DepartureReceipt

// DepartureNotice is a datagram by which a host asks another one to hold the departure of one
// of its instances, and by which that one returns it to the host after a restart.
type DepartureNotice struct {
	From string
	// Host is the host of the instance, and Incarnation that of the process which has
	// acknowledged the departure.
	Host        string
	Incarnation uint64
	Instance    string
	// StartedMS and Sequence are those of an announce.Stamp.
	StartedMS int64
	Sequence  uint64
	// Gone reports that the instance has left for good.
	Gone bool
	// AgeMS is the time since the departure in milliseconds.
	AgeMS uint32
}

// DepartureReceipt confirms a DepartureNotice.
type DepartureReceipt struct {
	From        string
	Host        string
	Incarnation uint64
	Instance    string
}
