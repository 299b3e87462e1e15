package guard

import (
	"bufio"
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/radishhoist/radishhoist/internal/core/loadreport"
	"github.com/radishhoist/radishhoist/internal/msg"
	"github.com/radishhoist/radishhoist/verdict"
)

// scriptedConns is the number of connections that a scripted instance accepts.
const scriptedConns = 4

// guardOfScriptedInstance returns a guard whose instance i reads one request on each connection,
// passes the connection to respond and closes it. wrap changes the guard's end of a connection.
func guardOfScriptedInstance(t testing.TB, respond func(net.Conn), wrap func(net.Conn) net.Conn) *Guard {
	cfg := Config{
		Host: "h", QueuePerSlot: 2, GrantTTL: time.Minute, TargetIdleTimeout: time.Minute,
		Dial: func(context.Context, string) (net.Conn, error) {
			near, far := net.Pipe()
			go func() {
				defer func() { _ = far.Close() }()
				if r, err := http.ReadRequest(bufio.NewReader(far)); err == nil {
					_, _ = io.Copy(io.Discard, r.Body)
					respond(far)
				}
			}()
			return wrap(near), nil
		},
	}
	hooks := Hooks{Changed: func() {}, LoadReport: func(*msg.LoadReport, loadreport.Scope) {}}
	g := New(cfg, Limits{AnnounceExpiry: time.Hour}, slog.New(slog.DiscardHandler), allowAllFence{}, hooks)
	assert.NilError(t, g.Announce(time.Now(), "i", Announcement{Service: "s", Address: "10.0.0.1:80", Slots: 2, Connections: scriptedConns}))
	return g
}

func unchanged(c net.Conn) net.Conn { return c }

func bookingRun(id string) *msg.Run {
	return &msg.Run{RequestID: id, Service: "s", Instance: "i", TimeoutMS: 20000, Reserved: true, Method: "POST", URI: "/book", Host: "x"}
}

// Guards against a buffer sized by a declared length whose sum overflows, which ended the process.
func TestResponseOfLargestDeclaredLengthFailsOneRequest(t *testing.T) {
	g := guardOfScriptedInstance(t, func(c net.Conn) {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 9223372036854775807\r\n\r\nbroken")
	}, unchanged)
	for _, id := range []string{"one", "two"} {
		f, failed := reserveAndRun(t, g, bookingRun(id)).(*msg.Fail)
		assert.Assert(t, failed)
		assert.Equal(t, f.Verdict, verdict.Ran)
		assert.Equal(t, f.Reason, verdict.ReasonTargetBroke)
	}
	assert.Equal(t, g.instances["i"].load().Running, uint32(0))
}

// Guards against a response header without an end, which was read into memory until the platform
// ended the process, and against interim responses without an end.
func TestEndlessResponseHeaderUsesBoundedMemory(t *testing.T) {
	const sentBytes, allowedBytes = 32 << 20, 4 << 20
	for name, endless := range map[string]struct{ start, repeated string }{
		"one field":         {"HTTP/1.1 200 OK\r\nX-Filler: ", strings.Repeat("f", 1024)},
		"many fields":       {"HTTP/1.1 200 OK\r\n", "X-Filler: f\r\n"},
		"status line":       {"HTTP/1.1 200 ", strings.Repeat("O", 1024)},
		"interim responses": {"", "HTTP/1.1 103 Early Hints\r\n\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			g := guardOfScriptedInstance(t, func(c net.Conn) {
				_, err := io.WriteString(c, endless.start)
				block := []byte(strings.Repeat(endless.repeated, 1+(16<<10)/len(endless.repeated)))
				for sent := 0; err == nil && sent < sentBytes; sent += len(block) {
					_, err = c.Write(block)
				}
			}, unchanged)
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			f, failed := reserveAndRun(t, g, bookingRun("r")).(*msg.Fail)
			runtime.ReadMemStats(&after)
			assert.Assert(t, failed)
			assert.Equal(t, f.Verdict, verdict.MayHaveRun)
			allocated := after.TotalAlloc - before.TotalAlloc
			assert.Check(t, allocated < allowedBytes, "%d bytes allocated", allocated)
		})
	}
}

// panicConn panics when the client reads from it after the given number of bytes.
type panicConn struct {
	net.Conn
	unread int
}

func (c *panicConn) Read(p []byte) (int, error) {
	if c.unread == 0 {
		panic("planted")
	}
	n, err := c.Conn.Read(p[:min(len(p), c.unread)])
	c.unread -= n
	return n, err
}

// Guards against a panic in the handling of one response that ends the process, and against one that
// keeps the slot or the connection of its request.
func TestPanicInResponseHandlingFailsOneRequest(t *testing.T) {
	const response = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ngood"
	for name, test := range map[string]struct {
		bytesBefore int
		verdict     verdict.Verdict
	}{
		"in the header": {10, verdict.MayHaveRun},
		"in the body":   {len(response) - 2, verdict.Ran},
	} {
		t.Run(name, func(t *testing.T) {
			respond := func(c net.Conn) { _, _ = io.WriteString(c, response) }
			g := guardOfScriptedInstance(t, respond, func(c net.Conn) net.Conn { return &panicConn{Conn: c, unread: test.bytesBefore} })
			for range 2 * scriptedConns {
				f, failed := reserveAndRun(t, g, bookingRun("r")).(*msg.Fail)
				assert.Assert(t, failed)
				assert.Equal(t, f.Verdict, test.verdict)
				assert.Equal(t, f.Reason, verdict.ReasonTargetBroke)
			}
			assert.Equal(t, g.counts.responsePanics.Get(), uint64(2*scriptedConns))
			assert.Equal(t, g.instances["i"].load().Running, uint32(0))
		})
	}
}
