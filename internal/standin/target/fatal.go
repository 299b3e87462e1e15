package target

import (
	"cmp"
	"context"
	"fmt"
	"net"
	"net/http"
	"time"
)

// FatalPath is how the path ends of requests that end the stand-in, as far as anybody can see: its
// connections break and its port refuses others. It is back after a while under another
// name, and knows what it has counted.
const FatalPath = "/fatal"

const (
	// fatalAfter is how long such a request runs before the end.
	fatalAfter = 50 * time.Millisecond
	// downFor is how long the stand-in is away by default.
	downFor = 2 * time.Second
	// listenAgain is the pause between two tries to take the port again.
	listenAgain = 100 * time.Millisecond
)

// fatal ends the stand-in.
func (s *Server) fatal(r *http.Request) {
	s.begin(r)
	defer s.end()
	time.Sleep(fatalAfter)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.server == nil {
		return // another such request was sooner
	}
	s.ends = append(s.ends, time.Now().UnixMilli())
	s.close()
	time.AfterFunc(cmp.Or(s.cfg.DownFor, downFor), s.reopen)
}

// open serves on a listener, as a new start.
func (s *Server) open(l net.Listener) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		_ = l.Close()
		return
	}
	s.starts++
	server := &http.Server{Handler: s.mux, ReadHeaderTimeout: 5 * time.Second}
	s.server = server
	go func() { _ = server.Serve(l) }()
}

// close breaks all connections and gives the port up. The caller holds the lock.
func (s *Server) close() {
	if s.server != nil {
		_ = s.server.Close()
	}
	s.server = nil
}

// reopen takes the port again, however often it has to try.
func (s *Server) reopen() {
	for {
		l, err := net.Listen("tcp", s.cfg.Address)
		if err == nil {
			s.open(l)
			s.announce(context.Background())
			return
		}
		s.mu.Lock()
		closed := s.closed
		s.mu.Unlock()
		if closed {
			return
		}
		time.Sleep(listenAgain)
	}
}

// name is that of the present start; the first has the configured one. The caller holds
// the lock.
func (s *Server) name() string {
	if s.starts <= 1 {
		return s.cfg.Name
	}
	return fmt.Sprintf("%s.%d", s.cfg.Name, s.starts)
}
