package msg

//go:generate go tool msgp -o linkreport_gen.go -tests=false -io=false

//msgp:limit arrays:64 maps:64
//msgp:tuple LinkReport

// LinkRateUnit is the unit of the rates of a LinkReport, in bytes per second. Rates up to
// 134 Mbit/s then fit 16 bits, so that four reports a second take at most 44 bytes.
const LinkRateUnit = 256

// LinkReport is a datagram by which a host reports to another host of its area how much it
// uses the link to other areas.
type LinkReport struct {
	// Area is a hash of the name of the sender's area.
	Area uint16
	// Sent and Received are the rates to and from other areas, in LinkRateUnit.
	Sent, Received uint16
}
