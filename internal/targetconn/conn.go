package targetconn

import (
	"bufio"
	"net"
	"syscall"
	"time"
)

// readBufferBytes is enough for the header of a typical response.
const readBufferBytes = 4 << 10

// conn is one connection to the target. It is used by one request at a time.
type conn struct {
	nc        net.Conn
	br        *bufio.Reader
	idleUntil time.Time
}

func newConn(nc net.Conn) *conn {
	return &conn{nc: nc, br: bufio.NewReaderSize(nc, readBufferBytes)}
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
