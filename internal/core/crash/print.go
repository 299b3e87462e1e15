package crash

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Fingerprint identifies a request by what a target sees of it; 0 is none. Requests
// with one Fingerprint are one request that comes again.
type Fingerprint uint64

// String gives the print as operators see it.
func (p Fingerprint) String() string { return fmt.Sprintf("%016x", uint64(p)) }

// ParseFingerprint reads a print as String gives it.
func ParseFingerprint(s string) (Fingerprint, error) {
	p, err := strconv.ParseUint(s, 16, 64)
	return Fingerprint(p), err
}

// Request is what a Print is made of: the caller's own words, not what differs
// from one send of a request to the next or from host to host.
type Request struct {
	// Host is that of the route, empty where it holds for every host.
	Method, Host, URI string
	// Team is the caller's team, empty for none.
	Team string
	// Body is the body as far as it is kept, and Length its whole length in bytes,
	// -1 where that is not known.
	Body   []byte
	Length int64
}

// Fingerprint gives the request's print. Bodies that are too large to keep differ by
// what is kept and by their length.
func (r *Request) Fingerprint() Fingerprint {
	var d xxhash.Digest
	d.Reset()
	for _, part := range []string{r.Method, strings.ToLower(r.Host), r.URI, r.Team} {
		_, _ = d.WriteString(part)
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write([]byte{byte(r.Length), byte(r.Length >> 8), byte(r.Length >> 16), byte(r.Length >> 24)})
	_, _ = d.Write(r.Body)
	return Fingerprint(max(d.Sum64(), 1))
}
