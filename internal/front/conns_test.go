package front

import (
	"bufio"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/radishhoist/radishhoist/internal/core/directory"
	"github.com/radishhoist/radishhoist/internal/core/header"
	"github.com/radishhoist/radishhoist/internal/core/loadreport"
	"github.com/radishhoist/radishhoist/internal/guard"
	"github.com/radishhoist/radishhoist/internal/msg"
	"github.com/radishhoist/radishhoist/record"
)

// serveFront serves callers on a loopback address with the given configuration limits. The
// settings allow a minute for each timeout.
func serveFront(t *testing.T, limits record.Limits, pipelineDepth int) (*Front, string) {
	t.Helper()
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	g := guard.New(guard.Config{Host: "h"}, guard.Limits{}, log, nil, guard.Hooks{Changed: func() {}, LoadReport: func(*msg.LoadReport, loadreport.Scope) {}})
	f := New(Config{Host: "h", MaxConns: 8, HeaderTimeout: time.Minute, IdleTimeout: time.Minute, MaxHeaderBytes: 64 << 10, BufferBodyBytes: 1 << 10, PipelineDepth: pipelineDepth, Dialect: header.Default()},
		Limits{MaxBodyBytes: 1 << 20}, log, nil, g, nil)
	records := directory.Compile([]*record.Record{{
		Key: record.Key{Kind: record.KindConfiguration, Name: "main"},
		Spec: &record.Configuration{
			Routes:   []record.NamedRoute{{Name: "r", Route: record.Route{PathPrefix: "/a/", Service: "s"}}, {Name: "unsafe", Route: record.Route{PathPrefix: "/unsafe/", Service: "s", Idempotent: "no"}}},
			Services: []record.NamedService{{Name: "s"}},
			Limits:   &limits,
		},
	}}, true)
	f.SetDirectory(directory.Build(records, nil))
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server := f.Server()
	go func() { _ = server.Serve(f.LimitListener(l)) }()
	t.Cleanup(func() { _ = server.Close() })
	return f, l.Addr().String()
}

// forEachPipelineDepth runs a test with pipelined requests one by one, and concurrently.
func forEachPipelineDepth(t *testing.T, f func(t *testing.T, depth int)) {
	for _, depth := range []int{1, 8} {
		t.Run(fmt.Sprintf("pipeline depth %d", depth), func(t *testing.T) { f(t, depth) })
	}
}

// timeUntilClosed waits until the other end closes the connection.
func timeUntilClosed(t *testing.T, nc net.Conn) time.Duration {
	t.Helper()
	start := time.Now()
	assert.NilError(t, nc.SetReadDeadline(start.Add(30*time.Second)))
	_, err := io.Copy(io.Discard, nc)
	assert.NilError(t, err)
	return time.Since(start)
}

// The settings allow a minute, but the configuration has much shorter timeouts. They apply
// to the first header on a connection and to the wait for its next request.
func TestConfigurationBoundsIdleTimeAndHeaderTime(t *testing.T) {
	forEachPipelineDepth(t, testIdleTimeAndHeaderTime)
}

func testIdleTimeAndHeaderTime(t *testing.T, pipelineDepth int) {
	_, addr := serveFront(t, record.Limits{IdleTimeoutMS: 50, HeaderTimeoutMS: 100}, pipelineDepth)
	slow, err := net.Dial("tcp", addr)
	assert.NilError(t, err)
	_, err = slow.Write([]byte("GET /a/ HTTP/1.1\r\nHost:"))
	assert.NilError(t, err)
	assert.Assert(t, timeUntilClosed(t, slow) < 20*time.Second)

	idle, err := net.Dial("tcp", addr)
	assert.NilError(t, err)
	_, err = idle.Write([]byte("GET /none HTTP/1.1\r\nHost: h\r\n\r\n"))
	assert.NilError(t, err)
	resp, err := http.ReadResponse(bufio.NewReader(idle), nil)
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, http.StatusNotFound)
	assert.Assert(t, timeUntilClosed(t, idle) < 20*time.Second)
}

// The header and idle timeouts do not apply to the body: a body that takes longer than the
// header timeout is read completely.
func TestBodyMayTakeLongerThanHeaderTimeout(t *testing.T) {
	forEachPipelineDepth(t, testBodyMayTakeLonger)
}

func testBodyMayTakeLonger(t *testing.T, pipelineDepth int) {
	_, addr := serveFront(t, record.Limits{IdleTimeoutMS: 50, HeaderTimeoutMS: 100}, pipelineDepth)
	nc, err := net.Dial("tcp", addr)
	assert.NilError(t, err)
	defer func() { _ = nc.Close() }()
	for _, part := range []string{"POST /a/ HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\n", "12", "34"} {
		_, err = nc.Write([]byte(part))
		assert.NilError(t, err)
		time.Sleep(200 * time.Millisecond)
	}
	resp, err := http.ReadResponse(bufio.NewReader(nc), nil)
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, http.StatusServiceUnavailable)
}

func TestConfigurationBoundsSizes(t *testing.T) {
	forEachPipelineDepth(t, testBoundsSizes)
}

func testBoundsSizes(t *testing.T, pipelineDepth int) {
	_, addr := serveFront(t, record.Limits{MaxHeaderBytes: 400, MaxBodyBytes: 10}, pipelineDepth)
	for _, c := range []struct {
		name, request string
		want          int
	}{
		{"small", "POST /a/ HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\n12345", http.StatusServiceUnavailable},
		{"body", "POST /a/ HTTP/1.1\r\nHost: h\r\nContent-Length: 11\r\n\r\n12345678901", http.StatusRequestEntityTooLarge},
		{"body in chunks", "POST /a/ HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nb\r\n12345678901\r\n0\r\n\r\n", http.StatusRequestEntityTooLarge},
		{"header", "GET /a/ HTTP/1.1\r\nHost: h\r\nX: " + longValue + "\r\n\r\n", http.StatusRequestHeaderFieldsTooLarge},
	} {
		t.Run(c.name, func(t *testing.T) {
			nc, err := net.Dial("tcp", addr)
			assert.NilError(t, err)
			defer func() { _ = nc.Close() }()
			_, err = nc.Write([]byte(c.request))
			assert.NilError(t, err)
			resp, err := http.ReadResponse(bufio.NewReader(nc), nil)
			assert.NilError(t, err)
			assert.Equal(t, resp.StatusCode, c.want)
		})
	}
}

const longValue = "0123456789012345678901234567890123456789012345678901234567890123456789012345678901234567890123456789" +
	"0123456789012345678901234567890123456789012345678901234567890123456789012345678901234567890123456789" +
	"0123456789012345678901234567890123456789012345678901234567890123456789012345678901234567890123456789" +
	"0123456789012345678901234567890123456789012345678901234567890123456789012345678901234567890123456789"

func TestCallerServiceHeaderIsOverwritten(t *testing.T) {
	f := &Front{cfg: Config{Service: "desk", Dialect: header.Default()}}
	r := &http.Request{Header: http.Header{"Radishhoist-Caller-Service": {"forged"}, "Accept": {"x"}}}
	fields := f.targetHeader(&request{http: r})
	assert.DeepEqual(t, fields, []msg.Field{{Name: "Accept", Value: "x"}, {Name: "Radishhoist-Caller-Service", Value: "desk"}})
}

func TestSplitFollowsWeights(t *testing.T) {
	f := &Front{}
	split := []record.WeightedService{{Service: "a", Weight: 90}, {Service: "none", Weight: 0}, {Service: "b", Weight: 10}}
	counts := map[string]int{}
	for range 10000 {
		counts[pickWeightedService(f.rng(), split)]++
	}
	assert.Equal(t, counts["none"], 0)
	assert.Assert(t, counts["b"] > 800 && counts["b"] < 1200, "%v", counts)
}
