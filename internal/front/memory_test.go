package front

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/radishhoist/radishhoist/internal/core/membudget"
	"github.com/radishhoist/radishhoist/record"
	"github.com/radishhoist/radishhoist/verdict"
)

// sendOn sends text on a new connection that stays open for the test.
func sendOn(t *testing.T, addr, text string) net.Conn {
	t.Helper()
	nc, err := net.Dial("tcp", addr)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = nc.Close() })
	_, err = io.WriteString(nc, text)
	assert.NilError(t, err)
	return nc
}

// readResponse reads a response from a connection.
func readResponse(t *testing.T, nc net.Conn) *http.Response {
	t.Helper()
	assert.NilError(t, nc.SetReadDeadline(time.Now().Add(20*time.Second)))
	resp, err := http.ReadResponse(bufio.NewReader(nc), nil)
	assert.NilError(t, err)
	_, err = io.Copy(io.Discard, resp.Body)
	assert.NilError(t, err)
	return resp
}

// post returns a request with a body of which the last missing bytes are left out.
func post(path string, length, missing int) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n", path, length) + strings.Repeat("x", length-missing)
}

// awaitMemory waits until the connections of callers hold what the condition asks for.
func awaitMemory(t *testing.T, f *Front, condition func(MemoryState) bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); !condition(f.Memory()); time.Sleep(time.Millisecond) {
		assert.Assert(t, time.Now().Before(end), "%+v", f.Memory())
	}
}

// Guards against bodies that never end and keep the memory for requests: a newcomer gets it, and
// the caller without progress learns that its request has not run.
func TestStalledBodyIsRefusedForAnother(t *testing.T) {
	forEachPipelineDepth(t, func(t *testing.T, depth int) {
		f, addr := serveFront(t, record.Limits{}, depth)
		const stalledBodies = 4
		f.SetLimits(Limits{MaxBodyBytes: 1 << 20, RequestMemoryBytes: stalledBodies*1000 + 100})
		stalled := sendOn(t, addr, post("/a/", 1000, 1))
		awaitMemory(t, f, func(m MemoryState) bool { return m.UsedBytes == 1000 })
		for range stalledBodies - 1 {
			sendOn(t, addr, post("/a/", 1000, 1))
		}
		awaitMemory(t, f, func(m MemoryState) bool { return m.UsedBytes == stalledBodies*1000 })

		resp := readResponse(t, sendOn(t, addr, post("/a/", 1000, 0)))
		assert.Equal(t, resp.Header.Get(verdict.Header), verdict.NotRun.String())
		assert.Equal(t, resp.StatusCode, http.StatusServiceUnavailable)
		assert.Equal(t, resp.Header.Get("Retry-After"), "1")
		assert.Equal(t, f.Memory().Refused, uint64(1))
		time.Sleep(membudget.MinStall)
		readResponse(t, sendOn(t, addr, post("/a/", 1000, 0)))

		resp = readResponse(t, stalled)
		assert.Equal(t, resp.StatusCode, http.StatusRequestTimeout)
		assert.Equal(t, resp.Header.Get(verdict.Header), verdict.NotRun.String())
		awaitMemory(t, f, func(m MemoryState) bool { return m.UsedBytes == (stalledBodies-1)*1000 && m.Evicted == 1 })
	})
}

// What a request holds is returned on every path: served, refused, reset by its caller.
func TestRequestMemoryIsReturned(t *testing.T) {
	f, addr := serveFront(t, record.Limits{MaxBodyBytes: 1 << 19}, 8)
	f.SetLimits(Limits{MaxBodyBytes: 1 << 20, RequestMemoryBytes: 64 << 20})
	for _, request := range []string{
		post("/a/", 1000, 0), post("/unsafe/", 1000, 0), post("/nowhere/", 1000, 1), post("/a/", 1<<20, 1<<20), post("/a/", 100<<10, 1),
		"GET /a/ HTTP/1.1\r\nHost: a\r\nX: " + strings.Repeat("x", 20<<10), "POST /a/ HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\nzz",
		"POST /a/ HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n80000\r\n" + strings.Repeat("x", 100<<10),
	} {
		nc := sendOn(t, addr, request)
		time.Sleep(50 * time.Millisecond)
		assert.NilError(t, nc.(*net.TCPConn).SetLinger(0))
		assert.NilError(t, nc.Close())
	}
	awaitMemory(t, f, func(m MemoryState) bool { return m.UsedBytes == 0 && m.Connections == 0 })
}

// Guards against refusals that are never sent: the HTTP server waits for the rest of a body
// before it sends the response, and does not read what comes behind it.
func TestRefusalDoesNotWaitForBody(t *testing.T) {
	forEachPipelineDepth(t, func(t *testing.T, depth int) {
		_, addr := serveFront(t, record.Limits{}, depth)
		for _, request := range []string{
			post("/nowhere/", 1000, 1),
			post("/a/", 500<<10, 1),
			"POST /nowhere/ HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nxxxx\r\n",
			"POST /nowhere/ HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\nExpect: 100-continue\r\n\r\n",
		} {
			nc := sendOn(t, addr, request)
			resp := readResponse(t, nc)
			assert.Assert(t, resp.StatusCode >= http.StatusBadRequest)
			assert.Assert(t, resp.Close)
			timeUntilClosed(t, nc)
		}
	})
}

// A refused request whose body has arrived leaves its connection usable.
func TestRefusalKeepsConnectionAfterWholeBody(t *testing.T) {
	forEachPipelineDepth(t, func(t *testing.T, depth int) {
		_, addr := serveFront(t, record.Limits{}, depth)
		nc := sendOn(t, addr, "")
		for range 2 {
			_, err := io.WriteString(nc, post("/nowhere/", 1000, 0))
			assert.NilError(t, err)
			resp := readResponse(t, nc)
			assert.Equal(t, resp.StatusCode, http.StatusNotFound)
			assert.Assert(t, !resp.Close)
		}
	})
}

// Guards against connections that keep others out: the longest idle one is closed for a new one,
// and a new one that finds none is refused at once.
func TestIdleConnectionIsClosedForAnother(t *testing.T) {
	forEachPipelineDepth(t, func(t *testing.T, depth int) {
		f, addr := serveFront(t, record.Limits{}, depth)
		idle := make([]net.Conn, 8) // the front's MaxConns
		for i := range idle {
			idle[i] = sendOn(t, addr, "GET /nowhere/ HTTP/1.1\r\nHost: a\r\n\r\n")
			readResponse(t, idle[i])
		}
		refused := sendOn(t, addr, "GET /nowhere/ HTTP/1.1\r\nHost: a\r\n\r\n")
		resp := readResponse(t, refused)
		assert.Equal(t, resp.StatusCode, http.StatusServiceUnavailable)
		assert.Equal(t, resp.Header.Get(verdict.Header), verdict.NotRun.String())
		time.Sleep(membudget.MinStall)
		assert.Equal(t, readResponse(t, sendOn(t, addr, "GET /nowhere/ HTTP/1.1\r\nHost: a\r\n\r\n")).StatusCode, http.StatusNotFound)
		timeUntilClosed(t, idle[0])
		assert.Equal(t, f.Memory().RefusedConnections, uint64(1))
	})
}
