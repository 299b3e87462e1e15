package fleetsim

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// requestBufferBytes is the size of the buffer from which a request is parsed.
const requestBufferBytes = 512

// conn is the guard's end of a connection to an instance. Responses come through a pipe. Requests
// are parsed in Write, so that neither an idle connection nor one with a running request has a
// goroutine: the race detector keeps a trace of 256 KB for each.
type conn struct {
	net.Conn
	instance *instance
	// responses is the instance's end of the pipe.
	responses        net.Conn
	closedByInstance atomic.Bool
	// request is the part of a request that has been written.
	request []byte
	// stopWatch ends the wait for the end of the simulation.
	stopWatch func() bool
}

func newConn(i *instance) *conn {
	c := &conn{instance: i}
	c.Conn, c.responses = net.Pipe()
	c.stopWatch = context.AfterFunc(i.host.fleet.ctx, c.closeByInstance)
	return c
}

// closeByInstance closes the instance's end.
func (c *conn) closeByInstance() {
	c.closedByInstance.Store(true)
	_ = c.responses.Close()
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.stopWatch()
	c.instance.disconnect(c)
	return c.Conn.Close()
}

// Write implements net.Conn. Requests have no body.
func (c *conn) Write(b []byte) (int, error) {
	if c.closedByInstance.Load() {
		return 0, io.ErrClosedPipe
	}
	c.request = append(c.request, b...)
	if !bytes.HasSuffix(c.request, []byte("\r\n\r\n")) {
		return len(b), nil
	}
	r, err := http.ReadRequest(bufio.NewReaderSize(bytes.NewReader(c.request), requestBufferBytes))
	if err != nil {
		panic("fleetsim: " + err.Error())
	}
	c.request = nil
	// The response is written while the guard reads, so not before this call returns.
	go c.serve(r)
	return len(b), nil
}

// serve runs a request and writes the response.
func (c *conn) serve(r *http.Request) {
	i, start := c.instance, time.Now()
	i.run(r, func(status int) {
		i.recordRun(start, status)
		body := i.host.fleet.responseBody(r.URL.Path, status)
		text := fmt.Sprintf("HTTP/1.1 %d X\r\nX-Request-Id: %s\r\n%sContent-Length: %d\r\n\r\n%s", status, r.Header.Get("X-Request-Id"), i.statedRateLimit()+i.statedLeaving()+statedNotRun(status), len(body), body)
		if _, err := c.responses.Write([]byte(text)); err != nil {
			c.closeByInstance()
		}
	})
}

// responseBody returns the body of a response, which has the size of the request's kind if the
// request succeeded.
func (f *fleet) responseBody(path string, status int) string {
	if k, ok := f.findKind(path); ok && k.ResponseBytes > 0 && status < http.StatusBadRequest {
		return strings.Repeat("x", k.ResponseBytes)
	}
	return "ok"
}
