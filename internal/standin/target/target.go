// Package target is a small stand-in for a target: an HTTP server with slots and a
// service time that announces itself to the daemon on its host and can simulate gray
// failures. It is used by tests, the demo and the load tool.
package target

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/radishhoist/radishhoist/internal/core/header"
	"github.com/radishhoist/radishhoist/internal/guard"
	"github.com/radishhoist/radishhoist/internal/port"
	"github.com/radishhoist/radishhoist/internal/sleep"
)

// Mode selects how the stand-in handles requests.
type Mode string

// Modes of the stand-in.
const (
	// Good handles every request normally.
	Good Mode = "good"
	// Slow multiplies the service time by Behaviour.Factor.
	Slow Mode = "slow"
	// Errors responds with status 500 to a Behaviour.Share of requests.
	Errors Mode = "errors"
	// Truncate closes the connection halfway through the body of a Behaviour.Share of
	// responses.
	Truncate Mode = "truncate"
	// Oversize declares the greatest length for a Behaviour.Share of responses, and closes the
	// connection after their body.
	Oversize Mode = "oversize"
	// Swap sets the id of another request in the response to a Behaviour.Share of
	// requests.
	Swap Mode = "swap"
	// Refuse responds to a Behaviour.Share of requests at once with status 503 and the header
	// that says that the request did not run, whether or not a slot is free.
	Refuse Mode = "refuse"
	// ResetEarly responds to uploads of at least LongUploadBytes before it has read them,
	// without a declared length, and resets the connection in the middle of the response.
	ResetEarly Mode = "reset-early"
	// Stuck never responds.
	Stuck Mode = "stuck"
	// Flap alternates between Good and Slow, each for Behaviour.PeriodMS, and starts
	// with Slow.
	Flap Mode = "flap"
)

// Behaviour is a mode with its parameters. It is set by PUT /standin/behaviour.
type Behaviour struct {
	Mode     Mode    `json:"mode"`
	Factor   float64 `json:"factor,omitempty"`
	Share    float64 `json:"share,omitempty"`
	PeriodMS int64   `json:"periodMS,omitempty"`
	// RateLimit is the rate limit that the stand-in states in its responses, in requests per
	// second, 0 for none.
	RateLimit float64 `json:"rateLimit,omitempty"`
	// Leaving makes the stand-in state in its responses that it is leaving. It announces that
	// only later. When Leaving is reset, it starts again under another name.
	Leaving bool `json:"leaving,omitempty"`
	// Departs makes the stand-in withdraw, but go on serving. Once that is acknowledged, it
	// sends announcements as if they were from before and delayed. When Departs is reset, it
	// starts again under another name.
	Departs bool `json:"departs,omitempty"`
}

// LongUploadBytes is the length from which ResetEarly applies to an upload. It should be more than
// the socket buffers between the daemon and the stand-in hold.
const LongUploadBytes = 8 << 20

// Config describes one stand-in.
type Config struct {
	Name    string
	Service string
	// Address is the listen address, IP:port.
	Address string
	// Announce is the daemon's announce address. If it is empty, the stand-in does not
	// announce itself.
	Announce string
	Slots    int
	// ServiceTime is the median service time of a request. Service times have a
	// lognormal distribution; Spread is the standard deviation of the logarithm.
	ServiceTime time.Duration
	Spread      float64
	// Downtime is how long the stand-in is down after a simulated crash; 0 means 2 s.
	Downtime time.Duration
}

// Server is a running stand-in.
type Server struct {
	cfg  Config
	mux  *http.ServeMux
	stop context.CancelFunc
	done chan struct{}

	mu sync.Mutex
	// server is nil while the stand-in is down.
	server *http.Server
	closed bool
	// starts is the number of starts; each has its own instance name.
	starts int
	// crashTimes are the times of simulated crashes, in Unix milliseconds.
	crashTimes []int64
	behaviour  Behaviour
	// behaviourSince is when behaviour was set.
	behaviourSince time.Time
	leaving        bool
	statements     statements
	// runsByMark are the numbers of runs by the value of MarkHeader.
	runsByMark map[string]int
	// arrivals are the arrivals of requests, including refused ones, by the value of
	// MarkHeader, in Unix milliseconds.
	arrivals   map[string][]int64
	totalRuns  int
	running    int
	maxRunning int
	// full are the times at which all slots were in use, and fullSince is when the current
	// one began.
	full      []Span
	fullSince time.Time
}

const announceInterval = time.Second

// Start starts a stand-in that listens and announces itself until Stop.
func Start(cfg Config) (*Server, error) {
	l, err := port.Listen("target "+cfg.Name, cfg.Address)
	if err != nil {
		return nil, err
	}
	cfg.Address = l.Addr().String()
	ctx, cancel := context.WithCancel(context.Background())
	s := &Server{cfg: cfg, stop: cancel, done: make(chan struct{}), behaviour: Behaviour{Mode: Good}, behaviourSince: time.Now(), runsByMark: make(map[string]int), arrivals: make(map[string][]int64)}
	s.mux = http.NewServeMux()
	s.mux.HandleFunc("PUT /standin/behaviour", s.putBehaviour)
	s.mux.HandleFunc("GET /standin/runs", s.getRuns)
	s.mux.HandleFunc("/", s.serve)
	s.serveOn(l)
	go s.announceLoop(ctx)
	return s, nil
}

// Address returns the address on which the stand-in listens, IP:port.
func (s *Server) Address() string { return s.cfg.Address }

// Stop stops the stand-in at once, without notifying the daemon.
func (s *Server) Stop() {
	s.stop()
	<-s.done
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	s.closeServer()
}

// Leave announces that the stand-in is leaving, so that the daemon sends it no new
// requests.
func (s *Server) Leave() {
	s.mu.Lock()
	s.leaving = true
	s.mu.Unlock()
	s.announce(context.Background())
}

// SetBehaviour replaces the behaviour.
func (s *Server) SetBehaviour(b Behaviour) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.behaviour.Leaving && !b.Leaving || s.behaviour.Departs && !b.Departs {
		s.startAgain()
	}
	if b.RateLimit != s.behaviour.RateLimit {
		s.statements.resetLimit()
	}
	s.behaviour, s.behaviourSince = b, time.Now()
}

// Runs are the stand-in's counters of request executions. ByMark counts those of
// requests with a MarkHeader, by its value; Total counts all.
type Runs struct {
	ByMark     map[string]int `json:"byMark"`
	Total      int            `json:"total"`
	MaxRunning int            `json:"maxRunning"`
	// CrashTimes are the times at which a request with CrashPathSuffix crashed the
	// stand-in, in Unix milliseconds.
	CrashTimes []int64 `json:"ends,omitempty"`
	// OverRateLimit is the largest number of requests in a window beyond what the stated rate
	// limit allows. ArrivalsWhileLeaving is the number of requests that arrived although the
	// stand-in had stated for some time that it is leaving, or its withdrawal had been
	// acknowledged.
	OverRateLimit        int `json:"overRateLimit,omitempty"`
	ArrivalsWhileLeaving int `json:"arrivalsWhileLeaving,omitempty"`
	// Arrivals are the times at which requests with a MarkHeader arrived, by its value, in
	// Unix milliseconds. Unlike ByMark, they include requests that were refused.
	Arrivals map[string][]int64 `json:"arrivals,omitempty"`
	// Full are the times at which all slots were in use.
	Full []Span `json:"full,omitempty"`
	// PID is the id of the process that responds.
	PID int `json:"pid"`
}

// Runs returns the current counters.
func (s *Server) Runs() Runs {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := Runs{ByMark: make(map[string]int, len(s.runsByMark)), Total: s.totalRuns, MaxRunning: s.maxRunning, CrashTimes: s.crashTimes, PID: os.Getpid()}
	out.OverRateLimit, out.ArrivalsWhileLeaving = s.statements.overLimit, s.statements.lateArrivals
	for k, v := range s.runsByMark {
		out.ByMark[k] = v
	}
	out.Arrivals, out.Full = make(map[string][]int64, len(s.arrivals)), s.fullSpans()
	for k, v := range s.arrivals {
		out.Arrivals[k] = v[:len(v):len(v)]
	}
	return out
}

func (s *Server) putBehaviour(w http.ResponseWriter, r *http.Request) {
	var b Behaviour
	if err := json.NewDecoder(r.Body).Decode(&b); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetBehaviour(b)
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) getRuns(w http.ResponseWriter, _ *http.Request) {
	_ = json.NewEncoder(w).Encode(s.Runs())
}

// MarkHeader is the header by whose value Runs.ByMark counts the runs of a request.
const MarkHeader = "X-Mark"

// serve handles a request: it waits for the service time, or for the milliseconds in the query
// parameter "workMS", and then responds.
func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	if strings.HasSuffix(r.URL.Path, CrashPathSuffix) {
		s.crash(r)
		return
	}
	if s.resetEarly(w, r) {
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if len(body) >= LongUploadBytes {
		body = nil // not repeated in the response
	}
	if s.refuse(w, r) {
		return
	}
	b := s.beginRequest(r)
	defer s.endRequest()
	if b.Mode == Stuck {
		<-r.Context().Done()
		return
	}
	serviceTime := s.serviceTime(b)
	if ms, err := strconv.Atoi(r.URL.Query().Get("workMS")); err == nil {
		serviceTime = time.Duration(ms) * time.Millisecond
	}
	if !sleepFor(r.Context(), serviceTime) {
		return
	}
	s.respond(w, r, b, body)
}

// beginRequest counts a request and returns the behaviour that applies to it.
func (s *Server) beginRequest(r *http.Request) Behaviour {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.totalRuns++
	s.observeArrival(r)
	s.countRunning(1)
	if mark := r.Header.Get(MarkHeader); mark != "" {
		s.runsByMark[mark]++
	}
	b := s.behaviour
	if b.Mode == Flap && time.Since(s.behaviourSince).Milliseconds()/max(b.PeriodMS, 1)%2 == 1 {
		b.Mode = Good
	}
	return b
}

func (s *Server) endRequest() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.countRunning(-1)
}

// sleepFor waits for d and reports whether it has passed: false if the context ended
// before. If d is not positive, it returns true without checking the context.
func sleepFor(ctx context.Context, d time.Duration) bool {
	return d <= 0 || sleep.For(ctx, d)
}

func (s *Server) serviceTime(b Behaviour) time.Duration {
	d := float64(s.cfg.ServiceTime) * math.Exp(s.cfg.Spread*rand.NormFloat64())
	if b.Mode == Slow || b.Mode == Flap {
		d *= b.Factor
	}
	return time.Duration(d)
}

// respond writes a response with the request's path, mark and body, so that the caller
// can check that the response belongs to its request. If the query parameter "size" is
// given, the body is padded to that many bytes.
func (s *Server) respond(w http.ResponseWriter, r *http.Request, b Behaviour, body []byte) {
	affected := rand.Float64() < b.Share
	id := r.Header.Get(header.RequestID)
	if b.Mode == Swap && affected {
		id = "some-other-request"
	}
	w.Header().Set(header.RequestID, id)
	s.state(w.Header())
	if b.Mode == Errors && affected {
		http.Error(w, "stand-in error", http.StatusInternalServerError)
		return
	}
	out := append([]byte(fmt.Sprintf("%s %s mark=%s ", s.cfg.Name, r.URL.Path, r.Header.Get(MarkHeader))), body...)
	if size, err := strconv.Atoi(r.URL.Query().Get("size")); err == nil && size > len(out) {
		out = append(out, bytes.Repeat([]byte("."), size-len(out))...)
	}
	if b.Mode == Oversize && affected {
		w.Header().Set("Content-Length", strconv.Itoa(math.MaxInt64))
		_, _ = w.Write(out)
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(out)))
	if b.Mode == Truncate && affected {
		_, _ = w.Write(out[:len(out)/2])
		_ = http.NewResponseController(w).Flush() // without it, a short response is dropped as a whole
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(out)
}

func (s *Server) announceLoop(ctx context.Context) {
	defer close(s.done)
	ticker := time.NewTicker(announceInterval)
	defer ticker.Stop()
	for {
		s.announce(ctx)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

func (s *Server) announce(ctx context.Context) {
	s.mu.Lock()
	leaving, name, isDown := s.leaving || s.statements.announcesLeaving(time.Now()), s.instanceName(), s.server == nil
	withdraws := s.behaviour.Departs && !s.statements.departed
	s.mu.Unlock()
	if s.cfg.Announce == "" || isDown {
		return
	}
	if withdraws {
		s.withdraw(ctx, name)
		return
	}
	body, err := json.Marshal(guard.Announcement{
		Service: s.cfg.Service, Address: s.cfg.Address, Slots: s.cfg.Slots,
		Connections: maxConnections, Version: "1", Leaving: leaving,
	})
	if err != nil {
		return
	}
	url := "http://" + s.cfg.Announce + "/v1/instances/" + name
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, url, bytes.NewReader(body))
	if err != nil {
		return
	}
	if resp, err := http.DefaultClient.Do(req); err == nil {
		_ = resp.Body.Close()
	}
}

// maxConnections is the connection limit that the stand-in announces. The targets of
// users accept about 350 connections.
const maxConnections = 350
