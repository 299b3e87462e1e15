package targetconn

import (
	"bufio"
	"io"
	"net"
	"syscall"
	"time"
)

// readBufferBytes is enough for the header of a typical response.
const readBufferBytes = 4 << 10

// conn is one connection to the target. It is used by one request at a time.
type conn struct {
	nc net.Conn
	// br reads from limit.
	br        *bufio.Reader
	limit     *headLimiter
	idleUntil time.Time
}

func newConn(nc net.Conn) *conn {
	limit := &headLimiter{r: nc}
	return &conn{nc: nc, br: bufio.NewReaderSize(limit, readBufferBytes), limit: limit}
}

// headLimiter bounds the bytes that are read from a connection for one response header.
// Between begin and end, it returns ErrHeaderTooLarge after maxHeadBytes.
type headLimiter struct {
	r         io.Reader
	active    bool
	remaining int
}

func (l *headLimiter) begin() { l.active, l.remaining = true, maxHeadBytes }

func (l *headLimiter) end() { l.active = false }

// Read implements io.Reader.
func (l *headLimiter) Read(p []byte) (int, error) {
	if !l.active {
		return l.r.Read(p)
	}
	if l.remaining <= 0 {
		return 0, ErrHeaderTooLarge
	}
	n, err := l.r.Read(p[:min(len(p), l.remaining)])
	l.remaining -= n
	return n, err
}

// reusable reports whether the connection is open and has no unread data. Data that
// arrived after the last response belongs to no request.
func (c *conn) reusable() bool {
	sc, ok := c.nc.(syscall.Conn)
	if !ok {
		return true
	}
	rawConn, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	reusable := false
	err = rawConn.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, errno := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		reusable = errno == syscall.EAGAIN
		return true
	})
	return err == nil && reusable
}
