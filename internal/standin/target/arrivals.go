package target

import (
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/radishhoist/radishhoist/internal/core/header"
)

// Span is a span of time in Unix milliseconds.
type Span struct {
	From int64 `json:"from"`
	To   int64 `json:"to"`
}

// observeArrival records the arrival of a request, which the stand-in may then refuse. The
// caller must hold mu.
func (s *Server) observeArrival(r *http.Request) {
	now := time.Now()
	s.statements.observeArrival(now, s.behaviour)
	if mark := r.Header.Get(MarkHeader); mark != "" {
		s.arrivals[mark] = append(s.arrivals[mark], now.UnixMilli())
	}
}

// refuse responds to a share of the requests, in mode Refuse, that they did not run. It
// reports whether it did so.
func (s *Server) refuse(w http.ResponseWriter, r *http.Request) bool {
	s.mu.Lock()
	refused := s.behaviour.Mode == Refuse && rand.Float64() < s.behaviour.Share
	if refused {
		s.observeArrival(r)
	}
	s.mu.Unlock()
	if refused {
		w.Header().Set(header.Default().NotRun, "1")
		http.Error(w, "stand-in refuses", http.StatusServiceUnavailable)
	}
	return refused
}

// countRunning adds n to the number of running requests and records the times at which all
// slots are in use. The caller must hold mu.
func (s *Server) countRunning(n int) {
	wasFull := s.running >= s.cfg.Slots
	s.running += n
	s.maxRunning = max(s.maxRunning, s.running)
	switch isFull := s.running >= s.cfg.Slots; {
	case isFull && !wasFull:
		s.fullSince = time.Now()
	case wasFull && !isFull:
		s.full = append(s.full, Span{s.fullSince.UnixMilli(), time.Now().UnixMilli()})
	}
}

// fullSpans returns the times at which all slots were in use, up to now. The caller must hold mu.
func (s *Server) fullSpans() []Span {
	out := append([]Span(nil), s.full...)
	if s.running >= s.cfg.Slots {
		out = append(out, Span{s.fullSince.UnixMilli(), time.Now().UnixMilli()})
	}
	return out
}
