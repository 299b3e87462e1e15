package daemon

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/uuid"
	"gotest.tools/v3/assert"

	"github.com/radishhoist/radishhoist/internal/guard"
	"github.com/radishhoist/radishhoist/internal/objects"
	"github.com/radishhoist/radishhoist/record"
	"github.com/radishhoist/radishhoist/verdict"
)

// fatalPath is the path that ends a fragile instance.
const fatalPath = "/fatal"

// fragile is an instance of service "s" that ends when it begins to run fatalPath.
type fragile struct {
	listener net.Listener
	// ran counts the requests for fatalPath.
	ran *atomic.Int64
	// over is closed when the instance ends.
	over  chan struct{}
	once  sync.Once
	mu    sync.Mutex
	conns []net.Conn
}

// startFragile starts an instance beside a daemon and waits until a front uses it.
func startFragile(t *testing.T, host, front *Daemon, name string, ran *atomic.Int64) *fragile {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	f := &fragile{listener: l, ran: ran, over: make(chan struct{})}
	t.Cleanup(f.end)
	go f.accept()
	body, err := json.Marshal(guard.Announcement{Service: "s", Address: l.Addr().String(), Slots: 4, Version: "1", State: "ready"})
	assert.NilError(t, err)
	url := "http://" + host.cfg.Load().Announce + "/v1/instances/" + name
	assert.NilError(t, announce(url, body))
	go func() {
		for {
			select {
			case <-f.over:
				return
			case <-time.After(announceInterval):
				if announce(url, body) != nil {
					return // the daemon is gone
				}
			}
		}
	}()
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if get(http.DefaultClient, "http://"+front.cfg.Load().Callers+"/") == nil {
			return f
		}
	}
	t.Fatal("the instance is not used")
	return nil
}

// announceInterval is how often an instance announces itself.
const announceInterval = 500 * time.Millisecond

func announce(url string, body []byte) error {
	req, err := http.NewRequest(http.MethodPut, url, bytes.NewReader(body))
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	return resp.Body.Close()
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
	f.once.Do(func() { close(f.over) })
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
	req, err := http.NewRequest(http.MethodGet, "http://"+front.cfg.Load().Callers+path, nil)
	assert.NilError(t, err)
	return failureOf(t, req)
}

// failureOf sends a request and gives the reason and the verdict of its failure.
func failureOf(t *testing.T, req *http.Request) (reason, ran string) {
	t.Helper()
	resp, err := http.DefaultClient.Do(req)
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

	liftAll(t, platform)
	for end := time.Now().Add(20 * time.Second); ran.Load() == 3 && time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		reason, _ = reasonOf(t, after[0], fatalPath)
	}
	assert.Equal(t, reason, string(verdict.ReasonTargetEnded), "it runs again by an operator's word")
}

// liftAll deletes every record of a stopped request, as an operator would.
func liftAll(t *testing.T, platform string) {
	t.Helper()
	client := objects.NewClient(platform, time.Second)
	defer client.Close()
	page, err := client.List(context.Background(), record.KindCrasher)
	assert.NilError(t, err)
	assert.Equal(t, len(page.Objects), 1)
	_, err = client.Delete(context.Background(), page.Objects[0].Key(), page.Objects[0].Version)
	assert.NilError(t, err)
}

// newKey makes a key as callers should: with the time in it.
func newKey(t *testing.T) string {
	t.Helper()
	key, err := uuid.NewV7()
	assert.NilError(t, err)
	return key.String()
}

// awaitKeys waits until keyed requests have owners.
func awaitKeys(t *testing.T, front *Daemon) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		req, err := http.NewRequest(http.MethodPost, "http://"+front.cfg.Load().Callers+"/", nil)
		assert.NilError(t, err)
		req.Header.Set("Idempotency-Key", newKey(t))
		resp, err := http.DefaultClient.Do(req)
		assert.NilError(t, err)
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return
		}
	}
	t.Fatal("keys have no owner")
}

// addressedTo makes the fatal request for a front, with another address in its Host header.
func addressedTo(t *testing.T, front *Daemon, host string) *http.Request {
	t.Helper()
	req, err := http.NewRequest(http.MethodGet, "http://"+front.cfg.Load().Callers+fatalPath, nil)
	assert.NilError(t, err)
	req.Host = host
	return req
}

// What users saw in a soak: a request that had ended three instances went on ending others,
// once at each front more.
//
// Order of events: the request ends an instance through one front, and comes again at
// another; callers address each front by its own address.
//
// Cause: the address stood in the Host header, which was taken for a part of the request,
// though its route holds for every host.
//
// Evidence: eighteen instances ended under one path, of which each front stopped its own
// print after three.
func TestTheFrontsAddressIsNoPartOfARequest(t *testing.T) {
	daemons := startDaemons(t, startPlatform(t))
	defer shutdown(daemons)
	var ran atomic.Int64
	for n := range 3 {
		startFragile(t, daemons[1], daemons[0], fmt.Sprint("i", n), &ran)
		reason, _ := failureOf(t, addressedTo(t, daemons[0], fmt.Sprintf("10.0.0.%d", n)))
		assert.Equal(t, reason, string(verdict.ReasonTargetEnded))
	}
	startFragile(t, daemons[1], daemons[0], "last", &ran)
	reason, promise := failureOf(t, addressedTo(t, daemons[0], "10.0.0.9"))
	assert.Equal(t, reason, string(verdict.ReasonCrashesTargets))
	assert.Equal(t, promise, verdict.NotRun.String())
	assert.Equal(t, ran.Load(), int64(3))
}

// Work that cannot be repeated, with a key and without, and with a body too large to keep:
// each send that reached an instance is told as one that may have run, and what comes
// after the third end as one that has not. Neither another body nor another path is
// stopped with it.
func TestWorkThatIsNotIdempotentIsStoppedTruthfully(t *testing.T) {
	daemons := startDaemons(t, startPlatform(t))
	defer shutdown(daemons)
	var ran atomic.Int64
	for name, body := range map[string]string{"plain": "x", "keyed": "y", "large": strings.Repeat("z", 1<<20)} {
		ran.Store(0)
		post := func(n int, body string) *http.Request {
			req, err := http.NewRequest(http.MethodPost, "http://"+daemons[0].cfg.Load().Callers+fatalPath, strings.NewReader(body))
			assert.NilError(t, err)
			if name == "keyed" {
				req.Header.Set("Idempotency-Key", newKey(t))
			}
			return req
		}
		for n := range 3 {
			startFragile(t, daemons[1], daemons[0], fmt.Sprint(name, n), &ran)
			awaitKeys(t, daemons[0])
			reason, promise := failureOf(t, post(n, body))
			assert.Check(t, reason == string(verdict.ReasonTargetEnded), "%s: %s", name, reason)
			assert.Check(t, promise == verdict.MayHaveRun.String(), "%s: %s", name, promise)
		}
		f := startFragile(t, daemons[1], daemons[0], name+"-last", &ran)
		reason, promise := failureOf(t, post(3, body))
		assert.Check(t, reason == string(verdict.ReasonCrashesTargets), "%s: %s", name, reason)
		assert.Check(t, promise == verdict.NotRun.String(), "%s: %s", name, promise)
		assert.Check(t, ran.Load() == 3, "%s: %d", name, ran.Load())
		reason, _ = failureOf(t, post(4, body+"other"))
		assert.Check(t, reason == string(verdict.ReasonTargetEnded), "%s, another body: %s", name, reason)
		f.end()
	}
}
