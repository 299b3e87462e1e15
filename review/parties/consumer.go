package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"time"
)

// result is what a consumer got for one attempt.
type result struct {
	status int
	header http.Header
	body   []byte
	err    error
	took   time.Duration
}

func (r result) String() string {
	switch {
	case r.err != nil:
		return fmt.Sprintf("no answer (%v) after %d ms", r.err, r.took.Milliseconds())
	default:
		return fmt.Sprintf("%d after %d ms", r.status, r.took.Milliseconds())
	}
}

// conn is one connection of a consumer to the outbound address of its machine.
type conn struct {
	nc net.Conn
	br *bufio.Reader
}

func connect(address string) (*conn, error) {
	nc, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &conn{nc: nc, br: bufio.NewReader(nc)}, nil
}

func (c *conn) close() { _ = c.nc.Close() }

func requestID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// head returns the header of a request. length is -1 for none.
func head(method, host, path, id string, deadline time.Duration, length int) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\n%s: %d\r\n", method, path, host, id, names.Deadline, deadline.Milliseconds())
	if length >= 0 {
		b.WriteString("Content-Length: " + strconv.Itoa(length) + "\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

// receive reads one response.
func (c *conn) receive(method string, timeout time.Duration) result {
	started := time.Now()
	_ = c.nc.SetReadDeadline(started.Add(timeout))
	resp, err := http.ReadResponse(c.br, &http.Request{Method: method})
	if err != nil {
		return result{err: err, took: time.Since(started)}
	}
	body, err := io.ReadAll(resp.Body)
	return result{status: resp.StatusCode, header: resp.Header, body: body, err: err, took: time.Since(started)}
}

// do sends one request and reads its response.
func (c *conn) do(method, host, path, id string, deadline time.Duration, body []byte) result {
	length := -1
	if body != nil {
		length = len(body)
	}
	if _, err := c.nc.Write(append(head(method, host, path, id, deadline, length), body...)); err != nil {
		return result{err: err}
	}
	return c.receive(method, deadline+time.Second)
}
