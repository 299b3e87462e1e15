package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// instance is a stand-in of one application instance: an HTTP server with slots that sends
// pings to the control address of its machine.
type instance struct {
	id, service, zone string
	address, control  string
	slots             int
	work              time.Duration
	log               *recorder
	born              time.Time
	sequence          atomic.Int64
	state             atomic.Value
	silent            atomic.Bool
	running           atomic.Int64
	server            *http.Server
	stop              chan struct{}
	stopOnce          sync.Once
	// handle replaces the usual work where it is set.
	handle func(w http.ResponseWriter, r *http.Request, body []byte) bool
	// raw takes the connection over before the body is read, where it is set and takes reports so.
	takes   func(r *http.Request) bool
	raw     func(nc net.Conn, id string)
	answers atomic.Int64
}

const (
	pingInterval = 1500 * time.Millisecond
	ackTimeout   = time.Second
)

func newInstance(id, service, zone, control string, slots int, work time.Duration, log *recorder) (*instance, error) {
	l, err := net.Listen("tcp", loopback()+":0")
	if err != nil {
		return nil, err
	}
	in := &instance{id: id, service: service, zone: zone, address: l.Addr().String(), control: control, slots: slots, work: work, log: log, born: time.Now(), stop: make(chan struct{})}
	in.state.Store("ready")
	in.server = &http.Server{Handler: http.HandlerFunc(in.serve), ReadHeaderTimeout: 10 * time.Second, IdleTimeout: 10 * time.Second}
	go func() { _ = in.server.Serve(l) }()
	return in, nil
}

func (in *instance) serve(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health" {
		w.Header().Set("X-Instance-Id", in.id)
		if in.state.Load() != "ready" {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	id := r.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", id)
	expected := r.Header.Get(names.ExpectedInstance)
	in.log.arrival(in, id, r)
	if expected != "" && expected != in.id {
		w.Header().Set("X-Instance-Id", in.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if in.raw != nil && in.takes(r) {
		in.log.run(in, id, r)
		if nc, _, err := http.NewResponseController(w).Hijack(); err == nil {
			in.raw(nc, id)
		}
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if n := in.running.Add(1); int(n) > in.slots {
		in.running.Add(-1)
		w.Header().Set(names.NotExecuted, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer in.running.Add(-1)
	in.log.run(in, id, r)
	if in.handle != nil && in.handle(w, r, body) {
		return
	}
	select {
	case <-time.After(in.work):
	case <-r.Context().Done():
		return
	}
	in.answers.Add(1)
	answer := []byte(fmt.Sprintf("answer of %s to %s, %d bytes of body\n", in.id, id, len(body)))
	w.Header().Set(names.Signature, "sig."+id+"."+in.id)
	w.Header().Set(names.Load, fmt.Sprintf("%d,0,%d", in.running.Load()-1, in.slots))
	w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
	_, _ = w.Write(answer)
}

// ping is one ping, prepared now and sent later.
func (in *instance) ping() []byte {
	warmUp := max(3*time.Second-time.Since(in.born), 0).Milliseconds()
	b, err := json.Marshal(map[string]any{
		"service": in.service, "address": in.address, "dc": in.zone, "version": "v1", "slots": in.slots,
		"state": in.state.Load(), "warmupLeftMS": warmUp, "sequence": in.sequence.Add(1),
	})
	if err != nil {
		panic(err)
	}
	return b
}

// call sends a call to the control address and returns the status, 0 for none.
func (in *instance) call(method string, body []byte, timeout time.Duration) int {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+in.control+"/v1/instances/"+in.id, bytes.NewReader(body))
	if err != nil {
		return 0
	}
	r.Header.Set("Content-Type", "application/json")
	r.Close = true
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0
	}
	defer func() { _ = resp.Body.Close() }()
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode
}

// beat sends pings until the instance is silent or ends.
func (in *instance) beat() {
	for {
		if !in.silent.Load() {
			in.call(http.MethodPut, in.ping(), ackTimeout)
		}
		select {
		case <-time.After(pingInterval):
		case <-in.stop:
			return
		}
	}
}

func (in *instance) end() {
	in.stopOnce.Do(func() {
		close(in.stop)
		_ = in.server.Close()
	})
}
