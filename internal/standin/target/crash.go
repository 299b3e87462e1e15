package target

import (
	"cmp"
	"context"
	"fmt"
	"net"
	"net/http"
	"time"
)

// CrashPathSuffix is the path suffix of requests that make the stand-in simulate a crash:
// it closes its connections, and its port refuses new ones. After Config.Downtime it
// listens again under another instance name and keeps its counters.
const CrashPathSuffix = "/fatal"

const (
	// crashDelay is the time from the start of such a request to the crash.
	crashDelay = 50 * time.Millisecond
	// defaultDowntime is the default of Config.Downtime.
	defaultDowntime = 2 * time.Second
	// listenRetryInterval is the time between attempts to listen on the port again.
	listenRetryInterval = 100 * time.Millisecond
)

// crash simulates a crash of the stand-in while it handles a request.
func (s *Server) crash(r *http.Request) {
	s.beginRequest(r)
	defer s.endRequest()
	time.Sleep(crashDelay)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.server == nil {
		return // another request has already crashed it
	}
	s.crashTimes = append(s.crashTimes, time.Now().UnixMilli())
	s.startAgain()
}

// startAgain closes the port for the downtime and then starts another instance. The caller
// must hold mu.
func (s *Server) startAgain() {
	if s.server == nil {
		return
	}
	s.closeServer()
	time.AfterFunc(cmp.Or(s.cfg.Downtime, defaultDowntime), s.restart)
}

// serveOn starts serving on a listener and counts a start. Once the stand-in is
// stopped, it only closes the listener.
func (s *Server) serveOn(l net.Listener) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		_ = l.Close()
		return
	}
	s.starts++
	s.behaviour.Leaving, s.behaviour.Departs = false, false
	s.statements.reset()
	server := &http.Server{Handler: s.mux, ReadHeaderTimeout: 5 * time.Second}
	s.server = server
	go func() { _ = server.Serve(l) }()
}

// closeServer closes all connections and the listener. The caller must hold mu.
func (s *Server) closeServer() {
	if s.server != nil {
		_ = s.server.Close()
	}
	s.server = nil
}

// restart listens on the same port again, retrying until it succeeds or the stand-in
// is stopped.
func (s *Server) restart() {
	for {
		l, err := net.Listen("tcp", s.cfg.Address)
		if err == nil {
			s.serveOn(l)
			s.announce(context.Background())
			return
		}
		s.mu.Lock()
		closed := s.closed
		s.mu.Unlock()
		if closed {
			return
		}
		time.Sleep(listenRetryInterval)
	}
}

// instanceName returns the instance name of the current start: the configured name for
// the first one, and that name with the number of the start for later ones. The caller
// must hold mu.
func (s *Server) instanceName() string {
	if s.starts <= 1 {
		return s.cfg.Name
	}
	return fmt.Sprintf("%s.%d", s.cfg.Name, s.starts)
}
