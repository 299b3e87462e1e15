package targetconn

import (
	"errors"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
)

// An instance in trouble may send a status line that is none. It must neither pass for an interim
// response, so that what follows is taken for the response, nor reach the caller as a response.
func TestInvalidStatusLineIsNoResponse(t *testing.T) {
	for _, line := range []string{
		"HTTP/1.1 000 X", "HTTP/1.1 099 X", "HTTP/1.1 -00 X", "HTTP/1.1 +99 X", "HTTP/1.1 101 X", "HTTP/1.1 600 X", "HTTP/1.1 999 X",
		"HTTP/9.9 200 X", "HTTP/2.0 200 X", "HTTP/0.9 200 X",
	} {
		for _, followed := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, followed by a response %v", line, followed), func(t *testing.T) {
				p, _ := startTarget(t, func(c *serverConn) {
					c.readRequest()
					c.send("%s\r\nX-Request-Id: 1\r\nContent-Length: 0\r\n\r\n", line)
					if followed {
						c.respond("1", "body")
					}
					c.waitClosed() // the connection stays open
				})
				_, err := do(t, p, newGet("1"))
				assert.Assert(t, errors.Is(requireError(t, err), ErrInvalidStatus), "%v", err)
				assert.Assert(t, requireError(t, err).Sent)
			})
		}
	}
}

// Interim responses are skipped, also those of a status that is not known, and the first and the
// last final status are passed on.
func TestValidStatusIsReturned(t *testing.T) {
	for _, status := range []int{200, 299, 300, 404, 451, 500, 599} {
		p, _ := startTarget(t, func(c *serverConn) {
			c.readRequest()
			for _, interim := range []int{100, 102, 103, 199} {
				c.send("HTTP/1.1 %d X\r\nX-Interim: 1\r\n\r\n", interim)
			}
			c.send("HTTP/1.1 %d X\r\nX-Request-Id: 1\r\nContent-Length: 4\r\n\r\nbody", status)
			c.waitClosed()
		})
		resp, err := p.Do(t.Context(), newGet("1"))
		assert.NilError(t, err)
		assert.Equal(t, resp.Status, status)
		assert.Equal(t, resp.Header.Get("X-Interim"), "")
		assert.NilError(t, resp.Body.Close())
	}
}
