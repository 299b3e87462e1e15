package front

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/google/uuid"
)

const (
	// maxRefusedConns is the maximum number of refused connections that are kept open until
	// their callers have read the refusal.
	maxRefusedConns = 64
	// refusedConnTimeout bounds the time for that.
	refusedConnTimeout = 500 * time.Millisecond
)

// refuseConn refuses a connection for which there is no room. Closing a connection with unread
// data resets it, which may destroy the refusal, so what arrives is read for a short time.
func (f *Front) refuseConn(nc net.Conn) {
	f.memory.refusedConns.Inc()
	select {
	case f.refusedConns <- struct{}{}:
	default:
		_ = nc.Close()
		return
	}
	go func() {
		defer func() { <-f.refusedConns }()
		defer func() { _ = nc.Close() }()
		_ = nc.SetDeadline(time.Now().Add(refusedConnTimeout))
		(&callerConn{Conn: nc}).limitReceiveBuffer(refusedBufferBytes)
		if _, err := nc.Write(connRefusal()); err != nil {
			return
		}
		if tcp, ok := nc.(*net.TCPConn); ok {
			_ = tcp.CloseWrite()
		}
		_, _ = io.Copy(io.Discard, nc)
	}()
}

// connRefusal returns the response to a connection for which there is no room.
var connRefusal = sync.OnceValue(func() []byte {
	recorded := responseBuffer{header: make(http.Header)}
	recorded.header.Set("Connection", "close")
	memoryExhausted("this host has too many connections; retry on another host").Write(&recorded, uuid.NewString())
	return recorded.bytes()
})

// responseBuffer is a ResponseWriter that keeps the response.
type responseBuffer struct {
	header http.Header
	status int
	body   bytes.Buffer
}

// Header implements http.ResponseWriter.
func (b *responseBuffer) Header() http.Header { return b.header }

// WriteHeader implements http.ResponseWriter.
func (b *responseBuffer) WriteHeader(status int) { b.status = status }

// Write implements http.ResponseWriter.
func (b *responseBuffer) Write(p []byte) (int, error) { return b.body.Write(p) }

// bytes returns the response as sent on a connection.
func (b *responseBuffer) bytes() []byte {
	var out bytes.Buffer
	fmt.Fprintf(&out, "HTTP/1.1 %d %s\r\n", b.status, http.StatusText(b.status))
	_ = b.header.Write(&out)
	out.WriteString("\r\n")
	out.Write(b.body.Bytes())
	return out.Bytes()
}
