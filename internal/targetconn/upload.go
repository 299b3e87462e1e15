package targetconn

import (
	"io"
	"net"
	"os"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// upload sends a long request body while the response is read. A nil upload stands for a body
// that was sent together with the header.
type upload struct {
	nc     net.Conn
	length int64
	// done is closed when the whole body has been sent.
	done chan struct{}

	// mu is held during each write to nc, so that writeErr is known as soon as a write has
	// consumed the error of the socket.
	mu       sync.Mutex
	writeErr error
}

// startUpload starts to send a body, with chunked encoding if length is negative.
func startUpload(nc net.Conn, body io.Reader, length int64) *upload {
	u := &upload{nc: nc, length: length, done: make(chan struct{})}
	go u.run(body)
	return u
}

// run sends the body. If reading it fails, it resets the connection, so that the target does not
// take the truncated body as complete. If the connection fails, it leaves closing it to the
// reader of the response, which the target may have sent before.
func (u *upload) run(body io.Reader) {
	err := u.copy(body)
	switch {
	case err == nil:
		close(u.done)
	case u.failed():
	default:
		if tcp, ok := u.nc.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = u.nc.Close()
	}
}

// copy sends a body of known length unchanged, any other with chunked encoding.
func (u *upload) copy(body io.Reader) error {
	if u.length > 0 {
		n, err := io.Copy(u, body)
		if err == nil && n != u.length {
			err = io.ErrUnexpectedEOF
		}
		return err
	}
	chunk := make([]byte, maxInlineBodyBytes)
	for {
		n, err := body.Read(chunk)
		if n > 0 {
			encoded := strconv.AppendInt(nil, int64(n), 16)
			encoded = append(encoded, "\r\n"...)
			encoded = append(encoded, chunk[:n]...)
			encoded = append(encoded, "\r\n"...)
			if _, err := u.Write(encoded); err != nil {
				return err
			}
		}
		if err == io.EOF {
			_, err = io.WriteString(u, "0\r\n\r\n")
			return err
		}
		if err != nil {
			return err
		}
	}
}

// Write implements io.Writer.
func (u *upload) Write(p []byte) (int, error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	n, err := u.nc.Write(p)
	if err != nil {
		u.writeErr = err
	}
	return n, err
}

// failed reports whether writing to the connection has failed.
func (u *upload) failed() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.writeErr != nil
}

// sent reports whether the whole request body has been sent. A target that responds early still
// reads the rest of the body, so it would take another request on the same connection as body
// data.
func (u *upload) sent() bool {
	if u == nil {
		return true
	}
	select {
	case <-u.done:
		return true
	default:
		return false
	}
}

// sawReset ends the upload and reports whether a reset, and not the target's FIN, ended the
// connection. It must be called only after the end of the stream has been read.
//
// The kernel reports a reset once. If a write gets that error, reading returns the end of the
// stream, as after a FIN. After a FIN, a write that meets a reset fails with EPIPE.
func (u *upload) sawReset() bool {
	if u == nil {
		return false
	}
	_ = u.nc.SetWriteDeadline(time.Unix(1, 0))
	u.mu.Lock()
	defer u.mu.Unlock()
	switch {
	case u.writeErr == nil, errors.Is(u.writeErr, syscall.EPIPE), errors.Is(u.writeErr, os.ErrDeadlineExceeded):
		return false
	default:
		return true
	}
}
