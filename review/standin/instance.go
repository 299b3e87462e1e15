package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// instance is a stand-in for one boot of an application instance on a host.
type instance struct {
	rig   *rig
	host  *host
	id    string
	slots int
	work  time.Duration
	// garble, if set, may answer a request with other bytes. It reports whether it did.
	garble func(in *instance, w http.ResponseWriter, r *http.Request) bool

	mu       sync.Mutex
	running  int
	waiting  int
	slot     chan struct{}
	sequence int
}

const (
	// beatInterval and ackTimeout are those of the settings and of the protocol.
	beatInterval = 1500 * time.Millisecond
	ackTimeout   = time.Second
	// idleClose is how long an instance keeps an idle connection.
	idleClose = 10 * time.Second
	// maxWaiting is the number of requests that an instance queues.
	maxWaiting = 10
)

// newInstance creates a boot that does not listen yet.
func newInstance(r *rig, h *host, id string, slots int, work time.Duration) *instance {
	return &instance{rig: r, host: h, id: id, slots: slots, work: work, slot: make(chan struct{}, slots)}
}

// listen begins to serve at the host's application address.
func (in *instance) listen() {
	l, err := net.Listen("tcp", in.host.app)
	if err != nil {
		in.rig.abort("instance %s cannot listen: %v", in.id, err)
	}
	server := &http.Server{Handler: in, IdleTimeout: idleClose}
	go func() { _ = server.Serve(l) }()
	in.rig.note("instance %s of %s starts on %s", in.id, in.host.service, in.host.name)
}

// beat announces the instance at regular intervals.
func (in *instance) beat() {
	for {
		in.announce()
		time.Sleep(beatInterval)
	}
}

// announcement returns the next ping.
func (in *instance) announcement() []byte {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.sequence++
	m := map[string]any{
		"service": in.host.service, "address": in.host.app, "dc": in.host.zone, "version": "v1",
		"slots": in.slots, "state": "ready", "warmupLeftMS": 0, "sequence": in.sequence,
	}
	body, _ := json.Marshal(m)
	return body
}

// announce sends one ping.
func (in *instance) announce() {
	client := &http.Client{Timeout: ackTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	req, _ := http.NewRequest(http.MethodPut, "http://"+in.host.control+"/v1/instances/"+in.id, bytes.NewReader(in.announcement()))
	req.Header.Set("Content-Type", "application/json")
	resp, err := client.Do(req)
	if err != nil {
		return // The next ping follows.
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
}

// admit takes a slot or a place in the queue.
func (in *instance) admit() bool {
	in.mu.Lock()
	defer in.mu.Unlock()
	if in.running+in.waiting >= in.slots+maxWaiting {
		return false
	}
	in.waiting++
	return true
}

func (in *instance) load() string {
	in.mu.Lock()
	defer in.mu.Unlock()
	return fmt.Sprintf("%d,%d,%d", in.running, in.waiting, in.slots)
}

func (in *instance) shift(running, waiting int) {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.running += running
	in.waiting += waiting
}

// ServeHTTP runs one request.
func (in *instance) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health" {
		w.Header().Set("X-Instance-Id", in.id)
		w.Header().Set(names.ServerLoad, in.load())
		return
	}
	id := r.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", id)
	w.Header().Set("Keep-Alive", "timeout="+strconv.Itoa(int(idleClose/time.Second)))
	if want := r.Header.Get(names.ExpectedInstance); want != "" && want != in.id {
		w.Header().Set("X-Instance-Id", in.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if !in.admit() {
		w.Header().Set(names.NotExecuted, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	deadline := in.deadline(r)
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	select {
	case in.slot <- struct{}{}:
	case <-timer.C:
		in.shift(0, -1)
		w.Header().Set(names.NotExecuted, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case <-r.Context().Done():
		in.shift(0, -1)
		return
	}
	in.shift(1, -1)
	defer func() {
		<-in.slot
		in.shift(-1, 0)
	}()
	in.rig.ran(in, id, r, len(body))
	if in.garble != nil && in.garble(in, w, r) {
		return
	}
	work := time.NewTimer(in.work)
	defer work.Stop()
	select {
	case <-work.C:
	case <-timer.C:
		w.WriteHeader(http.StatusGatewayTimeout)
		return
	case <-r.Context().Done():
		return
	}
	w.Header().Set(names.Signature, signature(id))
	w.Header().Set(names.ServerLoad, in.load())
	_, _ = io.WriteString(w, answerBody(id))
}

func (in *instance) deadline(r *http.Request) time.Time {
	ms, err := strconv.Atoi(r.Header.Get(names.Deadline))
	if err != nil {
		ms = 10000
	}
	return time.Now().Add(time.Duration(ms) * time.Millisecond)
}

func signature(id string) string  { return "sig." + id }
func answerBody(id string) string { return strings.Repeat("answer to "+id+"\n", 8) }
