package target

import (
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/radishhoist/radishhoist/internal/core/header"
)

// resetDelay is the time from the first part of a response to the reset, in which the caller
// reads that part.
const resetDelay = 50 * time.Millisecond

// resetEarly sends the first part of a response to a long upload and resets the connection, if
// the behaviour asks for that. It reports whether it did.
func (s *Server) resetEarly(w http.ResponseWriter, r *http.Request) bool {
	s.mu.Lock()
	applies := s.behaviour.Mode == ResetEarly && r.ContentLength >= LongUploadBytes
	s.mu.Unlock()
	if !applies {
		return false
	}
	s.beginRequest(r)
	defer s.endRequest()
	nc, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return true
	}
	_, _ = fmt.Fprintf(nc, "HTTP/1.1 200 OK\r\n%s: %s\r\nConnection: close\r\n\r\n%s", header.RequestID, r.Header.Get(header.RequestID), s.cfg.Name)
	time.Sleep(resetDelay)
	if tcp, ok := nc.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = nc.Close()
	return true
}
