package e2e

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/radishhoist/radishhoist/internal/lab"
	"github.com/radishhoist/radishhoist/internal/standin/target"
	"github.com/radishhoist/radishhoist/record"
)

// The limits of the daemons in these tests.
const (
	crowdMemoryMB = 96
	crowdMaxFDs   = 1000
)

// crowdSettings allow timeouts as long as those of sites, so that a crowd is not over before it is
// noticed.
var crowdSettings = fmt.Sprintf(`[limits]
memory_mb = %d
max_fds = %d
max_body_bytes = 8388608
header_timeout = 1m
idle_timeout = 1h
pipeline_depth = 8
`, crowdMemoryMB, crowdMaxFDs)

const (
	// crowdRouteTimeout is longer than an ordinary caller waits, so that the crowd is not gone
	// by then.
	crowdRouteTimeout = 5 * time.Minute
	// ordinaryCallerTimeout bounds the wait of an ordinary caller beside a crowd.
	ordinaryCallerTimeout = 40 * time.Second
	// settleTime is how long the usage of a process is measured after the crowd has sent all.
	settleTime = 3 * time.Second
)

// crowdMember sends what one client of a crowd sends. It leaves the connection open.
type crowdMember func(c net.Conn)

// crowd is a number of clients that stop short and keep their connections open.
type crowd struct {
	clients int
	member  crowdMember
	// port is where the crowd connects; 0 is the port for callers.
	port int
	// allHosts makes the crowd connect to all hosts in turn, and not only to the first.
	allHosts bool
	// stuck makes the targets unresponsive until the crowd has sent all. They never respond to
	// requests of that time.
	stuck bool
	// routeTimeout is the timeout of the route; 0 is crowdRouteTimeout.
	routeTimeout time.Duration
}

// head returns the head of a POST request with the given path and header lines.
func head(path string, lines ...string) string {
	return "POST " + path + " HTTP/1.1\r\nHost: a\r\n" + strings.Join(append(lines, "", ""), "\r\n")
}

// sendDeclared sends a request with a declared length, of which the last missing bytes are not
// sent.
func sendDeclared(path string, length, missing int) crowdMember {
	request := head(path, fmt.Sprintf("Content-Length: %d", length)) + strings.Repeat("x", length-missing)
	return func(c net.Conn) { _, _ = io.WriteString(c, request) }
}

// sendChunked sends a body in small chunks without the last one, which ends it.
func sendChunked(path string, length int) crowdMember {
	const chunkBytes = 4 << 10
	chunk := fmt.Sprintf("%x\r\n%s\r\n", chunkBytes, strings.Repeat("x", chunkBytes))
	return func(c net.Conn) {
		_, err := io.WriteString(c, head(path, "Transfer-Encoding: chunked"))
		for sent := 0; sent < length && err == nil; sent += chunkBytes {
			_, err = io.WriteString(c, chunk)
		}
	}
}

// sendHeaderOnly sends a header without its end.
func sendHeaderOnly(length int) crowdMember {
	request := "GET /plans/7 HTTP/1.1\r\nHost: a\r\nX-Long: " + strings.Repeat("x", length)
	return func(c net.Conn) { _, _ = io.WriteString(c, request) }
}

// finishOneRequest sends a whole request, reads the response and keeps the connection.
func finishOneRequest(c net.Conn) {
	_, _ = io.WriteString(c, "GET /nowhere HTTP/1.1\r\nHost: a\r\n\r\n")
	_, _ = c.Read(make([]byte, 4<<10))
}

// sendNothing leaves a connection without a request.
func sendNothing(net.Conn) {}

const (
	kB = 1 << 10
	mB = 1 << 20
)

// Clients that are not under control of the operator send many requests of legal size that stop
// just short of their end, and keep their connections open. No process may end for that, each
// must keep within its memory and descriptors, and ordinary callers must still be served. In
// the failure, each such connection held up to 0.4 MB until its deadline, so that a host with
// 160 MB held 587 MB for 1,500 of them, and connections that sent nothing kept all others out.

func TestCrowdOfBodiesWithoutLastByte(t *testing.T) {
	testCrowd(t, 80, crowd{clients: 400, member: sendDeclared("/plans/7", 250*kB, 1)})
}

func TestCrowdOfChunkedBodiesWithoutLastChunk(t *testing.T) {
	testCrowd(t, 81, crowd{clients: 400, member: sendChunked("/plans/7", 250*kB)})
}

func TestCrowdOfWholeBodies(t *testing.T) {
	testCrowd(t, 82, crowd{clients: 400, member: sendDeclared("/plans/7", 250*kB, 0)})
}

func TestCrowdOfUploadsWithoutLastByte(t *testing.T) {
	testCrowd(t, 83, crowd{clients: 200, member: sendDeclared("/plans/7", 4*mB, 1)})
}

func TestCrowdOfChunkedUploadsWithoutLastChunk(t *testing.T) {
	testCrowd(t, 84, crowd{clients: 200, member: sendChunked("/plans/7", 4*mB)})
}

func TestCrowdOfHeadersWithoutEnd(t *testing.T) {
	testCrowd(t, 85, crowd{clients: 800, member: sendHeaderOnly(60 * kB)})
}

func TestCrowdOfConnectionsThatSendNothing(t *testing.T) {
	testCrowd(t, 86, crowd{clients: 800, member: sendNothing})
}

func TestCrowdOfIdleConnections(t *testing.T) {
	testCrowd(t, 87, crowd{clients: 800, member: finishOneRequest})
}

func TestCrowdOfRefusedRequestsWithoutLastByte(t *testing.T) {
	testCrowd(t, 88, crowd{clients: 800, member: sendDeclared("/nowhere", 1*kB, 1)})
}

// The rest of a crowd's bytes arrives behind a whole request of its connection.
func TestCrowdOfPipelinedHeadersWithoutEnd(t *testing.T) {
	first := "GET /nowhere HTTP/1.1\r\nHost: a\r\n\r\n"
	rest := sendHeaderOnly(60 * kB)
	testCrowd(t, 92, crowd{clients: 800, member: func(c net.Conn) {
		_, _ = io.WriteString(c, first)
		rest(c)
	}})
}

// The crowd reads nothing of its responses.
func TestCrowdOfUnreadResponses(t *testing.T) {
	request := "GET /plans/7?size=8000000 HTTP/1.1\r\nHost: a\r\n\r\n"
	testCrowd(t, 93, crowd{clients: 400, member: func(c net.Conn) {
		_ = c.(*net.TCPConn).SetReadBuffer(4 * kB)
		_, _ = io.WriteString(c, request)
		time.Sleep(500 * time.Millisecond)
	}})
}

// Whole uploads that no instance reads.
func TestCrowdOfUploadsToStuckInstances(t *testing.T) {
	testCrowd(t, 94, crowd{clients: 200, member: sendDeclared("/plans/7", 7*mB, 0), stuck: true, routeTimeout: 10 * time.Second})
}

// Uploads that reach the instances of each host from all hosts.
func TestCrowdOfUploadsAtAllHosts(t *testing.T) {
	testCrowd(t, 95, crowd{clients: 300, member: sendDeclared("/plans/7", 4*mB, 1), allHosts: true})
}

func TestCrowdAtAnnounceAddress(t *testing.T) {
	testCrowd(t, 89, crowd{clients: 1100, member: sendNothing, port: lab.AnnouncePort})
}

func TestCrowdAtAdminAddress(t *testing.T) {
	testCrowd(t, 90, crowd{clients: 1100, member: sendNothing, port: lab.AdminPort})
}

func TestCrowdAtPeerAddress(t *testing.T) {
	testCrowd(t, 91, crowd{clients: 1100, member: sendNothing, port: lab.PeerPort})
}

func testCrowd(t *testing.T, octet int, c crowd) {
	fleet := startCrowdFleet(t, octet, cmp.Or(c.routeTimeout, crowdRouteTimeout))
	watches := make([]*usageWatch, len(fleet.Hosts))
	var addresses []string
	for i, h := range fleet.Hosts {
		watches[i] = watchUsage(t, h)
		switch {
		case i > 0 && !c.allHosts:
		case c.port != 0:
			addresses = append(addresses, fmt.Sprintf("%s:%d", h.IP, c.port))
		default:
			addresses = append(addresses, h.CallersAddress())
		}
	}
	fleet.setStuck(c.stuck)
	var conns openConns
	defer conns.close()
	sent := make(chan struct{})
	go func() {
		defer close(sent)
		conns.start(c, addresses)
	}()
	select {
	case <-sent:
	case <-time.After(ordinaryCallerTimeout): // some clients may wait to be accepted
	}
	fleet.setStuck(false)
	served := awaitOrdinaryAnswer(fleet.Hosts[0])
	time.Sleep(settleTime)
	peaks := make([]usage, len(watches))
	for i, w := range watches {
		peaks[i] = w.stop()
		t.Logf("%d clients: %s used at most %.0f MB, %d descriptors", c.clients, fleet.Hosts[i].Name, peaks[i].mb, peaks[i].descriptors)
	}
	for _, h := range fleet.Hosts {
		exited, err := h.Daemon.Wait(0)
		assert.Assert(t, !exited, "%s exited: %v", h.Name, err)
	}
	assert.NilError(t, served)
	for i, peak := range peaks {
		assert.Assert(t, peak.mb <= crowdMemoryMB, "%s: %.0f MB", fleet.Hosts[i].Name, peak.mb)
		assert.Assert(t, peak.descriptors <= crowdMaxFDs, "%s: %d descriptors", fleet.Hosts[i].Name, peak.descriptors)
	}
}

// setStuck makes all targets unresponsive, or normal again.
func (fleet *testFleet) setStuck(stuck bool) {
	mode := target.Good
	if stuck {
		mode = target.Stuck
	}
	for _, tg := range fleet.targets {
		assert.NilError(fleet.t, tg.SetBehaviour(target.Behaviour{Mode: mode}))
	}
}

// startCrowdFleet starts three hosts with the limits of these tests.
func startCrowdFleet(t *testing.T, octet int, routeTimeout time.Duration) *testFleet {
	t.Helper()
	f := newFleet(t, octet)
	ctx := context.Background()
	assert.NilError(t, f.PutDemoRecords(ctx))
	route := &record.Route{PathPrefix: "/plans", Service: "plans", TimeoutMS: int(routeTimeout.Milliseconds())}
	assert.NilError(t, f.Put(ctx, record.Key{Kind: record.KindRoute, Name: "plans"}, route))
	fleet := &testFleet{Fleet: f, t: t}
	const hosts = 3
	for i := range hosts {
		h, err := f.StartHost(fmt.Sprintf("h%d", i+1), fmt.Sprintf("dc%d", i%2+1), fmt.Sprintf("127.0.%d.%d", octet, 11+i), crowdSettings)
		assert.NilError(t, err)
		tg, err := f.StartTarget(h, "plans", 1, 4, 20*time.Millisecond)
		assert.NilError(t, err)
		fleet.targets = append(fleet.targets, tg)
	}
	assert.NilError(t, f.WaitUntilServing(waitTimeout, map[string]int{"plans": hosts}))
	return fleet
}

// openConns are the connections of a crowd.
type openConns struct {
	mu     sync.Mutex
	conns  []net.Conn
	closed bool
}

// start connects all clients of a crowd, to the addresses in turn, and waits until each has sent what it sends.
func (o *openConns) start(c crowd, addresses []string) {
	const concurrency = 100
	slots := make(chan struct{}, concurrency)
	var wg sync.WaitGroup
	for i := range c.clients {
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			nc, err := net.DialTimeout("tcp", addresses[i%len(addresses)], 5*time.Second)
			if err != nil || !o.add(nc) {
				return
			}
			_ = nc.SetDeadline(time.Now().Add(10 * time.Second))
			c.member(nc)
		})
	}
	wg.Wait()
}

// add keeps a connection open until close. It returns false after close.
func (o *openConns) add(nc net.Conn) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.closed {
		_ = nc.Close()
		return false
	}
	o.conns = append(o.conns, nc)
	return true
}

func (o *openConns) close() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.closed = true
	for _, nc := range o.conns {
		_ = nc.Close()
	}
}

// awaitOrdinaryAnswer sends a request of an ordinary caller to a host, again after each refusal
// or failure, until it is served.
func awaitOrdinaryAnswer(h *lab.Host) error {
	client := &http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	last := fmt.Errorf("no attempt was made")
	for end := time.Now().Add(ordinaryCallerTimeout); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		resp, err := client.Post("http://"+h.CallersAddress()+"/plans/7", "text/plain", strings.NewReader("book"))
		if err != nil {
			last = err
			continue
		}
		body, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if err == nil && resp.StatusCode == http.StatusOK {
			return nil
		}
		last = fmt.Errorf("status %d, body %q, error %v", resp.StatusCode, body, err)
	}
	return fmt.Errorf("an ordinary caller was not served: %w", last)
}

// usage is what a process uses of its limits.
type usage struct {
	// mb is its resident memory and what the kernel holds unread on its connections with
	// callers, in MB.
	mb          float64
	descriptors int
}

// usageWatch records the largest usage of a process.
type usageWatch struct {
	done    chan struct{}
	stopped atomic.Bool
	largest usage
}

// watchUsage starts to measure the usage of a host's daemon.
func watchUsage(t *testing.T, h *lab.Host) *usageWatch {
	t.Helper()
	w := &usageWatch{done: make(chan struct{})}
	go func() {
		defer close(w.done)
		for !w.stopped.Load() {
			u := usageOf(h)
			w.largest.mb = max(w.largest.mb, u.mb)
			w.largest.descriptors = max(w.largest.descriptors, u.descriptors)
			time.Sleep(20 * time.Millisecond)
		}
	}()
	return w
}

// stop ends the measurement and returns the largest usage.
func (w *usageWatch) stop() usage {
	w.stopped.Store(true)
	<-w.done
	return w.largest
}

// usageOf returns the usage of a host's daemon, zero if its process does not exist.
func usageOf(h *lab.Host) usage {
	dir := fmt.Sprintf("/proc/%d", h.Daemon.PID())
	descriptors, _ := os.ReadDir(dir + "/fd")
	status, _ := os.ReadFile(dir + "/status")
	resident := 0
	for _, line := range strings.Split(string(status), "\n") {
		if value, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			resident, _ = strconv.Atoi(strings.Fields(value)[0])
		}
	}
	return usage{mb: float64(resident)/1024 + float64(unreadBytes(h))/(1<<20), descriptors: len(descriptors)}
}

// unreadBytes returns what the kernel holds unread on the connections of a host with its callers.
func unreadBytes(h *lab.Host) int64 {
	table, _ := os.ReadFile("/proc/net/tcp")
	ip := net.ParseIP(h.IP).To4()
	local := fmt.Sprintf("%02X%02X%02X%02X:%04X", ip[3], ip[2], ip[1], ip[0], lab.CallersPort)
	sum := int64(0)
	for _, line := range strings.Split(string(table), "\n") {
		const listening = "0A"
		fields := strings.Fields(line)
		if len(fields) < 5 || fields[1] != local || fields[3] == listening {
			continue
		}
		_, received, _ := strings.Cut(fields[4], ":")
		n, _ := strconv.ParseInt(received, 16, 64)
		sum += n
	}
	return sum
}
