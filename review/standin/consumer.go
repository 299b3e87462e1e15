package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// request is one consumer attempt and what became of it.
type request struct {
	id, host, route string
	sentAt, endedAt time.Time
	// kept says that the connection had carried an answer before.
	kept bool
	// status is 0 if no answer arrived; failure says why.
	status  int
	failure string
	// intact says that a success has the signature and the whole body.
	intact bool
}

// consumer sends one request after the other over one kept connection to a host.
type consumer struct {
	rig   *rig
	host  *host
	route route
	pause time.Duration
	conn  net.Conn
	br    *bufio.Reader
	used  bool
}

var nextID atomic.Int64

// run sends requests until the rig stops the consumers.
func (c *consumer) run() {
	for {
		select {
		case <-c.rig.stopConsumers:
			c.close()
			return
		case <-time.After(c.pause):
		}
		if !c.host.in.Load() {
			continue
		}
		c.rig.finished(c.send())
	}
}

func (c *consumer) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// connect opens a connection if there is none.
func (c *consumer) connect() error {
	if c.conn != nil {
		return nil
	}
	conn, err := net.DialTimeout("tcp", c.host.outbound, time.Second)
	if err != nil {
		return err
	}
	c.conn, c.br, c.used = conn, bufio.NewReader(conn), false
	return nil
}

// send makes one attempt.
func (c *consumer) send() *request {
	q := &request{id: fmt.Sprintf("%016x", nextID.Add(1)), host: c.host.name, route: c.route.Name, sentAt: time.Now()}
	defer func() { q.endedAt = time.Now() }()
	if err := c.connect(); err != nil {
		q.failure = "no connection: " + err.Error()
		return q
	}
	q.kept = c.used
	_ = c.conn.SetDeadline(time.Now().Add(c.route.deadline + time.Second))
	if _, err := io.WriteString(c.conn, c.head(q)); err != nil {
		q.failure = "cut while sending: " + err.Error()
		c.close()
		return q
	}
	resp, err := http.ReadResponse(c.br, &http.Request{Method: c.route.method})
	if err != nil {
		q.failure = "cut, no answer: " + err.Error()
		c.close()
		return q
	}
	body, err := io.ReadAll(resp.Body)
	q.status = resp.StatusCode
	if err != nil {
		q.failure = "answer cut: " + err.Error()
		c.close()
		return q
	}
	q.intact = resp.Header.Get(names.Signature) == signature(q.id) && string(body) == answerBody(q.id)
	c.used = true
	if resp.Close {
		c.close()
	}
	return q
}

// head returns the request with its body.
func (c *consumer) head(q *request) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %sx%s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\n%s: %d\r\n",
		c.route.method, c.route.PathPrefix, q.id, c.route.Hostname, q.id, names.Deadline, c.route.deadline.Milliseconds())
	if c.route.method == http.MethodPost {
		body := "order " + q.id
		fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n%s", len(body), body)
		return b.String()
	}
	b.WriteString("\r\n")
	return b.String()
}
