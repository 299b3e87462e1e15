package daemon

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// truncatedUpload is an upload in chunks of which the last is not complete.
type truncatedUpload struct {
	chunked bool
	// chunks is the number of complete chunks, and rest the number of bytes after them.
	chunks, rest int
	reset        bool
}

// uploadChunkBytes is the size of a chunk. Eight are buffered by the front.
const uploadChunkBytes = 32 << 10

// request returns the bytes of the upload up to where it breaks off.
func (u truncatedUpload) request() string {
	var out strings.Builder
	out.WriteString("POST /upload HTTP/1.1\r\nHost: h\r\n")
	if !u.chunked {
		out.WriteString("Content-Length: 100000000\r\n\r\n" + strings.Repeat("x", u.chunks*uploadChunkBytes+u.rest))
		return out.String()
	}
	size := fmt.Sprintf("%x\r\n", uploadChunkBytes)
	out.WriteString("Transfer-Encoding: chunked\r\n\r\n")
	out.WriteString(strings.Repeat(size+strings.Repeat("x", uploadChunkBytes)+"\r\n", u.chunks))
	out.WriteString(size + strings.Repeat("x", u.rest))
	return out.String()
}

// send sends the upload and closes or resets the connection.
func (u truncatedUpload) send(t *testing.T, address string) {
	t.Helper()
	nc, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	_, err = io.WriteString(nc, u.request())
	assert.NilError(t, err)
	if u.reset {
		time.Sleep(10 * time.Millisecond) // let the bytes arrive
		_ = nc.(*net.TCPConn).SetLinger(0)
	}
	_ = nc.Close()
}

// A caller's upload that breaks off must never reach the instance as a whole body, whether or not
// it is too large to buffer.
func TestTruncatedUploadIsNotPassedOnAsWhole(t *testing.T) {
	type receivedBody struct {
		length int64
		err    error
	}
	bodies := make(chan receivedBody, 1)
	front, _ := startTransferPair(t, func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/upload" {
			n, err := io.Copy(io.Discard, r.Body)
			bodies <- receivedBody{n, err}
		}
	})
	address := front.cfg.Load().Callers
	for n := range 64 {
		u := truncatedUpload{
			chunked: n%2 == 0, reset: n/2%2 == 0,
			chunks: []int{0, 1, 9, 16}[n/4%4], rest: []int{0, 1, uploadChunkBytes / 2, uploadChunkBytes}[n/16],
		}
		u.send(t, address)
		select {
		case body := <-bodies:
			assert.Assert(t, body.err != nil, "%+v: the instance got %d bytes as a whole body", u, body.length)
		case <-time.After(50 * time.Millisecond):
			// The request did not reach the instance.
		}
	}
}
