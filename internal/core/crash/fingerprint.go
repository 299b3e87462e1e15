package crash

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Fingerprint is a hash of a request as the target receives it; 0 means none. Requests
// with equal fingerprints are treated as the same request, sent again.
type Fingerprint uint64

// String returns the fingerprint in the form shown to operators.
func (fp Fingerprint) String() string { return fmt.Sprintf("%016x", uint64(fp)) }

// ParseFingerprint parses a fingerprint in the format of String.
func ParseFingerprint(s string) (Fingerprint, error) {
	fp, err := strconv.ParseUint(s, 16, 64)
	return Fingerprint(fp), err
}

// Request holds the parts of a request that its fingerprint is computed from: what the
// caller sent, except for anything that differs between retries or between hosts.
type Request struct {
	// Host is the host name of the route, empty if the route matches any.
	Method, Host, URI string
	// Team is the caller's team, empty for none.
	Team string
	// Body is the buffered part of the body, and Length the length of the whole
	// body in bytes, -1 if unknown.
	Body   []byte
	Length int64
}

// Fingerprint returns the request's fingerprint. Bodies that are too large to buffer
// are distinguished by their buffered part and their length.
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
