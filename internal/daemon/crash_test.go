package daemon

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/radishhoist/radishhoist/internal/guard"
	"github.com/radishhoist/radishhoist/verdict"
)

// fatalPath is the path that ends a fragile instance.
const fatalPath = "/fatal"

// fragile is an instance of service "s" that ends when it begins to run fatalPath.
type fragile struct {
	listener net.Listener
	// ran counts the requests for fatalPath.
	ran   *atomic.Int64
	mu    sync.Mutex
	conns []net.Conn
}

// startFragile starts an instance beside a daemon and waits until a front uses it.
func startFragile(t *testing.T, host, front *Daemon, name string, ran *atomic.Int64) *fragile {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	f := &fragile{listener: l, ran: ran}
	t.Cleanup(f.end)
	go f.accept()
	body, err := json.Marshal(guard.Announcement{Service: "s", Address: l.Addr().String(), Slots: 4, Version: "1", State: "ready"})
	assert.NilError(t, err)
	req, err := http.NewRequest(http.MethodPut, "http://"+host.cfg.Load().Announce+"/v1/instances/"+name, bytes.NewReader(body))
	assert.NilError(t, err)
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		req.Body = io.NopCloser(bytes.NewReader(body))
		resp, err := http.DefaultClient.Do(req)
		assert.NilError(t, err)
		_ = resp.Body.Close()
		if get(http.DefaultClient, "http://"+front.cfg.Load().Callers+"/") == nil {
			return f
		}
	}
	t.Fatal("the instance is not used")
	return nil
}

func (f *fragile) accept() {
	for {
		c, err := f.listener.Accept()
		if err != nil {
			return
		}
		f.mu.Lock()
		f.conns = append(f.conns, c)
		f.mu.Unlock()
		go f.serve(c)
	}
}

func (f *fragile) serve(c net.Conn) {
	in := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if r.URL.Path == fatalPath {
			f.ran.Add(1)
			f.end()
			return
		}
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
	}
}

// end closes everything at once, as a process that ends does.
func (f *fragile) end() {
	_ = f.listener.Close()
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, c := range f.conns {
		_ = c.Close()
	}
}

// reasonOf sends a request and gives the reason and the verdict of its failure.
func reasonOf(t *testing.T, front *Daemon, path string) (reason, ran string) {
	t.Helper()
	resp, err := http.DefaultClient.Get("http://" + front.cfg.Load().Callers + path)
	assert.NilError(t, err)
	defer func() { _ = resp.Body.Close() }()
	var p verdict.Problem
	assert.NilError(t, json.NewDecoder(resp.Body).Decode(&p))
	return p.Title, p.Verdict
}

func shutdown(daemons []*Daemon) {
	for _, d := range daemons {
		d.Shutdown(nil)
	}
}

// What users would see: after the loss of all processes at once, the request that had
// ended three instances ends three more. No such day was seen; the platform's days end
// with such a loss, and its rule counts on.
//
// Order of events: a request ends three instances and is stopped. All processes end and
// start again. The request comes once more.
//
// Cause: hosts keep nothing, and what the fleet knew of ends lived in its processes alone.
//
// Evidence: before the platform kept it, the request ended the instance that it met
// after the loss.
func TestAStoppedRequestStaysStoppedOverALossOfAllProcesses(t *testing.T) {
	platform := startPlatform(t)
	var ran atomic.Int64
	before := startDaemons(t, platform)
	for n := range 3 {
		startFragile(t, before[1], before[0], fmt.Sprint("before", n), &ran)
		reason, _ := reasonOf(t, before[0], fatalPath)
		assert.Equal(t, reason, string(verdict.ReasonTargetEnded))
	}
	last := startFragile(t, before[1], before[0], "last", &ran)
	reason, promise := reasonOf(t, before[0], fatalPath)
	assert.Equal(t, reason, string(verdict.ReasonCrashesTargets))
	assert.Equal(t, promise, verdict.NotRun.String())
	assert.Equal(t, ran.Load(), int64(3))
	time.Sleep(time.Second)
	shutdown(before)
	last.end()

	after := startDaemons(t, platform)
	defer shutdown(after)
	startFragile(t, after[1], after[0], "after", &ran)
	reason, promise = reasonOf(t, after[0], fatalPath)
	assert.Equal(t, reason, string(verdict.ReasonCrashesTargets))
	assert.Equal(t, promise, verdict.NotRun.String())
	assert.Equal(t, ran.Load(), int64(3), "no instance ended for it")
}
