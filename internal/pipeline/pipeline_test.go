package pipeline

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

const (
	testDepth       = 4
	testHeaderBytes = 4 << 10
	testRecordBytes = 1 << 10
)

// pipeListener accepts the server ends of in-memory connections.
type pipeListener struct {
	conns chan net.Conn
	once  sync.Once
}

func (l *pipeListener) Accept() (net.Conn, error) {
	if nc, ok := <-l.conns; ok {
		return nc, nil
	}
	return nil, net.ErrClosed
}
func (l *pipeListener) Close() error {
	l.once.Do(func() { close(l.conns) })
	return nil
}
func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// server runs an HTTP server with in-memory connections, in a synctest bubble. The bubble
// fails the test if a goroutine is left at its end.
type server struct {
	http     *http.Server
	listener *pipeListener
	started  atomic.Int64
}

// newTestPipeline lets requests overlap unless their path contains "alone".
func newTestPipeline(depth int, h http.HandlerFunc, started func()) *Pipeline {
	return New(Config{
		Depth: depth, MaxHeaderBytes: testHeaderBytes, Started: started,
		MayOverlap: func(r *http.Request) (int, bool) { return testRecordBytes, !strings.Contains(r.URL.Path, "alone") },
	}, h)
}

// startServer serves with a Pipeline, or without one if depth is 1.
func startServer(depth int, h http.HandlerFunc) *server {
	s := &server{listener: &pipeListener{conns: make(chan net.Conn)}}
	s.http = &http.Server{
		Handler: h, MaxHeaderBytes: testHeaderBytes, ReadHeaderTimeout: 5 * time.Second, IdleTimeout: time.Minute,
		ErrorLog: log.New(io.Discard, "", 0),
	}
	var l net.Listener = s.listener
	if depth > 1 {
		p := newTestPipeline(depth, h, func() { s.started.Add(1) })
		s.http.Handler, s.http.ConnContext, l = p, p.ConnContext, p.Listener(l)
	}
	go func() { _ = s.http.Serve(l) }()
	return s
}

func (s *server) stop() {
	_ = s.http.Close()
	time.Sleep(time.Minute) // handlers that sleep end
}

// send opens a connection and sends the parts on it, with pauses of up to 7 ms between them.
func (s *server) send(parts ...string) net.Conn {
	caller, server := net.Pipe()
	s.listener.conns <- server
	go func() {
		for _, part := range parts {
			if _, err := io.WriteString(caller, part); err != nil {
				return
			}
			time.Sleep(time.Duration(len(part)%8) * time.Millisecond)
		}
	}()
	return caller
}

func get(path string) string { return "GET " + path + " HTTP/1.1\r\nHost: h\r\n\r\n" }

const lastGet = "GET /last HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"

// readBodies reads responses until the connection ends and returns their bodies. The last
// one may be cut.
func readBodies(nc net.Conn) (bodies []string) {
	in := bufio.NewReader(nc)
	for {
		resp, err := http.ReadResponse(in, nil)
		if err != nil {
			return bodies
		}
		body, err := io.ReadAll(resp.Body)
		if err != nil {
			return append(bodies, "cut")
		}
		bodies = append(bodies, string(body))
	}
}

// run runs a test in a bubble with a server.
func run(t *testing.T, depth int, h http.HandlerFunc, f func(t *testing.T, s *server)) {
	synctest.Test(t, func(t *testing.T) {
		s := startServer(depth, h)
		defer s.stop()
		f(t, s)
	})
}

// sleepHandler responds with the path after the time that the query gives in milliseconds. It
// does not wait for a timer's channel: with the race detector, Go 1.26 crashes in
// runtime.(*timer).maybeRunChan when goroutines of one bubble do that at the same time.
func sleepHandler(w http.ResponseWriter, r *http.Request) {
	ms, _ := strconv.Atoi(r.URL.RawQuery)
	time.Sleep(time.Duration(ms) * time.Millisecond)
	_, _ = io.WriteString(w, r.URL.Path)
}

// What may overlap runs concurrently up to the depth and is answered in order. What may not,
// has a body or is unusual waits for all requests before it, and those behind wait for it.
func TestRequestsOverlap(t *testing.T) {
	post := "POST /post?100 HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc"
	chunked := "POST /chunked?100 HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"
	g := get("/g?100")
	for _, c := range []struct {
		name, requests  string
		ms, startsAhead int
	}{
		{"three", g + g + g, 100, 2},
		{"slow first", get("/g?300") + g + g, 300, 2},
		{"more than the depth", strings.Repeat(g, 10), 300, 9},
		{"not to overlap", g + get("/alone?100") + g, 300, 0},
		{"first not to overlap", get("/alone?100") + g + g, 200, 1},
		{"body in between", g + g + post + g + g, 300, 2},
		{"body in chunks", g + g + chunked + g + g, 400, 1},
		{"HTTP/1.0", g + g + "GET /g?100 HTTP/1.0\r\nHost: h\r\nConnection: keep-alive\r\n\r\n" + g, 300, 1},
		{"bare line feeds", g + strings.ReplaceAll(g, "\r\n", "\n") + g, 300, 0},
		{"folded field", g + "GET /g?100 HTTP/1.1\r\nHost: h\r\nX: a\r\n b\r\n\r\n" + g, 300, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			run(t, testDepth, sleepHandler, func(t *testing.T, s *server) {
				begin := time.Now()
				bodies := readBodies(s.send(c.requests, lastGet))
				assert.Equal(t, len(bodies), strings.Count(c.requests, " HTTP/1.")+1, "%v", bodies)
				assert.Equal(t, int(time.Since(begin).Milliseconds()), c.ms)
				assert.Equal(t, int(s.started.Load()), c.startsAhead)
			})
		})
	}
}

// randomHandler gives a response that depends on the path only. Some paths end the
// connection.
func randomHandler(w http.ResponseWriter, r *http.Request) {
	seed, _ := strconv.ParseUint(strings.TrimPrefix(r.URL.Path[strings.LastIndex(r.URL.Path, "/"):], "/"), 10, 64)
	rng := rand.New(rand.NewPCG(seed, 1))
	h := w.Header()
	h["Date"] = nil
	h.Set("Request", r.Method+" "+r.URL.Path)
	body, _ := io.ReadAll(r.Body)
	time.Sleep(time.Duration(rng.IntN(20)) * time.Millisecond)
	switch rng.IntN(40) {
	case 0:
		panic(http.ErrAbortHandler)
	case 1:
		h.Set("Connection", "close")
	}
	parts := make([]string, rng.IntN(4))
	for i := range parts {
		parts[i] = strings.Repeat(r.URL.Path+string(body), rng.IntN(100))
	}
	sized := rng.IntN(2) == 0
	if sized {
		h.Set("Content-Length", strconv.Itoa(len(strings.Join(parts, ""))))
	}
	switch rng.IntN(8) {
	case 0:
		w.WriteHeader(http.StatusNotFound)
	case 1:
		h.Del("Content-Length")
		w.WriteHeader(http.StatusNotModified)
	}
	for _, part := range parts {
		_, _ = io.WriteString(w, part)
		if sized && rng.IntN(3) == 0 { // a flush of a response in chunks would change their sizes
			_ = http.NewResponseController(w).Flush()
		}
	}
}

// randomRequests returns the bytes of a caller, in pieces. The last request closes the
// connection.
func randomRequests(rng *rand.Rand) (pieces []string) {
	var all strings.Builder
	for range rng.IntN(30) {
		path := fmt.Sprintf("/%s/%d", []string{"a", "a", "a", "alone"}[rng.IntN(4)], rng.Uint32())
		if rng.IntN(6) > 0 {
			all.WriteString(get(path))
			continue
		}
		form := []string{
			"HEAD %s HTTP/1.1\r\nHost: h\r\n\r\n",
			"POST %s HTTP/1.1\r\nHost: h\r\nContent-Length: 20\r\n\r\nGET / HTTP/1.1\r\n\r\n\r\n",
			"PUT %s HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n",
			"GET %s HTTP/1.1\r\nHost: h\r\ncontent-length: 2\r\n\r\nxy",
			"GET %s HTTP/1.1\r\nHost: h\r\nConnection: Keep-Alive\r\nX: " + strings.Repeat("x", rng.IntN(6000)) + "\r\n\r\n",
			"GET %s HTTP/1.1\r\nHost: h\r\n\r\n",
			"POST %s HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n",
			"POST %s HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\nExpect: 100-continue\r\n\r\nx",
			"GET %s HTTP/1.1\nHost: h\n\n",
			"GET %s HTTP/1.1\r\nHost: h\r\nX: a\r\n b\r\n\r\n",
			"\r\nGET %s HTTP/1.1\r\nHost: h\r\n\r\n",
			"GET %s HTTP/1.1\r\n\r\n",
			"GET %s HTTP/1.1\r\nHost: h\r\nbad field: x\r\n\r\n",
			"GET %s HTTP/1.1\r\nHost: h\r\nX: \x01\r\n\r\n",
			"GET %s HTTP/1.1\r\nHost: h\r\nX: " + strings.Repeat("x", 14000) + "\r\n\r\n",
			"OPTIONS * HTTP/1.1\r\nHost: h%.0s\r\n\r\n",
			"GET http://h%s HTTP/1.1\r\nHost: h\r\n\r\n",
		}
		// The first forms, which keep the connection's framing, come up more often.
		i := min(rng.IntN(len(form)), rng.IntN(len(form)), rng.IntN(len(form)))
		fmt.Fprintf(&all, form[i], path)
	}
	all.WriteString(lastGet)
	bytes := []byte(all.String())
	for len(bytes) > 0 {
		n := min(1+rng.IntN(1+rng.IntN(2000)), len(bytes))
		pieces, bytes = append(pieces, string(bytes[:n])), bytes[n:]
	}
	return pieces
}

// Each response must be that of its request, whole and in order: a caller gets the same bytes
// as from a server that handles requests one by one, for any bytes that it sends.
func TestSameBytesAsPlainServer(t *testing.T) {
	startedAhead := int64(0)
	seeds := []uint64{2485} // a handler flushes the header before it writes the body
	for seed := range uint64(500) {
		seeds = append(seeds, seed)
	}
	for _, seed := range seeds {
		pieces := randomRequests(rand.New(rand.NewPCG(seed, 2)))
		var want, got string
		run(t, 1, randomHandler, func(_ *testing.T, s *server) { want = readAll(s.send(pieces...)) })
		run(t, testDepth, randomHandler, func(_ *testing.T, s *server) {
			got = readAll(s.send(pieces...))
			startedAhead += s.started.Load()
		})
		if got != want {
			t.Fatalf("seed %d: %q instead of %q", seed, got, want)
		}
	}
	t.Logf("%d requests started ahead", startedAhead)
	assert.Assert(t, startedAhead > 1000)
}

func readAll(r io.Reader) string {
	all, _ := io.ReadAll(r)
	return string(all)
}

// When a connection ends, the requests that have started on it are cancelled, and what was
// answered before is whole.
func TestEndOfConnectionCancelsRequests(t *testing.T) {
	var running atomic.Int64
	release := make(chan struct{})
	h := func(w http.ResponseWriter, r *http.Request) {
		running.Add(1)
		defer running.Add(-1)
		released := release
		switch r.URL.Path {
		case "/panic":
			panic("expected by the test")
		case "/abort":
			panic(http.ErrAbortHandler)
		case "/close":
			w.Header().Set("Connection", "close")
			released = nil
		case "/wait":
			<-r.Context().Done()
			return
		}
		if released != nil {
			<-released
		}
		_, _ = io.WriteString(w, r.URL.Path)
	}
	for _, c := range []struct {
		name, second string
		// answered says that the connection ends once the first request is answered.
		answered bool
		end      func(s *server, nc net.Conn)
		bodies   []string
	}{
		{"caller closes", "/wait", false, func(_ *server, nc net.Conn) { _ = nc.Close() }, nil},
		{"caller closes at a later turn", "/wait", true, func(_ *server, nc net.Conn) { _ = nc.Close() }, nil},
		{"server closes", "/wait", false, func(s *server, _ net.Conn) { _ = s.http.Close() }, nil},
		{"response closes", "/close", false, nil, []string{"/first", "/close"}},
		{"handler panics", "/panic", false, nil, []string{"/first"}},
		{"handler aborts", "/abort", false, nil, []string{"/first"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				release = make(chan struct{})
				s := startServer(testDepth, h)
				defer s.stop()
				nc := s.send(get("/first") + get(c.second) + get("/wait") + get("/wait"))
				synctest.Wait()
				assert.Equal(t, s.started.Load(), int64(3))
				if c.answered {
					close(release)
					_, err := http.ReadResponse(bufio.NewReader(nc), nil)
					assert.NilError(t, err)
					synctest.Wait()
				}
				if c.end != nil {
					c.end(s, nc)
					synctest.Wait()
					// Only the first one does not watch its context.
					assert.Equal(t, running.Load(), map[bool]int64{false: 1, true: 0}[c.answered])
				}
				if !c.answered {
					close(release)
				}
				assert.DeepEqual(t, readBodies(nc), c.bodies)
				synctest.Wait()
				assert.Equal(t, running.Load(), int64(0))
			})
		})
	}
}

// A reset of the connection is noticed while requests run, and cancels them.
func TestResetCancelsRequests(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	began, ended := make(chan struct{}, 3), make(chan struct{}, 3)
	p := newTestPipeline(testDepth, func(_ http.ResponseWriter, r *http.Request) {
		began <- struct{}{}
		<-r.Context().Done()
		ended <- struct{}{}
	}, func() {})
	s := &http.Server{Handler: p, ConnContext: p.ConnContext}
	go func() { _ = s.Serve(p.Listener(l)) }()
	defer func() { _ = s.Close() }()
	nc, err := net.Dial("tcp", l.Addr().String())
	assert.NilError(t, err)
	_, err = io.WriteString(nc, get("/a")+get("/b")+get("/c"))
	assert.NilError(t, err)
	for range 3 {
		<-began
	}
	assert.NilError(t, nc.(*net.TCPConn).SetLinger(0))
	assert.NilError(t, nc.Close())
	for range 3 {
		<-ended
	}
}

// A connection holds a bounded number of bytes behind a slow request, however many requests
// its caller sends, and answers them all in the end.
func TestReadAheadIsBounded(t *testing.T) {
	const requests = 2000
	run(t, testDepth, sleepHandler, func(t *testing.T, s *server) {
		nc := s.send()
		var sent atomic.Int64
		go func() {
			for i := range requests {
				// The first takes 1 s, the others none.
				n, err := io.WriteString(nc, get(fmt.Sprintf("/%d?%d", i, max(0, 1000-1000*i))))
				sent.Add(int64(n))
				if err != nil {
					return
				}
			}
			_, _ = io.WriteString(nc, lastGet)
		}()
		synctest.Wait()
		behind := sent.Load() - int64(len(get("/0?1000")))
		assert.Assert(t, behind > testHeaderBytes && behind <= testHeaderBytes+headerSlopBytes, "%d bytes", behind)
		bodies := readBodies(nc)
		assert.Equal(t, len(bodies), requests+1)
		for i, body := range bodies[:requests] {
			assert.Equal(t, body, "/"+strconv.Itoa(i))
		}
	})
}

// Without permission to hold more, a connection reads one part ahead and goes on after the
// current request.
func TestReadAheadNeedsPermission(t *testing.T) {
	run(t, testDepth, sleepHandler, func(t *testing.T, s *server) {
		s.http.Handler.(*Pipeline).cfg.HoldAhead = func(net.Conn, int) bool { return false }
		const long = 3 * readAheadBytes
		nc := s.send()
		var sent atomic.Int64
		go func() {
			for _, part := range []string{get("/alone?1000"), get("/0?0&" + strings.Repeat("x", long/2)), get("/1?0&" + strings.Repeat("x", long/2)), lastGet} {
				n, err := io.WriteString(nc, part)
				sent.Add(int64(n))
				if err != nil {
					return
				}
			}
		}()
		synctest.Wait()
		assert.Assert(t, sent.Load() <= int64(len(get("/alone?1000")))+2*readAheadBytes, "%d bytes", sent.Load())
		assert.Equal(t, len(readBodies(nc)), 4)
	})
}

// A read deadline must end a read also while nothing more is read ahead; net/http waits for
// that when a handler takes over the connection.
func TestReadDeadlineAppliesWhileBufferIsFull(t *testing.T) {
	var waited time.Duration
	h := func(w http.ResponseWriter, r *http.Request) {
		synctest.Wait()
		begin := time.Now()
		_ = http.NewResponseController(w).SetReadDeadline(begin.Add(time.Second))
		<-r.Context().Done()
		waited = time.Since(begin)
	}
	run(t, testDepth, h, func(t *testing.T, s *server) {
		readBodies(s.send(get("/alone") + strings.Repeat("x", 3*testHeaderBytes)))
		assert.Equal(t, waited, time.Second)
	})
}

// What net/http answers with an error, or may take for more than a head, does not start.
func TestUnusualHeadsDoNotStart(t *testing.T) {
	usual := get("/a")
	_, ok := parseHead([]byte(usual))
	assert.Assert(t, ok)
	for _, field := range []string{
		"Expect: x", "Upgrade: h2c", "Transfer-Encoding: chunked", "Content-Length: 0", "Content-Length: -1", "Content-Length: 1, 1",
		"Connection: close", "Connection: keep-alive, x", "Host: h", "X\t: y", "X : y", "X: \x00", "X: \x7f", "X: a\rb", "X",
	} {
		_, ok := parseHead([]byte(strings.Replace(usual, "\r\n\r\n", "\r\n"+field+"\r\n\r\n", 1)))
		assert.Assert(t, !ok, "%q", field)
	}
	for _, line := range []string{"GET  / HTTP/1.1", "GET / HTTP/1.0", "GET /%zz HTTP/1.1", "GET * HTTP/1.1", "get / HTTP/1.1", "PUT / HTTP/1.1"} {
		_, ok := parseHead([]byte(line + "\r\nHost: h\r\n\r\n"))
		assert.Assert(t, !ok, "%q", line)
	}
}

// The handler of a response that exceeds the bound blocks until its turn.
func TestRecordedResponseIsBounded(t *testing.T) {
	var written atomic.Int64
	h := func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/slow" {
			time.Sleep(time.Second)
			return
		}
		for range 10 {
			n, _ := w.Write(make([]byte, testRecordBytes/2))
			written.Add(int64(n))
			_ = http.NewResponseController(w).Flush()
		}
	}
	run(t, testDepth, h, func(t *testing.T, s *server) {
		nc := s.send(get("/slow")+get("/large"), lastGet)
		synctest.Wait()
		assert.Equal(t, written.Load(), int64(testRecordBytes))
		bodies := readBodies(nc)
		assert.Equal(t, len(bodies), 3)
		assert.Equal(t, len(bodies[1]), 10*testRecordBytes/2)
	})
}

// A part of a head behind a running request has the time that net/http allows once that
// request is answered, as without the read ahead.
func TestHeaderTimeoutBeginsAtTurn(t *testing.T) {
	for _, depth := range []int{1, testDepth} {
		run(t, depth, sleepHandler, func(t *testing.T, s *server) {
			begin := time.Now()
			bodies := readBodies(s.send(get("/a?20000") + "GET /b HTTP/1.1\r\nHo"))
			assert.DeepEqual(t, bodies, []string{"/a", "400 Bad Request"})
			assert.Equal(t, time.Since(begin), 25*time.Second)
		})
	}
}

// deadlineWriter is a ResponseWriter that keeps the last write deadline.
type deadlineWriter struct {
	http.ResponseWriter
	deadline time.Time
}

func (w *deadlineWriter) Header() http.Header { return http.Header{} }
func (w *deadlineWriter) SetWriteDeadline(t time.Time) error {
	w.deadline = t
	return nil
}

// The write deadline of a recorded response must neither apply to the responses before it nor
// have passed at its turn.
func TestWriteDeadlineBeginsAtTurn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rec, w := newRecorder(testRecordBytes), &deadlineWriter{}
		assert.NilError(t, http.NewResponseController(rec).SetWriteDeadline(time.Now().Add(30*time.Second)))
		time.Sleep(time.Minute)
		assert.NilError(t, rec.forward(w))
		assert.Equal(t, time.Until(w.deadline), 30*time.Second)
	})
}

// A request that the server parses must be the one that was started in its place; otherwise
// the connection is closed and the started one cancelled.
func TestOtherRequestClosesConnection(t *testing.T) {
	head := get("/a")
	parsed, ok := parseHead([]byte(head))
	assert.Assert(t, ok)
	for _, other := range []string{get("/b"), strings.Replace(head, "Host: h", "Host: i", 1), strings.Replace(head, "Host: h", "Host: h\r\nX: y", 1)} {
		p := New(Config{}, http.NotFoundHandler())
		c := newConn(p, nil)
		c.turn = newAheadRequest(context.Background(), parsed, len(head), testRecordBytes)
		cancelled := c.turn.request.Context()
		r, err := http.ReadRequest(bufio.NewReader(strings.NewReader(other)))
		assert.NilError(t, err)
		func() {
			defer func() { assert.Equal(t, recover(), http.ErrAbortHandler) }()
			p.ServeHTTP(nil, r.WithContext(context.WithValue(context.Background(), connKey{}, c)))
		}()
		assert.Assert(t, cancelled.Err() != nil)
	}
}

// BenchmarkOrdinaryRequest is a request on a kept connection, without pipelining.
func BenchmarkOrdinaryRequest(b *testing.B) {
	h := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "x") })
	p := newTestPipeline(testDepth, h, func() {})
	for name, wrap := range map[string]bool{"plain": false, "wrapped": true} {
		b.Run(name, func(b *testing.B) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(b, err)
			s := &http.Server{Handler: h}
			if wrap {
				s, l = &http.Server{Handler: p, ConnContext: p.ConnContext}, p.Listener(l)
			}
			go func() { _ = s.Serve(l) }()
			defer func() { _ = s.Close() }()
			nc, err := net.Dial("tcp", l.Addr().String())
			assert.NilError(b, err)
			defer func() { _ = nc.Close() }()
			request := "GET /a/b?c=d HTTP/1.1\r\nHost: host.example\r\nUser-Agent: a\r\nAccept: */*\r\nX-Request-Id: 0123456789abcdef\r\n\r\n"
			response := make([]byte, 4<<10)
			b.ReportAllocs()
			for b.Loop() {
				_, err = io.WriteString(nc, request)
				assert.NilError(b, err)
				_, err = nc.Read(response)
				assert.NilError(b, err)
			}
		})
	}
}

// headConn returns the same request head with each read.
type headConn struct {
	net.Conn
	head string
}

func (c headConn) Read(p []byte) (int, error) { return copy(p, c.head), nil }

// BenchmarkConn is what a Conn adds to an ordinary request, with 4 and 14 header fields.
func BenchmarkConn(b *testing.B) {
	for _, more := range []int{0, 10} {
		b.Run(strconv.Itoa(4+more), func(b *testing.B) {
			head := "GET /a/b?c=d HTTP/1.1\r\nHost: host.example\r\nUser-Agent: a\r\nAccept: */*\r\nX-Request-Id: 0123456789abcdef\r\n" +
				strings.Repeat("X-Other: 0123456789012345678901234567890123456789\r\n", more) + "\r\n"
			c := newConn(newTestPipeline(testDepth, nil, nil), headConn{head: head})
			r, p := &http.Request{}, make([]byte, 4<<10)
			b.ReportAllocs()
			for b.Loop() {
				if n, err := c.Read(p); n != len(head) || err != nil {
					b.Fatal(n, err)
				}
				c.begin(r)
				c.end()
			}
		})
	}
}
